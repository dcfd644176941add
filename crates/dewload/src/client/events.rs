//! The events of a streamed answer, and the check that it is its caller's own
//! and whole.

use serde::Deserialize;

const EVENT_PREFIX: &str = "data: ";
const EVENT_END: &[u8] = b"\n\n";
const DONE_DATA: &str = "[DONE]";

/// What the check of a streamed answer found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamVerdict {
    /// The answer is whole and its caller's own.
    Whole,
    /// The answer ended early, but what came is right.
    CutOff,
    /// A token is another request's, or out of its place.
    Wrong,
}

#[derive(Deserialize)]
struct StreamChunk {
    choices: Vec<StreamChoice>,
}

#[derive(Deserialize)]
struct StreamChoice {
    delta: Option<ChoiceDelta>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ChoiceDelta {
    content: Option<String>,
}

/// Checks the tokens of one answer as they come.
#[derive(Debug)]
pub(super) struct StreamCheck {
    request_id: String,
    expected_tokens: Option<u64>,
    buffer: Vec<u8>,
    tokens: u64,
    is_finished: bool,
    is_done: bool,
    is_wrong: bool,
}

impl StreamCheck {
    pub(super) fn new(request_id: impl Into<String>, expected_tokens: Option<u64>) -> Self {
        Self {
            request_id: request_id.into(),
            expected_tokens,
            buffer: Vec::new(),
            tokens: 0,
            is_finished: false,
            is_done: false,
            is_wrong: false,
        }
    }

    /// Takes bytes of the answer; returns the number of tokens in them.
    pub(super) fn push(&mut self, bytes: &[u8]) -> u64 {
        let before = self.tokens;
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = find(&self.buffer[start..], EVENT_END) {
            let event = String::from_utf8_lossy(&self.buffer[start..start + length]).into_owned();
            self.take_event(&event);
            start += length + EVENT_END.len();
        }
        self.buffer.drain(..start);
        self.tokens - before
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Judges the answer after its last byte.
    pub(super) fn verdict(&self) -> StreamVerdict {
        let is_short = !self.is_done || !self.is_finished || !self.buffer.is_empty();
        let has_all = self
            .expected_tokens
            .is_none_or(|expected| expected == self.tokens);
        match (self.is_wrong, is_short) {
            (true, _) => StreamVerdict::Wrong,
            (false, true) => StreamVerdict::CutOff,
            (false, false) if has_all => StreamVerdict::Whole,
            (false, false) => StreamVerdict::Wrong,
        }
    }

    fn take_event(&mut self, event: &str) {
        let data = event.strip_prefix(EVENT_PREFIX);
        match data {
            Some(DONE_DATA) => self.is_done = true,
            Some(data) if !self.is_done => match serde_json::from_str::<StreamChunk>(data) {
                Ok(chunk) => self.take_chunk(&chunk),
                Err(_) => self.is_wrong = true,
            },
            _ => self.is_wrong = true,
        }
    }

    fn take_chunk(&mut self, chunk: &StreamChunk) {
        let Some(choice) = chunk.choices.first() else {
            return;
        };
        let content = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref())
            .or(choice.text.as_deref())
            .unwrap_or_default();
        for token in content.split_inclusive(' ') {
            self.is_wrong |= token != format!("{}:{} ", self.request_id, self.tokens);
            self.tokens += 1;
        }
        self.is_finished |= choice.finish_reason.is_some();
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
