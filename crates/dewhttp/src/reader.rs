//! Decides whether a response is complete and keeps to the protocol.
//!
//! Every receiver of responses reads them with a [`ResponseReader`], whatever
//! connects it to the sender. Heads are parsed in [`super::head`], content is
//! decoded in [`super::body`].
//!
//! The main invariant: a response is complete only if its framing says so. Without
//! a framing it is complete only if both directions of its connection ended in
//! order.

use dewbudget::BodySink;
use thiserror::Error;

use super::body::{BodyDecoder, BodyError};
use super::head::{HeadError, ResponseHead, parse_response_to};
use super::response::MethodKind;

/// Maximum interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// State of the connection on which a response arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// More bytes may follow.
    Open,
    /// The sender closed its direction, and no error was noticed. More bytes of the
    /// request may have to be written.
    Closed,
    /// The sender closed its direction after the whole request was written, and no
    /// error was noticed.
    Ended,
    /// Reading or writing failed, or an error of the connection is pending.
    Broken,
}

/// How much of a response has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseProgress {
    /// More may follow.
    Incomplete,
    /// The response is complete.
    Complete,
    /// The rest of the response is lost.
    BrokenOff,
}

/// The bytes aren't a response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ResponseError {
    /// A head breaks the protocol or isn't supported.
    #[error("not an answer: {0}")]
    Head(#[from] HeadError),
    /// The content breaks the protocol.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// Interim responses go on without a final one.
    #[error("too many interim responses")]
    Interim,
}

impl ResponseError {
    /// Returns the kind of the error, for log lines and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Head(_) => "not an answer",
            Self::Body(_) => "malformed body",
            Self::Interim => "too many interim responses",
        }
    }
}

/// Reads the response to one request.
///
/// # Examples
///
/// ```
/// use dewhttp::{ConnectionState, ResponseProgress, ResponseReader};
///
/// let mut reader = ResponseReader::new("GET", 1024);
/// let bytes = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart";
/// let used = reader.read_head(bytes).unwrap();
/// assert_eq!(reader.head().unwrap().status, 200);
/// let mut content = Vec::new();
/// reader.read_content(&bytes[used..], &mut content).unwrap();
/// assert_eq!(content, b"part");
/// assert_eq!(reader.progress(ConnectionState::Ended), ResponseProgress::Complete);
/// assert_eq!(reader.progress(ConnectionState::Broken), ResponseProgress::BrokenOff);
/// ```
#[derive(Clone, Debug)]
pub struct ResponseReader {
    method: MethodKind,
    max_head: usize,
    interim_responses: u32,
    response: Option<(ResponseHead, BodyDecoder)>,
}

impl ResponseReader {
    /// Creates a reader of the response to a request with this method, each head of
    /// which has at most `max_head` bytes.
    pub fn new(method: &str, max_head: usize) -> Self {
        Self {
            method: MethodKind::of(method),
            max_head,
            interim_responses: 0,
            response: None,
        }
    }

    /// Reads interim responses and the head of the final one, unless that has been
    /// read; returns the number of input bytes used. An incomplete head is left in
    /// the input.
    ///
    /// # Errors
    ///
    /// Returns an error if a head breaks the protocol or is too long, or if there are
    /// too many interim responses.
    pub fn read_head(&mut self, input: &[u8]) -> Result<usize, ResponseError> {
        let mut used = 0;
        while self.response.is_none() {
            let Some(head) = parse_response_to(&input[used..], self.method, self.max_head)? else {
                break;
            };
            used += head.length;
            if head.status >= 200 {
                let decoder = BodyDecoder::new(head.body);
                self.response = Some((head, decoder));
                break;
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(ResponseError::Interim);
            }
        }
        Ok(used)
    }

    /// Returns the head of the final response once it is complete.
    pub fn head(&self) -> Option<&ResponseHead> {
        self.response.as_ref().map(|(head, _)| head)
    }

    /// Returns the head of the final response once it is complete.
    pub fn into_head(self) -> Option<ResponseHead> {
        self.response.map(|(head, _)| head)
    }

    /// Decodes content until it is complete; returns the number of input bytes used,
    /// which is 0 before the head is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the content breaks the protocol.
    pub fn read_content(
        &mut self,
        input: &[u8],
        out: &mut impl BodySink,
    ) -> Result<usize, ResponseError> {
        match &mut self.response {
            Some((_, decoder)) => Ok(decoder.decode(input, out)?),
            None => Ok(0),
        }
    }

    /// Returns whether the response is complete by its own framing, so that it
    /// doesn't depend on the end of its connection.
    pub fn is_framed(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|(_, decoder)| decoder.is_done())
    }

    /// Returns how much of the response has arrived, after all bytes that were
    /// received have been read.
    pub fn progress(&self, connection: ConnectionState) -> ResponseProgress {
        let response = self.response.as_ref();
        let lacks_framing = response.is_some_and(|(_, decoder)| decoder.ends_with_connection());
        match connection {
            _ if self.is_framed() => ResponseProgress::Complete,
            ConnectionState::Broken => ResponseProgress::BrokenOff,
            ConnectionState::Ended if lacks_framing => ResponseProgress::Complete,
            // Writing the rest of the request may still fail.
            ConnectionState::Closed if lacks_framing => ResponseProgress::Incomplete,
            ConnectionState::Closed | ConnectionState::Ended => ResponseProgress::BrokenOff,
            ConnectionState::Open => ResponseProgress::Incomplete,
        }
    }
}
