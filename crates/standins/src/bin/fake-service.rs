//! A stand-in for a plain service, a backend server without a model.

use std::process::ExitCode;

use clap::Command;
use standins::crash::{CrashingHandler, crash_flag};
use standins::service::{FakeService, ServiceSettings};
use standins::web;

fn main() -> ExitCode {
    let command = ServiceSettings::flags(Command::new("fake-service"));
    let matches = crash_flag(command).get_matches();
    let settings = ServiceSettings::from_matches(&matches);
    let listen = settings.listen;
    let Err(error) = web::serve(
        listen,
        CrashingHandler::from_matches(FakeService::new(settings), &matches),
    );
    eprintln!("fake-service: {error}");
    ExitCode::FAILURE
}
