//! A stand-in for a model engine with continuous batching.

use std::process::ExitCode;

use clap::Command;
use standins::engine::{EngineSettings, FakeEngine};
use standins::web;

fn main() -> ExitCode {
    let command = EngineSettings::flags(Command::new("fake-engine"));
    let settings = EngineSettings::from_matches(&command.get_matches());
    let listen = settings.listen;
    let Err(error) = web::serve(listen, FakeEngine::new(settings));
    eprintln!("fake-engine: {error}");
    ExitCode::FAILURE
}
