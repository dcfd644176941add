//! A stand-in for a plain service, a backend server without a model.

use std::process::ExitCode;

use clap::Command;
use standins::service::{FakeService, ServiceSettings};
use standins::web;

fn main() -> ExitCode {
    let command = ServiceSettings::flags(Command::new("fake-service"));
    let settings = ServiceSettings::from_matches(&command.get_matches());
    let listen = settings.listen;
    let Err(error) = web::serve(listen, FakeService::new(settings));
    eprintln!("fake-service: {error}");
    ExitCode::FAILURE
}
