//! Software versions that services have had of late, as the store records them.
//!
//! A VM that has just started lists the servers of that moment only, but callers
//! may take up streams that servers of an earlier version began. The VMs
//! therefore record in the store which versions a service has. A version's
//! record is removed by a VM that has not listed the version for as long as a
//! stream of it can be taken up. How long that is, the record tells too: the
//! stream may have begun under earlier tables, which a VM that has just started
//! doesn't know.
//!
//! The main invariant: no clock but that of the observing VM decides that a
//! version can have no streams left, so the records outlive the loss of all VMs.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::directory::stable_hash;
use crate::format::SoftwareVersion;
use crate::origins::{VersionId, version_id};

/// Hash of a service and one of its versions, the same on all VMs.
pub type ServiceVersionHash = u64;

/// Time by which each VM waits longer than the one before it, in the order of
/// the VMs, before it changes a record; the others see the change meanwhile.
const CHANGE_STEP: Duration = Duration::from_millis(300);

/// Time after which a change that the store hasn't accepted is made again.
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A service and one of the versions of its servers' software.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ServiceVersion {
    /// Name of the service.
    pub service: String,
    /// The version.
    pub version: SoftwareVersion,
}

impl ServiceVersion {
    /// Returns its hash, which names its record in the store.
    pub fn hash(&self) -> ServiceVersionHash {
        stable_hash(format!("{}\0{}", self.service, self.version).as_bytes())
    }
}

/// The record of a version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionRecord {
    /// The version.
    pub names: ServiceVersion,
    /// Time for which its streams can be taken up.
    pub stream_ttl: Duration,
}

/// A change of the records in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionChange {
    /// A listed version has no record, or a record with a shorter TTL.
    Write(VersionRecord),
    /// The streams of a recorded version have ended.
    Remove {
        /// The version.
        version: ServiceVersion,
        /// Revision of its record.
        revision: u64,
    },
}

/// What a VM knows of one version.
#[derive(Clone, Debug)]
struct KnownVersion {
    names: ServiceVersion,
    /// Time for which its streams can be taken up, by its record.
    stream_ttl: Duration,
    /// Revision of its record, if the store has one.
    revision: Option<u64>,
    /// Since when no server of it is listed; `None` while one is.
    unlisted_since: Option<Moment>,
    /// Whether this VM has listed a server of it.
    was_listed: bool,
    /// Whether the store has lost its record.
    is_lost: bool,
    /// When this VM changes the record, if that is due.
    change_at: Option<Moment>,
}

/// The versions that services have had of late.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    versions: IndexMap<ServiceVersionHash, KnownVersion>,
}

impl VersionTable {
    /// Applies the record of a version.
    pub fn record(&mut self, record: VersionRecord, revision: u64, now: Moment) {
        let known = self.known(record.names, now);
        if known.revision <= Some(revision) {
            known.revision = Some(revision);
            known.stream_ttl = record.stream_ttl;
        }
        known.is_lost = false;
        known.change_at = None;
    }

    /// Applies the removal of a record.
    pub fn forget(&mut self, version: ServiceVersionHash) {
        if let Some(known) = self.versions.get_mut(&version) {
            known.revision = None;
            known.change_at = None;
        }
    }

    /// Forgets which records the store has, because it returned from an older
    /// copy of its data.
    pub fn forget_records(&mut self) {
        for known in self.versions.values_mut() {
            known.is_lost |= known.revision.take().is_some();
            known.change_at = None;
        }
    }

    /// Returns whether a version has been listed or recorded of late.
    pub fn is_known(&self, version: ServiceVersionHash) -> bool {
        self.versions.contains_key(&version)
    }

    /// Updates which versions are listed.
    pub fn observe(&mut self, listed: impl IntoIterator<Item = ServiceVersion>, now: Moment) {
        let mut absent: Vec<ServiceVersionHash> = self.versions.keys().copied().collect();
        for names in listed {
            let hash = names.hash();
            absent.retain(|other| *other != hash);
            let known = self.known(names, now);
            let is_listed_again = known.unlisted_since.take().is_some() && known.was_listed;
            known.was_listed = true;
            if is_listed_again {
                // The new record can't be removed by a VM that knows only the earlier
                // one.
                known.revision = None;
            }
        }
        for hash in absent {
            self.versions[&hash].unlisted_since.get_or_insert(now);
        }
    }

    /// Returns the recorded versions of a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::origins::version_id;
    /// use dewedge::versions::{ServiceVersion, VersionRecord, VersionTable};
    /// use std::time::Duration;
    ///
    /// let mut table = VersionTable::default();
    /// let names = ServiceVersion { service: "draft".to_string(), version: "v1".to_string() };
    /// let record = VersionRecord { names, stream_ttl: Duration::from_secs(30) };
    /// table.record(record, 7, Duration::ZERO);
    /// let recorded: Vec<_> = table.recorded("draft").collect();
    /// assert_eq!(recorded, [version_id("draft", "v1")]);
    /// ```
    pub fn recorded(&self, service: &str) -> impl Iterator<Item = VersionId> {
        self.versions
            .values()
            .filter(move |known| known.names.service == service && known.revision.is_some())
            .map(|known| version_id(&known.names.service, &known.names.version))
    }

    /// Returns the longest time for which streams of recorded versions can be
    /// taken up.
    pub fn longest_stream_ttl(&self) -> Duration {
        let recorded = self
            .versions
            .values()
            .filter(|known| known.revision.is_some());
        recorded
            .map(|known| known.stream_ttl)
            .max()
            .unwrap_or_default()
    }

    /// Returns the next change of the records that this VM must make.
    ///
    /// `rank` tells how many VMs change a record before this one; a stream can be
    /// taken up for `ttl`, or for the TTL of its record if that is longer, after
    /// its version was last listed.
    pub fn next_change(
        &mut self,
        rank: impl Fn(ServiceVersionHash) -> u32,
        ttl: Duration,
        now: Moment,
    ) -> Option<VersionChange> {
        for (hash, known) in &mut self.versions {
            let ttl = ttl.max(known.stream_ttl);
            let unlisted = known.unlisted_since;
            let expired = unlisted.is_some_and(|since| since.saturating_add(ttl) < now);
            let is_listed = unlisted.is_none();
            let record = || VersionRecord {
                names: known.names.clone(),
                stream_ttl: ttl,
            };
            let change = match known.revision {
                None if is_listed || known.is_lost && !expired => VersionChange::Write(record()),
                Some(_) if is_listed && known.stream_ttl < ttl => VersionChange::Write(record()),
                Some(revision) if expired => VersionChange::Remove {
                    version: known.names.clone(),
                    revision,
                },
                _ => {
                    known.change_at = None;
                    continue;
                }
            };
            let first = now + CHANGE_STEP * rank(*hash);
            let due = known.change_at.get_or_insert(first);
            if *due <= now {
                *due = now + CHANGE_RETRY_INTERVAL;
                return Some(change);
            }
        }
        self.versions.retain(|_, known| {
            let may_have_streams = known.is_lost && known.change_at.is_some();
            known.revision.is_some() || known.unlisted_since.is_none() || may_have_streams
        });
        None
    }

    fn known(&mut self, names: ServiceVersion, now: Moment) -> &mut KnownVersion {
        self.versions
            .entry(names.hash())
            .or_insert_with(|| KnownVersion {
                names,
                stream_ttl: Duration::ZERO,
                revision: None,
                unlisted_since: Some(now),
                was_listed: false,
                is_lost: false,
                change_at: None,
            })
    }
}
