//! Requests that crash the stand-in that runs them.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use hyper::Method;

use crate::web::{HandlerResult, RequestHandler, WebRequest};

/// Time from the arrival of a request to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(20);

/// Exit status of a program that a request has crashed.
const CRASH_STATUS: i32 = 70;

/// Adds the flag that makes requests crash the program to a command.
#[must_use]
pub fn crash_flag(command: Command) -> Command {
    command.arg(
        Arg::new("crash-on")
            .long("crash-on")
            .value_name("TEXT")
            .help("Exit when a POST request has this text in its path or body"),
    )
}

/// A handler whose program exits when it runs certain requests.
#[derive(Clone, Debug)]
pub struct CrashingHandler<H> {
    handler: H,
    crash_on: Option<String>,
}

impl<H> CrashingHandler<H> {
    /// Wraps a handler according to the flag [`crash_flag`].
    #[must_use]
    pub fn from_matches(handler: H, matches: &ArgMatches) -> Self {
        Self {
            handler,
            crash_on: matches.get_one("crash-on").cloned(),
        }
    }

    fn crashes(&self, request: &WebRequest) -> bool {
        let body = String::from_utf8_lossy(&request.body);
        self.crash_on.as_ref().is_some_and(|text| {
            request.method == Method::POST && (request.path.contains(text) || body.contains(text))
        })
    }
}

impl<H: RequestHandler> RequestHandler for CrashingHandler<H> {
    async fn handle(&self, request: WebRequest) -> HandlerResult {
        if self.crashes(&request) {
            tokio::time::sleep(TIME_TO_CRASH).await;
            std::process::exit(CRASH_STATUS);
        }
        self.handler.handle(request).await
    }
}
