//! Cases of the model: a fleet and what disturbs it.

use quickcheck::{Arbitrary, Gen};

use crate::store::{RestoredLeases, TrueTime};

pub const MS: TrueTime = 1000;

/// When the last disturbance begins at the latest; none lasts over `MAX_LENGTH`.
pub const DISTURBED: TrueTime = 20_000 * MS;

pub const MAX_LENGTH: TrueTime = 9_000 * MS;

#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    Kill,
    Freeze,
    /// A planned stop and a new start.
    Stop,
    /// The store's responses and watches don't arrive, but calls do.
    CutResponses,
    CutRequests,
    CutApi,
    /// The VM's configuration doesn't name the subjects for a while.
    Unwanted,
    Outage {
        pauses_leases: bool,
    },
    Restore {
        age: usize,
        leases: RestoredLeases,
        /// The holder is cut off from the store meanwhile.
        cuts_holder: bool,
    },
}

/// What happens to the holder of a subject, or another VM.
#[derive(Clone, Copy, Debug)]
pub struct DisturbanceCase {
    pub at: TrueTime,
    pub length: TrueTime,
    /// Subject whose holder is meant, if there is one.
    pub holder_of: Option<usize>,
    pub vm: usize,
    pub what: Disturbance,
}

#[derive(Clone, Debug)]
pub struct FleetCase {
    pub vms: usize,
    pub subjects: usize,
    /// Of a hundred messages, those that are lost, duplicated or late.
    pub bad_messages: u32,
    pub disturbances: Vec<DisturbanceCase>,
    pub seed: u64,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::from(u32::arbitrary(g)) % bound
}

fn disturbance(g: &mut Gen) -> Disturbance {
    let leases = [
        RestoredLeases::Renewed,
        RestoredLeases::KeysWithoutLease,
        RestoredLeases::Removed,
    ];
    let restore = Disturbance::Restore {
        age: usize::try_from(below(g, 20)).unwrap(),
        leases: *g.choose(&leases).unwrap(),
        cuts_holder: bool::arbitrary(g),
    };
    let outage = Disturbance::Outage {
        pauses_leases: bool::arbitrary(g),
    };
    let all = [
        Disturbance::Kill,
        Disturbance::Freeze,
        Disturbance::Stop,
        Disturbance::Stop,
        Disturbance::CutResponses,
        Disturbance::CutRequests,
        Disturbance::CutApi,
        Disturbance::Unwanted,
        outage,
        restore,
        restore,
    ];
    *g.choose(&all).unwrap()
}

impl FleetCase {
    /// Returns a case of a fleet of this size. Disturbances come in bursts, since
    /// many faults take two of them shortly after each other.
    pub fn of_size(vms: usize, g: &mut Gen) -> Self {
        let mut disturbances = Vec::new();
        for _ in 0..below(g, 4) {
            let begin = 5_000 * MS + below(g, 14_000) * MS;
            let holder_of = bool::arbitrary(g).then(|| usize::arbitrary(g) % 3);
            for _ in 0..=below(g, 3) {
                disturbances.push(DisturbanceCase {
                    at: (begin + below(g, 1_500) * MS).min(DISTURBED),
                    length: 50 * MS + below(g, MAX_LENGTH / MS - 50) * MS,
                    holder_of,
                    vm: usize::arbitrary(g) % vms,
                    what: disturbance(g),
                });
            }
        }
        FleetCase {
            vms,
            subjects: 1 + usize::arbitrary(g) % 3,
            bad_messages: *g.choose(&[0, 2, 10, 30]).unwrap(),
            disturbances,
            seed: u64::arbitrary(g),
        }
    }
}

impl Arbitrary for FleetCase {
    fn arbitrary(g: &mut Gen) -> Self {
        let most = *g.choose(&[2, 3, 5, 10, 40]).unwrap();
        let vms = 2 + usize::arbitrary(g) % (most - 1);
        FleetCase::of_size(vms, g)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let case = self.clone();
        Box::new((0..case.disturbances.len()).map(move |index| {
            let mut smaller = case.clone();
            smaller.disturbances.remove(index);
            smaller
        }))
    }
}
