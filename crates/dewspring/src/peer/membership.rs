//! Which VMs are alive, as a state machine without clock, threads or I/O.
//!
//! The platform's lagging list says who may be asked; direct heartbeats
//! correct it, and news in heartbeats carry what others found. Its neighbours
//! are [`super::targets`], which chooses whom to ask, and [`super::news`],
//! which holds what is still to be passed on.
//!
//! The main invariant: what a VM says of itself goes before what others say
//! of it, and a boot that was replaced never speaks again.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::member::{DEAD_AFTER_MISSES, Liveness, MemberRecord, MemberStatus};
use super::messages::{Heartbeat, Incarnation, LivenessNews, VmPlace};
use super::news::NewsQueue;
use super::rendezvous::{rendezvous_owner, ring_position};
use super::targets::{HEARTBEAT_INTERVAL, TargetChoice, random_alive};
use crate::ids::{BootId, PoolName, Revision, VmId};
use crate::platform::{VmEntry, VmState};

/// Time for which a VM that the list dropped and that is silent is kept.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time for which a direct answer outweighs another VM's word of death.
const FRESH_FOR: Duration = HEARTBEAT_INTERVAL.saturating_mul(DEAD_AFTER_MISSES);

/// News of one heartbeat that are read.
const NEWS_READ_LIMIT: usize = 16;

/// Who this VM is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootId,
    /// Where it is reached.
    pub place: VmPlace,
}

/// A VM that is to be sent a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeartbeatTarget {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it is reached.
    pub place: VmPlace,
}

/// What became of a heartbeat that was received.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeartbeatVerdict {
    /// It was taken in.
    Accepted,
    /// It comes from a boot that was replaced, and was dropped.
    FormerBoot,
    /// It comes from a VM that was not asked, and was dropped.
    WrongVm,
    /// It carries this VM's own name, and was dropped.
    OwnName,
    /// It comes from an unknown VM that doesn't say where it is.
    Unknown,
}

/// A change that the other duties have to know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A VM stopped answering: calls to it are over.
    Died(VmId),
    /// A boot of a VM stopped answering or was replaced: its grants are over.
    BootEnded(VmId, BootId),
    /// A VM that was taken for dead is back.
    Returned(VmId),
}

/// All that a VM knows of the fleet.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use dewspring::peer::{MembershipState, VmIdentity, VmPlace};
///
/// let place = VmPlace {
///     address: "127.0.0.1:7401".parse().unwrap(),
///     data_centre: "dc-1".to_string(),
/// };
/// let identity = VmIdentity { vm: "vm-1".to_string(), boot: 7, place };
/// let mut membership = MembershipState::new(identity);
/// membership.apply_list(Instant::now(), &[]);
/// assert_eq!(membership.broker_for(&"drafting".to_string()), Some("vm-1".to_string()));
/// ```
#[derive(Debug)]
pub struct MembershipState {
    identity: VmIdentity,
    incarnation: Incarnation,
    draining: bool,
    list_read: bool,
    members: IndexMap<VmId, MemberRecord>,
    /// VMs with outstanding grants and the number of these grants.
    partners: IndexMap<VmId, usize>,
    news: NewsQueue,
    events: Vec<MemberEvent>,
    round: usize,
}

impl MembershipState {
    /// Returns the state of a VM that knows only itself.
    pub fn new(identity: VmIdentity) -> Self {
        MembershipState {
            identity,
            incarnation: 1,
            draining: false,
            list_read: false,
            members: IndexMap::new(),
            partners: IndexMap::new(),
            news: NewsQueue::default(),
            events: Vec::new(),
            round: 0,
        }
    }

    /// Takes in the platform's list.
    pub fn apply_list(&mut self, now: Instant, list: &[VmEntry]) {
        self.list_read = true;
        let listed: IndexSet<&VmId> = list.iter().map(|entry| &entry.vm).collect();
        for (vm, record) in &mut self.members {
            if !listed.contains(vm) {
                record.unlisted_since.get_or_insert(now);
            }
        }
        for entry in list {
            self.apply_entry(entry);
        }
    }

    /// Begins a round of heartbeats and returns whom to ask.
    ///
    /// It is called once for each [`HEARTBEAT_INTERVAL`]. A question of an
    /// earlier round that has no answer yet counts as missed.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        self.count_misses();
        self.forget_lost(now);
        self.round = self.round.wrapping_add(1);
        let choice = TargetChoice {
            members: &self.members,
            partners: &self.partners,
            position: ring_position(&self.identity.vm),
            data_centre: &self.identity.place.data_centre,
            round: self.round,
        };
        let chosen = choice.choose(rng);
        chosen.into_iter().map(|vm| self.ask(vm)).collect()
    }

    /// Returns the heartbeat that asks `recipient`.
    pub fn question(&mut self, recipient: &VmId, revision: Revision) -> Heartbeat {
        let place = Some(self.identity.place.clone());
        self.heartbeat(recipient, revision, place)
    }

    /// Returns the heartbeat that answers the one of another VM.
    ///
    /// A VM that is held under another boot is told so and contradicts.
    pub fn answer(&mut self, question: &Heartbeat, revision: Revision) -> Heartbeat {
        let mut answer = self.heartbeat(&question.vm, revision, None);
        if let Some(record) = self.members.get(&question.vm)
            && record.boot != Some(question.boot)
        {
            answer.news.extend(record.news(&question.vm));
        }
        answer
    }

    /// Takes in a heartbeat that another VM sent by itself.
    pub fn observe_question(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        if heartbeat.vm == self.identity.vm {
            return HeartbeatVerdict::OwnName;
        }
        if !self.members.contains_key(&heartbeat.vm) {
            let Some(place) = heartbeat.place.clone() else {
                return HeartbeatVerdict::Unknown;
            };
            self.add_unlisted(now, &heartbeat.vm, place);
        }
        self.observe(now, heartbeat)
    }

    /// Takes in the answer of the VM that was asked.
    pub fn observe_answer(
        &mut self,
        now: Instant,
        asked: &VmId,
        heartbeat: &Heartbeat,
    ) -> HeartbeatVerdict {
        if heartbeat.vm != *asked {
            return HeartbeatVerdict::WrongVm;
        }
        if !self.members.contains_key(asked) {
            return HeartbeatVerdict::Unknown;
        }
        self.observe(now, heartbeat)
    }

    /// Says from now on that this VM is about to leave.
    pub fn set_draining(&mut self) {
        if !self.draining {
            self.draining = true;
            self.incarnation = self.incarnation.saturating_add(1);
        }
    }

    /// Whether this VM says that it is about to leave.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Notes a grant between this VM and another one.
    pub fn open_grant(&mut self, partner: &VmId) {
        *self.partners.entry(partner.clone()).or_insert(0) += 1;
    }

    /// Notes the end of a grant between this VM and another one.
    pub fn close_grant(&mut self, partner: &VmId) {
        if let Some(count) = self.partners.get_mut(partner) {
            *count -= 1;
            if *count == 0 {
                self.partners.swap_remove(partner);
            }
        }
    }

    /// Returns the VM that is the broker of a pool; leaving VMs are none.
    ///
    /// Returns `None` when this VM leaves and no other one is alive.
    pub fn broker_for(&self, pool: &PoolName) -> Option<VmId> {
        let vms = self.eligible_vms();
        rendezvous_owner(pool, vms.iter()).cloned()
    }

    /// Returns the VMs that may be in charge of pools, this one included.
    pub fn eligible_vms(&self) -> Vec<VmId> {
        let eligible = self.members.iter().filter(|(_, r)| r.is_eligible());
        let mut vms: Vec<VmId> = eligible.map(|(vm, _)| vm.clone()).collect();
        if !self.draining {
            vms.push(self.identity.vm.clone());
        }
        vms
    }

    /// Returns the status of all other VMs, in the order of their names.
    pub fn members(&self) -> Vec<MemberStatus> {
        let mut members: Vec<MemberStatus> = self
            .members
            .iter()
            .map(|(vm, record)| member_status(vm, record))
            .collect();
        members.sort_by(|left, right| left.vm.cmp(&right.vm));
        members
    }

    /// Returns the status of one other VM, if it is known.
    pub fn member(&self, vm: &VmId) -> Option<MemberStatus> {
        let record = self.members.get(vm)?;
        Some(member_status(vm, record))
    }

    /// Returns some random VMs that are to hear of a new revision at once.
    pub fn spread_targets(&self, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        random_alive(&self.members, rng)
            .into_iter()
            .map(|(vm, record)| HeartbeatTarget {
                vm: vm.clone(),
                place: record.place.clone(),
            })
            .collect()
    }

    /// Whether the list was read and each VM on it has answered or is dead.
    pub fn peers_heard(&self) -> bool {
        let mut listed = self.members.values().filter(|r| r.unlisted_since.is_none());
        self.list_read && listed.all(|r| r.heard_at.is_some() || r.liveness == Liveness::Dead)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    fn apply_entry(&mut self, entry: &VmEntry) {
        if entry.vm == self.identity.vm {
            if entry.state == VmState::Leaving {
                self.set_draining();
            }
            return;
        }
        let place = VmPlace {
            address: entry.address,
            data_centre: entry.data_centre.clone(),
        };
        let record = self
            .members
            .entry(entry.vm.clone())
            .or_insert_with(|| MemberRecord::new(place.clone(), ring_position(&entry.vm)));
        record.place = place;
        record.list_state = entry.state;
        record.unlisted_since = None;
    }

    fn add_unlisted(&mut self, now: Instant, vm: &VmId, place: VmPlace) {
        let mut record = MemberRecord::new(place, ring_position(vm));
        record.unlisted_since = Some(now);
        self.members.insert(vm.clone(), record);
    }

    fn count_misses(&mut self) {
        let waiting = self.members.iter_mut().filter(|(_, r)| r.waiting);
        let dead: Vec<VmId> = waiting
            .filter_map(|(vm, record)| record.count_miss().then(|| vm.clone()))
            .collect();
        for vm in dead {
            self.note_death(&vm);
        }
    }

    /// Tells the other duties and the fleet that a VM is dead.
    fn note_death(&mut self, vm: &VmId) {
        self.partners.swap_remove(vm);
        self.events.push(MemberEvent::Died(vm.clone()));
        let record = &self.members[vm];
        if let Some(boot) = record.boot {
            self.events.push(MemberEvent::BootEnded(vm.clone(), boot));
        }
        self.news.push_some(record.news(vm));
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = |since: Instant| now.saturating_duration_since(since) >= FORGET_AFTER;
        let news = &mut self.news;
        let partners = &mut self.partners;
        self.members.retain(|vm, record| {
            let keep = !record.unlisted_since.is_some_and(lost)
                || record.heard_at.is_some_and(|heard| !lost(heard));
            if !keep {
                news.remove(vm);
                partners.swap_remove(vm);
            }
            keep
        });
    }

    fn ask(&mut self, vm: VmId) -> HeartbeatTarget {
        let record = &mut self.members[&vm];
        record.waiting = true;
        let place = record.place.clone();
        HeartbeatTarget { vm, place }
    }

    fn heartbeat(
        &mut self,
        recipient: &VmId,
        revision: Revision,
        place: Option<VmPlace>,
    ) -> Heartbeat {
        Heartbeat {
            vm: self.identity.vm.clone(),
            boot: self.identity.boot,
            incarnation: self.incarnation,
            revision,
            draining: self.draining,
            place,
            news: self.news.take(recipient, self.members.len() + 1),
        }
    }

    /// Takes in what a known VM says of itself and of others.
    fn observe(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let record = &mut self.members[&heartbeat.vm];
        let is_older = heartbeat.incarnation <= record.incarnation;
        if is_older && record.is_former(heartbeat.boot) {
            return HeartbeatVerdict::FormerBoot;
        }
        self.observe_sender(now, heartbeat);
        for news in heartbeat.news.iter().take(NEWS_READ_LIMIT) {
            self.observe_news(now, news);
        }
        HeartbeatVerdict::Accepted
    }

    fn observe_sender(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let vm = &heartbeat.vm;
        let record = &mut self.members[vm];
        let was_dead = record.liveness == Liveness::Dead;
        let was_known = record.boot.is_some();
        // The others may hold the VM for dead: it is told so, and contradicts.
        let known = record.news(vm);
        let is_rise = heartbeat.incarnation > record.incarnation;
        let replaced = record.replace_boot(heartbeat.boot);
        if let Some(boot) = replaced {
            record.retire_boot(boot);
        }
        let is_new_drain = heartbeat.draining && !record.draining;
        record.incarnation = record.incarnation.max(heartbeat.incarnation);
        record.draining |= heartbeat.draining;
        record.mark_heard(now);
        if let Some(place) = &heartbeat.place
            && record.unlisted_since.is_some()
        {
            record.place = place.clone();
        }
        let is_unlisted_join = !was_known && record.unlisted_since.is_some();
        if is_unlisted_join || is_new_drain || (is_rise && was_known) {
            self.news.push_some(record.news(vm));
        } else if was_dead || replaced.is_some() {
            self.news
                .push_some(known.map(|news| LivenessNews { dead: true, ..news }));
        }
        if was_dead {
            self.events.push(MemberEvent::Returned(vm.clone()));
        } else if let Some(boot) = replaced {
            self.events.push(MemberEvent::BootEnded(vm.clone(), boot));
        }
    }

    fn observe_news(&mut self, now: Instant, news: &LivenessNews) {
        if news.vm == self.identity.vm {
            self.contradict(news);
            return;
        }
        if !self.members.contains_key(&news.vm) {
            let Some(place) = news.place.clone().filter(|_| !news.dead) else {
                return;
            };
            self.add_unlisted(now, &news.vm, place);
        }
        let record = &mut self.members[&news.vm];
        if is_newer(record, news) && !is_refuted(record, news, now) {
            self.apply_news(news);
        }
    }

    /// Raises the own incarnation above wrong news of this VM.
    fn contradict(&mut self, news: &LivenessNews) {
        let is_right = news.boot == self.identity.boot && !news.dead;
        if !is_right && news.incarnation >= self.incarnation {
            self.incarnation = news.incarnation.saturating_add(1);
        }
    }

    fn apply_news(&mut self, news: &LivenessNews) {
        let record = &mut self.members[&news.vm];
        let was_dead = record.liveness == Liveness::Dead;
        let replaced = record.replace_boot(news.boot);
        record.incarnation = news.incarnation;
        record.draining |= news.draining;
        if news.dead {
            record.liveness = Liveness::Dead;
        } else if replaced.is_some() || !record.unreachable {
            record.mark_live();
        }
        if news.dead && !was_dead {
            self.events.push(MemberEvent::Died(news.vm.clone()));
        }
        if !was_dead && (news.dead || replaced.is_some()) {
            let ended = replaced.unwrap_or(news.boot);
            let event = MemberEvent::BootEnded(news.vm.clone(), ended);
            self.events.push(event);
        }
        if was_dead && record.liveness != Liveness::Dead {
            self.events.push(MemberEvent::Returned(news.vm.clone()));
        }
        self.news.push(news.clone());
    }
}

/// Whether news say more than what is held of the VM.
fn is_newer(record: &MemberRecord, news: &LivenessNews) -> bool {
    if news.incarnation != record.incarnation {
        return news.incarnation > record.incarnation;
    }
    let is_same_boot = record.boot == Some(news.boot);
    let says_death = news.dead && record.liveness != Liveness::Dead;
    let says_drain = news.draining && !record.draining;
    is_same_boot && (says_death || says_drain)
}

/// Whether what the VM itself said speaks against the news.
fn is_refuted(record: &MemberRecord, news: &LivenessNews, now: Instant) -> bool {
    let is_fresh = record
        .heard_at
        .is_some_and(|heard| now.saturating_duration_since(heard) < FRESH_FOR);
    let is_other_boot = record.boot != Some(news.boot);
    record.is_former(news.boot) || is_fresh && (news.dead || is_other_boot)
}

fn member_status(vm: &VmId, record: &MemberRecord) -> MemberStatus {
    MemberStatus {
        vm: vm.clone(),
        place: record.place.clone(),
        boot: record.boot,
        state: record.state(),
        listed: record.unlisted_since.is_none(),
    }
}
