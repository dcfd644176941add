//! What VMs say to each other: heartbeats, configuration, grants.
