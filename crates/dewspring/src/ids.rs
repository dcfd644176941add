//! Type aliases for names, identifiers and quantities.
//!
//! Names come from the operators' tables or from the settings; daemons assign
//! the numeric identifiers. A number that a VM assigns is unique only together
//! with the [`VmId`] and the [`BootId`] of that VM.

/// Random identifier of one start of a daemon.
pub type BootId = u64;

/// Name of a class of requests in the routes table.
pub type ClassName = String;

/// Name of a data centre in the pools table and the settings.
pub type DataCentreName = String;

/// Fencing number of a lease, which increases with each new holder.
pub type FencingNumber = u64;

/// Identifier of a grant, unique for one broker VM and boot.
pub type GrantId = u64;

/// Name of a pool of backend servers.
pub type PoolName = String;

/// Identifier of a caller's request, unique in the fleet.
pub type RequestId = String;

/// Number of an accepted configuration, incremented by one for each change.
pub type Revision = u64;

/// Name of a route.
pub type RouteName = String;

/// Name of a backend server, unique in the pools table.
pub type ServerName = String;

/// Priority of a class: 0 is the highest.
pub type TierLevel = u8;

/// Amount of model work, in tokens.
pub type TokenCount = u64;

/// Name of a VM, unique in the fleet.
pub type VmId = String;

/// Name of a workspace, to which requests belong.
pub type WorkspaceId = String;
