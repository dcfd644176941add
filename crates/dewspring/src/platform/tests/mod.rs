//! Tests of the stores and the lists of VMs.

mod backoff;
mod embedded;
pub(crate) mod faulty;
mod gateway;
mod servers;
