//! The leader's link to one executor.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::CallError;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::call::Batch;
use super::call::PendingCall;
use super::call::Replies;
use super::call::WorkerCall;
use super::call::WorkerReply;
use super::call::decode;
use super::call::encode;
use super::session::SessionId;
use crate::clock::steady_ms;
use crate::peers::NodeCall;
use crate::peers::NodeReply;

/// How long an executor waits for an answer to return.
const COLLECT_WAIT_MS: u64 = 200;
/// Added to it for the round trip between regions and a busy executor.
const COLLECT_MARGIN: Duration = Duration::from_millis(500);
/// How long an executor may take to accept a batch.
const EXECUTE_TIMEOUT: Duration = Duration::from_millis(600);
/// Orders are gathered for this long.
const GATHER: Duration = Duration::from_millis(10);
/// Batches under way; what comes meanwhile goes with the next one.
const BATCHES_MAX: usize = 4;
/// An order that was made longer ago is not carried out any more: the leader's process
/// stood still, or the order was held up, and the leader may have been replaced.
const ORDER_AGE_MAX_MS: u64 = 700;
/// After a session that failed the next one is tried after this ...
const REOPEN_MIN: Duration = Duration::from_millis(500);
/// ... and after this at the latest.
const REOPEN_MAX: Duration = Duration::from_secs(8);

/// A link to one executor.
#[derive(Debug)]
pub struct Link {
    /// Where the executor is reached.
    pub address: String,
    /// Sets this link apart in the choice of a worker's executor.
    pub seed: u64,
    state: Mutex<State>,
    pushed: Notify,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// The executor's clock, and when it was received.
    clock: Option<(u64, u64)>,
    queue: Vec<(u64, u64, WorkerCall)>,
    pending: HashMap<u64, PendingCall>,
    numbers: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The first session is being opened.
    #[default]
    New,
    Open,
    Failed,
}

impl Link {
    /// A link that is not open yet.
    pub fn new(address: String) -> Self {
        let seed = xxh3_64(address.as_bytes());
        Self { address, seed, state: Mutex::default(), pushed: Notify::new() }
    }

    /// Whether it takes orders.
    pub fn is_open(&self) -> bool {
        self.lock().phase == Phase::Open
    }

    /// Whether it takes orders, or has not been tried yet.
    pub fn may_work(&self) -> bool {
        self.lock().phase != Phase::Failed
    }

    /// Queues a call; gives it back if the link is not open.
    pub fn push(&self, call: WorkerCall) -> Option<WorkerCall> {
        let mut state = self.lock();
        if state.phase != Phase::Open {
            return Some(call);
        }
        state.numbers += 1;
        let number = state.numbers;
        state.pending.insert(number, call.pending());
        state.queue.push((number, steady_ms(), call));
        self.pushed.notify_one();
        None
    }

    /// Opens session after session.
    pub async fn run(
        &self,
        peers: &Peers,
        next_session: impl Fn() -> SessionId,
        on_reply: impl Fn(PendingCall, WorkerReply),
        on_change: impl Fn(),
    ) {
        let mut pause = REOPEN_MIN;
        loop {
            let session = next_session();
            if self.collect(peers, session, 0, &on_reply).await {
                pause = REOPEN_MIN;
                self.lock().phase = Phase::Open;
                tracing::info!(
                    executor = self.address,
                    session = session.number,
                    "executor in use"
                );
                on_change();
                tokio::select! {
                    () = self.collect_all(peers, session, &on_reply) => {}
                    () = self.send_all(peers, session, &on_reply) => {}
                }
            }
            self.fail(&on_reply);
            on_change();
            sleep(pause).await;
            pause = (pause * 2).min(REOPEN_MAX);
        }
    }

    async fn collect_all(
        &self,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        while self.collect(peers, session, COLLECT_WAIT_MS, on_reply).await {}
    }

    /// Fetches answers once; `false` if the executor gave none.
    async fn collect(
        &self,
        peers: &Peers,
        session: SessionId,
        wait_ms: u64,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> bool {
        let call = NodeCall::Collect { session, wait_ms };
        let limit = Duration::from_millis(wait_ms) + COLLECT_MARGIN;
        let reply = peers.call::<NodeReply>(&self.address, &call, limit).await;
        let Ok(NodeReply::Collected { clock_ms, replies }) = reply else {
            tracing::debug!(executor = self.address, ?reply, "nothing collected");
            return false;
        };
        let Some(replies) = decode::<Replies>(&replies) else { return false };
        let mut found = Vec::with_capacity(replies.len());
        {
            let mut state = self.lock();
            // The clock was read before its time here, so orders never expire late.
            state.clock = Some((clock_ms, steady_ms()));
            for (number, reply) in replies {
                if let Some(pending) = state.pending.remove(&number) {
                    found.push((pending, reply));
                }
            }
        }
        for (pending, reply) in found {
            on_reply(pending, reply);
        }
        true
    }

    /// Sends what is queued, in batches, until one is not accepted.
    async fn send_all(
        &self,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        let mut under_way: JoinSet<Result<(), (Vec<u64>, CallError)>> = JoinSet::new();
        loop {
            tokio::select! {
                () = self.pushed.notified(), if under_way.len() < BATCHES_MAX => {}
                Some(accepted) = under_way.join_next() => {
                    let Ok(Err((numbers, error))) = accepted else { continue };
                    self.settle(&numbers, error, on_reply);
                    return;
                }
            }
            sleep(GATHER).await;
            let Some((batch, numbers)) = self.next_batch(on_reply) else { continue };
            let peers = peers.clone();
            let address = self.address.clone();
            let call = NodeCall::Execute { session, batch: encode(&batch) };
            under_way.spawn(async move {
                match peers.call::<NodeReply>(&address, &call, EXECUTE_TIMEOUT).await {
                    Ok(NodeReply::Noted) => Ok(()),
                    Ok(_) | Err(PeerError::NotSent(_)) => Err((numbers, CallError::NotSent)),
                    Err(PeerError::NoAnswer(_)) => Err((numbers, CallError::NoAnswer)),
                }
            });
        }
    }

    /// What is queued, but for orders that are too old to be sent.
    fn next_batch(
        &self,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> Option<(Batch, Vec<u64>)> {
        let now_ms = steady_ms();
        let mut state = self.lock();
        let (clock_ms, at_ms) = state.clock?;
        let (fresh, old): (Vec<_>, Vec<_>) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, made_ms, _)| *made_ms + ORDER_AGE_MAX_MS > now_ms);
        drop(state);
        let old: Vec<u64> = old.into_iter().map(|(number, ..)| number).collect();
        self.settle(&old, CallError::NotSent, on_reply);
        let numbers: Vec<u64> = fresh.iter().map(|(number, ..)| *number).collect();
        let calls = fresh.into_iter().map(|(number, _, call)| (number, call)).collect();
        let expires_ms = clock_ms + now_ms.saturating_sub(at_ms) + ORDER_AGE_MAX_MS;
        let batch = Batch::new(calls, expires_ms);
        (!batch.is_empty()).then_some((batch, numbers))
    }

    /// Settles all that waits: what was not sent surely did nothing.
    fn fail(&self, on_reply: &impl Fn(PendingCall, WorkerReply)) {
        let mut state = self.lock();
        if state.phase == Phase::Open {
            let pending = state.pending.len();
            tracing::warn!(executor = self.address, pending, "executor lost");
        }
        state.phase = Phase::Failed;
        let queued: Vec<u64> = state.queue.drain(..).map(|(number, ..)| number).collect();
        drop(state);
        self.settle(&queued, CallError::NotSent, on_reply);
        let mut sent: Vec<u64> = self.lock().pending.keys().copied().collect();
        sent.sort_unstable();
        self.settle(&sent, CallError::NoAnswer, on_reply);
    }

    fn settle(
        &self,
        numbers: &[u64],
        error: CallError,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        for number in numbers {
            let pending = self.lock().pending.remove(number);
            if let Some(pending) = pending {
                on_reply(pending, WorkerReply::Failed(error));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
