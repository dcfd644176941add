//! Settings of the peer worker.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{BootId, DataCentreName, VmId};
use crate::settings::SharedSecret;

/// Default interval between two reads of the platform's list.
const DEFAULT_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Identity of the local VM and settings of its peer worker.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of the VM, as in the platform's list.
    pub vm: VmId,
    /// Boot of this daemon.
    pub boot: BootId,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other VMs connect to; `None` means the bound address.
    pub advertised: Option<SocketAddr>,
    /// Secret that all VMs of the fleet share.
    pub secret: SharedSecret,
    /// Interval between two reads of the platform's list.
    pub list_interval: Duration,
    /// Seed of the random choice of heartbeat targets.
    pub seed: u64,
}

impl PeerSettings {
    /// Creates settings with the default list interval and the boot as seed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::peer::PeerSettings;
    /// use dewspring::settings::SharedSecret;
    ///
    /// let secret = SharedSecret::new("0123456789abcdef0123456789abcdef")?;
    /// let listen = "127.0.0.1:7401".parse().unwrap();
    /// let settings = PeerSettings::new("vm-1", 7, "dc-1", listen, secret);
    /// assert_eq!(settings.boot, 7);
    /// # Ok::<(), dewspring::settings::SecretError>(())
    /// ```
    pub fn new(
        vm: impl Into<VmId>,
        boot: BootId,
        data_centre: impl Into<DataCentreName>,
        listen: SocketAddr,
        secret: SharedSecret,
    ) -> Self {
        PeerSettings {
            vm: vm.into(),
            boot,
            data_centre: data_centre.into(),
            listen,
            advertised: None,
            secret,
            list_interval: DEFAULT_LIST_INTERVAL,
            seed: boot,
        }
    }
}
