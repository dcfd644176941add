//! The daemon's settings: flags and environment variables, checked once.
//!
//! [`settings_command`] declares every flag with its unit, default and
//! environment variable. [`DaemonSettings::check`] turns the matches into one
//! struct or returns every error at once; nothing later parses text.

mod command;
mod daemon;

#[cfg(test)]
mod tests;

pub use command::settings_command;
pub use daemon::{
    DaemonSettings, PlatformKind, SecretError, SettingError, SettingErrors, SharedSecret,
};
