//! The configuration in force: watched, spread between VMs, never stepping back.
