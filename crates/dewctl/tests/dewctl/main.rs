//! Tests of the command line and its modules.

mod broken;
mod command_line;
mod commit;
mod duties;
mod races;
mod support;
