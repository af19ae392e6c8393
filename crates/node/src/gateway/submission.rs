//! Makes submissions durable, and tells callers what became of them.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_peer::client::PeerError;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::accept::WriteRequest;
use crate::clock::steady_ms;
use crate::commit::encode;
use crate::gateway::Gateway;
use crate::gateway::local::LocalReply;
use crate::gateway::local::call_local;
use crate::leader_view::LeaderView;
use crate::leader_view::Route;
use crate::message::SchedulerRequest;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// How long a leader that appears healthy may take to make a submission durable before this
/// daemon writes it itself. With a slow store, two writers of the same row only delay each
/// other.
const LEADER_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The leader's reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderReply {
    /// The leader reported the outcome.
    Outcome(Accepted),
    /// The submission did not reach a leader.
    NotSent,
    /// The submission was sent, and its outcome is unknown.
    NoAnswer,
}

/// The answer to a submission, and what it is based on.
#[derive(Clone, Copy, Debug)]
struct SubmissionAnswer {
    accepted: Accepted,
    /// The leader's part in it; `None` if it had not replied yet.
    leader: Option<LeaderReply>,
    /// The outcome of this daemon's own write; `None` if it made none.
    local: Option<Accepted>,
}

impl<P: Platform> Gateway<P> {
    /// Submits a job and makes it durable. [`Accepted::Unknown`] if the outcome could not be
    /// learned in time.
    pub async fn submit(
        self: &Arc<Self>,
        job: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Accepted {
        let row = encode(spec);
        let answer = if row.len() > self.submission_bytes_max {
            SubmissionAnswer { accepted: Accepted::TooLong, leader: None, local: None }
        } else {
            self.make_submission_durable(job, row, deadline).await
        };
        let accepted = self.account_for_earlier_tries(job, answer.accepted);
        let customer = spec.customer.as_ref().map(|customer| customer.name.as_str());
        let epoch = self.leader.borrow().epoch();
        let SubmissionAnswer { leader, local, .. } = answer;
        tracing::info!(
            %job, queue = spec.queue.name, customer, ?accepted, epoch, ?leader, ?local,
            "submission answered"
        );
        metrics::counter!("stoatwell_submissions_total", "outcome" => outcome_name(accepted))
            .increment(1);
        accepted
    }

    /// Remembers a submission that is durable or may be. The caller of one that was remembered
    /// before is not told "not accepted": a write for an earlier try may have taken effect, or
    /// may do so later.
    pub(super) fn account_for_earlier_tries(&self, job: JobId, accepted: Accepted) -> Accepted {
        if matches!(accepted, Accepted::Yes | Accepted::Unknown) {
            self.recent_submissions.record(job, steady_ms());
        }
        if accepted.is_refusal() && self.recent_submissions.contains(job, steady_ms()) {
            return Accepted::Unknown;
        }
        accepted
    }

    /// Makes a submission durable, through the leader if possible: the leader places the job
    /// meanwhile and batches many submissions into one write. If the leader does not respond,
    /// this daemon writes the row itself. Both writes are of the same row and conditional on
    /// its absence.
    async fn make_submission_durable(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> SubmissionAnswer {
        let mut through_leader = pin!(self.submit_through_leader(job, row.clone(), deadline));
        let leader_reply = tokio::select! {
            biased;
            reply = &mut through_leader => Some(reply),
            () = self.wait_until_leader_fails() => None,
        };
        let mut local = pin!(self.accept_locally(job, row, deadline));
        if let Some(reply) = leader_reply {
            if let LeaderReply::Outcome(accepted) = reply {
                return SubmissionAnswer { accepted, leader: Some(reply), local: None };
            }
            return combine(Some(reply), Some(local.await));
        }
        tokio::select! {
            accepted = &mut local => {
                if matches!(accepted, Accepted::Yes | Accepted::Taken) {
                    return combine(None, Some(accepted));
                }
                combine(Some(through_leader.await), Some(accepted))
            }
            reply = &mut through_leader => match reply {
                LeaderReply::Outcome(accepted) if !accepted.is_refusal() => {
                    combine(Some(reply), None)
                }
                LeaderReply::Outcome(_) | LeaderReply::NotSent | LeaderReply::NoAnswer => {
                    combine(Some(reply), Some(local.await))
                }
            },
        }
    }

    /// Writes a job's row from this daemon and notifies the leader.
    async fn accept_locally(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> Accepted {
        let accepted = self.acceptor.accept(WriteRequest::Submit(job, row.clone()), deadline).await;
        if accepted == Accepted::Yes {
            drop(self.notify_leader(job, DaemonCall::Accepted { job, row }));
        }
        accepted
    }

    async fn submit_through_leader(
        &self,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> LeaderReply {
        let call = DaemonCall::Submit { job, row };
        let address = match self.route() {
            Route::None => return LeaderReply::NotSent,
            Route::Local(_) if !self.reaches_store() => return LeaderReply::NotSent,
            Route::Local(requests) => {
                let reply = timeout_at(deadline, call_local(&requests, call)).await;
                return match reply {
                    Ok(LocalReply::Reply(DaemonReply::Submitted(accepted))) => {
                        LeaderReply::Outcome(accepted)
                    }
                    Ok(LocalReply::NotTaken) => LeaderReply::NotSent,
                    Ok(LocalReply::Reply(_) | LocalReply::Dropped) | Err(_) => {
                        LeaderReply::NoAnswer
                    }
                };
            }
            Route::Remote(address) => address,
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.peers.call::<DaemonReply>(&address, &call, limit).await {
            Ok(DaemonReply::Submitted(accepted)) => LeaderReply::Outcome(accepted),
            Ok(DaemonReply::NotScheduler) | Err(PeerError::NotSent(_)) => LeaderReply::NotSent,
            Ok(reply) => {
                tracing::debug!(%job, address, ?reply, "leader ended before the outcome of a submission was known");
                LeaderReply::NoAnswer
            }
            Err(PeerError::NoAnswer(error)) => {
                tracing::debug!(%job, address, error, "leader did not answer a submission; its outcome is unknown");
                LeaderReply::NoAnswer
            }
        }
    }

    /// Waits until the leader is known to be unavailable, or has taken so long that this
    /// daemon has to write the submission itself.
    async fn wait_until_leader_fails(&self) {
        let mut view = self.leader.subscribe();
        let unavailable = view.wait_for(LeaderView::is_unavailable);
        tokio::select! {
            _ = unavailable => {}
            () = tokio::time::sleep(LEADER_SUBMIT_TIMEOUT) => {}
        }
    }

    /// Submits a job to the scheduler on this daemon for a caller of another daemon.
    ///
    /// A scheduler that ends may have sent the write already. That is told apart from a
    /// submission that it never took, which the other daemon may report as "not run".
    pub(super) async fn submit_for_peer(
        &self,
        requests: &mpsc::Sender<SchedulerRequest>,
        job: JobId,
        call: DaemonCall,
    ) -> DaemonReply {
        if !self.reaches_store() {
            // The calling daemon may reach the store itself.
            return DaemonReply::NotScheduler;
        }
        match call_local(requests, call).await {
            LocalReply::Reply(DaemonReply::Submitted(accepted)) => {
                DaemonReply::Submitted(self.account_for_earlier_tries(job, accepted))
            }
            LocalReply::Reply(reply) => reply,
            LocalReply::NotTaken => DaemonReply::NotScheduler,
            LocalReply::Dropped => {
                self.recent_submissions.record(job, steady_ms());
                DaemonReply::SubmissionInDoubt
            }
        }
    }
}

/// Combines the leader's reply to a submission with the outcome of this daemon's own write.
/// Each of the two is `None` if it does not matter any more.
fn combine(leader: Option<LeaderReply>, local: Option<Accepted>) -> SubmissionAnswer {
    let accepted = match (leader, local) {
        (_, Some(Accepted::Yes | Accepted::Taken)) | (None | Some(LeaderReply::NotSent), _) => {
            local.unwrap_or(Accepted::Unknown)
        }
        // This daemon's own write may have taken effect although the leader refused.
        (Some(LeaderReply::Outcome(refusal)), Some(Accepted::Unknown)) if refusal.is_refusal() => {
            Accepted::Unknown
        }
        (Some(LeaderReply::Outcome(accepted)), _) => accepted,
        // The leader may still make the submission durable.
        (Some(LeaderReply::NoAnswer), _) => Accepted::Unknown,
    };
    SubmissionAnswer { accepted, leader, local }
}

fn outcome_name(accepted: Accepted) -> &'static str {
    match accepted {
        Accepted::Yes => "accepted",
        Accepted::No => "refused",
        Accepted::Taken => "taken",
        Accepted::Overloaded { .. } => "overloaded",
        Accepted::TooLong => "too long",
        Accepted::Unknown => "unknown",
    }
}
