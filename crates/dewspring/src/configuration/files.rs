//! Loads the two tables from files, for a daemon that runs without the platform.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::tables::{
    ConfigDocument, DocumentChange, TableErrors, TableSource, TableTexts, check_tables,
};

/// Why the tables can't be loaded.
#[derive(Debug, Error)]
pub enum LoadTablesError {
    /// A file can't be read as text.
    #[error("{path} can't be read: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The tables are invalid.
    #[error("{0}")]
    Tables(#[from] TableErrors),
}

/// Loads and checks the two tables as a fleet's first document.
///
/// # Errors
///
/// [`LoadTablesError`] names the file that can't be read, or lists all errors in
/// the tables with the paths of their files.
///
/// # Examples
///
/// ```
/// use dewspring::configuration::load_table_files;
///
/// assert!(load_table_files("no-routes.toml", "no-pools.toml").is_err());
/// ```
pub fn load_table_files(
    routes: impl AsRef<Path>,
    pools: impl AsRef<Path>,
) -> Result<ConfigDocument, LoadTablesError> {
    let (routes, pools) = (routes.as_ref(), pools.as_ref());
    let texts = TableTexts {
        routes: load_text(routes)?,
        pools: load_text(pools)?,
    };
    check_tables(
        TableSource {
            file: &routes.to_string_lossy(),
            text: &texts.routes,
        },
        TableSource {
            file: &pools.to_string_lossy(),
            text: &texts.pools,
        },
    )?;
    Ok(ConfigDocument::first(DocumentChange {
        change_id: "files".to_owned(),
        operator: "settings".to_owned(),
        applied_at: 0,
        texts,
    }))
}

fn load_text(path: &Path) -> Result<String, LoadTablesError> {
    std::fs::read_to_string(path).map_err(|source| LoadTablesError::File {
        path: path.to_owned(),
        source,
    })
}
