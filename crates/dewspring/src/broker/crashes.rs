//! The crashes of a pool's servers, and the requests that the broker blocks
//! because of them.
//!
//! The broker sees the grants of all entries, so it counts the crashes of a cause
//! over the whole fleet.

use std::hash::Hasher;
use std::time::{Duration, Instant};

use dewguard::{CrashLedger, CrashReport, CrashSuspect, ServerHash};
use siphasher::sip::SipHasher13;

use super::grants::GrantRecord;
use super::messages::{AttemptOutcome, GrantRelease, GrantRequest};

/// Time from the first token after which a server has survived the request.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Returns what of a request may crash its server. The start of a prompt is its
/// only part that others are known to share.
pub(super) fn crash_suspect(request: &GrantRequest) -> CrashSuspect {
    CrashSuspect {
        request: request.fingerprint,
        sent: Duration::ZERO,
        parts: request.prefix.into_iter().collect(),
    }
}

/// Returns a hash that is the same on all VMs.
pub(super) fn stable_hash(name: &str) -> ServerHash {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The crashes of a pool's servers.
#[derive(Debug, Default)]
pub(super) struct CrashRecord {
    ledger: CrashLedger,
    /// When the first release was recorded; the ledger's times count from it.
    epoch: Option<Instant>,
}

impl CrashRecord {
    /// Returns for how long a request is blocked, if it is.
    pub(super) fn blocked_for(&self, request: &GrantRequest, now: Instant) -> Option<Duration> {
        let epoch = self.epoch.filter(|_| self.ledger.has_blocks())?;
        let now = now.saturating_duration_since(epoch);
        self.ledger.blocked_for(&crash_suspect(request), now)
    }

    /// Records how an attempt ended.
    pub(super) fn record_release(
        &mut self,
        record: &GrantRecord,
        release: &GrantRelease,
        server: ServerHash,
        now: Instant,
    ) {
        let epoch = *self.epoch.get_or_insert(now);
        let now = now.saturating_duration_since(epoch);
        let has_streamed = release
            .first_token
            .is_some_and(|first_token| release.elapsed >= first_token + SURVIVAL_TIME);
        if release.outcome == AttemptOutcome::Completed || has_streamed {
            for cause in record.suspect.causes() {
                self.ledger.record_survival(cause, now);
            }
        } else if release.outcome == AttemptOutcome::Crashed {
            self.ledger.expire(now);
            let suspect = CrashSuspect {
                sent: now.saturating_sub(release.elapsed),
                ..record.suspect.clone()
            };
            let report = CrashReport {
                server,
                at: now,
                suspects: vec![suspect],
            };
            for cause in self.ledger.record_crash(report).blocked {
                log::warn!("broker: requests with {cause:?} crash servers; they are refused");
            }
        }
    }
}
