//! Cuts the body of a stream into whole events.
//!
//! The main invariant: only whole events leave the cutter, and the part of an
//! event that a broken connection left behind is dropped.

/// Splits bytes into events and keeps the id of the last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

/// What was wrong with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// The id doesn't follow the id of the event before it.
    OutOfOrder {
        /// The id before it.
        after: u64,
        /// Its own id.
        found: u64,
    },
}

impl EventSplitter {
    /// Makes a cutter for a caller that has the events up to `last_id`.
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
        }
    }

    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the bytes of all whole events so far.
    ///
    /// # Errors
    ///
    /// Returns an error if an event's id doesn't follow the one before it; no
    /// event of this call may then be passed on.
    pub fn take_events(&mut self) -> Result<Vec<u8>, EventError> {
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            if let Some(id) = event_id(event) {
                if let Some(after) = self.last_id
                    && id != after + 1
                {
                    return Err(EventError::OutOfOrder { after, found: id });
                }
                self.last_id = Some(id);
            }
            self.events += 1;
            end += length;
        }
        Ok(self.pending.drain(..end).collect())
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events so far.
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Returns whether an event has begun and isn't whole.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the part of an event that a broken connection left behind.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first whole event, with its empty line.
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
