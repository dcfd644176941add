//! Recorded versions of services: what a VM writes, keeps and removes.

use std::time::Duration;

use dewedge::origins::version_id;
use dewedge::versions::{ServiceVersion, VersionChange, VersionRecord, VersionTable};

const TTL: Duration = Duration::from_secs(30);

fn names(version: &str) -> ServiceVersion {
    ServiceVersion {
        service: "draft".to_string(),
        version: version.to_string(),
    }
}

fn record(version: &str) -> VersionRecord {
    VersionRecord {
        names: names(version),
        stream_ttl: TTL,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the next change of a VM, if `rank` others change records before it.
fn next_change(table: &mut VersionTable, rank: u32, now: Duration) -> Option<VersionChange> {
    table.next_change(|_| rank, TTL, now)
}

#[test]
fn a_listed_version_without_a_record_is_written_by_one_vm_after_the_other() {
    for (rank, wait_ms) in [(0, 0), (3, 900)] {
        let mut table = VersionTable::default();
        table.observe([names("v1")], seconds(1));
        let first = next_change(&mut table, rank, seconds(1));
        let due = seconds(1) + Duration::from_millis(wait_ms);
        let change = first.or_else(|| next_change(&mut table, rank, due));
        assert_eq!(change, Some(VersionChange::Write(record("v1"))), "{rank}");
        table.record(record("v1"), 7, due);
        assert_eq!(next_change(&mut table, rank, due + seconds(5)), None);
    }
}

#[test]
fn a_write_that_the_store_has_not_accepted_is_repeated() {
    let mut table = VersionTable::default();
    table.observe([names("v1")], seconds(1));
    for now in [1, 2, 3] {
        let change = next_change(&mut table, 0, seconds(now));
        assert_eq!(change, Some(VersionChange::Write(record("v1"))), "{now} s");
    }
}

/// How a recorded version is listed by a VM.
struct RemovalCase {
    name: &'static str,
    /// When the VM reads the record.
    read: u64,
    /// When it lists a server of the version, if it does.
    listed: Option<u64>,
    /// When the record may be removed at the earliest.
    removable: u64,
}

#[test]
fn a_record_outlives_the_streams_of_its_version() {
    let cases = [
        RemovalCase {
            name: "never listed by this VM, which has just started",
            read: 100,
            listed: None,
            removable: 130,
        },
        RemovalCase {
            name: "listed for a while",
            read: 100,
            listed: Some(120),
            removable: 150,
        },
    ];
    for case in cases {
        let mut table = VersionTable::default();
        table.record(record("v1"), 7, seconds(case.read));
        if let Some(listed) = case.listed {
            table.observe([names("v1")], seconds(listed));
            table.observe([], seconds(listed));
        }
        let early = next_change(&mut table, 0, seconds(case.removable));
        assert_eq!(early, None, "{}", case.name);
        let recorded: Vec<_> = table.recorded("draft").collect();
        assert_eq!(recorded, [version_id("draft", "v1")], "{}", case.name);
        let late = next_change(&mut table, 0, seconds(case.removable + 1));
        let removal = VersionChange::Remove {
            version: names("v1"),
            revision: 7,
        };
        assert_eq!(late, Some(removal), "{}", case.name);
    }
}

#[test]
fn records_are_written_again_after_the_store_has_lost_them() {
    let mut table = VersionTable::default();
    table.observe([names("v1")], seconds(1));
    table.record(record("v1"), 7, seconds(1));
    table.record(record("v0"), 5, seconds(1));
    table.forget_records();
    let mut changes = Vec::new();
    changes.extend(next_change(&mut table, 0, seconds(2)));
    changes.extend(next_change(&mut table, 0, seconds(2)));
    let writes = ["v1", "v0"].map(|version| VersionChange::Write(record(version)));
    assert_eq!(
        changes, writes,
        "v0 may have streams until its time is over"
    );
    assert_eq!(next_change(&mut table, 0, seconds(2)), None);
}

/// Guards against a VM that removes the record of a version which others list again.
#[test]
fn a_version_that_is_listed_again_gets_a_new_record() {
    let mut table = VersionTable::default();
    table.observe([names("v1")], seconds(1));
    table.record(record("v1"), 7, seconds(1));
    table.observe([], seconds(2));
    assert_eq!(next_change(&mut table, 0, seconds(3)), None);
    table.observe([names("v1")], seconds(4));
    let change = next_change(&mut table, 0, seconds(4));
    assert_eq!(change, Some(VersionChange::Write(record("v1"))));
}

/// Guards against a record that is removed by a VM which doesn't know the longer
/// timeout of the tables under which streams of the version began.
#[test]
fn a_record_outlives_streams_that_began_under_earlier_tables() {
    let short = seconds(2);
    let mut table = VersionTable::default();
    table.record(record("v1"), 7, seconds(100));
    let early = table.next_change(|_| 0, short, seconds(130));
    assert_eq!(early, None);
    let late = table.next_change(|_| 0, short, seconds(131));
    assert!(matches!(late, Some(VersionChange::Remove { .. })));
}

/// Guards against records whose TTL is that of earlier, shorter timeouts.
#[test]
fn the_record_of_a_listed_version_is_written_again_with_a_longer_ttl() {
    let mut table = VersionTable::default();
    table.observe([names("v1")], seconds(1));
    table.record(record("v1"), 7, seconds(1));
    let shorter = table.next_change(|_| 0, seconds(2), seconds(2));
    assert_eq!(shorter, None, "a shorter one holds for later streams only");
    let longer = VersionRecord {
        stream_ttl: seconds(60),
        ..record("v1")
    };
    let change = table.next_change(|_| 0, seconds(60), seconds(3));
    assert_eq!(change, Some(VersionChange::Write(longer.clone())));
    table.record(longer, 9, seconds(3));
    assert_eq!(table.longest_stream_ttl(), seconds(60));
    assert_eq!(table.next_change(|_| 0, seconds(60), seconds(9)), None);
}
