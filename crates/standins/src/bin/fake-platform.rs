//! A stand-in for the platform: its key-value service and its list of VMs.

use std::process::ExitCode;

use clap::Command;
use standins::platform::{FakePlatform, PlatformSettings};
use standins::web;

fn main() -> ExitCode {
    let command = PlatformSettings::flags(Command::new("fake-platform"));
    let settings = PlatformSettings::from_matches(&command.get_matches());
    let listen = settings.listen;
    let Err(error) = web::serve(listen, FakePlatform::new(settings));
    eprintln!("fake-platform: {error}");
    ExitCode::FAILURE
}
