//! Where the entry's grants come from.
//!
//! [`LocalGrants`] asks a broker in this process. It withdraws what nobody
//! waits for any more, so that no grant leaks when a caller hangs up.

mod local;

pub use local::LocalGrants;
