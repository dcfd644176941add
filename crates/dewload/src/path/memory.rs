//! Resident memory and threads of a process, read from `/proc`.

use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Resident memory and thread count of a process at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(super) struct ProcessUsage {
    pub(super) resident_kib: u64,
    pub(super) threads: u64,
}

impl ProcessUsage {
    pub(super) fn read(pid: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let value = line.and_then(|line| line.split_whitespace().next());
            value
                .and_then(|value| value.parse().ok())
                .ok_or_else(|| io::Error::other(format!("no {name} in the status of {pid}")))
        };
        Ok(Self {
            resident_kib: field("VmRSS:")?,
            threads: field("Threads:")?,
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            resident_kib: self.resident_kib.max(other.resident_kib),
            threads: self.threads.max(other.threads),
        }
    }
}

/// Usage before any stream, and peak usage with open streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(super) struct MemoryUsage {
    pub(super) idle: ProcessUsage,
    pub(super) peak: ProcessUsage,
}

/// Samples a process while routed streams are open.
pub(super) struct MemoryMonitor {
    pid: u32,
    usage: MemoryUsage,
    sampler: Option<MemorySampler>,
}

struct MemorySampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<ProcessUsage>,
}

impl MemoryMonitor {
    /// Creates the monitor; `idle` is the usage before any stream.
    pub(super) fn new(pid: u32, idle: ProcessUsage) -> Self {
        Self {
            pid,
            usage: MemoryUsage { idle, peak: idle },
            sampler: None,
        }
    }

    pub(super) fn begin_round(&mut self) -> io::Result<()> {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (pid, flag) = (self.pid, Arc::clone(&is_stopped));
        let thread = thread::Builder::new().spawn(move || sample_peak(pid, &flag))?;
        self.sampler = Some(MemorySampler { is_stopped, thread });
        Ok(())
    }

    pub(super) fn end_round(&mut self) {
        let Some(sampler) = self.sampler.take() else {
            return;
        };
        sampler.is_stopped.store(true, Ordering::Relaxed);
        let peak = sampler.thread.join().expect("the sampler does not panic");
        self.usage.peak = self.usage.peak.max(peak);
    }

    pub(super) fn finish(mut self) -> MemoryUsage {
        self.end_round();
        self.usage
    }
}

fn sample_peak(pid: u32, is_stopped: &AtomicBool) -> ProcessUsage {
    let mut peak = ProcessUsage::default();
    while !is_stopped.load(Ordering::Relaxed) {
        // Reading fails if the process has exited.
        if let Ok(usage) = ProcessUsage::read(pid) {
            peak = peak.max(usage);
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    peak
}
