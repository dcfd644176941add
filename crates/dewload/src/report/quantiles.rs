//! Latency histograms and their quantiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_MICROS: u64 = 24 * 3600 * 1_000_000;
const MICROS_PER_MILLI: f64 = 1000.0;

/// A histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.expect("the number of digits is valid"),
        }
    }
}

impl LatencyHistogram {
    pub(crate) fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros().min(MAX_MICROS.into());
        let micros = u64::try_from(micros).expect("it is below the maximum");
        self.histogram.record(micros).expect("the histogram grows");
    }

    pub(crate) fn quantiles(&self) -> LatencyQuantiles {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        LatencyQuantiles {
            count: self.histogram.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}

/// Quantiles of latencies in milliseconds; all 0 if nothing was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct LatencyQuantiles {
    pub(crate) count: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p95_ms: f64,
    pub(crate) p99_ms: f64,
}
