//! The command line.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, SystemTime};

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::output::{path_error, read_text, write_json, write_text};
use crate::path::{PathSettings, measure_path, path_text};
use crate::plan::plan_requests;
use crate::report::{RunReport, csv_text, report_run, table_text};
use crate::runner::{ServerCounts, read_counts, run_workload};
use crate::target::{NamedServer, WeightedTarget};
use crate::workload::WorkloadSpec;

/// Time for the servers to notice that callers have disconnected.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Returns the command with its flags.
///
/// # Examples
///
/// ```
/// let arguments = ["dewload", "run", "workload.toml", "--target", "127.0.0.1:8000"];
/// let matches = dewload::cli::command().get_matches_from(arguments);
/// assert_eq!(matches.subcommand_name(), Some("run"));
/// ```
#[must_use]
pub fn command() -> Command {
    Command::new("dewload")
        .about("Sends load to daemons and measures the results")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run_command())
        .subcommand(path_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Sends an open-loop workload and reports the results by class")
        .arg(
            Arg::new("workload")
                .value_name("WORKLOAD.toml")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            flag("target", "IP:PORT[=WEIGHT]", value_parser!(WeightedTarget))
                .required(true)
                .action(ArgAction::Append)
                .help("Daemon that receives a share of the requests; may be repeated"),
        )
        .arg(
            flag("engine", "[NAME=]IP:PORT", value_parser!(NamedServer))
                .action(ArgAction::Append)
                .help("Stand-in whose executions are counted, and to which faults can refer; may be repeated"),
        )
        .arg(
            flag("server", "NAME=IP:PORT", value_parser!(NamedServer))
                .action(ArgAction::Append)
                .help("Other stand-in to which faults can refer; may be repeated"),
        )
        .arg(
            flag("faults", "FAULTS.toml", value_parser!(PathBuf))
                .help("File with faults in addition to those of the workload"),
        )
        .arg(number_flag("seed", "1").help("Seed of the random draws"))
        .arg(
            flag("run", "NAME", value_parser!(String))
                .help("Name in the idempotency keys; by default the start time"),
        )
        .arg(
            flag("scale", "FACTOR", value_parser!(f64))
                .default_value("1")
                .help("Factor on all arrival rates"),
        )
        .arg(out_flag())
        .arg(
            flag("csv", "FILE", value_parser!(PathBuf))
                .help("Output file for the table of classes as CSV"),
        )
}

fn path_command() -> Command {
    Command::new("path")
        .about("Measures the latency that a daemon adds to a stream")
        .arg(
            flag("direct", "IP:PORT", value_parser!(SocketAddr))
                .required(true)
                .help("Engine that direct streams go to"),
        )
        .arg(
            flag("routed", "IP:PORT", value_parser!(SocketAddr))
                .required(true)
                .help("Daemon that routed streams go to"),
        )
        .arg(
            flag("streams", "N,N,...", value_parser!(u32).range(1..))
                .value_delimiter(',')
                .default_value("50,200,800")
                .help("Numbers of concurrent streams"),
        )
        .arg(number_flag("tokens", "100").help("Number of tokens of each stream"))
        .arg(
            number_flag("rounds", "3")
                .help("Pairs of a direct and a routed round per number of streams"),
        )
        .arg(
            number_flag("ramp-ms", "500")
                .help("Time over which the starts of a round are spread, in milliseconds"),
        )
        .arg(
            number_flag("timeout-ms", "60000")
                .help("Time after which a stream is abandoned, in milliseconds"),
        )
        .arg(
            flag("pid", "PID", value_parser!(u32))
                .help("Process ID of the daemon, to measure its memory and threads"),
        )
        .arg(flag("model", "NAME", value_parser!(String)).default_value("model"))
        .arg(flag("label", "LABEL", value_parser!(String)).help("Value of the class header"))
        .arg(flag("workspace", "NAME", value_parser!(String)).default_value("load"))
        .arg(out_flag())
}

fn flag(name: &'static str, value_name: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .value_parser(parser.into())
}

fn number_flag(name: &'static str, default: &'static str) -> Arg {
    flag(name, "N", value_parser!(u64)).default_value(default)
}

fn out_flag() -> Arg {
    flag("out", "FILE", value_parser!(PathBuf)).help("Output file for the report as JSON")
}

/// Runs the selected subcommand and prints its result.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("run", matches)) => run_load(matches),
        Some(("path", matches)) => run_path(matches),
        _ => unreachable!("the command line requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewload: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_load(matches: &ArgMatches) -> io::Result<()> {
    let mut workload = read_workload(matches)?;
    workload.scale_rates(*matches.get_one("scale").expect("a default"));
    let targets: Vec<WeightedTarget> = values(matches, "target");
    let engines: Vec<NamedServer> = values(matches, "engine");
    let servers = [engines.clone(), values(matches, "server")].concat();
    let seed = number(matches, "seed");

    let weights: Vec<u32> = targets.iter().map(|target| target.weight).collect();
    let addresses: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    let plan = plan_requests(&workload, &weights, seed, &run_name(matches));
    let before = engines
        .iter()
        .map(|engine| read_counts(engine.address))
        .collect::<io::Result<Vec<ServerCounts>>>()?;
    let run = run_workload(&workload, plan, &addresses, &servers)?;
    thread::sleep(SETTLE_TIME);
    let counts: Vec<Option<ServerCounts>> = engines
        .iter()
        .zip(&before)
        .map(|(engine, before)| Some(read_counts(engine.address).ok()?.since(before)))
        .collect();
    let report = report_run(&workload, run, &counts, seed);
    print!("{}", table_text(&report));
    write_reports(matches, &report)
}

/// Writes the report files that the flags name.
fn write_reports(matches: &ArgMatches, report: &RunReport) -> io::Result<()> {
    if let Some(path) = matches.get_one::<PathBuf>("out") {
        write_json(path, report)?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("csv") {
        write_text(path, &csv_text(report))?;
    }
    Ok(())
}

fn read_workload(matches: &ArgMatches) -> io::Result<WorkloadSpec> {
    let path: &PathBuf = matches.get_one("workload").expect("it is required");
    let mut workload =
        WorkloadSpec::parse(&read_text(path)?).map_err(|error| path_error(path, &error))?;
    if let Some(path) = matches.get_one::<PathBuf>("faults") {
        workload
            .add_faults(&read_text(path)?)
            .map_err(|error| path_error(path, &error))?;
    }
    Ok(workload)
}

/// Returns the name of the run, which is part of its idempotency keys.
///
/// The outcomes of an earlier run's keys are recorded, so each run needs its own
/// keys.
fn run_name(matches: &ArgMatches) -> String {
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    matches
        .get_one("run")
        .cloned()
        .unwrap_or_else(|| started.as_millis().to_string())
}

fn run_path(matches: &ArgMatches) -> io::Result<()> {
    let streams: Vec<u32> = values(matches, "streams");
    let text = |name| matches.get_one::<String>(name).cloned();
    let settings = PathSettings {
        direct: *matches.get_one("direct").expect("it is required"),
        routed: *matches.get_one("routed").expect("it is required"),
        streams: streams.into_iter().map(|count| count as usize).collect(),
        tokens: number(matches, "tokens"),
        rounds: number(matches, "rounds") as usize,
        ramp: Duration::from_millis(number(matches, "ramp-ms")),
        timeout: Duration::from_millis(number(matches, "timeout-ms")),
        pid: matches.get_one("pid").copied(),
        model: text("model").expect("a default"),
        label: text("label"),
        workspace: text("workspace").expect("a default"),
    };
    let report = measure_path(&settings)?;
    print!("{}", path_text(&report));
    match matches.get_one::<PathBuf>("out") {
        Some(path) => write_json(path, &report),
        None => Ok(()),
    }
}

fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("a default")
}
