//! Gangs that are wider than one holder.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_placement::WaitingJob;

use crate::Engine;
use crate::message::PeerCall;
use crate::ops::PeerOp;
use crate::remote::Gang;

impl Engine {
    /// A gang that no single holder can take gathers room at all of them, in
    /// one order and for a bounded time, and gives all back if any is missing.
    pub(crate) fn gather_gang(&mut self, waiting: &WaitingJob) -> bool {
        let mut peers = self.zone_peers();
        peers.sort();
        if peers.is_empty() {
            return false;
        }
        let attempts = self.scheduler.withdraw(waiting.job);
        let mut placed = Vec::new();
        for attempt in &attempts {
            let Some(found) = self.scheduler.place_task(self.now_ms, waiting, *attempt) else {
                break;
            };
            if let Some(token) = self.leases.token(self.now_ms, &found.worker) {
                placed.push((*attempt, found.worker, token));
            } else {
                self.scheduler.release_unstarted(self.now_ms, *attempt);
                break;
            }
        }
        self.remote.gangs.insert(waiting.job, Gang { attempts, placed, peers });
        self.advance_gang(waiting.job);
        true
    }

    pub(crate) fn advance_gang(&mut self, id: JobId) {
        let Some(mut gang) = self.remote.gangs.remove(&id) else {
            return;
        };
        if gang.placed.len() == gang.attempts.len() {
            let placed = gang.placed;
            self.drive(id, |machine, now_ms| machine.on_placed(now_ms, &placed));
            return;
        }
        if gang.peers.is_empty() {
            self.disband(id, gang);
            return;
        }
        let holder = gang.peers.remove(0);
        let missing: Vec<AttemptId> = gang.attempts[gang.placed.len()..].to_vec();
        self.remote.gangs.insert(id, gang);
        if !self.reserve_at(id, &holder, missing) {
            self.remote.gangs.remove(&id);
        }
    }

    pub(crate) fn disband(&mut self, id: JobId, gang: Gang) {
        let mut elsewhere: BTreeMap<DaemonId, Vec<AttemptId>> = BTreeMap::new();
        for (attempt, _, _) in &gang.placed {
            match self.remote.reserved.remove(attempt) {
                Some((holder, _)) => elsewhere.entry(holder).or_default().push(*attempt),
                None => self.scheduler.release_unstarted(self.now_ms, *attempt),
            }
        }
        for (holder, attempts) in elsewhere {
            self.call_peer(PeerOp::Notification, &holder, PeerCall::Unreserve { attempts });
        }
        self.enqueue(id, gang.attempts);
    }
}
