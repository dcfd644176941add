//! Declares and parses the command line with the builder API of `clap`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// A parsed command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OperatorCommand {
    Check {
        dir: PathBuf,
    },
    Diff {
        dir: PathBuf,
        against: Option<PathBuf>,
    },
    Apply(ApplyArguments),
    Show {
        revision_only: bool,
        to: Option<PathBuf>,
    },
    History,
    Status,
    Explain {
        request: String,
    },
    DrainVm {
        vm: String,
    },
    DrainServer(DrainArguments),
    Duties {
        nodes: Vec<SocketAddr>,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ApplyArguments {
    pub(crate) dir: PathBuf,
    pub(crate) base: Option<PathBuf>,
    pub(crate) expect: Option<u64>,
    pub(crate) rebase: bool,
    pub(crate) change_id: Option<String>,
    pub(crate) wait: WaitArguments,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DrainArguments {
    pub(crate) server: String,
    pub(crate) undo: bool,
    pub(crate) change_id: Option<String>,
    pub(crate) wait: WaitArguments,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WaitArguments {
    pub(crate) wait: bool,
    pub(crate) timeout_seconds: u64,
}

/// Declares the command line with all subcommands and global options.
pub(crate) fn command() -> Command {
    Command::new("dewctl")
        .about("Checks, applies and explains the routing tables of a dewspring fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit status: 0 done, 1 failed, 2 usage error, 3 the tables fail the checks,\n\
             4 conflict, 5 unknown whether the change was applied, 6 timed out waiting.",
        )
        .args(global_arguments())
        .subcommands(table_commands())
        .subcommands(daemon_commands())
}

fn global_arguments() -> Vec<Arg> {
    let global_option = |name: &'static str, variable: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .env(variable)
            .global(true)
            .help(help)
    };
    vec![
        global_option(
            "platform",
            "DEWCTL_PLATFORM",
            "IP:PORT of the platform's key-value service",
        )
        .value_parser(value_parser!(SocketAddr)),
        global_option(
            "admin",
            "DEWCTL_ADMIN",
            "IP:PORT of each daemon's admin address, comma-separated",
        )
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr)),
        global_option(
            "secret-file",
            "DEWCTL_SECRET_FILE",
            "File with the fleet's shared secret",
        )
        .value_parser(value_parser!(PathBuf)),
        global_option(
            "secret",
            "DEWCTL_SECRET",
            "The fleet's shared secret; prefer the environment variable to the flag",
        )
        .hide_env_values(true),
        global_option("fleet", "DEWCTL_FLEET", "Name of the fleet").default_value("default"),
        global_option(
            "operator",
            "DEWCTL_OPERATOR",
            "Operator name to record in the history",
        ),
        Arg::new("timeout")
            .long("timeout")
            .global(true)
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=600))
            .default_value("5")
            .help("Timeout of one request to the platform or a daemon"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print JSON, one value per line"),
    ]
}

fn table_commands() -> Vec<Command> {
    vec![
        Command::new("check")
            .about("Check the two tables of a directory and list every error")
            .arg(dir_argument()),
        Command::new("diff")
            .about("Show what the tables of a directory would change")
            .arg(dir_argument())
            .arg(
                path_option("against", "DIR")
                    .help("Compare with this directory instead of the store"),
            ),
        Command::new("apply")
            .about("Apply the tables of a directory to the fleet")
            .arg(dir_argument())
            .arg(
                path_option("base", "FILE")
                    .help("Base document of the edit [default: DIR/.dewctl-base.json]"),
            )
            .arg(
                Arg::new("expect")
                    .long("expect")
                    .value_name("REVISION")
                    .value_parser(value_parser!(u64))
                    .conflicts_with_all(["base", "rebase"])
                    .help("Base revision of the edit, 0 if the fleet has no tables yet"),
            )
            .arg(
                Arg::new("rebase")
                    .long("rebase")
                    .action(ArgAction::SetTrue)
                    .help("Merge with other operators' changes to other rows"),
            )
            .arg(change_id_argument())
            .args(wait_arguments()),
        Command::new("show")
            .about("Show the stored tables")
            .arg(
                Arg::new("revision")
                    .long("revision")
                    .action(ArgAction::SetTrue)
                    .help("Show only the revision"),
            )
            .arg(
                path_option("to", "DIR")
                    .conflicts_with("revision")
                    .help("Write the tables and their base document to this directory"),
            ),
        Command::new("history").about("List the latest changes, newest first"),
    ]
}

fn daemon_commands() -> Vec<Command> {
    vec![
        Command::new("status").about("Show all daemons with their revision and load"),
        Command::new("duties")
            .about("Show which VM of a dewnode fleet holds which duty")
            .arg(
                Arg::new("node")
                    .long("node")
                    .value_name("IP:PORT")
                    .required(true)
                    .action(ArgAction::Append)
                    .value_delimiter(',')
                    .value_parser(value_parser!(SocketAddr))
                    .help("Ready address of each VM, comma-separated or repeated"),
            ),
        Command::new("explain")
            .about("Explain why a request was routed, queued or refused")
            .arg(Arg::new("request").value_name("REQUEST_ID").required(true)),
        Command::new("drain")
            .about("Take a VM or a backend server out of service")
            .subcommand_required(true)
            .subcommand(
                Command::new("vm")
                    .about("Make the daemon on a VM finish its requests and leave the fleet")
                    .arg(Arg::new("name").value_name("NAME").required(true)),
            )
            .subcommand(
                Command::new("server")
                    .about("Set drain = true for a server of the pools table")
                    .arg(Arg::new("name").value_name("NAME").required(true))
                    .arg(
                        Arg::new("undo")
                            .long("undo")
                            .action(ArgAction::SetTrue)
                            .help("Set drain = false"),
                    )
                    .arg(change_id_argument())
                    .args(wait_arguments()),
            ),
    ]
}

fn dir_argument() -> Arg {
    Arg::new("dir")
        .value_name("DIR")
        .default_value(".")
        .value_parser(value_parser!(PathBuf))
        .help("Directory with routes.toml and pools.toml")
}

fn path_option(name: &'static str, value_name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .value_parser(value_parser!(PathBuf))
}

fn change_id_argument() -> Arg {
    Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .help("Retry the change with this id, whose outcome is unknown")
}

fn wait_arguments() -> Vec<Arg> {
    vec![
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the change is in force on all daemons"),
        Arg::new("wait-timeout")
            .long("wait-timeout")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3600))
            .default_value("30")
            .help("Timeout of --wait"),
    ]
}

/// Converts parsed arguments to a command.
pub(crate) fn operator_command(matches: &ArgMatches) -> OperatorCommand {
    match subcommand(matches) {
        ("check", matches) => OperatorCommand::Check { dir: dir(matches) },
        ("diff", matches) => OperatorCommand::Diff {
            dir: dir(matches),
            against: matches.get_one("against").cloned(),
        },
        ("apply", matches) => OperatorCommand::Apply(ApplyArguments {
            dir: dir(matches),
            base: matches.get_one("base").cloned(),
            expect: matches.get_one("expect").copied(),
            rebase: matches.get_flag("rebase"),
            change_id: matches.get_one("change-id").cloned(),
            wait: wait(matches),
        }),
        ("show", matches) => OperatorCommand::Show {
            revision_only: matches.get_flag("revision"),
            to: matches.get_one("to").cloned(),
        },
        ("history", _) => OperatorCommand::History,
        ("status", _) => OperatorCommand::Status,
        ("duties", matches) => OperatorCommand::Duties {
            nodes: matches
                .get_many("node")
                .unwrap_or_default()
                .copied()
                .collect(),
        },
        ("explain", matches) => OperatorCommand::Explain {
            request: text(matches, "request"),
        },
        ("drain", matches) => drain_command(matches),
        (name, _) => unreachable!("command {name} is not declared"),
    }
}

fn drain_command(matches: &ArgMatches) -> OperatorCommand {
    match subcommand(matches) {
        ("vm", matches) => OperatorCommand::DrainVm {
            vm: text(matches, "name"),
        },
        ("server", matches) => OperatorCommand::DrainServer(DrainArguments {
            server: text(matches, "name"),
            undo: matches.get_flag("undo"),
            change_id: matches.get_one("change-id").cloned(),
            wait: wait(matches),
        }),
        (name, _) => unreachable!("command drain {name} is not declared"),
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("a command is required")
}

fn dir(matches: &ArgMatches) -> PathBuf {
    matches.get_one("dir").cloned().expect("DIR has a default")
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches
        .get_one(name)
        .cloned()
        .expect("the argument is required")
}

fn wait(matches: &ArgMatches) -> WaitArguments {
    let timeout = matches.get_one("wait-timeout").copied();
    WaitArguments {
        wait: matches.get_flag("wait"),
        timeout_seconds: timeout.expect("--wait-timeout has a default"),
    }
}
