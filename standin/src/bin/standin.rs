//! Command-line tool that runs the stand-in servers, the load generator and the experiments.

use argh::FromArgs;
use miette::Result;
use standin::engine::EngineArguments;
use standin::experiment::placement::PlacementArguments;
use standin::experiment::routing::RoutingArguments;
use standin::experiment::{placement, routing};
use standin::load::LoadArguments;
use standin::platform::PlatformArguments;
use standin::service::ServiceArguments;
use standin::{engine, load, platform, service};

/// Stand-ins for the external systems that shalehinge talks to, and tools to measure shalehinge.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
    Load(LoadArguments),
    Routing(RoutingArguments),
    Placement(PlacementArguments),
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    match &arguments.command {
        Command::Platform(arguments) => platform::run(arguments),
        Command::Engine(arguments) => engine::run(arguments),
        Command::Service(arguments) => service::run(arguments),
        Command::Load(arguments) => load::run(arguments),
        Command::Routing(arguments) => {
            routing::run(arguments);
            Ok(())
        }
        Command::Placement(arguments) => {
            placement::run(arguments);
            Ok(())
        }
    }
}
