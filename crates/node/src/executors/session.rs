//! The executor's side: makes the leader's calls, and keeps the replies until the leader
//! collects them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_pool::CallError;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use super::call::Batch;
use super::call::Replies;
use super::call::WorkerCall;
use super::call::WorkerReply;
use crate::clock::steady_ms;
use crate::platform::Platform;

/// How long to wait for further replies once there is one.
const GATHER_DELAY: Duration = Duration::from_millis(12);

/// Identifies a session: a leader's use of one executor, from its first call to the executor
/// to the first that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId {
    /// Epoch of the leader that opened the session.
    pub epoch: u64,
    /// Rises with each session of the leader, with any executor.
    pub number: u64,
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
    replies: Mutex<Replies>,
    replied: Notify,
}

impl<P: Platform> Executor<P> {
    /// An executor without a session.
    pub fn new(platform: Arc<P>) -> Self {
        Self { platform, current: Mutex::default() }
    }

    /// Begins to make the calls of a batch; `false` if a newer session replaced this one.
    pub fn execute(&self, id: SessionId, batch: Batch) -> bool {
        let Some(session) = self.session(id) else { return false };
        let expires_ms = batch.expires_ms;
        for (number, call) in batch.into_calls() {
            let session = Arc::clone(&session);
            let platform = Arc::clone(&self.platform);
            tokio::spawn(async move {
                // A start that was delayed on its way may come from a leader that has been
                // replaced meanwhile, or its job may have been cancelled.
                let began_ms = steady_ms();
                let is_expired = matches!(call, WorkerCall::Start(_)) && began_ms > expires_ms;
                let reply = if is_expired {
                    WorkerReply::Failed(CallError::NotSent)
                } else {
                    call.perform(&*platform).await
                };
                call.log_start(&reply, id.epoch, began_ms, Some(expires_ms));
                session.lock().push((number, reply));
                session.replied.notify_one();
            });
        }
        true
    }

    /// Waits for replies, at most `wait_ms` for the first one, and returns those there are.
    /// `None` if a newer session replaced this one.
    pub async fn collect(&self, id: SessionId, wait_ms: u64) -> Option<Replies> {
        let session = self.session(id)?;
        let wait = Duration::from_millis(wait_ms);
        if session.lock().is_empty() && timeout(wait, session.replied.notified()).await.is_ok() {
            sleep(GATHER_DELAY).await;
        }
        Some(std::mem::take(&mut *session.lock()))
    }

    fn session(&self, id: SessionId) -> Option<Arc<Session>> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let existing = current.as_ref().filter(|session| session.id >= id);
        if let Some(session) = existing {
            return (session.id == id).then(|| Arc::clone(session));
        }
        tracing::info!(
            epoch = id.epoch,
            number = id.number,
            "new session: this daemon makes calls for a leader"
        );
        let replied = Notify::new();
        let session = Arc::new(Session { id, replies: Mutex::default(), replied });
        *current = Some(Arc::clone(&session));
        Some(session)
    }
}

impl Session {
    fn lock(&self) -> MutexGuard<'_, Replies> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
