//! The frames of a connection: length, then bincode.
//!
//! They carry what `tarpc` needs and no trace context, which would double the
//! size of a heartbeat. A time limit is sent in milliseconds and bounded when
//! it is read, so that no frame can name a point in time that overflows.

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

/// Longest document that is passed on, in bytes; the store holds no more.
pub(super) const DOCUMENT_LIMIT: usize = 1 << 20;

/// Longest frame in bytes.
pub(super) const FRAME_LIMIT: usize = DOCUMENT_LIMIT + (1 << 16);

/// Calls in flight on one connection.
///
/// It is above the number of questions that a VM asks at the same time, so
/// that heartbeats never wait behind them.
pub(super) const CALLS_IN_FLIGHT: usize = 16_384;

/// Longest time limit of a call.
pub(super) const CALL_TIME_LIMIT: Duration = Duration::from_secs(3_600);

/// What a caller sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum CallFrame<Message> {
    /// A call.
    Call {
        id: u64,
        time_limit_ms: u32,
        message: Message,
    },
    /// The answer to a call is wanted no more.
    Cancel { id: u64 },
}

/// What a callee sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ReplyFrame<Message> {
    id: u64,
    result: Result<Message, ServerError>,
}

/// A connection that sends and receives frames as `tarpc` messages.
pub(super) struct FrameTransport<Stream, ReceivedFrame, SentFrame, Received, Sent> {
    inner: Transport<Stream, ReceivedFrame, SentFrame, Bincode<ReceivedFrame, SentFrame>>,
    decode: fn(ReceivedFrame) -> Received,
    encode: fn(Sent) -> SentFrame,
}

/// The caller's side of a connection.
pub(super) type CallerTransport<Stream, Call, Reply> = FrameTransport<
    Stream,
    ReplyFrame<Reply>,
    CallFrame<Call>,
    Response<Reply>,
    ClientMessage<Call>,
>;

/// The callee's side of a connection.
pub(super) type CalleeTransport<Stream, Call, Reply> = FrameTransport<
    Stream,
    CallFrame<Call>,
    ReplyFrame<Reply>,
    ClientMessage<Call>,
    Response<Reply>,
>;

/// Returns the caller's side of a connection.
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

/// Returns the callee's side of a connection.
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
        .max_frame_length(FRAME_LIMIT)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}

fn encode_call<Call>(message: ClientMessage<Call>) -> CallFrame<Call> {
    match message {
        ClientMessage::Request(request) => {
            let left = request
                .context
                .deadline
                .saturating_duration_since(Instant::now());
            let left = left.min(CALL_TIME_LIMIT).as_millis();
            CallFrame::Call {
                id: request.id,
                time_limit_ms: u32::try_from(left).expect("the limit of a call fits"),
                message: request.message,
            }
        }
        ClientMessage::Cancel { request_id, .. } => CallFrame::Cancel { id: request_id },
        other => unreachable!(
            "tarpc has no other message: {:?}",
            std::mem::discriminant(&other)
        ),
    }
}

fn decode_call<Call>(frame: CallFrame<Call>) -> ClientMessage<Call> {
    match frame {
        CallFrame::Call {
            id,
            time_limit_ms,
            message,
        } => {
            let limit = Duration::from_millis(time_limit_ms.into()).min(CALL_TIME_LIMIT);
            ClientMessage::Request(Request {
                context: call_context(limit),
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

/// Returns the context of a call that may take as long as the limit.
pub(super) fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit.min(CALL_TIME_LIMIT);
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
            // The end is an error, so that calls in flight are dropped at once.
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
