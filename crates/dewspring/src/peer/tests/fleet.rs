//! Names, identities and list entries of test VMs.

use std::net::{Ipv4Addr, SocketAddr};

use crate::ids::{BootId, VmId};
use crate::peer::{VmEndpoint, VmIdentity};
use crate::store::{VmEntry, VmState};

/// Number of data centres over which the VMs are distributed.
const DATA_CENTRES: usize = 3;

pub(super) fn vm_name(index: usize) -> VmId {
    format!("dewspring-{index:03}")
}

pub(super) fn vm_index(vm: &VmId) -> usize {
    let (_, index) = vm.rsplit_once('-').expect("names end in a number");
    index.parse().expect("names end in a number")
}

pub(super) fn identity(index: usize, boot: BootId) -> VmIdentity {
    let host = u8::try_from(index % 250).expect("it is below 250") + 1;
    let net = u8::try_from(index / 250).expect("the fleet is small");
    VmIdentity {
        vm: vm_name(index),
        boot,
        endpoint: VmEndpoint {
            address: SocketAddr::from((Ipv4Addr::new(10, 20, net, host), 7401)),
            data_centre: format!("dk-east-{}", index % DATA_CENTRES),
        },
    }
}

pub(super) fn list_entry(index: usize, state: VmState) -> VmEntry {
    let identity = identity(index, 0);
    VmEntry {
        vm: identity.vm,
        address: identity.endpoint.address,
        data_centre: identity.endpoint.data_centre,
        state,
    }
}
