//! Stand-ins of platform, engines and plain services, with a load and
//! experiment tool.

use argh::FromArgs;
use miette::Result;
use standin::engine::EngineArguments;
use standin::load::LoadArguments;
use standin::platform::PlatformArguments;
use standin::service::ServiceArguments;
use standin::{engine, load, platform, service};

/// Stand-ins for what shalehinge meets outside, and tools to measure it.
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
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    match &arguments.command {
        Command::Platform(arguments) => platform::run(arguments),
        Command::Engine(arguments) => engine::run(arguments),
        Command::Service(arguments) => service::run(arguments),
        Command::Load(arguments) => load::run(arguments),
    }
}
