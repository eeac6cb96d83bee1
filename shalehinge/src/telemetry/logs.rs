//! Logging through log4rs: short lines, each with the prefix of the component that wrote it.

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::core::event::LogLine;

/// Time in UTC with milliseconds, level, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {m}{n}";

/// Why logging could not be initialized.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("failed to open the log: {0}")]
#[diagnostic(help("set file in [log] to a writable path, or remove it to log to standard output"))]
pub struct LogError(String);

/// Initializes logging to a file, or to standard output. `level` applies to the daemon's own
/// lines.
///
/// # Errors
///
/// The file can't be opened, or logging was initialized before.
pub fn init(file: Option<&str>, level: LevelFilter) -> Result<(), LogError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match file {
        Some(file) => {
            let built = FileAppender::builder().encoder(encoder).build(file);
            Box::new(built.map_err(|error| LogError(error.to_string()))?)
        }
        None => Box::new(ConsoleAppender::builder().encoder(encoder).build()),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        // Libraries log warnings and errors only.
        .logger(log4rs::config::Logger::builder().build("shalehinge", level))
        .build(Root::builder().appender("main").build(LevelFilter::Warn))
        .map_err(|error| LogError(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| LogError(error.to_string()))?;
    Ok(())
}

/// Writes a log line produced by the core, at level info.
pub fn write(line: &LogLine) {
    log::info!(target: "shalehinge", "{}: {}", line.component.prefix(), line.text);
}
