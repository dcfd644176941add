//! Estimates true time from the clocks of several VMs.
