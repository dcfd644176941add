//! Implementations of the entry's [`GrantSource`](crate::entry::GrantSource).
//!
//! A broker decides which requests of a pool may run and at which server; its
//! permission for one request is a grant. [`LocalGrants`] requests grants from a
//! broker in this process. [`FleetGrants`] requests them from the pool's broker
//! on any VM, and from a local fallback while that broker is unreachable. Both
//! withdraw a grant request when its future is dropped, so that no grant leaks
//! when a caller disconnects.

mod fleet;
mod local;
mod peers;
mod remote;

#[cfg(test)]
mod tests;

pub use fleet::{FleetGrants, VmBrokers};
pub use local::LocalGrants;
pub use remote::{BrokerLocation, RemoteBrokerError, RemoteBrokers};
