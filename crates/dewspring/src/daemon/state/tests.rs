//! What operators are told of another VM.

use std::time::Duration;

use super::peer_status;
use crate::admin::{PeerState, PeerStatus};
use crate::peer::{MemberState, MemberStatus, VmEndpoint};

fn member(state: MemberState, heard_ago: Option<Duration>) -> MemberStatus {
    MemberStatus {
        vm: "vm-1".into(),
        endpoint: VmEndpoint {
            address: "127.0.0.1:7401".parse().expect("it is an address"),
            data_centre: "dc-1".into(),
        },
        boot: Some(7),
        state,
        listed: true,
        last_seen_ago: heard_ago,
    }
}

#[test]
fn operators_see_the_state_of_a_vm_and_when_it_was_heard() {
    struct Case {
        state: MemberState,
        heard_ago: Option<Duration>,
        told: PeerState,
        heard_ago_ms: Option<u64>,
    }
    let cases = [
        Case {
            state: MemberState::Live,
            heard_ago: Some(Duration::from_micros(40_900)),
            told: PeerState::Live,
            heard_ago_ms: Some(40),
        },
        Case {
            state: MemberState::Suspect,
            heard_ago: Some(Duration::ZERO),
            told: PeerState::Suspect,
            heard_ago_ms: Some(0),
        },
        Case {
            state: MemberState::Leaving,
            heard_ago: Some(Duration::MAX),
            told: PeerState::Leaving,
            heard_ago_ms: Some(u64::MAX),
        },
        Case {
            state: MemberState::Dead,
            heard_ago: None,
            told: PeerState::Dead,
            heard_ago_ms: None,
        },
    ];
    for case in cases {
        let expected = PeerStatus {
            vm: "vm-1".into(),
            state: case.told,
            heard_ago_ms: case.heard_ago_ms,
        };
        assert_eq!(peer_status(&member(case.state, case.heard_ago)), expected);
    }
}
