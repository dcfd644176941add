//! Tests of the peer module.

mod fakes;
mod fleet;
mod listener;
mod membership;
mod scale;
mod worker;
