//! Validation of the settings of `dewspringd`.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::ArgMatches;
use thiserror::Error;

use crate::ids::{DataCentreName, VmId};
use crate::observe::LogFormat;

/// Minimum length of the shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Bytes per megabyte.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Location of the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformKind {
    /// In this process, with the tables loaded from two files.
    Embedded {
        /// File with the routes table.
        routes: PathBuf,
        /// File with the pools table.
        pools: PathBuf,
    },
    /// The platform's service at this address.
    Gateway(SocketAddr),
}

/// Error of a secret that is too short.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("must be at least {MIN_SECRET_BYTES} bytes long")]
pub struct SecretError;

/// The secret that all VMs of the fleet share; its `Debug` output is redacted.
#[derive(Clone, Eq, PartialEq)]
pub struct SharedSecret(String);

impl SharedSecret {
    /// Validates the length of a secret and wraps it.
    ///
    /// # Errors
    ///
    /// [`SecretError`] if the text has fewer than 16 bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::settings::SharedSecret;
    ///
    /// assert!(SharedSecret::new("0123456789abcdef").is_ok());
    /// assert!(SharedSecret::new("too short").is_err());
    /// ```
    pub fn new(secret: impl Into<String>) -> Result<Self, SecretError> {
        let secret = secret.into();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(SecretError);
        }
        Ok(Self(secret))
    }

    /// Returns the bytes of the secret.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedSecret(..)")
    }
}

/// The validated settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub data_centre: DataCentreName,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for health checks, metrics and operators.
    pub admin_listen: SocketAddr,
    /// Listen address for other VMs.
    pub peer_listen: SocketAddr,
    /// Shared secret of the fleet.
    pub secret: SharedSecret,
    /// Name of the fleet.
    pub fleet: String,
    /// Location of the platform's store.
    pub platform: PlatformKind,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// Interval between reads of the platform's list of VMs.
    pub list_interval: Duration,
    /// Number of threads that serve callers.
    pub entry_threads: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Timeout for reading the header of a request.
    pub header_timeout: Duration,
    /// Timeout for reading the body of a request.
    pub body_timeout: Duration,
    /// Name of the header with the workspace, in lower case.
    pub workspace_header: String,
    /// Name of the class header, which is compared with the labels of routes,
    /// in lower case.
    pub class_header: String,
    /// Maximum time to wait for requests in flight after SIGTERM.
    pub shutdown_timeout: Duration,
    /// Timeout for connecting to a backend server.
    pub connect_timeout: Duration,
    /// Maximum time without data from a backend server during a response.
    pub silence_timeout: Duration,
    /// Interval between reads of a backend server's load report.
    pub report_interval: Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum severity of logged messages.
    pub log_level: String,
    /// Capacity of the log of recent decisions, in requests.
    pub decision_capacity: usize,
}

/// A missing or invalid setting.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("--{flag}: {problem}")]
pub struct SettingError {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Description of the problem.
    pub problem: String,
}

/// All missing or invalid settings.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct SettingErrors(pub Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl DaemonSettings {
    /// Validates all flags.
    ///
    /// # Errors
    ///
    /// Returns [`SettingErrors`] with every missing or invalid flag.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::settings::{DaemonSettings, settings_command};
    ///
    /// let matches = settings_command().try_get_matches_from([
    ///     "dewspringd", "--vm", "a", "--data-centre", "dk-east-1",
    ///     "--secret", "0123456789abcdef", "--platform", "127.0.0.1:2379",
    /// ])?;
    /// assert_eq!(DaemonSettings::check(&matches).unwrap().vm, "a");
    /// # Ok::<(), clap::Error>(())
    /// ```
    pub fn check(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingReader {
            matches,
            errors: Vec::new(),
        };
        let settings = Self {
            vm: reader.name("vm"),
            data_centre: reader.name("data-centre"),
            listen: reader.address("listen"),
            admin_listen: reader.address("admin-listen"),
            peer_listen: reader.address("peer-listen"),
            secret: reader.secret("secret"),
            fleet: reader.name("fleet"),
            platform: reader.platform(),
            platform_timeout: reader.duration("platform-timeout"),
            list_interval: reader.duration("list-interval"),
            entry_threads: reader.count("entry-threads"),
            max_connections: reader.count("max-connections"),
            memory_bytes: (reader.count("memory-mb") as u64).saturating_mul(BYTES_PER_MEGABYTE),
            header_timeout: reader.duration("header-timeout"),
            body_timeout: reader.duration("body-timeout"),
            workspace_header: reader.header("workspace-header"),
            class_header: reader.header("class-header"),
            shutdown_timeout: reader.duration("shutdown-timeout"),
            connect_timeout: reader.duration("connect-timeout"),
            silence_timeout: reader.duration("silence-timeout"),
            report_interval: reader.duration("report-interval"),
            log_format: reader.log_format(),
            log_level: reader.log_level(),
            decision_capacity: reader.count("decision-capacity"),
        };
        reader.check_addresses(&settings);
        if reader.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingErrors(reader.errors))
        }
    }
}

/// Reads and validates flags, and collects errors.
struct SettingReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

impl SettingReader<'_> {
    fn report(&mut self, flag: &'static str, problem: impl Into<String>) {
        self.errors.push(SettingError {
            flag,
            problem: problem.into(),
        });
    }

    fn text(&mut self, flag: &'static str) -> Option<String> {
        let text = self.matches.get_one::<String>(flag).cloned();
        if text.is_none() {
            self.report(flag, "must be set");
        }
        text
    }

    fn name(&mut self, flag: &'static str) -> String {
        let Some(text) = self.text(flag) else {
            return String::new();
        };
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if text.is_empty() || !text.chars().all(is_allowed) {
            self.report(flag, "must consist of letters, digits, '-', '_' and '.'");
        }
        text
    }

    fn parse<T: FromStr>(&mut self, flag: &'static str, expected: &str) -> Option<T> {
        let text = self.text(flag)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.report(flag, format!("must be {expected}, found \"{text}\""));
        }
        value
    }

    fn address(&mut self, flag: &'static str) -> SocketAddr {
        self.parse(flag, "an IP address with a port")
            .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn count(&mut self, flag: &'static str) -> usize {
        let count = self.parse(flag, "a whole number").unwrap_or(1);
        if count == 0 {
            self.report(flag, "must be above zero");
        }
        count
    }

    fn duration(&mut self, flag: &'static str) -> Duration {
        let Some(text) = self.text(flag) else {
            return Duration::ZERO;
        };
        match humantime::parse_duration(&text) {
            Ok(duration) if !duration.is_zero() => duration,
            Ok(_) => {
                self.report(flag, "must be above zero");
                Duration::ZERO
            }
            Err(error) => {
                self.report(flag, format!("must be a duration: {error}"));
                Duration::ZERO
            }
        }
    }

    fn header(&mut self, flag: &'static str) -> String {
        let name = self.name(flag).to_ascii_lowercase();
        if hyper::header::HeaderName::from_str(&name).is_err() {
            self.report(flag, "must be a header name");
        }
        name
    }

    fn secret(&mut self, flag: &'static str) -> SharedSecret {
        let placeholder = SharedSecret(String::new());
        let Some(text) = self.text(flag) else {
            return placeholder;
        };
        SharedSecret::new(text).unwrap_or_else(|error| {
            self.report(flag, error.to_string());
            placeholder
        })
    }

    fn platform(&mut self) -> PlatformKind {
        let text = self.text("platform").unwrap_or_default();
        if text == "embedded" {
            return PlatformKind::Embedded {
                routes: self.text("routes").unwrap_or_default().into(),
                pools: self.text("pools").unwrap_or_default().into(),
            };
        }
        if let Ok(address) = text.parse() {
            return PlatformKind::Gateway(address);
        }
        self.report(
            "platform",
            "must be 'embedded' or an IP address with a port",
        );
        PlatformKind::Gateway(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn log_format(&mut self) -> LogFormat {
        match self.text("log-format").as_deref() {
            Some("json") => LogFormat::Json,
            Some("text") | None => LogFormat::Text,
            Some(_) => {
                self.report("log-format", "must be text or json");
                LogFormat::Text
            }
        }
    }

    fn log_level(&mut self) -> String {
        let level = self.text("log-level").unwrap_or_default();
        if log::LevelFilter::from_str(&level).is_err() {
            self.report("log-level", "must be error, warn, info, debug or trace");
        }
        level
    }

    fn check_addresses(&mut self, settings: &DaemonSettings) {
        let listeners = [
            ("listen", settings.listen),
            ("admin-listen", settings.admin_listen),
            ("peer-listen", settings.peer_listen),
        ];
        for (index, (flag, address)) in listeners.iter().enumerate() {
            let duplicate = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = duplicate {
                self.report(flag, format!("is the same address as --{other}"));
            }
        }
    }
}
