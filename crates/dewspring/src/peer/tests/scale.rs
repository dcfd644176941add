//! Heartbeats of a simulated fleet of 800 VMs: traffic and time to detect deaths.

use std::ops::Range;
use std::pin::Pin;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

use super::fleet::{identity, list_entry, vm_index, vm_name};
use crate::peer::{HEARTBEAT_INTERVAL, Heartbeat, MemberState, MembershipState};
use crate::store::{VmEntry, VmState};

const FULL_FLEET_SIZE: usize = 800;
const SEED: u64 = 20_261_203;

/// Upper bound of the frame length and the header of a call or reply, in bytes.
const CALL_HEADER_BYTES: usize = 16;

/// Most bytes that a VM may send and receive per second.
const MAX_TRAFFIC_BYTES: usize = 14 * 1024;

fn encoded_size(heartbeat: &Heartbeat) -> usize {
    let mut codec = Bincode::<Heartbeat, Heartbeat>::default();
    let encoded = Pin::new(&mut codec).serialize(heartbeat);
    encoded.expect("a heartbeat can be encoded").len()
}

/// Simulated fleet whose messages arrive without delay.
struct FleetSimulation {
    members: Vec<MembershipState>,
    alive: Vec<bool>,
    rng: SmallRng,
    now: Instant,
    bytes: usize,
}

impl FleetSimulation {
    fn new(size: usize) -> Self {
        let now = Instant::now();
        let list: Vec<VmEntry> = (0..size).map(|i| list_entry(i, VmState::Live)).collect();
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut members = Vec::new();
        for index in 0..size {
            let mut member = MembershipState::new(identity(index, rng.random()));
            member.apply_list(now, &list);
            members.push(member);
        }
        FleetSimulation {
            members,
            alive: vec![true; size],
            rng,
            now,
            bytes: 0,
        }
    }

    /// Runs one round of all VMs and returns the mean number of bytes per VM.
    fn run_round(&mut self) -> usize {
        self.now += HEARTBEAT_INTERVAL;
        self.bytes = 0;
        for index in 0..self.members.len() {
            if self.alive[index] {
                self.run_round_of(index);
            }
        }
        // One VM sends each message, and another one receives it.
        2 * self.bytes / self.members.len()
    }

    fn run_round_of(&mut self, index: usize) {
        for target in self.members[index].tick(self.now, &mut self.rng) {
            let request = self.members[index].heartbeat_request(&target.vm, 3);
            self.count_bytes(&request);
            let other = vm_index(&target.vm);
            if !self.alive[other] {
                continue;
            }
            self.members[other].handle_heartbeat_request(self.now, &request);
            let reply = self.members[other].heartbeat_reply(&request, 3);
            self.count_bytes(&reply);
            self.members[index].handle_heartbeat_reply(self.now, &target.vm, &reply);
        }
    }

    fn count_bytes(&mut self, heartbeat: &Heartbeat) {
        self.bytes += encoded_size(heartbeat) + CALL_HEADER_BYTES;
    }

    /// Returns whether every live VM sees the right number of live VMs.
    fn counts_agree(&self) -> bool {
        let alive = self.alive_indices().count();
        self.alive_indices()
            .all(|index| self.members[index].eligible_vms().len() == alive)
    }

    /// Returns whether every live VM sees exactly the lost VMs as not live.
    fn views_agree(&self) -> bool {
        self.alive_indices().all(|index| {
            let members = self.members[index].members(self.now);
            members
                .iter()
                .all(|m| self.alive[vm_index(&m.vm)] == (m.state == MemberState::Live))
        })
    }

    fn alive_indices(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|index| self.alive[*index])
    }
}

/// VMs that are lost at the same time, and the limit for all others to detect it.
struct Loss {
    vms: Range<usize>,
    within: Duration,
}

/// Converts the bytes of a round to bytes per second.
fn per_second(bytes: usize) -> usize {
    (bytes as f64 / HEARTBEAT_INTERVAL.as_secs_f64()) as usize
}

/// Stops VMs and runs rounds until all others detect it.
///
/// Returns the time and the peak traffic in bytes per second.
fn lose_vms(fleet: &mut FleetSimulation, loss: &Loss) -> (Duration, usize) {
    loss.vms
        .clone()
        .for_each(|index| fleet.alive[index] = false);
    let mut elapsed = Duration::ZERO;
    let mut peak = 0;
    while !fleet.counts_agree() {
        peak = peak.max(per_second(fleet.run_round()));
        elapsed += HEARTBEAT_INTERVAL;
        assert!(elapsed <= loss.within, "{:?} lost: {elapsed:?}", loss.vms);
    }
    assert!(fleet.views_agree(), "{:?} lost: wrong views", loss.vms);
    (elapsed, peak)
}

#[test]
fn traffic_and_detection_time_stay_bounded() {
    struct Case {
        size: usize,
        losses: Vec<Loss>,
    }
    let cases = [
        Case {
            size: 8,
            losses: vec![Loss {
                vms: 0..1,
                within: Duration::from_millis(1_200),
            }],
        },
        Case {
            size: FULL_FLEET_SIZE,
            losses: vec![
                Loss {
                    vms: 0..1,
                    within: Duration::from_secs(5),
                },
                Loss {
                    vms: 1..41,
                    within: Duration::from_secs(10),
                },
            ],
        },
    ];
    for case in cases {
        let mut fleet = FleetSimulation::new(case.size);
        for member in &mut fleet.members {
            (1..=40).for_each(|peer| member.add_outstanding_grant(&vm_name(peer * 19 % case.size)));
        }
        let mut start = 0;
        while !fleet
            .members
            .iter()
            .all(MembershipState::all_peers_contacted)
        {
            start = start.max(per_second(fleet.run_round()));
        }
        let idle = per_second(fleet.run_round());
        println!(
            "{} VMs: {start} bytes/s at the start, {idle} when idle",
            case.size
        );
        assert!(idle <= MAX_TRAFFIC_BYTES, "idle: {idle} bytes/s");
        for loss in &case.losses {
            let (elapsed, peak) = lose_vms(&mut fleet, loss);
            println!(
                "lost {:?}: known after {elapsed:?}, {peak} bytes/s",
                loss.vms
            );
            assert!(peak <= MAX_TRAFFIC_BYTES, "deaths: {peak} bytes/s");
        }
    }
}
