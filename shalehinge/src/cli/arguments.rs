//! Command-line arguments of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

fn default_plan() -> PathBuf {
    PathBuf::from("plan.json")
}

fn default_token() -> PathBuf {
    PathBuf::from("operator.token")
}

/// Plan changes to what a fleet serves, review their effects, and confirm them.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// address on which a daemon listens for operators, 127.0.0.1:7001 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7001))")]
    pub daemon: SocketAddr,

    /// file that contains the operators' token, operator.token by default
    #[argh(option, default = "default_token()")]
    pub token_file: PathBuf,

    /// print output as JSON
    #[argh(switch)]
    pub json: bool,

    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands of the operators' client.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Plan to serve a model.
    Intent(IntentCommand),
    /// Plan to stop serving a model.
    Remove(RemoveCommand),
    /// Plan to change a customer's share.
    Shares(SharesCommand),
    /// Plan to roll a model to a version.
    Roll(RollCommand),
    /// Plan to drain a host, or to undo that.
    Drain(DrainCommand),
    /// Plan to evacuate a failure domain, or to undo that.
    Evacuate(EvacuateCommand),
    /// Plan to replace customers, services and weights.
    Configure(ConfigureCommand),
    /// Plan a change read from a JSON file.
    Plan(PlanCommand),
    /// Confirm a plan.
    Confirm(ConfirmCommand),
    /// Show the status of the fleet.
    Status(StatusCommand),
}

/// plan to serve a model with a number of replicas
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "intent")]
pub struct IntentCommand {
    /// name of the model
    #[argh(option)]
    pub model: String,

    /// version of the model in the weight store
    #[argh(option)]
    pub version: String,

    /// total number of replicas in all failure domains
    #[argh(option)]
    pub replicas: u32,

    /// number of hosts per replica
    #[argh(option)]
    pub hosts_per_replica: u32,

    /// customer whose share the hosts are charged to
    #[argh(option)]
    pub owner: String,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to stop serving a model
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "remove")]
pub struct RemoveCommand {
    /// name of the model
    #[argh(option)]
    pub model: String,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to change a customer's share
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "shares")]
pub struct SharesCommand {
    /// name of the customer
    #[argh(option)]
    pub customer: String,

    /// weight relative to other customers, at least 1
    #[argh(option)]
    pub share: u32,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to roll all replicas of a model to a version
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "roll")]
pub struct RollCommand {
    /// name of the model
    #[argh(option)]
    pub model: String,

    /// version of the model in the weight store
    #[argh(option)]
    pub version: String,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to drain a host
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {
    /// name of the host
    #[argh(option)]
    pub host: String,

    /// undo an earlier drain
    #[argh(switch)]
    pub undo: bool,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to send no more requests to the upstreams of a failure domain
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuate")]
pub struct EvacuateCommand {
    /// name of the failure domain
    #[argh(option)]
    pub domain: String,

    /// undo an earlier evacuation
    #[argh(switch)]
    pub undo: bool,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to replace customers, services and weights with those in a file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "configure")]
pub struct ConfigureCommand {
    /// JSON file, as described in docs/CONFIGURATION.md
    #[argh(positional)]
    pub file: PathBuf,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan a change read from a JSON file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanCommand {
    /// JSON file with the change, as described in docs/INTERFACES.md
    #[argh(positional)]
    pub change: PathBuf,

    /// file to save the plan to, plan.json by default
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// confirm a plan
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmCommand {
    /// file that contains the plan, plan.json by default
    #[argh(positional, default = "default_plan()")]
    pub plan: PathBuf,
}

/// show the status of the fleet
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}
