//! The callers' connections that carry no accepted request.
//!
//! When all connections are in use, the one that has carried none for longest is
//! closed, so that callers who hold connections don't keep others out.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::body::{ResponseBody, TruncatedResponse};

type ConnectionId = u64;

#[derive(Debug)]
struct OpenConnection {
    /// Accepted requests that aren't answered.
    requests: usize,
    /// Since when there are none.
    unused_since: Instant,
    close: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct RegistryState {
    next_id: ConnectionId,
    open: IndexMap<ConnectionId, OpenConnection>,
}

/// All open connections of callers.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionRegistry(Arc<Mutex<RegistryState>>);

impl ConnectionRegistry {
    /// Adds a connection; returns its handle, and what completes when it is to be
    /// closed.
    pub(super) fn open(&self) -> (ConnectionHandle, oneshot::Receiver<()>) {
        let (close, closed) = oneshot::channel();
        let mut state = self.lock();
        state.next_id += 1;
        let id = state.next_id;
        let connection = OpenConnection {
            requests: 0,
            unused_since: Instant::now(),
            close,
        };
        state.open.insert(id, connection);
        drop(state);
        let registry = self.clone();
        let entry = Arc::new(RegistryEntry { registry, id });
        (ConnectionHandle(entry), closed)
    }

    /// Closes the connection that has been unused for longest, if that is at least
    /// `min_time`; returns whether there is one.
    pub(super) fn close_unused(&self, min_time: Duration) -> bool {
        let mut state = self.lock();
        let unused = state.open.iter().filter(|(_, open)| open.requests == 0);
        let oldest = unused.min_by_key(|(_, open)| open.unused_since);
        let Some((&id, open)) = oldest else {
            return false;
        };
        if open.unused_since.elapsed() < min_time {
            return false;
        }
        let open = state.open.swap_remove(&id);
        // The connection may have ended just now.
        open.is_some_and(|open| open.close.send(()).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        // The map is valid between any two of its operations.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct RegistryEntry {
    registry: ConnectionRegistry,
    id: ConnectionId,
}

impl Drop for RegistryEntry {
    fn drop(&mut self) {
        self.registry.lock().open.swap_remove(&self.id);
    }
}

/// A connection in the registry; it is removed with the last clone.
#[derive(Clone, Debug)]
pub(super) struct ConnectionHandle(Arc<RegistryEntry>);

impl ConnectionHandle {
    /// Keeps the connection open until the guard of its accepted request is dropped;
    /// `None` if it is being closed, so that the request must not run.
    pub(super) fn accept_request(&self) -> Option<AcceptedGuard> {
        let mut state = self.0.registry.lock();
        state.open.get_mut(&self.0.id)?.requests += 1;
        Some(AcceptedGuard(self.clone()))
    }
}

/// An accepted request of a connection that isn't answered.
#[derive(Debug)]
pub(super) struct AcceptedGuard(ConnectionHandle);

impl Drop for AcceptedGuard {
    fn drop(&mut self) {
        let entry = &self.0.0;
        if let Some(open) = entry.registry.lock().open.get_mut(&entry.id) {
            open.requests -= 1;
            open.unused_since = Instant::now();
        }
    }
}

/// The body of a response that keeps its connection open until it is read.
#[derive(Debug)]
pub(super) struct GuardedBody {
    pub(super) body: ResponseBody,
    pub(super) _guard: Option<AcceptedGuard>,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
