//! Tests of parsing, verification, lookup, diff, edit and merge of the tables.

mod documents;
mod lookup;
mod properties;
mod rebase;
mod samples;
mod verify;
