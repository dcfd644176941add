//! The JSON messages of the store's HTTP gateway.
//!
//! Bytes travel in base64 and 64-bit numbers as strings. The gateway leaves
//! out fields that hold their default, so only the header, which every answer
//! carries, is required.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::service::{ExpectedVersion, LeaseId, StoreEntry, StoreVersion};

/// Bytes that are base64 in JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct EncodedBytes(pub Vec<u8>);

impl Serialize for EncodedBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for EncodedBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit number that is a string in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct EncodedNumber(pub i64);

impl EncodedNumber {
    pub fn from_version(version: StoreVersion) -> Self {
        Self(i64::try_from(version).unwrap_or(i64::MAX))
    }
}

impl Serialize for EncodedNumber {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// The two forms in which the JSON mapping of protocol buffers allows numbers.
#[derive(Deserialize)]
#[serde(untagged)]
enum NumberForm {
    Number(i64),
    Text(String),
}

impl<'de> Deserialize<'de> for EncodedNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match NumberForm::deserialize(deserializer)? {
            NumberForm::Number(number) => Ok(Self(number)),
            NumberForm::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct ResponseHeader {
    pub revision: EncodedNumber,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(default)]
    pub key: EncodedBytes,
    #[serde(default)]
    pub value: EncodedBytes,
    pub mod_revision: EncodedNumber,
}

impl KeyValue {
    /// Returns the entry, unless its version can't be one.
    pub fn into_entry(self) -> Option<StoreEntry> {
        Some(StoreEntry {
            value: self.value.0,
            version: positive(self.mod_revision)?,
        })
    }
}

/// Returns a number that is a version.
pub(super) fn positive(number: EncodedNumber) -> Option<StoreVersion> {
    StoreVersion::try_from(number.0)
        .ok()
        .filter(|version| *version > 0)
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub key: EncodedBytes,
}

impl RangeRequest {
    pub fn new(key: &str) -> Self {
        Self {
            key: encode_key(key),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(rename = "header")]
    pub _header: ResponseHeader,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
struct PutRequest {
    key: EncodedBytes,
    value: EncodedBytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<EncodedNumber>,
}

/// What a transaction compares, and with what.
#[derive(Debug, Serialize)]
#[serde(tag = "target")]
enum CompareTarget {
    #[serde(rename = "CREATE")]
    Create { create_revision: EncodedNumber },
    #[serde(rename = "MOD")]
    Modified { mod_revision: EncodedNumber },
}

#[derive(Debug, Serialize)]
struct CompareRequest {
    key: EncodedBytes,
    result: &'static str,
    #[serde(flatten)]
    target: CompareTarget,
}

#[derive(Debug, Serialize)]
enum TxnOperation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: [CompareRequest; 1],
    success: [TxnOperation; 1],
    failure: [TxnOperation; 1],
}

impl TxnRequest {
    /// Builds the transaction that is a compare-and-swap of one key.
    pub fn compare_and_swap(
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Self {
        let target = match expected {
            ExpectedVersion::Absent => CompareTarget::Create {
                create_revision: EncodedNumber(0),
            },
            ExpectedVersion::Version(version) => CompareTarget::Modified {
                mod_revision: EncodedNumber::from_version(version),
            },
        };
        let compare = CompareRequest {
            key: encode_key(key),
            result: "EQUAL",
            target,
        };
        let put = PutRequest {
            key: encode_key(key),
            value: EncodedBytes(value.to_vec()),
            lease: lease.map(EncodedNumber),
        };
        Self {
            compare: [compare],
            success: [TxnOperation::Put(put)],
            failure: [TxnOperation::Range(RangeRequest::new(key))],
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    pub header: ResponseHeader,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<TxnResult>,
}

/// The answer to one operation of a transaction; only ranges are read.
#[derive(Debug, Deserialize)]
pub(super) struct TxnResult {
    #[serde(default)]
    pub response_range: Option<TxnRange>,
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnRange {
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    key: EncodedBytes,
    start_revision: EncodedNumber,
}

impl WatchRequest {
    pub fn new(key: &str, after: StoreVersion) -> Self {
        Self {
            create_request: WatchCreate {
                key: encode_key(key),
                start_revision: EncodedNumber::from_version(after.saturating_add(1)),
            },
        }
    }
}

/// One line of a streamed answer.
#[derive(Debug, Deserialize)]
pub(super) struct StreamLine<T> {
    pub result: T,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchResponse {
    #[serde(rename = "header")]
    pub _header: ResponseHeader,
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub(super) enum EventKind {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(default, rename = "type")]
    pub kind: EventKind,
    pub kv: KeyValue,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub seconds: EncodedNumber,
}

#[derive(Debug, Serialize)]
pub(super) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub id: EncodedNumber,
}

/// The answer to a grant, and the inner part of the answer to a renewal.
#[derive(Debug, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "header")]
    pub _header: ResponseHeader,
    #[serde(rename = "ID")]
    pub id: EncodedNumber,
    #[serde(default, rename = "TTL")]
    pub seconds: EncodedNumber,
}

/// The body of an answer whose status is an error.
#[derive(Debug, Default, Deserialize)]
pub(super) struct ErrorResponse {
    #[serde(default)]
    pub message: String,
}

fn encode_key(key: &str) -> EncodedBytes {
    EncodedBytes(key.as_bytes().to_vec())
}
