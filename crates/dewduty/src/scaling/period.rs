//! Finds the period of a wave in the load.
//!
//! The period is the first lag at which the autocorrelation of the load has a
//! high maximum after it fell to zero. A load that only grows or only jumps has none.

use std::time::Duration;

/// Periods that are looked for. Shorter ones lie within the default window;
/// longer ones are followed down.
const PERIOD_BOUNDS: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(60));

/// Least autocorrelation at a period.
const MIN_CORRELATION: f64 = 0.5;

/// Least ratio of the autocorrelation at a period to the largest one, which may
/// be at a multiple of the period.
const MULTIPLE_RATIO: f64 = 0.9;

/// Least ratio of the standard deviation to the mean of a load with a wave.
/// Smaller waves are within the headroom.
const MIN_DEVIATION: f64 = 0.04;

/// Returns the period of the wave that these loads show, if they show one. They
/// must span at least two periods.
pub(super) fn wave_period(loads: &[f64], spacing: Duration) -> Option<Duration> {
    if loads.len() < 4 || spacing.is_zero() {
        return None;
    }
    let deviations = without_line(loads);
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let energy = deviations.iter().map(|value| value * value).sum::<f64>();
    if (energy / loads.len() as f64).sqrt() < mean.max(f64::MIN_POSITIVE) * MIN_DEVIATION {
        return None;
    }
    let lag_of = |period: Duration| (period.as_secs_f64() / spacing.as_secs_f64()) as usize;
    let longest = lag_of(PERIOD_BOUNDS.1).min(loads.len() / 2);
    let correlations: Vec<f64> = (0..=longest)
        .map(|lag| correlation(&deviations, lag))
        .collect();
    let fallen = correlations.iter().position(|value| *value <= 0.0)?;
    let shortest = fallen.max(lag_of(PERIOD_BOUNDS.0));
    let best = correlations
        .iter()
        .skip(shortest)
        .fold(MIN_CORRELATION, |best, value| best.max(*value));
    let is_top = |lag: usize| {
        let neighbours = correlations[lag - 1].max(correlations[lag + 1]);
        correlations[lag] >= neighbours && correlations[lag] >= best * MULTIPLE_RATIO
    };
    // A maximum at the end of the range may belong to a longer period.
    let lag = (shortest.max(1)..longest).find(|lag| is_top(*lag))?;
    (correlations[lag] >= MIN_CORRELATION).then(|| spacing.mul_f64(lag as f64))
}

/// Returns the distances of these loads from their regression line.
fn without_line(loads: &[f64]) -> Vec<f64> {
    let count = loads.len() as f64;
    let middle = (count - 1.0) / 2.0;
    let mean = loads.iter().sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for (index, load) in loads.iter().enumerate() {
        let offset = index as f64 - middle;
        covariance += offset * (load - mean);
        variance += offset * offset;
    }
    let slope = covariance / variance;
    loads
        .iter()
        .enumerate()
        .map(|(index, load)| load - mean - slope * (index as f64 - middle))
        .collect()
}

/// Returns the correlation of these values with themselves, this much later.
fn correlation(values: &[f64], lag: usize) -> f64 {
    let (early, late) = (&values[..values.len() - lag], &values[lag..]);
    let product: f64 = early.iter().zip(late).map(|(one, two)| one * two).sum();
    let energies: f64 = early.iter().map(|value| value * value).sum::<f64>()
        * late.iter().map(|value| value * value).sum::<f64>();
    match energies {
        energies if energies > 0.0 => product / energies.sqrt(),
        _ => 0.0,
    }
}
