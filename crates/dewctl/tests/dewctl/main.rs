//! Tests of the command line and of its parts.

mod command_line;
mod commit;
mod races;
mod support;
