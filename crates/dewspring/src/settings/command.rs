//! Command-line flags of `dewspringd`.

use clap::{Arg, Command};

/// Returns the command-line definition of the daemon.
///
/// All values are parsed as strings, so that
/// [`DaemonSettings::check`](super::DaemonSettings::check) reports all errors
/// together.
///
/// # Examples
///
/// ```
/// let matches = dewspring::settings::settings_command()
///     .try_get_matches_from(["dewspringd", "--vm", "a"])?;
/// assert_eq!(matches.get_one::<String>("vm").map(String::as_str), Some("a"));
/// # Ok::<(), clap::Error>(())
/// ```
pub fn settings_command() -> Command {
    Command::new("dewspringd")
        .about("Routes language-model traffic with priorities and service levels")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Durations need a unit: 250ms, 10s, 2m.")
        .args(vm_flags())
        .args(platform_flags())
        .args(caller_flags())
        .args(server_flags())
        .args(observability_flags())
}

fn vm_flags() -> Vec<Arg> {
    vec![
        flag("vm", "DEWSPRING_VM", "Name of this VM, unique in the fleet"),
        flag(
            "data-centre",
            "DEWSPRING_DATA_CENTRE",
            "Name of the data centre of this VM",
        ),
        flag(
            "listen",
            "DEWSPRING_LISTEN",
            "Listen address for callers, IP:PORT",
        )
        .default_value("127.0.0.1:8080"),
        flag(
            "admin-listen",
            "DEWSPRING_ADMIN_LISTEN",
            "Listen address for health checks, metrics and operators, IP:PORT",
        )
        .default_value("127.0.0.1:8081"),
        flag(
            "peer-listen",
            "DEWSPRING_PEER_LISTEN",
            "Listen address for other VMs, IP:PORT",
        )
        .default_value("127.0.0.1:8082"),
        flag(
            "secret",
            "DEWSPRING_SECRET",
            "Shared secret of the fleet, at least 16 bytes; prefer the environment variable",
        )
        .hide_env_values(true),
    ]
}

fn platform_flags() -> Vec<Arg> {
    vec![
        flag(
            "fleet",
            "DEWSPRING_FLEET",
            "Name of the fleet in the platform's store",
        )
        .default_value("default"),
        flag(
            "platform",
            "DEWSPRING_PLATFORM",
            "IP:PORT of the platform's service, or 'embedded' for a single VM",
        )
        .default_value("embedded"),
        flag(
            "platform-timeout",
            "DEWSPRING_PLATFORM_TIMEOUT",
            "Timeout of a call to the platform",
        )
        .default_value("1s"),
        flag(
            "list-interval",
            "DEWSPRING_LIST_INTERVAL",
            "Interval between reads of the platform's list of VMs",
        )
        .default_value("1s"),
        flag(
            "routes",
            "DEWSPRING_ROUTES",
            "File with the routes table, for an embedded platform",
        ),
        flag(
            "pools",
            "DEWSPRING_POOLS",
            "File with the pools table, for an embedded platform",
        ),
    ]
}

fn caller_flags() -> Vec<Arg> {
    vec![
        flag(
            "entry-threads",
            "DEWSPRING_ENTRY_THREADS",
            "Number of threads that serve callers",
        )
        .default_value("2"),
        flag(
            "max-connections",
            "DEWSPRING_MAX_CONNECTIONS",
            "Maximum number of concurrent connections of callers",
        )
        .default_value("4096"),
        flag(
            "memory-mb",
            "DEWSPRING_MEMORY_MB",
            "Memory limit of the process in megabytes, from which limits on callers derive",
        )
        .default_value("1700"),
        flag(
            "header-timeout",
            "DEWSPRING_HEADER_TIMEOUT",
            "Timeout for reading the header of a request",
        )
        .default_value("10s"),
        flag(
            "body-timeout",
            "DEWSPRING_BODY_TIMEOUT",
            "Timeout for reading the body of a request",
        )
        .default_value("30s"),
        flag(
            "workspace-header",
            "DEWSPRING_WORKSPACE_HEADER",
            "Name of the header with the workspace",
        )
        .default_value("x-workspace"),
        flag(
            "class-header",
            "DEWSPRING_CLASS_HEADER",
            "Name of the header that is compared with the labels of routes",
        )
        .default_value("x-request-class"),
        flag(
            "shutdown-timeout",
            "DEWSPRING_SHUTDOWN_TIMEOUT",
            "Maximum time to wait for requests in flight after SIGTERM",
        )
        .default_value("15m"),
    ]
}

fn server_flags() -> Vec<Arg> {
    vec![
        flag(
            "connect-timeout",
            "DEWSPRING_CONNECT_TIMEOUT",
            "Timeout for connecting to a backend server",
        )
        .default_value("500ms"),
        flag(
            "silence-timeout",
            "DEWSPRING_SILENCE_TIMEOUT",
            "Maximum time without data from a backend server during a response",
        )
        .default_value("30s"),
        flag(
            "report-interval",
            "DEWSPRING_REPORT_INTERVAL",
            "Interval between reads of a backend server's load report",
        )
        .default_value("1s"),
    ]
}

fn observability_flags() -> Vec<Arg> {
    vec![
        flag(
            "log-format",
            "DEWSPRING_LOG_FORMAT",
            "Format of log lines: text or json",
        )
        .default_value("text"),
        flag(
            "log-level",
            "DEWSPRING_LOG_LEVEL",
            "Minimum severity of logged messages: error, warn, info, debug or trace",
        )
        .default_value("info"),
        flag(
            "decision-capacity",
            "DEWSPRING_DECISION_CAPACITY",
            "Number of recent requests whose decisions are kept for dewctl explain",
        )
        .default_value("10000"),
    ]
}

fn flag(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(variable).help(help)
}
