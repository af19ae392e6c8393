//! Slots of the minions on held workers, and breakers.

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
    known: BTreeMap<MinionId, Minion>,
    groups: HashMap<String, Vec<MinionId>>,
    turn: usize,
}

/// One minion.
#[derive(Clone, Debug, Serialize)]
pub struct Minion {
    /// IP and port.
    pub address: String,
    /// The worker that hosts it.
    pub worker: WorkerId,
    /// Its group.
    pub group: String,
    /// Requests it takes at once: the smaller of its slots and connections.
    pub limit: u32,
    /// Requests sent from here that are not answered.
    pub busy: u32,
    /// Requests in work that were not sent from here, as last reported: those
    /// of an earlier holder.
    pub inherited: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Left alone until then.
    pub open_until_ms: UnixMs,
    /// Whom its worker serves, while it may take requests.
    pub serves: Option<OwnerName>,
}

/// A slot that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedMinion {
    /// The minion.
    pub minion: MinionId,
    /// IP and port.
    pub address: String,
    /// The worker that hosts it.
    pub worker: WorkerId,
}

/// How a request went, as far as the minion is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered, well or badly.
    Answered,
    /// No answer came, or no connection.
    Failed,
    /// The minion had no slot after all.
    Busy,
}

impl Minions {
    /// None yet; a breaker opens after so many failures for so long.
    pub fn new(breaker_failures: u64, breaker_open_ms: u64) -> Self {
        Self {
            breaker_failures: breaker_failures as u32,
            breaker_open_ms,
            known: BTreeMap::new(),
            groups: HashMap::new(),
            turn: 0,
        }
    }

    /// Takes what a worker reports of its minions.
    pub fn put_worker(&mut self, worker: &WorkerId, states: &[MinionState]) {
        for state in states {
            let known = self.known.contains_key(&state.minion);
            let minion = self.known.entry(state.minion.clone()).or_insert_with(|| Minion {
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
            if !known {
                self.groups.entry(state.group.clone()).or_default().push(state.minion.clone());
            }
        }
    }

    /// Takes what a held worker reports later on. Such a report is older than
    /// what is known here, so it only tells that an earlier holder's requests ended.
    pub fn update(&mut self, states: &[MinionState]) {
        for state in states {
            if let Some(minion) = self.known.get_mut(&state.minion) {
                minion.inherited = minion.inherited.min(state.busy);
            }
        }
    }

    /// Forgets the minions of a worker that is not held any more.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.known.retain(|_, minion| minion.worker != *worker);
        for group in self.groups.values_mut() {
            group.retain(|minion| self.known.contains_key(minion));
        }
    }

    /// Says whom the minions of a worker serve; `None` while it drains.
    pub fn set_owner(&mut self, worker: &WorkerId, owner: Option<&OwnerName>) {
        for minion in self.known.values_mut() {
            if minion.worker == *worker {
                minion.serves = owner.cloned();
            }
        }
    }

    /// Takes a slot on the least busy minion of a group, none that failed of late first.
    pub fn pick(&mut self, now_ms: UnixMs, group: &str, owner: &OwnerName) -> Option<PickedMinion> {
        let members = self.groups.get(group)?;
        self.turn = self.turn.wrapping_add(1);
        let count = members.len();
        let mut best: Option<(u32, u32, &MinionId)> = None;
        for offset in 0..count {
            // Starting elsewhere each time spreads equal choices evenly.
            let id = &members[(self.turn + offset) % count];
            let Some(minion) = self.known.get(id) else {
                continue;
            };
            if !minion.takes(now_ms, owner) {
                continue;
            }
            let key = (minion.failures, minion.in_use());
            if best.is_none_or(|(failures, in_use, _)| key < (failures, in_use)) {
                best = Some((key.0, key.1, id));
            }
        }
        let id = best.map(|(_, _, id)| id.clone())?;
        let minion = self.known.get_mut(&id)?;
        minion.busy += 1;
        Some(PickedMinion {
            minion: id,
            address: minion.address.clone(),
            worker: minion.worker.clone(),
        })
    }

    /// Gives a slot back.
    pub fn release(&mut self, now_ms: UnixMs, minion: &MinionId, ending: RequestEnd) {
        let Some(found) = self.known.get_mut(minion) else {
            return;
        };
        found.busy = found.busy.saturating_sub(1);
        match ending {
            RequestEnd::Answered => {
                found.failures = 0;
                found.open_until_ms = 0;
            }
            // Somebody else's requests fill it; the next report tells how many.
            RequestEnd::Busy => found.inherited = found.limit.saturating_sub(found.busy),
            RequestEnd::Failed => {
                found.failures += 1;
                // The minion may still be at work on what was given up.
                found.inherited += 1;
                if found.failures >= self.breaker_failures {
                    found.open_until_ms = now_ms + self.breaker_open_ms;
                }
            }
        }
    }

    /// Free and all slots of each group.
    pub fn summary(&self, now_ms: UnixMs) -> Vec<GroupSummary> {
        let mut summaries = Vec::new();
        for (group, members) in &self.groups {
            let mut summary = GroupSummary { group: group.clone(), free_slots: 0, slots: 0 };
            for minion in members.iter().filter_map(|id| self.known.get(id)) {
                let Some(owner) = &minion.serves else {
                    continue;
                };
                summary.slots += minion.limit;
                if minion.takes(now_ms, owner) {
                    summary.free_slots += minion.limit - minion.in_use();
                }
            }
            summaries.push(summary);
        }
        summaries.sort_by(|a, b| a.group.cmp(&b.group));
        summaries
    }

    /// Requests in work on a worker's minions, sent from anywhere.
    pub fn in_use_on(&self, worker: &WorkerId) -> u32 {
        let here = self.known.values().filter(|minion| minion.worker == *worker);
        here.map(Minion::in_use).sum()
    }

    /// Requests sent from here to a worker's minions that are not answered.
    pub fn busy_on(&self, worker: &WorkerId) -> u32 {
        let here = self.known.values().filter(|minion| minion.worker == *worker);
        here.map(|minion| minion.busy).sum()
    }

    /// All minions.
    pub fn all(&self) -> impl Iterator<Item = (&MinionId, &Minion)> {
        self.known.iter()
    }
}

impl Minion {
    fn in_use(&self) -> u32 {
        (self.busy + self.inherited).min(self.limit)
    }

    fn takes(&self, now_ms: UnixMs, owner: &OwnerName) -> bool {
        let serves = self.serves.as_ref() == Some(owner);
        serves && self.open_until_ms <= now_ms && self.in_use() < self.limit
    }
}
