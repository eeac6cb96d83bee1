//! Logs by log4rs: short lines, each with the prefix of its part.

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::core::event::LogLine;

/// Time, level, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {m}{n}";

/// Why logging can't start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the log can't be opened: {0}")]
#[diagnostic(help("name a file in [log] that can be written, or leave it out"))]
pub struct LogError(String);

/// Starts logging to a file, or to the standard output.
pub fn start(file: Option<&str>, level: LevelFilter) -> Result<(), LogError> {
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
        // Libraries speak only when something is wrong.
        .logger(log4rs::config::Logger::builder().build("shalehinge", level))
        .build(Root::builder().appender("main").build(LevelFilter::Warn))
        .map_err(|error| LogError(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| LogError(error.to_string()))?;
    Ok(())
}

/// Writes a line of the core.
pub fn write(line: &LogLine) {
    log::info!(target: "shalehinge", "{}: {}", line.component.prefix(), line.text);
}
