//! How the membership takes in heartbeats and the news that they carry.
//!
//! The main invariant is that of [`super::membership`]: what a VM says of
//! itself goes before what others say of it.

use std::time::{Duration, Instant};

use super::events::{HeartbeatVerdict, MemberEvent};
use super::member::{DEAD_AFTER_MISSES, Liveness, MemberRecord};
use super::membership::MembershipState;
use super::messages::{Heartbeat, LivenessNews};
use super::targets::HEARTBEAT_INTERVAL;
use crate::ids::VmId;

/// Time for which a direct answer overrides another VM's report of a death.
const FRESH_FOR: Duration = HEARTBEAT_INTERVAL.saturating_mul(DEAD_AFTER_MISSES);

/// News of one heartbeat that are read.
const NEWS_READ_LIMIT: usize = 16;

impl MembershipState {
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
        // Others may count the VM as dead; it is sent that entry and refutes it.
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
        if is_new_drain {
            self.events.push(MemberEvent::Leaving(vm.clone()));
        }
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
            self.refute(news);
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
    fn refute(&mut self, news: &LivenessNews) {
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
        if news.draining && !record.draining {
            record.draining = true;
            self.events.push(MemberEvent::Leaving(news.vm.clone()));
        }
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

/// Whether what the VM itself sent refutes the news.
fn is_refuted(record: &MemberRecord, news: &LivenessNews, now: Instant) -> bool {
    let is_fresh = record
        .heard_at
        .is_some_and(|heard| now.saturating_duration_since(heard) < FRESH_FOR);
    let is_other_boot = record.boot != Some(news.boot);
    record.is_former(news.boot) || is_fresh && (news.dead || is_other_boot)
}
