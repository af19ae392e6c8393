//! Events and effects of the engine, and the calls and replies between daemons.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_catalogue::CatalogueUpdate;
use stoatwell_catalogue::Change;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::DaemonId;
use stoatwell_model::EntryName;
use stoatwell_model::Execution;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::MinionId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::job::JobView;
use stoatwell_model::job::Submission;
use stoatwell_model::peer::Heartbeat;
use stoatwell_model::peer::Identity;
use stoatwell_model::peer::Summary;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;
use stoatwell_platform::CallError;
use stoatwell_platform::MinionCall;
use stoatwell_platform::MinionReply;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::WorkerCall;
use stoatwell_platform::WorkerReply;

/// Identifies a caller that waits for an answer.
pub type Ticket = u64;
/// Identifies a call whose result comes back as an event.
pub type OpId = u64;

/// The origin of a call, which decides what it may access.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An operator, who has access to everything.
    Operator,
    /// A customer, who has access to its own work only.
    Owner(OwnerName),
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller submitted work.
    Submit {
        /// Identifies the answer.
        ticket: Ticket,
        /// Who submitted it.
        caller: Caller,
        /// The caller's idempotency key.
        key: String,
        /// The work.
        submission: Submission,
        /// How long to wait for the outcome before answering without it.
        wait_ms: u64,
    },
    /// A caller queries the state of a job.
    Status {
        /// Identifies the answer.
        ticket: Ticket,
        /// Who asks.
        caller: Caller,
        /// The job to look up.
        job: JobId,
        /// How long to wait for the outcome before answering without it.
        wait_ms: u64,
    },
    /// A caller cancels a job.
    Cancel {
        /// Identifies the answer.
        ticket: Ticket,
        /// Who asks.
        caller: Caller,
        /// The job to cancel.
        job: JobId,
    },
    /// An operator changes the catalogue.
    Edit {
        /// Identifies the answer.
        ticket: Ticket,
        /// Key of the catalogue item.
        key: String,
        /// The change.
        edit: EditKind,
        /// The revision that the item must have; 0 if it must be new, `None` for any.
        expected: Option<u64>,
        /// The author of the change, recorded with it.
        by: String,
    },
    /// A caller reads from the store through this daemon.
    Store {
        /// Identifies the answer.
        ticket: Ticket,
        /// The call, forwarded as it is.
        call: StoreCall,
    },
    /// A call from another daemon.
    Peer {
        /// Identifies the reply.
        ticket: Ticket,
        /// The call.
        call: PeerCall,
    },
    /// The result of [`Effect::Store`].
    StoreDone {
        /// The id from the effect.
        op: OpId,
        /// The reply, or why there is none.
        reply: Result<StoreReply, CallError>,
    },
    /// The result of [`Effect::Worker`].
    WorkerDone {
        /// The id from the effect.
        op: OpId,
        /// The reply, or why there is none.
        reply: Result<WorkerReply, CallError>,
    },
    /// The result of [`Effect::Minion`].
    MinionDone {
        /// The id from the effect.
        op: OpId,
        /// The reply, or why there is none.
        reply: Result<MinionReply, CallError>,
    },
    /// The result of [`Effect::Peer`].
    PeerDone {
        /// The id from the effect.
        op: OpId,
        /// The reply, or why there is none.
        reply: Result<PeerReply, CallError>,
    },
    /// A planned shutdown begins.
    Stop,
}

/// An output of the engine, to be executed by the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store.
    Store {
        /// Id for the result event.
        op: OpId,
        /// The call.
        call: StoreCall,
    },
    /// Call a worker.
    Worker {
        /// Id for the result event.
        op: OpId,
        /// The worker to call.
        worker: WorkerId,
        /// IP and port.
        address: String,
        /// The call.
        call: WorkerCall,
    },
    /// Call a minion.
    Minion {
        /// Id for the result event.
        op: OpId,
        /// The minion to call.
        minion: MinionId,
        /// IP and port.
        address: String,
        /// The call.
        call: MinionCall,
    },
    /// Call another daemon.
    Peer {
        /// Id for the result event.
        op: OpId,
        /// IP and port.
        address: String,
        /// The call.
        call: PeerCall,
        /// How long to wait for the reply.
        timeout_ms: u64,
    },
    /// Answer a waiting caller.
    Answer {
        /// The ticket from the event that asked.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
}

/// An answer to a waiting caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job, or why it was refused.
    Job(Result<JobView, Failure>),
    /// The catalogue change that was made, or why it was refused.
    Edited(Result<Change, Failure>),
    /// The reply of the store.
    Store(Result<StoreReply, CallError>),
    /// The reply to a call from another daemon.
    Peer(PeerReply),
}

/// A call from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// The sender is alive; the reply is a heartbeat of the receiver.
    Heartbeat {
        /// The sender's own state.
        beat: Heartbeat,
        /// Updates about zones other than the receiver's.
        news: Vec<ZoneUpdate>,
    },
    /// Requests the catalogue changes since a revision.
    CatalogueSince {
        /// The sender's current revision.
        revision: u64,
    },
    /// Announces a new catalogue revision, which the receiver fetches from the store.
    Changed {
        /// The newest revision that the sender knows.
        revision: u64,
    },
    /// Forwards a submission that the sender cannot run.
    Submit(SubmitCall),
    /// Queries the state of a job that the receiver coordinates.
    Status {
        /// The job to look up.
        job: JobId,
        /// How long to wait for its outcome before answering without it.
        wait_ms: u64,
    },
    /// Cancels a job that the receiver coordinates.
    Cancel {
        /// The job to cancel.
        job: JobId,
    },
    /// Reserves capacity on the receiver's workers for tasks of a job of the sender.
    Reserve {
        /// The job that the tasks belong to.
        meta: JobMeta,
        /// The attempts to reserve capacity for.
        attempts: Vec<AttemptId>,
    },
    /// Releases reservations that the sender does not use.
    Unreserve {
        /// The attempts whose reservations are released.
        attempts: Vec<AttemptId>,
    },
    /// Starts tasks on reserved capacity.
    Start {
        /// Each task with the worker and the fencing token of its reservation.
        tasks: Vec<(WorkerId, Token, StartTask)>,
    },
    /// Stops tasks on the receiver's workers.
    Stop {
        /// The attempts to stop.
        attempts: Vec<(AttemptId, WorkerId)>,
        /// Whether to stop them at once, with a checkpoint, or only to throttle them.
        mode: StopMode,
    },
    /// Asks what became of certain attempts, each on a known worker that the receiver may
    /// hold.
    Inquire {
        /// The daemon that coordinates the job now and gets later reports.
        coordinator: DaemonId,
        /// Each attempt with its worker and the fencing token of its intent.
        attempts: Vec<(AttemptId, WorkerId, Token)>,
    },
    /// Asks which attempts of certain jobs are on workers that the receiver holds. Sent after
    /// a takeover, when the workers of the attempts are not known.
    Find {
        /// The daemon that coordinates the jobs now and gets later reports.
        coordinator: DaemonId,
        /// The jobs whose attempts are searched for.
        jobs: Vec<JobId>,
    },
    /// Reports what became of tasks of the receiver's jobs on workers that the sender holds.
    Report {
        /// The sending daemon.
        from: DaemonId,
        /// The latest observation of each attempt.
        reports: Vec<(AttemptId, WorkerId, Observation)>,
    },
    /// The outcome is durable, so the workers may forget these attempts.
    Acknowledge {
        /// Each attempt with its worker.
        attempts: Vec<(AttemptId, WorkerId)>,
    },
    /// The sender shuts down and hands these jobs to the receiver, which takes them over.
    Adopt {
        /// The jobs, whose records already name the receiver.
        jobs: Vec<JobId>,
    },
}

/// The reply of one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The heartbeat of the receiver.
    Heartbeat {
        /// The receiver's own state.
        beat: Heartbeat,
        /// An update about the receiver's zone, for a sender in another zone.
        news: Vec<ZoneUpdate>,
    },
    /// The catalogue changes that were requested by [`PeerCall::CatalogueSince`].
    News(CatalogueUpdate),
    /// The state of a job, or why it was refused.
    Job(Result<JobView, Failure>),
    /// The reservations that were made.
    Reserved {
        /// One for each attempt that got capacity; the others got none.
        reservations: Vec<Reservation>,
    },
    /// What became of each attempt. Attempts on workers that the receiver does not hold are
    /// left out.
    Tasks(Vec<TaskReply>),
    /// The reports that arrived.
    Acknowledged {
        /// Attempts that need not be reported again.
        attempts: Vec<AttemptId>,
        /// Attempts of jobs that the replying daemon does not coordinate.
        unknown: Vec<AttemptId>,
    },
    /// Acknowledges a call that has no result.
    Noted,
}

/// A submission that is forwarded to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitCall {
    /// The customer that owns the work.
    pub owner: OwnerName,
    /// The caller's idempotency key.
    pub key: String,
    /// The work.
    pub submission: Submission,
    /// How long to wait for the outcome before answering without it.
    pub wait_ms: u64,
}

/// What the holder of a worker needs to know about a job in order to place its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobMeta {
    /// The job's id.
    pub job: JobId,
    /// The customer that owns it.
    pub owner: OwnerName,
    /// The work entry that it was submitted to.
    pub entry: EntryName,
    /// The class of its entry.
    pub class: Class,
    /// The execution guarantee.
    pub execution: Execution,
    /// The urgency of its entry.
    pub urgency: Urgency,
    /// The declared demand of one task.
    pub demand: Resources,
    /// When the job was accepted.
    pub accepted_ms: UnixMs,
}

/// Capacity reserved on a worker of another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt that may use it.
    pub attempt: AttemptId,
    /// The worker with the capacity.
    pub worker: WorkerId,
    /// The fencing token for the start.
    pub token: Token,
    /// The amount reserved.
    pub demand: Resources,
}

/// What the holder of a worker observed of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The state that the worker reports.
    State(TaskState),
    /// The attempt never started and never will.
    Absent,
    /// It is not known yet whether the attempt started.
    Pending,
    /// The worker lost its state, so what became of the attempt cannot be found out.
    Forgotten,
}

/// An observation of one attempt on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    /// The attempt that was asked about.
    pub attempt: AttemptId,
    /// The worker it was placed on.
    pub worker: WorkerId,
    /// What the worker's holder observed.
    pub seen: Observation,
}

/// A short update about a zone, passed between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// The zone that it describes.
    pub zone: ZoneName,
    /// Age of the information when it was sent.
    pub age_ms: u64,
    /// The live daemons of the zone.
    pub daemons: Vec<Identity>,
    /// The newest catalogue revision known in the zone.
    pub revision: u64,
    /// Load and capacity of all workers of the zone together.
    pub summary: Summary,
}
