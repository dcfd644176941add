//! What an engine has to read of a prompt, by what the VMs have sent to it.

use std::time::Duration;

use dewedge::format::PromptPart;
use dewedge::policy::engine_model::EngineModel;
use dewedge::policy::part_cache::shared_prefixes;
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad,
};
use dewedge::policy::reported_placement::{ReportedQuery, choose_reported_engine};

const NOW: Duration = Duration::from_secs(60);

fn prompt(document: u64, own: u64) -> Vec<PromptPart> {
    [(1, 2500), (document, 3800), (own, 2900)]
        .map(|(id, tokens)| PromptPart { id, tokens })
        .to_vec()
}

/// Returns the expected prefill time of a prompt on a service with one idle engine.
fn expected_prefill_ms(parts: &[PromptPart], cache: &PartCache, model: &EngineModel) -> f64 {
    let engine = ReplicaView {
        hash: 7,
        usable: true,
        same_data_centre: true,
        warming_up: false,
        slots: 64,
        kv_cache_tokens: 180_000,
        load: ServerLoad::default(),
        slowness: 1.0,
        is_slow: false,
        failure_rate: 0.0,
        cached_parts: cache,
    };
    let query = ReportedQuery {
        request: PlacementQuery {
            parts,
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            output_tokens: 50,
            priority: 2,
            gap_sensitive: false,
            latency_target: Duration::from_secs(2),
            waited: Duration::ZERO,
            now: NOW,
        },
        event_gap_target: Some(Duration::from_millis(800)),
        random: 5,
    };
    match choose_reported_engine(&query, &[engine], model) {
        PlacementChoice::Chosen { prefill_ms, .. } => prefill_ms,
        other => panic!("the engine isn't chosen: {other:?}"),
    }
}

/// What the VMs have sent to the engine, and the tokens that it still has to read.
struct PrefixCase {
    name: &'static str,
    /// Document of the prompt that another VM has sent, and how long ago.
    sent: Option<(u64, Duration)>,
    unread_tokens: u32,
}

/// Guards against engines that are overfilled in a burst on empty caches, because a
/// home counts as holding a prefix that nobody has sent there.
#[test]
fn only_prefixes_that_some_vm_has_sent_count_as_read() {
    let model = EngineModel::default();
    let recent = Duration::from_secs(2);
    let cases = [
        PrefixCase {
            name: "nothing was sent to the home",
            sent: None,
            unread_tokens: 9200,
        },
        PrefixCase {
            name: "another VM has sent the document",
            sent: Some((20, recent)),
            unread_tokens: 2900,
        },
        PrefixCase {
            name: "another VM has sent another document with the same first part",
            sent: Some((21, recent)),
            unread_tokens: 6700,
        },
        PrefixCase {
            name: "the document is expected to be evicted",
            sent: Some((20, Duration::from_secs(11))),
            unread_tokens: 9200,
        },
    ];
    for case in cases {
        let mut cache = PartCache::default();
        if let Some((document, age)) = case.sent {
            for (key, tokens) in shared_prefixes(&prompt(document, 90)) {
                cache.record_prefix(key, tokens, NOW - age);
            }
        }
        let prefill_ms = expected_prefill_ms(&prompt(20, 91), &cache, &model);
        let expected_ms = model.prefill_ms(case.unread_tokens);
        assert!(
            (prefill_ms - expected_ms).abs() < 1e-6,
            "{}: {prefill_ms} ms, expected {expected_ms}",
            case.name
        );
    }
}
