//! Calls to the daemons' admin addresses.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use dewspring::admin::{DrainReport, ExplainReport, StatusReport};
use oxhttp::Client;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::{Body, Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Number of daemons that are asked at once.
const PARALLEL_CALLS: usize = 32;

/// Why a daemon gave no usable answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("daemon at {address}: {reason}")]
pub struct AdminError {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// One daemon's answer to a question to all.
#[derive(Clone, Debug)]
pub struct DaemonAnswer<T> {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// Its answer.
    pub answer: Result<T, AdminError>,
}

/// A client of all daemons' admin addresses.
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
    secret: String,
    timeout: Duration,
}

impl AdminClient {
    /// Opens a client; no connection is made before the first call.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use dewctl::admin::AdminClient;
    ///
    /// let client = AdminClient::open(Vec::new(), "secret", Duration::from_secs(1));
    /// assert!(client.status_of_all().is_empty());
    /// ```
    pub fn open(addresses: Vec<SocketAddr>, secret: impl Into<String>, timeout: Duration) -> Self {
        Self {
            addresses,
            secret: secret.into(),
            timeout,
        }
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> usize {
        self.addresses.len()
    }

    /// Asks all daemons for their status, in the order of the settings.
    pub fn status_of_all(&self) -> Vec<DaemonAnswer<StatusReport>> {
        self.ask_all(|address| self.call(address, Method::GET, "/v1/status"))
    }

    /// Asks all daemons what they know of a request; `None` is nothing.
    pub fn explain_on_all(&self, request: &str) -> Vec<DaemonAnswer<Option<ExplainReport>>> {
        let path = format!("/v1/explain/{request}");
        self.ask_all(|address| self.call_if_known(address, Method::GET, &path))
    }

    /// Tells one daemon to leave.
    ///
    /// # Errors
    ///
    /// [`AdminError`]; the daemon may have begun to leave all the same.
    pub fn drain(&self, address: SocketAddr) -> Result<DrainReport, AdminError> {
        self.call(address, Method::POST, "/v1/drain")
    }

    fn ask_all<T: Send>(
        &self,
        ask: impl Fn(SocketAddr) -> Result<T, AdminError> + Sync,
    ) -> Vec<DaemonAnswer<T>> {
        let ask = &ask;
        let mut answers = Vec::new();
        for batch in self.addresses.chunks(PARALLEL_CALLS) {
            thread::scope(|scope| {
                let calls: Vec<_> = batch
                    .iter()
                    .map(|address| (*address, scope.spawn(move || ask(*address))))
                    .collect();
                for (address, call) in calls {
                    let answer = call.join().expect("a call to a daemon doesn't panic");
                    answers.push(DaemonAnswer { address, answer });
                }
            });
        }
        answers
    }

    fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<T, AdminError> {
        let answer = self.call_if_known(address, method, path)?;
        answer.ok_or_else(|| admin_error(address, "the answer is 404 Not Found"))
    }

    /// Calls one daemon; `None` if it answers that the path is unknown.
    fn call_if_known<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<Option<T>, AdminError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.secret))
            .body(Body::empty())
            .map_err(|error| admin_error(address, error))?;
        let client = Client::new().with_global_timeout(self.timeout);
        let response = client
            .request(request)
            .map_err(|error| admin_error(address, error))?;
        match response.status() {
            StatusCode::NOT_FOUND => return Ok(None),
            status if !status.is_success() => {
                return Err(admin_error(address, format!("the answer is {status}")));
            }
            _ => {}
        }
        let mut bytes = Vec::new();
        response
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|error| admin_error(address, error))?;
        let answer = serde_json::from_slice(&bytes);
        answer
            .map(Some)
            .map_err(|error| admin_error(address, error))
    }
}

fn admin_error(address: SocketAddr, reason: impl ToString) -> AdminError {
    AdminError {
        address,
        reason: reason.to_string(),
    }
}
