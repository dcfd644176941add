//! Tests of the stores and the lists of VMs.

mod embedded;
mod gateway;
mod servers;
