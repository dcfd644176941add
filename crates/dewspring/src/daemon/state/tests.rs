//! Status of another VM as reported to operators.

use std::time::Duration;

use super::peer_status;
use crate::admin::{PeerState, PeerStatus};
use crate::peer::{MemberState, MemberStatus, VmEndpoint};

fn member(state: MemberState, last_seen_ago: Option<Duration>) -> MemberStatus {
    MemberStatus {
        vm: "vm-1".into(),
        endpoint: VmEndpoint {
            address: "127.0.0.1:7401".parse().expect("it is an address"),
            data_centre: "dc-1".into(),
        },
        boot: Some(7),
        state,
        listed: true,
        last_seen_ago,
    }
}

#[test]
fn operators_see_the_state_and_last_heartbeat_of_a_vm() {
    struct Case {
        state: MemberState,
        last_seen_ago: Option<Duration>,
        reported: PeerState,
        heard_ago_ms: Option<u64>,
    }
    let cases = [
        Case {
            state: MemberState::Live,
            last_seen_ago: Some(Duration::from_micros(40_900)),
            reported: PeerState::Live,
            heard_ago_ms: Some(40),
        },
        Case {
            state: MemberState::Suspect,
            last_seen_ago: Some(Duration::ZERO),
            reported: PeerState::Suspect,
            heard_ago_ms: Some(0),
        },
        Case {
            state: MemberState::Leaving,
            last_seen_ago: Some(Duration::MAX),
            reported: PeerState::Leaving,
            heard_ago_ms: Some(u64::MAX),
        },
        Case {
            state: MemberState::Dead,
            last_seen_ago: None,
            reported: PeerState::Dead,
            heard_ago_ms: None,
        },
    ];
    for case in cases {
        let expected = PeerStatus {
            vm: "vm-1".into(),
            state: case.reported,
            heard_ago_ms: case.heard_ago_ms,
        };
        assert_eq!(
            peer_status(&member(case.state, case.last_seen_ago)),
            expected
        );
    }
}
