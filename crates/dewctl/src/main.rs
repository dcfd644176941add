//! Command line for operators of a dewspring fleet.

use std::process::ExitCode;

use dewspring::store::GatewayStore;

fn main() -> ExitCode {
    let arguments = std::env::args_os();
    let mut output = std::io::stdout();
    let mut errors = std::io::stderr();
    let status = dewctl::run(arguments, &mut output, &mut errors, GatewayStore::open);
    ExitCode::from(status as u8)
}
