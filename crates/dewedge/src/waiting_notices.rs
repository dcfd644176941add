//! The requests that wait at each VM, as the VMs announce them to each other.
//!
//! A VM announces them each 100 ms while any wait, for each service and class,
//! and once more when none waits any longer. Facts of different VMs are added up.
//! [`fact_notices`](crate::fact_notices) has the queue, the datagrams and the
//! receiver, and [`dewbacklog`] says what follows from the facts.

use std::time::Duration;

use crate::fact_notices::{FactQueue, FactReceiver, NoticeFact, ReceivedFacts, saturating_u16};

/// The requests of one class that wait for a service at a VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingNotice {
    /// Hash of the service's name.
    pub service: u64,
    /// Rank of the requests at an engine.
    pub class: u8,
    /// Number of the requests; 0 if none waits any longer.
    pub requests: u16,
    /// Their expected prefill time, in ms.
    pub prefill_ms: u32,
    /// Time for which the oldest has waited, in ms.
    pub oldest_ms: u16,
}

impl WaitingNotice {
    /// Adds a request that has waited for this long.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::waiting_notices::WaitingNotice;
    /// use std::time::Duration;
    ///
    /// let mut notice = WaitingNotice::default();
    /// notice.add(283.4, Duration::from_millis(120));
    /// notice.add(89.0, Duration::from_millis(40));
    /// assert_eq!((notice.requests, notice.prefill_ms, notice.oldest_ms), (2, 372, 120));
    /// ```
    pub fn add(&mut self, prefill_ms: f64, waited: Duration) {
        self.requests = self.requests.saturating_add(1);
        self.prefill_ms = self.prefill_ms.saturating_add(prefill_ms.round() as u32);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        self.oldest_ms = self.oldest_ms.max(saturating_u16(waited_ms));
    }
}

impl NoticeFact for WaitingNotice {
    type Key = (u64, u8);

    const MAGIC: [u8; 4] = *b"DWW1";

    /// Service, class, requests, prefill time, age of the oldest.
    const BYTES: usize = 17;

    const TTL: Duration = dewbacklog::FACT_TTL;

    fn key(&self) -> (u64, u8) {
        (self.service, self.class)
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.service.to_be_bytes());
        bytes.push(self.class);
        bytes.extend_from_slice(&self.requests.to_be_bytes());
        bytes.extend_from_slice(&self.prefill_ms.to_be_bytes());
        bytes.extend_from_slice(&self.oldest_ms.to_be_bytes());
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        Some(Self {
            service: u64::from_be_bytes(bytes[..8].try_into().ok()?),
            class: bytes[8],
            requests: u16::from_be_bytes(bytes[9..11].try_into().ok()?),
            prefill_ms: u32::from_be_bytes(bytes[11..15].try_into().ok()?),
            oldest_ms: u16::from_be_bytes(bytes[15..17].try_into().ok()?),
        })
    }
}

/// The waiting requests that this VM has yet to announce.
pub type WaitingQueueNotices = FactQueue<WaitingNotice>;

/// Reads what waits at other VMs.
pub type WaitingReceiver = FactReceiver<WaitingNotice>;

/// The new facts about waiting requests in a datagram.
pub type ReceivedWaiting = ReceivedFacts<WaitingNotice>;
