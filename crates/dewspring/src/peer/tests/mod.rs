//! Tests of the peer slice.

mod fleet;
mod membership;
mod rendezvous;
mod scale;
