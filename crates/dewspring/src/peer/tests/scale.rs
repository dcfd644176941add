//! The heartbeats of a fleet of 800 VMs: their bytes and the spread of news.

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

const FULL_SIZE: usize = 800;
const SEED: u64 = 20_261_203;

/// Frame length and the header of a call or a reply, at most, in bytes.
const CALL_HEADER_BYTES: usize = 16;

/// Bytes that a VM may send and receive in a second.
const TRAFFIC_LIMIT: usize = 14 * 1024;

fn encoded_size(heartbeat: &Heartbeat) -> usize {
    let mut codec = Bincode::<Heartbeat, Heartbeat>::default();
    let encoded = Pin::new(&mut codec).serialize(heartbeat);
    encoded.expect("a heartbeat can be encoded").len()
}

/// A fleet whose messages arrive at once.
struct FleetBench {
    members: Vec<MembershipState>,
    alive: Vec<bool>,
    rng: SmallRng,
    now: Instant,
    bytes: usize,
}

impl FleetBench {
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
        FleetBench {
            members,
            alive: vec![true; size],
            rng,
            now,
            bytes: 0,
        }
    }

    /// Runs one round of all VMs and returns the mean bytes of a VM.
    fn round(&mut self) -> usize {
        self.now += HEARTBEAT_INTERVAL;
        self.bytes = 0;
        for index in 0..self.members.len() {
            if self.alive[index] {
                self.round_of(index);
            }
        }
        // Each message is sent by one VM and received by another one.
        2 * self.bytes / self.members.len()
    }

    fn round_of(&mut self, index: usize) {
        for target in self.members[index].tick(self.now, &mut self.rng) {
            let question = self.members[index].question(&target.vm, 3);
            self.count(&question);
            let other = vm_index(&target.vm);
            if !self.alive[other] {
                continue;
            }
            self.members[other].observe_question(self.now, &question);
            let answer = self.members[other].answer(&question, 3);
            self.count(&answer);
            self.members[index].handle_heartbeat_reply(self.now, &target.vm, &answer);
        }
    }

    fn count(&mut self, heartbeat: &Heartbeat) {
        self.bytes += encoded_size(heartbeat) + CALL_HEADER_BYTES;
    }

    /// Whether every living VM counts as many VMs as are alive.
    fn counts_agree(&self) -> bool {
        let living = self.living().count();
        self.living()
            .all(|index| self.members[index].eligible_vms().len() == living)
    }

    /// Whether every living VM holds just the lost ones for dead.
    fn views_agree(&self) -> bool {
        self.living().all(|index| {
            let members = self.members[index].members(self.now);
            members
                .iter()
                .all(|m| self.alive[vm_index(&m.vm)] == (m.state == MemberState::Live))
        })
    }

    fn living(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|index| self.alive[*index])
    }
}

/// Some VMs that are lost at the same time.
struct Loss {
    vms: Range<usize>,
    within: Duration,
}

/// Bytes of a VM in a second, from those of a round.
fn per_second(bytes: usize) -> usize {
    (bytes as f64 / HEARTBEAT_INTERVAL.as_secs_f64()) as usize
}

/// Lets VMs be lost until all others know; returns the time and the bytes/s.
fn lose(bench: &mut FleetBench, loss: &Loss) -> (Duration, usize) {
    loss.vms
        .clone()
        .for_each(|index| bench.alive[index] = false);
    let mut spent = Duration::ZERO;
    let mut busiest = 0;
    while !bench.counts_agree() {
        busiest = busiest.max(per_second(bench.round()));
        spent += HEARTBEAT_INTERVAL;
        assert!(spent <= loss.within, "{:?} lost: {spent:?}", loss.vms);
    }
    assert!(bench.views_agree(), "{:?} lost: wrong views", loss.vms);
    (spent, busiest)
}

#[test]
fn traffic_and_news_stay_bounded() {
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
            size: FULL_SIZE,
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
        let mut bench = FleetBench::new(case.size);
        for member in &mut bench.members {
            (1..=40).for_each(|partner| member.open_grant(&vm_name(partner * 19 % case.size)));
        }
        let mut start = 0;
        while !bench
            .members
            .iter()
            .all(MembershipState::all_peers_contacted)
        {
            start = start.max(per_second(bench.round()));
        }
        let quiet = per_second(bench.round());
        println!(
            "{} VMs: {start} bytes/s at the start, {quiet} when quiet",
            case.size
        );
        assert!(quiet <= TRAFFIC_LIMIT, "quiet: {quiet} bytes/s");
        for loss in &case.losses {
            let (spent, busiest) = lose(&mut bench, loss);
            println!(
                "lost {:?}: known after {spent:?}, {busiest} bytes/s",
                loss.vms
            );
            assert!(busiest <= TRAFFIC_LIMIT, "deaths: {busiest} bytes/s");
        }
    }
}
