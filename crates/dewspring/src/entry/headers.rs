//! Headers that the entry reads, sets and forwards.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Id of the request, in the response and in the request to the backend server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Whether the request ran: `no`, `yes` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("x-dewspring-ran");

/// Backend server that sent the response.
pub const SERVER_NAME: HeaderName = HeaderName::from_static("x-dewspring-server");

/// VM whose entry served the request.
pub const VM_NAME: HeaderName = HeaderName::from_static("x-dewspring-vm");

/// `Retry-After` with a resolution of milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Key under which a request is executed at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Marks a response that is repeated from the record of an earlier execution.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-dewspring-replayed");

/// Priority in the request to an engine; lower numbers are served first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Hash of the start of the prompt in the request to an engine, in hexadecimal.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("x-prefix-hash");

/// Number of tokens that the caller has already received, in the request to an
/// engine.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");

/// Set in the response of a backend server that is about to shut down.
pub const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers of a single connection, which are never forwarded.
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

/// Request headers that the entry sets itself, so the caller's are dropped.
const SET_BY_ENTRY: [HeaderName; 6] = [
    HOST,
    CONTENT_LENGTH,
    REQUEST_ID,
    PRIORITY,
    PREFIX_HASH,
    RESUME_FROM,
];

/// Returns the caller's headers that are forwarded to the backend server.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    for name in &SET_BY_ENTRY {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers without hop-by-hop headers, including those that
/// `Connection` lists.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    let listed = headers.get_all(CONNECTION).iter();
    for name in listed.filter_map(|value| value.to_str().ok()) {
        for name in name.split(',') {
            kept.remove(name.trim());
        }
    }
    kept
}
