//! One request: its text, its sending, and the check of its answer.

mod body;
mod events;
mod exchange;
mod outcome;
#[cfg(test)]
mod tests;

pub(crate) use body::{request_body, request_headers};
pub(crate) use exchange::{HttpExchange, SentRequest};
#[cfg(test)]
pub(crate) use outcome::AnswerTimes;
pub(crate) use outcome::{AnswerRecord, RequestOutcome};
