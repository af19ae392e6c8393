//! The leader's link to one executor.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::CALL_AGE_MAX_MS;
use stoatwell_pool::CallError;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
use crate::trust::Trust;

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

/// How often calls without a reply are examined.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The answer to a call is overdue if it takes this long on a link that is suspected.
const SUSPECT_OVERDUE_MS: u64 = 100;
/// The same for a start or a stop on an open link.
const OVERDUE_MS: u64 = CALL_AGE_MAX_MS;
/// How long an answer is waited for, beyond the time that the worker may wait: a call may start
/// late by [`CALL_AGE_MAX_MS`], a worker takes a second at most, and the rest is for the way back.
const ANSWER_MAX_MS: u64 = 2_000;

/// How long a daemon whose session failed comes after others in the choice of executors.
const FAILED_LATELY_MS: u64 = 30_000;

/// Names of the calls to an executor, for the log.
const OPEN: &str = "opening a session";
const COLLECT: &str = "collecting replies";
const EXECUTE: &str = "sending a batch";

/// What a link tells of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The call has ended.
    Ended(PendingCall, WorkerReply),
    /// Its answer is overdue and may still come.
    Overdue(PendingCall),
    /// It was certainly not sent and can take another way.
    Returned(WorkerCall),
}

/// How a link has worked so far; what is known of a daemon when a further link to it begins.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    trust: Trust,
    delay: ReopenDelay,
    /// When the last session ended or could not be opened.
    failed_ms: Option<u64>,
    /// The next session is not opened before this.
    reopens_ms: u64,
}

impl Record {
    /// Whether the last session failed so lately that other daemons come first.
    pub fn fails_lately(&self, now_ms: u64) -> bool {
        self.failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + FAILED_LATELY_MS)
    }
}

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
    record: Record,
    /// When it opened, or opened again after a suspicion.
    open_since_ms: u64,
    /// The executor's clock, and the local time at which it was received.
    clock: Option<(u64, u64)>,
    /// Calls to send: the number, the time at which it was queued, and the call.
    queue: Vec<(u64, u64, WorkerCall)>,
    pending: HashMap<u64, Pending>,
    /// For how long calls have been watched, without the time in which this process did not run.
    watched_ms: u64,
    /// Workers of pending calls whose answers are overdue.
    overdue_workers: HashSet<WorkerId>,
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
    /// `watched_ms` of the link at that time.
    since_watched_ms: u64,
    /// How long the worker may wait before it answers.
    wait_ms: u64,
    is_overdue: bool,
}

/// A batch that the executor has not accepted yet.
#[derive(Debug)]
struct OpenBatch {
    /// Its calls, with their numbers.
    calls: Vec<(u64, WorkerCall)>,
    sent_ms: u64,
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
    /// A link without a session. `record` is that of an earlier link to the same daemon.
    pub fn new(address: String, record: Record) -> Self {
        let seed = xxh3_64(address.as_bytes());
        let state = Mutex::new(State { record, ..State::default() });
        Self { address, seed, state, queued: Notify::new() }
    }

    /// How it has worked so far.
    pub fn record(&self) -> Record {
        self.lock().record
    }

    /// Whether it accepts calls.
    pub fn is_open(&self) -> bool {
        self.lock().phase == Phase::Open
    }

    /// Since when it has accepted calls.
    pub fn open_since_ms(&self) -> u64 {
        self.lock().open_since_ms
    }

    /// Whether it serves a worker: it accepts calls, and the worker is in the share of the calls
    /// with which the executor is trusted.
    pub fn serves(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let state = self.lock();
        let share_percent = state.record.trust.share_percent(now_ms);
        let is_in_share =
            || xxh3_64_with_seed(worker.as_str().as_bytes(), !self.seed) % 100 < share_percent;
        state.phase == Phase::Open && (share_percent >= 100 || is_in_share())
    }

    /// Whether the answer to a call to a worker is overdue.
    pub fn is_overdue(&self, worker: &WorkerId) -> bool {
        self.lock().overdue_workers.contains(worker)
    }

    /// Whether it has a session, or its first session is still being opened.
    pub fn is_working(&self) -> bool {
        !matches!(self.lock().phase, Phase::Failed | Phase::GivenUp)
    }

    /// Whether it has a session, or its first session is still being opened, and the executor is
    /// trusted with all calls.
    pub fn is_dependable(&self, now_ms: u64) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::New => state.record.reopens_ms <= now_ms,
            Phase::Open | Phase::Suspect => state.record.trust.share_percent(now_ms) >= 100,
            Phase::Failed | Phase::GivenUp => false,
        }
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
        let pending = Pending {
            call: call.pending(),
            since_ms: now_ms,
            since_watched_ms: state.watched_ms,
            wait_ms: call.wait_ms(),
            is_overdue: false,
        };
        state.pending.insert(number, pending);
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
        on_outcome: impl Fn(Outcome),
        on_change: impl Fn(),
    ) {
        let reopens_ms = self.lock().record.reopens_ms;
        sleep(Duration::from_millis(reopens_ms.saturating_sub(steady_ms()))).await;
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
                    end = self.collect_replies(peers, session, &on_outcome) => end,
                    end = self.send_batches(peers, session, &on_outcome) => end,
                    () = self.watch_calls(&on_outcome) => return,
                }
            };
            metrics::counter!("stoatwell_sessions_ended_total", "reason" => end.reason())
                .increment(1);
            if self.is_given_up() {
                return;
            }
            let delay_ms = self.mark_failed(session, &end, opened_ms, &on_outcome);
            on_change();
            sleep(Duration::from_millis(delay_ms)).await;
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
        on_outcome: &impl Fn(Outcome),
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
            self.settle(clock_ms, replies, on_outcome);
        }
    }

    /// Settles the calls that were replied to. The executor lives, so the link is open.
    fn settle(&self, clock_ms: u64, replies: Replies, on_outcome: &impl Fn(Outcome)) {
        let mut answered = Vec::with_capacity(replies.len());
        let now_ms = steady_ms();
        {
            let mut state = self.lock();
            state.open();
            // The executor read its clock before this moment, so calls never expire late.
            state.clock = Some((clock_ms, steady_ms()));
            for (number, reply) in replies {
                if let Some(pending) = state.pending.remove(&number) {
                    state.overdue_workers.remove(pending.call.worker());
                    answered.push((pending, reply));
                }
            }
        }
        for (pending, reply) in answered {
            let took_ms = now_ms.saturating_sub(pending.since_ms);
            pending.call.log_answer(&self.address, took_ms, &reply);
            on_outcome(Outcome::Ended(pending.call, reply));
        }
    }

    /// Sends queued calls in batches.
    async fn send_batches(
        self: &Arc<Self>,
        peers: &Peers,
        session: SessionId,
        on_outcome: &impl Fn(Outcome),
    ) -> SessionEnd {
        let mut in_flight: JoinSet<Result<Vec<WorkerCall>, SessionEnd>> = JoinSet::new();
        loop {
            tokio::select! {
                () = self.queued.notified(), if in_flight.len() < BATCHES_IN_FLIGHT_MAX => {}
                Some(accepted) = in_flight.join_next() => {
                    if log_panic("batch for an executor", &accepted) {
                        return SessionEnd::Panicked;
                    }
                    match accepted {
                        Ok(Ok(unsent)) => {
                            for call in unsent {
                                on_outcome(Outcome::Returned(call));
                            }
                            continue;
                        }
                        Ok(Err(end)) => return end,
                        Err(_) => continue,
                    }
                }
            }
            sleep(GATHER_DELAY).await;
            let Some((position, batch)) = self.next_batch(on_outcome) else { continue };
            let link = Arc::clone(self);
            let peers = peers.clone();
            let call = DaemonCall::Execute { session, position, batch: encode(&batch) };
            in_flight.spawn(async move { link.send_batch(&peers, position.number, &call).await });
        }
    }

    /// Sends a batch until the executor accepts it. Returns the calls that take another way since
    /// they were not sent.
    async fn send_batch(
        &self,
        peers: &Peers,
        number: u64,
        call: &DaemonCall,
    ) -> Result<Vec<WorkerCall>, SessionEnd> {
        let mut attempts = Attempts::new(EXECUTE);
        let mut may_be_sent = false;
        loop {
            let limit = attempts.limit(EXECUTE_TIMEOUT);
            let began = Instant::now();
            if !self.is_batch_needed(number) {
                return Ok(Vec::new());
            }
            self.note_batch(number, true);
            match self.call(peers, call, limit).await {
                Ok(DaemonReply::Noted) => {
                    self.lock().open_batches.remove(&number);
                    return Ok(Vec::new());
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
            if !may_be_sent {
                return Ok(self.lock().take_unsent(number));
            }
            sleep(REPEAT_DELAY).await;
        }
    }

    /// Whether the answer to a call of a batch is still waited for. Otherwise the batch is removed.
    fn is_batch_needed(&self, number: u64) -> bool {
        let mut state = self.lock();
        let Some(batch) = state.open_batches.get(&number) else { return false };
        let is_needed = batch.calls.iter().any(|(call, _)| state.pending.contains_key(call));
        if !is_needed {
            state.open_batches.remove(&number);
        }
        is_needed
    }

    /// Notes whether a batch may have reached the executor.
    fn note_batch(&self, number: u64, may_be_sent: bool) {
        if let Some(batch) = self.lock().open_batches.get_mut(&number) {
            batch.may_be_sent = may_be_sent;
        }
    }

    /// Tells of calls whose answers are overdue, and ends those that had their time.
    async fn watch_calls(&self, on_outcome: &impl Fn(Outcome)) {
        loop {
            let began = Instant::now();
            sleep(WATCH_INTERVAL).await;
            let elapsed = began.elapsed().min(2 * WATCH_INTERVAL);
            let outcomes = self.lock().examine_calls(elapsed.as_millis() as u64);
            for outcome in outcomes {
                if let Outcome::Ended(call, reply) = &outcome {
                    call.log_answer(&self.address, ANSWER_MAX_MS, reply);
                }
                on_outcome(outcome);
            }
        }
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
            state.record.trust.note_failure(steady_ms());
            metrics::counter!("stoatwell_sessions_suspected_total").increment(1);
        }
    }

    /// A batch of the queued calls and its position. Calls that are too old are settled as
    /// not sent. `None` if nothing is left to send.
    fn next_batch(&self, on_outcome: &impl Fn(Outcome)) -> Option<(BatchPosition, Batch)> {
        let now_ms = steady_ms();
        let mut state = self.lock();
        let (clock_ms, received_ms) = state.clock?;
        let (sendable, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, enqueued_ms, call)| expiry_ms(*enqueued_ms, call) > now_ms);
        drop(state);
        let expired: Vec<u64> = expired.into_iter().map(|(number, ..)| number).collect();
        self.fail_calls(&expired, CallError::NotSent, on_outcome);
        if sendable.is_empty() {
            return None;
        }
        let executor_now_ms = clock_ms + now_ms.saturating_sub(received_ms);
        let expiring = |(number, enqueued_ms, call): &(u64, u64, WorkerCall)| {
            let left_ms = expiry_ms(*enqueued_ms, call) - now_ms;
            (*number, executor_now_ms + left_ms, call.clone())
        };
        let batch = Batch::expiring(sendable.iter().map(expiring).collect());
        let calls = sendable.into_iter().map(|(number, _, call)| (number, call)).collect();
        let mut state = self.lock();
        state.last_batch += 1;
        let number = state.last_batch;
        let open_batch = OpenBatch { calls, sent_ms: now_ms, may_be_sent: false };
        state.open_batches.insert(number, open_batch);
        let first_open = state.open_batches.keys().next().copied().unwrap_or(number);
        Some((BatchPosition { number, first_open }, batch))
    }

    /// Marks the link as failed and settles all its calls: those that were surely not sent as
    /// such, all others as unanswered. Returns the time until the next session is opened.
    fn mark_failed(
        &self,
        session: SessionId,
        end: &SessionEnd,
        opened_ms: Option<u64>,
        on_outcome: &impl Fn(Outcome),
    ) -> u64 {
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
        let now_ms = steady_ms();
        if state.phase == Phase::Open {
            state.record.trust.note_failure(now_ms);
        }
        if state.phase != Phase::GivenUp {
            state.phase = Phase::Failed;
        }
        let lasted_ms = opened_ms.map(|opened_ms| now_ms.saturating_sub(opened_ms));
        let delay_ms = state.record.delay.next_ms(lasted_ms);
        state.record.failed_ms = Some(now_ms);
        state.record.reopens_ms = now_ms + delay_ms;
        let mut unsent = state.take_queue();
        let batches: Vec<u64> = state.open_batches.keys().copied().collect();
        for number in batches {
            unsent.extend(state.take_unsent(number));
        }
        state.open_batches.clear();
        drop(state);
        for call in unsent {
            on_outcome(Outcome::Returned(call));
        }
        let mut sent: Vec<u64> = self.lock().pending.keys().copied().collect();
        sent.sort_unstable();
        self.fail_calls(&sent, CallError::NoAnswer, on_outcome);
        delay_ms
    }

    fn fail_calls(&self, numbers: &[u64], error: CallError, on_outcome: &impl Fn(Outcome)) {
        for number in numbers {
            let pending = self.lock().pending.remove(number);
            if let Some(pending) = pending {
                let took_ms = steady_ms().saturating_sub(pending.since_ms);
                let reply = WorkerReply::Failed(error);
                pending.call.log_answer(&self.address, took_ms, &reply);
                on_outcome(Outcome::Ended(pending.call, reply));
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
            self.record.trust.note_success(self.open_since_ms);
        }
    }

    /// Removes the calls that are not in a batch yet.
    fn take_queue(&mut self) -> Vec<WorkerCall> {
        let queue = std::mem::take(&mut self.queue);
        let pending =
            queue.into_iter().filter(|(number, ..)| self.pending.remove(number).is_some());
        pending.map(|(_, _, call)| call).collect()
    }

    /// Removes the calls of a batch if it has certainly not been sent.
    fn take_unsent(&mut self, number: u64) -> Vec<WorkerCall> {
        let Some(batch) = self.open_batches.get(&number) else { return Vec::new() };
        if batch.may_be_sent {
            return Vec::new();
        }
        let calls = self.open_batches.remove(&number).map(|batch| batch.calls).unwrap_or_default();
        let pending = calls.into_iter().filter(|(number, _)| self.pending.remove(number).is_some());
        pending.map(|(_, call)| call).collect()
    }

    /// What has become of calls in this time: those whose answers are overdue, the ends of those
    /// that had their time, and those that are not sent on a suspected link.
    fn examine_calls(&mut self, elapsed_ms: u64) -> Vec<Outcome> {
        self.watched_ms += elapsed_ms;
        self.overdue_workers.clear();
        let is_suspect = self.phase == Phase::Suspect;
        let returned = if is_suspect { self.take_queue() } else { Vec::new() };
        let mut outcomes: Vec<Outcome> = returned.into_iter().map(Outcome::Returned).collect();
        for (number, error) in self.expired_starts(steady_ms()) {
            let Some(pending) = self.pending.remove(&number) else { continue };
            outcomes.push(Outcome::Ended(pending.call, WorkerReply::Failed(error)));
        }
        let mut ended = Vec::new();
        for (number, pending) in &mut self.pending {
            let age_ms = self.watched_ms - pending.since_watched_ms;
            if age_ms >= pending.wait_ms + ANSWER_MAX_MS {
                ended.push(*number);
                continue;
            }
            let overdue_ms = match pending.call {
                _ if is_suspect => SUSPECT_OVERDUE_MS,
                PendingCall::Hold { .. } => continue,
                _ => OVERDUE_MS,
            };
            if age_ms < overdue_ms {
                continue;
            }
            self.overdue_workers.insert(pending.call.worker().clone());
            if !std::mem::replace(&mut pending.is_overdue, true) {
                outcomes.push(Outcome::Overdue(pending.call.clone()));
            }
        }
        for number in ended {
            let Some(pending) = self.pending.remove(&number) else { continue };
            let reply = pending.call.unanswered();
            outcomes.push(Outcome::Ended(pending.call, reply));
        }
        outcomes
    }

    /// The starts that the executor has not accepted and may not make any more, each with what is
    /// known of it.
    fn expired_starts(&self, now_ms: u64) -> Vec<(u64, CallError)> {
        let mut expired = Vec::new();
        for batch in self.open_batches.values() {
            let error = if batch.may_be_sent { CallError::NoAnswer } else { CallError::NotSent };
            for (number, call) in &batch.calls {
                if call.void_ms().is_some() && expiry_ms(batch.sent_ms, call) <= now_ms {
                    expired.push((*number, error));
                }
            }
        }
        expired
    }
}

/// When a call that was queued or sent at this time is too old: either the leader's process was
/// suspended or the call was delayed, and the leader may have been replaced meanwhile.
fn expiry_ms(since_ms: u64, call: &WorkerCall) -> u64 {
    let expiry_ms = since_ms + CALL_AGE_MAX_MS;
    call.void_ms().map_or(expiry_ms, |void_ms| expiry_ms.min(void_ms))
}
