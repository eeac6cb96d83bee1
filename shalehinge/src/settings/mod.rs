//! Settings of the daemon with their defaults, one module per section or group of sections.
//!
//! - `reader`: reads an INI file and collects all problems in it
//! - `daemon`: the process: identity, addresses, limits
//! - `core`: all sections of the decision logic combined
//! - `learning`, `lease`, `membership`, `control`, `claims`, `router`: one section each

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
    /// Settings of the process.
    pub daemon: DaemonSettings,
    /// Settings of the decision logic.
    pub core: CoreSettings,
}

/// Why the settings could not be loaded.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoadError {
    /// The file can't be read.
    #[error("failed to read settings file {file}: {error}")]
    #[diagnostic(help("pass the path of an existing file; docs/example.ini documents every key"))]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error from the operating system.
        error: std::io::Error,
    },
    /// The file contains invalid settings.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] SettingsError),
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its content is invalid; all problems are reported together.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| LoadError::Unreadable {
            file: file.clone(),
            error,
        })?;
        Ok(Self::parse(&file, &text)?)
    }

    /// Parses and validates the text of a settings file; `file` is its path for error messages.
    ///
    /// # Errors
    ///
    /// The content is invalid; all problems are reported together.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut reader = Reader::parse(file, text)?;
        let daemon = DaemonSettings::read(&mut reader);
        let core = CoreSettings::read(&mut reader);
        check_durations(&core, &mut reader);
        reader.finish()?;
        Ok(Self { daemon, core })
    }
}

/// Checks constraints between settings of durations.
fn check_durations(core: &CoreSettings, reader: &mut Reader) {
    let lease = core.lease;
    if lease.interval + lease.margin >= lease.term {
        let message = "term must be longer than interval and margin combined".to_owned();
        let help = "increase term to at least three times the interval".to_owned();
        reader.report_problem("lease", Some("term"), message, help);
    }
    let learning = core.learning;
    if learning.strict_revocation && learning.revoke_within.is_none() {
        let message = "strict_revocation requires revoke_within".to_owned();
        let help = "add a line like `revoke_within = 5s`".to_owned();
        reader.report_problem("learning", Some("strict_revocation"), message, help);
    }
    let router = core.router;
    if router.report_interval >= router.evidence_ttl {
        let message = "evidence_ttl must be longer than report_interval".to_owned();
        let help = "increase evidence_ttl to at least three times report_interval".to_owned();
        reader.report_problem("router", Some("evidence_ttl"), message, help);
    }
}
