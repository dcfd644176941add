//! HTTP client of the daemons' admin addresses.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use dewhttp::{CallRequest, reason_phrase};
use dewspring::admin::{DrainReport, ExplainReport, StatusReport};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::duties::DutyReport;

/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Status of a request for what a daemon doesn't know.
const NOT_FOUND: u16 = 404;

/// Maximum number of concurrent requests to daemons.
const MAX_PARALLEL_CALLS: usize = 32;

/// Error of a request to one daemon.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("daemon at {address}: {reason}")]
pub struct AdminError {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// Description of the failure.
    pub reason: String,
}

/// Answer of one daemon to a request sent to all daemons.
#[derive(Clone, Debug)]
pub struct DaemonAnswer<T> {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// The daemon's answer, or why there is none.
    pub answer: Result<T, AdminError>,
}

/// Client of all daemons' admin addresses.
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
    secret: String,
    timeout: Duration,
}

impl AdminClient {
    /// Creates a client; no connection is opened before the first request. An empty
    /// secret is not sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use dewctl::admin::AdminClient;
    ///
    /// let client = AdminClient::new(Vec::new(), "secret", Duration::from_secs(1));
    /// assert!(client.fetch_statuses().is_empty());
    /// ```
    pub fn new(addresses: Vec<SocketAddr>, secret: impl Into<String>, timeout: Duration) -> Self {
        Self {
            addresses,
            secret: secret.into(),
            timeout,
        }
    }

    /// Returns the number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.addresses.len()
    }

    /// Fetches the status of all daemons, in the order of the addresses.
    pub fn fetch_statuses(&self) -> Vec<DaemonAnswer<StatusReport>> {
        self.call_all(|address| self.call(address, "GET", "/v1/status"))
    }

    /// Fetches the explanations of a request from all daemons; `None` if a daemon
    /// doesn't know the request.
    pub fn fetch_explanations(&self, request: &str) -> Vec<DaemonAnswer<Option<ExplainReport>>> {
        let path = format!("/v1/explain/{request}");
        self.call_all(|address| self.call_optional(address, "GET", &path))
    }

    /// Fetches the duties that `dewnode` VMs show on their ready addresses, in the
    /// order of the addresses.
    pub fn fetch_duties(&self) -> Vec<DaemonAnswer<DutyReport>> {
        self.call_all(|address| self.call(address, "GET", "/duties"))
    }

    /// Starts the drain of one daemon.
    ///
    /// # Errors
    ///
    /// [`AdminError`]; the daemon may have started to drain nevertheless.
    pub fn drain(&self, address: SocketAddr) -> Result<DrainReport, AdminError> {
        self.call(address, "POST", "/v1/drain")
    }

    fn call_all<T: Send>(
        &self,
        call_daemon: impl Fn(SocketAddr) -> Result<T, AdminError> + Sync,
    ) -> Vec<DaemonAnswer<T>> {
        let call_daemon = &call_daemon;
        let mut answers = Vec::new();
        for batch in self.addresses.chunks(MAX_PARALLEL_CALLS) {
            thread::scope(|scope| {
                let calls: Vec<_> = batch
                    .iter()
                    .map(|address| (*address, scope.spawn(move || call_daemon(*address))))
                    .collect();
                for (address, call) in calls {
                    let answer = call.join().expect("a request to a daemon doesn't panic");
                    answers.push(DaemonAnswer { address, answer });
                }
            });
        }
        answers
    }

    fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
    ) -> Result<T, AdminError> {
        let answer = self.call_optional(address, method, path)?;
        answer.ok_or_else(|| admin_error(address, status_text(NOT_FOUND)))
    }

    /// Sends one request; `None` if the response status is 404 Not Found.
    fn call_optional<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
    ) -> Result<Option<T>, AdminError> {
        let token = format!("Bearer {}", self.secret);
        let authorization = [("Authorization", token.as_str())];
        let request = CallRequest {
            method,
            target: path,
            fields: match self.secret.is_empty() {
                true => &[],
                false => &authorization,
            },
            content: b"",
        };
        let response = request
            .send(address, self.timeout)
            .map_err(|error| admin_error(address, error))?;
        let status = response.status();
        // Also the status of a broken response says nothing.
        let content = response
            .read_all(MAX_RESPONSE_BYTES)
            .map_err(|error| admin_error(address, error))?;
        match status {
            200..300 => {}
            NOT_FOUND => return Ok(None),
            _ => return Err(admin_error(address, status_text(status))),
        }
        let answer = serde_json::from_slice(&content);
        answer
            .map(Some)
            .map_err(|error| admin_error(address, error))
    }
}

/// Returns the text of an error for a status.
fn status_text(status: u16) -> String {
    format!("response status {status} {}", reason_phrase(status))
}

fn admin_error(address: SocketAddr, reason: impl ToString) -> AdminError {
    AdminError {
        address,
        reason: reason.to_string(),
    }
}
