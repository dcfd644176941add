//! Structured log lines to standard output.
//!
//! Lines are JSON objects, collected in a batch by the loop and written by a
//! thread of their own, so that a slow reader never holds up requests.
//!
//! The main invariant: the memory of waiting lines is bounded, and each line
//! that is dropped is counted and reported.

use std::fmt::Write as _;
use std::io::Write as _;
use std::thread;

use crossbeam::channel::{Sender, TrySendError, bounded};

use crate::clock::Moment;

/// Batches that may wait for the writer.
const MAX_BATCHES: usize = 32;

/// Bytes after which a batch is handed over at once.
const BATCH_BYTES: usize = 16 * 1024;

/// Lines about requests that are written in a second at most.
const LINES_PER_SECOND: u32 = 400;

/// Collects lines and hands them to the writer.
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
    /// Starts the writer.
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
            .expect("the thread of the logs starts");
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

    /// Sets the time of the next lines.
    pub(crate) fn set_now(&mut self, now: Moment) {
        self.now = now;
    }

    /// Starts a line of which only a bounded number is written in a second.
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

    /// Starts a line that is always written.
    pub(crate) fn system(&mut self, part: &str, event: &str) -> LogLine<'_> {
        LogLine::start(self, part, event, true)
    }

    /// Hands the batch to the writer; drops it if the writer lags.
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

    /// Returns whether the batch should be handed over now.
    pub(crate) fn is_full(&self) -> bool {
        self.batch.len() >= BATCH_BYTES
    }
}

/// One line; it is complete when it is dropped.
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

    /// Adds text, which may come from outside.
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

    /// Adds a number.
    pub(crate) fn number(self, name: &str, value: impl Into<u64>) -> Self {
        if self.enabled {
            let _ = write!(self.writer.batch, ",\"{name}\":{}", value.into());
        }
        self
    }

    /// Adds a time, in ms.
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
