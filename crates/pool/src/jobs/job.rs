//! The in-memory state of a job, its steps and their tasks.
//!
//! A task is placed (capacity on a worker is allocated for it), its start is recorded in the
//! store, the start is sent, and the worker confirms the run. Each of these is one
//! [`Phase`].

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::customers::CustomerId;
use crate::jobs::record::JobState;
use crate::jobs::record::Outcome;
use crate::jobs::record::Progress;
use crate::jobs::record::TaskProgress;
use crate::jobs::spec::JobSpec;
use crate::jobs::spec::StepSpec;
use crate::placement::futile::GrantedCapacity;
use crate::placement::rooms::WorkerSet;
use crate::placement::waiting::WaitReason;
use crate::workers::worker::Allocation;
use crate::workers::worker::FULL_PACE;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerIndex;

/// The phase of a task's newest run. [`Pool::explain`](crate::Pool::explain) prints its
/// `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not placed on any worker.
    Waiting,
    /// Has capacity allocated on a worker and waits for tickets.
    Reserved,
    /// Has capacity allocated on a worker and waits for its row to be durable.
    Recorded,
    /// The start was sent and is not answered yet.
    Sent,
    /// The start got no answer, so the worker may have carried it out. The answer to a hold that
    /// is sent in a later turn tells whether it has.
    Unconfirmed {
        /// The turn in which this became known.
        since_turn: u64,
    },
    /// Known to run.
    Running {
        /// The turn in which this became known (see [`Pool`](crate::Pool)'s turn counter). If
        /// a hold was sent in a later turn and its answer does not list the run, then the
        /// run is gone.
        since_turn: u64,
    },
    /// Must not run, but may still do so. Once the stop is answered, a hold that is sent in a
    /// later turn than that answer tells whether the run is gone.
    Stopping {
        /// The turn in which the stop was answered; `None` while it is not.
        answered_turn: Option<u64>,
        /// When the stop was last sent.
        sent_ms: u64,
    },
    /// Recorded by an earlier leader, or sent to an earlier incarnation of its worker; the
    /// first hold tells whether it runs.
    Adopted,
    /// Completed; no further run is needed.
    Done,
}

/// A task and its newest run.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub phase: Phase,
    pub run: u32,
    pub failures: u32,
    pub failed_run: u32,
    pub worker: Option<WorkerId>,
    /// The incarnation of the worker that the newest run was sent to, or that has listed it.
    pub incarnation: u64,
    pub checkpoint: String,
    pub percent: u32,
    /// When [`Self::percent`] last changed or the newest run was recorded, sent or started.
    pub last_progress_ms: u64,
    /// When the start of the newest run was recorded; 0 if this leader has recorded none.
    pub recorded_ms: u64,
    /// When the write of the newest run's row was sent; 0 before its start is sent.
    pub start_written_ms: u64,
    /// How often the start of the newest run was sent.
    pub starts_sent: u32,
    /// Until when a start of the newest run may be carried out, also by a later incarnation of its
    /// worker; 0 if none was sent, as far as is known.
    pub start_expires_ms: u64,
    /// When the start of the newest run was first confirmed; 0 before.
    pub running_since_ms: u64,
    /// Whether a hold has listed the newest run, so that it is known which incarnation of the
    /// worker has it.
    pub listed_by_worker: bool,
    /// Whether the start of the newest run was answered by the clock on which its worker's lease is
    /// counted.
    pub start_answered_by_known_clock: bool,
    /// The pace (speed limit) that was last sent to the worker, in percent of full speed;
    /// `None` if the run is at full pace as far as is known.
    pub pace_percent: Option<u32>,
    /// When the pace was last sent.
    pub pace_sent_ms: u64,
    /// Until when an earlier pace, whose call got no answer, may still take effect; 0 if none may.
    pub late_pace_until_ms: u64,
    /// For a speculative task, whether a run other than the newest one completed. The newest
    /// run is stopped then, and its capacity stays allocated until it is gone.
    pub other_run_done: bool,
}

impl Task {
    /// Whether the worker was told to run the task at less than full pace.
    pub fn is_throttled(&self) -> bool {
        self.pace_percent.is_some_and(|percent| percent < FULL_PACE)
    }

    /// Whether a start was sent that may still reach the worker: the worker has neither answered
    /// it nor listed the run, nor answered a later stop, after which it refuses the start.
    pub fn has_start_in_flight(&self) -> bool {
        let is_unanswered = match self.phase {
            Phase::Sent
            | Phase::Unconfirmed { .. }
            | Phase::Adopted
            | Phase::Stopping { answered_turn: None, .. } => true,
            Phase::Waiting
            | Phase::Reserved
            | Phase::Recorded
            | Phase::Running { .. }
            | Phase::Stopping { answered_turn: Some(_), .. }
            | Phase::Done => false,
        };
        is_unanswered && self.running_since_ms == 0 && !self.listed_by_worker
    }

    /// Whether it is known which incarnation of the worker has the run: a hold has listed it, and no
    /// other copy of its start can arrive any more. `as_of_ms` is when the worker last answered.
    pub fn is_settled(&self, as_of_ms: u64) -> bool {
        self.listed_by_worker && !self.has_copy_in_flight(as_of_ms)
    }

    /// Whether the run, if there is one, is on the clock on which its worker's lease is counted.
    /// Another incarnation may have taken a start, or a copy of it, whose outcome is not known.
    pub fn is_on_known_clock(&self, as_of_ms: u64) -> bool {
        match self.phase {
            Phase::Waiting | Phase::Reserved | Phase::Recorded => true,
            Phase::Sent
            | Phase::Unconfirmed { .. }
            | Phase::Running { .. }
            | Phase::Stopping { .. }
            | Phase::Adopted
            | Phase::Done => {
                (self.listed_by_worker || self.start_answered_by_known_clock)
                    && !self.has_copy_in_flight(as_of_ms)
            }
        }
    }

    /// Whether a start could still be carried out at `as_of_ms`, beside the one that began the run. A
    /// run whose only start was carried out has none.
    fn has_copy_in_flight(&self, as_of_ms: u64) -> bool {
        self.starts_sent != 1 && as_of_ms < self.start_expires_ms
    }

    /// Whether a start that this leader has sent may begin the run in an incarnation of its worker
    /// that comes after the present one.
    pub fn may_begin_later(&self, now_ms: u64) -> bool {
        let is_only_start_carried_out = self.starts_sent == 1 && self.running_since_ms > 0;
        self.starts_sent > 0 && !is_only_start_carried_out && now_ms < self.start_expires_ms
    }

    /// Whether a worker is known to run the task.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// Whether the task needs no further run.
    pub fn is_done(&self) -> bool {
        self.other_run_done || self.phase == Phase::Done
    }
}

/// The advisor's proof, for a limited time, that a step may run on one incarnation of a
/// worker. A worker refuses a start whose ticket is not valid.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub text: String,
    pub incarnation: u64,
    pub expires_ms: u64,
}

impl Ticket {
    /// Whether a start that is sent to this incarnation of the worker at `sent_ms` can use
    /// the ticket.
    pub fn is_fresh(&self, incarnation: u64, sent_ms: u64) -> bool {
        self.incarnation == incarnation && self.expires_ms > sent_ms
    }
}

/// Which workers may run a step, as far as the advisor has answered, and the state of the
/// queries about it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    /// Workers that may run the step, with the newest ticket of each.
    pub granted: BTreeMap<WorkerIndex, Ticket>,
    /// The workers in `granted`.
    pub granted_set: WorkerSet,
    /// Workers that the advisor has answered about, granted or not.
    pub queried: WorkerSet,
    /// Queries that are not answered yet.
    pub queries: u32,
    /// When all of these should have been answered.
    pub answers_due_ms: u64,
    /// The advisor is not queried again before this.
    pub pause_until_ms: u64,
    /// When further workers may be selected for a query. Until then no selection is made,
    /// since each one may examine hundreds of workers.
    pub retry_at_ms: u64,
}

impl Advice {
    /// Adds a worker that may run the step, or its newer ticket.
    pub fn grant(&mut self, worker: WorkerIndex, ticket: Ticket) {
        self.granted.insert(worker, ticket);
        self.granted_set.set(worker, true);
    }
}

/// The state of one step of one occurrence of a job. Each has its own place in the queue.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    pub id: StepId,
    pub tasks: Vec<Task>,
    pub advice: Advice,
    pub granted_capacity: GrantedCapacity,
    /// The number of tasks that are not done.
    pub remaining_tasks: u32,
    /// Whether it is in the queue.
    pub queued: bool,
    /// When it was put into the queue.
    pub queued_ms: u64,
    /// Why it was not placed as a whole.
    pub wait_reason: WaitReason,
    /// Placement is not tried again before this.
    pub retry_at_ms: u64,
    /// For a gang, when the starts of the current attempt were recorded; `None` if there is none.
    pub attempt_ms: Option<u64>,
    /// For a gang, when the first start of that attempt was sent.
    pub first_start_ms: Option<u64>,
    /// Whether a part of its customer's cap was reserved for it since starts of it were last recorded.
    pub claims_cap: bool,
    /// How often that reservation was suspended since then.
    pub cap_suspensions: u32,
    /// For a gang, the workers that were last reserved for it.
    pub reserved: Vec<WorkerIndex>,
    /// When the reserved workers were chosen.
    pub reserved_ms: u64,
    /// When the reserved workers are expected to have free capacity for all tasks of the gang.
    pub reserved_until_ms: u64,
    /// Since when all places that are reserved for the gang are free; `None` if some are not.
    pub reserved_idle_since_ms: Option<u64>,
    /// Until when nothing is reserved for the gang.
    pub suspended_until_ms: u64,
    /// Whether the gang can start once the tasks on the workers have ended, as far as is known.
    pub can_start_later: bool,
    /// When that was determined.
    pub can_start_later_ms: u64,
}

/// A job and the state of its steps.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    pub customer: Option<CustomerId>,
    /// Whether the customer submitted more jobs than its weight allows, counted when this job
    /// arrived; see [`CustomerLimits::weight`](crate::CustomerLimits::weight).
    pub over_fair_share: bool,
    pub payload: Arc<str>,
    /// The steps of the first occurrence, then those of the next one, and so on. A
    /// `step_index` is an index into this list.
    pub step_states: Vec<StepState>,
    /// Whether the submission is durable.
    pub durable: bool,
    /// How the job ended; not necessarily durable yet.
    pub outcome: Option<Outcome>,
    /// Whether the outcome is durable.
    pub outcome_durable: bool,
    pub finished_unix_ms: u64,
    /// Whether a start of one of its tasks may have been sent.
    pub start_sent: bool,
    /// Whether a worker has confirmed that it started one of its tasks.
    pub start_confirmed: bool,
    /// Whether the job is counted as pending in the [`JobIndex`](crate::jobs::index::JobIndex).
    pub is_counted_pending: bool,
}

impl Job {
    /// A job of which no task was placed yet.
    pub fn new(id: JobId, spec: Arc<JobSpec>, customer: Option<CustomerId>) -> Self {
        let mut step_states = Vec::new();
        for occurrence in 0..spec.occurrences() {
            for (number, step) in spec.steps.iter().enumerate() {
                let id = StepId { job: id, occurrence, step: number as u32 };
                step_states.push(StepState::new(id, step.tasks));
            }
        }
        Self {
            id,
            payload: Arc::from(spec.payload.as_str()),
            spec,
            customer,
            over_fair_share: false,
            step_states,
            durable: true,
            outcome: None,
            outcome_durable: false,
            finished_unix_ms: 0,
            start_sent: false,
            start_confirmed: false,
            is_counted_pending: false,
        }
    }

    /// Restores the progress that an earlier leader recorded.
    pub fn restore(&mut self, progress: &Progress) {
        self.outcome = progress.outcome;
        self.outcome_durable = progress.outcome.is_some();
        self.finished_unix_ms = progress.finished_unix_ms;
        self.start_sent = !progress.tasks.is_empty();
        for row in &progress.tasks {
            let Some(step_state) = self.step_states.get_mut(row.step_index as usize) else {
                continue;
            };
            let Some(task) = step_state.tasks.get_mut(row.index as usize) else { continue };
            // A row is written before its start is sent, so the run's number alone does not
            // show that a worker started the task.
            self.start_confirmed |= row.done || row.failures > 0 || !row.checkpoint.is_empty();
            task.run = row.run;
            task.failures = row.failures;
            task.failed_run = row.failed_run;
            task.checkpoint.clone_from(&row.checkpoint);
            if row.done {
                task.phase = Phase::Done;
                step_state.remaining_tasks -= 1;
                continue;
            }
            task.worker.clone_from(&row.worker);
            task.incarnation = row.incarnation;
            if row.worker.is_some() {
                task.phase = Phase::Adopted;
            }
        }
    }

    /// The row that makes the current progress durable.
    pub fn progress(&self, workers: &BTreeMap<WorkerId, Worker>) -> Progress {
        let mut tasks = Vec::new();
        for (step_index, step_state) in self.step_states.iter().enumerate() {
            for (index, task) in step_state.tasks.iter().enumerate() {
                if task.run == 0 || (self.outcome.is_some() && task.worker.is_none()) {
                    continue;
                }
                let worker = task.worker.clone().filter(|_| task.phase != Phase::Reserved);
                let placed_on = worker.as_ref().and_then(|name| workers.get(name));
                tasks.push(TaskProgress {
                    step_index: step_index as u32,
                    index: index as u32,
                    run: task.run,
                    failures: task.failures,
                    failed_run: task.failed_run,
                    done: task.is_done(),
                    address: placed_on
                        .map(|worker| worker.info.address.clone())
                        .unwrap_or_default(),
                    incarnation: task.incarnation,
                    worker,
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        Progress { outcome: self.outcome, finished_unix_ms: self.finished_unix_ms, tasks }
    }

    /// Frees what a finished job no longer needs. The job stays known for minutes, and
    /// payloads and tickets would take most of the scheduler's memory.
    pub fn release_memory(&mut self) {
        self.payload = Arc::from("");
        let spec = JobSpec { payload: String::new(), ..(*self.spec).clone() };
        self.spec = Arc::new(spec);
        for step_state in &mut self.step_states {
            step_state.advice = Advice::default();
            step_state.granted_capacity = GrantedCapacity::default();
        }
    }

    /// The state as callers see it.
    pub fn state(&self) -> JobState {
        match self.outcome {
            Some(outcome) if self.outcome_durable || outcome == Outcome::Cancelled => {
                outcome.into()
            }
            _ if self.start_sent => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Whether the job waits for its first run.
    pub fn is_pending(&self) -> bool {
        !self.start_confirmed && self.outcome.is_none()
    }

    /// The specification of a step.
    pub fn step_spec(&self, step_index: usize) -> &StepSpec {
        &self.spec.steps[self.step_states[step_index].id.step as usize]
    }

    /// The waiting tasks of a step that are long-running and have run before.
    pub fn lost_long_running_tasks(&self, step_index: usize) -> impl Iterator<Item = u32> {
        let step_state = &self.step_states[step_index];
        let is_long_running = self.step_spec(step_index).long_running;
        let has_run = move |index: &u32| step_state.tasks[*index as usize].run > 0;
        step_state.waiting_tasks().filter(move |_| is_long_running).filter(has_run)
    }

    /// The resources that a task of a step takes from its worker and its customer's cap.
    pub fn allocation(&self, step_index: usize) -> Allocation {
        let step = self.step_spec(step_index);
        Allocation {
            worker_demand: step.worker_demand(),
            demand: step.demand,
            customer: self.customer,
            priority: self.spec.queue.priority,
            is_long_running: step.long_running,
        }
    }

    /// The index of a step in [`Self::step_states`]; `None` if the job has no such step.
    pub fn step_index(&self, id: StepId) -> Option<usize> {
        let step_index = id.occurrence as usize * self.spec.steps.len() + id.step as usize;
        let exists =
            (id.step as usize) < self.spec.steps.len() && step_index < self.step_states.len();
        exists.then_some(step_index)
    }

    /// The state of a task; `None` if the job has no such task.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step_states.get(self.step_index(id.step)?)?.tasks.get(id.index as usize)
    }

    /// The task with this id; `None` if the job has no such task.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step_index = self.step_index(id.step)?;
        self.step_states[step_index].tasks.get_mut(id.index as usize)
    }

    /// Whether a task that has to run again waits while a start of its last run may be in flight.
    /// Starts with a ticket begin nothing in a later incarnation of their worker, speculative tasks may
    /// run twice, and long-running ones have to be back sooner.
    pub fn waits_for_late_starts(&self, id: TaskId) -> bool {
        let Some(step_index) = self.step_index(id.step) else { return false };
        let step = self.step_spec(step_index);
        self.outcome.is_none()
            && self.spec.queue.advice.is_none()
            && !step.long_running
            && !step.speculative
    }

    /// Whether all steps of the same occurrence that the step depends on are done.
    pub fn is_ready(&self, step_index: usize) -> bool {
        let first_step_index =
            self.step_states[step_index].id.occurrence as usize * self.spec.steps.len();
        self.step_spec(step_index).after.iter().all(|earlier| {
            self.step_states[first_step_index + *earlier as usize].remaining_tasks == 0
        })
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.step_states.iter().all(|step_state| step_state.remaining_tasks == 0)
    }

    /// Whether any task may still be on a worker.
    pub fn has_placed_tasks(&self) -> bool {
        self.step_states
            .iter()
            .flat_map(|step_state| &step_state.tasks)
            .any(|task| task.worker.is_some())
    }
}

impl StepState {
    fn new(id: StepId, tasks: u32) -> Self {
        Self {
            id,
            tasks: vec![Task::default(); tasks as usize],
            advice: Advice::default(),
            granted_capacity: GrantedCapacity::default(),
            remaining_tasks: tasks,
            queued: false,
            queued_ms: 0,
            wait_reason: WaitReason::default(),
            retry_at_ms: 0,
            attempt_ms: None,
            first_start_ms: None,
            claims_cap: false,
            cap_suspensions: 0,
            reserved: Vec::new(),
            reserved_ms: 0,
            reserved_until_ms: 0,
            reserved_idle_since_ms: None,
            suspended_until_ms: 0,
            can_start_later: true,
            can_start_later_ms: 0,
        }
    }

    /// The indexes of the tasks that are not placed on any worker.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> {
        let is_waiting = |(_, task): &(usize, &Task)| task.phase == Phase::Waiting;
        self.tasks.iter().enumerate().filter(is_waiting).map(|(index, _)| index as u32)
    }
}

impl Default for Task {
    fn default() -> Self {
        Self {
            phase: Phase::Waiting,
            run: 0,
            failures: 0,
            failed_run: 0,
            worker: None,
            checkpoint: String::new(),
            percent: 0,
            last_progress_ms: 0,
            recorded_ms: 0,
            start_written_ms: 0,
            starts_sent: 0,
            start_expires_ms: 0,
            running_since_ms: 0,
            listed_by_worker: false,
            start_answered_by_known_clock: false,
            incarnation: 0,
            pace_percent: None,
            pace_sent_ms: 0,
            late_pace_until_ms: 0,
            other_run_done: false,
        }
    }
}
