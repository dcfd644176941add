//! JSON messages of the key-value service's gateway.
//!
//! As in the real gateway, 64-bit numbers are strings, keys and values are
//! base64, and fields with their default value are omitted.

use std::fmt::Display;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// Bytes that are encoded as base64 in JSON.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WireBytes(pub(super) Vec<u8>);

impl WireBytes {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for WireBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for WireBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}

/// A 64-bit number that is serialized as a string and deserialized from a
/// string or a number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WireNumber<T>(pub(super) T);

impl<T: Display> Serialize for WireNumber<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de, T: FromStr> Deserialize<'de> for WireNumber<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = match Value::deserialize(deserializer)? {
            Value::String(text) => text,
            Value::Number(number) => number.to_string(),
            _ => return Err(serde::de::Error::custom("not a number")),
        };
        let number = text.parse();
        number
            .map(Self)
            .map_err(|_| serde::de::Error::custom("not a number in range"))
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Header of each response.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ResponseHeader {
    pub(super) cluster_id: WireNumber<u64>,
    pub(super) member_id: WireNumber<u64>,
    pub(super) revision: WireNumber<u64>,
    pub(super) raft_term: WireNumber<u64>,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue {
    pub(super) key: WireBytes,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) create_revision: WireNumber<u64>,
    pub(super) mod_revision: WireNumber<u64>,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) version: WireNumber<u64>,
    #[serde(skip_serializing_if = "WireBytes::is_empty")]
    pub(super) value: WireBytes,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) lease: WireNumber<i64>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct RangeRequest {
    pub(super) key: WireBytes,
    #[serde(default)]
    pub(super) range_end: WireBytes,
    #[serde(default)]
    pub(super) limit: WireNumber<usize>,
    #[serde(default)]
    pub(super) keys_only: bool,
    #[serde(default)]
    pub(super) count_only: bool,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) more: bool,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) count: WireNumber<usize>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct PutRequest {
    pub(super) key: WireBytes,
    #[serde(default)]
    pub(super) value: WireBytes,
    #[serde(default)]
    pub(super) lease: WireNumber<i64>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub(super) enum CompareTarget {
    #[serde(rename = "CREATE")]
    Create,
    #[serde(rename = "MOD")]
    Mod,
    #[serde(rename = "VERSION")]
    Version,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub(super) enum CompareResult {
    #[serde(rename = "EQUAL")]
    Equal,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Compare {
    pub(super) key: WireBytes,
    pub(super) target: CompareTarget,
    #[serde(rename = "result")]
    pub(super) _result: CompareResult,
    #[serde(default)]
    pub(super) version: WireNumber<u64>,
    #[serde(default)]
    pub(super) create_revision: WireNumber<u64>,
    #[serde(default)]
    pub(super) mod_revision: WireNumber<u64>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub(super) enum TxnRequestOp {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct TxnRequest {
    #[serde(default)]
    pub(super) compare: Vec<Compare>,
    #[serde(default)]
    pub(super) success: Vec<TxnRequestOp>,
    #[serde(default)]
    pub(super) failure: Vec<TxnRequestOp>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct PutResponse {
    pub(super) header: ResponseHeader,
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum TxnResponseOp {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) responses: Vec<TxnResponseOp>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: WireNumber<u64>,
    #[serde(default, rename = "ID")]
    pub(super) id: WireNumber<i64>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub(super) id: WireNumber<i64>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct LeaseResponse {
    pub(super) header: ResponseHeader,
    #[serde(rename = "ID")]
    pub(super) id: WireNumber<i64>,
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub(super) ttl: WireNumber<u64>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchCreate {
    pub(super) key: WireBytes,
    #[serde(default)]
    pub(super) range_end: WireBytes,
    #[serde(default)]
    pub(super) start_revision: WireNumber<u64>,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) enum EventType {
    #[serde(rename = "DELETE")]
    Delete,
    #[serde(rename = "PUT")]
    Put,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    pub(super) kind: EventType,
    pub(super) kv: KeyValue,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "is_default")]
    pub(super) created: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) events: Vec<WatchEvent>,
}

/// One item of a streamed response.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StreamItem<T> {
    pub(super) result: T,
}
