//! HTTP/1.1 heads and bodies, read strictly.
//!
//! Heads are parsed by a library; what it lets through and could be read in two
//! ways is refused here.
//!
//! The main invariant: the end of a message is never ambiguous. A message
//! whose end two readers could see in different places is refused.

mod body;
mod head;

pub use body::{BodyDecoder, BodyError, BodyLength};
pub use head::{HeadError, HeaderFields, RequestHead, ResponseHead, parse_request, parse_response};
