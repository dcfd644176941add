//! Framing of RPC messages: a length prefix, then the message in bincode.
//!
//! Frames carry what `tarpc` needs except the trace context, which would double
//! the size of a heartbeat. Deadlines are sent as a timeout in milliseconds,
//! which the reader bounds, so that no frame can make a deadline overflow.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::{Sink, Stream};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{ClientMessage, Request, Response, ServerError, context};
use tokio::io::{AsyncRead, AsyncWrite};

/// Longest configuration document that is sent, in bytes, as in the store.
pub(super) const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Longest frame in bytes.
pub(super) const MAX_FRAME_BYTES: usize = MAX_DOCUMENT_BYTES + (1 << 16);

/// Most calls in flight on one connection.
///
/// It exceeds the number of grant requests that a VM may have in flight, so that
/// heartbeats never wait behind them.
pub(super) const MAX_CALLS_IN_FLIGHT: usize = 16_384;

/// Longest timeout of a call.
pub(super) const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Frame that a caller sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum CallFrame<Message> {
    /// Starts a call.
    Call {
        id: u64,
        timeout_ms: u32,
        message: Message,
    },
    /// Cancels a call.
    Cancel { id: u64 },
}

/// Frame that a callee sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ReplyFrame<Message> {
    id: u64,
    result: Result<Message, ServerError>,
}

/// Transport that converts between frames and `tarpc` messages.
pub(super) struct FrameTransport<Stream, ReceivedFrame, SentFrame, Received, Sent> {
    inner: Transport<Stream, ReceivedFrame, SentFrame, Bincode<ReceivedFrame, SentFrame>>,
    decode: fn(ReceivedFrame) -> Received,
    encode: fn(Sent) -> SentFrame,
}

/// Caller's side of a connection.
pub(super) type CallerTransport<Stream, Call, Reply> = FrameTransport<
    Stream,
    ReplyFrame<Reply>,
    CallFrame<Call>,
    Response<Reply>,
    ClientMessage<Call>,
>;

/// Callee's side of a connection.
pub(super) type CalleeTransport<Stream, Call, Reply> = FrameTransport<
    Stream,
    CallFrame<Call>,
    ReplyFrame<Reply>,
    ClientMessage<Call>,
    Response<Reply>,
>;

/// Wraps a stream as the caller's side of a connection.
pub(super) fn caller_transport<Stream, Call, Reply>(
    stream: Stream,
) -> CallerTransport<Stream, Call, Reply>
where
    Stream: AsyncRead + AsyncWrite,
    Call: Serialize,
    Reply: for<'de> Deserialize<'de>,
{
    FrameTransport {
        inner: framed(stream),
        decode: |frame| Response {
            request_id: frame.id,
            message: frame.result,
        },
        encode: encode_call,
    }
}

/// Wraps a stream as the callee's side of a connection.
pub(super) fn callee_transport<Stream, Call, Reply>(
    stream: Stream,
) -> CalleeTransport<Stream, Call, Reply>
where
    Stream: AsyncRead + AsyncWrite,
    Call: for<'de> Deserialize<'de>,
    Reply: Serialize,
{
    FrameTransport {
        inner: framed(stream),
        decode: decode_call,
        encode: |response| ReplyFrame {
            id: response.request_id,
            result: response.message,
        },
    }
}

fn framed<Stream, Received, Sent>(
    stream: Stream,
) -> Transport<Stream, Received, Sent, Bincode<Received, Sent>>
where
    Stream: AsyncRead + AsyncWrite,
    Received: for<'de> Deserialize<'de>,
    Sent: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}

fn encode_call<Call>(message: ClientMessage<Call>) -> CallFrame<Call> {
    match message {
        ClientMessage::Request(request) => {
            let remaining = request
                .context
                .deadline
                .saturating_duration_since(Instant::now());
            let remaining = remaining.min(MAX_CALL_TIMEOUT).as_millis();
            CallFrame::Call {
                id: request.id,
                timeout_ms: u32::try_from(remaining)
                    .expect("the bounded timeout fits into 32 bits"),
                message: request.message,
            }
        }
        ClientMessage::Cancel { request_id, .. } => CallFrame::Cancel { id: request_id },
        other => unreachable!(
            "tarpc sends no other kind of message: {:?}",
            std::mem::discriminant(&other)
        ),
    }
}

fn decode_call<Call>(frame: CallFrame<Call>) -> ClientMessage<Call> {
    match frame {
        CallFrame::Call {
            id,
            timeout_ms,
            message,
        } => {
            let timeout = Duration::from_millis(timeout_ms.into()).min(MAX_CALL_TIMEOUT);
            ClientMessage::Request(Request {
                context: call_context(timeout),
                id,
                message,
            })
        }
        CallFrame::Cancel { id } => ClientMessage::Cancel {
            trace_context: Default::default(),
            request_id: id,
        },
    }
}

/// Returns the context of a call with a timeout, bounded by [`MAX_CALL_TIMEOUT`].
pub(super) fn call_context(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout.min(MAX_CALL_TIMEOUT);
    context
}

impl<Channel, ReceivedFrame, SentFrame, Received, Sent> Stream
    for FrameTransport<Channel, ReceivedFrame, SentFrame, Received, Sent>
where
    Channel: AsyncRead + AsyncWrite + Unpin,
    ReceivedFrame: for<'de> Deserialize<'de> + Unpin,
    SentFrame: Serialize + Unpin,
{
    type Item = io::Result<Received>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let decode = self.decode;
        Pin::new(&mut self.inner).poll_next(context).map(|item| {
            // End of stream is reported as an error, so that tarpc drops the calls in flight at
            // once.
            let frame = item.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
            Some(frame.map(decode))
        })
    }
}

impl<Channel, ReceivedFrame, SentFrame, Received, Sent> Sink<Sent>
    for FrameTransport<Channel, ReceivedFrame, SentFrame, Received, Sent>
where
    Channel: AsyncRead + AsyncWrite + Unpin,
    ReceivedFrame: for<'de> Deserialize<'de> + Unpin,
    SentFrame: Serialize + Unpin,
{
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_ready(context)
    }

    fn start_send(mut self: Pin<&mut Self>, item: Sent) -> io::Result<()> {
        let frame = (self.encode)(item);
        Pin::new(&mut self.inner).start_send(frame)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
