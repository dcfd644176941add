//! One request: its headers and body, the exchange, and the check of the
//! response.

mod body;
mod events;
mod exchange;
mod outcome;
#[cfg(test)]
mod tests;

pub(crate) use body::{request_body, request_headers};
pub(crate) use exchange::{HttpExchange, PreparedRequest};
#[cfg(test)]
pub(crate) use outcome::ResponseTimes;
pub(crate) use outcome::{RequestOutcome, ResponseRecord};
