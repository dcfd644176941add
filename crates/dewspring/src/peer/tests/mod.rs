//! Tests of the peer slice.

mod duty;
mod fakes;
mod fleet;
mod membership;
mod port;
mod scale;
