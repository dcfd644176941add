//! Properties that hold for every sequence of events.

use crate::broker::ShareDivisor;

use super::checker;
use super::model::{BrokerModel, Event};

#[test]
fn the_model_holds_for_every_sequence_of_events() {
    fn property(events: Vec<Event>) {
        let mut model = BrokerModel::new();
        events.iter().for_each(|event| model.apply(event));
        model.finish();
    }
    checker(200, 2_000).quickcheck(property as fn(Vec<Event>));
}

#[test]
fn shares_of_all_entries_stay_within_the_slots() {
    fn property(slots: u32, entries: u32) -> bool {
        let entries = entries % 1_000;
        let share = ShareDivisor::new(entries).share_of(slots);
        let entries = entries.max(1);
        match slots >= entries {
            true => u64::from(share) * u64::from(entries) <= u64::from(slots) && share > 0,
            false => share == slots.min(1),
        }
    }
    checker(2_000, 10_000).quickcheck(property as fn(u32, u32) -> bool);
}
