//! What daemons ask of each other.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::WorkerId;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobView;
use stoatwell_pool::StepId;

use crate::executors::session::SessionId;
use crate::manifest::RelayedProof;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeCall {
    /// To the scheduler: where does a job stand?
    State(JobId),
    /// To the scheduler: how many jobs of this queue wait?
    Pending(String),
    /// To the scheduler: make this job durable.
    Submit {
        /// The job.
        job: JobId,
        /// Its row.
        row: Vec<u8>,
    },
    /// To the scheduler: this job is durable.
    Accepted {
        /// The job.
        job: JobId,
        /// Its row.
        row: Vec<u8>,
    },
    /// To the scheduler: this cancellation is durable.
    Cancelled(JobId),
    /// To a daemon that may reach the store: make this cancellation durable.
    Cancel {
        /// The job.
        job: JobId,
        /// How long the answer may take.
        limit_ms: u64,
    },
    /// To the scheduler: does it live, and does the store answer it?
    Alive,
    /// To any daemon: what is the newest manifest?
    Manifest,
    /// To any daemon: this one schedules now.
    Leads {
        /// Which holder of the duty it is.
        epoch: u64,
        /// Where it is reached.
        address: String,
    },
    /// To any daemon: which of these workers may run the step?
    Advise {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerId>,
        /// How long the answer may take.
        limit_ms: u64,
    },
    /// To an executor: make these calls to workers.
    Execute {
        /// The leader's session with it.
        session: SessionId,
        /// A [`Batch`](crate::executors::call::Batch), encoded.
        batch: Vec<u8>,
    },
    /// To an executor: what did workers answer?
    Collect {
        /// The leader's session with it.
        session: SessionId,
        /// How long to wait for an answer.
        wait_ms: u64,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReply {
    /// Where the job stands; `None` is unknown here.
    State(Option<JobView>),
    /// How many wait.
    Pending(u64),
    /// Workers with their tickets; `None` is no answer from the advisor.
    Advised(Option<Vec<(WorkerId, String)>>),
    /// What became of a submission or cancellation.
    Submitted(Accepted),
    /// This daemon schedules.
    Alive {
        /// Whether the store answers it.
        reaches_store: bool,
        /// How many daemons there are, for all it knows.
        daemons: u32,
        /// How many of them are fit to lead.
        fit: u32,
        /// Up to when its manifest was the newest.
        manifest: RelayedProof,
    },
    /// The newest manifest that this daemon knows.
    Manifest {
        /// A [`Manifest`](crate::Manifest), encoded.
        manifest: Vec<u8>,
        /// Up to when it was the newest.
        proof: RelayedProof,
    },
    /// Taken note of.
    Noted,
    /// This daemon does not schedule, or not for this leader.
    NotScheduler,
    /// What workers answered.
    Collected {
        /// The executor's steady clock.
        clock_ms: u64,
        /// [`Replies`](crate::executors::call::Replies), encoded.
        replies: Vec<u8>,
    },
}
