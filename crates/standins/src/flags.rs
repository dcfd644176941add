//! Command-line flags shared by the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};

/// Returns the `--listen` flag.
pub(crate) fn listen_flag() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on")
}

/// Reads the value of `--listen`.
pub(crate) fn listen_address(matches: &ArgMatches) -> SocketAddr {
    *matches.get_one("listen").expect("a default")
}

/// Returns a flag that takes an unsigned integer.
pub(crate) fn number_flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// Reads the value of an integer flag.
pub(crate) fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("a default")
}

/// Reads the value of an integer flag as a count.
pub(crate) fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(matches, name)).expect("a count fits the machine")
}

/// Reads the value of an integer flag in milliseconds.
pub(crate) fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name))
}
