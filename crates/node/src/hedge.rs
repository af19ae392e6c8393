//! Second attempts of calls to the store whose answer is overdue.
//!
//! A lost answer is told from a slow one only by its timeout. A call that may be made twice is
//! made once more meanwhile.

use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use crate::platform::StoreError;

/// Makes a call, and if it has no result `after` this time, once more beside the first one.
/// Returns the first answer of the store, else the last failure.
pub(crate) async fn hedge<T, F>(after: Duration, call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut first = pin!(call());
    if let Ok(result) = timeout(after, &mut first).await {
        return result;
    }
    let mut second = pin!(call());
    tokio::select! {
        biased;
        result = &mut first => if is_answer(&result) { result } else { second.await },
        result = &mut second => if is_answer(&result) { result } else { first.await },
    }
}

fn is_answer<T>(result: &Result<T, StoreError>) -> bool {
    match result {
        Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost) => true,
        Err(StoreError::Refused | StoreError::NoAnswer) => false,
    }
}
