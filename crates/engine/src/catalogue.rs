//! Polling the catalogue, editing it, and applying it on this daemon.
//!
//! The catalogue contains entries and targets. A target assigns a worker to an owner.

use std::collections::HashMap;

use stoatwell_catalogue::Edit;
use stoatwell_catalogue::EditRequest;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::edit::EditStep;
use stoatwell_catalogue::target_key;
use stoatwell_model::Class;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::TargetState;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::target::TargetChange;
use stoatwell_model::worker::StopMode;
use stoatwell_platform::CallError;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;

use crate::Engine;
use crate::message::Answer;
use crate::message::Effect;
use crate::message::PeerCall;
use crate::message::Ticket;
use crate::ops::PeerOp;
use crate::ops::StoreOp;

/// Delay before the change that hands over an empty target is sent again.
const EMPTIED_RETRY_MS: u64 = 2_000;

impl Engine {
    pub(crate) fn poll_catalogue(&mut self) {
        if let Some(call) = self.catalogue_watcher.due(self.now_ms) {
            self.call_store(StoreOp::PollCatalogue, call);
        }
    }

    pub(crate) fn on_catalogue_reply(&mut self, reply: Result<StoreReply, CallError>) {
        let rows = match reply {
            Ok(StoreReply::Rows { rows }) => Some(rows),
            Ok(_) | Err(_) => None,
        };
        let old_revision = self.catalogue.revision();
        if let Some(call) = self.catalogue_watcher.on_rows(self.now_ms, &mut self.catalogue, rows) {
            self.call_store(StoreOp::PollCatalogue, call);
        }
        if self.catalogue.revision() > old_revision {
            self.announce_revision();
        }
    }

    pub(crate) fn on_edit(
        &mut self,
        ticket: Ticket,
        key: String,
        edit: EditKind,
        expected: Option<u64>,
        by: String,
    ) {
        let write_id = self.next_write_id();
        let request = EditRequest { key, edit, expected, by, at_ms: self.now_ms, write_id };
        let (edit, call) = Edit::start(request);
        self.call_store(StoreOp::Edit(Some(ticket), Box::new(edit)), call);
    }

    pub(crate) fn on_edit_reply(
        &mut self,
        ticket: Option<Ticket>,
        mut edit: Box<Edit>,
        reply: Result<StoreReply, CallError>,
    ) {
        let result = match edit.on_reply(reply) {
            EditStep::Call(call) => {
                self.call_store(StoreOp::Edit(ticket, edit), call);
                return;
            }
            EditStep::Done(result) => result,
        };
        if let Ok(change) = &result {
            // An accepted change is applied here at once if no revision is missing
            // in between; otherwise the missing changes are fetched without delay.
            if !self.catalogue.apply(change.clone()) {
                self.catalogue_watcher.poll_now();
            }
            self.announce_revision();
        }
        if let Some(ticket) = ticket {
            self.effects.push(Effect::Answer { ticket, answer: Answer::Edited(result) });
        }
    }

    /// Notifies peers that know only an older revision, so that they fetch the change at once
    /// instead of at their next poll.
    pub(crate) fn announce_revision(&mut self) {
        let revision = self.catalogue.revision();
        let mut outdated = Vec::new();
        for member in self.members.live(self.now_ms) {
            if member.revision < revision {
                outdated.push(member.identity.daemon.clone());
            }
        }
        for daemon in outdated {
            self.call_peer(PeerOp::Notification, &daemon, PeerCall::Changed { revision });
        }
    }

    /// Applies the targets, quotas and weights of a new catalogue revision.
    pub(crate) fn apply_catalogue(&mut self) {
        if self.applied_revision == self.catalogue.revision() {
            return;
        }
        self.applied_revision = self.catalogue.revision();
        let workers: Vec<WorkerId> = self.held.keys().cloned().collect();
        for worker in &workers {
            self.apply_target(worker);
        }
        self.quota_shares_due = true;
        self.schedule_due = true;
    }

    pub(crate) fn apply_target(&mut self, worker: &WorkerId) {
        let target = self.catalogue.target(worker).cloned();
        self.scheduler.set_target(worker, target.as_ref());
        let serving = target.as_ref().filter(|target| target.state == TargetState::Serving);
        self.minions.set_owner(worker, serving.map(|target| &target.owner));
        if let Some(target) = &target
            && target.state != TargetState::Serving
        {
            self.evict_from_target(worker);
        }
    }

    /// Gives each owner a local share of its quota, and each of its work entries a local
    /// share of the limit on running tasks. The shares are in proportion to how many of the
    /// owner's serving targets have a worker that is held here. The shares of all daemons
    /// never add up to more than the whole.
    pub(crate) fn apply_quota_shares(&mut self) {
        if !self.quota_shares_due {
            return;
        }
        self.quota_shares_due = false;
        // For each owner, the number of its serving targets, and the ranks of those whose
        // worker is held here.
        let mut serving_counts: HashMap<&OwnerName, u64> = HashMap::new();
        let mut held_ranks: HashMap<&OwnerName, Vec<u64>> = HashMap::new();
        for target in self.catalogue.targets() {
            if target.state != TargetState::Serving {
                continue;
            }
            let rank = serving_counts.entry(&target.owner).or_default();
            if self.held.contains_key(&target.worker) {
                held_ranks.entry(&target.owner).or_default().push(*rank);
            }
            *rank += 1;
        }
        for owner in self.catalogue.owners() {
            let held = held_ranks.get(&owner.owner).map_or(0, Vec::len) as u64;
            let serving = serving_counts.get(&owner.owner).copied().unwrap_or(0).max(1);
            let quota = owner.quota.share(held, serving);
            self.scheduler.set_owner(&owner.owner, Some(quota), owner.weights);
        }
        for work in self.catalogue.work_entries() {
            let ranks = held_ranks.get(&work.owner).map_or(&[][..], Vec::as_slice);
            let serving = serving_counts.get(&work.owner).copied().unwrap_or(0);
            let tasks_max = limit_for_ranks(work.limits.running_tasks, ranks, serving);
            self.scheduler.set_running_max(&work.name, tasks_max);
        }
    }

    /// Stops the tasks on a worker whose target is draining that need not run to completion.
    /// Services are replaced on other workers, and patient batch tasks are evicted with a
    /// checkpoint. Urgent tasks, gangs and tasks that may run only once continue.
    fn evict_from_target(&mut self, worker: &WorkerId) {
        let Some(worker_info) = self.scheduler.cell.worker_info(worker) else {
            return;
        };
        let mut evicted = Vec::new();
        for attempt in &worker_info.tasks {
            let Some(running) = self.scheduler.cell.running(*attempt) else {
                continue;
            };
            let patient = running.is_evictable() && running.urgency == Urgency::Patient;
            if running.class == Class::Service || patient {
                evicted.push(*attempt);
            }
        }
        for attempt in evicted {
            self.queue_stop(worker, attempt, StopMode::Checkpoint);
        }
    }

    /// Assigns drained targets to their next owner once nothing runs on their worker.
    pub(crate) fn hand_over_drained_targets(&mut self) {
        let now_ms = self.now_ms;
        self.handover_sent_ms.retain(|_, sent_ms| now_ms < *sent_ms + EMPTIED_RETRY_MS);
        let mut emptied = Vec::new();
        for (worker, held) in &self.held {
            let Some(versioned) = self.catalogue.get(&target_key(worker)) else {
                continue;
            };
            let Some(target) = self.catalogue.target(worker) else {
                continue;
            };
            let awaits_handover =
                target.state == TargetState::Draining && target.next_owner.is_some();
            let empty = held.is_idle() && self.minions.in_use_on(worker) == 0;
            if awaits_handover && empty && !self.handover_sent_ms.contains_key(worker) {
                emptied.push((worker.clone(), versioned.revision));
            }
        }
        for (worker, revision) in emptied {
            self.handover_sent_ms.insert(worker.clone(), now_ms);
            let write_id = self.next_write_id();
            let request = EditRequest {
                key: target_key(&worker),
                edit: EditKind::Target(worker, TargetChange::Emptied),
                expected: Some(revision),
                by: self.me.daemon.to_string(),
                at_ms: now_ms,
                write_id,
            };
            let (edit, call) = Edit::start(request);
            self.call_store(StoreOp::Edit(None, Box::new(edit)), call);
        }
    }

    pub(crate) fn on_store_query(&mut self, ticket: Ticket, call: StoreCall) {
        self.call_store(StoreOp::Query(ticket), call);
    }

    /// Whether some worker that serves this owner, in any zone, is large enough for `demand`.
    /// `None` if the owner has serving targets but no daemon has reported their workers yet.
    pub(crate) fn could_fit_anywhere(&self, owner: &OwnerName, demand: &Resources) -> Option<bool> {
        if self.scheduler.cell.could_fit(owner, demand) {
            return Some(true);
        }
        let serving = self.catalogue.targets().filter(|target| target.serves(owner)).count();
        let mut reported = self.workers_serving(owner);
        let zone_peers = self.members.live(self.now_ms).map(|member| &member.summary);
        let other_zones = self.zones.values().map(|zone| &zone.update.summary);
        for summary in zone_peers.chain(other_zones) {
            for entry in summary.owners.iter().filter(|entry| entry.owner == *owner) {
                if entry.largest.holds(demand) {
                    return Some(true);
                }
                reported += 1;
            }
        }
        // The catalogue has targets for this owner, but no daemon has reported their
        // workers yet.
        if reported == 0 && serving > 0 {
            return None;
        }
        Some(false)
    }

    /// The number of workers held here that serve an owner.
    pub(crate) fn workers_serving(&self, owner: &OwnerName) -> usize {
        let held_targets = self.held.keys().filter_map(|worker| self.catalogue.target(worker));
        held_targets.filter(|target| target.serves(owner)).count()
    }
}

/// The share of a limit for the targets of an owner that have these ranks. Each
/// target gets an equal part, and the first ones get one more, so that the parts
/// add up to the limit and a small limit is not rounded down to 0 everywhere.
fn limit_for_ranks(limit: u32, ranks: &[u64], targets: u64) -> u32 {
    let limit = u64::from(limit);
    let divisor = targets.max(1);
    let (base, remainder) = (limit / divisor, limit % divisor);
    let sum: u64 = ranks.iter().map(|rank| base + u64::from(*rank < remainder)).sum();
    u32::try_from(sum).unwrap_or(u32::MAX)
}
