//! One connection to the store, with one call at a time.

use std::net::SocketAddr;
use std::time::Duration;

use mio::{Registry, Token};

use crate::clock::Moment;
use crate::format::{EncodedCall, StoreCall};
use crate::http::{AnswerHead, BodyDecoder, parse_answer};
use crate::net::{ReadEnd, WireChannel};

/// Shortest pause after a failed call.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(150);

/// Longest pause after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(600);

/// Bytes of an answer's head at most.
const MAX_HEAD: usize = 16 * 1024;

/// Bytes of an answer that are read at most.
const MAX_ANSWER: usize = 16 << 20;

/// A call in progress.
#[derive(Debug)]
pub(super) struct PendingCall {
    call: StoreCall,
    sent: Moment,
    pub(super) until: Moment,
    head: Option<(AnswerHead, BodyDecoder)>,
    body: Vec<u8>,
}

/// One connection to the store.
#[derive(Debug)]
pub(super) struct StoreLink {
    pub(super) token: Token,
    channel: Option<WireChannel>,
    pub(super) pending: Option<PendingCall>,
    pub(super) retry_at: Moment,
    failures: u32,
}

/// How a call ended.
pub(super) enum CallEnd {
    Waiting,
    Answered(StoreCall, Moment, u16, Vec<u8>),
    Failed(StoreCall, &'static str),
}

impl StoreLink {
    pub(super) fn new(token: Token) -> Self {
        Self {
            token,
            channel: None,
            pending: None,
            retry_at: Moment::ZERO,
            failures: 0,
        }
    }

    pub(super) fn is_free(&self, now: Moment) -> bool {
        self.pending.is_none() && self.retry_at <= now
    }

    pub(super) fn send(
        &mut self,
        registry: &Registry,
        address: SocketAddr,
        call: StoreCall,
        bytes: &EncodedCall,
        times: (Moment, Moment),
    ) {
        let (sent, until) = times;
        self.pending = Some(PendingCall {
            call,
            sent,
            until,
            head: None,
            body: Vec::new(),
        });
        if self.channel.is_none() {
            let opened = WireChannel::connect(address).and_then(|mut channel| {
                channel.register(registry, self.token)?;
                Ok(channel)
            });
            // A failed attempt is given up when the call's time is over.
            self.channel = opened.ok();
        }
        if let Some(channel) = &mut self.channel {
            let head = format!(
                "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                bytes.method,
                bytes.target,
                bytes.body.len()
            );
            channel.queue(head.as_bytes());
            channel.queue(&bytes.body);
            // An error shows again when the connection is read.
            let _ = channel.flush();
        }
    }

    pub(super) fn advance(&mut self, closing: bool) -> CallEnd {
        let Some(channel) = &mut self.channel else {
            return CallEnd::Waiting;
        };
        let flushed = channel.flush();
        let end = channel.fill(MAX_ANSWER, closing);
        let Some(pending) = &mut self.pending else {
            if end != ReadEnd::Open || !channel.inbound.is_empty() {
                self.channel = None;
            }
            return CallEnd::Waiting;
        };
        match read_response(pending, channel) {
            Err(reason) => return self.fail(reason),
            Ok(true) => {}
            Ok(false) if end != ReadEnd::Open => return self.fail("closed"),
            Ok(false) => {
                if flushed.is_err() && channel.stream.peer_addr().is_ok() {
                    return self.fail("broken");
                }
                return CallEnd::Waiting;
            }
        }
        let Some(pending) = self.pending.take() else {
            return CallEnd::Waiting;
        };
        let Some((head, _)) = pending.head else {
            return CallEnd::Waiting;
        };
        let reusable = end == ReadEnd::Open
            && channel.inbound.is_empty()
            && !head.fields.has_list_element("connection", "close");
        if !reusable {
            self.channel = None;
        }
        self.failures = 0;
        CallEnd::Answered(pending.call, pending.sent, head.status, pending.body)
    }

    pub(super) fn fail(&mut self, reason: &'static str) -> CallEnd {
        self.channel = None;
        match self.pending.take() {
            Some(pending) => CallEnd::Failed(pending.call, reason),
            None => CallEnd::Waiting,
        }
    }

    pub(super) fn pause(&mut self, now: Moment, draw: f64) {
        let most = RETRY_MIN
            .saturating_mul(1 << self.failures.min(4))
            .min(RETRY_MAX);
        self.failures += 1;
        self.retry_at = now + RETRY_MIN + (most - RETRY_MIN).mul_f64(draw);
    }
}

/// Reads on in an answer; returns whether it is whole.
fn read_response(
    pending: &mut PendingCall,
    channel: &mut WireChannel,
) -> Result<bool, &'static str> {
    if pending.head.is_none() {
        match parse_answer(&channel.inbound, "GET", MAX_HEAD) {
            Err(_) => return Err("malformed"),
            Ok(None) => return Ok(false),
            Ok(Some(head)) => {
                channel.consume(head.length);
                let decoder = BodyDecoder::new(head.body);
                pending.head = Some((head, decoder));
            }
        }
    }
    let Some((_, decoder)) = &mut pending.head else {
        return Ok(false);
    };
    let used = decoder
        .decode(&channel.inbound, &mut pending.body)
        .map_err(|_| "malformed")?;
    channel.consume(used);
    Ok(decoder.is_done())
}
