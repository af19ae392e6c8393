//! Following the catalogue, changing it, and putting it in force here.

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

/// Before another try at writing that a target is empty.
const EMPTIED_RETRY_MS: u64 = 2_000;

impl Engine {
    pub(crate) fn poll_catalogue(&mut self) {
        if let Some(call) = self.catalogue_watcher.due(self.now_ms) {
            self.call_store(StoreOp::Follow, call);
        }
    }

    pub(crate) fn on_follow(&mut self, reply: Result<StoreReply, CallError>) {
        let rows = match reply {
            Ok(StoreReply::Rows { rows }) => Some(rows),
            Ok(_) | Err(_) => None,
        };
        let before = self.catalogue.revision();
        if let Some(call) = self.catalogue_watcher.on_rows(self.now_ms, &mut self.catalogue, rows) {
            self.call_store(StoreOp::Follow, call);
        }
        if self.catalogue.revision() > before {
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
            // Accepted means in force here at once where nothing lies between;
            // otherwise the missing changes are fetched without delay.
            if !self.catalogue.apply(change.clone()) {
                self.catalogue_watcher.hurry();
            }
            self.announce_revision();
        }
        if let Some(ticket) = ticket {
            self.effects.push(Effect::Answer { ticket, answer: Answer::Edited(result) });
        }
    }

    /// Lets peers fetch a change at once instead of at their next poll.
    pub(crate) fn announce_revision(&mut self) {
        let revision = self.catalogue.revision();
        let mut behind = Vec::new();
        for member in self.members.live(self.now_ms) {
            if member.revision < revision {
                behind.push(member.identity.daemon.clone());
            }
        }
        for daemon in behind {
            self.call_peer(PeerOp::Notification, &daemon, PeerCall::Changed { revision });
        }
    }

    /// Puts a new revision in force: targets, quotas and weights.
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
            self.clear_target(worker);
        }
    }

    /// Each owner gets the part of its quota here that its workers here are of
    /// all its workers, and its entries that part of their running tasks, so that
    /// the parts never add up to more than the whole.
    pub(crate) fn apply_shares(&mut self) {
        if !self.quota_shares_due {
            return;
        }
        self.quota_shares_due = false;
        // Serving targets of each owner by rank, and the ranks that are held here.
        let mut all: HashMap<&OwnerName, u64> = HashMap::new();
        let mut here: HashMap<&OwnerName, Vec<u64>> = HashMap::new();
        for target in self.catalogue.targets() {
            if target.state != TargetState::Serving {
                continue;
            }
            let rank = all.entry(&target.owner).or_default();
            if self.held.contains_key(&target.worker) {
                here.entry(&target.owner).or_default().push(*rank);
            }
            *rank += 1;
        }
        for owner in self.catalogue.owners() {
            let part = here.get(&owner.owner).map_or(0, Vec::len) as u64;
            let whole = all.get(&owner.owner).copied().unwrap_or(0).max(1);
            let quota = owner.quota.share(part, whole);
            self.scheduler.set_owner(&owner.owner, Some(quota), owner.weights);
        }
        for work in self.catalogue.works() {
            let ranks = here.get(&work.owner).map_or(&[][..], Vec::as_slice);
            let whole = all.get(&work.owner).copied().unwrap_or(0);
            let tasks = ranks_share(work.limits.running_tasks, ranks, whole);
            self.scheduler.set_running_max(&work.name, tasks);
        }
    }

    /// Stops what must not stay on a target that is drained: services are
    /// replaced elsewhere and patient batch work gives way with its progress
    /// saved. Urgent work, gangs and what may run only once come to their end.
    fn clear_target(&mut self, worker: &WorkerId) {
        let Some(slot) = self.scheduler.cell.worker_info(worker) else {
            return;
        };
        let mut moved = Vec::new();
        for attempt in &slot.tasks {
            let Some(running) = self.scheduler.cell.running(*attempt) else {
                continue;
            };
            let patient = running.is_evictable() && running.urgency == Urgency::Patient;
            if running.class == Class::Service || patient {
                moved.push(*attempt);
            }
        }
        for attempt in moved {
            self.stop_here(worker, attempt, StopMode::Checkpoint);
        }
    }

    /// Hands over targets that were drained for another owner and are empty now.
    pub(crate) fn empty_targets(&mut self) {
        let now_ms = self.now_ms;
        self.retargeting.retain(|_, at_ms| now_ms < *at_ms + EMPTIED_RETRY_MS);
        let mut emptied = Vec::new();
        for (worker, held) in &self.held {
            let Some(versioned) = self.catalogue.get(&target_key(worker)) else {
                continue;
            };
            let Some(target) = self.catalogue.target(worker) else {
                continue;
            };
            let leaves = target.state == TargetState::Draining && target.next_owner.is_some();
            let empty = held.is_empty() && self.minions.in_use_on(worker) == 0;
            if leaves && empty && !self.retargeting.contains_key(worker) {
                emptied.push((worker.clone(), versioned.revision));
            }
        }
        for (worker, revision) in emptied {
            self.retargeting.insert(worker.clone(), now_ms);
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

    /// Whether some target that serves this owner, in any zone, could hold this much.
    pub(crate) fn could_hold_anywhere(&self, owner: &OwnerName, need: &Resources) -> Option<bool> {
        if self.scheduler.cell.could_fit(owner, need) {
            return Some(true);
        }
        let serving = self.catalogue.targets().filter(|target| target.serves(owner)).count();
        let mut known = self.workers_serving(owner);
        let near = self.members.live(self.now_ms).map(|member| &member.summary);
        let far = self.zones.values().map(|zone| &zone.news.summary);
        for summary in near.chain(far) {
            for found in summary.owners.iter().filter(|found| found.owner == *owner) {
                if found.largest.holds(need) {
                    return Some(true);
                }
                known += 1;
            }
        }
        // Nobody has told of workers for this owner yet, though there are some.
        if known == 0 && serving > 0 {
            return None;
        }
        Some(false)
    }

    fn workers_serving(&self, owner: &OwnerName) -> usize {
        let here = self.held.keys().filter_map(|worker| self.catalogue.target(worker));
        here.filter(|target| target.serves(owner)).count()
    }
}

/// The part of a limit that these targets of an owner have. Each target has an
/// even part and the first ones one more, so the parts add up to the limit and
/// a small limit is not rounded away everywhere.
fn ranks_share(limit: u32, ranks: &[u64], targets: u64) -> u32 {
    let limit = u64::from(limit);
    let whole = targets.max(1);
    let (base, more) = (limit / whole, limit % whole);
    let sum: u64 = ranks.iter().map(|rank| base + u64::from(*rank < more)).sum();
    u32::try_from(sum).unwrap_or(u32::MAX)
}
