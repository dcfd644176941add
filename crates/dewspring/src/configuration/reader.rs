//! Reads a stored document and checks it.

use thiserror::Error;

use crate::store::MAX_VALUE_BYTES;
use crate::tables::{ConfigDocument, FleetConfig};

/// Why a document can't be put in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentReadError {
    /// The document is larger than the largest value of the store.
    #[error("the document has {0} bytes, more than {MAX_VALUE_BYTES}")]
    Oversized(usize),
    /// The document can't be parsed, or its tables are invalid.
    #[error("the document can't be used: {0}")]
    Unusable(String),
}

/// Reads and checks a stored document.
///
/// Closures with the signature of [`read`](Self::read) are readers too.
pub trait DocumentReader: Send + 'static {
    /// Reads the JSON of a document and checks its tables.
    ///
    /// # Errors
    ///
    /// [`DocumentReadError`] if the document can't be put in force.
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, DocumentReadError>;
}

impl<F> DocumentReader for F
where
    F: Fn(&[u8]) -> Result<FleetConfig, DocumentReadError> + Send + 'static,
{
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, DocumentReadError> {
        self(bytes)
    }
}

/// Reads a document with the operators' tables and checks them.
pub(super) fn read_tables(bytes: &[u8]) -> Result<FleetConfig, DocumentReadError> {
    let document = ConfigDocument::from_bytes(bytes).map_err(|error| unusable(&error))?;
    document.check().map_err(|errors| unusable(&errors))
}

fn unusable(why: &impl ToString) -> DocumentReadError {
    DocumentReadError::Unusable(why.to_string())
}

/// Reads a document, and rejects one that is too large or whose revision is 0.
pub(super) fn read_bounded(
    reader: &impl DocumentReader,
    bytes: &[u8],
) -> Result<FleetConfig, DocumentReadError> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(DocumentReadError::Oversized(bytes.len()));
    }
    let config = reader.read(bytes)?;
    if config.revision == 0 {
        return Err(DocumentReadError::Unusable("its revision is 0".to_owned()));
    }
    Ok(config)
}
