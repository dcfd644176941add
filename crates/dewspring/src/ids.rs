//! Type aliases for the names and numbers that identify things.
//!
//! Names come from the operators' tables or from the settings; numbers are
//! given out by the daemons. A number that a VM gives out is unique only
//! together with the [`VmId`] and the [`BootId`] of that VM.

/// Number drawn at the start of a daemon, new on each start.
pub type BootId = u64;

/// Name of a class of requests, as in the routes table.
pub type ClassName = String;

/// Name of a data centre, as in the pools table and the settings.
pub type DataCentreName = String;

/// Number that rises with each new holder of a lease.
pub type FencingNumber = u64;

/// Number of a grant, unique for one broker VM and boot.
pub type GrantId = u64;

/// Name of a pool of backend servers.
pub type PoolName = String;

/// Identity of one caller's request, unique in the fleet.
pub type RequestId = String;

/// Number of an accepted configuration, rising by one for each change.
pub type Revision = u64;

/// Name of a route.
pub type RouteName = String;

/// Name of a backend server, unique in the pools table.
pub type ServerName = String;

/// Priority of a class: 0 is the highest.
pub type TierLevel = u8;

/// Amount of model work in tokens.
pub type TokenCount = u64;

/// Name of a VM of the fleet.
pub type VmId = String;

/// Name of the workspace that a request belongs to.
pub type WorkspaceId = String;
