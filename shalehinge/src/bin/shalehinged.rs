//! The daemon of an entry host.

use std::path::PathBuf;

use argh::FromArgs;
use miette::{IntoDiagnostic, Result};
use shalehinge::process::run::run;
use shalehinge::settings::Settings;
use shalehinge::telemetry::logs;

/// Serves models whose replicas span several hosts.
#[derive(FromArgs)]
struct Arguments {
    /// settings file in INI; docs/example.ini explains every key
    #[argh(positional)]
    settings: PathBuf,

    /// check the settings file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    let settings = Settings::load(&arguments.settings)?;
    if arguments.check {
        println!("{} is in order", arguments.settings.display());
        return Ok(());
    }
    let daemon = &settings.daemon;
    logs::start(daemon.log_file.as_deref(), daemon.log_level).into_diagnostic()?;
    smol::block_on(run(settings))?;
    Ok(())
}
