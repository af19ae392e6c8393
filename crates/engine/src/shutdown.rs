//! Graceful shutdown: new work is refused, running requests are completed, and jobs and
//! workers are handed over.

use stoatwell_membership::rendezvous;
use stoatwell_model::Class;
use stoatwell_model::JobId;

use crate::Engine;
use crate::message::PeerCall;
use crate::ops::PeerOp;

impl Engine {
    pub(crate) fn on_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        // The next heartbeats go out at once, so that peers know that they will receive
        // workers and jobs.
        self.next_heartbeat_ms = 0;
        self.next_relay_ms = 0;
        self.on_tick();
    }

    /// Hands work over and determines whether the shutdown is complete. A submission that
    /// arrives later and is forwarded makes it incomplete again.
    pub(crate) fn advance_shutdown(&mut self) {
        if !self.stopping {
            return;
        }
        self.hand_over_jobs();
        let is_forwarded = |op: &PeerOp| matches!(op, PeerOp::Forward(_) | PeerOp::ProxyReply(_));
        let requests_done = self.requests.is_empty()
            && self.deferred.is_empty()
            && !self.ops.peer.values().any(is_forwarded);
        let has_successor = !self.zone_peers().is_empty();
        let jobs_done = self.jobs.values().all(|job| !has_successor && !job.machine.is_writing());
        let is_idle = self.committer.backlog() == 0 && self.ops.minion.is_empty();
        let released = self.leases.held() == 0
            || !has_successor && self.held.values().all(|held| !held.call_in_flight);
        self.stopped = requests_done && (jobs_done || self.jobs.is_empty()) && is_idle && released;
    }

    /// Hands each job over to a live daemon of the zone, its successor as coordinator.
    /// Running tasks continue. The successor asks the holders of their workers about them.
    fn hand_over_jobs(&mut self) {
        let peers = self.zone_peers();
        if peers.is_empty() {
            return;
        }
        let mut ready = Vec::new();
        for (id, job) in &self.jobs {
            let record = &job.machine.record;
            let is_open_request = record.class == Class::Request && job.request.is_some();
            let is_quiescent =
                job.accepted && !job.machine.is_writing() && record.outcome.is_none();
            if is_quiescent && !job.handing_over && !is_open_request {
                ready.push(*id);
            }
        }
        for id in ready {
            self.scheduler.withdraw(id);
            let Some(successor) = rendezvous::select(&id.to_string(), &peers) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.handing_over = true;
                job.machine.reassign(successor, &self.me.zone);
            }
            self.write_job(id);
        }
    }

    /// Notifies the successor of a job, now that the job's record durably names it. Callers
    /// that wait for the outcome get the successor's answer.
    pub(crate) fn on_handed_over(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let successor = job.machine.record.coordinator.clone();
        let call = PeerCall::Adopt { jobs: vec![id] };
        self.call_peer(PeerOp::Notification, &successor, call);
        for (ticket, until_ms) in job.outcome_waiters {
            let wait_ms = until_ms.saturating_sub(self.now_ms);
            let call = PeerCall::Status { job: id, wait_ms };
            if !self.call_peer(PeerOp::ProxyReply(ticket), &successor, call) {
                let failure = stoatwell_model::Failure::new(stoatwell_model::Code::PeerUnavailable);
                self.answer_job(ticket, Err(failure.retry_after(1_000)));
            }
        }
    }
}
