//! A connection on which responses are sent.
//!
//! The main invariant: every byte that leaves on it was encoded by its
//! [`ResponseEncoder`]; the queue of the connection below can't be reached.

use std::io;
use std::ops::Deref;

use dewbudget::SegmentedBody;
use mio::{Registry, Token};

use crate::http::{ConnectionState, MethodKind, ResponseEncoder, ResponseStart};
use crate::net::TcpChannel;

/// A TCP connection with the encoder of its responses.
#[derive(Debug)]
pub(crate) struct ResponseChannel {
    channel: TcpChannel,
    encoder: ResponseEncoder,
}

impl Deref for ResponseChannel {
    type Target = TcpChannel;

    fn deref(&self) -> &TcpChannel {
        &self.channel
    }
}

impl ResponseChannel {
    pub(crate) fn new(channel: TcpChannel) -> Self {
        Self {
            channel,
            encoder: ResponseEncoder::default(),
        }
    }

    /// Sets the method that the next response answers by the bytes with which its
    /// request begins.
    pub(crate) fn expect_request(&mut self) {
        let method = MethodKind::of_request(&self.channel.inbound);
        self.encoder.expect(method);
    }

    /// Returns the encoder of the responses.
    pub(crate) fn encoder(&self) -> &ResponseEncoder {
        &self.encoder
    }

    /// Queues the head of a response.
    pub(crate) fn queue_head(&mut self, start: &ResponseStart<'_>) {
        let head = self.encoder.head(start);
        self.channel.queue(&head);
    }

    /// Queues content of a response.
    pub(crate) fn queue_content(&mut self, bytes: &[u8]) {
        let content = self.encoder.content(bytes);
        if !content.is_empty() {
            self.channel.queue(&content);
        }
    }

    /// Queues the whole content of a response whose head named its length.
    pub(crate) fn queue_body(&mut self, body: SegmentedBody) {
        if self.encoder.has_content() {
            self.channel.queue_body(body);
        }
    }

    /// Queues the end of a response.
    pub(crate) fn queue_end(&mut self) {
        let end = self.encoder.end();
        if !end.is_empty() {
            self.channel.queue(end);
        }
    }

    /// See [`TcpChannel::register`].
    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        self.channel.register(registry, token)
    }

    /// See [`TcpChannel::flush`].
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.channel.flush()
    }

    /// See [`TcpChannel::fill`].
    pub(crate) fn fill(&mut self, limit: usize, closing: bool) -> ConnectionState {
        self.channel.fill(limit, closing)
    }

    /// See [`TcpChannel::consume`].
    pub(crate) fn consume(&mut self, count: usize) {
        self.channel.consume(count);
    }

    /// See [`TcpChannel::discard_inbound`].
    pub(crate) fn discard_inbound(&mut self) {
        self.channel.discard_inbound();
    }

    /// See [`TcpChannel::hold_back`].
    pub(crate) fn hold_back(&mut self, is_held_back: bool) {
        self.channel.hold_back(is_held_back);
    }
}
