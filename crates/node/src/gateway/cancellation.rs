//! Makes cancellations durable, and tells callers what became of them.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobState;
use stoatwell_pool::START_VALIDITY_MS;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::accept::WriteReply;
use crate::accept::WriteRequest;
use crate::gateway::Gateway;
use crate::gateway::JobLookup;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// Maximum time for another daemon to make a cancellation durable.
const PEER_CANCEL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time that a start which was sent just before it became void needs at most to reach its
/// worker.
const START_TRANSIT: Duration = Duration::from_millis(500);

impl<P: Platform> Gateway<P> {
    /// Cancels a job: makes the cancellation durable, and waits until no task of the job can start
    /// any more. The outcome is [`Accepted::Yes`] also for a job that has ended already, and `None`
    /// if the caller has no such job. Such a job is cancelled too: its submission may be on the
    /// way, or the lookup was answered from the past.
    pub async fn cancel(
        self: &Arc<Self>,
        job: JobId,
        caller: Option<&CustomerName>,
        deadline: Instant,
    ) -> Option<Accepted> {
        let known = self.state(job, caller).await;
        let (accepted, job_exists) = match known {
            JobLookup::State(JobState::Completed | JobState::Failed) => (Accepted::Yes, true),
            JobLookup::State(JobState::Cancelled) => {
                let call = DaemonCall::Cancelled(job);
                (self.wait_until_no_start_follows(job, call, deadline).await, true)
            }
            JobLookup::State(JobState::Queued | JobState::Running) => {
                let request = WriteRequest::Cancel(job);
                let reply = self.cancel_durably(&request, deadline).await;
                (reply.accepted, true)
            }
            JobLookup::NoJob => {
                let request = WriteRequest::CancelUnknown(job, caller.cloned());
                let reply = self.cancel_durably(&request, deadline).await;
                (reply.accepted, reply.job_exists)
            }
            JobLookup::Unknown => (Accepted::Unknown, false),
        };
        tracing::info!(%job, ?known, ?accepted, job_exists, "cancellation answered");
        let is_absent = accepted == Accepted::Taken || (accepted == Accepted::Yes && !job_exists);
        (!is_absent).then_some(accepted)
    }

    /// Makes a cancellation durable, and waits until no task of the job can start any more.
    async fn cancel_durably(
        self: &Arc<Self>,
        request: &WriteRequest,
        deadline: Instant,
    ) -> WriteReply {
        let reply = self.make_cancel_durable(request, deadline).await;
        if reply.accepted != Accepted::Yes {
            return reply;
        }
        let call = cancel_notification(request, reply);
        let accepted = self.wait_until_no_start_follows(request.job(), call, deadline).await;
        WriteReply { accepted, ..reply }
    }

    /// Waits until no task can start any more of a job whose cancellation is durable.
    ///
    /// No start is written after the cancellation. One that was written before may still be sent by
    /// a leader that does not know of the cancellation, or by one that was replaced, until it is
    /// void. So the caller waits until the leader is known to have none on its way, or that long.
    async fn wait_until_no_start_follows(
        self: &Arc<Self>,
        job: JobId,
        call: DaemonCall,
        deadline: Instant,
    ) -> Accepted {
        let void_at = Instant::now() + Duration::from_millis(START_VALIDITY_MS) + START_TRANSIT;
        let acknowledged = self.notify_leader(job, call);
        let is_acknowledged =
            timeout_at(void_at.min(deadline), acknowledged).await.is_ok_and(|reply| reply.is_ok());
        if is_acknowledged || Instant::now() >= void_at {
            return Accepted::Yes;
        }
        Accepted::Unknown
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

    /// Makes a cancellation durable for a daemon that the store rejects. That daemon notifies the
    /// leader itself.
    pub(super) async fn cancel_for_peer(&self, request: WriteRequest, limit_ms: u64) -> WriteReply {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        self.acceptor.write(request, deadline).await
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
