//! The body of an answer: held ready, or streamed through a bounded channel.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Number of pieces that wait between the backend server and the caller.
const CHANNEL_PIECES: usize = 8;

/// The answer ended before it was whole.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the answer was cut off")]
pub struct BrokenAnswer;

/// Sending side of a streamed body.
pub(super) type PieceSender = mpsc::Sender<Result<Bytes, BrokenAnswer>>;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body; `None` once it is taken.
    Ready(Option<Bytes>),
    /// Pieces as they come. A [`BrokenAnswer`] aborts the connection, so
    /// that the caller sees that the answer isn't whole.
    Streamed(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
}

impl AnswerBody {
    /// Makes a body that is ready.
    pub fn ready(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Ready((!bytes.is_empty()).then_some(bytes))
    }

    /// Makes a streamed body and the side that feeds it.
    pub(super) fn streamed() -> (PieceSender, Self) {
        let (sender, receiver) = mpsc::channel(CHANNEL_PIECES);
        (sender, Self::Streamed(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Ready(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(receiver) => receiver
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Ready(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Ready(bytes) => {
                let length = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                SizeHint::with_exact(length)
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
