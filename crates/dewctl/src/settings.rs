//! Settings shared by all commands.
//!
//! A missing setting is an error only for the commands that need it.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;

use crate::admin::AdminClient;
use crate::error::CommandError;

/// Maximum length of the name of a fleet or an operator.
const MAX_NAME_BYTES: usize = 64;

/// Settings from flags and the environment.
pub(crate) struct OperatorSettings {
    platform: Option<SocketAddr>,
    admin: Vec<SocketAddr>,
    secret: Option<String>,
    secret_file: Option<PathBuf>,
    operator: Option<String>,
    pub(crate) fleet: String,
    pub(crate) timeout: Duration,
}

impl OperatorSettings {
    /// Reads the settings from parsed arguments and checks the fleet's name.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, CommandError> {
        let admin = matches.get_many("admin").unwrap_or_default();
        let fleet: String = matches
            .get_one("fleet")
            .cloned()
            .expect("--fleet has a default");
        let seconds: u64 = matches
            .get_one("timeout")
            .copied()
            .expect("--timeout has a default");
        let is_fleet_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        let is_length_valid = !fleet.is_empty() && fleet.len() <= MAX_NAME_BYTES;
        if !is_length_valid || !fleet.bytes().all(is_fleet_byte) {
            return Err(usage(
                "--fleet: must hold 1 to 64 letters, digits, '.', '_' or '-'",
            ));
        }
        Ok(Self {
            platform: matches.get_one("platform").copied(),
            admin: admin.copied().collect(),
            secret: matches.get_one("secret").cloned(),
            secret_file: matches.get_one("secret-file").cloned(),
            operator: matches.get_one("operator").cloned(),
            fleet,
            timeout: Duration::from_secs(seconds),
        })
    }

    /// Returns the address of the platform's key-value service.
    pub(crate) fn platform(&self) -> Result<SocketAddr, CommandError> {
        self.platform
            .ok_or_else(|| usage("--platform or DEWCTL_PLATFORM is required"))
    }

    /// Returns the operator's name.
    pub(crate) fn operator(&self) -> Result<String, CommandError> {
        let operator = self.operator.clone().unwrap_or_default();
        let is_length_valid = !operator.is_empty() && operator.len() <= MAX_NAME_BYTES;
        if is_length_valid && !operator.contains(char::is_control) {
            Ok(operator)
        } else {
            Err(usage(
                "--operator or DEWCTL_OPERATOR is required, with 1 to 64 bytes and no control characters",
            ))
        }
    }

    /// Creates a client of the daemons' admin addresses.
    pub(crate) fn admin_client(&self) -> Result<AdminClient, CommandError> {
        if self.admin.is_empty() {
            return Err(usage("--admin or DEWCTL_ADMIN is required"));
        }
        let secret = self.secret()?;
        Ok(AdminClient::new(self.admin.clone(), secret, self.timeout))
    }

    /// Reads the shared secret. The file takes precedence, because a secret in
    /// the environment may be inherited from the parent process.
    fn secret(&self) -> Result<String, CommandError> {
        if let Some(path) = &self.secret_file {
            let text = fs::read_to_string(path).map_err(|source| CommandError::File {
                path: path.clone(),
                source,
            })?;
            return Ok(text.trim().to_owned());
        }
        let secret = self.secret.clone();
        secret.ok_or_else(|| usage("DEWCTL_SECRET_FILE or DEWCTL_SECRET is required"))
    }
}

fn usage(message: &str) -> CommandError {
    CommandError::Usage(message.to_owned())
}
