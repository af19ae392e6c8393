//! Request slots and circuit breakers of the minions on this daemon's workers.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;
use stoatwell_model::MinionId;
use stoatwell_model::OwnerName;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::peer::GroupSummary;
use stoatwell_model::worker::MinionState;

/// Minions on the workers that this daemon holds.
#[derive(Debug)]
pub struct Minions {
    breaker_failures: u32,
    breaker_open_ms: u64,
    by_id: BTreeMap<MinionId, Minion>,
    groups: HashMap<String, Vec<MinionId>>,
    /// Offset within a group at which a search starts; rises with each search.
    search_offset: usize,
}

/// Slots and breaker state of one minion.
#[derive(Clone, Debug, Serialize)]
pub struct Minion {
    /// IP address and port.
    pub address: String,
    /// The worker that hosts it.
    pub worker: WorkerId,
    /// The group by which entries refer to it.
    pub group: String,
    /// Maximum number of concurrent requests: the smaller of its slots and connections.
    pub limit: u32,
    /// Requests sent from here that are not answered yet.
    pub busy: u32,
    /// Requests in progress that do not count in `busy`: sent by an earlier holder of the
    /// worker according to the last report, or given up here.
    pub inherited: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// The breaker is open, and the minion gets no requests, until this time.
    pub open_until_ms: UnixMs,
    /// The owner that its worker serves; `None` while the worker takes no requests.
    pub serves: Option<OwnerName>,
}

/// A minion on which a slot was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedMinion {
    /// The minion's identifier, with which the slot is released.
    pub minion: MinionId,
    /// IP address and port.
    pub address: String,
    /// The worker that hosts it.
    pub worker: WorkerId,
}

/// How a request to a minion ended, for its slots and breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The minion answered, with success or with an error, or the request was not sent.
    NoFailure,
    /// No answer arrived, or no connection was made.
    Failed,
    /// The minion refused the request because it had no free slot.
    Busy,
}

impl Minions {
    /// Creates an empty set. A breaker opens for `breaker_open_ms` after `breaker_failures`
    /// consecutive failures.
    pub fn new(breaker_failures: u64, breaker_open_ms: u64) -> Self {
        Self {
            breaker_failures: breaker_failures as u32,
            breaker_open_ms,
            by_id: BTreeMap::new(),
            groups: HashMap::new(),
            search_offset: 0,
        }
    }

    /// Adds or updates the minions that a worker reports when it becomes held.
    pub fn put_worker(&mut self, worker: &WorkerId, states: &[MinionState]) {
        for state in states {
            let is_known = self.by_id.contains_key(&state.minion);
            let minion = self.by_id.entry(state.minion.clone()).or_insert_with(|| Minion {
                address: state.address.clone(),
                worker: worker.clone(),
                group: state.group.clone(),
                limit: state.slots.min(state.connections),
                busy: 0,
                inherited: 0,
                failures: 0,
                open_until_ms: 0,
                serves: None,
            });
            minion.address.clone_from(&state.address);
            minion.limit = state.slots.min(state.connections);
            minion.inherited = state.busy.saturating_sub(minion.busy);
            if !is_known {
                self.groups.entry(state.group.clone()).or_default().push(state.minion.clone());
            }
        }
    }

    /// Applies a later report of a held worker. It is older than the counts here, so
    /// it only shows which requests of an earlier holder have ended.
    pub fn update(&mut self, states: &[MinionState]) {
        for state in states {
            if let Some(minion) = self.by_id.get_mut(&state.minion) {
                minion.inherited = minion.inherited.min(state.busy);
            }
        }
    }

    /// Removes the minions of a worker that is no longer held.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.by_id.retain(|_, minion| minion.worker != *worker);
        for group in self.groups.values_mut() {
            group.retain(|minion| self.by_id.contains_key(minion));
        }
    }

    /// Sets the owner that the minions of a worker serve; `None` while the worker drains.
    pub fn set_owner(&mut self, worker: &WorkerId, owner: Option<&OwnerName>) {
        for minion in self.by_id.values_mut() {
            if minion.worker == *worker {
                minion.serves = owner.cloned();
            }
        }
    }

    /// Takes a slot on a minion of the group that serves the owner. Prefers the fewest
    /// consecutive failures, then the fewest requests in progress.
    pub fn pick(&mut self, now_ms: UnixMs, group: &str, owner: &OwnerName) -> Option<PickedMinion> {
        let members = self.groups.get(group)?;
        self.search_offset = self.search_offset.wrapping_add(1);
        let count = members.len();
        let mut best: Option<(u32, u32, &MinionId)> = None;
        for offset in 0..count {
            // A different start each time spreads requests evenly over equal minions.
            let id = &members[(self.search_offset + offset) % count];
            let Some(minion) = self.by_id.get(id) else {
                continue;
            };
            if !minion.is_available(now_ms, owner) {
                continue;
            }
            let key = (minion.failures, minion.in_use());
            if best.is_none_or(|(failures, in_use, _)| key < (failures, in_use)) {
                best = Some((key.0, key.1, id));
            }
        }
        let id = best.map(|(_, _, id)| id.clone())?;
        let minion = self.by_id.get_mut(&id)?;
        minion.busy += 1;
        Some(PickedMinion {
            minion: id,
            address: minion.address.clone(),
            worker: minion.worker.clone(),
        })
    }

    /// Releases a slot and updates the breaker.
    pub fn release(&mut self, now_ms: UnixMs, minion: &MinionId, end: RequestEnd) {
        let Some(state) = self.by_id.get_mut(minion) else {
            return;
        };
        state.busy = state.busy.saturating_sub(1);
        match end {
            RequestEnd::NoFailure => {
                state.failures = 0;
                state.open_until_ms = 0;
            }
            // Requests that were not sent from here fill it; the next report says how many.
            RequestEnd::Busy => state.inherited = state.limit.saturating_sub(state.busy),
            RequestEnd::Failed => {
                state.failures += 1;
                // The minion may still be working on the request that was given up.
                state.inherited += 1;
                if state.failures >= self.breaker_failures {
                    state.open_until_ms = now_ms + self.breaker_open_ms;
                }
            }
        }
    }

    /// Free and total slots of each group; minions that serve no owner do not count.
    pub fn summary(&self, now_ms: UnixMs) -> Vec<GroupSummary> {
        let mut summaries = Vec::new();
        for (group, members) in &self.groups {
            let mut summary = GroupSummary { group: group.clone(), free_slots: 0, slots: 0 };
            for minion in members.iter().filter_map(|id| self.by_id.get(id)) {
                let Some(owner) = &minion.serves else {
                    continue;
                };
                summary.slots += minion.limit;
                if minion.is_available(now_ms, owner) {
                    summary.free_slots += minion.limit - minion.in_use();
                }
            }
            summaries.push(summary);
        }
        summaries.sort_by(|a, b| a.group.cmp(&b.group));
        summaries
    }

    /// Requests in progress on a worker's minions, from any daemon.
    pub fn in_use_on(&self, worker: &WorkerId) -> u32 {
        let on_worker = self.by_id.values().filter(|minion| minion.worker == *worker);
        on_worker.map(Minion::in_use).sum()
    }

    /// Requests sent from here to a worker's minions that are not answered yet.
    pub fn busy_on(&self, worker: &WorkerId) -> u32 {
        let on_worker = self.by_id.values().filter(|minion| minion.worker == *worker);
        on_worker.map(|minion| minion.busy).sum()
    }

    /// All minions, by identifier.
    pub fn all(&self) -> impl Iterator<Item = (&MinionId, &Minion)> {
        self.by_id.iter()
    }
}

impl Minion {
    fn in_use(&self) -> u32 {
        (self.busy + self.inherited).min(self.limit)
    }

    fn is_available(&self, now_ms: UnixMs, owner: &OwnerName) -> bool {
        let serves_owner = self.serves.as_ref() == Some(owner);
        serves_owner && self.open_until_ms <= now_ms && self.in_use() < self.limit
    }
}
