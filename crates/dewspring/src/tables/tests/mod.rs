//! Tests of the tables.

mod documents;
mod lookup;
mod properties;
mod rebase;
mod samples;
mod verify;
