//! Cancellation of a future when another one completes first.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` until it completes or `stop` does, and returns the result of
/// `work` if it completed; `work` wins when both are ready.
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
