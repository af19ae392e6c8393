//! What the scheduler hears, and the way it reaches it.

use stoatwell_pool::Accepted;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::JobView;
use stoatwell_pool::PoolDump;
use tokio::sync::oneshot;

/// A question to the scheduler.
#[derive(Debug)]
pub enum Query {
    /// Where does a job stand?
    State(JobId, oneshot::Sender<Option<JobView>>),
    /// How many jobs of a queue wait?
    Pending(String, oneshot::Sender<u64>),
    /// Make a job durable.
    Submit(JobId, Vec<u8>, oneshot::Sender<Accepted>),
    /// A job is durable.
    Accepted(JobId, Vec<u8>),
    /// A cancellation is durable.
    Cancelled(JobId),
    /// What does it believe?
    Dump(oneshot::Sender<PoolDump>),
    /// Why is a job where it is?
    Explain(JobId, oneshot::Sender<Vec<String>>),
}

/// What the scheduler hears.
#[derive(Debug)]
pub enum Message {
    /// Something happened to the pool.
    Event(Event),
    /// Somebody asks.
    Query(Query),
    /// Another daemon schedules now.
    LeadershipLost,
}
