//! Counts that the stand-ins kept during a run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use dewhttp::CallRequest;
use indexmap::IndexMap;
use serde::Deserialize;

const COUNTS_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum bytes of the counts of a stand-in.
const MAX_COUNTS_BYTES: usize = 1 << 30;

/// Counts of one server, or the sum over several.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub(crate) struct ServerCounts {
    pub(crate) executions: IndexMap<String, u64>,
    pub(crate) keys: IndexMap<String, u64>,
    pub(crate) resumed: IndexMap<String, u64>,
    pub(crate) tokens_generated: u64,
    pub(crate) tokens_wasted: u64,
    pub(crate) tokens_cut_off: u64,
    pub(crate) max_running: u64,
}

impl ServerCounts {
    /// Returns the difference from the earlier counts `before`.
    pub(crate) fn since(&self, before: &Self) -> Self {
        Self {
            executions: count_differences(&self.executions, &before.executions),
            keys: count_differences(&self.keys, &before.keys),
            resumed: count_differences(&self.resumed, &before.resumed),
            // A restarted server counts from 0 again.
            tokens_generated: self
                .tokens_generated
                .saturating_sub(before.tokens_generated),
            tokens_wasted: self.tokens_wasted.saturating_sub(before.tokens_wasted),
            tokens_cut_off: self.tokens_cut_off.saturating_sub(before.tokens_cut_off),
            max_running: self.max_running,
        }
    }

    /// Adds the counts of another server.
    pub(crate) fn add(&mut self, other: &Self) {
        add_counts(&mut self.executions, &other.executions);
        add_counts(&mut self.keys, &other.keys);
        add_counts(&mut self.resumed, &other.resumed);
        self.tokens_generated += other.tokens_generated;
        self.tokens_wasted += other.tokens_wasted;
        self.tokens_cut_off += other.tokens_cut_off;
        self.max_running += other.max_running;
    }
}

fn count_differences(
    now: &IndexMap<String, u64>,
    before: &IndexMap<String, u64>,
) -> IndexMap<String, u64> {
    now.iter()
        .map(|(name, count)| (name, count.saturating_sub(*before.get(name).unwrap_or(&0))))
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| (name.clone(), count))
        .collect()
}

fn add_counts(sum: &mut IndexMap<String, u64>, other: &IndexMap<String, u64>) {
    for (name, count) in other {
        *sum.entry(name.clone()).or_default() += count;
    }
}

/// Fetches the counts of a stand-in.
pub(crate) fn read_counts(address: SocketAddr) -> io::Result<ServerCounts> {
    let request = CallRequest {
        method: "GET",
        target: "/executions",
        fields: &[],
        content: b"",
    };
    let response = request.send(address, COUNTS_TIMEOUT)?;
    let document = response.read_all(MAX_COUNTS_BYTES)?;
    Ok(serde_json::from_slice(&document)?)
}
