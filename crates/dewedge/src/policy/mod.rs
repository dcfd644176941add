//! The decisions of the entry, as plain functions without a network.
//!
//! - [`placement`] chooses a server.
//! - [`queue`] orders the requests that wait for one.
//! - [`refusal`] decides who is refused, and when to come back.
//! - [`retries`] bounds repeated sends.
//! - [`health`] judges a server by the outcomes of this VM's own requests.
//! - [`warmup`] lets the VMs begin with a new server one after another.
//!
//! The main invariant: nothing here reads a clock or a socket; time and state
//! are arguments.

pub mod health;
pub mod placement;
pub mod queue;
pub mod refusal;
pub mod retries;
pub mod warmup;
