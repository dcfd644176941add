//! The servers listed by the platform, and this VM's state of each.
//!
//! A server's entry comes from the platform's store. An entry that was lost in
//! an outage of the store is kept for a grace period, because live servers soon
//! write theirs again.
//!
//! The main invariant: a server that was seen leaving gets no new request until
//! it restarts.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::format::{ReplicaEntry, ReplicaId, ReplicaStage};
use crate::origins::{VersionId, version_id};
use crate::policy::ended_servers::EndedState;
use crate::policy::health::ReplicaHealth;
use crate::policy::load_reports::ServerReports;
use crate::policy::part_cache::{PartCache, PartLimits};
use crate::policy::placement::ServerLoad;
use crate::policy::rate_limit::RateLimit;
use crate::policy::warmup::WarmUp;

/// Time for which an entry lost in an outage of the store is still used; live
/// servers are listed again within about two seconds after the outage.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(1800);

/// Index of a server in this process.
pub type ReplicaIndex = usize;

/// This VM's state of one server.
#[derive(Debug)]
pub struct ReplicaState {
    /// Id of the server.
    pub id: ReplicaId,
    /// Hash of its id, the same on all VMs.
    pub hash: u64,
    /// Its entry in the store.
    pub entry: ReplicaEntry,
    /// Version of its software, by its entry.
    version: VersionId,
    /// Whether it was seen leaving.
    pub leaving: bool,
    /// Until when it accepts no request from this VM.
    pub backoff_until: Moment,
    /// The limit that it names on the requests of all VMs together.
    pub rate_limit: RateLimit,
    /// Whether its entry was removed.
    pub gone: bool,
    /// When its entry was removed, if it was.
    pub gone_at: Moment,
    /// When its entry counts as removed, if it was lost in an outage of the
    /// store.
    pub missing_until: Option<Moment>,
    /// Health according to the results of this VM's requests.
    pub health: ReplicaHealth,
    /// Whether it has certainly ended, if its service's servers report their
    /// slowness.
    pub ended: EndedState,
    /// Limits on this VM's use of it after its latest start.
    pub warmup: WarmUp,
    /// Prompt parts and shared prefixes that are expected in its KV cache.
    pub cached_parts: PartCache,
    /// Load from this VM.
    pub own_load: ServerLoad,
    /// Load from the other VMs.
    pub peer_load: ServerLoad,
    /// Ratio of the measured to the expected time to first event; 1 is normal.
    pub slowness: f64,
    /// What it reported about its load, if its service's servers do.
    pub reports: ServerReports,
    /// When bytes were last received from it.
    pub last_received: Option<Moment>,
    /// Idle connections, most recently used last.
    pub idle_conns: Vec<usize>,
    /// Open connections of this VM, including idle ones.
    pub open_connections: u32,
    revision: u64,
}

impl ReplicaState {
    /// Returns whether it accepts new requests, regardless of its health.
    pub fn is_listed(&self) -> bool {
        !self.gone && !self.leaving
    }

    /// Records that it accepts no request from this VM for some time.
    pub fn back_off(&mut self, until: Moment) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Forgets what was known of the server before its latest start.
    ///
    /// Its limit stays until a response of the new start names another or none: the
    /// new start may have named it before its entry was read.
    fn reset(&mut self) {
        self.leaving = false;
        self.backoff_until = Moment::ZERO;
        self.health = ReplicaHealth::default();
        self.ended = EndedState::default();
        self.cached_parts.clear();
        self.slowness = 1.0;
        self.reports = ServerReports::default();
        self.last_received = None;
    }
}

/// Effect of an entry on the state of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A new server was listed.
    Started(ReplicaIndex),
    /// A known server restarted.
    Restarted(ReplicaIndex),
    /// A server started leaving.
    Leaving(ReplicaIndex),
    /// A server's entry was removed.
    Gone(ReplicaIndex),
    /// A server's entry is missing and may return.
    Missing(ReplicaIndex),
    /// Nothing changed that matters to requests.
    Unchanged,
}

/// All servers known to this VM.
#[derive(Debug, Default)]
pub struct ReplicaDirectory {
    replicas: Vec<ReplicaState>,
    by_id: IndexMap<ReplicaId, ReplicaIndex>,
    by_hash: IndexMap<u64, ReplicaIndex>,
    by_service: IndexMap<String, Vec<ReplicaIndex>>,
}

impl ReplicaDirectory {
    /// Applies an entry in the store.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::directory::{DirectoryChange, ReplicaDirectory};
    /// use dewedge::format::{ReplicaEntry, ReplicaStage};
    ///
    /// let mut directory = ReplicaDirectory::default();
    /// let entry = ReplicaEntry {
    ///     service: "draft".to_string(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "dc-1".to_string(),
    ///     version: "v1".to_string(),
    ///     slots: 8,
    ///     stage: ReplicaStage::Ready,
    ///     started_ms: 1,
    ///     interruptible: false,
    ///     leaves_in: None,
    /// };
    /// let change = directory.apply("i-1".to_string(), entry, 5);
    /// assert_eq!(change, DirectoryChange::Started(0));
    /// assert_eq!(directory.in_service("draft"), [0]);
    /// ```
    pub fn apply(&mut self, id: ReplicaId, entry: ReplicaEntry, revision: u64) -> DirectoryChange {
        let Some(&index) = self.by_id.get(&id) else {
            return self.insert(id, entry, revision);
        };
        let replica = &mut self.replicas[index];
        if revision < replica.revision {
            return DirectoryChange::Unchanged;
        }
        replica.revision = revision;
        replica.missing_until = None;
        let restarted =
            replica.entry.started_ms != entry.started_ms || replica.entry.address != entry.address;
        // An entry that is written again doesn't show that the server restarted.
        let returned = std::mem::take(&mut replica.gone);
        let moved = replica.entry.service != entry.service;
        let is_leaving = entry.stage == ReplicaStage::Leaving;
        replica.version = version_id(&entry.service, &entry.version);
        let old_service = std::mem::replace(&mut replica.entry, entry).service;
        if restarted {
            replica.reset();
        }
        let newly_leaving = is_leaving && !replica.leaving;
        replica.leaving |= is_leaving;
        if moved {
            let service = replica.entry.service.clone();
            self.move_to_service(index, &old_service, service);
        }
        match (newly_leaving, restarted || returned) {
            (true, _) => DirectoryChange::Leaving(index),
            (false, true) => DirectoryChange::Restarted(index),
            (false, false) => DirectoryChange::Unchanged,
        }
    }

    /// Records that a server announced in a response that it is leaving.
    pub fn mark_leaving(&mut self, index: ReplicaIndex) -> DirectoryChange {
        let replica = &mut self.replicas[index];
        match std::mem::replace(&mut replica.leaving, true) {
            true => DirectoryChange::Unchanged,
            false => DirectoryChange::Leaving(index),
        }
    }

    /// Accepts entries of any revision, because the store has a new era, in
    /// which it gives out revisions again.
    pub fn forget_revisions(&mut self) {
        for replica in &mut self.replicas {
            replica.revision = 0;
        }
    }

    /// Applies the removal of an entry.
    ///
    /// With `outage_suspected`, the store may have lost the entry in an outage,
    /// and the entry may return until `now` plus [`OUTAGE_GRACE`].
    pub fn remove(
        &mut self,
        id: &str,
        revision: u64,
        outage_suspected: bool,
        now: Moment,
    ) -> DirectoryChange {
        let Some(&index) = self.by_id.get(id) else {
            return DirectoryChange::Unchanged;
        };
        let replica = &mut self.replicas[index];
        if replica.gone || revision < replica.revision {
            return DirectoryChange::Unchanged;
        }
        replica.revision = revision;
        if outage_suspected && !replica.leaving {
            replica.missing_until.get_or_insert(now + OUTAGE_GRACE);
            return DirectoryChange::Missing(index);
        }
        replica.gone = true;
        replica.gone_at = now;
        replica.cached_parts.clear_limited();
        DirectoryChange::Gone(index)
    }

    /// Applies a complete list: servers that aren't in it are removed.
    pub fn apply_list(
        &mut self,
        listed: &IndexSet<ReplicaId>,
        outage_suspected: bool,
        now: Moment,
    ) -> Vec<DirectoryChange> {
        let absent: Vec<(ReplicaId, u64)> = self
            .replicas
            .iter()
            .filter(|replica| !replica.gone && !listed.contains(&replica.id))
            .map(|replica| (replica.id.clone(), replica.revision))
            .collect();
        absent
            .into_iter()
            .map(|(id, revision)| self.remove(&id, revision, outage_suspected, now))
            .collect()
    }

    /// Removes entries that have been missing for too long, and returns their
    /// servers.
    pub fn expire(&mut self, now: Moment) -> Vec<ReplicaIndex> {
        let mut expired = Vec::new();
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if !replica.gone && replica.missing_until.is_some_and(|until| until <= now) {
                replica.gone = true;
                replica.gone_at = now;
                replica.missing_until = None;
                replica.cached_parts.clear_limited();
                expired.push(index);
            }
        }
        expired
    }

    /// Returns the servers of a service, including removed ones.
    pub fn in_service(&self, service: &str) -> &[ReplicaIndex] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether servers with missing entries may still be used.
    ///
    /// An outage of the store loses many entries at once. While fewer than half
    /// are missing, no outage is assumed, and the missing servers aren't used.
    pub fn may_use_missing(&self) -> bool {
        let present = self.replicas.iter().filter(|replica| replica.is_listed());
        let (missing, listed): (Vec<_>, Vec<_>) =
            present.partition(|replica| replica.missing_until.is_some());
        missing.len() >= listed.len()
    }

    /// Returns whether at least half of a service's servers, or of those of a
    /// version, have completed their warm-up; otherwise there are too few other
    /// servers to send requests to.
    pub fn has_warm_majority(
        &self,
        service: &str,
        version: Option<VersionId>,
        now: Moment,
    ) -> bool {
        let members = self
            .in_service(service)
            .iter()
            .filter(|index| version.is_none_or(|version| self.version_of(**index) == version));
        let (mut listed, mut warm) = (0, 0);
        for replica in members.map(|index| &self.replicas[*index]) {
            if replica.is_listed() {
                listed += 1;
                warm += usize::from(replica.warmup.is_complete(now));
            }
        }
        warm * 2 >= listed
    }

    /// Returns the software version of a server.
    pub fn version_of(&self, index: ReplicaIndex) -> VersionId {
        self.replicas[index].version
    }

    /// Returns whether a server of a service that accepts new requests has this
    /// version.
    pub fn lists_version(&self, service: &str, version: VersionId) -> bool {
        let members = self.in_service(service).iter();
        members
            .copied()
            .any(|index| self.replicas[index].is_listed() && self.version_of(index) == version)
    }

    /// Returns the versions of the servers that a service has had since `since`.
    pub fn versions_since(&self, service: &str, since: Moment) -> impl Iterator<Item = VersionId> {
        let members = self.in_service(service).iter().copied();
        members
            .filter(move |index| {
                !self.replicas[*index].gone || self.replicas[*index].gone_at >= since
            })
            .map(|index| self.version_of(index))
    }

    /// Returns the version of all servers that a service has had since `since`,
    /// if it is the same.
    pub fn sole_version(&self, service: &str, since: Moment) -> Option<VersionId> {
        sole(self.versions_since(service, since))
    }

    /// Returns the state of a server.
    pub fn get(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index]
    }

    /// Returns the mutable state of a server.
    pub fn get_mut(&mut self, index: ReplicaIndex) -> &mut ReplicaState {
        &mut self.replicas[index]
    }

    /// Returns the index of the server with this hash.
    pub fn by_hash(&self, hash: u64) -> Option<ReplicaIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the state of all servers.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.iter()
    }

    /// Returns the mutable state of all servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ReplicaState> {
        self.replicas.iter_mut()
    }

    /// Returns the servers that name a limit.
    pub fn limited(&self) -> Vec<ReplicaIndex> {
        let limited = |(index, replica): (ReplicaIndex, &ReplicaState)| {
            replica.rate_limit.rate().map(|_| index)
        };
        self.replicas
            .iter()
            .enumerate()
            .filter_map(limited)
            .collect()
    }

    /// Returns the number of servers that accept new requests.
    pub fn listed_count(&self) -> usize {
        self.replicas
            .iter()
            .filter(|replica| replica.is_listed())
            .count()
    }

    /// Bounds what is remembered of the KV caches of the servers of services that
    /// report their slowness, and removes what has expired.
    pub fn evict_parts(&mut self, is_reporting: impl Fn(&str) -> bool, now: Moment) {
        let limits = PartLimits::share(self.listed_count());
        for replica in &mut self.replicas {
            if is_reporting(&replica.entry.service) {
                replica.cached_parts.set_limits(limits);
                replica.cached_parts.evict(now);
            }
        }
    }

    fn insert(&mut self, id: ReplicaId, entry: ReplicaEntry, revision: u64) -> DirectoryChange {
        let index = self.replicas.len();
        let hash = stable_hash(id.as_bytes());
        let leaving = entry.stage == ReplicaStage::Leaving;
        self.by_id.insert(id.clone(), index);
        self.by_hash.insert(hash, index);
        self.by_service
            .entry(entry.service.clone())
            .or_default()
            .push(index);
        self.replicas.push(ReplicaState {
            id,
            hash,
            version: version_id(&entry.service, &entry.version),
            entry,
            leaving,
            backoff_until: Moment::ZERO,
            rate_limit: RateLimit::default(),
            gone: false,
            gone_at: Moment::ZERO,
            missing_until: None,
            health: ReplicaHealth::default(),
            ended: EndedState::default(),
            warmup: WarmUp::default(),
            cached_parts: PartCache::default(),
            own_load: ServerLoad::default(),
            peer_load: ServerLoad::default(),
            slowness: 1.0,
            reports: ServerReports::default(),
            last_received: None,
            idle_conns: Vec::new(),
            open_connections: 0,
            revision,
        });
        if leaving {
            return DirectoryChange::Leaving(index);
        }
        DirectoryChange::Started(index)
    }

    fn move_to_service(&mut self, index: ReplicaIndex, old: &str, new: String) {
        if let Some(members) = self.by_service.get_mut(old) {
            members.retain(|member| *member != index);
        }
        self.by_service.entry(new).or_default().push(index);
    }
}

/// Returns the element that all others equal, if there is one.
pub(crate) fn sole<T: PartialEq>(mut items: impl Iterator<Item = T>) -> Option<T> {
    let first = items.next()?;
    items.all(|item| item == first).then_some(first)
}

/// Returns a hash that is the same on all VMs.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    stable_hash_of_parts([bytes])
}

/// Returns the hash of the concatenated parts.
///
/// # Examples
///
/// ```
/// use dewedge::directory::{stable_hash, stable_hash_of_parts};
///
/// let parts: [&[u8]; 2] = [b"ab", b"c"];
/// assert_eq!(stable_hash_of_parts(parts), stable_hash(b"abc"));
/// ```
pub fn stable_hash_of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    parts.into_iter().for_each(|part| hasher.write(part));
    hasher.finish()
}
