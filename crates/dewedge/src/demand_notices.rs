//! What the VMs tell the holder of a duty about unmet demand.
//!
//! The digests of load show the requests at the servers. A notice adds the
//! requests that wait for a server and those that were refused, so that the
//! holder orders servers for them, too. A notice is complete, so that a lost one
//! is replaced by the next.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;

/// First bytes of a notice; the last one is the format version.
pub const DEMAND_MAGIC: [u8; 4] = *b"DWN1";

/// Length of the sender and the time before the entries.
const HEAD_BYTES: usize = 16;

/// Length of an entry: service, waiting requests, refused requests.
const ENTRY_BYTES: usize = 16;

/// Maximum services of a notice, so that it fits in a packet.
const MAX_ENTRIES: usize = 64;

/// Maximum number of VMs whose notices are kept.
const MAX_SENDERS: usize = 1024;

/// Age at which a notice expires; the VMs send one each 500 ms.
pub const NOTICE_TTL: Duration = Duration::from_millis(1800);

/// Unmet demand for a service at one VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnmetDemand {
    /// Hash of the service's name.
    pub service: u64,
    /// Requests that wait for a server.
    pub waiting: u32,
    /// Requests that were refused for lack of servers since the process started.
    pub refused: u32,
}

/// Encodes the notice of a VM.
pub fn encode_notice(vm: u64, now: Moment, demands: &[UnmetDemand]) -> Vec<u8> {
    let sent_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let mut bytes = DEMAND_MAGIC.to_vec();
    bytes.extend(vm.to_be_bytes());
    bytes.extend(sent_ms.to_be_bytes());
    for demand in demands.iter().take(MAX_ENTRIES) {
        bytes.extend(demand.service.to_be_bytes());
        bytes.extend(demand.waiting.to_be_bytes());
        bytes.extend(demand.refused.to_be_bytes());
    }
    bytes
}

/// Decodes what follows the magic: the VM, its time in ms, and its demands.
fn decode_notice(bytes: &[u8]) -> Option<(u64, u64, Vec<UnmetDemand>)> {
    let (head, entries) = bytes.split_at_checked(HEAD_BYTES)?;
    if !entries.len().is_multiple_of(ENTRY_BYTES) || entries.len() > MAX_ENTRIES * ENTRY_BYTES {
        return None;
    }
    let demands = entries.chunks_exact(ENTRY_BYTES).map(|entry| {
        Some(UnmetDemand {
            service: u64::from_be_bytes(entry[..8].try_into().ok()?),
            waiting: u32::from_be_bytes(entry[8..12].try_into().ok()?),
            refused: u32::from_be_bytes(entry[12..].try_into().ok()?),
        })
    });
    Some((
        u64::from_be_bytes(head[..8].try_into().ok()?),
        u64::from_be_bytes(head[8..].try_into().ok()?),
        demands.collect::<Option<_>>()?,
    ))
}

/// Last notice of one VM.
#[derive(Clone, Debug, Default)]
struct SenderNotice {
    received: Moment,
    sent_ms: u64,
    demands: Vec<UnmetDemand>,
}

/// The last notices of all VMs.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    senders: IndexMap<u64, SenderNotice>,
    /// Refused requests by service that haven't been taken yet.
    refused: IndexMap<u64, u32>,
}

impl DemandTable {
    /// Records what follows the magic of a notice; returns whether it could be
    /// read.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::demand_notices::{DEMAND_MAGIC, DemandTable, UnmetDemand, encode_notice};
    /// use std::time::Duration;
    ///
    /// let demand = UnmetDemand { service: 7, waiting: 3, refused: 0 };
    /// let bytes = encode_notice(1, Duration::from_secs(5), &[demand]);
    /// let now = Duration::from_secs(9);
    /// let mut table = DemandTable::default();
    /// assert!(table.receive(&bytes[DEMAND_MAGIC.len()..], now));
    /// assert_eq!(table.waiting(7, now), 3);
    /// ```
    pub fn receive(&mut self, bytes: &[u8], now: Moment) -> bool {
        let Some((vm, sent_ms, demands)) = decode_notice(bytes) else {
            return false;
        };
        let known = self.senders.get(&vm);
        let is_old = known.is_some_and(|known| {
            known.sent_ms >= sent_ms && now.saturating_sub(known.received) < NOTICE_TTL
        });
        if is_old || known.is_none() && self.senders.len() >= MAX_SENDERS {
            return true;
        }
        let before = known.cloned();
        for demand in &demands {
            // The first notice of a VM counts requests that were refused before
            // it was heard; they are no current demand.
            let known = before.as_ref().map_or(demand.refused, |before| {
                let same = |known: &&UnmetDemand| known.service == demand.service;
                let known = before.demands.iter().find(same);
                known.map_or(0, |known| known.refused)
            });
            let since = demand.refused.saturating_sub(known);
            if since > 0 {
                let refused = self.refused.entry(demand.service).or_insert(0);
                *refused = refused.saturating_add(since);
            }
        }
        let notice = SenderNotice {
            received: now,
            sent_ms,
            demands,
        };
        self.senders.insert(vm, notice);
        true
    }

    /// Returns the requests that wait for servers of a service at all VMs.
    pub fn waiting(&self, service: u64, now: Moment) -> u32 {
        let recent = self
            .senders
            .values()
            .filter(|notice| now.saturating_sub(notice.received) < NOTICE_TTL);
        recent
            .flat_map(|notice| &notice.demands)
            .filter(|demand| demand.service == service)
            .fold(0, |sum, demand| sum.saturating_add(demand.waiting))
    }

    /// Takes the requests that were refused at all VMs since the last call.
    pub fn take_refused(&mut self, service: u64) -> u32 {
        self.refused.swap_remove(&service).unwrap_or(0)
    }

    /// Forgets VMs that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.senders
            .retain(|_, notice| now.saturating_sub(notice.received) < NOTICE_TTL * 8);
    }
}
