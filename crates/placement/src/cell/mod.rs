//! The workers of one holder, what runs on them, and what is free.
//!
//! Every change of a worker goes through [`Cell::refresh`], which keeps three
//! trees for each owner's workers: what is free, what is free when room kept
//! for a waiting gang is used too, and what would be free if work that may
//! give way did. Room is counted by the larger of what was set aside and what
//! was seen in use, so a worker is never promised more than it holds.

mod search;

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::EntryName;
use stoatwell_model::Execution;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;

use crate::tree::FitTree;

/// Added to the rest that a worker would keep, where its accelerators would lie idle.
const IDLE_ACCELERATOR_COST: f64 = 4.0;

/// The workers of one holder.
#[derive(Debug, Default)]
pub struct Cell {
    slots: Vec<WorkerInfo>,
    by_id: HashMap<WorkerId, usize>,
    pools: BTreeMap<OwnerName, Pool>,
    running: HashMap<AttemptId, Running>,
    by_entry: HashMap<EntryName, u32>,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerInfo {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: String,
    /// What it holds in all.
    pub capacity: Resources,
    /// What something else uses.
    pub foreign: Resources,
    /// What is set aside for tasks.
    pub reserved: Resources,
    /// Whom it serves.
    pub owner: Option<OwnerName>,
    /// What runs on it.
    pub tasks: Vec<AttemptId>,
    claimed: Resources,
    reclaimable: Resources,
    /// Tasks that count against `tasks_max`; a gang's do not, because it starts
    /// in whole or not at all.
    counted: u32,
    /// Whether new work may start, as the catalogue says.
    serving: bool,
    quarantined: bool,
    tasks_max: Option<u32>,
    position: usize,
}

/// The workers that serve one owner.
#[derive(Debug, Default)]
struct Pool {
    members: Vec<usize>,
    stale: bool,
    free: FitTree,
    beneath: FitTree,
    reclaim: FitTree,
    growth: u64,
    capacity: Resources,
    used: Resources,
    claimed: Resources,
    quota: Option<Resources>,
}

/// Which of the trees a search uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// Only what is free.
    Free,
    /// Also what is kept for a waiting gang.
    IncludingClaimed,
}

/// A task that runs, or is about to.
#[derive(Clone, Debug)]
pub struct Running {
    /// The worker.
    pub worker: WorkerId,
    /// Whose it is.
    pub owner: OwnerName,
    /// Its entry.
    pub entry: EntryName,
    /// Its class.
    pub class: Class,
    /// Its promise.
    pub execution: Execution,
    /// Its urgency.
    pub urgency: Urgency,
    /// What it was declared to need.
    pub declared: Resources,
    /// What is set aside for it.
    pub demand: Resources,
    /// The most it was seen to use.
    pub used: Resources,
    /// When it was started.
    pub started_ms: UnixMs,
    /// Whether it uses room that is kept for a waiting gang.
    pub uses_claimed: bool,
}

impl Running {
    /// Whether it may be stopped to make room for urgent work.
    pub fn is_evictable(&self) -> bool {
        self.class == Class::Batch
            && self.execution != Execution::AtMostOnce
            && self.urgency != Urgency::Urgent
    }

    fn held(&self) -> Resources {
        self.demand.max(&self.used)
    }
}

impl Cell {
    /// Adds a worker or takes over its new capacity.
    pub fn put_worker(
        &mut self,
        worker: &WorkerId,
        rack: &str,
        capacity: Resources,
        foreign: Resources,
    ) {
        if let Some(index) = self.by_id.get(worker).copied() {
            let slot = &mut self.slots[index];
            let resized = slot.capacity != capacity;
            slot.capacity = capacity;
            slot.foreign = foreign;
            if resized {
                self.mark_stale(index);
            }
            self.refresh(index);
            return;
        }
        let index = self.slots.len();
        self.slots.push(WorkerInfo {
            worker: worker.clone(),
            rack: rack.to_owned(),
            capacity,
            foreign,
            reserved: Resources::ZERO,
            owner: None,
            tasks: Vec::new(),
            claimed: Resources::ZERO,
            reclaimable: Resources::ZERO,
            counted: 0,
            serving: false,
            quarantined: false,
            tasks_max: None,
            position: 0,
        });
        self.by_id.insert(worker.clone(), index);
    }

    /// Takes a worker out with all that runs on it.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        let Some(index) = self.by_id.get(worker).copied() else {
            return Vec::new();
        };
        let tasks = self.slots[index].tasks.clone();
        for attempt in &tasks {
            self.remove(*attempt);
        }
        self.set_target(worker, None, false);
        self.by_id.remove(worker);
        let last = self.slots.len() - 1;
        self.slots.swap_remove(index);
        if index != last {
            let moved = self.slots[index].worker.clone();
            self.by_id.insert(moved, index);
            if let Some(owner) = self.slots[index].owner.clone()
                && let Some(pool) = self.pools.get_mut(&owner)
            {
                pool.members[self.slots[index].position] = index;
            }
        }
        tasks
    }

    /// Says whom a worker serves and whether new work may start there.
    pub fn set_target(&mut self, worker: &WorkerId, owner: Option<&OwnerName>, serving: bool) {
        let Some(index) = self.by_id.get(worker).copied() else {
            return;
        };
        if self.slots[index].owner.as_ref() != owner {
            self.leave_pool(index);
            self.slots[index].owner = owner.cloned();
            if let Some(owner) = owner {
                let pool = self.pools.entry(owner.clone()).or_default();
                pool.members.push(index);
                pool.stale = true;
            }
        }
        self.slots[index].serving = serving;
        self.refresh(index);
    }

    /// Says whether a worker is left alone and how many tasks it may run.
    pub fn set_health(&mut self, worker: &WorkerId, quarantined: bool, tasks_max: Option<u32>) {
        let Some(index) = self.by_id.get(worker).copied() else {
            return;
        };
        let slot = &mut self.slots[index];
        if slot.quarantined == quarantined && slot.tasks_max == tasks_max {
            return;
        }
        slot.quarantined = quarantined;
        slot.tasks_max = tasks_max;
        self.refresh(index);
    }

    /// The most that an owner's running work may hold here; `None` is no limit.
    pub fn set_quota(&mut self, owner: &OwnerName, quota: Option<Resources>) {
        let pool = self.pools.entry(owner.clone()).or_default();
        if pool.quota != quota {
            pool.quota = quota;
            pool.growth += 1;
        }
    }

    /// Sets room aside for a task.
    pub fn add(&mut self, attempt: AttemptId, running: Running) {
        // The same attempt may have been promised room for another daemon before.
        self.remove(attempt);
        let Some(index) = self.by_id.get(&running.worker).copied() else {
            return;
        };
        self.slots[index].tasks.push(attempt);
        self.account(index, &running, true);
        *self.by_entry.entry(running.entry.clone()).or_default() += 1;
        self.running.insert(attempt, running);
        self.refresh(index);
    }

    /// Gives a task's room back.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        if let Some(count) = self.by_entry.get_mut(&running.entry) {
            *count = count.saturating_sub(1);
        }
        let index = self.by_id.get(&running.worker).copied()?;
        self.slots[index].tasks.retain(|other| *other != attempt);
        self.account(index, &running, false);
        self.refresh(index);
        Some(running)
    }

    /// Takes what a task was seen to use.
    pub fn record_usage(&mut self, attempt: AttemptId, used: &Resources) {
        let Some(mut running) = self.running.remove(&attempt) else {
            return;
        };
        let Some(index) = self.by_id.get(&running.worker).copied() else {
            return;
        };
        self.account(index, &running, false);
        running.used = running.used.max(used);
        self.account(index, &running, true);
        self.running.insert(attempt, running);
        self.refresh(index);
    }

    /// Keeps room on a worker for a waiting gang.
    pub fn claim(&mut self, index: usize, need: &Resources) {
        self.slots[index].claimed = self.slots[index].claimed.plus(need);
        if let Some(pool) = self.pool_of(index) {
            pool.claimed = pool.claimed.plus(need);
        }
        self.refresh(index);
    }

    /// Gives kept room back.
    pub fn unclaim(&mut self, index: usize, need: &Resources) {
        self.slots[index].claimed = self.slots[index].claimed.minus(need);
        if let Some(pool) = self.pool_of(index) {
            pool.claimed = pool.claimed.minus(need);
        }
        self.refresh(index);
    }

    /// Workers on which more is in use than they hold, most patient tasks first.
    pub fn overfull(&self, index: usize) -> bool {
        let slot = &self.slots[index];
        !slot.capacity.holds(&slot.reserved.plus(&slot.foreign))
    }

    /// A worker by its place.
    pub fn slot(&self, index: usize) -> &WorkerInfo {
        &self.slots[index]
    }

    /// A worker by its name.
    pub fn worker_info(&self, worker: &WorkerId) -> Option<&WorkerInfo> {
        self.by_id.get(worker).map(|index| &self.slots[*index])
    }

    /// The place of a worker.
    pub fn index_of(&self, worker: &WorkerId) -> Option<usize> {
        self.by_id.get(worker).copied()
    }

    /// All workers.
    pub fn slots(&self) -> &[WorkerInfo] {
        &self.slots
    }

    /// A task that runs.
    pub fn running(&self, attempt: AttemptId) -> Option<&Running> {
        self.running.get(&attempt)
    }

    /// How many tasks of an entry run.
    pub fn running_of(&self, entry: &EntryName) -> u32 {
        self.by_entry.get(entry).copied().unwrap_or(0)
    }

    /// Every task that runs.
    pub fn all_running(&self) -> impl Iterator<Item = (&AttemptId, &Running)> {
        self.running.iter()
    }

    /// How many tasks run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Rises whenever more room appears for an owner.
    pub fn growth(&self, owner: &OwnerName) -> u64 {
        self.pools.get(owner).map_or(0, |pool| pool.growth)
    }

    /// What an owner's workers hold in all, and what its work holds of it.
    pub fn usage(&self, owner: &OwnerName) -> (Resources, Resources) {
        self.pools
            .get(owner)
            .map_or((Resources::ZERO, Resources::ZERO), |pool| (pool.capacity, pool.used))
    }

    /// What an owner may hold here.
    pub fn quota(&self, owner: &OwnerName) -> Option<Resources> {
        self.pools.get(owner)?.quota
    }

    /// The most that is free on one worker, each resource perhaps on another.
    pub fn largest_free(&mut self, owner: &OwnerName) -> Resources {
        self.settle(owner);
        self.pools.get(owner).map_or(Resources::ZERO, |pool| pool.free.largest())
    }

    /// Owners that have workers here.
    pub fn owners(&self) -> impl Iterator<Item = &OwnerName> {
        self.pools.iter().filter(|(_, pool)| !pool.members.is_empty()).map(|(owner, _)| owner)
    }

    /// Brings what is known of every owner's workers up to date.
    pub fn settle_all(&mut self) {
        let stale = self.pools.iter().filter(|(_, pool)| pool.stale);
        let owners: Vec<OwnerName> = stale.map(|(owner, _)| owner.clone()).collect();
        for owner in owners {
            self.settle(&owner);
        }
    }

    /// Whether one empty worker of this owner would hold this much.
    pub fn could_fit(&self, owner: &OwnerName, need: &Resources) -> bool {
        let Some(pool) = self.pools.get(owner) else {
            return false;
        };
        pool.members.iter().any(|index| {
            let slot = &self.slots[*index];
            slot.serving && slot.capacity.holds(need)
        })
    }

    /// Whether the empty workers of this owner would hold so many tasks at once.
    pub fn could_fit_all(&self, owner: &OwnerName, need: &Resources, tasks: usize) -> bool {
        let Some(pool) = self.pools.get(owner) else {
            return false;
        };
        let mut room = 0;
        for index in &pool.members {
            let slot = &self.slots[*index];
            if slot.serving {
                room += slot.capacity.times_held(need);
            }
        }
        room >= tasks as u64
    }

    /// The most that one empty worker of this owner holds, resource by resource.
    pub fn largest(&self, owner: &OwnerName) -> Resources {
        let mut largest = Resources::ZERO;
        for index in self.pools.get(owner).into_iter().flat_map(|pool| &pool.members) {
            let slot = &self.slots[*index];
            if slot.serving {
                largest = largest.max(&slot.capacity);
            }
        }
        largest
    }

    fn account(&mut self, index: usize, running: &Running, added: bool) {
        let held = running.held();
        let step = |sum: &Resources| {
            if added { sum.plus(&held) } else { sum.minus(&held) }
        };
        let slot = &mut self.slots[index];
        slot.reserved = step(&slot.reserved);
        if running.is_evictable() {
            slot.reclaimable = step(&slot.reclaimable);
        }
        if running.class != Class::Gang {
            slot.counted = if added { slot.counted + 1 } else { slot.counted.saturating_sub(1) };
        }
        if let Some(pool) = self.pools.get_mut(&running.owner) {
            pool.used = step(&pool.used);
            if !added {
                pool.growth += 1;
            }
        }
    }

    fn pool_of(&mut self, index: usize) -> Option<&mut Pool> {
        let owner = self.slots[index].owner.as_ref()?;
        self.pools.get_mut(owner)
    }

    fn leave_pool(&mut self, index: usize) {
        let position = self.slots[index].position;
        let Some(pool) = self.pool_of(index) else {
            return;
        };
        if pool.members.get(position) == Some(&index) {
            pool.members.remove(position);
        } else {
            pool.members.retain(|member| *member != index);
        }
        pool.stale = true;
        let members = pool.members.clone();
        for (position, member) in members.into_iter().enumerate() {
            self.slots[member].position = position;
        }
    }

    fn mark_stale(&mut self, index: usize) {
        if let Some(pool) = self.pool_of(index) {
            pool.stale = true;
        }
    }

    /// Rebuilds an owner's trees after workers came or went. Workers without
    /// accelerators stand first, so that plain work does not fill the others.
    pub fn settle(&mut self, owner: &OwnerName) {
        let Some(pool) = self.pools.get_mut(owner) else {
            return;
        };
        if !pool.stale {
            return;
        }
        pool.stale = false;
        pool.members.sort_by_key(|index| {
            let slot = &self.slots[*index];
            (slot.capacity.accelerators, slot.worker.clone())
        });
        let mut capacity = Resources::ZERO;
        for (position, index) in pool.members.iter().enumerate() {
            self.slots[*index].position = position;
            capacity = capacity.plus(&self.slots[*index].capacity);
        }
        let slots = &self.slots;
        let tree = |room: fn(&WorkerInfo) -> Resources| {
            let rooms: Vec<Resources> =
                pool.members.iter().map(|index| room(&slots[*index])).collect();
            FitTree::new(&rooms)
        };
        pool.free = tree(WorkerInfo::free);
        pool.beneath = tree(WorkerInfo::free_beneath);
        pool.reclaim = tree(WorkerInfo::free_reclaimed);
        pool.capacity = capacity;
        pool.growth += 1;
    }

    fn refresh(&mut self, index: usize) {
        let slot = &self.slots[index];
        let (free, beneath, reclaim) = (slot.free(), slot.free_beneath(), slot.free_reclaimed());
        let position = slot.position;
        let Some(pool) = self.pool_of(index) else {
            return;
        };
        if pool.stale {
            return;
        }
        let before = pool.free.get(position);
        if !before.holds(&free) {
            pool.growth += 1;
        }
        pool.free.set(position, free);
        pool.beneath.set(position, beneath);
        pool.reclaim.set(position, reclaim);
    }
}

impl WorkerInfo {
    /// What new work can have.
    pub fn free(&self) -> Resources {
        self.free_beneath().minus(&self.claimed)
    }

    /// What new work can have, room kept for a waiting gang included.
    pub fn free_beneath(&self) -> Resources {
        if !self.is_open() {
            return Resources::ZERO;
        }
        self.capacity.minus(&self.foreign).minus(&self.reserved)
    }

    /// Whether new work may start now.
    pub fn is_open(&self) -> bool {
        let under_limit = self.tasks_max.is_none_or(|limit| self.counted < limit);
        self.takes_work() && under_limit
    }

    /// Whether work may be placed on it at all.
    pub fn takes_work(&self) -> bool {
        self.serving && !self.quarantined
    }

    /// Whether it is left alone because it fails.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    fn free_reclaimed(&self) -> Resources {
        if !self.takes_work() {
            return Resources::ZERO;
        }
        self.capacity.plus(&self.reclaimable).minus(&self.foreign).minus(&self.reserved)
    }

    fn rest_after(&self, free: &Resources, need: &Resources) -> f64 {
        let rest = free.minus(need);
        let part = |rest: u64, all: u64| {
            if all == 0 { 0.0 } else { rest as f64 / all as f64 }
        };
        let sum = part(rest.cpu_millis, self.capacity.cpu_millis)
            + part(rest.memory_bytes, self.capacity.memory_bytes);
        let idles = need.accelerators == 0 && rest.accelerators > 0;
        if idles { sum + IDLE_ACCELERATOR_COST } else { sum }
    }
}
