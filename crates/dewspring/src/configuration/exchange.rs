//! What the peer duty sees of the configuration duty.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// An accepted document as VMs pass it on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Revision of the document.
    pub revision: Revision,
    /// The document in JSON, as the store holds it.
    pub document: Vec<u8>,
}

/// The side of the configuration duty that faces other VMs.
pub trait ConfigExchange: Clone + Send + Sync + 'static {
    /// Returns the revision in force on this VM; 0 before the first one.
    fn revision(&self) -> Revision;

    /// Returns the document in force on this VM.
    fn snapshot(&self) -> Option<ConfigSnapshot>;

    /// Offers a document that another VM has in force.
    ///
    /// A document that isn't newer, or can't be read, is dropped.
    fn offer(&self, snapshot: ConfigSnapshot);
}
