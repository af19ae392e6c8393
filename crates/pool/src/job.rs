//! A job in memory: its steps' tasks and where each of them stands.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::customers::CustomerId;
use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::record::JobState;
use crate::record::Outcome;
use crate::record::Progress;
use crate::record::TaskProgress;
use crate::spec::JobSpec;
use crate::spec::StepSpec;
use crate::worker::FULL_PACE;
use crate::worker::Slot;
use crate::worker::Taken;
use crate::worker::Worker;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not anywhere.
    Waiting,
    /// Has room on a worker; waits for tickets.
    Reserved,
    /// Has room on a worker; waits for its row to be durable.
    Recorded,
    /// A start was sent and not answered yet.
    Sent,
    /// Known to run.
    Running {
        /// A hold made in a later turn that does not show it proves that it is gone.
        since_turn: u64,
    },
    /// Shall not run; whether it does is told by a hold made in a later turn than
    /// the stop's answer.
    Stopping {
        /// The turn in which the stop was answered.
        answered_turn: Option<u64>,
        /// When the stop was last sent.
        sent_ms: u64,
    },
    /// Recorded by an earlier scheduler; the first hold tells.
    Adopted,
    /// Done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub phase: Phase,
    pub run: u32,
    pub failures: u32,
    pub failed_run: u32,
    pub worker: Option<WorkerId>,
    pub checkpoint: String,
    pub percent: u32,
    /// When [`Self::percent`] last changed.
    pub moved_ms: u64,
    /// When the newest run was recorded.
    pub placed_ms: u64,
    /// When the newest run was first known to be at work; 0 before.
    pub began_ms: u64,
    /// Whether a hold has listed the newest run, so that the life it is in is known.
    pub seen: bool,
    /// The pace that its worker was last told, in hundredths; none is not known to be
    /// another than full.
    pub pace_percent: Option<u32>,
    /// Whether another run was done; what is left of the newest is stopped, and its
    /// room stays taken until it is gone.
    pub copy_done: bool,
}

impl Task {
    /// Whether it was told to work at less than its full pace.
    pub fn is_slowed(&self) -> bool {
        self.pace_percent.is_some_and(|percent| percent < FULL_PACE)
    }

    /// Whether the task needs no further run.
    pub fn is_done(&self) -> bool {
        self.copy_done || self.phase == Phase::Done
    }
}

/// A ticket of the advisor.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub text: String,
    pub incarnation: u64,
    pub expires_ms: u64,
}

impl Ticket {
    /// Whether a start that is sent to this life of the worker then could show it.
    pub fn is_fresh(&self, incarnation: u64, sent_ms: u64) -> bool {
        self.incarnation == incarnation && self.expires_ms > sent_ms
    }
}

/// What the advisor has said of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    /// Workers that may run the step, with the newest ticket.
    pub granted: BTreeMap<Slot, Ticket>,
    /// Workers asked about, granted or not.
    pub asked: BTreeSet<Slot>,
    /// Questions that are not answered yet.
    pub questions: u32,
    /// Not before this is the advisor asked again.
    pub pause_until_ms: u64,
    /// Not before this is it worked out whom else to ask about.
    pub retry_at_ms: u64,
}

/// One step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub id: StepId,
    pub tasks: Vec<Task>,
    pub advice: Advice,
    /// Tasks that are not done.
    pub left: u32,
    /// Whether it is in the queue.
    pub queued: bool,
    /// Not before this is a place looked for again.
    pub retry_at_ms: u64,
    /// Whether it is a gang that waits for its customer's cap.
    pub awaits_cap: bool,
    /// Workers kept for it at the last look, for a gang.
    pub reserved: Vec<Slot>,
    /// When that was worked out.
    pub reserved_ms: u64,
    /// When the last place on them comes free.
    pub reserved_until_ms: u64,
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    pub customer: Option<CustomerId>,
    /// Whether its customer had sent as much as its weight allows when it came.
    pub beyond_weight: bool,
    pub payload: Arc<str>,
    pub units: Vec<Unit>,
    /// Whether what was submitted is durable.
    pub durable: bool,
    /// How it ended, maybe not durable yet.
    pub outcome: Option<Outcome>,
    /// Whether the outcome is durable.
    pub settled: bool,
    pub finished_unix_ms: u64,
    pub started: bool,
    /// Whether a worker has said that it began one of its tasks.
    pub begun: bool,
}

impl Job {
    /// A job with nothing done yet.
    pub fn new(id: JobId, spec: Arc<JobSpec>, customer: Option<CustomerId>) -> Self {
        let mut units = Vec::new();
        for occurrence in 0..spec.occurrences() {
            for (number, step) in spec.steps.iter().enumerate() {
                let id = StepId { job: id, occurrence, step: number as u32 };
                units.push(Unit::new(id, step.tasks));
            }
        }
        Self {
            id,
            payload: Arc::from(spec.payload.as_str()),
            spec,
            customer,
            beyond_weight: false,
            units,
            durable: true,
            outcome: None,
            settled: false,
            finished_unix_ms: 0,
            started: false,
            begun: false,
        }
    }

    /// Puts back what an earlier scheduler recorded.
    pub fn restore(&mut self, progress: &Progress) {
        self.outcome = progress.outcome;
        self.settled = progress.outcome.is_some();
        self.finished_unix_ms = progress.finished_unix_ms;
        self.started = !progress.tasks.is_empty();
        for row in &progress.tasks {
            let Some(unit) = self.units.get_mut(row.unit as usize) else { continue };
            let Some(task) = unit.tasks.get_mut(row.index as usize) else { continue };
            // A row is written before its start is sent, which may never have been.
            self.begun |= row.done || row.failures > 0 || !row.checkpoint.is_empty();
            task.run = row.run;
            task.failures = row.failures;
            task.failed_run = row.failed_run;
            task.checkpoint.clone_from(&row.checkpoint);
            if row.done {
                task.phase = Phase::Done;
                unit.left -= 1;
                continue;
            }
            task.worker.clone_from(&row.worker);
            if row.worker.is_some() {
                task.phase = Phase::Adopted;
            }
        }
    }

    /// The row that makes the present state durable.
    pub fn progress(&self, workers: &BTreeMap<WorkerId, Worker>) -> Progress {
        let mut tasks = Vec::new();
        for (number, unit) in self.units.iter().enumerate() {
            for (index, task) in unit.tasks.iter().enumerate() {
                if task.run == 0 || (self.outcome.is_some() && task.worker.is_none()) {
                    continue;
                }
                let worker = task.worker.clone().filter(|_| task.phase != Phase::Reserved);
                let at = worker.as_ref().and_then(|name| workers.get(name));
                tasks.push(TaskProgress {
                    unit: number as u32,
                    index: index as u32,
                    run: task.run,
                    failures: task.failures,
                    failed_run: task.failed_run,
                    done: task.is_done(),
                    address: at.map(|at| at.info.address.clone()).unwrap_or_default(),
                    incarnation: at.map_or(0, |at| at.info.incarnation),
                    worker,
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        Progress { outcome: self.outcome, finished_unix_ms: self.finished_unix_ms, tasks }
    }

    /// Drops what a job that is over needs no more: it stays known for minutes,
    /// and payloads and tickets would be most of the scheduler's memory.
    pub fn slim(&mut self) {
        self.payload = Arc::from("");
        let spec = JobSpec { payload: String::new(), ..(*self.spec).clone() };
        self.spec = Arc::new(spec);
        for unit in &mut self.units {
            unit.advice = Advice::default();
        }
    }

    /// What callers are told.
    pub fn state(&self) -> JobState {
        match self.outcome {
            Some(outcome) if self.settled || outcome == Outcome::Cancelled => outcome.into(),
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// The step that a unit belongs to.
    pub fn step(&self, unit: usize) -> &StepSpec {
        &self.spec.steps[self.units[unit].id.step as usize]
    }

    /// What a task of a unit takes.
    pub fn taken(&self, unit: usize) -> Taken {
        let step = self.step(unit);
        Taken { room: step.room(), demand: step.demand, customer: self.customer }
    }

    /// The place of a step among the units.
    pub fn unit_of(&self, id: StepId) -> Option<usize> {
        let unit = id.occurrence as usize * self.spec.steps.len() + id.step as usize;
        let known = (id.step as usize) < self.spec.steps.len() && unit < self.units.len();
        known.then_some(unit)
    }

    /// The task of this name.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let unit = self.unit_of(id.step)?;
        self.units[unit].tasks.get_mut(id.index as usize)
    }

    /// Whether all steps that the unit waits for are done.
    pub fn is_ready(&self, unit: usize) -> bool {
        let first = self.units[unit].id.occurrence as usize * self.spec.steps.len();
        self.step(unit).after.iter().all(|earlier| self.units[first + *earlier as usize].left == 0)
    }

    /// Whether nothing is left to be done.
    pub fn is_done(&self) -> bool {
        self.units.iter().all(|unit| unit.left == 0)
    }

    /// Whether any task may still be on a worker.
    pub fn is_anywhere(&self) -> bool {
        self.units.iter().flat_map(|unit| &unit.tasks).any(|task| task.worker.is_some())
    }
}

impl Unit {
    fn new(id: StepId, tasks: u32) -> Self {
        Self {
            id,
            tasks: vec![Task::default(); tasks as usize],
            advice: Advice::default(),
            left: tasks,
            queued: false,
            retry_at_ms: 0,
            awaits_cap: false,
            reserved: Vec::new(),
            reserved_ms: 0,
            reserved_until_ms: 0,
        }
    }

    /// Places of the tasks that are not anywhere.
    pub fn waiting(&self) -> impl Iterator<Item = u32> {
        let waiting = |(_, task): &(usize, &Task)| task.phase == Phase::Waiting;
        self.tasks.iter().enumerate().filter(waiting).map(|(index, _)| index as u32)
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
            moved_ms: 0,
            placed_ms: 0,
            began_ms: 0,
            seen: false,
            pace_percent: None,
            copy_done: false,
        }
    }
}
