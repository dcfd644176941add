//! Measures an answer on its way, by its form.

use bytes::Bytes;

use super::events::EventScanner;
use super::usage::UsageTail;
use crate::ids::TokenCount;

/// The measure of one answer.
#[derive(Debug)]
pub(super) enum AnswerMeter {
    /// An engine's stream of events, which is passed on event by event.
    Events(EventScanner),
    /// An engine's plain document, which names its tokens at its end.
    Document(UsageTail),
    /// An answer without tokens.
    Plain,
}

impl AnswerMeter {
    /// Takes a piece in and returns what may go on to the caller.
    pub(super) fn push(&mut self, piece: Bytes) -> Bytes {
        match self {
            Self::Events(scanner) => scanner.push(piece),
            Self::Document(tail) => {
                tail.push(&piece);
                piece
            }
            Self::Plain => piece,
        }
    }

    /// Returns the tokens that have gone on to the caller.
    pub(super) fn tokens(&self) -> TokenCount {
        match self {
            Self::Events(scanner) => scanner.tokens(),
            Self::Document(tail) => tail.tokens(),
            Self::Plain => 0,
        }
    }

    /// Returns whether the answer's last part is missing at its end.
    pub(super) fn is_short(&self) -> bool {
        match self {
            Self::Events(scanner) => !scanner.is_done(),
            Self::Document(_) | Self::Plain => false,
        }
    }

    /// Makes ready for a server that goes on where another one broke off;
    /// `false` if the form doesn't allow it.
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
