//! Origins of streams: what is kept, announced and forgotten.

use std::time::Duration;

use dewedge::directory::ReplicaDirectory;
use dewedge::format::{ReplicaEntry, ReplicaStage};
use dewedge::origins::{OriginTable, StreamOrigin, version_id};
use dewedge::policy::queue::ServerRequirements;

const TTL: Duration = Duration::from_secs(30);

fn origin(stream: u64, version: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        version: version_id("draft", version),
    }
}

#[test]
fn the_origin_of_a_stream_is_never_replaced() {
    let mut table = OriginTable::default();
    assert!(table.learn(origin(1, "v1"), Duration::ZERO));
    assert!(!table.learn(origin(1, "v2"), Duration::ZERO));
    assert_eq!(table.version_of(1), Some(version_id("draft", "v1")));
}

#[test]
fn origins_expire_and_each_is_announced_in_every_round() {
    let mut table = OriginTable::default();
    for stream in 0..5 {
        table.record(origin(stream, "v1"), 3, Duration::from_secs(stream));
    }
    let mut announced = [0; 5];
    while table.has_announcements() {
        for origin in table.next_announcements(2) {
            announced[origin.stream as usize] += 1;
        }
    }
    assert_eq!(announced, [3; 5]);
    table.expire(TTL, TTL + Duration::from_secs(2));
    let known = (0..5).filter(|stream| table.version_of(*stream).is_some());
    assert_eq!(known.collect::<Vec<_>>(), [2, 3, 4]);
}

/// Guards against the loss of the origin of a stream that is taken up repeatedly.
#[test]
fn the_origin_of_a_stream_that_goes_on_is_kept_and_announced_again() {
    let mut table = OriginTable::default();
    for stream in 0..3 {
        table.record(origin(stream, "v1"), 1, Duration::ZERO);
    }
    table.next_announcements(3);
    table.record(origin(1, "v1"), 1, Duration::from_secs(20));
    assert_eq!(table.next_announcements(3), [origin(1, "v1")]);
    for (second, expected) in [(31, vec![1]), (50, vec![1]), (51, vec![])] {
        table.expire(TTL, Duration::from_secs(second));
        let known = (0..3).filter(|stream| table.version_of(*stream).is_some());
        assert_eq!(known.collect::<Vec<u64>>(), expected, "after {second} s");
    }
}

/// Servers of one service and the version that all of them have.
struct SoleCase {
    name: &'static str,
    /// Version of each server, and when its entry was removed.
    servers: &'static [(&'static str, Option<u64>)],
    sole: Option<&'static str>,
}

#[test]
fn a_service_has_a_sole_version_only_if_no_other_has_left_lately() {
    let cases = [
        SoleCase {
            name: "none",
            servers: &[],
            sole: None,
        },
        SoleCase {
            name: "one version",
            servers: &[("v1", None), ("v1", Some(95))],
            sole: Some("v1"),
        },
        SoleCase {
            name: "two versions",
            servers: &[("v1", None), ("v2", None)],
            sole: None,
        },
        SoleCase {
            name: "another has just left",
            servers: &[("v1", Some(95)), ("v2", None)],
            sole: None,
        },
        SoleCase {
            name: "another has left long ago",
            servers: &[("v1", Some(10)), ("v2", None)],
            sole: Some("v2"),
        },
    ];
    for case in cases {
        let mut directory = ReplicaDirectory::default();
        for (index, (version, removed)) in case.servers.iter().enumerate() {
            let entry = ReplicaEntry {
                service: "draft".to_string(),
                address: "127.0.0.1:80".parse().expect("it is an address"),
                data_centre: "dc-1".to_string(),
                version: version.to_string(),
                slots: 8,
                stage: ReplicaStage::Ready,
                started_ms: 1,
                interruptible: false,
                leaves_in: None,
            };
            let id = format!("i-{index}");
            directory.apply(id.clone(), entry, 1);
            if let Some(second) = removed {
                directory.remove(&id, 2, false, Duration::from_secs(*second));
            }
        }
        let since = Duration::from_secs(100) - TTL;
        let sole = directory.sole_version("draft", since);
        assert_eq!(
            sole,
            case.sole.map(|version| version_id("draft", version)),
            "{}",
            case.name
        );
    }
}

/// A request that found all servers busy, and a later one.
struct BlockCase {
    first: Option<&'static str>,
    later: Option<&'static str>,
    blocks: bool,
}

#[test]
fn a_request_that_waits_for_one_version_blocks_no_other() {
    let cases = [
        BlockCase {
            first: None,
            later: None,
            blocks: true,
        },
        BlockCase {
            first: None,
            later: Some("v1"),
            blocks: true,
        },
        BlockCase {
            first: Some("v1"),
            later: None,
            blocks: false,
        },
        BlockCase {
            first: Some("v1"),
            later: Some("v2"),
            blocks: false,
        },
        BlockCase {
            first: Some("v1"),
            later: Some("v1"),
            blocks: true,
        },
    ];
    for case in cases {
        let requirements = |version: Option<&str>| ServerRequirements {
            gap_sensitive: false,
            class: 1,
            home: None,
            version: version.map(|version| version_id("draft", version)),
        };
        let blocks = requirements(case.first).blocks(&requirements(case.later));
        assert_eq!(blocks, case.blocks, "{:?}, {:?}", case.first, case.later);
    }
}
