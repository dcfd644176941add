//! Strict parsing of HTTP/1.1 heads and bodies, and encoding of responses.
//!
//! [`ResponseReader`] decides for all receivers of responses whether one is complete.
//! [`CallRequest`] is for threads that wait for a response.
//!
//! Heads are parsed by a library; ambiguous messages that it accepts are
//! rejected here.
//!
//! The main invariant: the end of a message is never ambiguous. A message whose
//! end two parsers could see in different places is rejected.

mod body;
mod client;
mod head;
mod reader;
mod response;

pub use body::{BodyDecoder, BodyError, BodyLength};
pub use client::{CallRequest, CallResponse};
pub use head::{HeadError, HeaderFields, RequestHead, ResponseHead, parse_request, parse_response};
pub use reader::{ConnectionState, ResponseError, ResponseProgress, ResponseReader};
pub use response::{ContentFraming, MethodKind, ResponseEncoder, ResponseStart, reason_phrase};
