//! Keys, leases and events of the key-value service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::wire::{
    Compare, CompareTarget, EventType, KeyValue, LeaseGrantRequest, LeaseResponse, PutRequest,
    PutResponse, RangeRequest, RangeResponse, ResponseHeader, TxnRequest, TxnRequestOp,
    TxnResponse, TxnResponseOp, WatchCreate, WatchEvent, WireBytes, WireNumber,
};

const MAX_VALUE_BYTES: usize = 1 << 20;
const CLUSTER_ID: u64 = 1;
const FIRST_REVISION: u64 = 1;
const FIRST_LEASE: i64 = 1000;

/// The reason why a request was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KvError {
    /// A value is larger than 1 MiB.
    ValueTooLarge,
    /// The lease is unknown.
    LeaseNotFound,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    time_to_live: Duration,
    expires: Instant,
}

/// The complete state, of which a clone serves as a snapshot.
#[derive(Clone, Debug)]
pub(super) struct KvState {
    revision: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, GrantedLease>,
    events: Vec<WatchEvent>,
    next_lease: i64,
}

impl KvState {
    pub(super) fn new() -> Self {
        Self {
            revision: FIRST_REVISION,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            events: Vec::new(),
            next_lease: FIRST_LEASE,
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: WireNumber(CLUSTER_ID),
            member_id: WireNumber(CLUSTER_ID),
            revision: WireNumber(self.revision),
            raft_term: WireNumber(1),
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let mut found: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| is_in_range(key, &request.key, &request.range_end))
            .map(|(_, entry)| entry.clone())
            .collect();
        let count = found.len();
        if request.limit.0 > 0 {
            found.truncate(request.limit.0);
        }
        if request.count_only {
            found.clear();
        }
        if request.keys_only {
            found.iter_mut().for_each(|entry| entry.value.0.clear());
        }
        RangeResponse {
            header: self.header(),
            more: !request.count_only && found.len() < count,
            kvs: found,
            count: WireNumber(count),
        }
    }

    /// Executes a transaction; the second value is true if it wrote.
    pub(super) fn txn(&mut self, request: &TxnRequest) -> Result<(TxnResponse, bool), KvError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        self.check_puts(operations)?;
        let writes = operations
            .iter()
            .any(|operation| matches!(operation, TxnRequestOp::Put(_)));
        if writes {
            self.revision += 1;
        }
        let responses = operations
            .iter()
            .map(|operation| match operation {
                TxnRequestOp::Put(put) => TxnResponseOp::Put(self.put(put)),
                TxnRequestOp::Range(range) => TxnResponseOp::Range(self.range(range)),
            })
            .collect();
        let response = TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        };
        Ok((response, writes))
    }

    fn check_puts(&self, operations: &[TxnRequestOp]) -> Result<(), KvError> {
        for operation in operations {
            let TxnRequestOp::Put(put) = operation else {
                continue;
            };
            if put.value.0.len() > MAX_VALUE_BYTES {
                return Err(KvError::ValueTooLarge);
            }
            if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
                return Err(KvError::LeaseNotFound);
            }
        }
        Ok(())
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let entry = self.keys.get(&compare.key.0);
        let (actual, expected) = match compare.target {
            CompareTarget::Version => (entry.map(|entry| entry.version), compare.version),
            CompareTarget::Mod => (entry.map(|entry| entry.mod_revision), compare.mod_revision),
            CompareTarget::Create => (
                entry.map(|entry| entry.create_revision),
                compare.create_revision,
            ),
        };
        actual.unwrap_or_default() == expected
    }

    fn put(&mut self, put: &PutRequest) -> PutResponse {
        let old = self.keys.get(&put.key.0);
        let created = old.map_or(self.revision, |old| old.create_revision.0);
        let version = old.map_or(0, |old| old.version.0) + 1;
        let entry = KeyValue {
            key: put.key.clone(),
            create_revision: WireNumber(created),
            mod_revision: WireNumber(self.revision),
            version: WireNumber(version),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.0.clone(), entry.clone());
        self.events.push(WatchEvent {
            kind: EventType::Put,
            kv: entry,
        });
        PutResponse {
            header: self.header(),
        }
    }

    pub(super) fn grant(&mut self, request: &LeaseGrantRequest, now: Instant) -> LeaseResponse {
        let id = match request.id.0 {
            0 => self.next_lease,
            id => id,
        };
        self.next_lease = self.next_lease.max(id) + 1;
        let time_to_live = Duration::from_secs(request.ttl.0.max(1));
        let lease = GrantedLease {
            time_to_live,
            expires: now + time_to_live,
        };
        self.leases.insert(id, lease);
        LeaseResponse {
            header: self.header(),
            id: WireNumber(id),
            ttl: WireNumber(time_to_live.as_secs()),
        }
    }

    /// Renews a lease; a time to live of 0 in the response means that it has
    /// expired.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> LeaseResponse {
        let time_to_live = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + lease.time_to_live;
                lease.time_to_live.as_secs()
            }
            None => 0,
        };
        LeaseResponse {
            header: self.header(),
            id: WireNumber(id),
            ttl: WireNumber(time_to_live),
        }
    }

    /// Removes expired leases and their keys; returns whether a key was
    /// deleted.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.delete_keys_of(id);
        }
        self.revision > before
    }

    fn delete_keys_of(&mut self, lease: i64) {
        let keys: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease.0 == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.keys.remove(&key);
            self.events.push(WatchEvent {
                kind: EventType::Delete,
                kv: KeyValue {
                    key: WireBytes(key),
                    create_revision: WireNumber(0),
                    mod_revision: WireNumber(self.revision),
                    version: WireNumber(0),
                    value: WireBytes::default(),
                    lease: WireNumber(0),
                },
            });
        }
    }

    /// Returns the events of a watch, starting with those of `revision`.
    pub(super) fn events_from(&self, revision: u64, watch: &WatchCreate) -> Vec<WatchEvent> {
        let start = self
            .events
            .partition_point(|event| event.kv.mod_revision.0 < revision);
        self.events[start..]
            .iter()
            .filter(|event| is_in_range(&event.kv.key.0, &watch.key, &watch.range_end))
            .cloned()
            .collect()
    }
}

fn is_in_range(key: &[u8], start: &WireBytes, end: &WireBytes) -> bool {
    match end.0.as_slice() {
        [] => key == start.0,
        [0] => key >= start.0.as_slice(),
        end => key >= start.0.as_slice() && key < end,
    }
}
