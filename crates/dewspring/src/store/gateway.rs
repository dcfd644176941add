//! The client of the platform's key-value service.
//!
//! It speaks the JSON gateway of an etcd v3 server. Its main invariant: a
//! write is called unavailable only if it surely had no effect.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::embedded::check_value_size;
use super::gateway_call::{CallKind, CallTarget, MAX_ANSWER_BYTES};
use super::gateway_messages::{
    EncodedNumber, EventKind, KeepAliveRequest, KeyValue, LeaseGrantRequest, LeaseResponse,
    RangeRequest, RangeResponse, StreamLine, TxnRequest, TxnResponse, WatchRequest, WatchResponse,
    positive,
};
use super::service::{
    ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError, StoreVersion,
    SwapOutcome,
};

const READ_BYTES: usize = 16 * 1024;

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
    /// No connection is made before the first call.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            target: CallTarget { address, timeout },
        }
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
            let version = positive(response.header.revision)
                .ok_or_else(|| CallKind::Write.broken("a swap without a version"))?;
            return Ok(SwapOutcome::Swapped(version));
        }
        let range = response
            .responses
            .into_iter()
            .find_map(|result| result.response_range)
            .ok_or_else(|| CallKind::Write.broken("a conflict without the key's state"))?;
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
        // A timeout while the answer's head is awaited is a quiet watch too: a
        // server may hold the head back until the first event.
        let response = match self
            .target
            .post(CallKind::Read, "/v3/watch", &request, timeout)
        {
            Ok(response) => response,
            Err(StoreError::Unavailable(_)) if Instant::now() >= deadline => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut stream = WatchStream::new(response.into_body(), deadline);
        loop {
            match stream.next_line()? {
                StreamStep::Line(line) => {
                    if let Some(entry) = newest_event(&line, key, after)? {
                        return Ok(Some(entry));
                    }
                }
                StreamStep::Quiet => return Ok(None),
            }
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        // The service counts in whole seconds; rounding down keeps the promise
        // to the caller that the lease ends no later than asked.
        let seconds = i64::try_from(time_to_live.as_secs().max(1)).unwrap_or(i64::MAX);
        let request = LeaseGrantRequest {
            seconds: EncodedNumber(seconds),
        };
        let response: LeaseResponse =
            self.target
                .call(CallKind::Write, "/v3/lease/grant", &request)?;
        let time_to_live = lease_time(&response)
            .ok_or_else(|| CallKind::Write.broken("a lease without a time to live"))?;
        Ok(LeaseGrant {
            id: response.id.0,
            time_to_live,
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = KeepAliveRequest {
            id: EncodedNumber(lease),
        };
        let line: StreamLine<LeaseResponse> =
            self.target
                .call(CallKind::Write, "/v3/lease/keepalive", &request)?;
        if line.result.id.0 != lease {
            return Err(CallKind::Write.broken("the renewal of another lease"));
        }
        lease_time(&line.result).ok_or(StoreError::LeaseExpired)
    }
}

fn lease_time(response: &LeaseResponse) -> Option<Duration> {
    u64::try_from(response.seconds.0)
        .ok()
        .filter(|seconds| *seconds > 0)
        .map(Duration::from_secs)
}

/// Returns the one entry of a range of one key.
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
        return Err(kind.broken("keys that were not asked for"));
    }
    first
        .into_entry()
        .map(Some)
        .ok_or_else(|| kind.broken("an entry without a version"))
}

/// Returns the newest write of the key that a line of a watch tells of.
fn newest_event(
    line: &[u8],
    key: &str,
    after: StoreVersion,
) -> Result<Option<StoreEntry>, StoreError> {
    let line: StreamLine<WatchResponse> =
        serde_json::from_slice(line).map_err(|error| CallKind::Read.parse_error(&error))?;
    if line.result.canceled {
        return Err(CallKind::Read.lost("the watch was cancelled"));
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

/// What a watch gave next.
enum StreamStep {
    /// A whole line.
    Line(Vec<u8>),
    /// Nothing until the deadline, or a clean end of the stream.
    Quiet,
}

/// The lines of a streamed answer, bounded in length and time.
struct WatchStream<R> {
    body: R,
    deadline: Instant,
    pending: Vec<u8>,
    has_line: bool,
}

impl<R: Read> WatchStream<R> {
    fn new(body: R, deadline: Instant) -> Self {
        Self {
            body,
            deadline,
            pending: Vec::new(),
            has_line: false,
        }
    }

    fn next_line(&mut self) -> Result<StreamStep, StoreError> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_newline(&self.pending[searched..]) {
                let rest = self.pending.split_off(searched + end + 1);
                let line = std::mem::replace(&mut self.pending, rest);
                self.has_line = true;
                return Ok(StreamStep::Line(line));
            }
            searched = self.pending.len();
            if searched > MAX_ANSWER_BYTES {
                return Err(CallKind::Read.broken("a line above the size limit"));
            }
            if Instant::now() >= self.deadline {
                return Ok(StreamStep::Quiet);
            }
            match self.fill() {
                Ok(0) => return self.end(),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => return Ok(StreamStep::Quiet),
                Err(error) => return Err(CallKind::Read.lost(error)),
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let count = self.body.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Tells a server that ended its watch from an answer that is no watch.
    fn end(&mut self) -> Result<StreamStep, StoreError> {
        if !self.pending.is_empty() {
            self.has_line = true;
            return Ok(StreamStep::Line(std::mem::take(&mut self.pending)));
        }
        if self.has_line {
            return Ok(StreamStep::Quiet);
        }
        Err(CallKind::Read.broken("a watch without a line"))
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
