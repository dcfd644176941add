//! Splits a stream of server-sent events into whole events and counts tokens.
//!
//! Only whole events are forwarded to the caller. When a stream breaks, the
//! number of tokens that the caller has is therefore known exactly, and a
//! resumed stream neither repeats nor skips one.

use bytes::{Bytes, BytesMut};

use crate::ids::TokenCount;

/// Maximum size of an event that is buffered until it is complete, in bytes;
/// a longer one is forwarded in parts.
const MAX_EVENT_BYTES: usize = 256 * 1024;

const EVENT_END: &[u8] = b"\n\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Fields whose text marks an event as one token.
const CONTENT_FIELDS: [&[u8]; 2] = [b"\"content\":\"", b"\"text\":\""];

/// The same fields without text.
const EMPTY_FIELDS: [&[u8]; 2] = [b"\"content\":\"\"", b"\"text\":\"\""];

/// Scanner of one stream of events.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use dewspring::entry::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// let out = scanner.push(Bytes::from_static(b"data: {\"text\":\"a\"}\n\ndata: [D"));
/// assert_eq!(out, "data: {\"text\":\"a\"}\n\n");
/// assert_eq!(scanner.tokens(), 1);
/// assert!(!scanner.is_done());
/// ```
#[derive(Debug, Default)]
pub struct EventScanner {
    /// Bytes of an event that is still incomplete.
    tail: BytesMut,
    /// Number of events with content so far; each counts as one token.
    tokens: TokenCount,
    /// Whether the final `[DONE]` event was received.
    done: bool,
}

impl EventScanner {
    /// Appends bytes and returns all events that are complete now.
    pub fn push(&mut self, chunk: Bytes) -> Bytes {
        let whole = if self.tail.is_empty() && chunk.ends_with(EVENT_END) {
            chunk
        } else {
            self.tail.extend_from_slice(&chunk);
            self.split_tail()
        };
        self.count(&whole);
        whole
    }

    /// Returns the number of tokens so far, one for each event with content.
    pub fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Returns whether the final `[DONE]` event was received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Discards an incomplete event before the stream is resumed.
    pub fn restart(&mut self) {
        self.tail.clear();
    }

    fn split_tail(&mut self) -> Bytes {
        let end = rfind(&self.tail, EVENT_END).map(|start| start + EVENT_END.len());
        match end {
            Some(end) => self.tail.split_to(end).freeze(),
            None if self.tail.len() > MAX_EVENT_BYTES => self.tail.split().freeze(),
            None => Bytes::new(),
        }
    }

    fn count(&mut self, mut events: &[u8]) {
        while let Some(end) = find(events, EVENT_END) {
            let event = &events[..end];
            if event.starts_with(DONE_EVENT) {
                self.done = true;
            } else if has_content(event) {
                self.tokens += 1;
            }
            events = &events[end + EVENT_END.len()..];
        }
    }
}

fn has_content(event: &[u8]) -> bool {
    let has = |field: &&[u8]| find(event, field).is_some();
    CONTENT_FIELDS.iter().any(has) && !EMPTY_FIELDS.iter().any(has)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}
