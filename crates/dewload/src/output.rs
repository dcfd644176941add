//! The files that a command reads and writes.

use std::fmt::Display;
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

/// Writes a value as JSON.
pub(crate) fn write_json(path: &Path, value: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    write_text(path, &text)
}

/// Writes a text.
pub(crate) fn write_text(path: &Path, text: &str) -> io::Result<()> {
    fs::write(path, text).map_err(|error| in_file(path, &error))
}

/// Reads a text.
pub(crate) fn read_text(path: &Path) -> io::Result<String> {
    fs::read_to_string(path).map_err(|error| in_file(path, &error))
}

/// Puts the path before an error.
pub(crate) fn in_file(path: &Path, error: &impl Display) -> io::Error {
    io::Error::other(format!("{}: {error}", path.display()))
}
