//! The names of the headers that the entry reads and sets.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Identity of the request, in the answer and towards the backend server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Whether the request ran: `no`, `yes` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("x-dewspring-ran");

/// Backend server that gave the answer.
pub const SERVER_NAME: HeaderName = HeaderName::from_static("x-dewspring-server");

/// VM whose entry served the request.
pub const VM_NAME: HeaderName = HeaderName::from_static("x-dewspring-vm");

/// `Retry-After` in milliseconds, for callers that can use it.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Identity under which a request is executed at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Says that an answer was recorded when its request ran before.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-dewspring-replayed");

/// Priority towards an engine; a lower number goes first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Hash of the start of the prompt, towards an engine, in hexadecimal.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("x-prefix-hash");

/// Number of tokens that the caller already has, towards an engine.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");

/// Mark of a backend server that is about to leave.
pub const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Headers of a request that the entry sets itself.
const SET_BY_ENTRY: [HeaderName; 6] = [
    HOST,
    CONTENT_LENGTH,
    REQUEST_ID,
    PRIORITY,
    PREFIX_HASH,
    RESUME_FROM,
];

/// Returns the caller's headers that go on to the backend server.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    for name in &SET_BY_ENTRY {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers that are not bound to one connection.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    let named = headers.get_all(CONNECTION).iter();
    for name in named.filter_map(|value| value.to_str().ok()) {
        for name in name.split(',') {
            kept.remove(name.trim());
        }
    }
    kept
}
