//! Reads and writes the directory with an operator's tables.
//!
//! Besides the two tables, the directory holds the base document: the document
//! that the tables were last fetched from or applied as. Without it, an edit
//! can't be told from a stale copy of the tables.

use std::fs;
use std::path::{Path, PathBuf};

use dewspring::tables::{
    CheckedTables, ConfigDocument, POOLS_FILE, ROUTES_FILE, TableErrors, TableSource, TableTexts,
    check_tables,
};

use crate::error::CommandError;

/// File name of the base document.
pub const BASE_FILE: &str = ".dewctl-base.json";

/// A directory with `routes.toml` and `pools.toml`.
#[derive(Clone, Debug)]
pub struct TablesDir {
    path: PathBuf,
}

impl TablesDir {
    /// Creates a handle for the directory without accessing it.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewctl::tables_dir::TablesDir;
    ///
    /// assert!(TablesDir::new("no-such-directory").read_texts().is_err());
    /// ```
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Returns the path of the base document.
    pub fn base_path(&self) -> PathBuf {
        self.path.join(BASE_FILE)
    }

    /// Reads both tables.
    ///
    /// # Errors
    ///
    /// [`CommandError::File`] if one can't be read as text.
    pub fn read_texts(&self) -> Result<TableTexts, CommandError> {
        Ok(TableTexts {
            routes: read_text(&self.path.join(ROUTES_FILE))?,
            pools: read_text(&self.path.join(POOLS_FILE))?,
        })
    }

    /// Checks both tables; the errors contain the paths of the files.
    ///
    /// # Errors
    ///
    /// All errors of both tables.
    pub fn check(&self, texts: &TableTexts) -> Result<CheckedTables, TableErrors> {
        let routes_path = self.path.join(ROUTES_FILE).display().to_string();
        let pools_path = self.path.join(POOLS_FILE).display().to_string();
        let routes = TableSource {
            file: &routes_path,
            text: &texts.routes,
        };
        let pools = TableSource {
            file: &pools_path,
            text: &texts.pools,
        };
        check_tables(routes, pools)
    }

    /// Writes both tables and then their base document; creates the directory
    /// if it doesn't exist.
    ///
    /// # Errors
    ///
    /// [`CommandError::File`] if one can't be written.
    pub fn write(&self, document: &ConfigDocument) -> Result<(), CommandError> {
        fs::create_dir_all(&self.path).map_err(|source| file_error(&self.path, source))?;
        write_file(&self.path.join(ROUTES_FILE), document.routes.as_bytes())?;
        write_file(&self.path.join(POOLS_FILE), document.pools.as_bytes())?;
        write_base(&self.base_path(), document)
    }
}

/// Reads a base document; `None` if the file doesn't exist.
///
/// # Errors
///
/// [`CommandError::File`] or [`CommandError::Document`].
pub fn read_base(path: &Path) -> Result<Option<ConfigDocument>, CommandError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(ConfigDocument::from_bytes(&bytes)?)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(file_error(path, source)),
    }
}

/// Writes a base document.
///
/// # Errors
///
/// [`CommandError::File`] or [`CommandError::Document`].
pub fn write_base(path: &Path, document: &ConfigDocument) -> Result<(), CommandError> {
    write_file(path, &document.to_bytes()?)
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| file_error(path, source))
}

/// Replaces a file atomically, so that a crash leaves either the old or the new
/// content.
fn write_file(path: &Path, bytes: &[u8]) -> Result<(), CommandError> {
    let mut temporary_name = path.as_os_str().to_owned();
    temporary_name.push(".new");
    let temporary_path = PathBuf::from(temporary_name);
    let written =
        fs::write(&temporary_path, bytes).and_then(|()| fs::rename(&temporary_path, path));
    written.map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> CommandError {
    CommandError::File {
        path: path.to_owned(),
        source,
    }
}
