//! What goes into and comes out of an engine, and what daemons say to each other.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_catalogue::Change;
use stoatwell_catalogue::News;
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

/// Names a caller that waits for an answer.
pub type Ticket = u64;
/// Names a call whose result comes back as an event.
pub type OpId = u64;

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// Somebody who may do everything.
    Operator,
    /// A customer, for its own work only.
    Owner(OwnerName),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Some time passed.
    Tick,
    /// Work was submitted.
    Submit {
        /// Who waits.
        ticket: Ticket,
        /// Who asks.
        caller: Caller,
        /// The caller's idempotency key.
        key: String,
        /// The work.
        submission: Submission,
        /// How long to wait for the outcome.
        wait_ms: u64,
    },
    /// Somebody asks how a job is.
    Status {
        /// Who waits.
        ticket: Ticket,
        /// Who asks.
        caller: Caller,
        /// The job.
        job: JobId,
        /// How long to wait for the outcome.
        wait_ms: u64,
    },
    /// Somebody wants a job no more.
    Cancel {
        /// Who waits.
        ticket: Ticket,
        /// Who asks.
        caller: Caller,
        /// The job.
        job: JobId,
    },
    /// An operator changes the catalogue.
    Edit {
        /// Who waits.
        ticket: Ticket,
        /// The item.
        key: String,
        /// The change.
        edit: EditKind,
        /// The revision that the item must have.
        expected: Option<u64>,
        /// Who asks.
        by: String,
    },
    /// Somebody asks the store through this daemon.
    Store {
        /// Who waits.
        ticket: Ticket,
        /// The question.
        call: StoreCall,
    },
    /// Another daemon calls.
    Peer {
        /// Who waits.
        ticket: Ticket,
        /// The call.
        call: PeerCall,
    },
    /// The store answered, or did not.
    StoreDone {
        /// The call.
        op: OpId,
        /// Its result.
        reply: Result<StoreReply, CallError>,
    },
    /// A worker answered, or did not.
    WorkerDone {
        /// The call.
        op: OpId,
        /// Its result.
        reply: Result<WorkerReply, CallError>,
    },
    /// A minion answered, or did not.
    MinionDone {
        /// The call.
        op: OpId,
        /// Its result.
        reply: Result<MinionReply, CallError>,
    },
    /// A peer answered, or did not.
    PeerDone {
        /// The call.
        op: OpId,
        /// Its result.
        reply: Result<PeerReply, CallError>,
    },
    /// A planned stop begins.
    Stop,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store.
    Store {
        /// Names the call.
        op: OpId,
        /// The call.
        call: StoreCall,
    },
    /// Call a worker.
    Worker {
        /// Names the call.
        op: OpId,
        /// The worker.
        worker: WorkerId,
        /// IP and port.
        address: String,
        /// The call.
        call: WorkerCall,
    },
    /// Call a minion.
    Minion {
        /// Names the call.
        op: OpId,
        /// The minion.
        minion: MinionId,
        /// IP and port.
        address: String,
        /// The call.
        call: MinionCall,
    },
    /// Call another daemon.
    Peer {
        /// Names the call.
        op: OpId,
        /// IP and port.
        address: String,
        /// The call.
        call: PeerCall,
        /// How long its answer is awaited.
        timeout_ms: u64,
    },
    /// Answer somebody who waits.
    Answer {
        /// Who waits.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
}

/// An answer to somebody who waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// How a job is.
    Job(Result<JobView, Failure>),
    /// A change that was made.
    Edited(Result<Change, Failure>),
    /// What the store said.
    Store(Result<StoreReply, CallError>),
    /// To another daemon.
    Peer(PeerReply),
}

/// What one daemon asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// I am here; the answer is the same from the other side.
    Heartbeat {
        /// The sender.
        beat: Heartbeat,
        /// What the sender knows of zones that the receiver does not hear itself.
        news: Vec<ZoneUpdate>,
    },
    /// What changed in the catalogue since this revision?
    CatalogueSince {
        /// The sender's revision.
        revision: u64,
    },
    /// The catalogue has this revision now.
    Changed {
        /// The revision.
        revision: u64,
    },
    /// Take this work, which I cannot run.
    Submit(SubmitCall),
    /// How is this job?
    Status {
        /// The job.
        job: JobId,
        /// How long to wait for its outcome.
        wait_ms: u64,
    },
    /// Cancel this job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Set room aside on your workers for tasks that I run.
    Reserve {
        /// The job they belong to.
        meta: JobMeta,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Give back room that was set aside.
    Unreserve {
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Start tasks on the room set aside.
    Start {
        /// Each with its worker and the token of the reservation.
        tasks: Vec<(WorkerId, Token, StartTask)>,
    },
    /// Stop tasks on your workers.
    Stop {
        /// The attempts.
        attempts: Vec<(AttemptId, WorkerId)>,
        /// How.
        mode: StopMode,
    },
    /// What became of these attempts? Whoever holds their worker knows.
    Inquire {
        /// Who runs their job now and hears of them from now on.
        coordinator: DaemonId,
        /// Each with its worker and the token of its intent.
        attempts: Vec<(AttemptId, WorkerId, Token)>,
    },
    /// Which attempts of these jobs are on your workers?
    Find {
        /// Who runs the jobs now and hears of them from now on.
        coordinator: DaemonId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// What became of tasks that you run, on workers that I hold.
    Report {
        /// The sender.
        from: DaemonId,
        /// What was seen.
        reports: Vec<(AttemptId, WorkerId, Observation)>,
    },
    /// The outcome is durable; the workers may forget these.
    Acknowledge {
        /// The attempts.
        attempts: Vec<(AttemptId, WorkerId)>,
    },
    /// I stop; these jobs are yours to take.
    Adopt {
        /// The jobs.
        jobs: Vec<JobId>,
    },
}

/// What one daemon answers another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The same from the other side.
    Heartbeat {
        /// The answerer.
        beat: Heartbeat,
        /// What it knows of other zones.
        news: Vec<ZoneUpdate>,
    },
    /// What changed.
    News(News),
    /// How a job is.
    Job(Result<JobView, Failure>),
    /// Room that was set aside.
    Reserved {
        /// For each attempt that got room.
        reservations: Vec<Reservation>,
    },
    /// For each attempt, what became of it; nothing for those of other holders.
    Tasks(Vec<TaskReply>),
    /// Attempts that the sender need not report again.
    Acknowledged {
        /// The attempts.
        attempts: Vec<AttemptId>,
        /// Attempts of jobs that the receiver does not run.
        unknown: Vec<AttemptId>,
    },
    /// Taken note of.
    Noted,
}

/// Work that another daemon was asked to take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitCall {
    /// Whose work it is.
    pub owner: OwnerName,
    /// The caller's idempotency key.
    pub key: String,
    /// The work.
    pub submission: Submission,
    /// How long to wait for the outcome.
    pub wait_ms: u64,
}

/// What the holder of a worker needs to know of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobMeta {
    /// The job.
    pub job: JobId,
    /// Whose it is.
    pub owner: OwnerName,
    /// Its entry.
    pub entry: EntryName,
    /// Its class.
    pub class: Class,
    /// Its promise.
    pub execution: Execution,
    /// Its urgency.
    pub urgency: Urgency,
    /// What one task is declared to need.
    pub demand: Resources,
    /// When it was accepted.
    pub accepted_ms: UnixMs,
}

/// Room set aside on a worker of another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt it is for.
    pub attempt: AttemptId,
    /// The worker.
    pub worker: WorkerId,
    /// The token under which it may start.
    pub token: Token,
    /// How much.
    pub demand: Resources,
}

/// What the holder of a worker saw of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The worker reports it so.
    State(TaskState),
    /// It never started and never will.
    Absent,
    /// Whether it started is not known yet.
    Pending,
    /// The worker lost its memory; nothing can tell.
    Forgotten,
}

/// What became of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its worker.
    pub worker: WorkerId,
    /// What was seen.
    pub seen: Observation,
}

/// What is known of another zone, in short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// The zone.
    pub zone: ZoneName,
    /// How old this is.
    pub age_ms: u64,
    /// Its daemons that are alive.
    pub daemons: Vec<Identity>,
    /// The newest catalogue revision there.
    pub revision: u64,
    /// What all its workers together can take.
    pub summary: Summary,
}
