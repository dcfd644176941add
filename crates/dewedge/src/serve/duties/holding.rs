//! Acquires, renews and releases duties through the store.

use std::time::Duration;

use dewduty::lease::{
    ChangeKind, ChangeReason, DutySubject, HolderRecord, LeaseAction, LeaseEvent, TokenRecord,
};

use crate::clock::Moment;
use crate::format::{
    DutyCall, DutyHolder, PlatformFormat, RecordKey, StoreEra, StoreRecord, StoreResponse,
};

use super::super::state::EdgeState;
use super::super::timers::TimerKey;
use super::DutyState;

/// Time within which a call to the store is sent or dropped. What it was decided
/// from is out of date later.
const SEND_WINDOW: Duration = Duration::from_secs(1);

impl<F: PlatformFormat> EdgeState<F> {
    /// Passes the names of the VMs to the lease table if they have changed.
    pub(super) fn update_candidates(&mut self, duties: &mut DutyState<F>) {
        let names: Vec<String> = self.peers.names().map(str::to_string).collect();
        if names.len() == duties.vm_count && !self.peers.take_changed() {
            return;
        }
        duties.vm_count = names.len();
        let own = std::iter::once(self.settings.vm.clone());
        let vms: Vec<String> = own.chain(names).collect();
        if let Some(usage) = &mut duties.usage {
            usage.set_vms(&vms);
        }
        duties.leases.apply(LeaseEvent::VmsChanged(vms), self.now);
    }

    /// Gives the duties up when the process stops.
    pub(super) fn announce_stop(&mut self, duties: &mut DutyState<F>) {
        if self.stopping.is_some() && !std::mem::replace(&mut duties.is_stopping, true) {
            duties.leases.apply(LeaseEvent::Stopping, self.now);
        }
    }

    /// Sends the calls to the store that are due.
    pub(super) fn make_lease_calls(&mut self, duties: &mut DutyState<F>) {
        for action in duties.leases.poll(self.now) {
            let call = match action {
                LeaseAction::OpenLease { ttl } => DutyCall::OpenLease(ttl),
                LeaseAction::RenewLease { lease } => DutyCall::RenewLease(lease),
                LeaseAction::EndLease { lease } => DutyCall::EndLease(lease),
                LeaseAction::Acquire {
                    subject,
                    token,
                    lease,
                    token_revision,
                    era: _,
                } => DutyCall::Acquire {
                    subject,
                    holder: DutyHolder {
                        vm: self.settings.vm.clone(),
                        token,
                        lease,
                    },
                    token_revision,
                },
                LeaseAction::Release { subject, revision } => {
                    DutyCall::Release { subject, revision }
                }
            };
            self.call_duty(call);
        }
    }

    /// Makes a call to the store at the next iteration of its client.
    pub(super) fn call_duty(&mut self, call: DutyCall) {
        let latest = self.now + SEND_WINDOW;
        self.store.call_duty(call, latest);
        self.store_timer
            .set(self.now, TimerKey::Store, &mut self.timers);
    }

    /// Applies the result of a call to the store about duties.
    pub(crate) fn on_duty_ended(
        &mut self,
        call: DutyCall,
        sent: Moment,
        response: Option<StoreResponse>,
        era: Option<StoreEra>,
        sent_revision: u64,
    ) {
        self.with_duties(|state, duties| {
            if let Some(StoreResponse::Conflict(records)) = &response {
                for record in records {
                    // The records are current as of the call, whenever they were
                    // written.
                    let as_of = record.revision.max(sent_revision);
                    state.apply_duty_record(duties, record.clone(), as_of);
                }
            }
            if let DutyCall::WriteReport { report, .. } = call {
                state.on_report_written(duties, report, response.as_ref());
                return;
            }
            if let (DutyCall::Acquire { holder, .. }, Some(StoreResponse::LeaseExpired)) =
                (&call, &response)
            {
                let lease = holder.lease;
                let event = LeaseEvent::LeaseExpired { lease };
                duties.leases.apply(event, state.now);
            }
            if let Some(event) = lease_event(call, sent, response, era) {
                duties.leases.apply(event, state.now);
            }
        });
        self.run_duties();
    }

    /// Notes the era of the store's responses.
    pub(crate) fn on_store_era(&mut self, era: Option<StoreEra>) {
        self.with_duties(|state, duties| {
            duties
                .leases
                .apply(LeaseEvent::Responded { era }, state.now);
            if let Some(usage) = &mut duties.usage {
                usage.begin_era();
            }
        });
    }

    /// Notes that all records of duties were read.
    pub(crate) fn on_duties_listed(&mut self, revision: u64) {
        self.with_duties(|state, duties| {
            duties
                .leases
                .apply(LeaseEvent::Listed { revision }, state.now);
            if let Some(usage) = &mut duties.usage {
                usage.on_listed();
            }
        });
    }

    /// Applies a record of the store about duties.
    pub(crate) fn on_duty_record(&mut self, record: StoreRecord, as_of: u64) {
        self.with_duties(|state, duties| {
            state.apply_duty_record(duties, record, as_of);
        });
    }

    fn apply_duty_record(&mut self, duties: &mut DutyState<F>, record: StoreRecord, as_of: u64) {
        let revision = record.revision;
        let result = match record.key {
            RecordKey::DutyHolder(subject) => {
                let holder = record.value.as_deref().map(F::read_duty_holder);
                holder.transpose().map(|holder| {
                    let record = holder.map(|holder| HolderRecord {
                        vm: holder.vm,
                        token: holder.token,
                        lease: holder.lease,
                        revision,
                    });
                    duties.leases.apply(
                        LeaseEvent::HolderSeen {
                            subject,
                            record,
                            revision: as_of,
                        },
                        self.now,
                    );
                })
            }
            RecordKey::DutyToken(subject) => {
                let token = record.value.as_deref().map(F::read_duty_token);
                token.transpose().map(|token| {
                    let record = token.map(|token| TokenRecord { token, revision });
                    duties.leases.apply(
                        LeaseEvent::TokenSeen {
                            subject,
                            record,
                            revision: as_of,
                        },
                        self.now,
                    );
                })
            }
            RecordKey::UsageReport => {
                let report = record.value.as_deref().map(F::read_usage_report);
                report.transpose().map(|report| {
                    if let Some(usage) = &mut duties.usage {
                        usage.on_stored_report(report, revision);
                    }
                })
            }
            _ => Ok(()),
        };
        if let Err(error) = result {
            self.logs
                .system("duty", "unreadable")
                .text("key", &record.name)
                .text("reason", &error.0);
        }
    }

    /// Writes a line for each change of a duty of this VM.
    pub(super) fn log_holder_changes(&mut self, duties: &mut DutyState<F>) {
        for change in duties.leases.take_changes() {
            let event = change_event(change.kind);
            self.metrics
                .count_duty_change(duty_name(&change.subject), event);
            self.logs
                .system("duty", event)
                .text("subject", &change.subject.to_string())
                .text("reason", change_reason(change.reason))
                .number("token", change.token)
                .number("era", change.era.unwrap_or(0))
                .number("rank", change.rank.map_or(0, |rank| rank as u64))
                .ms("lease_age_ms", change.lease_age.unwrap_or_default());
        }
    }
}

/// Returns what the result of a call means to the lease table.
fn lease_event(
    call: DutyCall,
    sent: Moment,
    response: Option<StoreResponse>,
    era: Option<StoreEra>,
) -> Option<LeaseEvent> {
    Some(match (call, response) {
        (DutyCall::OpenLease(_), Some(StoreResponse::Lease(lease))) => {
            LeaseEvent::LeaseOpened { lease, sent }
        }
        (DutyCall::RenewLease(lease), Some(StoreResponse::Succeeded)) => {
            LeaseEvent::LeaseRenewed { lease, sent }
        }
        (DutyCall::RenewLease(lease), Some(StoreResponse::LeaseExpired)) => {
            LeaseEvent::LeaseExpired { lease }
        }
        (DutyCall::OpenLease(_) | DutyCall::RenewLease(_), _) => LeaseEvent::LeaseCallFailed,
        (
            DutyCall::Acquire {
                subject, holder, ..
            },
            Some(StoreResponse::Committed(revision)),
        ) => LeaseEvent::Acquired {
            subject,
            token: holder.token,
            era,
            revision,
        },
        (DutyCall::Acquire { subject, .. }, _) => LeaseEvent::AcquireFailed { subject },
        (DutyCall::Release { subject, .. }, Some(StoreResponse::Committed(_))) => {
            LeaseEvent::Released { subject }
        }
        (DutyCall::Release { subject, .. }, _) => LeaseEvent::ReleaseFailed { subject },
        (DutyCall::EndLease(_) | DutyCall::WriteReport { .. }, _) => return None,
    })
}

fn change_event(kind: ChangeKind) -> &'static str {
    match kind {
        ChangeKind::Acquired => "acquired",
        ChangeKind::Lost => "lost",
        ChangeKind::Released => "released",
        ChangeKind::Refused => "refused",
    }
}

fn change_reason(reason: ChangeReason) -> &'static str {
    match reason {
        ChangeReason::Committed => "committed",
        ChangeReason::FoundInStore => "found_in_store",
        ChangeReason::KeyRemoved => "key_removed",
        ChangeReason::OtherHolder => "other_holder",
        ChangeReason::LeaseExpired => "lease_expired",
        ChangeReason::EraChanged => "era_changed",
        ChangeReason::Superseded => "superseded",
        ChangeReason::ApiUnreachable => "api_unreachable",
        ChangeReason::NotWanted => "not_wanted",
        ChangeReason::Stopping => "stopping",
        ChangeReason::Paused => "paused",
        ChangeReason::EraTooLarge => "era_too_large",
    }
}

/// Returns the short name of a duty for the labels of metrics.
pub(super) fn duty_name(subject: &DutySubject) -> &'static str {
    match subject {
        DutySubject::Usage => "usage",
        DutySubject::Orders { .. } => "orders",
    }
}
