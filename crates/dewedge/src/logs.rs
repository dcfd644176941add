//! Structured logging to standard output.
//!
//! Lines are JSON objects. The event loop collects them in batches and a
//! separate thread writes them, so that a slow reader never delays requests.
//!
//! The main invariant: the memory of pending lines is bounded, and dropped
//! lines are counted and reported.

use std::fmt::Write as _;
use std::io::Write as _;
use std::thread;

use crossbeam::channel::{Sender, TrySendError, bounded};

use crate::clock::Moment;

/// Maximum batches waiting for the writer thread.
const MAX_BATCHES: usize = 32;

/// Size at which a batch is sent to the writer thread early.
const BATCH_BYTES: usize = 16 * 1024;

/// Maximum request lines written per second.
const LINES_PER_SECOND: u32 = 400;

/// Collects lines and sends them to the writer thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    batch: String,
    lines: u32,
    sender: Sender<String>,
    dropped: u64,
    current_second: u64,
    lines_in_second: u32,
    now: Moment,
}

impl LogWriter {
    /// Starts the writer thread.
    pub(crate) fn spawn() -> Self {
        let (sender, receiver) = bounded::<String>(MAX_BATCHES);
        let write = move || {
            let mut output = std::io::stdout();
            for batch in receiver {
                if output.write_all(batch.as_bytes()).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new()
            .name("logs".to_string())
            .stack_size(64 * 1024)
            .spawn(write)
            .expect("failed to spawn the log writer thread");
        Self {
            batch: String::new(),
            lines: 0,
            sender,
            dropped: 0,
            current_second: 0,
            lines_in_second: 0,
            now: Moment::ZERO,
        }
    }

    /// Sets the time stamp of the following lines.
    pub(crate) fn set_now(&mut self, now: Moment) {
        self.now = now;
    }

    /// Starts a line about a request; these lines are rate-limited.
    pub(crate) fn request(&mut self, part: &str, event: &str) -> LogLine<'_> {
        let current_second = self.now.as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        let enabled = self.lines_in_second <= LINES_PER_SECOND;
        if !enabled {
            self.dropped += 1;
        }
        LogLine::start(self, part, event, enabled)
    }

    /// Starts a line that isn't rate-limited.
    pub(crate) fn system(&mut self, part: &str, event: &str) -> LogLine<'_> {
        LogLine::start(self, part, event, true)
    }

    /// Sends the batch to the writer thread, or drops it if the thread lags.
    pub(crate) fn flush(&mut self) {
        if self.dropped > 0 && self.batch.len() < BATCH_BYTES {
            let dropped = std::mem::take(&mut self.dropped);
            self.system("logs", "dropped").number("lines", dropped);
        }
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let lines = std::mem::take(&mut self.lines);
        if let Err(TrySendError::Full(_)) = self.sender.try_send(batch) {
            self.dropped += u64::from(lines);
        }
    }

    /// Returns whether the batch must be flushed now.
    pub(crate) fn is_full(&self) -> bool {
        self.batch.len() >= BATCH_BYTES
    }
}

/// A log line; dropping it completes the line.
pub(crate) struct LogLine<'a> {
    writer: &'a mut LogWriter,
    enabled: bool,
}

impl<'a> LogLine<'a> {
    fn start(writer: &'a mut LogWriter, part: &str, event: &str, enabled: bool) -> Self {
        if enabled {
            let ms = writer.now.as_millis();
            let _ = write!(
                writer.batch,
                "{{\"t_ms\":{ms},\"part\":\"{part}\",\"event\":\"{event}\""
            );
            writer.lines += 1;
        }
        Self { writer, enabled }
    }

    /// Adds a text field; the value is escaped and truncated.
    pub(crate) fn text(self, name: &str, value: &str) -> Self {
        if self.enabled {
            let batch = &mut self.writer.batch;
            let _ = write!(batch, ",\"{name}\":\"");
            for character in value.chars().take(200) {
                match character {
                    '"' | '\\' => {
                        batch.push('\\');
                        batch.push(character);
                    }
                    character if character.is_control() => batch.push(' '),
                    character => batch.push(character),
                }
            }
            batch.push('"');
        }
        self
    }

    /// Adds a number field.
    pub(crate) fn number(self, name: &str, value: impl Into<u64>) -> Self {
        if self.enabled {
            let _ = write!(self.writer.batch, ",\"{name}\":{}", value.into());
        }
        self
    }

    /// Adds a duration field, in ms.
    pub(crate) fn ms(self, name: &str, value: Moment) -> Self {
        self.number(name, u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Drop for LogLine<'_> {
    fn drop(&mut self) {
        if self.enabled {
            self.writer.batch.push_str("}\n");
        }
    }
}
