//! The executor's side: makes the leader's calls, and keeps the replies until the leader
//! acknowledges them.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_pool::CallError;
use stoatwell_pool::HoldCall;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use super::call::Batch;
use super::call::Replies;
use super::call::WorkerCall;
use super::call::WorkerReply;
use super::call::encoded_bytes;
use crate::clock::steady_ms;
use crate::platform::Platform;

/// How long to wait for further replies once there is one.
const GATHER_DELAY: Duration = Duration::from_millis(12);
/// Maximum number of bytes of the replies that are returned together, unless it is a single one.
const COLLECTED_BYTES_MAX: usize = 1 << 20;
/// The log tells of replies that the leader has not collected for this long.
const LOGGED_WAIT_MS: u64 = 300;
/// A session that keeps more bytes of replies than this is given up.
const KEPT_BYTES_MAX: usize = 16 << 20;

/// Identifies a session: a leader's use of one executor, until one of them loses its state or
/// cannot be reached for seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId {
    /// Epoch of the leader that opened the session.
    pub epoch: u64,
    /// Rises with each session of the leader, with any executor.
    pub number: u64,
}

/// Identifies a batch of a session, which may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchPosition {
    /// Number of the batch; rises within the session.
    pub number: u64,
    /// The leader knows that all batches with lower numbers than this were accepted.
    pub first_open: u64,
}

/// Replies that the leader has not acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Collected {
    /// The cursor of the last reply.
    pub cursor: u64,
    /// The replies, oldest first.
    pub replies: Replies,
}

/// Makes the calls of the newest session.
#[derive(Debug)]
pub struct Executor<P> {
    platform: Arc<P>,
    current: Mutex<Option<Arc<Session>>>,
}

#[derive(Debug)]
struct Session {
    id: SessionId,
    state: Mutex<SessionState>,
    replied: Notify,
}

#[derive(Debug, Default)]
struct SessionState {
    /// Replies after `ack_cursor`.
    replies: VecDeque<KeptReply>,
    ack_cursor: u64,
    kept_bytes: usize,
    /// Whether replies were dropped because too many were kept.
    is_overflowing: bool,
    /// Numbers of accepted batches, from `first_open` on.
    accepted: BTreeSet<u64>,
    first_open: u64,
}

/// A reply that the leader has not acknowledged.
#[derive(Debug)]
struct KeptReply {
    /// Number of its call.
    number: u64,
    reply: WorkerReply,
    /// Its encoded size.
    bytes: usize,
    since_ms: u64,
    /// Whether the log tells that it waits.
    is_logged: bool,
}

impl<P: Platform> Executor<P> {
    /// An executor without a session.
    pub fn new(platform: Arc<P>) -> Self {
        Self { platform, current: Mutex::default() }
    }

    /// Opens a session in place of an earlier one; `false` if there is this one or a newer one.
    pub fn open(&self, id: SessionId) -> bool {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|session| session.id >= id) {
            return false;
        }
        tracing::info!(
            epoch = id.epoch,
            number = id.number,
            "new session: this daemon makes calls for a leader"
        );
        let session = Session { id, state: Mutex::default(), replied: Notify::new() };
        *current = Some(Arc::new(session));
        true
    }

    /// Begins to make the calls of a batch, unless it was accepted before; `false` if the session
    /// is not known.
    pub fn execute(&self, id: SessionId, position: BatchPosition, batch: Batch) -> bool {
        let Some(session) = self.session(id) else { return false };
        if !session.lock().accept(position) {
            return true;
        }
        for (number, expires_ms, call) in batch.into_expiring_calls() {
            let session = Arc::clone(&session);
            let platform = Arc::clone(&self.platform);
            tokio::spawn(async move {
                let began_ms = steady_ms();
                let is_expired = began_ms > expires_ms;
                let reply = match &call {
                    // A start that was delayed on its way may come from a leader that has been
                    // replaced meanwhile, or its job may have been cancelled.
                    WorkerCall::Start(_) if is_expired => WorkerReply::Failed(CallError::NotSent),
                    // Leaders count on it that no call extends a lease later.
                    WorkerCall::Hold(hold) if is_expired => {
                        let hold = HoldCall { until_ms: None, ..hold.clone() };
                        WorkerCall::Hold(hold).perform(&*platform).await
                    }
                    call => call.perform(&*platform).await,
                };
                call.log_outcome(&reply, id.epoch, began_ms, Some(expires_ms));
                session.lock().keep(number, reply);
                session.replied.notify_waiters();
            });
        }
        true
    }

    /// Forgets replies up to a cursor, waits for later ones, at most `wait_ms` for the first one,
    /// and returns those there are. `None` if the session is not known.
    pub async fn collect(&self, id: SessionId, ack_cursor: u64, wait_ms: u64) -> Option<Collected> {
        let session = self.session(id)?;
        let mut replied = pin!(session.replied.notified());
        replied.as_mut().enable();
        session.lock().forget(ack_cursor);
        let wait = Duration::from_millis(wait_ms);
        if session.lock().replies.is_empty() && timeout(wait, replied).await.is_ok() {
            sleep(GATHER_DELAY).await;
        }
        let mut state = session.lock();
        state.log_waits(id);
        state.unacknowledged()
    }

    /// The current session if it is this one and has all its replies.
    fn session(&self, id: SessionId) -> Option<Arc<Session>> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let session = current.as_ref().filter(|session| session.id == id)?;
        (!session.lock().is_overflowing).then(|| Arc::clone(session))
    }
}

impl Session {
    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SessionState {
    /// Whether a batch is new; it counts as accepted from now on.
    fn accept(&mut self, BatchPosition { number, first_open }: BatchPosition) -> bool {
        if first_open > self.first_open {
            self.first_open = first_open;
            self.accepted = self.accepted.split_off(&first_open);
        }
        number >= self.first_open && self.accepted.insert(number)
    }

    fn keep(&mut self, number: u64, reply: WorkerReply) {
        let bytes = encoded_bytes(&(number, &reply));
        self.kept_bytes += bytes;
        self.is_overflowing |= self.kept_bytes > KEPT_BYTES_MAX;
        if self.is_overflowing {
            self.replies.clear();
            return;
        }
        let since_ms = steady_ms();
        self.replies.push_back(KeptReply { number, reply, bytes, since_ms, is_logged: false });
    }

    /// Logs, once for each, the replies that have waited for long.
    fn log_waits(&mut self, id: SessionId) {
        let now_ms = steady_ms();
        let (mut replies, mut waited_max_ms) = (0, 0);
        for kept in &mut self.replies {
            let waited_ms = now_ms.saturating_sub(kept.since_ms);
            if waited_ms < LOGGED_WAIT_MS || std::mem::replace(&mut kept.is_logged, true) {
                continue;
            }
            replies += 1;
            waited_max_ms = waited_max_ms.max(waited_ms);
        }
        if replies > 0 {
            metrics::counter!("stoatwell_late_replies_total").increment(replies);
            tracing::info!(
                epoch = id.epoch,
                number = id.number,
                replies,
                waited_max_ms,
                "replies waited for the leader to collect them"
            );
        }
    }

    fn forget(&mut self, ack_cursor: u64) {
        while self.ack_cursor < ack_cursor {
            let Some(kept) = self.replies.pop_front() else { return };
            self.kept_bytes -= kept.bytes;
            self.ack_cursor += 1;
        }
    }

    fn unacknowledged(&self) -> Option<Collected> {
        if self.is_overflowing {
            return None;
        }
        let mut collected = Collected { cursor: self.ack_cursor, replies: Vec::new() };
        let mut bytes_left = COLLECTED_BYTES_MAX;
        for KeptReply { number, reply, bytes, .. } in &self.replies {
            if *bytes > bytes_left && !collected.replies.is_empty() {
                break;
            }
            bytes_left = bytes_left.saturating_sub(*bytes);
            collected.cursor += 1;
            collected.replies.push((*number, reply.clone()));
        }
        Some(collected)
    }
}
