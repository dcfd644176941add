//! Parsing of a streamed completion, and the check that it is complete and
//! belongs to the request.

use serde::Deserialize;

const EVENT_PREFIX: &str = "data: ";
const EVENT_END: &[u8] = b"\n\n";
const DONE_DATA: &str = "[DONE]";

/// The result of checking a streamed completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamResult {
    /// The completion is whole and belongs to the request.
    Whole,
    /// The stream ended early, and the tokens received are correct.
    CutOff,
    /// A token belongs to another request or is out of order, an event is
    /// malformed, or the number of tokens is wrong.
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

/// Checks the tokens of one streamed completion as they arrive.
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

    /// Parses the next bytes of the stream; returns the number of tokens that
    /// they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> u64 {
        let before = self.tokens;
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = find_bytes(&self.buffer[start..], EVENT_END) {
            let event = String::from_utf8_lossy(&self.buffer[start..start + length]).into_owned();
            self.handle_event(&event);
            start += length + EVENT_END.len();
        }
        self.buffer.drain(..start);
        self.tokens - before
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the result of the check after the last byte.
    pub(super) fn result(&self) -> StreamResult {
        let is_short = !self.is_done || !self.is_finished || !self.buffer.is_empty();
        let has_all = self
            .expected_tokens
            .is_none_or(|expected| expected == self.tokens);
        match (self.is_wrong, is_short) {
            (true, _) => StreamResult::Wrong,
            (false, true) => StreamResult::CutOff,
            (false, false) if has_all => StreamResult::Whole,
            (false, false) => StreamResult::Wrong,
        }
    }

    fn handle_event(&mut self, event: &str) {
        let data = event.strip_prefix(EVENT_PREFIX);
        match data {
            Some(DONE_DATA) => self.is_done = true,
            Some(data) if !self.is_done => match serde_json::from_str::<StreamChunk>(data) {
                Ok(chunk) => self.handle_chunk(&chunk),
                Err(_) => self.is_wrong = true,
            },
            _ => self.is_wrong = true,
        }
    }

    fn handle_chunk(&mut self, chunk: &StreamChunk) {
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

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
