//! Wire format of configuration documents, encoded as one byte string.
//!
//! Serde's default for `Vec<u8>` encodes each byte as an element, which is
//! slower.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::configuration::ConfigSnapshot;
use crate::ids::Revision;

/// Configuration snapshot as sent between VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct SnapshotFrame {
    revision: Revision,
    document: DocumentBytes,
}

impl From<ConfigSnapshot> for SnapshotFrame {
    fn from(snapshot: ConfigSnapshot) -> Self {
        SnapshotFrame {
            revision: snapshot.revision,
            document: DocumentBytes(snapshot.document),
        }
    }
}

impl From<SnapshotFrame> for ConfigSnapshot {
    fn from(frame: SnapshotFrame) -> Self {
        ConfigSnapshot {
            revision: frame.revision,
            document: frame.document.0,
        }
    }
}

/// Bytes that serde encodes as one byte string.
#[derive(Clone, Debug, PartialEq)]
struct DocumentBytes(Vec<u8>);

impl Serialize for DocumentBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for DocumentBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

/// Accepts borrowed or owned bytes from the codec.
struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = DocumentBytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(DocumentBytes(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(DocumentBytes(bytes))
    }
}
