//! Flags that the programs have in common.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};

/// The flag for the address to listen on.
pub(crate) fn listen_flag() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on")
}

/// Reads the address to listen on.
pub(crate) fn listen_address(matches: &ArgMatches) -> SocketAddr {
    *matches.get_one("listen").expect("a default")
}

/// A flag for a whole number.
pub(crate) fn number_flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// Reads a whole number.
pub(crate) fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("a default")
}

/// Reads a number of things.
pub(crate) fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(matches, name)).expect("a count fits the machine")
}

/// Reads a number of milliseconds.
pub(crate) fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name))
}
