//! Gangs whose tasks need the workers of several daemons.

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
    /// Reserves capacity for a gang that does not fit on the workers of one daemon. Capacity
    /// is reserved here first, then at the other daemons of the zone, one after the other.
    /// Every gang asks the daemons in the same order and keeps its reservations for a
    /// bounded time only. If a task stays unplaced, all reservations are released. Returns
    /// `false` if there is no other live daemon in the zone.
    pub(crate) fn reserve_gang(&mut self, waiting: &WaitingJob) -> bool {
        let mut peers = self.zone_peers();
        peers.sort();
        if peers.is_empty() {
            return false;
        }
        let attempts = self.scheduler.withdraw(waiting.job);
        let mut placed = Vec::new();
        for attempt in &attempts {
            let Some(placement) = self.scheduler.place_task(self.now_ms, waiting, *attempt) else {
                break;
            };
            if let Some(token) = self.leases.token(self.now_ms, &placement.worker) {
                placed.push((*attempt, placement.worker, token));
            } else {
                self.scheduler.release_unstarted(self.now_ms, *attempt);
                break;
            }
        }
        self.remote.gangs.insert(waiting.job, Gang { attempts, placed, peers });
        self.advance_gang(waiting.job);
        true
    }

    /// Starts the gang if every task is placed. Otherwise asks the next daemon, or releases
    /// the gang if all daemons were asked.
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
            self.release_gang(id, gang);
            return;
        }
        let holder = gang.peers.remove(0);
        let missing: Vec<AttemptId> = gang.attempts[gang.placed.len()..].to_vec();
        self.remote.gangs.insert(id, gang);
        if !self.reserve_at(id, &holder, missing) {
            self.remote.gangs.remove(&id);
        }
    }

    /// Releases all capacity that a gang collected and queues its tasks again.
    pub(crate) fn release_gang(&mut self, id: JobId, gang: Gang) {
        let mut by_holder: BTreeMap<DaemonId, Vec<AttemptId>> = BTreeMap::new();
        for (attempt, _, _) in &gang.placed {
            match self.remote.reservations_at_peers.remove(attempt) {
                Some((holder, _)) => by_holder.entry(holder).or_default().push(*attempt),
                None => self.scheduler.release_unstarted(self.now_ms, *attempt),
            }
        }
        for (holder, attempts) in by_holder {
            self.call_peer(PeerOp::Notification, &holder, PeerCall::Unreserve { attempts });
        }
        self.enqueue(id, gang.attempts);
    }
}
