//! A bound on the log lines that unauthenticated connections can cause.

use std::time::{Duration, Instant};

/// Lines in one window.
const LINES_PER_WINDOW: u32 = 10;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of the present window.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    window: Option<Instant>,
    lines: u32,
}

impl LogLimiter {
    /// Whether one more line may be written.
    pub(super) fn allows(&mut self, now: Instant) -> bool {
        let is_over = |begin| now.saturating_duration_since(begin) >= WINDOW;
        if self.window.is_none_or(is_over) {
            self.window = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_WINDOW
    }
}
