//! Why queued steps wait.
//!
//! A step that stays in the queue although a worker has free capacity for it is waiting for
//! something else: a ticket, a reservation that ends, other members of its gang. The reason of
//! the last attempt is kept with the step, for [`Pool::explain`] and for a line in the log.

use crate::Pool;
use crate::id::StepId;
use crate::jobs::job::Job;
use crate::workers::worker::Worker;

/// How long a step may wait in the queue before its reason is logged.
const LONG_WAIT_MS: u64 = 1_000;
/// Interval between two reports of waiting steps.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Maximum steps examined for a report, the first ones of the queue.
const EXAMINED_STEPS_MAX: usize = 200;
/// Maximum steps named in a report.
const REPORTED_STEPS_MAX: usize = 4;

/// Why the last attempt did not place all tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum PlacementBlock {
    /// no attempt was made yet
    NotTried,
    /// no worker of the service takes tasks
    NoOpenWorker,
    /// another step with a smaller demand did not fit either
    DemandInfeasible,
    /// members of the gang are still on workers
    GangIncomplete,
    /// the open workers are too few for the gang
    TooFewWorkers,
    /// the customer's cap leaves no capacity
    Capped,
    /// no open worker may run the step
    NoEligibleWorker,
    /// no eligible worker with a ticket has free capacity
    NoCapacity,
    /// free capacity is reserved for gangs
    Reserved,
    /// free capacity is kept for more urgent work
    Headroom,
    /// not enough capacity for all waiting tasks
    NotEnough,
    /// too many long queries to the advisor are pending
    QueryLimit,
    /// the last query to the advisor for new tickets got no answer
    QueryFailed,
}

/// Why no query to the advisor was sent for a step, or that one was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum QueryBlock {
    /// none needed
    NotNeeded,
    /// an answer is awaited
    Pending,
    /// paused after a query without an answer
    Paused,
    /// workers were selected a moment ago
    SelectedRecently,
    /// all eligible workers were queried about
    AllQueried,
    /// few workers are left, and enough were granted
    FewLeft,
    /// not enough free capacity is left to query about
    NotWorthwhile,
    /// too many long queries are pending
    LimitReached,
}

/// Why a step waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitReason {
    pub placement: PlacementBlock,
    pub query: QueryBlock,
}

impl Default for WaitReason {
    fn default() -> Self {
        Self { placement: PlacementBlock::NotTried, query: QueryBlock::NotNeeded }
    }
}

impl Pool {
    pub(crate) fn set_placement_block(&mut self, step: StepId, placement: PlacementBlock) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        job.step_states[step_index].wait_reason.placement = placement;
    }

    pub(crate) fn set_wait_reason(&mut self, step: StepId, reason: WaitReason) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        job.step_states[step_index].wait_reason = reason;
    }

    /// Logs why steps have waited for long although a worker has free capacity for one of their
    /// tasks.
    pub(crate) fn report_waiting_steps(&mut self) {
        if self.now_ms < self.next_wait_report_ms {
            return;
        }
        self.next_wait_report_ms = self.now_ms + REPORT_INTERVAL_MS;
        self.report_caps();
        self.steps_waiting_with_room = 0;
        let mut reported = 0;
        let mut waiting_with_room = 0;
        for step in self.queue.values().take(EXAMINED_STEPS_MAX) {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(step_index) = job.step_index(*step) else { continue };
            let step_state = &job.step_states[step_index];
            let waited_ms = self.now_ms.saturating_sub(step_state.queued_ms);
            if waited_ms < LONG_WAIT_MS || self.is_without_room(job, step_index) {
                continue;
            }
            let room_on = self.workers_with_room(job, step_index);
            if room_on == 0 {
                continue;
            }
            waiting_with_room += 1;
            if reported == REPORTED_STEPS_MAX {
                continue;
            }
            reported += 1;
            let WaitReason { placement, query } = step_state.wait_reason;
            let tasks = step_state.waiting_tasks().count();
            let (granted, asked) =
                (step_state.advice.granted.len(), step_state.advice.queried.count());
            tracing::info!(
                %step, waited_ms, tasks, room_on, granted, asked, %placement, %query,
                "step waits although workers have room"
            );
        }
        self.steps_waiting_with_room = waiting_with_room;
    }

    /// The number of open workers that have free capacity for a task of a step and, if the step
    /// needs tickets, were granted to it.
    fn workers_with_room(&self, job: &Job, step_index: usize) -> usize {
        let spec = job.step_spec(step_index);
        let demand = spec.worker_demand();
        let granted = &job.step_states[step_index].advice.granted;
        let needs_ticket = job.spec.queue.advice.is_some();
        let has_room = |worker: &&Worker| {
            worker.is_open(self.now_ms)
                && worker.info.service == job.spec.queue.service
                && spec.label.as_ref().is_none_or(|label| worker.info.labels.contains(label))
                && (!needs_ticket || granted.contains_key(&worker.index))
                && worker.free().holds(&demand)
        };
        self.workers.values().filter(has_room).count()
    }
}
