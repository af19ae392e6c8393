//! Workers that the leader calls directly although their zone has executors.
//!
//! A worker gets there when a call through its executor fails. It leaves when a direct call fails
//! as well, or when its executor is seen to reach it: once the link to the executor has worked
//! for a while, one hold is tried through it.
//!
//! After a start or a stop whose answer is overdue, the questions about it and its repetitions are
//! direct for a moment as well: another executor may have failed in the same way.

use std::collections::HashMap;

use stoatwell_model::WorkerId;

/// How long a link has to work before the first hold is tried through it. It is doubled with each
/// trial that fails, up to [`TRIAL_DELAY_MAX_MS`].
const TRIAL_DELAY_MIN_MS: u64 = 3_000;
/// Maximum of this time.
const TRIAL_DELAY_MAX_MS: u64 = 60_000;

/// For how long questions and repetitions are direct after an answer was overdue.
const FOLLOW_UP_MS: u64 = 2_000;

/// Workers that are called directly.
#[derive(Debug, Default)]
pub struct DirectWorkers {
    workers: HashMap<WorkerId, DirectWorker>,
    /// Until when questions and repetitions to these workers are direct.
    follow_ups: HashMap<WorkerId, u64>,
}

#[derive(Debug)]
struct DirectWorker {
    since_ms: u64,
    trial_delay_ms: u64,
    is_trial_pending: bool,
}

/// Which way a call to a worker takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Through its executor.
    Executor,
    /// From the leader itself.
    Direct,
}

impl DirectWorkers {
    /// The number of workers.
    pub fn count(&self) -> usize {
        self.workers.len()
    }

    /// Notes that a call through the executor failed.
    pub fn note_failure(&mut self, worker: &WorkerId, now_ms: u64) {
        if let Some(direct) = self.workers.get_mut(worker) {
            if std::mem::take(&mut direct.is_trial_pending) {
                direct.since_ms = now_ms;
                direct.trial_delay_ms = (direct.trial_delay_ms * 2).min(TRIAL_DELAY_MAX_MS);
            }
            return;
        }
        let direct = DirectWorker {
            since_ms: now_ms,
            trial_delay_ms: TRIAL_DELAY_MIN_MS,
            is_trial_pending: false,
        };
        self.workers.insert(worker.clone(), direct);
    }

    /// Notes that a call through the executor was answered by the worker.
    pub fn note_answer(&mut self, worker: &WorkerId) {
        if self.workers.get(worker).is_some_and(|direct| direct.is_trial_pending) {
            self.workers.remove(worker);
        }
    }

    /// Notes that a call was lost with its session, which tells nothing of the worker.
    pub fn note_loss(&mut self, worker: &WorkerId, now_ms: u64) {
        let Some(direct) = self.workers.get_mut(worker) else { return };
        if std::mem::take(&mut direct.is_trial_pending) {
            direct.since_ms = now_ms;
        }
    }

    /// Notes that the answer to a start or a stop is overdue.
    pub fn note_overdue(&mut self, worker: &WorkerId, now_ms: u64) {
        self.follow_ups.retain(|_, until_ms| *until_ms > now_ms);
        self.follow_ups.insert(worker.clone(), now_ms + FOLLOW_UP_MS);
    }

    /// Notes that a start or a stop was answered, so that nothing is left to ask.
    pub fn end_follow_up(&mut self, worker: &WorkerId) {
        self.follow_ups.remove(worker);
    }

    /// Whether a question or a repetition is direct.
    pub fn is_followed_up(&self, worker: &WorkerId, now_ms: u64) -> bool {
        self.follow_ups.get(worker).is_some_and(|until_ms| *until_ms > now_ms)
    }

    /// Removes a worker that a direct call does not reach either.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
        self.follow_ups.remove(worker);
    }

    /// Which way a call takes if the link to the worker's executor has worked since
    /// `link_open_ms`. Of a worker that is called directly, only a hold may be a trial, and only
    /// one at a time.
    pub fn way(&mut self, worker: &WorkerId, is_hold: bool, link_open_ms: u64, now_ms: u64) -> Way {
        let Some(direct) = self.workers.get_mut(worker) else { return Way::Executor };
        let worked_ms = now_ms.saturating_sub(link_open_ms.max(direct.since_ms));
        if !is_hold || direct.is_trial_pending || worked_ms < direct.trial_delay_ms {
            return Way::Direct;
        }
        direct.is_trial_pending = true;
        Way::Executor
    }
}
