//! Ends of spawned tasks.
//!
//! The runtime catches the panic of a task and keeps it for whoever joins it. If nobody looks at
//! the result, whatever waits for the task waits forever, without a line in the log.

use tokio::task::JoinError;
use tokio::task::JoinSet;

/// Logs the end of a task that panicked; returns whether it did. An aborted task did not.
pub(crate) fn log_panic<T>(task: &str, ended: &Result<T, JoinError>) -> bool {
    let Err(error) = ended else { return false };
    if !error.is_panic() {
        return false;
    }
    tracing::error!(task, %error, "a task panicked");
    metrics::counter!("stoatwell_task_panics_total", "task" => task.to_owned()).increment(1);
    true
}

/// Removes the tasks that have ended; returns whether one of them panicked.
pub(crate) fn reap<T: 'static>(task: &str, tasks: &mut JoinSet<T>) -> bool {
    let mut has_panicked = false;
    while let Some(ended) = tasks.try_join_next() {
        has_panicked |= log_panic(task, &ended);
    }
    has_panicked
}
