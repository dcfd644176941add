//! Handling of received heartbeats and the liveness updates that they carry.
//!
//! The main invariant is that of [`super::membership`]: what a VM reports about
//! itself takes precedence over what others report about it.

use std::time::{Duration, Instant};

use super::events::{HeartbeatVerdict, MemberEvent};
use super::member::{DEAD_AFTER_MISSES, Liveness, MemberRecord};
use super::membership::MembershipState;
use super::messages::{Heartbeat, LivenessUpdate};
use super::targets::HEARTBEAT_INTERVAL;
use crate::ids::VmId;

/// Time for which a VM's own heartbeat overrides reports of its death or of another boot.
const REPLY_FRESHNESS: Duration = HEARTBEAT_INTERVAL.saturating_mul(DEAD_AFTER_MISSES);

/// Updates read from one heartbeat; any more are ignored.
const MAX_UPDATES_READ: usize = 16;

impl MembershipState {
    /// Handles a heartbeat request of another VM.
    pub fn handle_heartbeat_request(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> HeartbeatVerdict {
        if heartbeat.vm == self.identity.vm {
            return HeartbeatVerdict::OwnName;
        }
        if !self.members.contains_key(&heartbeat.vm) {
            let Some(endpoint) = heartbeat.endpoint.clone() else {
                return HeartbeatVerdict::Unknown;
            };
            self.add_unlisted(now, &heartbeat.vm, endpoint);
        }
        self.apply_heartbeat(now, heartbeat)
    }

    /// Handles a reply to a heartbeat request that was sent to `recipient`.
    pub fn handle_heartbeat_reply(
        &mut self,
        now: Instant,
        recipient: &VmId,
        heartbeat: &Heartbeat,
    ) -> HeartbeatVerdict {
        if heartbeat.vm != *recipient {
            return HeartbeatVerdict::WrongVm;
        }
        if !self.members.contains_key(recipient) {
            return HeartbeatVerdict::Unknown;
        }
        self.apply_heartbeat(now, heartbeat)
    }

    /// Applies the state and the updates that a known VM reports.
    fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let record = &mut self.members[&heartbeat.vm];
        let is_not_newer = heartbeat.incarnation <= record.incarnation;
        if is_not_newer && record.is_former(heartbeat.boot) {
            return HeartbeatVerdict::FormerBoot;
        }
        self.apply_sender_state(now, heartbeat);
        for update in heartbeat.updates.iter().take(MAX_UPDATES_READ) {
            self.handle_update(now, update);
        }
        HeartbeatVerdict::Accepted
    }

    fn apply_sender_state(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let vm = &heartbeat.vm;
        let record = &mut self.members[vm];
        let was_dead = record.liveness == Liveness::Dead;
        let was_known = record.boot.is_some();
        // Other VMs may still count the sender as dead. Gossiping its previous state as dead
        // makes the sender refute its death with a higher incarnation.
        let previous_update = record.liveness_update(vm);
        let is_higher_incarnation = heartbeat.incarnation > record.incarnation;
        let replaced = record.replace_boot(heartbeat.boot);
        if let Some(boot) = replaced {
            record.retire_boot(boot);
        }
        let starts_draining = heartbeat.draining && !record.draining;
        record.incarnation = record.incarnation.max(heartbeat.incarnation);
        record.draining |= heartbeat.draining;
        record.mark_seen(now);
        if starts_draining {
            self.events.push(MemberEvent::Leaving(vm.clone()));
        }
        if let Some(endpoint) = &heartbeat.endpoint
            && record.unlisted_since.is_some()
        {
            record.endpoint = endpoint.clone();
        }
        let is_unlisted_join = !was_known && record.unlisted_since.is_some();
        if is_unlisted_join || starts_draining || (is_higher_incarnation && was_known) {
            self.update_queue.push_if_some(record.liveness_update(vm));
        } else if was_dead || replaced.is_some() {
            self.update_queue
                .push_if_some(previous_update.map(|update| LivenessUpdate {
                    dead: true,
                    ..update
                }));
        }
        if was_dead {
            self.events.push(MemberEvent::Recovered(vm.clone()));
        } else if let Some(boot) = replaced {
            self.events.push(MemberEvent::BootEnded(vm.clone(), boot));
        }
    }

    fn handle_update(&mut self, now: Instant, update: &LivenessUpdate) {
        if update.vm == self.identity.vm {
            self.refute(update);
            return;
        }
        if !self.members.contains_key(&update.vm) {
            let Some(endpoint) = update.endpoint.clone().filter(|_| !update.dead) else {
                return;
            };
            self.add_unlisted(now, &update.vm, endpoint);
        }
        let record = &mut self.members[&update.vm];
        if is_newer(record, update) && !is_refuted(record, update, now) {
            self.apply_update(update);
        }
    }

    /// Raises the own incarnation above that of a wrong update about the local VM.
    fn refute(&mut self, update: &LivenessUpdate) {
        let is_correct = update.boot == self.identity.boot && !update.dead;
        if !is_correct && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation.saturating_add(1);
        }
    }

    fn apply_update(&mut self, update: &LivenessUpdate) {
        let record = &mut self.members[&update.vm];
        let was_dead = record.liveness == Liveness::Dead;
        let replaced = record.replace_boot(update.boot);
        record.incarnation = update.incarnation;
        if update.draining && !record.draining {
            record.draining = true;
            self.events.push(MemberEvent::Leaving(update.vm.clone()));
        }
        if update.dead {
            record.liveness = Liveness::Dead;
        } else if replaced.is_some() || !record.unreachable {
            record.mark_live();
        }
        if update.dead && !was_dead {
            self.events.push(MemberEvent::Died(update.vm.clone()));
        }
        if !was_dead && (update.dead || replaced.is_some()) {
            let ended_boot = replaced.unwrap_or(update.boot);
            let event = MemberEvent::BootEnded(update.vm.clone(), ended_boot);
            self.events.push(event);
        }
        if was_dead && record.liveness != Liveness::Dead {
            self.events.push(MemberEvent::Recovered(update.vm.clone()));
        }
        self.update_queue.push(update.clone());
    }
}

/// Returns whether an update is newer than the VM's record or adds to it.
fn is_newer(record: &MemberRecord, update: &LivenessUpdate) -> bool {
    if update.incarnation != record.incarnation {
        return update.incarnation > record.incarnation;
    }
    let is_same_boot = record.boot == Some(update.boot);
    let reports_death = update.dead && record.liveness != Liveness::Dead;
    let reports_draining = update.draining && !record.draining;
    is_same_boot && (reports_death || reports_draining)
}

/// Returns whether the VM's own heartbeats refute an update.
fn is_refuted(record: &MemberRecord, update: &LivenessUpdate, now: Instant) -> bool {
    let is_fresh = record
        .last_seen_at
        .is_some_and(|last_seen| now.saturating_duration_since(last_seen) < REPLY_FRESHNESS);
    let is_other_boot = record.boot != Some(update.boot);
    record.is_former(update.boot) || is_fresh && (update.dead || is_other_boot)
}
