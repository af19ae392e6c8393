//! Makes cancellations durable, and tells callers what became of them.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobState;
use tokio::time::Instant;

use crate::accept::WriteReply;
use crate::accept::WriteRequest;
use crate::gateway::Gateway;
use crate::gateway::JobLookup;
use crate::gateway::local::LocalReply;
use crate::gateway::local::call_local;
use crate::leader_view::Route;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// Maximum time for another daemon to make a cancellation durable.
const PEER_CANCEL_TIMEOUT: Duration = Duration::from_millis(1_200);

impl<P: Platform> Gateway<P> {
    /// Cancels a job and makes the cancellation durable. The outcome is [`Accepted::Yes`] also
    /// for a job that has ended already, and `None` if the caller has no such job. Such a job is
    /// cancelled too: its submission may be on the way, or the lookup was answered from the past.
    pub async fn cancel(
        self: &Arc<Self>,
        job: JobId,
        caller: Option<&CustomerName>,
        deadline: Instant,
    ) -> Option<Accepted> {
        let known = self.state(job, caller).await;
        let (request, reply) = match known {
            JobLookup::State(JobState::Completed | JobState::Failed | JobState::Cancelled) => {
                let reply = WriteReply { accepted: Accepted::Yes, job_exists: true };
                (WriteRequest::Cancel(job), reply)
            }
            JobLookup::State(JobState::Queued | JobState::Running) => {
                let request = WriteRequest::Cancel(job);
                let reply = self.make_cancel_durable(&request, deadline).await;
                (request, WriteReply { job_exists: true, ..reply })
            }
            JobLookup::NoJob => {
                let request = WriteRequest::CancelUnknown(job, caller.cloned());
                let reply = self.make_cancel_durable(&request, deadline).await;
                (request, reply)
            }
            JobLookup::Unknown => {
                tracing::info!(%job, "cancellation not answered: the job's state is not known");
                return Some(Accepted::Unknown);
            }
        };
        let WriteReply { accepted, job_exists } = reply;
        if accepted == Accepted::Yes {
            self.notify_leader(job, cancel_notification(&request, reply));
        }
        tracing::info!(%job, ?known, ?accepted, job_exists, "cancellation answered");
        let is_absent = accepted == Accepted::Taken || (accepted == Accepted::Yes && !job_exists);
        (!is_absent).then_some(accepted)
    }

    /// Makes a cancellation durable from this daemon or, if the store rejects this daemon,
    /// through the leader, which could not lead without reaching the store.
    async fn make_cancel_durable(&self, request: &WriteRequest, deadline: Instant) -> WriteReply {
        let local = self.acceptor.write(request.clone(), deadline).await;
        if local.accepted != Accepted::No {
            return local;
        }
        let Some(address) = self.remote_leader() else { return local };
        let limit = PEER_CANCEL_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let limit_ms = limit.as_millis() as u64;
        let job = request.job();
        let call = match request {
            WriteRequest::CancelUnknown(_, customer) => {
                DaemonCall::CancelUnknown { job, customer: customer.clone(), limit_ms }
            }
            WriteRequest::Cancel(_) | WriteRequest::Submit(..) => {
                DaemonCall::Cancel { job, limit_ms }
            }
        };
        match self.peers.call::<DaemonReply>(&address, &call, limit).await {
            Ok(DaemonReply::Submitted(accepted)) => WriteReply { accepted, ..local },
            Ok(DaemonReply::Cancelled(reply)) => reply,
            Ok(_) | Err(PeerError::NotSent(_)) => local,
            Err(PeerError::NoAnswer(error)) => {
                tracing::warn!(%job, address, error, "leader did not answer a cancellation; its outcome is unknown");
                WriteReply { accepted: Accepted::Unknown, ..local }
            }
        }
    }

    /// Makes a cancellation durable for a daemon that the store rejects. If this daemon
    /// leads, its scheduler is notified before the other daemon replies to its caller: the
    /// store's change feed is slower, and the other daemon cannot read the store.
    pub(super) async fn cancel_for_peer(&self, request: WriteRequest, limit_ms: u64) -> WriteReply {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let reply = self.acceptor.write(request.clone(), deadline).await;
        let notification = cancel_notification(&request, reply);
        if let (Accepted::Yes, Route::Local(requests)) = (reply.accepted, self.route())
            && !matches!(call_local(&requests, notification).await, LocalReply::Reply(_))
        {
            tracing::debug!(
                "scheduler stopped before it was notified of a cancellation; the store's change feed will deliver it"
            );
        }
        reply
    }
}

/// The notification of the leader that a cancellation is durable.
fn cancel_notification(request: &WriteRequest, reply: WriteReply) -> DaemonCall {
    match request {
        WriteRequest::CancelUnknown(job, customer) if !reply.job_exists => {
            DaemonCall::CancelledUnknown { job: *job, customer: customer.clone() }
        }
        request => DaemonCall::Cancelled(request.job()),
    }
}
