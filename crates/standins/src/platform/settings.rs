//! Settings of the platform, read from flags.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::{Deserialize, Serialize};

use crate::flags::{listen_address, listen_flag, millis, number_flag};

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The VM is about to be removed.
    Leaving,
    /// The VM is in service.
    Live,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Address that the VM listens on.
    pub address: SocketAddr,
    /// Data centre in which the VM runs.
    pub data_centre: String,
    /// State of the VM.
    pub state: ListedState,
}

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Delay of changes to the list of VMs.
    pub list_lag: Duration,
    /// Initial list of VMs.
    pub vms: Vec<ListedVm>,
}

impl PlatformSettings {
    /// Adds the flags of the platform to a command.
    #[must_use]
    pub fn flags(command: Command) -> Command {
        command
            .arg(listen_flag())
            .arg(number_flag(
                "list-lag-ms",
                "0",
                "Delay of changes to the list of VMs, in milliseconds",
            ))
            .arg(
                Arg::new("vms")
                    .long("vms")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("JSON file with the initial list of VMs"),
            )
    }

    /// Reads the settings from parsed flags.
    ///
    /// # Panics
    ///
    /// Panics if the list of VMs can't be read, or if the matches come from
    /// another command.
    #[must_use]
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let vms = matches.get_one::<PathBuf>("vms").map(|path| {
            let bytes = fs::read(path).expect("the list of VMs can be opened");
            serde_json::from_slice(&bytes).expect("the list of VMs is valid")
        });
        Self {
            listen: listen_address(matches),
            list_lag: millis(matches, "list-lag-ms"),
            vms: vms.unwrap_or_default(),
        }
    }
}
