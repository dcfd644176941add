//! Tests of the configuration keeper.

mod keeper;
mod state;

use crate::ids::Revision;
use crate::tables::{ConfigDocument, FleetConfig};

use super::reader::DocumentReadError;

/// Builds the JSON of a document with empty tables, for [`read_plain`].
fn document(revision: Revision, change_id: &str) -> Vec<u8> {
    let document = ConfigDocument {
        revision,
        change_id: change_id.to_owned(),
        operator: "ada".to_owned(),
        applied_at: 0,
        routes: String::new(),
        pools: String::new(),
        history: Vec::new(),
    };
    serde_json::to_vec(&document).expect("a document is plain JSON")
}

/// Reads the revision and the change of a document, and ignores its tables.
fn read_plain(bytes: &[u8]) -> Result<FleetConfig, DocumentReadError> {
    let document: ConfigDocument = serde_json::from_slice(bytes)
        .map_err(|error| DocumentReadError::Unusable(error.to_string()))?;
    Ok(FleetConfig {
        revision: document.revision,
        change_id: document.change_id,
        ..FleetConfig::default()
    })
}
