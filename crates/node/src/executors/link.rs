//! The leader's link to one executor.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::CallError;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::call::Batch;
use super::call::PendingCall;
use super::call::Replies;
use super::call::WorkerCall;
use super::call::WorkerReply;
use super::call::decode;
use super::call::encode;
use super::plan::ReopenDelay;
use super::session::BatchPosition;
use super::session::SessionId;
use crate::clock::sleep_while_running;
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
/// Delay before a call to an executor is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(40);
/// A session ends once an executor has answered none of the attempts at a call for this long. The
/// longest hold and this time are together shorter than the time after which the pool takes a hold
/// for lost.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// Added to time limits for the time in which this process does not run.
const PAUSE_MAX: Duration = Duration::from_secs(10);
/// How long calls are gathered for a batch.
const GATHER_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of batches in flight. Further calls are queued for the next batch.
const BATCHES_IN_FLIGHT_MAX: usize = 4;
/// A queued call that is older than this is not sent, and an executor does not make a start
/// that is older. Either the leader's process was suspended or the call was delayed, and the
/// leader may have been replaced meanwhile.
const CALL_AGE_MAX_MS: u64 = 700;

/// Names of the calls to an executor, for the log.
const OPEN: &str = "opening a session";
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
    /// When it opened, or opened again after a suspicion.
    open_since_ms: u64,
    /// The executor's clock, and the local time at which it was received.
    clock: Option<(u64, u64)>,
    /// Calls to send: the number, the time at which it was queued, and the call.
    queue: Vec<(u64, u64, WorkerCall)>,
    pending: HashMap<u64, Pending>,
    last_number: u64,
    /// Batches that the executor has not accepted yet, by number.
    open_batches: BTreeMap<u64, OpenBatch>,
    last_batch: u64,
}

/// A call whose reply has not arrived.
#[derive(Debug)]
struct Pending {
    call: PendingCall,
    since_ms: u64,
}

/// A batch that the executor has not accepted yet.
#[derive(Debug)]
struct OpenBatch {
    /// Numbers of its calls.
    calls: Vec<u64>,
    /// Whether it may have reached the executor.
    may_be_sent: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The first session is being opened.
    #[default]
    New,
    Open,
    /// The last call to the executor failed and is repeated; new calls take another way.
    Suspect,
    Failed,
    /// Another executor has taken its place.
    GivenUp,
}

/// Why a session ended, or could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
enum SessionEnd {
    /// the executor does not know the session or the call ({0})
    Unknown(&'static str),
    /// the executor's process is gone ({0}): {1}
    Gone(&'static str, PeerError),
    /// the executor does not answer ({0}): {1}
    Silent(&'static str, PeerError),
    /// another executor has taken its place
    GivenUp,
    /// the replies cannot be decoded
    Undecodable,
    /// the task that sends a batch panicked
    Panicked,
}

/// Attempts at a call to an executor since its last answer.
#[derive(Debug)]
struct Attempts {
    call: &'static str,
    silence: Duration,
}

impl SessionEnd {
    /// Its name in metrics.
    fn reason(&self) -> &'static str {
        match self {
            Self::Unknown(_) => "unknown session",
            Self::Gone(..) => "refused",
            Self::Silent(..) => "silent",
            Self::GivenUp => "given up",
            Self::Undecodable => "undecodable",
            Self::Panicked => "panicked",
        }
    }
}

impl Attempts {
    fn new(call: &'static str) -> Self {
        Self { call, silence: Duration::ZERO }
    }

    /// The time limit of the next attempt.
    fn limit(&self, limit: Duration) -> Duration {
        limit.min(SILENCE_MAX.saturating_sub(self.silence))
    }

    /// Notes that an attempt with this limit got no answer.
    fn note_failure(
        &mut self,
        error: PeerError,
        took: Duration,
        limit: Duration,
    ) -> Result<(), SessionEnd> {
        if error.is_refused() {
            return Err(SessionEnd::Gone(self.call, error));
        }
        // What goes beyond the limit is time in which this process did not run.
        self.silence += took.min(limit) + REPEAT_DELAY;
        if self.silence >= SILENCE_MAX {
            return Err(SessionEnd::Silent(self.call, error));
        }
        tracing::debug!(call = self.call, %error, "a call to an executor failed; repeating it");
        Ok(())
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

    /// Since when it has accepted calls.
    pub fn open_since_ms(&self) -> u64 {
        self.lock().open_since_ms
    }

    /// Whether it has a session, or its first session is still being opened.
    pub fn is_usable(&self) -> bool {
        !matches!(self.lock().phase, Phase::Failed | Phase::GivenUp)
    }

    /// Opens no further session if the last one failed; returns whether it did.
    pub fn give_up(&self) -> bool {
        let mut state = self.lock();
        let has_failed = state.phase == Phase::Failed;
        if has_failed {
            state.phase = Phase::GivenUp;
        }
        has_failed
    }

    fn is_given_up(&self) -> bool {
        self.lock().phase == Phase::GivenUp
    }

    /// Queues a call; returns it if the link is not open.
    pub fn enqueue(&self, call: WorkerCall) -> Option<WorkerCall> {
        let mut state = self.lock();
        if state.phase != Phase::Open {
            return Some(call);
        }
        state.last_number += 1;
        let number = state.last_number;
        let now_ms = steady_ms();
        state.pending.insert(number, Pending { call: call.pending(), since_ms: now_ms });
        state.queue.push((number, now_ms, call));
        self.queued.notify_one();
        None
    }

    /// Opens a session and, whenever one fails, the next one after a delay, until the link is
    /// given up. `on_change` is called when the link opens or fails.
    pub async fn run(
        self: &Arc<Self>,
        peers: &Peers,
        next_session: impl Fn() -> SessionId,
        on_reply: impl Fn(PendingCall, WorkerReply),
        on_change: impl Fn(),
    ) {
        let mut delay = ReopenDelay::default();
        while !self.is_given_up() {
            let session = next_session();
            let mut opened_ms = None;
            let end = if let Err(end) = self.open(peers, session).await {
                end
            } else {
                opened_ms = Some(steady_ms());
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
            if self.is_given_up() {
                return;
            }
            self.mark_failed(session, &end, opened_ms, &on_reply);
            on_change();
            let lasted_ms = opened_ms.map(|opened_ms| steady_ms().saturating_sub(opened_ms));
            sleep(Duration::from_millis(delay.next_ms(lasted_ms))).await;
        }
    }

    /// Opens a session, in one attempt.
    async fn open(&self, peers: &Peers, session: SessionId) -> Result<(), SessionEnd> {
        let call = DaemonCall::OpenSession(session);
        match self.call(peers, &call, COLLECT_MARGIN).await {
            Ok(DaemonReply::SessionOpened { clock_ms }) => {
                let mut state = self.lock();
                if state.phase == Phase::GivenUp {
                    return Err(SessionEnd::GivenUp);
                }
                state.clock = Some((clock_ms, steady_ms()));
                state.open();
                Ok(())
            }
            Ok(_) => Err(SessionEnd::Unknown(OPEN)),
            Err(error) if error.is_refused() => Err(SessionEnd::Gone(OPEN, error)),
            Err(error) => Err(SessionEnd::Silent(OPEN, error)),
        }
    }

    /// Collects replies, each until the executor knows that it arrived.
    async fn collect_replies(
        &self,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> SessionEnd {
        let mut ack_cursor = 0;
        let mut wait_ms = COLLECT_WAIT_MS;
        let mut attempts = Attempts::new(COLLECT);
        loop {
            let call = DaemonCall::Collect { session, ack_cursor, wait_ms };
            let limit = attempts.limit(Duration::from_millis(wait_ms) + COLLECT_MARGIN);
            let began = Instant::now();
            let (clock_ms, cursor, replies) = match self.call(peers, &call, limit).await {
                Ok(DaemonReply::Collected { clock_ms, cursor, replies }) => {
                    (clock_ms, cursor, replies)
                }
                Ok(_) => return SessionEnd::Unknown(COLLECT),
                Err(error) => {
                    if let Err(end) = attempts.note_failure(error, began.elapsed(), limit) {
                        return end;
                    }
                    self.suspect();
                    wait_ms = 0;
                    sleep(REPEAT_DELAY).await;
                    continue;
                }
            };
            let Some(replies) = decode::<Replies>("replies", &replies) else {
                return SessionEnd::Undecodable;
            };
            ack_cursor = cursor;
            wait_ms = COLLECT_WAIT_MS;
            attempts = Attempts::new(COLLECT);
            self.settle(clock_ms, replies, on_reply);
        }
    }

    /// Settles the calls that were replied to. The executor lives, so the link is open.
    fn settle(
        &self,
        clock_ms: u64,
        replies: Replies,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        let mut answered = Vec::with_capacity(replies.len());
        let now_ms = steady_ms();
        {
            let mut state = self.lock();
            state.open();
            // The executor read its clock before this moment, so calls never expire late.
            state.clock = Some((clock_ms, steady_ms()));
            for (number, reply) in replies {
                if let Some(pending) = state.pending.remove(&number) {
                    answered.push((pending, reply));
                }
            }
        }
        for (pending, reply) in answered {
            let took_ms = now_ms.saturating_sub(pending.since_ms);
            pending.call.log_answer(&self.address, took_ms, &reply);
            on_reply(pending.call, reply);
        }
    }

    /// Sends queued calls in batches.
    async fn send_batches(
        self: &Arc<Self>,
        peers: &Peers,
        session: SessionId,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> SessionEnd {
        let mut in_flight: JoinSet<Result<(), SessionEnd>> = JoinSet::new();
        loop {
            tokio::select! {
                () = self.queued.notified(), if in_flight.len() < BATCHES_IN_FLIGHT_MAX => {}
                Some(accepted) = in_flight.join_next() => {
                    if log_panic("batch for an executor", &accepted) {
                        return SessionEnd::Panicked;
                    }
                    let Ok(Err(end)) = accepted else { continue };
                    return end;
                }
            }
            sleep(GATHER_DELAY).await;
            let Some((position, batch)) = self.next_batch(on_reply) else { continue };
            let link = Arc::clone(self);
            let peers = peers.clone();
            let call = DaemonCall::Execute { session, position, batch: encode(&batch) };
            in_flight.spawn(async move { link.send_batch(&peers, position.number, &call).await });
        }
    }

    /// Sends a batch until the executor accepts it.
    async fn send_batch(
        &self,
        peers: &Peers,
        number: u64,
        call: &DaemonCall,
    ) -> Result<(), SessionEnd> {
        let mut attempts = Attempts::new(EXECUTE);
        let mut may_be_sent = false;
        loop {
            let limit = attempts.limit(EXECUTE_TIMEOUT);
            let began = Instant::now();
            if !self.note_batch(number, true) {
                return Ok(());
            }
            match self.call(peers, call, limit).await {
                Ok(DaemonReply::Noted) => {
                    self.lock().open_batches.remove(&number);
                    return Ok(());
                }
                Ok(_) => {
                    self.note_batch(number, may_be_sent);
                    return Err(SessionEnd::Unknown(EXECUTE));
                }
                Err(error) => {
                    may_be_sent |= matches!(error, PeerError::NoAnswer(_));
                    self.note_batch(number, may_be_sent);
                    attempts.note_failure(error, began.elapsed(), limit)?;
                }
            }
            self.suspect();
            sleep(REPEAT_DELAY).await;
        }
    }

    /// Notes whether a batch may have reached the executor; `false` if its session has ended.
    fn note_batch(&self, number: u64, may_be_sent: bool) -> bool {
        let mut state = self.lock();
        let Some(batch) = state.open_batches.get_mut(&number) else { return false };
        batch.may_be_sent = may_be_sent;
        true
    }

    /// Calls the executor. Time in which this process does not run is not counted.
    async fn call(
        &self,
        peers: &Peers,
        call: &DaemonCall,
        limit: Duration,
    ) -> Result<DaemonReply, PeerError> {
        let expired = sleep_while_running(Instant::now() + limit);
        peers.call_until(&self.address, call, limit + PAUSE_MAX, expired).await
    }

    fn suspect(&self) {
        let mut state = self.lock();
        if state.phase == Phase::Open {
            state.phase = Phase::Suspect;
            metrics::counter!("stoatwell_sessions_suspected_total").increment(1);
        }
    }

    /// A batch of the queued calls and its position. Calls that are too old are settled as
    /// not sent. `None` if nothing is left to send.
    fn next_batch(
        &self,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) -> Option<(BatchPosition, Batch)> {
        let now_ms = steady_ms();
        let mut state = self.lock();
        let (clock_ms, received_ms) = state.clock?;
        let (sendable, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, enqueued_ms, call)| expiry_ms(*enqueued_ms, call) > now_ms);
        drop(state);
        let expired: Vec<u64> = expired.into_iter().map(|(number, ..)| number).collect();
        self.fail_calls(&expired, CallError::NotSent, on_reply);
        if sendable.is_empty() {
            return None;
        }
        let numbers: Vec<u64> = sendable.iter().map(|(number, ..)| *number).collect();
        let expiries = sendable.iter().map(|(_, _, call)| expiry_ms(now_ms, call));
        let valid_ms = expiries.min().unwrap_or(now_ms) - now_ms;
        let calls = sendable.into_iter().map(|(number, _, call)| (number, call)).collect();
        let expires_ms = clock_ms + now_ms.saturating_sub(received_ms) + valid_ms;
        let mut state = self.lock();
        state.last_batch += 1;
        let number = state.last_batch;
        state.open_batches.insert(number, OpenBatch { calls: numbers, may_be_sent: false });
        let first_open = state.open_batches.keys().next().copied().unwrap_or(number);
        drop(state);
        Some((BatchPosition { number, first_open }, Batch::new(calls, expires_ms)))
    }

    /// Marks the link as failed and settles all its calls: those that were surely not sent as
    /// such, all others as unanswered.
    fn mark_failed(
        &self,
        session: SessionId,
        end: &SessionEnd,
        opened_ms: Option<u64>,
        on_reply: &impl Fn(PendingCall, WorkerReply),
    ) {
        let mut state = self.lock();
        let (pending, oldest_ms) = state.count_lost_calls();
        if let Some(opened_ms) = opened_ms {
            tracing::warn!(
                executor = self.address,
                session = session.number,
                ?pending,
                oldest_ms,
                age_ms = steady_ms().saturating_sub(opened_ms),
                why = %end,
                "session with an executor failed"
            );
        } else {
            tracing::debug!(executor = self.address, why = %end, "cannot open a session");
        }
        if state.phase != Phase::GivenUp {
            state.phase = Phase::Failed;
        }
        let mut unsent: Vec<u64> = state.queue.drain(..).map(|(number, ..)| number).collect();
        for batch in std::mem::take(&mut state.open_batches).into_values() {
            if !batch.may_be_sent {
                unsent.extend(batch.calls);
            }
        }
        drop(state);
        self.fail_calls(&unsent, CallError::NotSent, on_reply);
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
                let took_ms = steady_ms().saturating_sub(pending.since_ms);
                let reply = WorkerReply::Failed(error);
                pending.call.log_answer(&self.address, took_ms, &reply);
                on_reply(pending.call, reply);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// The number of calls of each kind that are lost with the session, and the age of the oldest.
    fn count_lost_calls(&self) -> (BTreeMap<&'static str, u64>, u64) {
        let now_ms = steady_ms();
        let mut counts = BTreeMap::new();
        let mut oldest_ms = 0;
        for pending in self.pending.values() {
            *counts.entry(pending.call.kind()).or_default() += 1;
            oldest_ms = oldest_ms.max(now_ms.saturating_sub(pending.since_ms));
        }
        for (kind, count) in &counts {
            metrics::counter!("stoatwell_session_calls_lost_total", "call" => *kind)
                .increment(*count);
        }
        (counts, oldest_ms)
    }

    fn open(&mut self) {
        if self.phase != Phase::Open {
            self.phase = Phase::Open;
            self.open_since_ms = steady_ms();
        }
    }
}

/// When a call that was queued or sent at this time is too old.
fn expiry_ms(since_ms: u64, call: &WorkerCall) -> u64 {
    let expiry_ms = since_ms + CALL_AGE_MAX_MS;
    call.void_ms().map_or(expiry_ms, |void_ms| expiry_ms.min(void_ms))
}
