//! Counts the tokens of a response while it is forwarded.

use bytes::Bytes;

use super::events::EventScanner;
use super::usage::UsageTail;
use crate::ids::TokenCount;

/// Token counter of one response, by its format.
#[derive(Debug)]
pub(super) enum ResponseMeter {
    /// An engine's stream of events, which is forwarded in whole events.
    Events(EventScanner),
    /// An engine's JSON document, which states its token count at its end.
    Document(UsageTail),
    /// A response without tokens.
    Plain,
}

impl ResponseMeter {
    /// Counts a chunk and returns the bytes that may be forwarded now.
    pub(super) fn push(&mut self, chunk: Bytes) -> Bytes {
        match self {
            Self::Events(scanner) => scanner.push(chunk),
            Self::Document(tail) => {
                tail.push(&chunk);
                chunk
            }
            Self::Plain => chunk,
        }
    }

    /// Returns the number of tokens in the forwarded bytes.
    pub(super) fn tokens(&self) -> TokenCount {
        match self {
            Self::Events(scanner) => scanner.tokens(),
            Self::Document(tail) => tail.tokens(),
            Self::Plain => 0,
        }
    }

    /// Returns whether a response that ended now would lack its final event.
    pub(super) fn is_incomplete(&self) -> bool {
        match self {
            Self::Events(scanner) => !scanner.is_done(),
            Self::Document(_) | Self::Plain => false,
        }
    }

    /// Prepares for a server that resumes a broken response; returns `false` if
    /// the format doesn't allow that.
    pub(super) fn restart(&mut self) -> bool {
        match self {
            Self::Events(scanner) => {
                scanner.restart();
                true
            }
            Self::Document(_) | Self::Plain => false,
        }
    }
}
