//! What the pool is told, and what it asks to have done.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;

use crate::commit::PartitionWrite;
use crate::customers::CustomerLimits;
use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::spec::JobSpec;
use crate::submit::Accepted;

/// Events that the pool handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job is durably accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// What was submitted.
        spec: Arc<JobSpec>,
    },
    /// A cancellation is durable.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A worker is listed, for the first time or with new facts.
    Listed(WorkerUpdate),
    /// A worker is listed no longer.
    Unlisted {
        /// The worker.
        worker: WorkerId,
    },
    /// A hold was answered, or not.
    Held {
        /// The worker.
        worker: WorkerId,
        /// The turn of the pool in which the call was made.
        turn: u64,
        /// What came back.
        reply: Result<HoldReply, CallError>,
    },
    /// A start was answered, or not.
    Started {
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerId,
        /// What came back.
        reply: Result<StartReply, CallError>,
    },
    /// A stop was answered, or not.
    Stopped {
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerId,
        /// What came back.
        reply: Result<(), CallError>,
    },
    /// An order on a run's pace was answered, or not.
    Paced {
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerId,
        /// What came back.
        reply: Result<(), CallError>,
    },
    /// The advisor answered; `None` is no answer or a refusal.
    Advised {
        /// The step.
        step: StepId,
        /// The workers asked about.
        asked: Vec<WorkerId>,
        /// What the advisor was expected to take.
        cost_ms: u64,
        /// Those that may run it.
        granted: Option<Vec<Grant>>,
        /// When the answer came, by the steady clock; it may have waited to be handled.
        received_ms: u64,
    },
    /// The manifest names these customers.
    Customers {
        /// Their limits.
        limits: Vec<CustomerLimits>,
    },
    /// The advisor can be asked through this many daemons.
    Advisors {
        /// How many.
        count: usize,
    },
    /// One part of a batch is durable.
    Committed {
        /// The batch.
        batch: u64,
        /// The part.
        partition: usize,
    },
    /// Whether the store has a submission cannot be told for some time.
    InDoubt {
        /// The job.
        job: JobId,
    },
    /// The store will never have a submission.
    Rejected {
        /// The job.
        job: JobId,
        /// Why.
        accepted: Accepted,
    },
}

/// What a worker's entry in the list says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerUpdate {
    /// The worker.
    pub worker: WorkerId,
    /// Its IP and port.
    pub address: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it holds.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it leaves soon.
    pub draining: bool,
    /// The least time that a leaving worker still has.
    pub remaining_ms: Option<u64>,
    /// Which start of the worker this is; rises with each.
    pub incarnation: u64,
}

impl WorkerUpdate {
    /// A worker that is known only by what it may still run.
    pub fn unlisted(worker: WorkerId, address: String, service: String, incarnation: u64) -> Self {
        Self {
            worker,
            address,
            service,
            zone: ZoneName::new(""),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            draining: true,
            remaining_ms: None,
            incarnation,
        }
    }
}

/// A worker's own account of what it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Which start of the worker answers.
    pub life: u64,
    /// What runs.
    pub active: Vec<ActiveRun>,
    /// What ended and may not be forgotten yet, in the order of the numbers.
    pub ended: Vec<EndedRun>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The newest checkpoint; empty is none.
    pub checkpoint: String,
    /// How much of it is done.
    pub percent: u32,
    /// For a task that serves users, the tail of their response times in
    /// milliseconds; for others, the processors in use in thousandths.
    pub load: u64,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Its number in the worker's list, from 1 in each life.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub end: RunOutcome,
    /// The newest checkpoint; empty is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum RunOutcome {
    /// done
    Done,
    /// failed
    Failed,
    /// stopped
    Stopped,
    /// lease lapsed
    Lapsed,
    /// another member of the gang ended
    Broken,
    /// the other members of the gang did not come
    Alone,
}

/// What a worker says to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum StartReply {
    /// started
    Started,
    /// not started: a higher token was seen
    Superseded,
    /// not started: a run not lower than this one has ended here
    OldRun,
    /// not started: the order came too late
    TooLate,
    /// not started: no room
    NoRoom,
    /// not started: the ticket is no longer good
    BadTicket,
    /// not started: the worker is unwell
    Unwell,
    /// not started: the worker does not accept the order
    Rejected,
}

/// A call that brought no answer of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum CallError {
    /// the connection was refused, so nothing was sent; the worker may run on behind a firewall
    Refused,
    /// nothing was sent
    NotSent,
    /// no answer came, so it may have been carried out
    NoAnswer,
    /// another life of the worker, or another worker, answers at the address
    OtherLife,
    /// a higher token was seen
    Superseded,
    /// the worker is unwell and has done nothing
    Unwell,
}

/// A worker that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The worker.
    pub worker: WorkerId,
    /// What a start has to show.
    pub ticket: String,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask a worker for its lists, and extend its lease.
    Hold(HoldCall),
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Let a run work at a share of its speed.
    Pace(PaceCall),
    /// Ask the advisor which workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers asked about.
        workers: Vec<WorkerId>,
        /// The rank of its queue; 0 goes first.
        priority: u32,
        /// What the advisor will take for it.
        cost_ms: u64,
    },
    /// Make rows durable, under the condition that this daemon still schedules.
    Commit {
        /// The number of the batch.
        batch: u64,
        /// The rows, by part.
        writes: Vec<PartitionWrite>,
    },
    /// Tell a caller what became of its submission.
    Answer {
        /// The job.
        job: JobId,
        /// What became of it.
        accepted: Accepted,
    },
    /// Another daemon schedules this pool now.
    StepDown,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callee {
    /// The worker.
    pub worker: WorkerId,
    /// Its IP and port.
    pub address: String,
    /// The fencing token.
    pub token: u64,
}

/// A question for a worker's lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldCall {
    /// Where it goes.
    pub to: Callee,
    /// Until when everything there may run, by the worker's clock.
    pub until_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub forget: u64,
    /// How long the answer may wait for an end.
    pub wait_ms: u64,
    /// The turn of the pool in which the call was made; given back with the answer.
    pub turn: u64,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCall {
    /// Where it goes.
    pub to: Callee,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The payload of its job; not encoded with the call, since a job's starts share it.
    #[serde(skip)]
    pub spec: Arc<JobPayload>,
    /// Until when everything there may run, by the worker's clock; the order is void after it.
    pub until_ms: u64,
    /// The checkpoint to go on from; empty is none.
    pub checkpoint: String,
    /// The advisor's ticket, where one is needed.
    pub ticket: Option<String>,
    /// When the order was made; one that is sent much later must not be sent.
    pub made_ms: u64,
}

/// The payload of a job, shared by its starts.
pub type JobPayload = str;

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopCall {
    /// Where it goes.
    pub to: Callee,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
}

/// An order to let a run work, and disturb others, at a share of its speed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceCall {
    /// Where it goes.
    pub to: Callee,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The share in hundredths.
    pub percent: u32,
}
