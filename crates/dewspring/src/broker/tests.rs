//! Tests of the broker, one module for each concern, and their shared helpers.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use quickcheck::{Gen, QuickCheck};

use super::{AttemptOutcome, GrantDecision, GrantRelease, GrantRequest, Refusal, TicketDecision};
use crate::ids::{GrantId, Revision};
use crate::tables::{FleetConfig, PoolKind, PoolRow, PoolTable, RouteTable, ServerRow};

mod admission;
mod budget;
mod choice;
mod crashes;
mod handle;
mod health;
mod load;
mod model;
mod order;
mod properties;
mod state;

/// Boot of the broker under test.
const BOOT: u64 = 7;
/// Pool of the requests under test.
const POOL: &str = "pool";

/// Seed of the random inputs of every property.
const SEED: u64 = 0x5eed;

/// Returns a checker that runs a property on random inputs up to `size` long.
fn checker(size: usize, tests: u64) -> QuickCheck {
    let generator = Gen::from_size_and_seed(size, SEED);
    QuickCheck::new().rng(generator).tests(tests)
}

/// Returns a server for each element of `slots`, with that many slots, named
/// `server-0` and so on.
fn servers(slots: &[u32]) -> Vec<ServerRow> {
    let row = |(index, &slots): (usize, &u32)| ServerRow {
        name: format!("server-{index}"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "centre".into(),
        slots,
        drain: false,
    };
    slots.iter().enumerate().map(row).collect()
}

/// Returns a configuration that has only the pool under test.
fn config(revision: Revision, servers: Vec<ServerRow>) -> FleetConfig {
    let pool = PoolRow {
        name: POOL.into(),
        kind: PoolKind::Engine,
        model: None,
        servers,
        honours_priority: false,
        can_resume: false,
        checks_fencing: false,
        refusal_means_not_run: true,
        retry_percent: 10,
    };
    FleetConfig {
        revision,
        change_id: String::new(),
        routes: RouteTable::default(),
        pools: PoolTable {
            rows: IndexMap::from([(POOL.into(), pool)]),
        },
    }
}

/// Returns a request of tier 1 with a timeout of one minute.
fn request(id: &str) -> GrantRequest {
    GrantRequest {
        request: id.into(),
        entry: "entry".into(),
        entry_boot: 1,
        pool: POOL.into(),
        class: "class".into(),
        tier: 1,
        workspace: "workspace".into(),
        waited: Duration::ZERO,
        target_left: Duration::from_secs(30),
        timeout_left: Duration::from_secs(60),
        late_is_useful: true,
        floor_percent: 0,
        prompt_tokens: 100,
        max_tokens: Some(100),
        prefix: None,
        excluded: Vec::new(),
        fingerprint: 0,
    }
}

/// Returns the release of a grant whose attempt completed.
fn release(grant: GrantId) -> GrantRelease {
    GrantRelease {
        grant,
        boot: BOOT,
        outcome: AttemptOutcome::Completed,
        tokens: 100,
        first_token: Some(Duration::from_millis(100)),
        elapsed: Duration::from_secs(1),
        leaving: false,
    }
}

/// Returns the server of a decision, which must be a grant.
fn server(decision: &TicketDecision) -> &str {
    match &decision.decision {
        GrantDecision::Granted(grant) => &grant.server,
        GrantDecision::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Returns the refusal of a decision, which must be a refusal.
fn refusal(decision: &TicketDecision) -> &Refusal {
    match &decision.decision {
        GrantDecision::Refused(refusal) => refusal,
        GrantDecision::Granted(grant) => panic!("granted: {grant:?}"),
    }
}

/// Lists the granted requests in the order of their decisions.
fn granted(decisions: &[TicketDecision]) -> Vec<&str> {
    let grants = decisions
        .iter()
        .filter(|decision| matches!(decision.decision, GrantDecision::Granted(_)));
    grants.map(|decision| decision.request.as_str()).collect()
}
