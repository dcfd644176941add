//! Servers that have certainly ended, as the VMs tell each other.
//!
//! When many servers end at once, each VM would find it out by its own requests,
//! seconds before the store removes their entries. A VM therefore tells the others
//! of each certain sign that it finds, together with its digests.
//! [`ended_servers`](crate::policy::ended_servers) says what is certain and how
//! notices are used. Only services whose servers name their slowness have them.
//!
//! [`fact_notices`](crate::fact_notices) has the queue, the datagrams and the
//! receiver.
//!
//! The main invariant: a VM is believed only for half of the servers of a service.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::fact_notices::{FactQueue, FactReceiver, NoticeFact, ReceivedFacts};
use crate::policy::ended_servers::{ENDED_HOLD, EndedKind};

/// Maximum notices of a datagram; older ones are dropped first.
pub const MAX_NOTICES: usize = EndedNotice::MAX_FACTS;

/// Minimum interval between two log lines about a VM that isn't believed.
const DOUBT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A sign that a server has ended, as a VM has found it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedNotice {
    /// Hash of the server's id.
    pub server: u64,
    /// The sign.
    pub kind: EndedKind,
}

impl NoticeFact for EndedNotice {
    /// The newest sign of a server replaces the one before it.
    type Key = u64;

    const MAGIC: [u8; 4] = *b"DWE1";

    /// Server, kind.
    const BYTES: usize = 9;

    const TTL: Duration = ENDED_HOLD;

    fn key(&self) -> u64 {
        self.server
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.server.to_be_bytes());
        bytes.push(kind_byte(self.kind));
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        Some(Self {
            server: u64::from_be_bytes(bytes[..8].try_into().ok()?),
            kind: kind_of(bytes[8])?,
        })
    }
}

fn kind_byte(kind: EndedKind) -> u8 {
    match kind {
        EndedKind::Refused => 1,
        EndedKind::Misdirected => 2,
    }
}

fn kind_of(byte: u8) -> Option<EndedKind> {
    match byte {
        1 => Some(EndedKind::Refused),
        2 => Some(EndedKind::Misdirected),
        _ => None,
    }
}

/// The signs that this VM has yet to pass on.
pub type EndedQueue = FactQueue<EndedNotice>;

/// Reads the signs that other VMs have found.
pub type EndedReceiver = FactReceiver<EndedNotice>;

/// The new signs in a datagram.
pub type ReceivedSigns = ReceivedFacts<EndedNotice>;

/// Whether a notice of another VM is believed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeTrust {
    /// It is.
    Believed,
    /// It isn't: the VM reports too many servers, and is probably cut off itself.
    Doubted {
        /// Whether it is to be logged.
        is_logged: bool,
    },
}

/// The servers of a service that a VM has recently reported as ended.
#[derive(Clone, Debug, Default)]
struct ReportedServers {
    believed: IndexMap<u64, Moment>,
    doubt_logged: Option<Moment>,
}

impl ReportedServers {
    fn expire(&mut self, now: Moment) {
        self.believed
            .retain(|_, received| now.saturating_sub(*received) < ENDED_HOLD);
    }

    fn is_doubt_logged(&self, now: Moment) -> bool {
        self.doubt_logged
            .is_some_and(|logged| now.saturating_sub(logged) < DOUBT_LOG_INTERVAL)
    }
}

/// Limits how many servers of a service one VM can report as ended.
#[derive(Clone, Debug, Default)]
pub struct ReporterLimits {
    reporters: IndexMap<(SocketAddr, String), ReportedServers>,
}

impl ReporterLimits {
    /// Decides whether a VM is believed that a server has ended. Within
    /// [`ENDED_HOLD`], it is for half of the `listed` servers of the service.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::{NoticeTrust, ReporterLimits};
    /// use std::time::Duration;
    ///
    /// let mut limits = ReporterLimits::default();
    /// let vm = "127.0.0.1:80".parse().unwrap();
    /// let now = Duration::from_secs(9);
    /// let mut judge = |server| limits.judge(vm, "draft", server, 3, now);
    /// assert_eq!(judge(1), NoticeTrust::Believed);
    /// assert_eq!(judge(2), NoticeTrust::Doubted { is_logged: true });
    /// ```
    pub fn judge(
        &mut self,
        vm: SocketAddr,
        service: &str,
        server: u64,
        listed: usize,
        now: Moment,
    ) -> NoticeTrust {
        let key = (vm, service.to_string());
        let reported = self.reporters.entry(key).or_default();
        reported.expire(now);
        let known = reported.believed.contains_key(&server);
        if known || (reported.believed.len() + 1) * 2 <= listed {
            reported.believed.insert(server, now);
            return NoticeTrust::Believed;
        }
        let is_logged = !reported.is_doubt_logged(now);
        if is_logged {
            reported.doubt_logged = Some(now);
        }
        NoticeTrust::Doubted { is_logged }
    }

    /// Forgets VMs that have reported nothing lately.
    pub fn expire(&mut self, now: Moment) {
        self.reporters.retain(|_, reported| {
            reported.expire(now);
            !reported.believed.is_empty() || reported.is_doubt_logged(now)
        });
    }
}
