//! What a caller submits: steps of tasks, and the rules of the queue.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::Resources;

use crate::customers::CustomerLimits;

/// Largest number of tasks in all steps and occurrences of one job; keeps a
/// job's record inside one row of the store.
pub const TASKS_MAX: u64 = 2_000;
/// Longest payload, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 4_000;

/// A job as it was accepted, with the rules that its queue had then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue's rules.
    pub queue: QueueSpec,
    /// Whose it is, with the limits that the customer had then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerLimits>,
    /// What to run, opaque to us.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs, for a job with due times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// When it was accepted, in Unix time.
    pub accepted_unix_ms: u64,
}

/// The rules of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// Its name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// Failed runs after which a task has failed for good.
    pub attempts_max: u32,
    /// A job is late this many times its chain of work, and [`Self::target_ms`], after its arrival.
    pub slack_factor: f64,
    /// What a job may take beyond its work.
    pub target_ms: u64,
    /// Whether an advisor has to permit each worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceSpec>,
}

/// What the advisor of a queue takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceSpec {
    /// For a call.
    pub decide_ms: f64,
    /// For each worker named in the call.
    pub each_ms: f64,
    /// How long a ticket is good for.
    pub valid_ms: u64,
}

/// Due times of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in Unix time.
    pub first_unix_ms: u64,
    /// From one to the next.
    pub interval_ms: u64,
    /// How many there are.
    pub times: u32,
}

/// A step: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub tasks: u32,
    /// What one of them needs.
    pub demand: Resources,
    /// How long one takes, roughly.
    pub estimate_ms: u64,
    /// Earlier steps that have to be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether all tasks work only together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether tasks on more than one rack take longer.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack where the data lies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 is no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub per_worker_max: u32,
    /// Whether copies may run beside each other.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether tasks run on processors that others leave unused.
    #[serde(skip_serializing_if = "is_false")]
    pub fills: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The response time that a serving task's own users expect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_target_ms: Option<u64>,
    /// Tasks that may be away at one time because of us.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub away_max: Option<u32>,
}

/// Why a job cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum SpecError {
    /// a job needs at least one step
    NoSteps,
    /// step {0} needs at least one task
    NoTasks(usize),
    /// step {0} may only wait for earlier steps
    LaterStep(usize),
    /// the job has more than 2000 tasks
    TooManyTasks,
    /// the payload is longer than 4000 bytes
    PayloadTooLong,
}

impl std::error::Error for SpecError {}

impl JobSpec {
    /// Finds the first mistake that makes the job impossible to run.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(SpecError::PayloadTooLong);
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        let mut tasks = 0_u64;
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(number));
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return Err(SpecError::LaterStep(number));
            }
            tasks += u64::from(step.tasks);
        }
        if tasks.saturating_mul(u64::from(self.occurrences())) > TASKS_MAX {
            return Err(SpecError::TooManyTasks);
        }
        Ok(())
    }

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// When an occurrence is due, in Unix time; 0 is at once.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let Some(repeat) = self.repeat else { return 0 };
        repeat.first_unix_ms + u64::from(occurrence) * repeat.interval_ms
    }

    /// The longest chain of estimated work.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|earlier| ends.get(*earlier as usize));
            ends.push(before.max().copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// How long after its arrival or due time the job is late.
    pub fn allowed_ms(&self) -> u64 {
        self.queue.target_ms + (self.queue.slack_factor * self.critical_path_ms() as f64) as u64
    }
}

impl StepSpec {
    /// What one task takes from a worker's room.
    pub fn worker_demand(&self) -> Resources {
        if self.fills {
            return Resources { cpu_millis: 0, ..self.demand };
        }
        self.demand
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_false(value: &bool) -> bool {
    !*value
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(value: &u32) -> bool {
    *value == 0
}
