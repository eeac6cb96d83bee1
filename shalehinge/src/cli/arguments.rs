//! The command line of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

fn default_plan() -> PathBuf {
    PathBuf::from("plan.json")
}

fn default_token() -> PathBuf {
    PathBuf::from("operator.token")
}

/// States what a fleet should serve, shows what would happen, and confirms it.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// address where a daemon listens to operators
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7001))")]
    pub daemon: SocketAddr,

    /// file with the operators' token, operator.token by default
    #[argh(option, default = "default_token()")]
    pub token_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Serve a model.
    Intent(IntentCommand),
    /// Serve a model no longer.
    Remove(RemoveCommand),
    /// Change a customer's share.
    Shares(SharesCommand),
    /// Bring a model to a version.
    Roll(RollCommand),
    /// Take a host out of use.
    Drain(DrainCommand),
    /// Replace customers, services and weights.
    Configure(ConfigureCommand),
    /// Plan a change written as JSON.
    Plan(PlanCommand),
    /// Confirm a plan.
    Confirm(ConfirmCommand),
    /// Show the fleet.
    Status(StatusCommand),
}

/// plan to serve a model with so many replicas
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "intent")]
pub struct IntentCommand {
    /// model
    #[argh(option)]
    pub model: String,

    /// version in the weight store
    #[argh(option)]
    pub version: String,

    /// replicas over all failure domains
    #[argh(option)]
    pub replicas: u32,

    /// hosts that form one replica
    #[argh(option)]
    pub hosts_per_replica: u32,

    /// customer whose share the hosts count against
    #[argh(option)]
    pub owner: String,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to serve a model no longer
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "remove")]
pub struct RemoveCommand {
    /// model
    #[argh(option)]
    pub model: String,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to give a customer another share
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "shares")]
pub struct SharesCommand {
    /// customer
    #[argh(option)]
    pub customer: String,

    /// weight against the others, from 1
    #[argh(option)]
    pub share: u32,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to bring all replicas of a model to a version
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "roll")]
pub struct RollCommand {
    /// model
    #[argh(option)]
    pub model: String,

    /// version in the weight store
    #[argh(option)]
    pub version: String,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to take a host out of use
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {
    /// host
    #[argh(option)]
    pub host: String,

    /// take it into use again
    #[argh(switch)]
    pub undo: bool,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan to replace customers, services and weights by those of a file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "configure")]
pub struct ConfigureCommand {
    /// file in JSON, as in docs/CONFIGURATION.md
    #[argh(positional)]
    pub file: PathBuf,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// plan a change written as JSON
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanCommand {
    /// file with the change, as in docs/INTERFACES.md
    #[argh(positional)]
    pub change: PathBuf,

    /// file for the plan
    #[argh(option, default = "default_plan()")]
    pub save: PathBuf,
}

/// confirm a plan
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmCommand {
    /// file with the plan
    #[argh(positional, default = "default_plan()")]
    pub plan: PathBuf,
}

/// show the fleet
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}
