//! Set-up of structured logging for the programs.

use logforth::append::Stderr;
use logforth::filter::RustLogFilter;
use logforth::layout::{JsonLayout, PlainTextLayout};
use logforth::starter_log;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

/// Filter directives for libraries that log each call.
const LIBRARY_LEVELS: &str = "tarpc=warn";

/// Initializes logging of records and panics to standard error.
///
/// `level` is a filter such as `info` or `warn,dewspring=debug`; less severe
/// records are discarded. A second call has no effect.
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
        log::debug!("observe: Logging is already initialized.");
        return;
    }
    // Panics are logged like other records, so that a JSON log stays one object per line.
    std::panic::set_hook(Box::new(|panic| log::error!("observe: {panic}")));
}
