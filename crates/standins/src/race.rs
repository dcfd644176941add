//! Waiting for a future only as long as its caller is still there.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` until it ends or `stop` ends; the work comes first when both
/// are ready.
pub(crate) async fn race<T>(
    work: impl Future<Output = T>,
    stop: impl Future<Output = ()>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut stop = pin!(stop);
    poll_fn(|context| {
        if let Poll::Ready(value) = work.as_mut().poll(context) {
            return Poll::Ready(Some(value));
        }
        stop.as_mut().poll(context).map(|()| None)
    })
    .await
}
