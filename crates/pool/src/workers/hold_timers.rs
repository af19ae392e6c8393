//! Which workers may be due for a hold.
//!
//! Holds are answered thousands of times a second, and each answer makes one hold due. Looking
//! through all workers each time would cost the square of their number.

use std::collections::BTreeSet;

use crate::workers::worker::WorkerIndex;

/// Workers to be examined for a due hold.
#[derive(Debug, Default)]
pub(crate) struct HoldTimers {
    /// Workers that something happened to since they were last examined.
    changed: BTreeSet<WorkerIndex>,
    /// Workers with a delayed hold, by the time from which on it is due.
    delayed: BTreeSet<(u64, WorkerIndex)>,
}

impl HoldTimers {
    /// Requests that a worker is examined in this turn.
    pub fn mark_changed(&mut self, worker: WorkerIndex) {
        self.changed.insert(worker);
    }

    /// Requests that a worker is examined at `due_ms`.
    pub fn delay(&mut self, worker: WorkerIndex, due_ms: u64) {
        self.delayed.insert((due_ms, worker));
    }

    /// Takes the workers to be examined now.
    pub fn take_due(&mut self, now_ms: u64) -> BTreeSet<WorkerIndex> {
        let mut due = std::mem::take(&mut self.changed);
        while let Some((due_ms, worker)) = self.delayed.first().copied() {
            if due_ms > now_ms {
                break;
            }
            self.delayed.pop_first();
            due.insert(worker);
        }
        due
    }

    /// When the next delayed hold is due.
    pub fn next_ms(&self) -> Option<u64> {
        self.delayed.first().map(|(due_ms, _)| *due_ms)
    }
}
