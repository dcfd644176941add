//! Where the entry's grants come from.
//!
//! [`LocalGrants`] asks a broker in this process. [`FleetGrants`] asks the
//! pool's broker wherever it is, and a local fallback while it can't be
//! reached. Both withdraw what nobody waits for any more, so that no grant
//! leaks when a caller hangs up.

mod fleet;
mod local;
mod peers;
mod remote;

#[cfg(test)]
mod tests;

pub use fleet::{FleetGrants, VmBrokers};
pub use local::LocalGrants;
pub use remote::{BrokerLocation, RemoteBrokers, UnreachableBroker};
