//! Decides how many servers a data centre needs.
//!
//! One planner runs at the VM that holds the duty for a service in a data
//! centre. It turns what this VM observes once a second into orders: desired
//! numbers of regular and of interruptible servers.
//!
//! - `need`: how many servers the requests of the service need.
//! - `split`: how this need is divided over the data centres.
//! - `share`: what that asks of the planner's data centre.
//! - `mix`: how many of its servers are of which kind.
//! - `orders`: what the platform was told, and what came of it.
//! - `planner`: one planner, composed of these.
//!
//! The main invariant: the desired numbers of both kinds together never fall
//! below what the need of the sliding window asks of this data centre, within
//! the limits, and a decrease is only taken on recent observations.

mod mix;
mod need;
mod orders;
mod period;
mod planner;
mod share;
mod split;

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;

pub use need::FleetNeed;
pub use planner::ScalingPlanner;

/// Age of inputs, and time without an observation, after which nothing
/// decreases.
const MAX_INPUT_AGE: Duration = Duration::from_secs(3);

/// Limits of a service's servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingLimits {
    /// Least servers in a data centre, both kinds together.
    pub min: u32,
    /// Most servers in a data centre, both kinds together.
    pub max: u32,
    /// Time from an order until the servers serve.
    pub boot_time: Duration,
    /// Price of an interruptible server, as a share of the price of a regular
    /// one. Without it there are no interruptible servers.
    pub interruptible_price: Option<f64>,
    /// Price of a regular server, by data centre.
    pub prices: IndexMap<String, f64>,
}

/// Kind of a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ServerKind {
    /// May be reclaimed by the platform, all of a data centre at once.
    Interruptible,
    /// Stays until an order removes it.
    Regular,
}

/// Servers of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounts {
    /// Regular servers that take requests.
    pub ready_regular: u32,
    /// Interruptible servers that take requests.
    pub ready_interruptible: u32,
    /// Regular servers that end soon and take no new requests.
    pub leaving_regular: u32,
    /// Interruptible servers that end soon and take no new requests.
    pub leaving_interruptible: u32,
}

impl ServerCounts {
    /// Returns the servers that take requests.
    pub fn ready(&self) -> u32 {
        self.ready_regular + self.ready_interruptible
    }

    /// Returns whether there is no server at all, not even one that leaves.
    pub fn is_empty(&self) -> bool {
        self.ready() + self.leaving_regular + self.leaving_interruptible == 0
    }
}

/// What one server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// Requests in flight up to which it meets its targets.
    pub requests: f64,
    /// Unread prompts up to which first events are in time, in ms of reading.
    /// 0 if prompts don't count.
    pub backlog_ms: f64,
    /// Requests that it runs at a time, 0 if unknown.
    pub slots: u32,
}

/// What the holder of a duty observes of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetObservation {
    /// Servers by data centre, over all data centres in which the service runs.
    pub data_centres: IndexMap<String, ServerCounts>,
    /// Requests running or waiting at all servers, from all VMs.
    pub in_flight: f64,
    /// Requests waiting in the queues of all VMs.
    pub queued: f64,
    /// Requests refused for lack of servers since the last observation.
    pub refused: f64,
    /// Unread prompts at all servers, in ms of reading.
    pub backlog_ms: f64,
    /// What one server takes.
    pub capacity: ServerCapacity,
    /// Age of the oldest input that counts.
    pub age: Duration,
}

/// A desired number of servers of one kind in the planner's data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// The kind.
    pub kind: ServerKind,
    /// The number, including servers that are there.
    pub count: u32,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The platform accepted the order.
    Accepted,
    /// No response in time; the order may have been carried out.
    NoAnswer,
    /// The platform rejected the order with this status.
    Rejected(u16),
    /// Too many calls at the moment.
    Throttled,
    /// The platform has no more such servers at the moment.
    Unavailable,
}

/// Why a planner wants the numbers of servers that it wants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DecisionReason {
    /// The need fell some time ago.
    Decrease,
    /// The own data centre lost all its servers.
    DataCentreLost,
    /// The need grew.
    Increase,
    /// Interruptible servers were reclaimed, or are unavailable.
    InterruptibleLost,
    /// Regular and interruptible servers replace each other.
    Replacement,
    /// The planner is new and takes the servers that are there as ordered.
    Settling,
    /// An input is missing or old; nothing decreases.
    StaleInput,
    /// Nothing changes.
    #[default]
    Steady,
}

/// Inputs and result of a planner's last decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Time of the decision.
    pub at: Duration,
    /// Reason of the last change, or why nothing changes.
    pub reason: DecisionReason,
    /// Servers in the data centre.
    pub servers: ServerCounts,
    /// Servers that take requests, over all data centres.
    pub fleet_ready: u32,
    /// Need over all data centres.
    pub need: FleetNeed,
    /// The data centre's share of the need, within the limits.
    pub share: u32,
    /// Desired regular servers.
    pub regular: u32,
    /// Desired interruptible servers.
    pub interruptible: u32,
}

impl fmt::Display for ScalingDecision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}: {} regular and {} interruptible servers desired, {} and {} ready; share {} of \
             need {:.1} ({:.1} without headroom, {:.1} now) over {:.0} s, {} ready in all",
            self.reason,
            self.regular,
            self.interruptible,
            self.servers.ready_regular,
            self.servers.ready_interruptible,
            self.share,
            self.need.peak,
            self.need.base,
            self.need.current,
            self.need.window.as_secs_f64(),
            self.fleet_ready,
        )
    }
}
