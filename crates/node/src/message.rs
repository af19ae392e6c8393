//! Messages to the scheduler.

use stoatwell_pool::Accepted;
use stoatwell_pool::Cancellation;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::JobView;
use stoatwell_pool::PoolDump;
use tokio::sync::oneshot;

/// A request to the scheduler from a daemon: a query, a command, or a notification. A
/// reply is sent through the variant's sender, which is dropped if there is none.
#[derive(Debug)]
pub enum SchedulerRequest {
    /// Asks for a job's state; the reply is `None` if the scheduler does not know the job.
    State(JobId, oneshot::Sender<Option<JobView>>),
    /// Asks how many jobs of a queue have not started.
    Pending(String, oneshot::Sender<u64>),
    /// Submits a job with its encoded row; the reply comes once its outcome is known.
    Submit(JobId, Vec<u8>, oneshot::Sender<Accepted>),
    /// Notifies that a job, given with its encoded row, is durable.
    Accepted(JobId, Vec<u8>),
    /// Notifies that the cancellation of a job is durable. The reply says that no task of it starts
    /// any more; there is none while that is not certain.
    Cancelled(JobId, Cancellation, oneshot::Sender<()>),
    /// Asks for a dump of the scheduler's state.
    Dump(oneshot::Sender<PoolDump>),
    /// Asks why a job is in its present state; the reply has one line per step.
    Explain(JobId, oneshot::Sender<Vec<String>>),
}

/// A message in the scheduler's inbox.
#[derive(Debug)]
pub enum Message {
    /// An event that changes the pool's state.
    Event(Event),
    /// A request from this daemon or another one.
    Request(SchedulerRequest),
    /// This daemon no longer holds the leader lease.
    LeadershipLost,
}
