//! Leases of silent workers, which a successor takes over.
//!
//! The runs of a worker that does not answer start elsewhere once its lease has certainly
//! expired. A new leader does not know when that is: its predecessor may have extended the
//! lease until the end. Without more knowledge every change of leader restarts the wait, and the
//! runs of a dead worker wait for as long as leaders change.
//!
//! So the leader lease names the silent workers, with the time after which their leases have
//! expired. It names an incarnation that has not answered yet at once: calls for the former one may
//! still take effect there, and a successor does not know for how long. While a worker is named
//! there, its lease is not extended and nothing is started on it, also if it answers again: the time
//! in the row would no longer hold. The worker is released once a later row that does not name it is
//! durable.
//!
//! While this process stands still, answers wait or are lost, so only the time since then counts
//! as silence.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::workers::worker::Worker;

/// How long a worker is silent before the leader lease names it. A worker that answers again
/// gets no new tasks until the next renewal of the leader lease, so short silence is left out.
const SILENCE_MIN_MS: u64 = 1_500;
/// Maximum workers that the leader lease names. The row is rewritten twice a second.
const SILENT_LEASES_MAX: usize = 64;

/// The lease of a worker that does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentLease {
    /// The worker's name.
    pub worker: WorkerId,
    /// The local time after which the lease has certainly expired.
    pub expires_ms: u64,
}

/// The leases that the leader lease has to name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilentLeases {
    /// Rises with each change of the list.
    pub generation: u64,
    /// The leases, by worker.
    pub leases: Vec<SilentLease>,
}

/// Marks a worker that the leader lease names, or may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SilentMark {
    pub since_ms: u64,
    /// The first list without the worker; `None` while it is in the list.
    dropped_in: Option<u64>,
}

impl SilentMark {
    pub fn new(since_ms: u64) -> Self {
        Self { since_ms, dropped_in: None }
    }
}

impl Pool {
    /// The leases that the next row of the leader lease has to name.
    pub fn silent_leases(&self) -> &SilentLeases {
        &self.silent_leases
    }

    /// Handles that a row with this generation of [`Self::silent_leases`] is durable.
    pub fn on_silent_leases_written(&mut self, generation: u64) {
        if generation <= self.silent_leases_written {
            return;
        }
        self.silent_leases_written = generation;
        let is_dropped = |worker: &Worker| {
            let dropped_in = worker.silent.and_then(|mark| mark.dropped_in);
            dropped_in.is_some_and(|dropped_in| dropped_in <= generation)
        };
        let dropped = self.workers.iter().filter(|(_, worker)| is_dropped(worker));
        let dropped: Vec<WorkerId> = dropped.map(|(name, _)| name.clone()).collect();
        for name in dropped {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            tracing::info!(worker = %name, "worker answers again; its lease may be extended");
            worker.silent = None;
            worker.next_hold_ms = self.now_ms;
            self.hold_timers.mark_changed(worker.index);
            self.cycle_due = true;
        }
    }

    /// The time after which every lease that an earlier leader granted to a worker has certainly
    /// expired.
    pub(crate) fn inherited_lease_expiry_ms(&self, name: &WorkerId) -> u64 {
        let remaining_ms = self.election.silent_leases.get(name);
        let default_ms = self.earlier_lease_expiry_ms();
        // It may be longer for an incarnation that has not answered yet.
        remaining_ms.map_or(default_ms, |remaining_ms| self.started_ms + remaining_ms)
    }

    /// Whether the leader lease already named the worker when this leader acquired it.
    pub(crate) fn inherited_silent_mark(&self, name: &WorkerId) -> Option<SilentMark> {
        let is_named = self.election.silent_leases.contains_key(name);
        is_named.then(|| SilentMark::new(self.now_ms))
    }

    /// Updates the list of silent workers.
    pub(crate) fn update_silent_leases(&mut self) {
        let next_generation = self.silent_leases.generation + 1;
        let mut leases = Vec::new();
        let mut has_changed = false;
        // Only the workers whose mark changes are accessed mutably, since the next cycle reads
        // those again.
        let mut marks: Vec<(WorkerId, SilentMark)> = Vec::new();
        for (name, worker) in &self.workers {
            let is_named =
                leases.len() < SILENT_LEASES_MAX && is_silent(worker, self.now_ms, self.resumed_ms);
            if is_named {
                let expires_ms = self.runs_expiry_ms(worker);
                leases.push(SilentLease { worker: name.clone(), expires_ms });
            }
            match worker.silent {
                None if is_named => marks.push((name.clone(), SilentMark::new(self.now_ms))),
                Some(mark) if is_named && mark.dropped_in.is_some() => {
                    has_changed = true;
                    marks.push((name.clone(), SilentMark { dropped_in: None, ..mark }));
                }
                Some(mark) if !is_named && mark.dropped_in.is_none() => {
                    has_changed = true;
                    let dropped_in = Some(next_generation);
                    marks.push((name.clone(), SilentMark { dropped_in, ..mark }));
                }
                _ => {}
            }
        }
        for (name, mark) in marks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.silent = Some(mark);
            }
        }
        if has_changed || leases != self.silent_leases.leases {
            self.silent_leases = SilentLeases { generation: next_generation, leases };
        }
    }
}

/// Whether the lease of a worker with tasks is to be named: the worker has not answered for so long,
/// or never in its present incarnation, or not since it was named.
fn is_silent(worker: &Worker, now_ms: u64, resumed_ms: u64) -> bool {
    if worker.tasks.is_empty() {
        return false;
    }
    if let Some(mark) = worker.silent {
        return worker.answered_ms <= mark.since_ms;
    }
    if worker.awaits_first_answer() {
        return true;
    }
    let since_ms = worker.answered_ms.max(resumed_ms);
    worker.unanswered_calls > 0 && since_ms + SILENCE_MIN_MS < now_ms
}
