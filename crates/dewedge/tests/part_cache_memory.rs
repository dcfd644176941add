//! Memory of the part caches of a VM. It has a program of its own, because it reads
//! the memory of the process.

use std::fs;
use std::time::Duration;

use dewedge::format::PromptPart;
use dewedge::policy::part_cache::{PartCache, PartLimits};

/// Returns the anonymous memory of this process, in kilobytes.
fn anonymous_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux has /proc");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let size = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
    size.and_then(|size| size.parse().ok()).expect("a size")
}

/// Guards against part caches that use up the memory of a VM with 88 MB: 112 engines,
/// and more parts and prefixes than they may remember.
#[test]
fn the_caches_of_112_engines_take_under_8_mb() {
    let mut caches = vec![PartCache::default(); 112];
    let (before, now) = (anonymous_memory(), Duration::from_secs(9));
    for cache in &mut caches {
        cache.set_limits(PartLimits::share(112));
        for id in 0..5000 {
            cache.record_use(&[PromptPart { id, tokens: 1 }], now);
        }
        for key in 0..500 {
            cache.record_prefix(key, 6300, now);
        }
    }
    let grown = anonymous_memory().saturating_sub(before);
    println!("{grown} kB for {:?} entries each", caches[0].entry_counts());
    assert!(grown < 8000, "{grown} kB");
}
