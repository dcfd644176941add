//! Properties of the prefix cache and its events.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};

use super::cache::{EventKind, PrefixCache};

#[test]
fn events_match_the_cache_contents() {
    fn check(capacity: u8, prefixes: Vec<u8>) -> bool {
        let capacity = usize::from(capacity % 6) + 1;
        let now = Instant::now();
        let mut cache = PrefixCache::new(capacity);
        let mut cached = HashSet::new();
        let mut after = 0;
        for prefix in prefixes {
            let prefix = (prefix % 10).to_string();
            let is_hit = cache.touch(&prefix, 8, now) == 8;
            if is_hit != cached.contains(&prefix) {
                return false;
            }
            let page = cache.events(after, Duration::ZERO, 0, now);
            for event in page.events {
                match event.kind {
                    EventKind::Stored => cached.insert(event.prefix),
                    EventKind::Evicted => cached.remove(&event.prefix),
                };
            }
            after = page.next;
            if cached.len() > capacity {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 13))
        .quickcheck(check as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn events_are_delayed_and_have_gaps() {
    let now = Instant::now();
    let lag = Duration::from_millis(100);
    let mut cache = PrefixCache::new(1000);
    for prefix in 0..1000 {
        cache.touch(&prefix.to_string(), 8, now);
    }
    struct Case {
        name: &'static str,
        age: Duration,
        gaps_percent: u64,
        events: std::ops::RangeInclusive<usize>,
        next: u64,
    }
    let cases = [
        Case {
            name: "too early",
            age: Duration::from_millis(99),
            gaps_percent: 0,
            events: 0..=0,
            next: 0,
        },
        Case {
            name: "due",
            age: lag,
            gaps_percent: 0,
            events: 1000..=1000,
            next: 1000,
        },
        Case {
            name: "with gaps",
            age: lag,
            gaps_percent: 20,
            events: 750..=850,
            next: 1000,
        },
    ];
    for case in cases {
        let page = cache.events(0, lag, case.gaps_percent, now + case.age);
        assert!(case.events.contains(&page.events.len()), "{}", case.name);
        assert!(page.events.is_sorted_by_key(|event| event.sequence));
        assert_eq!(page.next, case.next, "{}", case.name);
    }
}
