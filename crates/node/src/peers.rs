//! The calls between daemons and their replies.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::WorkerId;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobView;
use stoatwell_pool::StepId;

use crate::accept::WriteReply;
use crate::executors::session::BatchPosition;
use crate::executors::session::SessionId;
use crate::manifest::RelayedProof;

/// A call to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonCall {
    /// To the leader: returns a job's state.
    State(JobId),
    /// To the leader: returns how many jobs of a queue have not started.
    Pending(String),
    /// To the leader: makes a job durable.
    Submit {
        /// The submitted job.
        job: JobId,
        /// The job's encoded row.
        row: Vec<u8>,
    },
    /// To the leader: notifies that a job is durable.
    Accepted {
        /// The durable job.
        job: JobId,
        /// The job's encoded row.
        row: Vec<u8>,
    },
    /// To the leader: notifies that the cancellation of a job is durable.
    Cancelled(JobId),
    /// To a daemon that may reach the store: makes a cancellation durable.
    Cancel {
        /// The job to cancel.
        job: JobId,
        /// Maximum time until the reply.
        limit_ms: u64,
    },
    /// To the leader: liveness probe; the reply also says whether the store responds to it.
    Alive,
    /// To any daemon: returns its newest manifest.
    Manifest,
    /// To any daemon: notifies that the calling daemon leads now.
    Leads {
        /// The epoch of the leader lease.
        epoch: u64,
        /// The leader's address for calls from other daemons.
        address: String,
    },
    /// To any daemon: asks the advisor which of these workers may run a step, and returns its
    /// answer.
    Advise {
        /// The step to run.
        step: StepId,
        /// The workers to choose from.
        workers: Vec<WorkerId>,
        /// Maximum time until the reply.
        limit_ms: u64,
    },
    /// To an executor: opens a session, in place of any earlier one.
    OpenSession(SessionId),
    /// To an executor: makes these calls to workers for the leader, unless it has done so already.
    Execute {
        /// The leader's session with this executor.
        session: SessionId,
        /// Which batch of the session it is.
        position: BatchPosition,
        /// An encoded [`Batch`](crate::executors::call::Batch).
        batch: Vec<u8>,
    },
    /// To an executor: returns the replies of workers.
    Collect {
        /// The leader's session with this executor.
        session: SessionId,
        /// The cursor up to which the leader has the replies; the executor forgets these.
        ack_cursor: u64,
        /// How long the executor waits for the first reply.
        wait_ms: u64,
    },
    /// To the leader: notifies that a customer's cancellation of a job that was not found is
    /// durable.
    CancelledUnknown {
        /// The cancelled job.
        job: JobId,
        /// The customer that cancelled it.
        customer: Option<CustomerName>,
    },
    /// To a daemon that may reach the store: makes a customer's cancellation of a job that was not
    /// found durable.
    CancelUnknown {
        /// The job to cancel.
        job: JobId,
        /// The customer that cancels it.
        customer: Option<CustomerName>,
        /// Maximum time until the reply.
        limit_ms: u64,
    },
    /// To a daemon that may reach the store: makes a call to the store for a daemon whose own
    /// path to it fails.
    Store {
        /// Name of the calling daemon, for the log.
        caller: String,
        /// An encoded [`StoreCall`](crate::relay::StoreCall).
        call: Vec<u8>,
        /// Maximum time until the reply.
        limit_ms: u64,
    },
    /// To any daemon: returns the list of daemons as it last read it.
    Daemons,
}

/// A daemon's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonReply {
    /// The job's state; `None` if this daemon does not know the job.
    State(Option<JobView>),
    /// The number of jobs that have not started.
    Pending(u64),
    /// The workers that the advisor allows, each with the ticket that a start on it has to
    /// carry; `None` if the advisor did not answer.
    Advised(Option<Vec<(WorkerId, String)>>),
    /// The outcome of a submission, or of a cancellation.
    Submitted(Accepted),
    /// This daemon leads.
    Alive {
        /// Whether the store responds to it.
        reaches_store: bool,
        /// The number of daemons in the pool that it knows.
        daemons: u32,
        /// The number of candidates: how many of these daemons are fit to lead.
        fit: u32,
        /// The proof of how long ago its manifest was the newest.
        manifest: RelayedProof,
    },
    /// The newest manifest that this daemon knows.
    Manifest {
        /// An encoded [`Manifest`](crate::Manifest).
        manifest: Vec<u8>,
        /// The proof of how long ago this manifest was the newest.
        proof: RelayedProof,
    },
    /// Acknowledges a notification or a batch of calls.
    Noted,
    /// This daemon does not do what the call asks: it does not lead, it does not know the caller's
    /// session, or a batch could not be decoded.
    NotScheduler,
    /// The session is open.
    SessionOpened {
        /// The executor's monotonic clock at the time of the reply.
        clock_ms: u64,
    },
    /// The replies of workers after the caller's cursor.
    Collected {
        /// The executor's monotonic clock at the time of the reply.
        clock_ms: u64,
        /// The cursor of the last of these replies.
        cursor: u64,
        /// Encoded [`Replies`](crate::executors::call::Replies).
        replies: Vec<u8>,
    },
    /// The scheduler took a submission and ended before its outcome was known.
    SubmissionInDoubt,
    /// The outcome of the cancellation of a job that was not found.
    Cancelled(WriteReply),
    /// The encoded result of a call to the store, a
    /// [`StoreReply`](crate::relay::StoreReply) or a [`StoreError`](crate::StoreError).
    Store(Vec<u8>),
    /// The call to the store was not sent: this daemon has no working path to the store itself,
    /// or makes as many calls for others as it may.
    StoreDeclined,
    /// An encoded list of [`DaemonInfo`](crate::DaemonInfo).
    Daemons(Vec<u8>),
}
