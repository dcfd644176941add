//! The client of the platform's key-value service.
//!
//! It uses the protocol of the JSON gateway of an etcd v3 server. Main
//! invariant: a write fails with [`StoreError::Unavailable`] only if it had no
//! effect.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::embedded::check_value_size;
use super::gateway_call::{CallKind, CallTarget, MAX_RESPONSE_BYTES};
use super::gateway_messages::{
    EventKind, KeepAliveRequest, KeyValue, LeaseGrantRequest, LeaseResponse, RangeRequest,
    RangeResponse, StreamLine, StringInt64, TxnRequest, TxnResponse, WatchRequest, WatchResponse,
    to_version,
};
use super::platform::{
    ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError, StoreVersion,
    SwapOutcome,
};
use crate::observe::DaemonMetrics;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The platform's key-value service, reached over HTTP.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewspring::store::{GatewayStore, PlatformStore, StoreError};
///
/// let address = "127.0.0.1:9".parse().expect("an address");
/// let store = GatewayStore::open(address, Duration::from_millis(100));
/// assert!(matches!(store.get("/key"), Err(StoreError::Unavailable(_))));
/// ```
#[derive(Clone, Debug)]
pub struct GatewayStore {
    target: CallTarget,
}

impl GatewayStore {
    /// Opens a client whose calls take at most about `timeout` each.
    ///
    /// No connection is opened before the first call.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            target: CallTarget {
                address,
                timeout,
                metrics: None,
            },
        }
    }

    /// Counts broken responses in these metrics.
    #[must_use]
    pub fn counted_by(mut self, metrics: DaemonMetrics) -> Self {
        self.target.metrics = Some(Arc::new(metrics));
        self
    }
}

impl PlatformStore for GatewayStore {
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let request = RangeRequest::new(key);
        let response: RangeResponse = self.target.call(CallKind::Read, "/v3/kv/range", &request)?;
        single_entry(CallKind::Read, key, response.kvs)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        check_value_size(value)?;
        let request = TxnRequest::compare_and_swap(key, expected, value, lease);
        let response: TxnResponse = self.target.call(CallKind::Write, "/v3/kv/txn", &request)?;
        if response.succeeded {
            let version = to_version(response.header.revision)
                .ok_or_else(|| CallKind::Write.protocol_error("a swap without a version"))?;
            return Ok(SwapOutcome::Swapped(version));
        }
        let range = response
            .responses
            .into_iter()
            .find_map(|result| result.response_range)
            .ok_or_else(|| CallKind::Write.protocol_error("a conflict without the key's state"))?;
        single_entry(CallKind::Write, key, range.kvs).map(SwapOutcome::Conflict)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        let deadline = Instant::now() + timeout;
        let request = WatchRequest::new(key, after);
        // A timeout before the response head is a watch without events, too: a
        // server may delay the head until the first event.
        let response = match self
            .target
            .post(CallKind::Read, "/v3/watch", &request, timeout)
        {
            Ok(response) => response,
            Err(StoreError::Unavailable(_)) if Instant::now() >= deadline => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut stream = WatchStream::new(response, deadline);
        loop {
            match stream.next_line(&self.target)? {
                WatchItem::Line(line) => {
                    if let Some(entry) = newest_event(&line, key, after)? {
                        return Ok(Some(entry));
                    }
                }
                WatchItem::Ended => return Ok(None),
            }
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        // The service accepts whole seconds; rounding down ensures that a lease
        // of a second or more expires no later than requested.
        let seconds = i64::try_from(time_to_live.as_secs().max(1)).unwrap_or(i64::MAX);
        let request = LeaseGrantRequest {
            seconds: StringInt64(seconds),
        };
        let response: LeaseResponse =
            self.target
                .call(CallKind::Write, "/v3/lease/grant", &request)?;
        let time_to_live = lease_ttl(&response)
            .ok_or_else(|| CallKind::Write.protocol_error("a lease without a time to live"))?;
        Ok(LeaseGrant {
            id: response.id.0,
            time_to_live,
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = KeepAliveRequest {
            id: StringInt64(lease),
        };
        let line: StreamLine<LeaseResponse> =
            self.target
                .call(CallKind::Write, "/v3/lease/keepalive", &request)?;
        if line.result.id.0 != lease {
            return Err(CallKind::Write.protocol_error("the renewal of another lease"));
        }
        lease_ttl(&line.result).ok_or(StoreError::LeaseExpired)
    }
}

fn lease_ttl(response: &LeaseResponse) -> Option<Duration> {
    u64::try_from(response.seconds.0)
        .ok()
        .filter(|seconds| *seconds > 0)
        .map(Duration::from_secs)
}

/// Returns the entry of a range of one key, if the key exists.
fn single_entry(
    kind: CallKind,
    key: &str,
    kvs: Vec<KeyValue>,
) -> Result<Option<StoreEntry>, StoreError> {
    let mut kvs = kvs.into_iter();
    let Some(first) = kvs.next() else {
        return Ok(None);
    };
    if kvs.next().is_some() || first.key.0 != key.as_bytes() {
        return Err(kind.protocol_error("keys that were not requested"));
    }
    first
        .into_entry()
        .map(Some)
        .ok_or_else(|| kind.protocol_error("an entry without a version"))
}

/// Returns the newest write of the key in one line of a watch, if there is one
/// above the version `after`.
fn newest_event(
    line: &[u8],
    key: &str,
    after: StoreVersion,
) -> Result<Option<StoreEntry>, StoreError> {
    let line: StreamLine<WatchResponse> =
        serde_json::from_slice(line).map_err(|error| CallKind::Read.parse_error(&error))?;
    if line.result.canceled {
        return Err(CallKind::Read.lost_response_error("the watch was cancelled"));
    }
    let entry = line
        .result
        .events
        .into_iter()
        .filter(|event| event.kind == EventKind::Put)
        .map(|event| event.kv)
        .filter(|kv| kv.key.0 == key.as_bytes())
        .filter_map(KeyValue::into_entry)
        .filter(|entry| entry.version > after)
        .max_by_key(|entry| entry.version);
    Ok(entry)
}

/// An item of a watch's stream.
enum WatchItem {
    /// A complete line.
    Line(Vec<u8>),
    /// The deadline passed, or the server ended the stream after a line.
    Ended,
}

/// The lines of a streamed response, with limits on their length and on the
/// total time.
struct WatchStream<R> {
    body: R,
    deadline: Instant,
    pending: Vec<u8>,
    has_received_line: bool,
}

impl<R: Read> WatchStream<R> {
    fn new(body: R, deadline: Instant) -> Self {
        Self {
            body,
            deadline,
            pending: Vec::new(),
            has_received_line: false,
        }
    }

    fn next_line(&mut self, target: &CallTarget) -> Result<WatchItem, StoreError> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_newline(&self.pending[searched..]) {
                let rest = self.pending.split_off(searched + end + 1);
                let line = std::mem::replace(&mut self.pending, rest);
                self.has_received_line = true;
                return Ok(WatchItem::Line(line));
            }
            searched = self.pending.len();
            if searched > MAX_RESPONSE_BYTES {
                return Err(CallKind::Read.protocol_error("a line above the size limit"));
            }
            if Instant::now() >= self.deadline {
                return Ok(WatchItem::Ended);
            }
            match self.fill() {
                Ok(0) => return self.finish(),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return Ok(WatchItem::Ended),
                Err(error) => return Err(target.failure(CallKind::Read, &error)),
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let count = self.body.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Handles the end of the body: a server may end its watch after a line, but
    /// a response without any line is not a watch.
    fn finish(&mut self) -> Result<WatchItem, StoreError> {
        if !self.pending.is_empty() {
            self.has_received_line = true;
            return Ok(WatchItem::Line(std::mem::take(&mut self.pending)));
        }
        if self.has_received_line {
            return Ok(WatchItem::Ended);
        }
        Err(CallKind::Read.protocol_error("a watch without a line"))
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
