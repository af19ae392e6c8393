//! State that the lease holder keeps for each worker.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;

/// A worker on which this daemon holds the lease.
#[derive(Debug)]
pub(crate) struct HeldWorker {
    /// The fencing token of the lease.
    pub(crate) token: Token,
    /// Tasks that the worker runs, and ended ones that it has not forgotten yet.
    pub(crate) tasks: BTreeMap<AttemptId, TrackedTask>,
    /// Starts that have not been sent yet.
    pub(crate) unsent_starts: Vec<StartTask>,
    /// Starts that were sent and not yet answered; the next call repeats them.
    pub(crate) unanswered_starts: BTreeMap<AttemptId, StartTask>,
    /// Stops that have yet to be sent.
    pub(crate) stops: Vec<(AttemptId, StopMode)>,
    /// Ended attempts that the next lease renewal allows the worker to forget.
    pub(crate) acks: Vec<AttemptId>,
    /// Whether a start or stop call awaits its reply.
    pub(crate) call_in_flight: bool,
    /// Earliest time of the next start or stop call; set after a failed one.
    pub(crate) not_before_ms: UnixMs,
}

/// A task on a held worker, running or ended.
#[derive(Clone, Debug)]
pub(crate) struct TrackedTask {
    /// The state last reported by the worker.
    pub(crate) state: TaskState,
    /// The coordinator of its job, which receives the reports about it.
    pub(crate) coordinator: DaemonId,
    /// When it was first observed to have ended; 0 while it runs.
    pub(crate) ended_ms: UnixMs,
}

impl HeldWorker {
    pub(crate) fn new(token: Token) -> Self {
        Self {
            token,
            tasks: BTreeMap::new(),
            unsent_starts: Vec::new(),
            unanswered_starts: BTreeMap::new(),
            stops: Vec::new(),
            acks: Vec::new(),
            call_in_flight: false,
            not_before_ms: 0,
        }
    }

    /// Whether no task runs and no start is queued or unanswered.
    pub(crate) fn is_idle(&self) -> bool {
        let running = self.tasks.values().any(|task| task.state.is_running());
        !running && self.unsent_starts.is_empty() && self.unanswered_starts.is_empty()
    }

    /// Whether starts or stops have to be sent, or sent again.
    pub(crate) fn has_pending_calls(&self) -> bool {
        !self.unsent_starts.is_empty()
            || !self.stops.is_empty()
            || !self.unanswered_starts.is_empty()
    }

    /// Whether the worker has the attempt, or a start for it is queued or unanswered.
    pub(crate) fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.tasks.contains_key(&attempt)
            || self.unanswered_starts.contains_key(&attempt)
            || self.unsent_starts.iter().any(|start| start.attempt == attempt)
    }
}
