//! Tests of the command line and its modules.

mod command_line;
mod commit;
mod races;
mod support;
