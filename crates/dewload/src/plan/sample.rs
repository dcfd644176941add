//! Sampling from the distributions that the plan uses.

use std::f64::consts::TAU;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::workload::LengthSpec;

/// Draws the time to the next event of a Poisson process with the given rate.
pub(super) fn draw_exponential(generator: &mut StdRng, rate: f64) -> f64 {
    -open_unit(generator).ln() / rate
}

/// Draws a lognormal length, limited to the range from 1 to the maximum.
pub(super) fn draw_length(generator: &mut StdRng, length: &LengthSpec) -> u64 {
    let tokens = length.median * (length.sigma * draw_normal(generator)).exp();
    (tokens.round() as u64).clamp(1, length.max)
}

/// Draws an item with a probability proportional to its weight.
pub(super) fn draw_weighted<'a, T>(
    generator: &mut StdRng,
    items: &'a [T],
    weight: impl Fn(&T) -> f64,
) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut remaining = generator.random::<f64>() * total;
    for item in items {
        remaining -= weight(item);
        if remaining < 0.0 {
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

/// Draws from the unit interval without 0, so that the logarithm is finite.
fn open_unit(generator: &mut StdRng) -> f64 {
    1.0 - generator.random::<f64>()
}
