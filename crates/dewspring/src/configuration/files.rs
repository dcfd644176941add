//! The two tables from files, for a daemon that runs without the platform.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::tables::ConfigDocument;

/// Revision of tables that were loaded from files.
const FILE_REVISION: u64 = 1;

/// A file of the tables that can't be read.
#[derive(Debug, Error)]
#[error("{path} can't be read: {source}")]
pub struct LoadError {
    /// The file.
    pub path: PathBuf,
    /// Why it can't be read.
    pub source: io::Error,
}

/// Loads the two tables as a first, unchecked document.
///
/// # Errors
///
/// [`LoadError`] names the file that can't be read as text.
///
/// # Examples
///
/// ```
/// use dewspring::configuration::load_files;
///
/// assert!(load_files("no-routes.toml", "no-pools.toml").is_err());
/// ```
pub fn load_files(
    routes: impl AsRef<Path>,
    pools: impl AsRef<Path>,
) -> Result<ConfigDocument, LoadError> {
    Ok(ConfigDocument {
        revision: FILE_REVISION,
        change_id: "files".to_owned(),
        operator: "settings".to_owned(),
        applied_at: 0,
        routes: load_text(routes.as_ref())?,
        pools: load_text(pools.as_ref())?,
        history: Vec::new(),
    })
}

fn load_text(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError {
        path: path.to_owned(),
        source,
    })
}
