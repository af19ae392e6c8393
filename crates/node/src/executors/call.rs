//! Calls to workers and their answers, as the leader and executors exchange them.

use std::collections::HashMap;
use std::sync::Arc;

use bincode::Options;
use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::WorkerId;
use stoatwell_pool::CallError;
use stoatwell_pool::Event;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PaceCall;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;

use crate::outside::Outside;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCall {
    /// Renew the worker's lease and read its lists.
    Hold(HoldCall),
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Let a run work at a share of its speed.
    Pace(PaceCall),
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerReply {
    /// Of a hold.
    Held(Result<HoldReply, CallError>),
    /// Of a start.
    Started(Result<StartReply, CallError>),
    /// Of any other.
    Done(Result<(), CallError>),
    /// Of any that was lost on the way to the worker or back.
    Failed(CallError),
}

/// A call with the number under which its answer is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedCall {
    /// Its number.
    pub number: u64,
    /// The call; that of a start comes without its payload.
    pub call: WorkerCall,
    /// The place of a start's payload in the batch.
    payload: u32,
}

/// Orders that travel together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// After this moment of the executor's clock nothing is started any more.
    pub expires_ms: u64,
    orders: Vec<NumberedCall>,
    /// Payloads of jobs, once each.
    payloads: Vec<Arc<str>>,
}

/// Answers by the numbers of their orders.
pub type Replies = Vec<(u64, WorkerReply)>;

/// What the leader remembers of a call until its answer comes.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// A hold.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// The turn of the pool in which it was made.
        turn: u64,
    },
    /// A start.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// A stop.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// A change of pace.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
}

impl WorkerCall {
    /// What has to be remembered of it.
    pub fn pending(&self) -> PendingCall {
        match self {
            Self::Hold(call) => {
                PendingCall::Hold { worker: call.to.worker.clone(), turn: call.turn }
            }
            Self::Start(StartCall { to, task, run, .. }) => {
                PendingCall::Start { worker: to.worker.clone(), task: *task, run: *run }
            }
            Self::Stop(StopCall { to, task, run }) => {
                PendingCall::Stop { worker: to.worker.clone(), task: *task, run: *run }
            }
            Self::Pace(PaceCall { to, task, run, .. }) => {
                PendingCall::Pace { worker: to.worker.clone(), task: *task, run: *run }
            }
        }
    }

    /// The worker.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Hold(call) => &call.to.worker,
            Self::Start(call) => &call.to.worker,
            Self::Stop(call) => &call.to.worker,
            Self::Pace(call) => &call.to.worker,
        }
    }

    /// Calls the worker.
    pub async fn perform(&self, outside: &impl Outside) -> WorkerReply {
        match self {
            Self::Hold(call) => WorkerReply::Held(outside.hold(call).await),
            Self::Start(call) => WorkerReply::Started(outside.start(call).await),
            Self::Stop(call) => WorkerReply::Done(outside.stop(call).await),
            Self::Pace(call) => WorkerReply::Done(outside.pace(call).await),
        }
    }
}

impl WorkerReply {
    /// Whether the call was made and the worker gave no answer of use.
    pub fn is_unanswered(&self) -> bool {
        matches!(self, Self::Held(Err(_)) | Self::Started(Err(_)) | Self::Done(Err(_)))
    }
}

impl PendingCall {
    /// The worker.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Hold { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Pace { worker, .. } => worker,
        }
    }

    /// What the pool is told of the answer.
    pub fn event(self, reply: WorkerReply) -> Event {
        match (self, reply) {
            (Self::Hold { worker, turn }, reply) => {
                let reply = match reply {
                    WorkerReply::Held(reply) => reply,
                    other => Err(other.error()),
                };
                Event::Held { worker, turn, reply }
            }
            (Self::Start { worker, task, run }, reply) => {
                let reply = match reply {
                    WorkerReply::Started(reply) => reply,
                    other => Err(other.error()),
                };
                Event::Started { task, run, worker, reply }
            }
            (Self::Stop { worker, task, run }, reply) => {
                Event::Stopped { task, run, worker, reply: reply.done() }
            }
            (Self::Pace { worker, task, run }, reply) => {
                Event::Paced { task, run, worker, reply: reply.done() }
            }
        }
    }
}

impl WorkerReply {
    fn done(self) -> Result<(), CallError> {
        match self {
            Self::Done(reply) => reply,
            other => Err(other.error()),
        }
    }

    /// The error of a reply that is not of the kind expected.
    fn error(self) -> CallError {
        match self {
            Self::Failed(error)
            | Self::Held(Err(error))
            | Self::Started(Err(error))
            | Self::Done(Err(error)) => error,
            Self::Held(Ok(_)) | Self::Started(Ok(_)) | Self::Done(Ok(())) => {
                tracing::error!("an executor answered another call than it was given");
                CallError::NoAnswer
            }
        }
    }
}

impl Batch {
    /// Orders for one executor.
    pub fn new(calls: Vec<(u64, WorkerCall)>, expires_ms: u64) -> Self {
        let mut batch = Self { expires_ms, ..Self::default() };
        let mut known: HashMap<*const u8, u32> = HashMap::new();
        for (number, call) in calls {
            let mut payload = 0;
            if let WorkerCall::Start(start) = &call {
                payload = *known.entry(start.spec.as_ptr()).or_insert_with(|| {
                    batch.payloads.push(Arc::clone(&start.spec));
                    batch.payloads.len() as u32 - 1
                });
            }
            batch.orders.push(NumberedCall { number, call, payload });
        }
        batch
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The orders, with the payloads of starts in place.
    pub fn into_calls(self) -> impl Iterator<Item = (u64, WorkerCall)> {
        let payloads = self.payloads;
        self.orders.into_iter().map(move |order| {
            let mut call = order.call;
            if let WorkerCall::Start(start) = &mut call {
                start.spec = payloads.get(order.payload as usize).cloned().unwrap_or_default();
            }
            (order.number, call)
        })
    }
}

/// Short numbers take one byte instead of eight; most of what is exchanged is numbers.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

/// Encodes a batch or replies.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    codec().serialize(value).unwrap_or_else(|error| {
        tracing::error!(%error, "a batch between daemons cannot be encoded");
        Vec::new()
    })
}

/// Decodes a batch or replies.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match codec().deserialize(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(%error, bytes = bytes.len(), "a batch of another daemon cannot be read");
            None
        }
    }
}
