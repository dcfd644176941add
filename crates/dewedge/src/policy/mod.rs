//! Routing decisions of the entry, as pure functions without I/O.
//!
//! The entry is the process on each VM that accepts callers' requests and
//! routes them to servers.
//!
//! - [`placement`] chooses a server.
//! - [`part_cache`] keeps what is expected in the KV caches of engines.
//! - [`engine_model`] learns the speed of the engines that placement chooses
//!   from.
//! - [`load_reports`] keeps the load that servers report.
//! - [`reported_placement`] chooses a server by these reports.
//! - [`queue`] orders the requests that wait for a server.
//! - [`admission`] decides which requests are refused and when callers retry.
//! - [`retries`] limits retries.
//! - [`health`] tracks the health of servers by the results of this VM's
//!   requests.
//! - [`ended_servers`] leaves servers alone that have certainly ended.
//! - [`rate_limit`] keeps the VMs' requests to a server within its limit.
//! - [`stream_engines`] reserves engines for streams whose events must not be far apart.
//! - [`unread`] queues connections that hold more bytes than are read at once.
//! - [`warmup`] staggers the first use of a started server across the VMs.
//!
//! The main invariant: nothing here reads a clock or a socket; time and state
//! are arguments.

pub mod admission;
pub mod ended_servers;
pub mod engine_model;
pub mod health;
pub mod load_reports;
pub mod part_cache;
pub mod placement;
pub mod queue;
pub mod rate_limit;
pub mod reported_placement;
pub mod retries;
pub mod stream_engines;
pub mod unread;
pub mod warmup;
