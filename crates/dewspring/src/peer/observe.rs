//! How the membership takes in heartbeats and the news that they carry.
//!
//! The main invariant is that of [`super::membership`]: what a VM says of
//! itself goes before what others say of it.

use std::time::{Duration, Instant};

use super::events::{HeartbeatVerdict, MemberEvent};
use super::member::{DEAD_AFTER_MISSES, Liveness, MemberRecord};
use super::membership::MembershipState;
use super::messages::{Heartbeat, LivenessUpdate};
use super::targets::HEARTBEAT_INTERVAL;
use crate::ids::VmId;

/// Time for which a direct answer overrides another VM's report of a death.
const FRESH_FOR: Duration = HEARTBEAT_INTERVAL.saturating_mul(DEAD_AFTER_MISSES);

/// News of one heartbeat that are read.
const MAX_UPDATES_READ: usize = 16;

impl MembershipState {
    /// Takes in a heartbeat that another VM sent by itself.
    pub fn observe_question(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        if heartbeat.vm == self.identity.vm {
            return HeartbeatVerdict::OwnName;
        }
        if !self.members.contains_key(&heartbeat.vm) {
            let Some(endpoint) = heartbeat.endpoint.clone() else {
                return HeartbeatVerdict::Unknown;
            };
            self.add_unlisted(now, &heartbeat.vm, endpoint);
        }
        self.observe(now, heartbeat)
    }

    /// Takes in the answer of the VM that was asked.
    pub fn handle_heartbeat_reply(
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

    /// Takes in what a known VM says of itself and of others.
    fn observe(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let record = &mut self.members[&heartbeat.vm];
        let is_older = heartbeat.incarnation <= record.incarnation;
        if is_older && record.is_former(heartbeat.boot) {
            return HeartbeatVerdict::FormerBoot;
        }
        self.observe_sender(now, heartbeat);
        for update in heartbeat.updates.iter().take(MAX_UPDATES_READ) {
            self.handle_update(now, update);
        }
        HeartbeatVerdict::Accepted
    }

    fn observe_sender(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let vm = &heartbeat.vm;
        let record = &mut self.members[vm];
        let was_dead = record.liveness == Liveness::Dead;
        let was_known = record.boot.is_some();
        // Others may count the VM as dead; it is sent that entry and refutes it.
        let known = record.liveness_update(vm);
        let is_rise = heartbeat.incarnation > record.incarnation;
        let replaced = record.replace_boot(heartbeat.boot);
        if let Some(boot) = replaced {
            record.retire_boot(boot);
        }
        let is_new_drain = heartbeat.draining && !record.draining;
        record.incarnation = record.incarnation.max(heartbeat.incarnation);
        record.draining |= heartbeat.draining;
        record.mark_heard(now);
        if is_new_drain {
            self.events.push(MemberEvent::Leaving(vm.clone()));
        }
        if let Some(endpoint) = &heartbeat.endpoint
            && record.unlisted_since.is_some()
        {
            record.endpoint = endpoint.clone();
        }
        let is_unlisted_join = !was_known && record.unlisted_since.is_some();
        if is_unlisted_join || is_new_drain || (is_rise && was_known) {
            self.update_queue.push_some(record.liveness_update(vm));
        } else if was_dead || replaced.is_some() {
            self.update_queue
                .push_some(known.map(|update| LivenessUpdate {
                    dead: true,
                    ..update
                }));
        }
        if was_dead {
            self.events.push(MemberEvent::Returned(vm.clone()));
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

    /// Raises the own incarnation above wrong news of this VM.
    fn refute(&mut self, update: &LivenessUpdate) {
        let is_right = update.boot == self.identity.boot && !update.dead;
        if !is_right && update.incarnation >= self.incarnation {
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
            let ended = replaced.unwrap_or(update.boot);
            let event = MemberEvent::BootEnded(update.vm.clone(), ended);
            self.events.push(event);
        }
        if was_dead && record.liveness != Liveness::Dead {
            self.events.push(MemberEvent::Returned(update.vm.clone()));
        }
        self.update_queue.push(update.clone());
    }
}

/// Whether news say more than what is held of the VM.
fn is_newer(record: &MemberRecord, update: &LivenessUpdate) -> bool {
    if update.incarnation != record.incarnation {
        return update.incarnation > record.incarnation;
    }
    let is_same_boot = record.boot == Some(update.boot);
    let says_death = update.dead && record.liveness != Liveness::Dead;
    let says_drain = update.draining && !record.draining;
    is_same_boot && (says_death || says_drain)
}

/// Whether what the VM itself sent refutes the news.
fn is_refuted(record: &MemberRecord, update: &LivenessUpdate, now: Instant) -> bool {
    let is_fresh = record
        .heard_at
        .is_some_and(|heard| now.saturating_duration_since(heard) < FRESH_FOR);
    let is_other_boot = record.boot != Some(update.boot);
    record.is_former(update.boot) || is_fresh && (update.dead || is_other_boot)
}
