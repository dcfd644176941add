//! Shared prefixes that the VMs announce to each other, what a VM remembers of them,
//! and a play of a fleet that shows when all VMs know.

mod random;

use std::time::Duration;

use dewedge::clock::Moment;
use dewedge::directory::ReplicaDirectory;
use dewedge::fact_notices::NoticeFact;
use dewedge::format::{PromptPart, ReplicaEntry, ReplicaStage};
use dewedge::policy::part_cache::{
    MAX_CACHED_PARTS, MAX_VM_PARTS, MAX_VM_PREFIXES, PART_TTL, PartCache, PartLimits,
};
use dewedge::prefix_notices::{
    MAX_NOTICES, PrefixNotice, PrefixQueue, PrefixReceiver, ReceivedPrefixes, is_announcement_due,
};
use indexmap::IndexMap;
use quickcheck::QuickCheck;
use random::RandomSource;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn notice(server: u64, key: u64) -> PrefixNotice {
    PrefixNotice {
        server,
        key,
        tokens: 6300,
    }
}

fn prompt(key: u64, own: u64) -> [PromptPart; 2] {
    [(key, 6300), (own, 2890)].map(|(id, tokens)| PromptPart { id, tokens })
}

fn receive(receiver: &mut PrefixReceiver, datagram: &[u8], now: Moment) -> ReceivedPrefixes {
    let rest = datagram.strip_prefix(&PrefixNotice::MAGIC);
    let received = receiver.receive(rest.expect("the first bytes"), now);
    received.expect("a datagram can be read")
}

/// Guards against bytes that other builds can't read, and against applying a part of
/// a damaged datagram.
#[test]
fn the_bytes_of_a_datagram_are_as_the_page_says() {
    let mut queue = PrefixQueue::default();
    queue.announce(notice(0x1112_1314_1516_1718, 9), 1, ms(9000));
    let datagram = queue.next_datagram(0x0102_0304_0506_0708, ms(9300));
    let expected: Vec<u8> = [
        &b"DWP1"[..],
        &[1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0, 0, 0, 0x24, 0x54],
        &[0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18],
        &[0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0x18, 0x9c, 1, 44],
    ]
    .concat();
    assert_eq!(datagram.as_ref(), Some(&expected));
    for length in (4..expected.len()).filter(|length| *length != 20) {
        let received = PrefixReceiver::default().receive(&expected[4..length], ms(9300));
        assert_eq!(received, None, "{length}");
    }
}

/// Guards against datagrams that are too large for a packet, and against notices of
/// servers that have restarted.
#[test]
fn the_newest_sixty_notices_of_current_servers_are_sent() {
    let mut queue = PrefixQueue::default();
    for key in 0..500 {
        queue.announce(notice(key % 2, key), 1, ms(9000 + key));
    }
    queue.retain(|notice| notice.server != 0);
    let datagram = queue.next_datagram(1, ms(9500)).expect("notices");
    assert!(datagram.len() <= 1400, "{} bytes", datagram.len());
    let received = receive(&mut PrefixReceiver::default(), &datagram, ms(9500));
    let keys: Vec<u64> = received.facts.iter().map(|dated| dated.fact.key).collect();
    let newest = 500 - MAX_NOTICES as u64..500;
    assert_eq!(keys, Vec::from_iter(newest.filter(|key| key % 2 != 0)));
}

struct ArrivalCase {
    /// Times at which datagrams with a notice of 9000 ms are sent and arrive, in ms; a
    /// datagram sent before holds no notice.
    arrivals: &'static [(u64, u64)],
    /// Times of used notices by the receiver's clock in ms; repeated; late.
    expected: (&'static [u64], u64, u64),
}

/// Guards against a notice that counts twice, in the wrong order or after its time.
#[test]
fn a_notice_counts_once_and_with_its_true_age() {
    let cases: [ArrivalCase; 4] = [
        // In two datagrams of the sender.
        (&[(9050, 500), (9150, 600)][..], (&[450][..], 1, 0)),
        // In the reverse order, and repeated.
        (&[(9150, 600), (9050, 610), (9150, 620)], (&[450], 2, 0)),
        // Sent late.
        (&[(18_900, 20_000)], (&[10_100], 0, 0)),
        // Read late by a VM that was frozen.
        (&[(8990, 20_000), (9100, 30_010)], (&[], 0, 1)),
    ]
    .map(|(arrivals, expected)| ArrivalCase { arrivals, expected });
    for case in cases {
        let mut receiver = PrefixReceiver::default();
        let (mut used_at, mut repeated, mut late) = (Vec::new(), 0, 0);
        for (sent, arrived) in case.arrivals {
            let mut queue = PrefixQueue::default();
            queue.announce(notice(5, 7), usize::from(*sent >= 9000), ms(9000));
            let head = [&b"DWP1"[..], &1u64.to_be_bytes(), &sent.to_be_bytes()].concat();
            let datagram = queue.next_datagram(1, ms(*sent)).unwrap_or(head);
            let received = receive(&mut receiver, &datagram, ms(*arrived));
            let times = received.facts.iter().map(|dated| dated.heard_at);
            used_at.extend(times.map(|heard_at| heard_at.as_millis() as u64));
            repeated += received.repeated;
            late += received.late;
        }
        let outcome = (&used_at[..], repeated, late);
        assert_eq!(outcome, case.expected, "{:?}", case.arrivals);
    }
    let mut queue = PrefixQueue::default();
    queue.announce(notice(5, 7), 1, ms(9000));
    assert_eq!(queue.next_datagram(1, ms(9000) + PART_TTL), None);
}

/// Guards against knowledge that depends on the order in which notices arrive, and
/// against a prefix that counts for longer, or for more tokens, than it is shared.
#[test]
fn the_order_of_uses_does_not_matter() {
    fn property(uses: Vec<u16>, extra: u8) -> bool {
        let mut uses: Vec<u64> = uses.iter().map(|at| 5000 + u64::from(at % 9999)).collect();
        let mut cache = PartCache::default();
        for used in &uses {
            cache.record_prefix(7, 6300 + u32::from(extra), ms(*used));
        }
        uses.sort_unstable();
        let [Some(first), Some(last)] = [uses.first(), uses.last()] else {
            return cache.prefix_use(7).is_none();
        };
        let known = cache.prefix_use(7).expect("a use");
        let tokens = |now| cache.cached_tokens(&prompt(7, 8), ms(now));
        (known.first, known.last) == (ms(*first), ms(*last))
            && (tokens(last + 9999), tokens(last + 10_000)) == (6300, 0)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u16>, u8) -> bool);
    // The engine has evicted the prefix between two uses.
    let mut cache = PartCache::default();
    cache.record_prefix(7, 6300, ms(1000));
    cache.record_prefix(7, 6300, ms(1000) + PART_TTL);
    assert_eq!(cache.prefix_use(7).expect("a use").first, ms(11_000));
}

/// Guards against a choice that differs from that of earlier builds where servers
/// don't report their slowness: without limits and prefixes, parts are remembered and
/// dropped as before.
#[test]
fn parts_of_services_without_reports_count_as_before() {
    let mut random = RandomSource::new(3);
    let (mut cache, mut before) = (PartCache::default(), IndexMap::<u64, Moment>::new());
    let mut most = 0;
    for step in 0..30_000 {
        // The rate of the requests falls by a factor of ten.
        let now = ms(20_000 + step * (1 + step / 15_000 * 9));
        let parts = prompt(random.next() % 40, random.next() % 100_000);
        let is_cached = |part: &&PromptPart| {
            before
                .get(&part.id)
                .is_some_and(|used| now - *used < ms(10_000))
        };
        let cached: u32 = parts
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum();
        assert_eq!(cache.cached_tokens(&parts, now), cached, "step {step}");
        if before.len() + parts.len() > 4096 {
            before.retain(|_, used| *used >= now - ms(5000));
        }
        before.extend(parts.map(|part| (part.id, now)));
        cache.record_use(&parts, now);
        cache.evict(now);
        assert_eq!(cache.entry_counts(), (before.len(), 0), "step {step}");
        most = most.max(before.len());
    }
    assert!(most > MAX_CACHED_PARTS, "{most} parts fill no cache");
}

fn entry(started_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        service: "chat".to_string(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: "dc-1".to_string(),
        version: "v1".to_string(),
        slots: 64,
        stage: ReplicaStage::Ready,
        started_ms,
        interruptible: false,
        leaves_in: None,
    }
}

/// Guards against a prefix that counts at a server which has restarted or ended since,
/// and against memory for what has expired.
#[test]
fn a_restart_or_removal_clears_what_a_server_held() {
    let mut directory = ReplicaDirectory::default();
    directory.apply("i-1".to_string(), entry(1), 1);
    directory.evict_parts(|_| true, ms(900));
    let use_at = |directory: &mut ReplicaDirectory, used| {
        let cache = &mut directory.get_mut(0).cached_parts;
        cache.record_use(&prompt(7, 8), used);
        cache.record_prefix(7, 6300, used)
    };
    let counts = |directory: &ReplicaDirectory| directory.get(0).cached_parts.entry_counts();
    assert!(use_at(&mut directory, ms(1000)));
    assert_eq!(counts(&directory), (2, 1));
    directory.apply("i-1".to_string(), entry(2), 2);
    assert_eq!(counts(&directory), (0, 0));
    directory.get_mut(0).cached_parts.begin(ms(2000));
    // A notice from before the restart arrives after it.
    assert!(!use_at(&mut directory, ms(1999)));
    assert_eq!(counts(&directory), (2, 0));
    assert!(use_at(&mut directory, ms(2000)));
    directory.remove("i-1", 3, false, ms(3000));
    assert_eq!(counts(&directory), (0, 0));
    assert!(use_at(&mut directory, ms(4000)));
    directory.evict_parts(|_| true, ms(4000) + PART_TTL);
    assert_eq!(counts(&directory), (0, 0));
}

/// Guards against caches that grow with the number of servers, of VMs that announce,
/// or of parts that requests have, and against dropping the newest.
#[test]
fn the_entries_of_all_servers_are_bounded() {
    let is_within = |cache: &PartCache, limits: PartLimits| {
        let (parts, prefixes) = cache.entry_counts();
        parts <= limits.parts && prefixes <= limits.prefixes
    };
    for servers in [1, 8, 90, 112, 960] {
        let (limits, fewer) = (PartLimits::share(servers), PartLimits::share(servers * 2));
        assert!(limits.parts * servers <= MAX_VM_PARTS && limits.parts <= MAX_CACHED_PARTS);
        assert!(limits.prefixes * servers <= MAX_VM_PREFIXES);
        let mut cache = PartCache::default();
        cache.set_limits(limits);
        for step in 0..6000 {
            let (now, parts) = (ms(20_000 + step), prompt(2 * step, 2 * step + 1));
            cache.record_use(&parts, now);
            cache.record_prefix(step, 6300, now);
            assert!(is_within(&cache, limits), "{servers} servers, step {step}");
            assert_eq!(cache.own_cached_tokens(&parts, now), 9190);
            assert_eq!(cache.prefix_use(step).map(|known| known.last), Some(now));
        }
        // More servers have been listed since.
        cache.set_limits(fewer);
        cache.evict(ms(26_000));
        assert!(is_within(&cache, fewer), "{servers} servers");
        let huge: Vec<_> = (0..9000).map(|id| PromptPart { id, tokens: 1 }).collect();
        cache.record_use(&huge, ms(26_001));
        assert!(is_within(&cache, fewer), "{servers} servers");
    }
}

/// VMs of the play.
const VMS: usize = 75;

/// Engines of the play; one VM alone uses the last one, all the time.
const ENGINES: usize = 91;

/// Share of the datagrams that is lost.
const LOSS: f64 = 0.01;

#[derive(Clone)]
struct PlayedVm {
    queue: PrefixQueue,
    receiver: PrefixReceiver,
    caches: Vec<PartCache>,
    targets: usize,
    bytes: usize,
}

impl PlayedVm {
    /// Sends a prompt, as `record_prefix_use` of the event loop does.
    fn send(&mut self, server: usize, key: u64, now: Moment) {
        let cache = &mut self.caches[server];
        let is_due = is_announcement_due(cache.prefix_use(key), now);
        cache.record_prefix(key, 6300, now);
        if is_due {
            cache.record_announced(key, now);
            let rounds = (VMS - 1).div_ceil(24);
            self.queue.announce(notice(server as u64, key), rounds, now);
        }
    }
}

/// Sends the digests that are due at a time; each VM has its own phase.
fn exchange(vms: &mut [PlayedVm], random: &mut RandomSource, now: u64) {
    for sender in (0..VMS).filter(|vm| (now + 7 * *vm as u64).is_multiple_of(100)) {
        let vm = &mut vms[sender];
        let targets = vm.targets..vm.targets + 24;
        vm.targets = targets.end;
        let Some(datagram) = vm.queue.next_datagram(sender as u64, ms(now)) else {
            continue;
        };
        vm.bytes += 24 * datagram.len();
        for target in targets.filter(|_| random.unit() >= LOSS) {
            let vm = &mut vms[(sender + 1 + target % (VMS - 1)) % VMS];
            for dated in receive(&mut vm.receiver, &datagram, ms(now)).facts {
                let cache = &mut vm.caches[dated.fact.server as usize];
                cache.record_prefix(dated.fact.key, dated.fact.tokens, dated.heard_at);
                cache.record_announced(dated.fact.key, dated.heard_at);
            }
        }
    }
}

/// Guards against VMs that aren't told of a prefix or forget it while it is used, also
/// by one VM alone, and against notices that use up slow links. 342 prompts a second,
/// each with one of 30 prefixes and for one of its six engines, as many as come in the
/// first 2 s of the day scale-1.
#[test]
fn all_vms_know_the_prefixes_that_are_in_use() {
    for seed in [1, 2] {
        let mut random = RandomSource::new(seed);
        let mut vms = vec![
            PlayedVm {
                queue: PrefixQueue::default(),
                receiver: PrefixReceiver::default(),
                caches: vec![PartCache::default(); ENGINES],
                targets: 0,
                bytes: 0,
            };
            VMS
        ];
        let mut first_uses = IndexMap::<(usize, u64), (u64, Option<u64>)>::new();
        let (mut told, mut burst_bytes, mut least) = (0, 0, VMS);
        for now in 20_000..32_000 {
            if random.unit() < 0.342 {
                let key = random.next() % 30;
                let server = (key * 3 + random.next() % 6) as usize % (ENGINES - 1);
                vms[random.next() as usize % VMS].send(server, key, ms(now));
                first_uses.entry((server, key)).or_insert((now, None));
            }
            if now.is_multiple_of(500) {
                vms[0].send(ENGINES - 1, 99, ms(now));
            }
            exchange(&mut vms, &mut random, now);
            let knowing = |server: usize, key| {
                let tokens =
                    |vm: &PlayedVm| vm.caches[server].cached_tokens(&prompt(key, 0), ms(now));
                vms.iter().filter(|vm| tokens(vm) > 0).count()
            };
            for ((server, key), (used, all_at)) in &mut first_uses {
                let since = now - *used;
                if since == 400 {
                    told += knowing(*server, *key);
                }
                if since.is_multiple_of(50) && all_at.is_none() && knowing(*server, *key) == VMS {
                    *all_at = Some(since);
                }
            }
            // The second notice of the sole user makes up for lost ones of the first.
            if now >= 20_000 + 3900 && now.is_multiple_of(100) {
                least = least.min(knowing(ENGINES - 1, 99));
            }
            if now == 21_999 {
                burst_bytes = vms.iter().map(|vm| vm.bytes / 2).max().unwrap_or(0);
            }
        }
        let share = told as f64 / (first_uses.len() * VMS) as f64;
        let known = first_uses
            .values()
            .map(|(_, all_at)| all_at.unwrap_or(u64::MAX));
        let mut known = Vec::from_iter(known);
        known.sort_unstable();
        let (count, last) = (known.len(), known[known.len() - 1]);
        println!(
            "seed {seed}: {count} prefixes at engines; {share:.4} of the VMs know after 400 ms; \
             all know after {} ms in the median, {} at the 90th percentile, {last} at most; \
             {least} of {VMS} know of the sole user's; the busiest VM sends {burst_bytes} \
             bytes/s in the first 2 s, a VM {} in the mean of 12 s",
            known[count / 2],
            known[count * 9 / 10],
            vms.iter().map(|vm| vm.bytes).sum::<usize>() / VMS / 12,
        );
        assert!(share >= 1.0 - LOSS, "seed {seed}: {share}");
        assert!(last < u64::MAX, "seed {seed}: some VM was never told");
        assert_eq!(
            least, VMS,
            "seed {seed}: a VM doesn't know what one VM uses"
        );
        // The slowest link has 10 Mbit/s; the notices get a fiftieth of it.
        assert!(burst_bytes <= 25_000, "seed {seed}: {burst_bytes} bytes/s");
    }
}
