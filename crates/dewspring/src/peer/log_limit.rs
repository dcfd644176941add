//! Rate limit of the log lines that unauthenticated connections can cause.

use std::time::{Duration, Instant};

/// Most log lines in one window.
const MAX_LINES_PER_WINDOW: u32 = 10;

/// Length of a rate window.
const WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window limiter of log lines.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    window_start: Option<Instant>,
    lines: u32,
}

impl LogLimiter {
    /// Counts a line and returns whether it may be written.
    pub(super) fn admit(&mut self, now: Instant) -> bool {
        let is_expired = |start| now.saturating_duration_since(start) >= WINDOW;
        if self.window_start.is_none_or(is_expired) {
            self.window_start = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_WINDOW
    }
}
