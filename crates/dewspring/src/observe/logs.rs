//! Sets up structured logging for the programs.

use logforth::append::Stderr;
use logforth::filter::RustLogFilter;
use logforth::layout::{JsonLayout, PlainTextLayout};
use logforth::starter_log;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

/// Levels of libraries that log each call.
const LIBRARY_LEVELS: &str = "tarpc=warn";

/// Sends log records of `level` or more severe to standard error.
///
/// `level` is a filter such as `info` or `warn,dewspring=debug`.
///
/// A second call leaves the first one's set-up in force.
pub fn init_logging(format: LogFormat, level: impl Into<String>) {
    let filter = format!("{},{LIBRARY_LEVELS}", level.into());
    let filter: RustLogFilter = filter.as_str().into();
    let appender = match format {
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stderr::default().with_layout(PlainTextLayout::default()),
    };
    let installed = starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .try_apply();
    if installed.is_err() {
        log::debug!("observe: Logging is set up already.");
        return;
    }
    // A library's panic is a log record like any other, so that a log in JSON
    // stays one object a line.
    std::panic::set_hook(Box::new(|panic| log::error!("observe: {panic}")));
}
