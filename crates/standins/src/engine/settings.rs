//! Settings of one engine, read from flags.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::flags::{count, listen_address, listen_flag, millis, number, number_flag};

const NANOS_PER_MICRO: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name that the model list gives as the owner.
    pub name: String,
    /// Models that the engine serves.
    pub models: Vec<String>,
    /// Maximum number of requests decoded concurrently.
    pub slots: usize,
    /// Whether waiting requests are ordered by their `x-priority` header.
    pub honour_priority: bool,
    /// Time to prefill one token of a prompt.
    pub prefill_per_token: Duration,
    /// Time between tokens when one request is decoded.
    pub token_interval: Duration,
    /// Fraction of the interval that each further request in the batch adds.
    pub batch_slowdown: f64,
    /// Factor on all speeds; 1 is normal.
    pub speed: f64,
    /// Delay of the load reports and cache events.
    pub report_lag: Duration,
    /// Maximum number of prompt prefixes in the cache.
    pub cache_prefixes: usize,
    /// Percentage of cache events that are omitted.
    pub event_gaps_percent: u64,
    /// Whether requests are refused with 503 when the queue is full.
    pub not_run_503: bool,
    /// Number of waiting requests at which the queue is full.
    pub queue_limit: usize,
}

fn factor_flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    number_flag(name, default, help).value_parser(value_parser!(f64))
}

fn switch_flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

impl EngineSettings {
    /// Adds the flags of the engine to a command.
    #[must_use]
    pub fn flags(command: Command) -> Command {
        command
            .arg(listen_flag())
            .arg(Arg::new("name").long("name").default_value("engine"))
            .arg(
                Arg::new("model")
                    .long("model")
                    .action(ArgAction::Append)
                    .default_value("model")
                    .help("Model that the engine serves; may be repeated"),
            )
            .arg(number_flag(
                "slots",
                "8",
                "Maximum number of requests decoded concurrently",
            ))
            .arg(switch_flag(
                "honour-priority",
                "Order waiting requests by x-priority",
            ))
            .arg(factor_flag(
                "prefill-us-per-token",
                "0",
                "Time to prefill one token, in microseconds",
            ))
            .arg(factor_flag(
                "token-interval-ms",
                "5",
                "Time between tokens at batch size 1, in milliseconds",
            ))
            .arg(factor_flag(
                "batch-slowdown",
                "0",
                "Fraction of the interval that each further request adds",
            ))
            .arg(factor_flag("speed", "1", "Factor on all speeds"))
            .arg(number_flag(
                "report-lag-ms",
                "0",
                "Delay of load reports and cache events, in milliseconds",
            ))
            .arg(number_flag(
                "cache-prefixes",
                "64",
                "Maximum number of prompt prefixes in the cache",
            ))
            .arg(number_flag(
                "event-gaps-percent",
                "0",
                "Percentage of cache events that are omitted",
            ))
            .arg(switch_flag(
                "not-run-503",
                "Refuse with 503 when the queue is full",
            ))
            .arg(number_flag(
                "queue-limit",
                "64",
                "Number of waiting requests at which the queue is full",
            ))
    }

    /// Reads the settings from parsed flags.
    ///
    /// # Panics
    ///
    /// Panics if the matches come from another command.
    #[must_use]
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let factor = |name| *matches.get_one::<f64>(name).expect("a default");
        let count = |name| count(matches, name);
        let interval = factor("token-interval-ms");
        let prefill = factor("prefill-us-per-token");
        Self {
            listen: listen_address(matches),
            name: matches.get_one("name").cloned().expect("a default"),
            models: matches
                .get_many("model")
                .expect("a default")
                .cloned()
                .collect(),
            slots: count("slots"),
            honour_priority: matches.get_flag("honour-priority"),
            prefill_per_token: Duration::from_nanos((prefill * NANOS_PER_MICRO) as u64),
            token_interval: Duration::from_nanos((interval * NANOS_PER_MILLI) as u64),
            batch_slowdown: factor("batch-slowdown"),
            speed: factor("speed"),
            report_lag: millis(matches, "report-lag-ms"),
            cache_prefixes: count("cache-prefixes"),
            event_gaps_percent: number(matches, "event-gaps-percent"),
            not_run_503: matches.get_flag("not-run-503"),
            queue_limit: count("queue-limit"),
        }
    }
}
