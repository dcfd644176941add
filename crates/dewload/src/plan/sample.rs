//! Random values of the distributions that the plan needs.

use std::f64::consts::TAU;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::workload::LengthSpec;

/// Draws the time to the next of events that come at `rate`.
pub(super) fn draw_exponential(generator: &mut StdRng, rate: f64) -> f64 {
    -open_unit(generator).ln() / rate
}

/// Draws a lognormal length between 1 and the maximum.
pub(super) fn draw_length(generator: &mut StdRng, length: &LengthSpec) -> u64 {
    let tokens = length.median * (length.sigma * draw_normal(generator)).exp();
    (tokens.round() as u64).clamp(1, length.max)
}

/// Draws an item by weight.
pub(super) fn draw_weighted<'a, T>(
    generator: &mut StdRng,
    items: &'a [T],
    weight: impl Fn(&T) -> f64,
) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut left = generator.random::<f64>() * total;
    for item in items {
        left -= weight(item);
        if left < 0.0 {
            return item;
        }
    }
    items.last().expect("there is an item")
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn draw_normal(generator: &mut StdRng) -> f64 {
    let radius = (-2.0 * open_unit(generator).ln()).sqrt();
    radius * (TAU * generator.random::<f64>()).cos()
}

/// Draws from the unit interval without 0, whose logarithm is finite.
fn open_unit(generator: &mut StdRng) -> f64 {
    1.0 - generator.random::<f64>()
}
