//! The directory of servers, also across outages of the store.

use std::net::SocketAddr;
use std::time::Duration;

use dewedge::directory::{DirectoryChange, OUTAGE_GRACE, ReplicaDirectory};
use dewedge::format::{ReplicaEntry, ReplicaStage};
use indexmap::IndexSet;

const NOW: Duration = Duration::from_secs(50);

fn entry(port: u16, stage: ReplicaStage, started_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        service: "draft".to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "dc-1".to_string(),
        version: "v1".to_string(),
        slots: 8,
        stage,
        started_ms,
        interruptible: false,
        leaves_in: None,
    }
}

fn directory(servers: u16) -> ReplicaDirectory {
    let mut directory = ReplicaDirectory::default();
    for server in 0..servers {
        directory.apply(
            format!("i-{server}"),
            entry(server, ReplicaStage::Ready, 1),
            1,
        );
    }
    directory
}

#[test]
fn a_leaving_server_stays_unlisted_until_it_restarts() {
    let mut directory = directory(1);
    let id = || "i-0".to_string();
    let leaving = directory.apply(id(), entry(0, ReplicaStage::Leaving, 1), 2);
    assert_eq!(leaving, DirectoryChange::Leaving(0));
    directory.apply(id(), entry(0, ReplicaStage::Ready, 1), 3);
    assert!(!directory.get(0).is_listed(), "it was seen leaving");
    directory.apply(id(), entry(0, ReplicaStage::Ready, 2), 4);
    assert!(directory.get(0).is_listed(), "it has restarted");
}

/// Guards against an entry that expires in an outage of the store and is written
/// again by a server that announced that it leaves, or a retry delay.
#[test]
fn what_a_server_said_outlives_an_entry_that_is_written_again() {
    let mut directory = directory(1);
    let id = || "i-0".to_string();
    assert_eq!(directory.mark_leaving(0), DirectoryChange::Leaving(0));
    directory.get_mut(0).back_off(NOW);
    directory.remove("i-0", 2, false, NOW);
    directory.apply(id(), entry(0, ReplicaStage::Ready, 1), 3);
    assert!(!directory.get(0).is_listed(), "it said that it leaves");
    assert_eq!(directory.get(0).backoff_until, NOW);
    directory.apply(id(), entry(0, ReplicaStage::Ready, 2), 4);
    assert!(directory.get(0).is_listed(), "it has restarted");
    assert_eq!(directory.get(0).backoff_until, Duration::ZERO);
}

#[test]
fn entries_of_a_new_era_count_although_their_revisions_are_lower() {
    let mut directory = directory(1);
    directory.apply("i-0".to_string(), entry(0, ReplicaStage::Ready, 1), 90);
    directory.forget_revisions();
    let change = directory.apply("i-0".to_string(), entry(0, ReplicaStage::Leaving, 1), 7);
    assert_eq!(change, DirectoryChange::Leaving(0));
}

#[test]
fn older_changes_are_ignored() {
    let mut directory = directory(1);
    directory.remove("i-0", 9, false, NOW);
    let late = directory.apply("i-0".to_string(), entry(0, ReplicaStage::Ready, 1), 5);
    assert_eq!(late, DirectoryChange::Unchanged);
    assert!(!directory.get(0).is_listed());
}

#[test]
fn a_restart_resets_the_state_of_a_server() {
    let mut directory = directory(1);
    directory.get_mut(0).slowness = 5.0;
    let change = directory.apply("i-0".to_string(), entry(0, ReplicaStage::Ready, 2), 2);
    assert_eq!(change, DirectoryChange::Restarted(0));
    assert_eq!(directory.get(0).slowness, 1.0);
}

/// Guards against a limit that is forgotten, and so exceeded, because a VM reads of
/// a restart after it has learnt the limit of the new start.
#[test]
fn a_restart_that_is_read_late_ends_no_limit() {
    let mut directory = directory(1);
    let limit = &mut directory.get_mut(0).rate_limit;
    assert!(limit.set(Some(0.4), NOW));
    let change = directory.apply("i-0".to_string(), entry(0, ReplicaStage::Ready, 2), 2);
    assert_eq!(change, DirectoryChange::Restarted(0));
    assert_eq!(directory.get(0).rate_limit.rate(), Some(0.4));
    // A response without a limit ends it.
    assert!(directory.get_mut(0).rate_limit.set(None, NOW));
    assert_eq!(directory.get(0).rate_limit.rate(), None);
}

struct OutageCase {
    name: &'static str,
    lost: u16,
    usable: bool,
}

#[test]
fn missing_servers_stay_usable_only_if_many_are_lost_at_once() {
    let cases = [
        OutageCase {
            name: "one of ten",
            lost: 1,
            usable: false,
        },
        OutageCase {
            name: "half",
            lost: 5,
            usable: true,
        },
        OutageCase {
            name: "all",
            lost: 10,
            usable: true,
        },
    ];
    for case in cases {
        let mut directory = directory(10);
        let listed: IndexSet<String> = (case.lost..10)
            .map(|server| format!("i-{server}"))
            .collect();
        let changes = directory.apply_list(&listed, true, NOW);
        assert_eq!(changes.len(), usize::from(case.lost), "{}", case.name);
        assert_eq!(directory.may_use_missing(), case.usable, "{}", case.name);
        assert!(directory.expire(NOW).is_empty());
        let expired = directory.expire(NOW + OUTAGE_GRACE);
        assert_eq!(expired.len(), usize::from(case.lost), "{}", case.name);
    }
}

#[test]
fn one_missing_server_of_a_small_service_is_unusable_beside_a_large_one() {
    let mut directory = directory(10);
    for (server, port) in [("p-1", 90), ("p-2", 91)] {
        let entry = ReplicaEntry {
            service: "desk".to_string(),
            ..entry(port, ReplicaStage::Ready, 1)
        };
        directory.apply(server.to_string(), entry, 1);
    }
    // Only this VM lost its connection; the store had no outage.
    let change = directory.remove("p-1", 7, true, NOW);
    assert_eq!(change, DirectoryChange::Missing(10));
    assert!(!directory.may_use_missing(), "one of twelve was lost");
}

#[test]
fn a_removal_without_an_outage_takes_effect_at_once() {
    let mut directory = directory(2);
    assert_eq!(
        directory.remove("i-1", 7, false, NOW),
        DirectoryChange::Gone(1)
    );
    assert_eq!(directory.listed_count(), 1);
}

#[test]
fn a_missing_entry_that_returns_is_used_as_before() {
    let mut directory = directory(4);
    directory.apply_list(&IndexSet::new(), true, NOW);
    for server in 0..4 {
        directory.apply(
            format!("i-{server}"),
            entry(server, ReplicaStage::Ready, 1),
            8,
        );
    }
    assert!(directory.expire(NOW + OUTAGE_GRACE).is_empty());
    assert_eq!(directory.listed_count(), 4);
}
