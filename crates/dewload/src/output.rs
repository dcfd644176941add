//! Reading and writing of the files given on the command line.

use std::fmt::Display;
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

/// Writes a value to a file as JSON.
pub(crate) fn write_json(path: &Path, value: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    write_text(path, &text)
}

/// Writes text to a file.
pub(crate) fn write_text(path: &Path, text: &str) -> io::Result<()> {
    fs::write(path, text).map_err(|error| path_error(path, &error))
}

/// Reads a file as text.
pub(crate) fn read_text(path: &Path) -> io::Result<String> {
    fs::read_to_string(path).map_err(|error| path_error(path, &error))
}

/// Returns an error whose message begins with the path of the file.
pub(crate) fn path_error(path: &Path, error: &impl Display) -> io::Error {
    io::Error::other(format!("{}: {error}", path.display()))
}
