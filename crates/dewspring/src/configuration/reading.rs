//! How the bytes of a document become a checked configuration.

use thiserror::Error;

use crate::store::MAX_VALUE_BYTES;
use crate::tables::{ConfigDocument, FleetConfig};

/// Why a document can't be put in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadingError {
    /// The document is larger than the store allows.
    #[error("the document has {0} bytes, more than {MAX_VALUE_BYTES}")]
    Oversized(usize),
    /// The document can't be parsed or fails the check of the tables.
    #[error("the document can't be used: {0}")]
    Unusable(String),
}

/// Reads and checks a stored document.
///
/// Closures of the same shape are readers too.
pub trait DocumentReader: Send + 'static {
    /// Reads the JSON of a document and checks its tables.
    ///
    /// # Errors
    ///
    /// [`ReadingError`] if the document can't be put in force.
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ReadingError>;
}

impl<F> DocumentReader for F
where
    F: Fn(&[u8]) -> Result<FleetConfig, ReadingError> + Send + 'static,
{
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ReadingError> {
        self(bytes)
    }
}

/// Reads a document of the operators' tables.
pub(super) fn read_tables(bytes: &[u8]) -> Result<FleetConfig, ReadingError> {
    let document = ConfigDocument::from_bytes(bytes).map_err(|error| unusable(&error))?;
    document.check().map_err(|errors| unusable(&errors))
}

fn unusable(why: &impl ToString) -> ReadingError {
    ReadingError::Unusable(why.to_string())
}

/// Reads a document within the size that the store allows.
pub(super) fn read_bounded(
    reader: &impl DocumentReader,
    bytes: &[u8],
) -> Result<FleetConfig, ReadingError> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(ReadingError::Oversized(bytes.len()));
    }
    let config = reader.read(bytes)?;
    if config.revision == 0 {
        return Err(ReadingError::Unusable("its revision is 0".to_owned()));
    }
    Ok(config)
}
