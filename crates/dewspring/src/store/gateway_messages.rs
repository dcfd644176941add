//! The JSON messages of the store's HTTP gateway.
//!
//! Bytes are encoded in base64 and 64-bit numbers as strings. The gateway omits
//! fields with their default values, so only those that are never default, such
//! as the header of each response, are required.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::platform::{ExpectedVersion, LeaseId, StoreEntry, StoreVersion};

/// Bytes that are encoded in base64 in JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Base64Bytes(pub Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit number that is a string in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StringInt64(pub i64);

impl StringInt64 {
    pub fn from_version(version: StoreVersion) -> Self {
        Self(i64::try_from(version).unwrap_or(i64::MAX))
    }
}

impl Serialize for StringInt64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// The two forms that the JSON mapping of protocol buffers allows for a 64-bit
/// number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Int64Repr {
    Number(i64),
    Text(String),
}

impl<'de> Deserialize<'de> for StringInt64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match Int64Repr::deserialize(deserializer)? {
            Int64Repr::Number(number) => Ok(Self(number)),
            Int64Repr::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct ResponseHeader {
    pub revision: StringInt64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(default)]
    pub key: Base64Bytes,
    #[serde(default)]
    pub value: Base64Bytes,
    pub mod_revision: StringInt64,
}

impl KeyValue {
    /// Returns the entry; `None` if its version is not positive.
    pub fn into_entry(self) -> Option<StoreEntry> {
        Some(StoreEntry {
            value: self.value.0,
            version: to_version(self.mod_revision)?,
        })
    }
}

/// Converts a number to a version; `None` if it is not positive.
pub(super) fn to_version(number: StringInt64) -> Option<StoreVersion> {
    StoreVersion::try_from(number.0)
        .ok()
        .filter(|version| *version > 0)
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub key: Base64Bytes,
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
    key: Base64Bytes,
    value: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<StringInt64>,
}

/// The revision that a transaction compares, and the value it must have.
#[derive(Debug, Serialize)]
#[serde(tag = "target")]
enum CompareTarget {
    #[serde(rename = "CREATE")]
    Create { create_revision: StringInt64 },
    #[serde(rename = "MOD")]
    Modified { mod_revision: StringInt64 },
}

#[derive(Debug, Serialize)]
struct CompareRequest {
    key: Base64Bytes,
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
                create_revision: StringInt64(0),
            },
            ExpectedVersion::Version(version) => CompareTarget::Modified {
                mod_revision: StringInt64::from_version(version),
            },
        };
        let compare = CompareRequest {
            key: encode_key(key),
            result: "EQUAL",
            target,
        };
        let put = PutRequest {
            key: encode_key(key),
            value: Base64Bytes(value.to_vec()),
            lease: lease.map(StringInt64),
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

/// The result of one operation of a transaction; only ranges are parsed.
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
    key: Base64Bytes,
    start_revision: StringInt64,
}

impl WatchRequest {
    pub fn new(key: &str, after: StoreVersion) -> Self {
        Self {
            create_request: WatchCreate {
                key: encode_key(key),
                start_revision: StringInt64::from_version(after.saturating_add(1)),
            },
        }
    }
}

/// One line of a streamed response.
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
    pub seconds: StringInt64,
}

#[derive(Debug, Serialize)]
pub(super) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub id: StringInt64,
}

/// The response to a grant, and the inner part of the response to a renewal.
#[derive(Debug, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "header")]
    pub _header: ResponseHeader,
    #[serde(rename = "ID")]
    pub id: StringInt64,
    #[serde(default, rename = "TTL")]
    pub seconds: StringInt64,
}

/// The body of a response with an error status.
#[derive(Debug, Default, Deserialize)]
pub(super) struct ErrorResponse {
    #[serde(default)]
    pub message: String,
}

fn encode_key(key: &str) -> Base64Bytes {
    Base64Bytes(key.as_bytes().to_vec())
}
