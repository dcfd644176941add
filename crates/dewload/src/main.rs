//! The command `dewload`.

use std::process::ExitCode;

use dewload::cli;

fn main() -> ExitCode {
    cli::run(&cli::command().get_matches())
}
