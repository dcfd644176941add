//! The event loop that serves callers.
//!
//! - [`callers`]: connections from callers, parsed into requests.
//! - [`requests`]: authorizes requests, and queues or refuses them.
//! - [`dispatch`]: sends waiting requests to servers.
//! - [`connections`]: opens connections to servers, or takes kept ones.
//! - [`prefixes`]: shared prefixes, which the VMs announce to each other.
//! - [`servers`]: connections to servers, parsed into attempt outcomes.
//! - [`announcements`]: what responses say of their servers.
//! - [`crashes`]: servers that crash, and requests that crash them.
//! - [`lifts`]: blocks of such requests that operators have lifted.
//! - [`duties`]: what one VM at a time does for the fleet.
//! - [`outcomes`]: retries or completes a request after an attempt.
//! - [`resumption`]: binds streams to the software version that began them.
//! - [`recording`]: records versions and origins of streams in the store.
//! - [`silence`]: servers that fall silent while they run a request.
//! - [`responses`]: writes responses to callers.
//! - [`response_channel`]: connections that send nothing but encoded responses.
//! - [`backpressure`]: slows servers down whose callers read slowly.
//! - [`stopping`]: ends callers' connections while the process stops.
//! - [`admin`]: readiness checks and metrics.
//! - [`updates`]: applies updates from the store and load digests of the
//!   other VMs.
//!
//! A single thread runs all of it: a VM has a quarter of a core, and handing
//! work to another thread costs more than the work itself.
//!
//! An exchange is one request of a caller with all its attempts at servers. The
//! main invariant: each exchange has one owner at a time, the queue or the
//! connection of its current attempt, and its caller gets one response.

mod admin;
mod announcements;
mod backpressure;
mod callers;
mod connections;
mod crashes;
mod dispatch;
mod duties;
mod ended;
mod lifts;
mod memory;
mod outcomes;
mod prefixes;
mod recording;
mod requests;
mod response_channel;
mod responses;
mod resumption;
mod run;
mod servers;
mod silence;
mod state;
mod stopping;
mod timers;
mod updates;

pub use run::{EdgeLoop, EdgeOptions, ServeError, SettingsSource};
