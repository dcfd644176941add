//! Splits the body of an event stream into complete events.
//!
//! The main invariant: only complete events are returned, and a partial event
//! left by a broken connection is discarded. In a stream that another server may
//! continue, each event follows the one before it.

/// Maximum bytes of an event.
const MAX_EVENT: usize = 256 * 1024;

/// Splits bytes into events and tracks the id of the last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
    requires_ids: bool,
}

/// Why an event is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// The event is longer than 256 KiB.
    TooLong,
    /// The id doesn't follow the id of the previous event.
    OutOfOrder {
        /// Id of the previous event.
        after: u64,
        /// Id of this event.
        found: u64,
    },
    /// The event has no id, and those before it have one.
    WithoutId {
        /// Id of the previous event.
        after: u64,
    },
    /// The event reports that the server failed.
    Failure {
        /// Id of the previous event.
        after: u64,
    },
}

impl EventSplitter {
    /// Creates a splitter for a caller that has the events up to `last_id`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::stream::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::new(None);
    /// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    /// assert_eq!(splitter.take_events().unwrap(), b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// assert!(splitter.has_partial());
    /// ```
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            pending: Vec::new(),
            last_id,
            events: 0,
            requires_ids: false,
        }
    }

    /// Rejects events without an id, and those of the type `error`, once an event
    /// has had an id. Comments stay valid.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::stream::{EventError, EventSplitter};
    ///
    /// let mut splitter = EventSplitter::new(Some(3)).requiring_ids();
    /// splitter.push(b"data: overloaded\n\n");
    /// assert_eq!(splitter.take_events(), Err(EventError::WithoutId { after: 3 }));
    /// ```
    #[must_use]
    pub fn requiring_ids(mut self) -> Self {
        self.requires_ids = true;
        self
    }

    /// Appends bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the bytes of all complete events since the last call.
    ///
    /// # Errors
    ///
    /// Returns an error if an event isn't the next one of the stream, or is too long.
    /// Then no event of this call may be forwarded, and none of them counts.
    pub fn take_events(&mut self) -> Result<Vec<u8>, EventError> {
        let (mut end, mut last_id, mut events) = (0, self.last_id, 0);
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            last_id = self.check_event(event, last_id)?;
            events += 1;
            end += length;
        }
        if self.pending.len() - end > MAX_EVENT {
            return Err(EventError::TooLong);
        }
        self.last_id = last_id;
        self.events += events;
        Ok(self.pending.drain(..end).collect())
    }

    /// Checks that an event follows the one with the id `last_id`; returns the id
    /// of the last event up to this one.
    fn check_event(&self, event: &[u8], last_id: Option<u64>) -> Result<Option<u64>, EventError> {
        let id = event_id(event);
        let Some(after) = last_id else {
            return Ok(id);
        };
        if self.requires_ids && is_failure(event) {
            return Err(EventError::Failure { after });
        }
        match id {
            Some(found) if Some(found) != after.checked_add(1) => {
                Err(EventError::OutOfOrder { after, found })
            }
            Some(found) => Ok(Some(found)),
            None if self.requires_ids && !is_comment(event) => Err(EventError::WithoutId { after }),
            None => Ok(last_id),
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events.
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Returns whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the length of the buffered partial event.
    pub fn partial_len(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns the bytes of a partial event.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::stream::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::new(None);
    /// splitter.push(b"id: 1\nda");
    /// assert_eq!(splitter.take_partial(), b"id: 1\nda");
    /// assert!(!splitter.has_partial());
    /// ```
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Discards a partial event left by a broken connection.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first complete event, including its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|text| std::str::from_utf8(text).ok())
        .find_map(|text| text.trim().parse().ok())
}

/// Returns whether an event is of the type `error`.
fn is_failure(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"event:"))
        .any(|name| name.trim_ascii() == b"error")
}

/// Returns whether an event has no fields, such as a server's keepalive.
fn is_comment(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .all(|line| line.starts_with(b":") || line.trim_ascii().is_empty())
}
