//! Calls to workers and their replies, as exchanged between the leader and executors.

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
use stoatwell_pool::OverdueCall;
use stoatwell_pool::PaceCall;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;

use crate::clock::steady_ms;
use crate::platform::Platform;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCall {
    /// Long poll that extends the worker's lease and reads its lists of runs.
    Hold(HoldCall),
    /// Start a run of a task.
    Start(StartCall),
    /// Stop a run of a task.
    Stop(StopCall),
    /// Limit a run to a share of its full speed, its pace.
    Pace(PaceCall),
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerReply {
    /// Outcome of a hold.
    Held(Result<HoldReply, CallError>),
    /// Outcome of a start.
    Started(Result<StartReply, CallError>),
    /// Outcome of any other call.
    Done(Result<(), CallError>),
    /// A call of any kind that was lost between the leader and the executor, or that was
    /// dropped because it was too old.
    Failed(CallError),
}

/// A call with the number that identifies its reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedCall {
    /// Number of the call, unique on its link.
    pub number: u64,
    /// The call; a start is encoded without its payload.
    pub call: WorkerCall,
    /// Index of a start's payload in the batch.
    payload: u32,
    /// How much earlier than the batch the call expires.
    early_ms: u64,
}

/// Calls that are sent together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Time after which no start of it is made and no lease extended any more, by the executor's
    /// clock.
    pub expires_ms: u64,
    orders: Vec<NumberedCall>,
    /// Payloads of jobs; starts of the same job share one.
    payloads: Vec<Arc<str>>,
}

/// Replies with the numbers of their calls.
pub type Replies = Vec<(u64, WorkerReply)>;

/// What the leader keeps of a call until its reply arrives.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// A pending [`WorkerCall::Hold`].
    Hold {
        /// Worker that was called.
        worker: WorkerId,
        /// The pool's scheduling cycle in which it was made.
        turn: u64,
    },
    /// A pending [`WorkerCall::Start`].
    Start {
        /// Worker that was called.
        worker: WorkerId,
        /// Task of the run.
        task: TaskId,
        /// Number of the run, among the task's runs.
        run: u32,
    },
    /// A pending [`WorkerCall::Stop`].
    Stop {
        /// Worker that was called.
        worker: WorkerId,
        /// Task of the run.
        task: TaskId,
        /// Number of the run, among the task's runs.
        run: u32,
    },
    /// A pending [`WorkerCall::Pace`].
    Pace {
        /// Worker that was called.
        worker: WorkerId,
        /// Task of the run.
        task: TaskId,
        /// Number of the run, among the task's runs.
        run: u32,
    },
}

impl WorkerCall {
    /// What the leader has to keep until the reply arrives.
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

    /// The worker to call.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Hold(call) => &call.to.worker,
            Self::Start(call) => &call.to.worker,
            Self::Stop(call) => &call.to.worker,
            Self::Pace(call) => &call.to.worker,
        }
    }

    /// From when on the call must not be made any more; `None` if it may be made at any time.
    pub fn void_ms(&self) -> Option<u64> {
        match self {
            Self::Start(call) => Some(call.void_ms()),
            Self::Hold(_) | Self::Stop(_) | Self::Pace(_) => None,
        }
    }

    /// Whether it may repeat another call, or ask for the effect of one.
    pub fn is_follow_up(&self) -> bool {
        match self {
            Self::Stop(_) => true,
            Self::Hold(call) => call.wait_ms == 0,
            Self::Start(_) | Self::Pace(_) => false,
        }
    }

    /// How long the worker may wait before it answers.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Hold(call) => call.wait_ms,
            Self::Start(_) | Self::Stop(_) | Self::Pace(_) => 0,
        }
    }

    /// Logs what became of a start or a stop that this daemon made. `expires_ms` is when a start
    /// would have been too old for it.
    pub fn log_outcome(
        &self,
        reply: &WorkerReply,
        epoch: u64,
        began_ms: u64,
        expires_ms: Option<u64>,
    ) {
        let StartCall { to, task, run, .. } = match self {
            Self::Start(call) => call,
            Self::Stop(StopCall { to, task, run }) => {
                let took_ms = steady_ms().saturating_sub(began_ms);
                let worker = &to.worker;
                tracing::info!(%task, run, %worker, epoch, took_ms, ?reply, "stop made");
                return;
            }
            Self::Hold(_) | Self::Pace(_) => return,
        };
        let worker = &to.worker;
        let too_old_ms = expires_ms.map(|expires_ms| began_ms.saturating_sub(expires_ms));
        if let (WorkerReply::Failed(CallError::NotSent), Some(too_old_ms)) = (reply, too_old_ms) {
            metrics::counter!("stoatwell_starts_too_old_total").increment(1);
            tracing::info!(%task, run, %worker, epoch, too_old_ms, "start not made: it is too old");
            return;
        }
        let took_ms = steady_ms().saturating_sub(began_ms);
        let left_ms = expires_ms.map(|expires_ms| expires_ms.saturating_sub(began_ms));
        tracing::info!(%task, run, %worker, epoch, left_ms, took_ms, ?reply, "start made");
    }

    /// Makes the call and waits for its outcome.
    pub async fn perform(&self, platform: &impl Platform) -> WorkerReply {
        match self {
            Self::Hold(call) => WorkerReply::Held(platform.hold(call).await),
            Self::Start(call) => WorkerReply::Started(platform.start(call).await),
            Self::Stop(call) => WorkerReply::Done(platform.stop(call).await),
            Self::Pace(call) => WorkerReply::Done(platform.pace(call).await),
        }
    }
}

impl WorkerReply {
    /// Whether the call was made and got no usable reply from the worker.
    pub fn is_unanswered(&self) -> bool {
        matches!(self, Self::Held(Err(_)) | Self::Started(Err(_)) | Self::Done(Err(_)))
    }
}

impl PendingCall {
    /// Its kind, in the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hold { .. } => "hold",
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Pace { .. } => "pace",
        }
    }

    /// Whether it is a start or a stop.
    pub fn is_about_run(&self) -> bool {
        matches!(self, Self::Start { .. } | Self::Stop { .. })
    }

    /// The reply that stands for a call whose answer has not come in its time.
    pub fn unanswered(&self) -> WorkerReply {
        match self {
            Self::Hold { .. } => WorkerReply::Held(Err(CallError::NoAnswer)),
            Self::Start { .. } => WorkerReply::Started(Err(CallError::NoAnswer)),
            Self::Stop { .. } | Self::Pace { .. } => WorkerReply::Done(Err(CallError::NoAnswer)),
        }
    }

    /// The event that tells the pool that the answer is overdue; `None` if it does not matter.
    pub fn overdue_event(&self) -> Option<Event> {
        let (worker, call) = match self {
            Self::Hold { worker, turn } => (worker, OverdueCall::Hold { turn: *turn }),
            Self::Start { worker, task, run } => {
                (worker, OverdueCall::Start { task: *task, run: *run })
            }
            Self::Stop { worker, task, run } => {
                (worker, OverdueCall::Stop { task: *task, run: *run })
            }
            Self::Pace { .. } => return None,
        };
        Some(Event::Overdue { worker: worker.clone(), call })
    }

    /// Logs by which way the answer to a stop came, and how long it took.
    pub fn log_answer(&self, through: &str, took_ms: u64, reply: &WorkerReply) {
        let Self::Stop { worker, task, run } = self else { return };
        tracing::info!(%task, run, %worker, through, took_ms, ?reply, "stop answered");
    }

    /// The worker that was called.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Hold { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Pace { worker, .. } => worker,
        }
    }

    /// The event that tells the pool of the reply.
    pub fn into_event(self, reply: WorkerReply) -> Event {
        match (self, reply) {
            (Self::Hold { worker, turn }, reply) => {
                let reply = match reply {
                    WorkerReply::Held(reply) => reply,
                    other => Err(other.into_error()),
                };
                Event::Held { worker, turn, reply }
            }
            (Self::Start { worker, task, run }, reply) => {
                let reply = match reply {
                    WorkerReply::Started(reply) => reply,
                    other => Err(other.into_error()),
                };
                Event::Started { task, run, worker, reply }
            }
            (Self::Stop { worker, task, run }, reply) => {
                Event::Stopped { task, run, worker, reply: reply.into_done() }
            }
            (Self::Pace { worker, task, run }, reply) => {
                Event::Paced { task, run, worker, reply: reply.into_done() }
            }
        }
    }
}

impl WorkerReply {
    fn into_done(self) -> Result<(), CallError> {
        match self {
            Self::Done(reply) => reply,
            other => Err(other.into_error()),
        }
    }

    /// The error that stands for a reply of another kind than expected.
    fn into_error(self) -> CallError {
        match self {
            Self::Failed(error)
            | Self::Held(Err(error))
            | Self::Started(Err(error))
            | Self::Done(Err(error)) => error,
            Self::Held(Ok(_)) | Self::Started(Ok(_)) | Self::Done(Ok(())) => {
                tracing::error!(
                    "the reply of an executor is not of its call's kind; it counts as no answer"
                );
                CallError::NoAnswer
            }
        }
    }
}

impl Batch {
    /// A batch of numbered calls for one executor that expire at the same time.
    pub fn new(calls: Vec<(u64, WorkerCall)>, expires_ms: u64) -> Self {
        Self::expiring(calls.into_iter().map(|(number, call)| (number, expires_ms, call)).collect())
    }

    /// A batch of calls, each with its number and the time after which it is not made any more if
    /// it is a start, by the executor's clock.
    pub fn expiring(calls: Vec<(u64, u64, WorkerCall)>) -> Self {
        let expires_ms = calls.iter().map(|(_, expires_ms, _)| *expires_ms).max().unwrap_or(0);
        let mut batch = Self { expires_ms, ..Self::default() };
        let mut payload_indexes: HashMap<*const u8, u32> = HashMap::new();
        for (number, call_expires_ms, call) in calls {
            let mut payload = 0;
            if let WorkerCall::Start(start) = &call {
                payload = *payload_indexes.entry(start.spec.as_ptr()).or_insert_with(|| {
                    batch.payloads.push(Arc::clone(&start.spec));
                    batch.payloads.len() as u32 - 1
                });
            }
            let early_ms = expires_ms - call_expires_ms;
            batch.orders.push(NumberedCall { number, call, payload, early_ms });
        }
        batch
    }

    /// Whether it has no calls.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The numbered calls; starts get their payloads back.
    pub fn into_calls(self) -> impl Iterator<Item = (u64, WorkerCall)> {
        self.into_expiring_calls().map(|(number, _, call)| (number, call))
    }

    /// The same with the time after which each expires, by the executor's clock.
    pub fn into_expiring_calls(self) -> impl Iterator<Item = (u64, u64, WorkerCall)> {
        let (payloads, expires_ms) = (self.payloads, self.expires_ms);
        self.orders.into_iter().map(move |order| {
            let mut call = order.call;
            if let WorkerCall::Start(start) = &mut call {
                start.spec = payloads.get(order.payload as usize).cloned().unwrap_or_default();
            }
            (order.number, expires_ms.saturating_sub(order.early_ms), call)
        })
    }
}

/// Encodes integers with variable length: small ones take one byte instead of eight, and most
/// of what is exchanged is integers.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

/// Encodes a batch, replies or a manifest.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    codec().serialize(value).unwrap_or_else(|error| {
        tracing::error!(%error, "cannot encode a message to another daemon; sending an empty one");
        Vec::new()
    })
}

/// The number of bytes of an encoded value.
pub fn encoded_bytes(value: &impl Serialize) -> usize {
    codec().serialized_size(value).map_or(0, |bytes| bytes as usize)
}

/// Decodes a batch, replies or a manifest. `content` names it in logs and metrics.
pub fn decode<T: serde::de::DeserializeOwned>(content: &'static str, bytes: &[u8]) -> Option<T> {
    match codec().deserialize(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(
                content, %error, bytes = bytes.len(),
                "cannot decode a message from another daemon"
            );
            metrics::counter!("stoatwell_undecodable_messages_total", "content" => content)
                .increment(1);
            None
        }
    }
}
