//! The executor's side: carries out the leader's orders and keeps the answers for it.

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

/// Once there is an answer, how long further ones are waited for.
const GATHER: Duration = Duration::from_millis(12);

/// A leader's use of one executor, from its first call to the first that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId {
    /// The leader's epoch.
    pub epoch: u64,
    /// Rises with each session of the leader.
    pub number: u64,
}

/// Carries out orders of the newest session.
#[derive(Debug)]
pub struct Executor<O> {
    outside: Arc<O>,
    newest: Mutex<Option<Arc<Session>>>,
}

#[derive(Debug)]
struct Session {
    id: SessionId,
    replies: Mutex<Replies>,
    replied: Notify,
}

impl<O: Platform> Executor<O> {
    /// An executor that no leader uses yet.
    pub fn new(outside: Arc<O>) -> Self {
        Self { outside, newest: Mutex::default() }
    }

    /// Begins to carry a batch out; `false` if a newer session took the place of this one.
    pub fn execute(&self, id: SessionId, batch: Batch) -> bool {
        let Some(session) = self.session(id) else { return false };
        let expires_ms = batch.expires_ms;
        for (number, call) in batch.into_calls() {
            let session = Arc::clone(&session);
            let outside = Arc::clone(&self.outside);
            tokio::spawn(async move {
                // A start that was held up on its way may belong to a leader that was
                // replaced meanwhile.
                let late = matches!(call, WorkerCall::Start(_)) && steady_ms() > expires_ms;
                let reply = if late {
                    WorkerReply::Failed(CallError::NotSent)
                } else {
                    call.perform(&*outside).await
                };
                session.lock().push((number, reply));
                session.replied.notify_one();
            });
        }
        true
    }

    /// Waits for answers; `None` if a newer session took the place of this one.
    pub async fn collect(&self, id: SessionId, wait_ms: u64) -> Option<Replies> {
        let session = self.session(id)?;
        let wait = Duration::from_millis(wait_ms);
        if session.lock().is_empty() && timeout(wait, session.replied.notified()).await.is_ok() {
            sleep(GATHER).await;
        }
        Some(std::mem::take(&mut *session.lock()))
    }

    fn session(&self, id: SessionId) -> Option<Arc<Session>> {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = newest.as_ref().filter(|session| session.id >= id);
        if let Some(session) = known {
            return (session.id == id).then(|| Arc::clone(session));
        }
        tracing::info!(epoch = id.epoch, number = id.number, "executes for a leader");
        let replied = Notify::new();
        let session = Arc::new(Session { id, replies: Mutex::default(), replied });
        *newest = Some(Arc::clone(&session));
        Some(session)
    }
}

impl Session {
    fn lock(&self) -> MutexGuard<'_, Replies> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
