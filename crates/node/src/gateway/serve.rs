//! Answers calls from other daemons.

use std::sync::atomic::Ordering;

use crate::accept::WriteRequest;
use crate::clock::steady_ms;
use crate::executors;
use crate::executors::call::Batch;
use crate::gateway::Gateway;
use crate::gateway::local::LocalReply;
use crate::gateway::local::call_local;
use crate::leader_view::Route;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

impl<P: Platform> Gateway<P> {
    /// Handles a call from another daemon.
    pub async fn answer(&self, call: DaemonCall) -> DaemonReply {
        if let DaemonCall::Advise { step, workers, limit_ms } = call {
            let granted = self.platform.advise(step, &workers, limit_ms).await;
            let to_pair = |grant: stoatwell_pool::Grant| (grant.worker, grant.ticket);
            return DaemonReply::Advised(
                granted.map(|grants| grants.into_iter().map(to_pair).collect()),
            );
        }
        if let DaemonCall::Cancel { job, limit_ms } = call {
            let reply = self.cancel_for_peer(WriteRequest::Cancel(job), limit_ms).await;
            return DaemonReply::Submitted(reply.accepted);
        }
        if let DaemonCall::CancelUnknown { job, customer, limit_ms } = call {
            let request = WriteRequest::CancelUnknown(job, customer);
            return DaemonReply::Cancelled(self.cancel_for_peer(request, limit_ms).await);
        }
        if let DaemonCall::Leads { epoch, address } = call {
            self.observe_leader(epoch, Some(address));
            return DaemonReply::Noted;
        }
        if let DaemonCall::OpenSession(session) = call {
            return if self.executor.open(session) {
                DaemonReply::SessionOpened { clock_ms: steady_ms() }
            } else {
                DaemonReply::NotScheduler
            };
        }
        if let DaemonCall::Execute { session, position, batch } = call {
            let accepted = executors::call::decode::<Batch>("batch", &batch)
                .is_some_and(|batch| self.executor.execute(session, position, batch));
            return if accepted { DaemonReply::Noted } else { DaemonReply::NotScheduler };
        }
        if let DaemonCall::Collect { session, ack_cursor, wait_ms } = call {
            let Some(collected) = self.executor.collect(session, ack_cursor, wait_ms).await else {
                return DaemonReply::NotScheduler;
            };
            let replies = executors::call::encode(&collected.replies);
            let cursor = collected.cursor;
            return DaemonReply::Collected { clock_ms: steady_ms(), cursor, replies };
        }
        if call == DaemonCall::Manifest {
            let manifest = executors::call::encode(self.manifest.newest().as_ref());
            return DaemonReply::Manifest {
                manifest,
                proof: self.manifest.relayed_proof(steady_ms()),
            };
        }
        let Route::Local(requests) = self.route() else { return DaemonReply::NotScheduler };
        if call == DaemonCall::Alive {
            let daemons = self.daemon_count.load(Ordering::Relaxed);
            let fit = self.candidate_count.load(Ordering::Relaxed);
            let manifest = self.manifest.relayed_proof(steady_ms());
            return DaemonReply::Alive {
                reaches_store: self.reaches_store(),
                daemons,
                fit,
                manifest,
            };
        }
        if let DaemonCall::Submit { job, .. } = call {
            return self.submit_for_peer(&requests, job, call).await;
        }
        match call_local(&requests, call).await {
            LocalReply::Reply(reply) => reply,
            LocalReply::NotTaken | LocalReply::Dropped => DaemonReply::NotScheduler,
        }
    }
}
