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
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::tasks::log_panic;

/// How long an executor that has no replies waits for one when the leader collects them.
const COLLECT_WAIT_MS: u64 = 200;
/// Added to the wait for the round trip between regions and a busy executor.
const COLLECT_MARGIN: Duration = Duration::from_millis(500);
/// How long an executor may take to accept a batch.
const EXECUTE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long calls are gathered for a batch.
const GATHER_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of batches in flight. Further calls are queued for the next batch.
const BATCHES_IN_FLIGHT_MAX: usize = 4;
/// A queued call that is older than this is not sent, and an executor does not make a start
/// that is older. Either the leader's process was suspended or the call was delayed, and the
/// leader may have been replaced meanwhile.
const CALL_AGE_MAX_MS: u64 = 700;
/// Delay before a new session is opened after one that failed. It is doubled with each
/// further failure, up to [`REOPEN_DELAY_MAX`].
const REOPEN_DELAY_MIN: Duration = Duration::from_millis(500);
/// Maximum delay before a new session is opened.
const REOPEN_DELAY_MAX: Duration = Duration::from_secs(8);

/// Names of the calls to an executor, for the log.
const COLLECT: &str = "collecting replies";
const EXECUTE: &str = "sending a batch";

/// The leader's link to one executor.
#[derive(Debug)]
pub struct Link {
    /// Address of the executor.
    pub address: String,
    /// Hash seed of this link in the choice of a worker's executor.
    pub seed: u64,
    state: Mutex<State>,
    queued: Notify,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// The executor's clock, and the local time at which it was received.
    clock: Option<(u64, u64)>,
    /// Calls to send: the number, the time at which it was queued, and the call.
    queue: Vec<(u64, u64, WorkerCall)>,
    pending: HashMap<u64, PendingCall>,
    last_number: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The first session is being opened.
    #[default]
    New,
    Open,
    Failed,
}

/// Why a session ended, or could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
enum SessionEnd {
    /// the executor rejected {0}
    Rejected(&'static str),
    /// {0} failed: {1}
    CallFailed(&'static str, PeerError),
    /// the replies cannot be decoded
    Undecodable,
    /// the task that sends a batch panicked
    Panicked,
}

impl SessionEnd {
    /// Its name in metrics.
    fn reason(&self) -> &'static str {
        match self {
            Self::Rejected(_) => "rejected",
            Self::CallFailed(_, PeerError::NotSent(_)) => "no connection",
            Self::CallFailed(_, PeerError::NoAnswer(_)) => "no answer",
            Self::Undecodable => "undecodable",
            Self::Panicked => "panicked",
        }
    }

    /// What became of the calls of a batch that ended the session.
    fn call_error(&self) -> CallError {
        match self {
            Self::Rejected(_) | Self::CallFailed(_, PeerError::NotSent(_)) => CallError::NotSent,
            Self::CallFailed(_, PeerError::NoAnswer(_)) | Self::Undecodable | Self::Panicked => {
                CallError::NoAnswer
            }
        }
    }
}

impl Link {
    /// A link without a session.
    pub fn new(address: String) -> Self {
        let seed = xxh3_64(address.as_bytes());
        Self { address, seed, state: Mutex::default(), queued: Notify::new() }
    }

    /// Whether it accepts calls.
    pub fn is_open(&self) -> bool {
        self.lock().phase == Phase::Open
    }

    /// Whether it accepts calls, or its first session is still being opened.
    pub fn is_usable(&self) -> bool {
        self.lock().phase != Phase::Failed
    }

    /// Queues a call; returns it if the link is not open.
    pub fn enqueue(&self, call: WorkerCall) -> Option<WorkerCall> {
        let mut state = self.lock();
        if state.phase != Phase::Open {
            return Some(call);
        }
        state.last_number += 1;
        let number = state.last_number;
        state.pending.insert(number, call.pending());
        state.queue.push((number, steady_ms(), call));
        self.queued.notify_one();
        None
    }

    /// Opens a session and, whenever one fails, the next one after a delay. `on_change` is
    /// called when the link opens or fails.
    pub async fn run(
        &self,
        peers: &Peers,
        next_session: impl Fn() -> SessionId,
        on_reply: impl Fn(PendingCall, WorkerReply),
        on_change: impl Fn(),
    ) {
        let mut delay = REOPEN_DELAY_MIN;
        loop {
            let session = next_session();
            let mut opened_ms = None;
            let end = if let Err(end) = self.collect(peers, session, 0, &on_reply).await {
                end
            } else {
                delay = REOPEN_DELAY_MIN;
                opened_ms = Some(steady_ms());
                self.lock().phase = Phase::Open;
                metrics::counter!("stoatwell_sessions_opened_total").increment(1);
                tracing::info!(
                    executor = self.address,
                    session = session.number,
                    "session with an executor opened"
                );
                on_change();
                tokio::select! {
                    end = self.collect_replies(peers, session, &on_reply) => end,
                    end = self.send_batches(peers, session, &on_reply) => end,
                }
            };
            metrics::counter!("stoatwell_sessions_ended_total", "reason" => end.reason())
                .increment(1);
            self.mark_failed(session, &end, opened_ms, &on_reply);
            on_change();
            sleep(delay).await;
            delay = (delay * 2).min(REOPEN_DELAY_MAX);
        }
    }

    async fn collect_replies(
        &self,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> SessionEnd {
        loop {
            if let Err(end) = self.collect(peers, session, COLLECT_WAIT_MS, on_reply).await {
                return end;
            }
        }
    }

    /// Collects replies once.
    async fn collect(
        &self,
        peers: &Peers,
        session: SessionId,
        wait_ms: u64,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> Result<(), SessionEnd> {
        let call = DaemonCall::Collect { session, wait_ms };
        let limit = Duration::from_millis(wait_ms) + COLLECT_MARGIN;
        let reply = peers.call::<DaemonReply>(&self.address, &call, limit).await;
        let (clock_ms, replies) = match reply {
            Ok(DaemonReply::Collected { clock_ms, replies }) => (clock_ms, replies),
            Ok(_) => return Err(SessionEnd::Rejected(COLLECT)),
            Err(error) => return Err(SessionEnd::CallFailed(COLLECT, error)),
        };
        let Some(replies) = decode::<Replies>("replies", &replies) else {
            return Err(SessionEnd::Undecodable);
        };
        let mut answered = Vec::with_capacity(replies.len());
        {
            let mut state = self.lock();
            // The executor read its clock before this moment, so calls never expire late.
            state.clock = Some((clock_ms, steady_ms()));
            for (number, reply) in replies {
                if let Some(pending) = state.pending.remove(&number) {
                    answered.push((pending, reply));
                }
            }
        }
        for (pending, reply) in answered {
            on_reply(pending, reply);
        }
        Ok(())
    }

    /// Sends queued calls in batches, until one is not accepted.
    async fn send_batches(
        &self,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> SessionEnd {
        let mut in_flight: JoinSet<Result<(), (Vec<u64>, SessionEnd)>> = JoinSet::new();
        loop {
            tokio::select! {
                () = self.queued.notified(), if in_flight.len() < BATCHES_IN_FLIGHT_MAX => {}
                Some(accepted) = in_flight.join_next() => {
                    if log_panic("batch for an executor", &accepted) {
                        // Its calls are settled with the session.
                        return SessionEnd::Panicked;
                    }
                    let Ok(Err((numbers, end))) = accepted else { continue };
                    self.fail_calls(&numbers, end.call_error(), on_reply);
                    return end;
                }
            }
            sleep(GATHER_DELAY).await;
            let Some((batch, numbers)) = self.next_batch(on_reply) else { continue };
            let peers = peers.clone();
            let address = self.address.clone();
            let call = DaemonCall::Execute { session, batch: encode(&batch) };
            in_flight.spawn(async move {
                match peers.call::<DaemonReply>(&address, &call, EXECUTE_TIMEOUT).await {
                    Ok(DaemonReply::Noted) => Ok(()),
                    Ok(_) => Err((numbers, SessionEnd::Rejected(EXECUTE))),
                    Err(error) => Err((numbers, SessionEnd::CallFailed(EXECUTE, error))),
                }
            });
        }
    }

    /// A batch of the queued calls and their numbers. Calls that are too old are settled as
    /// not sent. `None` if nothing is left to send.
    fn next_batch(
        &self,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> Option<(Batch, Vec<u64>)> {
        let now_ms = steady_ms();
        let mut state = self.lock();
        let (clock_ms, received_ms) = state.clock?;
        let (sendable, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, enqueued_ms, call)| expiry_ms(*enqueued_ms, call) > now_ms);
        drop(state);
        let expired: Vec<u64> = expired.into_iter().map(|(number, ..)| number).collect();
        self.fail_calls(&expired, CallError::NotSent, on_reply);
        let numbers: Vec<u64> = sendable.iter().map(|(number, ..)| *number).collect();
        let expiries = sendable.iter().map(|(_, _, call)| expiry_ms(now_ms, call));
        let valid_ms = expiries.min().unwrap_or(now_ms) - now_ms;
        let calls = sendable.into_iter().map(|(number, _, call)| (number, call)).collect();
        let expires_ms = clock_ms + now_ms.saturating_sub(received_ms) + valid_ms;
        let batch = Batch::new(calls, expires_ms);
        (!batch.is_empty()).then_some((batch, numbers))
    }

    /// Marks the link as failed and settles all its calls: those still queued as not sent,
    /// since they surely had no effect, those that were sent as unanswered.
    fn mark_failed(
        &self,
        session: SessionId,
        end: &SessionEnd,
        opened_ms: Option<u64>,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        let mut state = self.lock();
        let pending = state.pending.len();
        metrics::counter!("stoatwell_session_calls_lost_total").increment(pending as u64);
        if let Some(opened_ms) = opened_ms {
            tracing::warn!(
                executor = self.address,
                session = session.number,
                pending,
                age_ms = steady_ms().saturating_sub(opened_ms),
                why = %end,
                "session with an executor failed"
            );
        } else {
            tracing::debug!(executor = self.address, why = %end, "cannot open a session");
        }
        state.phase = Phase::Failed;
        let queued: Vec<u64> = state.queue.drain(..).map(|(number, ..)| number).collect();
        drop(state);
        self.fail_calls(&queued, CallError::NotSent, on_reply);
        let mut sent: Vec<u64> = self.lock().pending.keys().copied().collect();
        sent.sort_unstable();
        self.fail_calls(&sent, CallError::NoAnswer, on_reply);
    }

    fn fail_calls(
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

/// When a call that was queued or sent at this time is too old.
fn expiry_ms(since_ms: u64, call: &WorkerCall) -> u64 {
    let expiry_ms = since_ms + CALL_AGE_MAX_MS;
    call.void_ms().map_or(expiry_ms, |void_ms| expiry_ms.min(void_ms))
}
