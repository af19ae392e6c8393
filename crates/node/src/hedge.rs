//! Repeated calls to the store whose answer is overdue.
//!
//! A lost answer is told from a slow one only by its timeout. A call that may be made several
//! times is made again meanwhile.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::platform::StoreError;

/// Calls that are made in all.
const CALLS_MAX: usize = 3;

/// Makes a call, and again beside the pending ones each time `after` passes without a result.
/// Returns the first answer of the store, or the last failure once none is pending.
pub(crate) async fn hedge<T, F>(after: Duration, call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut pending = vec![Box::pin(call())];
    let mut calls = 1;
    let mut overdue_at = Instant::now() + after;
    loop {
        tokio::select! {
            biased;
            result = next_result(&mut pending) => {
                if is_answer(&result) || pending.is_empty() {
                    return result;
                }
            }
            () = sleep_until(overdue_at), if calls < CALLS_MAX => {
                pending.push(Box::pin(call()));
                calls += 1;
                overdue_at += after;
            }
        }
    }
}

/// Waits until one of the calls has a result, and removes it.
async fn next_result<T, F: Future<Output = T>>(pending: &mut Vec<Pin<Box<F>>>) -> T {
    poll_fn(|context| {
        for index in 0..pending.len() {
            if let Poll::Ready(result) = pending[index].as_mut().poll(context) {
                drop(pending.swap_remove(index));
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    })
    .await
}

fn is_answer<T>(result: &Result<T, StoreError>) -> bool {
    match result {
        Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost | StoreError::Invalid) => {
            true
        }
        Err(StoreError::Refused | StoreError::NoAnswer) => false,
    }
}
