//! The daemon's settings, read from flags and environment variables.
//!
//! [`settings_command`] declares every flag with its default and environment
//! variable. [`DaemonSettings::check`] converts the matches into typed values
//! once at startup, or returns all errors together.

mod command;
mod daemon;

#[cfg(test)]
mod tests;

pub use command::settings_command;
pub use daemon::{
    DaemonSettings, PlatformKind, SecretError, SettingError, SettingErrors, SharedSecret,
};
