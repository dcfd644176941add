//! The body of a response: complete, or streamed through a bounded channel.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Number of chunks that are buffered between the backend server and the
/// caller.
const CHANNEL_CHUNKS: usize = 8;

/// The error that ends a response before it is complete.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the response was truncated")]
pub struct TruncatedResponse;

/// Sender of the chunks of a streamed body.
pub(super) type ChunkSender = mpsc::Sender<Result<Bytes, TruncatedResponse>>;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; `None` if it is empty or already read.
    Ready(Option<Bytes>),
    /// A channel of chunks. A [`TruncatedResponse`] aborts the connection, so
    /// that the caller detects that the response is incomplete.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedResponse>>),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn ready(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Ready((!bytes.is_empty()).then_some(bytes))
    }

    /// Creates a streamed body and the sender of its chunks.
    pub(super) fn streamed() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(CHANNEL_CHUNKS);
        (sender, Self::Streamed(receiver))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match self.get_mut() {
            Self::Ready(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
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
