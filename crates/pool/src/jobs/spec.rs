//! The specification of a submitted job: its steps and the settings of its queue.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::Resources;

use crate::jobs::customers::CustomerLimits;

/// The largest demand of a task; no worker has as much. Sums over all tasks stay in range.
const DEMAND_MAX: Resources =
    Resources { cpu_millis: 1 << 40, memory_bytes: 1 << 50, accelerators: 1 << 40 };
/// The longest estimate of a task, and the longest interval of a repetition.
const DURATION_MAX_MS: u64 = 1_000_000_000_000;
/// The latest Unix time of a first occurrence.
const UNIX_MAX_MS: u64 = 1 << 53;
/// Largest number of tasks in all steps and occurrences of one job. It keeps the record of
/// a job within one transaction of the store.
pub const TASKS_MAX: u64 = 2_000;
/// Largest payload of a job, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 4_000;

/// A job as it was accepted, with the settings of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue's settings when the job was accepted.
    pub queue: QueueSpec,
    /// The customer that owns the job, with its limits when the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerLimits>,
    /// What to run; opaque to the scheduler.
    pub payload: String,
    /// The steps in an order in which each one depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// The due times of a job that runs repeatedly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// When the job was accepted, in Unix time.
    pub accepted_unix_ms: u64,
}

/// The settings of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run the queue's tasks.
    pub service: String,
    /// The priority of the queue's jobs; 0 is the highest.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts_max: u32,
    /// A job is late once this many times its critical path, plus [`Self::target_ms`], have
    /// passed since its arrival.
    pub slack_factor: f64,
    /// The time that a job may take in addition to its work.
    pub target_ms: u64,
    /// The cost of the advisor that has to grant each worker; `None` if the queue needs no
    /// advisor.
    // Encoded even if absent: between daemons, the encoding of manifests has no field names.
    #[serde(default)]
    pub advice: Option<AdviceSpec>,
}

/// The expected cost of queries to a queue's advisor, and the validity of its tickets.
///
/// The advisor decides which workers may run a step. Its decision is binding: a worker
/// refuses a start without a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceSpec {
    /// Fixed time of a query.
    pub decide_ms: f64,
    /// Additional time for each worker named in a query.
    pub each_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// Due times of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in Unix time.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub times: u32,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that one task needs.
    pub demand: Resources,
    /// The caller's estimate of how long one task runs.
    pub estimate_ms: u64,
    /// The indices of earlier steps that must be done before this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks form a gang, which only works while all of them run.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks take longer when they are spread over several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that workers must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the input data; workers there are preferred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// How many tasks of the step one worker may have at most; 0 means no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub per_worker_max: u32,
    /// Whether several runs of a task may exist at the same time, and the first one that
    /// succeeds counts.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Whether the tasks save checkpoints, from which a later run continues.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks are best-effort: they run on CPU time that other tasks leave unused
    /// and reserve none.
    #[serde(skip_serializing_if = "is_false")]
    pub fills: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// For tasks that serve users, the response time that the users expect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_target_ms: Option<u64>,
    /// How many tasks may be down at the same time because of the scheduler.
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
    /// an amount or a time of step {0} is out of range
    StepOutOfRange(usize),
    /// a time of the repetition is out of range
    RepeatOutOfRange,
}

impl std::error::Error for SpecError {}

impl JobSpec {
    /// Whether both jobs belong to the same customer.
    pub(crate) fn has_same_owner(&self, other: &Self) -> bool {
        let owner = |spec: &Self| spec.customer.as_ref().map(|customer| customer.name.clone());
        owner(self) == owner(other)
    }

    /// Returns the first problem that makes the job impossible to run.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(SpecError::PayloadTooLong);
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        let mut tasks = 0_u64;
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(index));
            }
            if step.after.iter().any(|dependency| *dependency as usize >= index) {
                return Err(SpecError::LaterStep(index));
            }
            if !DEMAND_MAX.holds(&step.demand) || step.estimate_ms > DURATION_MAX_MS {
                return Err(SpecError::StepOutOfRange(index));
            }
            tasks += u64::from(step.tasks);
        }
        let is_out_of_range = |repeat: &Repeat| {
            repeat.first_unix_ms > UNIX_MAX_MS || repeat.interval_ms > DURATION_MAX_MS
        };
        if self.repeat.as_ref().is_some_and(is_out_of_range) {
            return Err(SpecError::RepeatOutOfRange);
        }
        if tasks.saturating_mul(u64::from(self.occurrences())) > TASKS_MAX {
            return Err(SpecError::TooManyTasks);
        }
        Ok(())
    }

    /// The number of times that the steps run, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// When an occurrence is due, in Unix time; 0 means immediately.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let Some(repeat) = self.repeat else { return 0 };
        repeat.first_unix_ms + u64::from(occurrence) * repeat.interval_ms
    }

    /// The estimated duration of the longest chain of dependent steps.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies =
                step.after.iter().filter_map(|dependency| ends.get(*dependency as usize));
            ends.push(dependencies.max().copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// The time after its arrival, or after the due time of an occurrence, from which on the
    /// job is late.
    pub fn allowed_ms(&self) -> u64 {
        self.queue.target_ms + (self.queue.slack_factor * self.critical_path_ms() as f64) as u64
    }
}

impl StepSpec {
    /// The resources that one task takes from its worker's capacity: its demand, without the
    /// CPU for best-effort tasks.
    pub fn worker_demand(&self) -> Resources {
        if self.fills {
            return Resources { cpu_millis: 0, ..self.demand };
        }
        self.demand
    }

    /// How many tasks one worker may have that has this many places for them.
    pub fn max_on_worker(&self, places: u64) -> u64 {
        if self.per_worker_max == 0 { places } else { places.min(self.per_worker_max.into()) }
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
