//! Tests of the configuration duty.

mod keeper;
mod state;

use crate::ids::Revision;
use crate::tables::{ConfigDocument, FleetConfig};

use super::reading::ReadingError;

/// Builds the JSON of a document that [`read_plain`] reads.
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

/// Reads the head of a document and leaves its tables empty.
fn read_plain(bytes: &[u8]) -> Result<FleetConfig, ReadingError> {
    let document: ConfigDocument =
        serde_json::from_slice(bytes).map_err(|error| ReadingError::Unusable(error.to_string()))?;
    Ok(FleetConfig {
        revision: document.revision,
        change_id: document.change_id,
        ..FleetConfig::default()
    })
}
