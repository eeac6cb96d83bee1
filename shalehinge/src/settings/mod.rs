//! Settings, one file a part, with their defaults.
//!
//! - `reader`: reads an INI file and collects what is wrong
//! - `daemon`: the process: names, addresses, bounds
//! - `core`: all parts of the decisions together
//! - `learning`, `lease`, `membership`, `control`, `claims`, `router`: one part each

pub mod claims;
pub mod control;
pub mod core;
pub mod daemon;
pub mod learning;
pub mod lease;
pub mod membership;
pub mod reader;
pub mod router;

use std::path::Path;

use self::core::CoreSettings;
use self::daemon::DaemonSettings;
use self::reader::{Reader, SettingsError};

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The process.
    pub daemon: DaemonSettings,
    /// The decisions.
    pub core: CoreSettings,
}

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoadError {
    /// The file can't be read.
    #[error("the settings file {file} can't be read: {error}")]
    #[diagnostic(help("name a file that exists; docs/example.ini explains every key"))]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// What it says can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] SettingsError),
}

impl Settings {
    /// Loads and checks a file as a whole.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| LoadError::Unreadable {
            file: file.clone(),
            error,
        })?;
        Ok(Self::parse(&file, &text)?)
    }

    /// Checks the text of a file as a whole.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut reader = Reader::parse(file, text)?;
        let daemon = DaemonSettings::read(&mut reader);
        let core = CoreSettings::read(&mut reader);
        check_times(&core, &mut reader);
        reader.finish()?;
        Ok(Self { daemon, core })
    }
}

/// Times that must stand in an order to each other.
fn check_times(core: &CoreSettings, reader: &mut Reader) {
    let lease = core.lease;
    if lease.interval + lease.margin >= lease.term {
        let message = "term must be longer than interval and margin together".to_owned();
        let mend = "raise term, to three times the interval or more".to_owned();
        reader.problem("lease", Some("term"), message, mend);
    }
    let learning = core.learning;
    if learning.strict_revocation && learning.revoke_within.is_none() {
        let message = "strict_revocation needs revoke_within".to_owned();
        let mend = "add a line like `revoke_within = 5s`".to_owned();
        reader.problem("learning", Some("strict_revocation"), message, mend);
    }
    let router = core.router;
    if router.report_interval >= router.evidence_ttl {
        let message = "evidence_ttl must be longer than report_interval".to_owned();
        let mend = "raise evidence_ttl, to three times report_interval or more".to_owned();
        reader.problem("router", Some("evidence_ttl"), message, mend);
    }
}
