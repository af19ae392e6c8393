//! Attempts to run gangs: how many there are, by size, and why they fail.
//!
//! An attempt begins when the starts of all members are recorded, and ends with the first member
//! that ends, does not start or has to be stopped. What happens to the other members follows from
//! that. Until all of them are gone, the attempt keeps their capacity.
//!
//! A member that runs waits only for some time for the others. So an attempt has a budget of time
//! from its first start on: all members have to be known to run in the first part of it, and the
//! rest is for stops, of which the first ones may get lost.

use std::collections::BTreeMap;

use crate::GangLimits;
use crate::Pool;
use crate::event::CallError;
use crate::event::RunOutcome;
use crate::event::StartReply;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::job::Phase;
use crate::jobs::job::StepState;
use crate::jobs::job::Task;

/// The largest gang of each size class but the last one.
const SIZE_CLASSES: [usize; 3] = [4, 12, 24];

/// The part of the time for which members wait that is kept for stops.
const STOPS_PERCENT: u64 = 25;
/// After this process stood still, the answers that arrived meanwhile are read first.
const CATCH_UP_MS: u64 = 100;

/// The time that an attempt has, by the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptBudget {
    /// When all members have to be known to run. No start is sent later.
    pub assembled_by_ms: u64,
    /// Until when a stop ends a member before it gives up waiting for the others.
    pub stopped_by_ms: u64,
}

impl AttemptBudget {
    /// The budget of an attempt whose first start was sent at this time.
    pub fn new(first_start_ms: u64, limits: GangLimits) -> Self {
        let stopped_by_ms = first_start_ms + limits.wait_ms.saturating_sub(limits.stop_max_ms);
        let assembled_by_ms =
            stopped_by_ms.saturating_sub(limits.wait_ms * STOPS_PERCENT / 100).max(first_start_ms);
        Self { assembled_by_ms, stopped_by_ms }
    }
}

/// Why an attempt to run a gang ended before the gang was done: what happened to the first
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum GangFailure {
    /// no valid ticket, or the worker closed, before the start was recorded
    NotRecorded,
    /// start not sent: the worker takes none
    ClosedWorker,
    /// start not sent: its ticket expired
    ExpiredTicket,
    /// start refused: the order came too late
    TooLate,
    /// start refused: no room
    NoRoom,
    /// start refused: the ticket is no longer good
    BadTicket,
    /// start refused for another reason
    Refused,
    /// start not carried out
    NotCarriedOut,
    /// start not confirmed
    NotConfirmed,
    /// the run failed
    Failed,
    /// the other members did not come
    Alone,
    /// another member ended
    Broken,
    /// the run was stopped
    Stopped,
    /// the worker's lease lapsed
    Lapsed,
    /// the run was lost
    Lost,
    /// the run made no progress
    Stalled,
    /// not all members were known to run in time
    NotAssembled,
}

impl GangFailure {
    /// The cause if a worker refused a start.
    pub(crate) fn of_reply(reply: StartReply) -> Self {
        match reply {
            StartReply::TooLate => Self::TooLate,
            StartReply::NoRoom => Self::NoRoom,
            StartReply::BadTicket => Self::BadTicket,
            StartReply::Started { .. }
            | StartReply::Superseded
            | StartReply::OldRun
            | StartReply::Unwell
            | StartReply::Rejected => Self::Refused,
        }
    }

    /// The cause if the answer to a start does not show that it was carried out.
    pub(crate) fn of_unconfirmed(reply: Result<StartReply, CallError>) -> Self {
        reply.map_or(Self::NotConfirmed, Self::of_reply)
    }

    /// The cause if the run of a member ended.
    pub(crate) fn of_end(end: RunOutcome) -> Self {
        match end {
            RunOutcome::Alone => Self::Alone,
            RunOutcome::Broken => Self::Broken,
            RunOutcome::Lapsed => Self::Lapsed,
            RunOutcome::Stopped => Self::Stopped,
            RunOutcome::Done | RunOutcome::Failed => Self::Failed,
        }
    }
}

/// Attempts to run gangs of one size class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GangAttempts {
    /// Attempts that began.
    pub begun: u64,
    /// Those of them after which the gang was done.
    pub done: u64,
    /// Attempts that failed, by cause.
    pub failed: BTreeMap<GangFailure, u64>,
}

/// All attempts of this leader to run gangs, by size class.
#[derive(Debug, Default)]
pub(crate) struct GangCounts([GangAttempts; SIZE_CLASSES.len() + 1]);

impl GangCounts {
    fn of_size(&mut self, tasks: usize) -> &mut GangAttempts {
        &mut self.0[SIZE_CLASSES.partition_point(|largest| *largest < tasks)]
    }
}

impl Pool {
    /// The attempts to run gangs so far, each with the largest number of tasks of its size class;
    /// `None` for the last class, which has no limit.
    pub fn gang_attempts(&self) -> impl Iterator<Item = (Option<usize>, &GangAttempts)> {
        let limits = SIZE_CLASSES.into_iter().map(Some).chain([None]);
        limits.zip(&self.gang_counts.0)
    }

    /// Counts an attempt whose starts are recorded.
    pub(crate) fn begin_gang_attempt(&mut self, step: StepId, run: u32) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let step_state = &mut job.step_states[step_index];
        step_state.attempt_ms = Some(now_ms);
        step_state.first_start_ms = None;
        let tasks = step_state.tasks.len();
        self.gang_counts.of_size(tasks).begun += 1;
        tracing::info!(%step, run, tasks, "gang placed");
    }

    /// Counts an attempt that fails before the starts are recorded.
    pub(crate) fn reject_gang_attempt(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let attempts = self.gang_counts.of_size(job.step_states[step_index].tasks.len());
        attempts.begun += 1;
        *attempts.failed.entry(GangFailure::NotRecorded).or_default() += 1;
    }

    /// The budget of the current attempt of a gang, or of the last one; `None` if no start of it
    /// was sent.
    pub(crate) fn attempt_budget(&self, step_state: &StepState) -> Option<AttemptBudget> {
        let first_start_ms = step_state.first_start_ms?;
        Some(AttemptBudget::new(first_start_ms, self.limits.gangs))
    }

    /// The first member of a gang that is not known to run although the time for that is over.
    pub(crate) fn late_member(&self, step_state: &StepState) -> Option<TaskId> {
        step_state.attempt_ms?;
        let budget = self.attempt_budget(step_state)?;
        let has_caught_up = self.now_ms >= self.resumed_ms + CATCH_UP_MS;
        if self.now_ms < budget.assembled_by_ms
            || (!has_caught_up && self.now_ms < budget.stopped_by_ms)
        {
            return None;
        }
        let is_late = |task: &Task| !matches!(task.phase, Phase::Running { .. } | Phase::Done);
        let index = step_state.tasks.iter().position(is_late)?;
        Some(TaskId { step: step_state.id, index: index as u32 })
    }

    /// Ends an attempt that did not assemble in time.
    pub(crate) fn end_late_attempt(&mut self, late: TaskId) {
        self.stop_other_members(late, GangFailure::NotAssembled);
        self.stop(late);
    }

    /// Notes that a start of a member was sent.
    pub(crate) fn note_member_start(&mut self, member: TaskId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&member.step.job) else { return };
        let Some(step_index) = job.step_index(member.step) else { return };
        let step_state = &mut job.step_states[step_index];
        if step_state.attempt_ms.is_some() {
            step_state.first_start_ms.get_or_insert(now_ms);
        }
    }

    /// Logs that all members of a gang run, if they do since a member was seen to run.
    pub(crate) fn log_assembled_gang(&self, member: TaskId) {
        let Some(job) = self.jobs.get(&member.step.job) else { return };
        let Some(step_index) = job.step_index(member.step) else { return };
        let step_state = &job.step_states[step_index];
        let runs = |task: &Task| matches!(task.phase, Phase::Running { .. });
        let Some(first_start_ms) = step_state.first_start_ms else { return };
        if step_state.attempt_ms.is_none() || !step_state.tasks.iter().all(runs) {
            return;
        }
        let run = step_state.tasks[0].run;
        let (tasks, took_ms) = (step_state.tasks.len(), self.now_ms - first_start_ms);
        tracing::info!(step = %member.step, run, tasks, took_ms, "all members of a gang run");
    }

    /// Counts an attempt after which the gang is done.
    pub(crate) fn end_gang_attempt(&mut self, step: StepId) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let step_state = &mut job.step_states[step_index];
        if step_state.attempt_ms.take().is_some() {
            self.gang_counts.of_size(step_state.tasks.len()).done += 1;
        }
    }

    /// Counts an attempt that fails because of this member, and logs how far it came.
    pub(crate) fn fail_gang_attempt(&mut self, member: TaskId, failure: GangFailure) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&member.step.job) else { return };
        let Some(step_index) = job.step_index(member.step) else { return };
        let step_state = &mut job.step_states[step_index];
        let Some(begun_ms) = step_state.attempt_ms.take() else { return };
        let attempts = self.gang_counts.of_size(step_state.tasks.len());
        *attempts.failed.entry(failure).or_default() += 1;
        let (mut running, mut unanswered) = (0, 0);
        for task in &step_state.tasks {
            running += usize::from(matches!(task.phase, Phase::Running { .. }));
            unanswered +=
                usize::from(matches!(task.phase, Phase::Sent | Phase::Unconfirmed { .. }));
        }
        let run = step_state.tasks.get(member.index as usize).map_or(0, |task| task.run);
        let took_ms = now_ms - begun_ms;
        let since_first_start_ms = step_state.first_start_ms.map(|first_ms| now_ms - first_ms);
        let tasks = step_state.tasks.len();
        tracing::info!(
            task = %member, run, tasks, running, unanswered, took_ms, since_first_start_ms, %failure,
            "attempt of a gang failed"
        );
    }
}
