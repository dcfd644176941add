//! The servers that the platform lists, and what this VM knows of each.
//!
//! Entries come from the store through the storage duty. An entry that the
//! store lost while it was away is kept for a moment, because live servers
//! write theirs again soon after its return.
//!
//! The main invariant: a server that was seen leaving gets no new request until
//! it starts anew.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::format::{ReplicaEntry, ReplicaId, ReplicaStage};
use crate::policy::health::ReplicaHealth;
use crate::policy::placement::{PartCache, ServerLoad};
use crate::policy::warmup::WarmUp;

/// Time for which an entry that the store lost in an outage is still used;
/// live servers are back in the list within about two seconds of its return.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(1800);

/// Dense id of a server in this process.
pub type ReplicaIndex = usize;

/// What this VM knows of one server.
#[derive(Debug)]
pub struct ReplicaState {
    /// Its id.
    pub id: ReplicaId,
    /// Hash of its id, the same on all VMs.
    pub hash: u64,
    /// Its entry.
    pub entry: ReplicaEntry,
    /// Whether it was seen leaving.
    pub leaving: bool,
    /// Whether its entry is gone.
    pub gone: bool,
    /// When it counts as gone, if the store lost its entry in an outage.
    pub missing_until: Option<Moment>,
    /// Health from the outcomes of this VM's requests.
    pub health: ReplicaHealth,
    /// How far this VM may use it after its latest start.
    pub warmup: WarmUp,
    /// Prompt parts that it has read for this VM.
    pub cached_parts: PartCache,
    /// Work of this VM there.
    pub own_load: ServerLoad,
    /// Work of the other VMs there.
    pub peer_load: ServerLoad,
    /// Time to the first event against what was expected; 1 is usual.
    pub slowness: f64,
    /// When bytes of it came last.
    pub last_received: Option<Moment>,
    /// Connections that idle, the latest used last.
    pub idle_conns: Vec<usize>,
    /// Connections of this VM, idle or not.
    pub open_connections: u32,
    revision: u64,
}

impl ReplicaState {
    /// Returns whether new requests may go there, its health aside.
    pub fn is_listed(&self) -> bool {
        !self.gone && !self.leaving
    }

    fn reset(&mut self) {
        self.leaving = false;
        self.gone = false;
        self.missing_until = None;
        self.health = ReplicaHealth::default();
        self.cached_parts.clear();
        self.slowness = 1.0;
        self.last_received = None;
    }
}

/// How an entry changed what is known of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A server that wasn't known.
    Started(ReplicaIndex),
    /// A server that started anew.
    Restarted(ReplicaIndex),
    /// A server began to leave.
    Leaving(ReplicaIndex),
    /// A server's entry is gone.
    Gone(ReplicaIndex),
    /// A server's entry is missing and may come back.
    Missing(ReplicaIndex),
    /// Nothing that matters to requests.
    Unchanged,
}

/// All servers.
#[derive(Debug, Default)]
pub struct ReplicaDirectory {
    replicas: Vec<ReplicaState>,
    by_id: IndexMap<ReplicaId, ReplicaIndex>,
    by_hash: IndexMap<u64, ReplicaIndex>,
    by_service: IndexMap<String, Vec<ReplicaIndex>>,
}

impl ReplicaDirectory {
    /// Takes an entry that the store holds.
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
    ///     slots: 8,
    ///     stage: ReplicaStage::Ready,
    ///     started_ms: 1,
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
        let restarted = replica.entry.started_ms != entry.started_ms
            || replica.entry.address != entry.address
            || replica.gone;
        let moved = replica.entry.service != entry.service;
        let leaves = entry.stage == ReplicaStage::Leaving;
        let old_service = std::mem::replace(&mut replica.entry, entry).service;
        if restarted {
            replica.reset();
        }
        let newly_leaving = leaves && !replica.leaving;
        replica.leaving |= leaves;
        if moved {
            let service = replica.entry.service.clone();
            self.move_to_service(index, &old_service, service);
        }
        match (newly_leaving, restarted) {
            (true, _) => DirectoryChange::Leaving(index),
            (false, true) => DirectoryChange::Restarted(index),
            (false, false) => DirectoryChange::Unchanged,
        }
    }

    /// Takes the removal of an entry.
    ///
    /// With `outage_suspected`, the store was away just before, and the entry may come
    /// back until `now` and [`OUTAGE_GRACE`].
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
        DirectoryChange::Gone(index)
    }

    /// Takes a whole list: servers that aren't in it are removed.
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

    /// Drops entries that are missing for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<ReplicaIndex> {
        let mut expired = Vec::new();
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if !replica.gone && replica.missing_until.is_some_and(|until| until <= now) {
                replica.gone = true;
                replica.missing_until = None;
                expired.push(index);
            }
        }
        expired
    }

    /// Returns the servers of a service, those that are gone included.
    pub fn in_service(&self, service: &str) -> &[ReplicaIndex] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether servers that are missing may still be used.
    ///
    /// An outage of the store loses the entries of many servers at once; while
    /// fewer than half are missing, they are taken as gone.
    pub fn may_use_missing(&self) -> bool {
        let present = self.replicas.iter().filter(|replica| replica.is_listed());
        let (missing, listed): (Vec<_>, Vec<_>) =
            present.partition(|replica| replica.missing_until.is_some());
        missing.len() >= listed.len()
    }

    /// Returns whether at least half of a service's servers were there before;
    /// if not, there is nothing to which requests could go instead.
    pub fn has_warm_majority(&self, service: &str, now: Moment) -> bool {
        let members = self.in_service(service).iter();
        let (mut listed, mut warm) = (0, 0);
        for replica in members.map(|index| &self.replicas[*index]) {
            if replica.is_listed() {
                listed += 1;
                warm += usize::from(replica.warmup.is_complete(now));
            }
        }
        warm * 2 >= listed
    }

    /// Returns a server.
    pub fn get(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index]
    }

    /// Returns a server, to change it.
    pub fn get_mut(&mut self, index: ReplicaIndex) -> &mut ReplicaState {
        &mut self.replicas[index]
    }

    /// Returns the server with a hash.
    pub fn by_hash(&self, hash: u64) -> Option<ReplicaIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.iter()
    }

    /// Returns all servers, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ReplicaState> {
        self.replicas.iter_mut()
    }

    /// Returns how many servers take requests.
    pub fn listed_count(&self) -> usize {
        self.replicas
            .iter()
            .filter(|replica| replica.is_listed())
            .count()
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
            entry,
            leaving,
            gone: false,
            missing_until: None,
            health: ReplicaHealth::default(),
            warmup: WarmUp::default(),
            cached_parts: PartCache::default(),
            own_load: ServerLoad::default(),
            peer_load: ServerLoad::default(),
            slowness: 1.0,
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

/// Returns a hash that is the same on all VMs.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}
