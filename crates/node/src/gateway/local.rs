//! Calls to the scheduler on this daemon.

use stoatwell_pool::Cancellation;
use stoatwell_pool::JobId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::message::SchedulerRequest;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;

/// The result of a call to the scheduler on this daemon.
pub(super) enum LocalReply {
    /// The scheduler replied.
    Reply(DaemonReply),
    /// The call did not reach the scheduler.
    NotTaken,
    /// The scheduler took the call and ended, or declined to reply.
    Dropped,
}

pub(super) async fn call_local(
    requests: &mpsc::Sender<SchedulerRequest>,
    call: DaemonCall,
) -> LocalReply {
    match call {
        DaemonCall::State(job) => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::State(job, reply_sender);
            request_reply(requests, request, reply, DaemonReply::State).await
        }
        DaemonCall::Pending(queue) => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::Pending(queue, reply_sender);
            request_reply(requests, request, reply, DaemonReply::Pending).await
        }
        DaemonCall::Submit { job, row } => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::Submit(job, row, reply_sender);
            request_reply(requests, request, reply, DaemonReply::Submitted).await
        }
        DaemonCall::Accepted { job, row } => {
            notify(requests, SchedulerRequest::Accepted(job, row)).await
        }
        DaemonCall::Cancelled(job) => notify_cancelled(requests, job, Cancellation::ByOwner).await,
        DaemonCall::CancelledUnknown { job, customer } => {
            let cancellation = Cancellation::by(customer.as_ref());
            notify_cancelled(requests, job, cancellation).await
        }
        DaemonCall::Cancel { .. }
        | DaemonCall::CancelUnknown { .. }
        | DaemonCall::Manifest
        | DaemonCall::Advise { .. }
        | DaemonCall::Alive
        | DaemonCall::Leads { .. }
        | DaemonCall::OpenSession(_)
        | DaemonCall::Execute { .. }
        | DaemonCall::Collect { .. }
        | DaemonCall::Store { .. }
        | DaemonCall::Daemons => LocalReply::NotTaken,
    }
}

async fn request_reply<T>(
    requests: &mpsc::Sender<SchedulerRequest>,
    request: SchedulerRequest,
    reply: oneshot::Receiver<T>,
    into_reply: impl FnOnce(T) -> DaemonReply,
) -> LocalReply {
    if requests.send(request).await.is_err() {
        return LocalReply::NotTaken;
    }
    match reply.await {
        Ok(value) => LocalReply::Reply(into_reply(value)),
        Err(_) => LocalReply::Dropped,
    }
}

async fn notify_cancelled(
    requests: &mpsc::Sender<SchedulerRequest>,
    job: JobId,
    cancellation: Cancellation,
) -> LocalReply {
    let (reply_sender, reply) = oneshot::channel();
    let request = SchedulerRequest::Cancelled(job, cancellation, reply_sender);
    request_reply(requests, request, reply, |()| DaemonReply::Noted).await
}

async fn notify(
    requests: &mpsc::Sender<SchedulerRequest>,
    notification: SchedulerRequest,
) -> LocalReply {
    match requests.send(notification).await {
        Ok(()) => LocalReply::Reply(DaemonReply::Noted),
        Err(_) => LocalReply::NotTaken,
    }
}
