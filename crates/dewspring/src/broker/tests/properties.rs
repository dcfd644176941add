//! What holds for every sequence of events.

use super::checker;
use super::model::{BrokerModel, Event};

#[test]
fn the_broker_keeps_its_promises() {
    fn property(events: Vec<Event>) {
        let mut model = BrokerModel::new();
        events.iter().for_each(|event| model.apply(event));
        model.finish();
    }
    checker(200, 2_000).quickcheck(property as fn(Vec<Event>));
}
