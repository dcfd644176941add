//! The report of the latency that a daemon adds to a stream.

use serde::Serialize;

use super::memory::MemoryUsage;
use crate::client::{RequestOutcome, ResponseRecord};
use crate::report::{LatencyHistogram, LatencyQuantiles};

/// Latencies of the streams over one path, direct or routed.
#[derive(Default)]
pub(super) struct PathLatencies {
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    whole_answer: LatencyHistogram,
    completed: u64,
    failed: u64,
}

impl PathLatencies {
    pub(super) fn record(&mut self, record: &ResponseRecord) {
        if record.outcome != RequestOutcome::Completed {
            self.failed += 1;
            return;
        }
        self.completed += 1;
        if let Some(first) = record.times.first_token {
            self.first_token.record(first);
        }
        for gap in &record.times.gaps {
            self.between_tokens.record(*gap);
        }
        self.whole_answer.record(record.times.end);
    }

    fn summary(&self) -> PathSummary {
        PathSummary {
            completed: self.completed,
            failed: self.failed,
            first_token: self.first_token.quantiles(),
            between_tokens: self.between_tokens.quantiles(),
            whole_answer: self.whole_answer.quantiles(),
        }
    }
}

/// Results of the streams over one path.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct PathSummary {
    completed: u64,
    failed: u64,
    first_token: LatencyQuantiles,
    between_tokens: LatencyQuantiles,
    whole_answer: LatencyQuantiles,
}

/// Difference between routed and direct latencies, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct AddedLatency {
    p50_ms: f64,
    p99_ms: f64,
}

impl AddedLatency {
    fn between(direct: LatencyQuantiles, routed: LatencyQuantiles) -> Self {
        Self {
            p50_ms: routed.p50_ms - direct.p50_ms,
            p99_ms: routed.p99_ms - direct.p99_ms,
        }
    }
}

/// The results for one number of concurrent streams.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct LevelReport {
    streams: usize,
    direct: PathSummary,
    routed: PathSummary,
    added_first_token: AddedLatency,
    added_between_tokens: AddedLatency,
    added_whole_answer: AddedLatency,
    memory: Option<MemoryUsage>,
    resident_kib_per_stream: Option<f64>,
    threads_per_stream: Option<f64>,
}

impl LevelReport {
    pub(super) fn new(
        streams: usize,
        direct: &PathLatencies,
        routed: &PathLatencies,
        memory: Option<MemoryUsage>,
    ) -> Self {
        let (direct, routed) = (direct.summary(), routed.summary());
        let per_stream = |idle: u64, peak: u64| (peak - idle) as f64 / streams as f64;
        Self {
            streams,
            added_first_token: AddedLatency::between(direct.first_token, routed.first_token),
            added_between_tokens: AddedLatency::between(
                direct.between_tokens,
                routed.between_tokens,
            ),
            added_whole_answer: AddedLatency::between(direct.whole_answer, routed.whole_answer),
            direct,
            routed,
            memory,
            resident_kib_per_stream: memory
                .map(|usage| per_stream(usage.idle.resident_kib, usage.peak.resident_kib)),
            threads_per_stream: memory
                .map(|usage| per_stream(usage.idle.threads, usage.peak.threads)),
        }
    }
}

/// The results of a whole measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct PathReport {
    pub(super) tokens: u64,
    pub(super) rounds: usize,
    pub(super) levels: Vec<LevelReport>,
}

/// Formats the report as text, with times in milliseconds.
pub(crate) fn path_text(report: &PathReport) -> String {
    let mut text = format!(
        "{} tokens a stream, {} rounds; direct, routed and added in milliseconds\n",
        report.tokens, report.rounds
    );
    for level in &report.levels {
        text.push_str(&format!("{} streams\n", level.streams));
        let (direct, routed) = (&level.direct, &level.routed);
        let lines = [
            ("first token", direct.first_token, routed.first_token),
            (
                "between tokens",
                direct.between_tokens,
                routed.between_tokens,
            ),
            ("whole answer", direct.whole_answer, routed.whole_answer),
        ];
        for (name, direct, routed) in lines {
            let added = AddedLatency::between(direct, routed);
            text.push_str(&format!(
                "  {name:<14}  p50 {:>9.3} {:>9.3} {:>+9.3}  p99 {:>9.3} {:>9.3} {:>+9.3}\n",
                direct.p50_ms,
                routed.p50_ms,
                added.p50_ms,
                direct.p99_ms,
                routed.p99_ms,
                added.p99_ms,
            ));
        }
        text.push_str(&format!(
            "  completed {} direct, {} routed; failed {} and {}\n",
            direct.completed, routed.completed, direct.failed, routed.failed,
        ));
        if let Some(memory) = level.memory {
            text.push_str(&format!(
                "  resident {} to {} KiB, {:.1} KiB a stream; threads {} to {}\n",
                memory.idle.resident_kib,
                memory.peak.resident_kib,
                level.resident_kib_per_stream.unwrap_or_default(),
                memory.idle.threads,
                memory.peak.threads,
            ));
        }
    }
    text
}
