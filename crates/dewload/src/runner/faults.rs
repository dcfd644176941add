//! Sending of scheduled faults to the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use dewhttp::CallRequest;

use crate::target::NamedServer;
use crate::workload::FaultSpec;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum bytes of the response to a command.
const MAX_CONTROL_BYTES: usize = 1 << 20;

/// One fault with the address of its server.
struct ScheduledFault {
    at: Duration,
    server: String,
    address: SocketAddr,
    body: String,
}

/// Starts a thread that sends the faults at their times and returns the errors
/// of those that failed.
pub(super) fn spawn_faults(
    faults: &[FaultSpec],
    servers: &[NamedServer],
    started: Instant,
) -> io::Result<JoinHandle<Vec<String>>> {
    let mut schedule = faults
        .iter()
        .map(|spec| resolve(spec, servers))
        .collect::<io::Result<Vec<ScheduledFault>>>()?;
    schedule.sort_by_key(|fault| fault.at);
    thread::Builder::new().spawn(move || {
        let mut errors = Vec::new();
        for fault in schedule {
            let due = started + fault.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Err(error) = send(&fault) {
                errors.push(format!("{} at {:?}: {error}", fault.server, fault.at));
            }
        }
        errors
    })
}

fn resolve(spec: &FaultSpec, servers: &[NamedServer]) -> io::Result<ScheduledFault> {
    let server = servers.iter().find(|server| server.name == spec.server);
    let address = match server {
        Some(server) => server.address,
        None => spec.server.parse().map_err(|_| {
            let reason = format!("no flag names the server {} of a fault", spec.server);
            io::Error::new(io::ErrorKind::InvalidInput, reason)
        })?,
    };
    Ok(ScheduledFault {
        at: Duration::from_secs_f64(spec.at_seconds),
        server: spec.server.clone(),
        address,
        body: spec.control.clone(),
    })
}

fn send(fault: &ScheduledFault) -> io::Result<()> {
    let request = CallRequest {
        method: "POST",
        target: "/control",
        fields: &[],
        content: fault.body.as_bytes(),
    };
    let response = request.send(fault.address, CONTROL_TIMEOUT)?;
    let status = response.status();
    response.read_all(MAX_CONTROL_BYTES)?;
    match status {
        200..300 => Ok(()),
        _ => Err(io::Error::other(format!("status {status}"))),
    }
}
