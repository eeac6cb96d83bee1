//! The daemon that runs on an entry host.

use std::path::PathBuf;

use argh::FromArgs;
use miette::{IntoDiagnostic, Result};
use shalehinge::process::run::run;
use shalehinge::settings::Settings;
use shalehinge::telemetry::logs;

/// Route requests to model replicas that span several hosts, and place these on hosts.
#[derive(FromArgs)]
struct Arguments {
    /// settings file in INI format; docs/example.ini documents every key
    #[argh(positional)]
    settings: PathBuf,

    /// validate the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    let settings = Settings::load(&arguments.settings)?;
    if arguments.check {
        println!("{} is valid", arguments.settings.display());
        return Ok(());
    }
    let daemon = &settings.daemon;
    logs::init(daemon.log_file.as_deref(), daemon.log_level).into_diagnostic()?;
    smol::block_on(run(settings))?;
    Ok(())
}
