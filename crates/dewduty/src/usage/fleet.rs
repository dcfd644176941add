//! The VMs whose counts a report waits for.
//!
//! Main invariant: a VM is represented by the process that was first heard last,
//! because its clock may be wrong and doesn't tell which one is newer.

use std::time::Duration;

use indexmap::IndexMap;

use super::{MAX_VMS, UsageShare, VmHash, WindowIndex};

/// Maximum number of processes of a VM that are told apart.
const MAX_STARTS: usize = 4;

/// A process of a VM.
#[derive(Clone, Copy, Debug)]
struct VmProcess {
    started: u64,
    first: WindowIndex,
    /// Window after which it counts nothing.
    last: Option<WindowIndex>,
}

/// A VM that is known or was heard.
#[derive(Clone, Debug)]
struct FleetVm {
    is_listed: bool,
    seen: Duration,
    /// Its processes, in the order in which they were first heard.
    processes: Vec<VmProcess>,
}

/// The VMs of the fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetVms {
    vms: IndexMap<VmHash, FleetVm>,
}

impl FleetVms {
    /// Sets the VMs that are known, and forgets others that were not heard for some
    /// time.
    pub(super) fn set_listed(
        &mut self,
        listed: impl IntoIterator<Item = VmHash>,
        unix: Duration,
        forget_age: Duration,
    ) {
        for vm in self.vms.values_mut().filter(|vm| vm.is_listed) {
            vm.is_listed = false;
            vm.seen = vm.seen.max(unix);
        }
        for vm in listed {
            if let Some(vm) = self.entry(vm, unix) {
                vm.is_listed = true;
            }
        }
        let oldest = unix.saturating_sub(forget_age);
        self.vms.retain(|_, vm| vm.is_listed || vm.seen >= oldest);
    }

    /// Learns from a share about its sender; returns whether there is room for it.
    pub(super) fn note_share(&mut self, share: &UsageShare, unix: Duration) -> bool {
        let Some(vm) = self.entry(share.vm, unix) else {
            return false;
        };
        let mut processes = vm.processes.iter();
        let known = processes.position(|process| process.started == share.started);
        let index = known.unwrap_or_else(|| {
            if vm.processes.len() >= MAX_STARTS {
                vm.processes.remove(0);
            }
            vm.processes.push(VmProcess {
                started: share.started,
                first: share.first,
                last: None,
            });
            vm.processes.len() - 1
        });
        let process = &mut vm.processes[index];
        process.first = process.first.min(share.first);
        if share.is_last {
            process.last = process.last.max(Some(share.window));
        }
        true
    }

    /// Returns the known VMs that can have counted in a window.
    pub(super) fn counting_vms(&self, window: WindowIndex) -> impl Iterator<Item = VmHash> + '_ {
        let began_later = move |vm: &FleetVm| {
            let mut processes = vm.processes.iter();
            !vm.processes.is_empty() && processes.all(|process| process.first > window)
        };
        let counting = move |&(_, vm): &(&VmHash, &FleetVm)| vm.is_listed && !began_later(vm);
        self.vms.iter().filter(counting).map(|(&vm, _)| vm)
    }

    /// Returns the VMs whose counts of a window may still grow: known ones and those
    /// seen since a moment. `is_complete` tells of a VM and the start of its process
    /// whether its counts are final.
    pub(super) fn missing_vms(
        &self,
        window: WindowIndex,
        seen_since: Duration,
        is_complete: impl Fn(VmHash, u64) -> bool,
    ) -> Vec<VmHash> {
        let is_done = |vm: VmHash, processes: &[VmProcess]| {
            processes.last().is_some_and(|process| {
                let is_over = process.last.is_some_and(|last| last < window);
                process.first > window || is_over || is_complete(vm, process.started)
            })
        };
        let awaited = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_listed || vm.seen >= seen_since);
        let missing = awaited.filter(|&(&vm, entry)| !is_done(vm, &entry.processes));
        missing.map(|(&vm, _)| vm).collect()
    }

    /// Returns the entry of a VM, if there is room for it.
    fn entry(&mut self, vm: VmHash, unix: Duration) -> Option<&mut FleetVm> {
        if self.vms.len() >= MAX_VMS && !self.vms.contains_key(&vm) {
            return None;
        }
        let entry = self.vms.entry(vm).or_insert(FleetVm {
            is_listed: false,
            seen: unix,
            processes: Vec::new(),
        });
        entry.seen = entry.seen.max(unix);
        Some(entry)
    }
}
