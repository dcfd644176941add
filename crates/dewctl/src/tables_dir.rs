//! The directory that holds an operator's tables.
//!
//! Beside the two tables lies the document that they were last fetched from
//! or applied as. It is the base of the next change: without it, nobody could
//! tell an edit from a stale copy.

use std::fs;
use std::path::{Path, PathBuf};

use dewspring::tables::{
    CheckedTables, ConfigDocument, POOLS_FILE, ROUTES_FILE, TableErrors, TableSource, TableTexts,
    check_tables,
};

use crate::error::CommandError;

/// Name of the file with the base document.
pub const BASE_FILE: &str = ".dewctl-base.json";

/// A directory with `routes.toml` and `pools.toml`.
#[derive(Clone, Debug)]
pub struct TablesDir {
    path: PathBuf,
}

impl TablesDir {
    /// Names a directory; nothing is read yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewctl::tables_dir::TablesDir;
    ///
    /// assert!(TablesDir::open("no-such-directory").read_texts().is_err());
    /// ```
    pub fn open(path: impl Into<PathBuf>) -> Self {
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

    /// Checks both tables; errors name the files with their directory.
    ///
    /// # Errors
    ///
    /// Every fault of both tables.
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

    /// Writes both tables and then their base document, into a new directory
    /// if need be.
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

/// Reads a base document; `None` if the file does not exist.
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

/// Replaces a file as a whole, so that a crash leaves the old or the new one.
fn write_file(path: &Path, bytes: &[u8]) -> Result<(), CommandError> {
    let mut draft_name = path.as_os_str().to_owned();
    draft_name.push(".new");
    let draft_path = PathBuf::from(draft_name);
    let written = fs::write(&draft_path, bytes).and_then(|()| fs::rename(&draft_path, path));
    written.map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> CommandError {
    CommandError::File {
        path: path.to_owned(),
        source,
    }
}
