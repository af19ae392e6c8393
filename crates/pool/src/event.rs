//! The inputs of the pool (events) and its outputs (effects).
//!
//! Runs are tracked by hold calls. A hold is a long poll of a worker: it renews the
//! lease under which the worker may keep its runs, and returns the runs that are active
//! or ended there.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;

use crate::commit::PartitionWrite;
use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::cancellation::Cancellation;
use crate::jobs::customers::CustomerLimits;
use crate::jobs::spec::JobSpec;
use crate::jobs::submit::Accepted;
use crate::runs::run::START_VALIDITY_MS;

/// How the scheduler learned of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CancelSource {
    /// notification of a daemon
    Notification,
    /// the store's change feed
    ChangeFeed,
    /// read of the whole table
    WholeRead,
    /// conflict of the scheduler's own write
    Conflict,
    /// known before the job
    Early,
}

/// An input of [`Pool::handle`](crate::Pool::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A job is durably accepted.
    Accepted {
        /// The number that the caller chose for the job.
        job: JobId,
        /// The job as it was submitted.
        spec: Arc<JobSpec>,
    },
    /// A cancellation is durable. It may arrive before its job.
    Cancelled {
        /// The job to cancel.
        job: JobId,
        /// Who cancelled it.
        cancellation: Cancellation,
        /// How this scheduler learned of it.
        source: CancelSource,
    },
    /// A worker was added to the list of workers that the scheduler is given, or its entry
    /// in this list changed.
    Listed(WorkerUpdate),
    /// A worker was removed from the list of workers. Its runs may still be active.
    Unlisted {
        /// The worker that is no longer listed.
        worker: WorkerId,
    },
    /// The list of workers was read; all changes before `as_of_ms` are known.
    WorkersRead {
        /// The time on the monotonic clock.
        as_of_ms: u64,
    },
    /// A hold was answered or failed.
    Held {
        /// The worker that was called.
        worker: WorkerId,
        /// The turn in which the call was made, as in [`HoldCall::turn`].
        turn: u64,
        /// The worker's runs, or why they are not known.
        reply: Result<HoldReply, CallError>,
    },
    /// A start was answered or failed.
    Started {
        /// The task to be started.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker that was called.
        worker: WorkerId,
        /// The worker's answer, which may be a refusal, or why there is none.
        reply: Result<StartReply, CallError>,
    },
    /// The answer to a call is overdue on the way that the call took. It may still come.
    Overdue {
        /// The worker that was called.
        worker: WorkerId,
        /// The call.
        call: OverdueCall,
    },
    /// A stop was answered or failed.
    Stopped {
        /// The task to be stopped.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker that was called.
        worker: WorkerId,
        /// Whether the worker received the stop.
        reply: Result<(), CallError>,
    },
    /// A call that sets a run's pace (its speed limit) was answered or failed.
    Paced {
        /// The task whose pace was set.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker that was called.
        worker: WorkerId,
        /// Whether the worker received the new pace.
        reply: Result<(), CallError>,
    },
    /// A query to the advisor was answered or failed.
    Advised {
        /// The step that the query was about.
        step: StepId,
        /// The workers that the query named.
        asked: Vec<WorkerId>,
        /// The time that the advisor was expected to take, as in [`Effect::Advise`].
        cost_ms: u64,
        /// The workers that may run the step; `None` if the advisor refused or did
        /// not answer.
        granted: Option<Vec<Grant>>,
        /// From when on the tickets are valid, by the monotonic clock. The answer may have been
        /// held up on its way, and the event been queued since.
        issued_ms: u64,
    },
    /// The customer manifest changed.
    Customers {
        /// The limits of the customers that the manifest names.
        limits: Vec<CustomerLimits>,
    },
    /// The number of daemons that can forward requests to the advisor changed.
    Advisors {
        /// How many daemons there are; 0 counts as 1.
        count: usize,
    },
    /// The number of long queries to the advisor changed that are pending and wait for daemons
    /// which can not be reached or do not answer.
    StuckQueries {
        /// How many there are.
        count: usize,
    },
    /// All rows of submissions that follow were read at this version of the store or a later one,
    /// or are changes after it.
    JobsRead {
        /// The version.
        version: u64,
    },
    /// The writes of a batch to one partition are durable.
    Committed {
        /// The number of the batch, as in [`Effect::Commit`].
        batch: u64,
        /// The partition whose writes are durable.
        partition: usize,
        /// When the write that succeeded was sent, by the monotonic clock.
        sent_ms: u64,
        /// The store's version with these writes.
        version: u64,
    },
    /// The store never takes the row of a job as it is. The other writes of its batch are made.
    Unwritable {
        /// The job.
        job: JobId,
    },
    /// It will not be known for some time whether the store has a submission.
    InDoubt {
        /// The submitted job.
        job: JobId,
    },
    /// The store does not have a submission and never will.
    Rejected {
        /// The submitted job.
        job: JobId,
        /// The answer for its caller.
        accepted: Accepted,
    },
}

impl Event {
    /// The worker that the event is about, if it is about one.
    pub(crate) fn worker(&self) -> Option<&WorkerId> {
        match self {
            Self::Listed(update) => Some(&update.worker),
            Self::Unlisted { worker }
            | Self::Held { worker, .. }
            | Self::Started { worker, .. }
            | Self::Overdue { worker, .. }
            | Self::Stopped { worker, .. }
            | Self::Paced { worker, .. } => Some(worker),
            Self::Accepted { .. }
            | Self::Cancelled { .. }
            | Self::WorkersRead { .. }
            | Self::JobsRead { .. }
            | Self::Advised { .. }
            | Self::Customers { .. }
            | Self::Advisors { .. }
            | Self::StuckQueries { .. }
            | Self::Committed { .. }
            | Self::Unwritable { .. }
            | Self::InDoubt { .. }
            | Self::Rejected { .. } => None,
        }
    }
}

/// A call whose answer is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueCall {
    /// A hold, made in this turn.
    Hold {
        /// The turn, as in [`HoldCall::turn`].
        turn: u64,
    },
    /// The start of a run.
    Start {
        /// The task to be started.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// The stop of a run.
    Stop {
        /// The task to be stopped.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
}

/// A worker's entry in the list of workers, from which the scheduler learns of workers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkerUpdate {
    /// The worker's name.
    pub worker: WorkerId,
    /// Its IP address and port.
    pub address: String,
    /// The service that it belongs to; only tasks of queues of this service run on it.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The resources that it has for tasks in total.
    pub capacity: Resources,
    /// Its kind, followed by its rack.
    pub labels: Vec<String>,
    /// Whether it will be shut down soon and takes no new tasks.
    pub draining: bool,
    /// The time that a draining worker has left at least, if known.
    pub remaining_ms: Option<u64>,
    /// Increases with every start of the worker process.
    pub incarnation: u64,
}

impl WorkerUpdate {
    /// Stands in for the list entry of a worker that is no longer listed but may still
    /// have a run.
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

/// The answer to a hold: the worker's own list of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    /// The time on the worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// The incarnation of the worker that answers; see [`WorkerUpdate::incarnation`].
    pub life: u64,
    /// The runs that have not ended.
    pub active: Vec<ActiveRun>,
    /// The runs that ended and that the worker may not forget yet, ordered by number.
    pub ended: Vec<EndedRun>,
    /// Whether further runs may have ended that `ended` has no room for. A run that is in
    /// neither list may be one of these.
    pub may_have_more_ended: bool,
}

/// A run that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The task that is run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The progress of the run, 0 to 100.
    pub percent: u32,
    /// For a task that serves users, its tail response time in milliseconds; for other
    /// tasks, the CPU in use in millicores.
    pub load: u64,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Its number in the worker's list of ended runs, which starts from 1 in each
    /// incarnation.
    pub number: u64,
    /// The task that was run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub end: RunOutcome,
    /// The newest checkpoint; empty if there is none.
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

/// A worker's answer to a start. [`Self::Unwell`] means that it is overloaded or unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum StartReply {
    /// started
    Started {
        /// The time on the clock of the incarnation that has the run.
        clock_ms: u64,
    },
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

/// Why a call to a worker has no usable answer. [`Self::Unwell`] means that the worker is
/// overloaded or unavailable; a life ([`Self::OtherLife`]) is an incarnation of the worker.
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

/// The advisor's permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The worker that may run the step.
    pub worker: WorkerId,
    /// The ticket that a start on this worker has to carry.
    pub ticket: String,
}

/// An output of [`Pool::poll_effects`](crate::Pool::poll_effects).
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Get the list of a worker's runs and renew its lease.
    Hold(HoldCall),
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Set the pace (speed limit) of a run.
    Pace(PaceCall),
    /// Ask the advisor which workers may run a step.
    Advise {
        /// The step to be run.
        step: StepId,
        /// The workers to decide about.
        workers: Vec<WorkerId>,
        /// The priority of the step's queue; 0 is the most urgent.
        priority: u32,
        /// The time that the advisor is expected to take.
        cost_ms: u64,
    },
    /// Make rows durable, on the condition that this daemon is still the leader.
    Commit {
        /// The number of the batch.
        batch: u64,
        /// The writes, one for each partition. They may become durable one by one.
        writes: Vec<PartitionWrite>,
    },
    /// Answer the caller of a submission.
    Answer {
        /// The submitted job.
        job: JobId,
        /// Whether the submission is durable.
        accepted: Accepted,
    },
    /// Give up leadership: another daemon is the leader of this pool.
    StepDown,
}

/// The destination of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callee {
    /// The worker to be called.
    pub worker: WorkerId,
    /// Its IP address and port.
    pub address: String,
    /// The fencing token, which the worker compares with the highest one it has seen.
    pub token: u64,
}

/// A long poll that renews a worker's lease and returns the list of its runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldCall {
    /// The worker to be polled.
    pub to: Callee,
    /// When the lease on all runs of the worker expires, by the worker's clock; `None`
    /// does not renew it.
    pub until_ms: Option<u64>,
    /// The worker may forget ended runs up to this number.
    pub forget: u64,
    /// How long the worker may wait for a run to end before it answers.
    pub wait_ms: u64,
    /// The turn in which the call was made, which is the number of the
    /// [`Pool::poll_effects`](crate::Pool::poll_effects) call that returned it. It comes back
    /// with the answer, to tell what the worker knew when it answered.
    pub turn: u64,
}

/// A call that starts a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCall {
    /// The worker to run the task.
    pub to: Callee,
    /// The task to be run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The payload of the job. It is not encoded with the call, since all starts of a
    /// job share it.
    #[serde(skip)]
    pub spec: Arc<JobPayload>,
    /// When the lease on all runs of the worker expires, by the worker's clock. The
    /// start is void after that.
    pub until_ms: u64,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The advisor's ticket; `None` if the queue has no advisor.
    pub ticket: Option<String>,
    /// When the write of the start's row was sent, by the monotonic clock.
    pub written_ms: u64,
    /// For a member of a gang, the time from which on it comes too late for its attempt, by the
    /// monotonic clock.
    pub assembled_by_ms: Option<u64>,
}

impl StartCall {
    /// From when on the start must not be sent to the worker any more, by the monotonic clock.
    pub fn void_ms(&self) -> u64 {
        let void_ms = self.written_ms + START_VALIDITY_MS;
        self.assembled_by_ms.map_or(void_ms, |assembled_by_ms| void_ms.min(assembled_by_ms))
    }

    /// Whether the start must not be sent to the worker any more.
    pub fn is_void(&self, now_ms: u64) -> bool {
        now_ms >= self.void_ms()
    }
}

/// The payload of a job, shared by its starts.
pub type JobPayload = str;

/// A call that stops a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopCall {
    /// The worker that has the run or may have it.
    pub to: Callee,
    /// The task to be stopped.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
}

/// A call that limits the speed of a run, and with it the load that the run puts on
/// others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceCall {
    /// The worker that has the run.
    pub to: Callee,
    /// The task to be paced.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The share of its full speed at which the run may work, in percent.
    pub percent: u32,
}
