//! The router daemon of an entry VM, a thin wrapper around the `dewspring` library.

use std::process::ExitCode;
use std::thread;

use clap::error::ErrorKind;
use dewspring::daemon::Daemon;
use dewspring::entry::ShutdownOutcome;
use dewspring::observe::init_logging;
use dewspring::settings::{DaemonSettings, settings_command};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit status for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Exit status when the daemon can't start, for example because of invalid
/// tables, or when responses are cut off at shutdown.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = match settings_command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            // Printing fails if the output is closed; that can't be reported either.
            let _printed = error.print();
            let is_help = matches!(
                error.kind(),
                ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
            );
            return ExitCode::from(if is_help { 0 } else { EXIT_SETTINGS });
        }
    };
    let settings = match DaemonSettings::check(&matches) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_logging(settings.log_format, settings.log_level.clone());
    match run(settings) {
        Ok(ShutdownOutcome::Finished) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::CutOff(count)) => {
            eprintln!("{count} requests were cut off");
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(settings: DaemonSettings) -> Result<ShutdownOutcome, Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let daemon = Daemon::spawn(settings)?;
    println!("listening on {}", daemon.entry_address());
    let stopper = daemon.stop_sender();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _signal in signals.forever() {
                // A full channel already holds a stop request.
                let _sent = stopper.try_send(());
            }
        })?;
    daemon.wait_for_stop();
    Ok(daemon.shut_down())
}
