//! The interface through which VMs exchange configurations.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// An accepted document, as it is sent to other VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Revision of the document.
    pub revision: Revision,
    /// The document in JSON, as the store holds it.
    pub document: Vec<u8>,
}

/// Gives peers access to this VM's configuration.
pub trait ConfigExchange: Clone + Send + Sync + 'static {
    /// Returns the revision in force on this VM; 0 before the first one.
    fn revision(&self) -> Revision;

    /// Returns the document in force on this VM; `None` before the first one.
    fn snapshot(&self) -> Option<ConfigSnapshot>;

    /// Offers a document that another VM has in force.
    ///
    /// A document that isn't newer, or can't be put in force, is dropped.
    fn offer(&self, snapshot: ConfigSnapshot);
}
