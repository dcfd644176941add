//! The settings of the peer duty.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{BootId, DataCentreName, VmId};
use crate::settings::SharedSecret;

/// Time between two readings of the platform's list, unless set otherwise.
const DEFAULT_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Who this VM is and how it takes part in the fleet.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of the VM, as in the platform's list.
    pub vm: VmId,
    /// Boot of this daemon.
    pub boot: BootId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentreName,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that others are told; `None` means the one listened on.
    pub advertised: Option<SocketAddr>,
    /// The secret that all VMs of the fleet share.
    pub secret: SharedSecret,
    /// Time between two readings of the platform's list.
    pub list_interval: Duration,
    /// Seed of the generator that draws targets.
    pub seed: u64,
}

impl PeerSettings {
    /// Returns settings with the usual intervals.
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
