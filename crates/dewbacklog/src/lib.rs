//! Decides, when all engines are busy, which requests wait, which are rejected
//! and when their callers should retry.
//!
//! Each VM queues its own requests, but the engines are shared by all VMs.
//! [`FleetBacklog`] sums what waits at the other VMs, [`RoomForecast`] derives
//! the time at which an engine has capacity, [`ReturnPolicy`] decides between
//! waiting and rejection and spreads the retries, and [`StartOrder`] holds
//! requests back for those of other VMs.
//!
//! This handles bursts that exceed the capacity of the engines for seconds, on
//! VMs whose knowledge of each other is some 100 ms old.
//!
//! Times are durations on the monotonic clock of this VM. The crate has no
//! clock, thread or I/O. The main invariant: without facts from other VMs, each
//! result depends on the VM's own queue and its view of the engines alone.

mod backlog;
mod forecast;
mod order;
mod returns;

pub use backlog::{FACT_TTL, FleetBacklog, QueuePlace, RankClass, VmHash, WaitingFact, WaitingSum};
pub use forecast::{EngineRoom, FORECAST_HORIZON, RoomForecast};
pub use order::{StartOrder, StartRequest};
pub use returns::{RejectCause, ReturnPolicy, RoomDecision, WaitingPrompt};
