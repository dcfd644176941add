//! A stand-in for a model engine with continuous batching.

use std::process::ExitCode;

use clap::Command;
use standins::crash::{CrashingHandler, crash_flag};
use standins::engine::{EngineSettings, FakeEngine};
use standins::web;

fn main() -> ExitCode {
    let command = EngineSettings::flags(Command::new("fake-engine"));
    let matches = crash_flag(command).get_matches();
    let settings = EngineSettings::from_matches(&matches);
    let listen = settings.listen;
    let Err(error) = web::serve(
        listen,
        CrashingHandler::from_matches(FakeEngine::new(settings), &matches),
    );
    eprintln!("fake-engine: {error}");
    ExitCode::FAILURE
}
