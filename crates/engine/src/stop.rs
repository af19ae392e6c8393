//! A planned stop: nothing new, nothing cut, everything handed over.

use stoatwell_membership::assign;
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
        // Peers learn at once that workers and jobs come to them.
        self.next_heartbeat_ms = 0;
        self.next_relay_ms = 0;
        self.on_tick();
    }

    pub(crate) fn advance_stop(&mut self) {
        if !self.stopping || self.stopped {
            return;
        }
        self.hand_jobs_over();
        let handed_on = |op: &PeerOp| matches!(op, PeerOp::Forward { .. } | PeerOp::ProxyReply(_));
        let requests_done = self.requests.is_empty() && !self.ops.peer.values().any(handed_on);
        let successor = !self.zone_peers().is_empty();
        let jobs_done = self.jobs.values().all(|job| !successor && !job.machine.is_writing());
        let idle = self.committer.backlog() == 0 && self.ops.minion.is_empty();
        let released =
            self.leases.held() == 0 || !successor && self.held.values().all(|held| !held.calling);
        self.stopped = requests_done && (jobs_done || self.jobs.is_empty()) && idle && released;
    }

    /// Gives each job to a living daemon of the zone. Running tasks go on; the
    /// successor asks the new holders about them.
    fn hand_jobs_over(&mut self) {
        let peers = self.zone_peers();
        if peers.is_empty() {
            return;
        }
        let mut ready = Vec::new();
        for (id, job) in &self.jobs {
            let record = &job.machine.record;
            let in_line = record.class == Class::Request && job.request.is_some();
            let settled = job.accepted && !job.machine.is_writing() && record.outcome.is_none();
            if settled && !job.handing_over && !in_line {
                ready.push(*id);
            }
        }
        for id in ready {
            self.scheduler.withdraw(id);
            let Some(successor) = assign::winner(&id.to_string(), &peers) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.handing_over = true;
                job.machine.hand_to(successor, &self.me.zone);
            }
            self.write_job(id);
        }
    }

    /// The record names the successor now.
    pub(crate) fn left(&mut self, id: JobId) {
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
