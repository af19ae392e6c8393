//! The workers that one daemon holds, the tasks on them, and their free capacity.
//!
//! The workers of an owner form a pool. For each pool there are three trees over the
//! workers: of the free capacity, of the free capacity including what is reserved for a
//! waiting job, and of the capacity that would be free if all evictable tasks were evicted.
//! Every change to a worker goes through [`Cell::refresh`], which updates the trees. A task
//! counts with the larger of its allocation and its observed usage, so no worker is
//! promised more than its capacity.

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

/// Added to a worker's cost if its accelerators would stay idle.
const IDLE_ACCELERATOR_COST: f64 = 4.0;

/// The workers that one daemon holds.
#[derive(Debug, Default)]
pub struct Cell {
    workers: Vec<WorkerInfo>,
    index_by_id: HashMap<WorkerId, usize>,
    pools: BTreeMap<OwnerName, OwnerPool>,
    running: HashMap<AttemptId, Running>,
    running_by_entry: HashMap<EntryName, u32>,
}

/// One worker and its accounting.
#[derive(Debug)]
pub struct WorkerInfo {
    /// Its identifier.
    pub worker: WorkerId,
    /// The failure domain over which services are spread.
    pub rack: String,
    /// Total capacity, including what is in use.
    pub capacity: Resources,
    /// Capacity used by something other than our tasks.
    pub foreign: Resources,
    /// Sum over its tasks of the larger of demand and observed usage.
    pub allocated: Resources,
    /// The owner whose work may run on it, named by the worker's target in the catalogue;
    /// `None` if the catalogue has no target for the worker.
    pub owner: Option<OwnerName>,
    /// Attempts that run on it or are about to.
    pub tasks: Vec<AttemptId>,
    /// Capacity reserved for waiting jobs; see [`crate::reservation`].
    reserved: Resources,
    /// Sum over its evictable tasks, as in `allocated`.
    evictable: Resources,
    /// Tasks that count towards `tasks_max`. Gang tasks do not, because a gang
    /// starts as a whole or not at all.
    counted_tasks: u32,
    /// Whether its target allows new work to start here.
    serving: bool,
    quarantined: bool,
    tasks_max: Option<u32>,
    /// Its position in the pool of its owner.
    position: usize,
}

/// The workers that serve one owner, and what the owner's tasks use of them.
#[derive(Debug, Default)]
struct OwnerPool {
    members: Vec<usize>,
    stale: bool,
    free: FitTree,
    free_or_reserved: FitTree,
    free_after_eviction: FitTree,
    free_generation: u64,
    capacity: Resources,
    /// Sum over the owner's tasks of the larger of demand and observed usage.
    allocated: Resources,
    reserved: Resources,
    quota: Option<Resources>,
}

/// Which capacity a search may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityView {
    /// Only free capacity.
    Free,
    /// Free capacity and capacity that is reserved for a waiting job.
    FreeOrReserved,
}

/// A task that is placed on a worker: it runs, or is about to.
#[derive(Clone, Debug)]
pub struct Running {
    /// The worker it is placed on.
    pub worker: WorkerId,
    /// The owner whose quota it counts towards.
    pub owner: OwnerName,
    /// The work entry it belongs to.
    pub entry: EntryName,
    /// Class of its entry.
    pub class: Class,
    /// How often it may run.
    pub execution: Execution,
    /// Urgency of its entry.
    pub urgency: Urgency,
    /// Demand that was declared for it.
    pub declared: Resources,
    /// Capacity that is allocated for it; may be an estimate from past usage.
    pub demand: Resources,
    /// Peak of the usage observed so far.
    pub peak_usage: Resources,
    /// When it was placed, or first found in its worker's report.
    pub started_ms: UnixMs,
    /// Whether it uses capacity that is reserved for a waiting job.
    pub uses_reserved: bool,
}

impl Running {
    /// Whether it may be stopped to make room for other work.
    pub fn is_evictable(&self) -> bool {
        self.class == Class::Batch
            && self.execution != Execution::AtMostOnce
            && self.urgency != Urgency::Urgent
    }

    fn footprint(&self) -> Resources {
        self.demand.max(&self.peak_usage)
    }
}

impl Cell {
    /// Adds a worker, or updates its total and foreign capacity.
    pub fn put_worker(
        &mut self,
        worker: &WorkerId,
        rack: &str,
        capacity: Resources,
        foreign: Resources,
    ) {
        if let Some(index) = self.index_by_id.get(worker).copied() {
            let info = &mut self.workers[index];
            let resized = info.capacity != capacity;
            info.capacity = capacity;
            info.foreign = foreign;
            if resized {
                self.mark_stale(index);
            }
            self.refresh(index);
            return;
        }
        let index = self.workers.len();
        self.workers.push(WorkerInfo {
            worker: worker.clone(),
            rack: rack.to_owned(),
            capacity,
            foreign,
            allocated: Resources::ZERO,
            owner: None,
            tasks: Vec::new(),
            reserved: Resources::ZERO,
            evictable: Resources::ZERO,
            counted_tasks: 0,
            serving: false,
            quarantined: false,
            tasks_max: None,
            position: 0,
        });
        self.index_by_id.insert(worker.clone(), index);
    }

    /// Removes a worker and returns the attempts that were placed on it.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        let Some(index) = self.index_by_id.get(worker).copied() else {
            return Vec::new();
        };
        let tasks = self.workers[index].tasks.clone();
        for attempt in &tasks {
            self.remove(*attempt);
        }
        self.set_target(worker, None, false);
        self.index_by_id.remove(worker);
        let last = self.workers.len() - 1;
        self.workers.swap_remove(index);
        if index != last {
            let moved = self.workers[index].worker.clone();
            self.index_by_id.insert(moved, index);
            if let Some(owner) = self.workers[index].owner.clone()
                && let Some(pool) = self.pools.get_mut(&owner)
            {
                pool.members[self.workers[index].position] = index;
            }
        }
        tasks
    }

    /// Sets the owner that a worker serves and whether new work may start there.
    pub fn set_target(&mut self, worker: &WorkerId, owner: Option<&OwnerName>, serving: bool) {
        let Some(index) = self.index_by_id.get(worker).copied() else {
            return;
        };
        if self.workers[index].owner.as_ref() != owner {
            self.leave_pool(index);
            self.workers[index].owner = owner.cloned();
            if let Some(owner) = owner {
                let pool = self.pools.entry(owner.clone()).or_default();
                pool.members.push(index);
                pool.stale = true;
            }
        }
        self.workers[index].serving = serving;
        self.refresh(index);
    }

    /// Sets whether a worker is quarantined and how many tasks it may run; `None` is no limit.
    pub fn set_health(&mut self, worker: &WorkerId, quarantined: bool, tasks_max: Option<u32>) {
        let Some(index) = self.index_by_id.get(worker).copied() else {
            return;
        };
        let info = &mut self.workers[index];
        if info.quarantined == quarantined && info.tasks_max == tasks_max {
            return;
        }
        info.quarantined = quarantined;
        info.tasks_max = tasks_max;
        self.refresh(index);
    }

    /// Sets the capacity that an owner's tasks may use here; `None` is no limit.
    pub fn set_quota(&mut self, owner: &OwnerName, quota: Option<Resources>) {
        let pool = self.pools.entry(owner.clone()).or_default();
        if pool.quota != quota {
            pool.quota = quota;
            pool.free_generation += 1;
        }
    }

    /// Allocates capacity for a task.
    pub fn add(&mut self, attempt: AttemptId, running: Running) {
        // Capacity may already be reserved for the same attempt on behalf of another daemon.
        self.remove(attempt);
        let Some(index) = self.index_by_id.get(&running.worker).copied() else {
            return;
        };
        self.workers[index].tasks.push(attempt);
        self.update_totals(index, &running, true);
        *self.running_by_entry.entry(running.entry.clone()).or_default() += 1;
        self.running.insert(attempt, running);
        self.refresh(index);
    }

    /// Releases the capacity of a task.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        if let Some(count) = self.running_by_entry.get_mut(&running.entry) {
            *count = count.saturating_sub(1);
        }
        let index = self.index_by_id.get(&running.worker).copied()?;
        self.workers[index].tasks.retain(|other| *other != attempt);
        self.update_totals(index, &running, false);
        self.refresh(index);
        Some(running)
    }

    /// Updates the peak usage of a task.
    pub fn record_usage(&mut self, attempt: AttemptId, used: &Resources) {
        let Some(mut running) = self.running.remove(&attempt) else {
            return;
        };
        let Some(index) = self.index_by_id.get(&running.worker).copied() else {
            return;
        };
        self.update_totals(index, &running, false);
        running.peak_usage = running.peak_usage.max(used);
        self.update_totals(index, &running, true);
        self.running.insert(attempt, running);
        self.refresh(index);
    }

    /// Reserves capacity of a worker for a waiting job.
    pub fn reserve(&mut self, index: usize, demand: &Resources) {
        self.workers[index].reserved = self.workers[index].reserved.plus(demand);
        if let Some(pool) = self.pool_of(index) {
            pool.reserved = pool.reserved.plus(demand);
        }
        self.refresh(index);
    }

    /// Releases reserved capacity.
    pub fn release_reserved(&mut self, index: usize, demand: &Resources) {
        self.workers[index].reserved = self.workers[index].reserved.minus(demand);
        if let Some(pool) = self.pool_of(index) {
            pool.reserved = pool.reserved.minus(demand);
        }
        self.refresh(index);
    }

    /// Whether tasks and foreign work use more than the worker's capacity.
    pub fn is_overcommitted(&self, index: usize) -> bool {
        let info = &self.workers[index];
        !info.capacity.holds(&info.allocated.plus(&info.foreign))
    }

    /// The worker at an index; see [`Cell::index_of`].
    pub fn worker_at(&self, index: usize) -> &WorkerInfo {
        &self.workers[index]
    }

    /// A worker by its identifier; `None` if this daemon does not hold it.
    pub fn worker_info(&self, worker: &WorkerId) -> Option<&WorkerInfo> {
        self.index_by_id.get(worker).map(|index| &self.workers[*index])
    }

    /// Index of a worker, valid until any worker is removed; `None` if it is not held.
    pub fn index_of(&self, worker: &WorkerId) -> Option<usize> {
        self.index_by_id.get(worker).copied()
    }

    /// All workers, by index.
    pub fn workers(&self) -> &[WorkerInfo] {
        &self.workers
    }

    /// A task that is placed on one of these workers.
    pub fn running(&self, attempt: AttemptId) -> Option<&Running> {
        self.running.get(&attempt)
    }

    /// Number of tasks of an entry that are placed on these workers.
    pub fn running_count_of(&self, entry: &EntryName) -> u32 {
        self.running_by_entry.get(entry).copied().unwrap_or(0)
    }

    /// All tasks that are placed on these workers.
    pub fn all_running(&self) -> impl Iterator<Item = (&AttemptId, &Running)> {
        self.running.iter()
    }

    /// Number of tasks placed on these workers.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Counter that rises whenever capacity becomes available to an owner.
    pub fn free_generation(&self, owner: &OwnerName) -> u64 {
        self.pools.get(owner).map_or(0, |pool| pool.free_generation)
    }

    /// Total capacity of an owner's workers, and how much of it is allocated to the owner's
    /// tasks.
    pub fn usage(&self, owner: &OwnerName) -> (Resources, Resources) {
        self.pools
            .get(owner)
            .map_or((Resources::ZERO, Resources::ZERO), |pool| (pool.capacity, pool.allocated))
    }

    /// Capacity that an owner's tasks may use here; `None` is no limit.
    pub fn quota(&self, owner: &OwnerName) -> Option<Resources> {
        self.pools.get(owner)?.quota
    }

    /// Largest free amount of each resource on any one worker; the amounts may be
    /// on different workers.
    pub fn largest_free(&mut self, owner: &OwnerName) -> Resources {
        self.rebuild_if_stale(owner);
        self.pools.get(owner).map_or(Resources::ZERO, |pool| pool.free.largest())
    }

    /// Owners that at least one worker here serves.
    pub fn owners(&self) -> impl Iterator<Item = &OwnerName> {
        self.pools.iter().filter(|(_, pool)| !pool.members.is_empty()).map(|(owner, _)| owner)
    }

    /// Rebuilds the trees and capacities of all owners whose workers changed.
    pub fn rebuild_stale_pools(&mut self) {
        let stale = self.pools.iter().filter(|(_, pool)| pool.stale);
        let owners: Vec<OwnerName> = stale.map(|(owner, _)| owner.clone()).collect();
        for owner in owners {
            self.rebuild_if_stale(&owner);
        }
    }

    /// Whether some serving worker of this owner, if it were empty, would fit this demand.
    pub fn could_fit(&self, owner: &OwnerName, demand: &Resources) -> bool {
        let Some(pool) = self.pools.get(owner) else {
            return false;
        };
        pool.members.iter().any(|index| {
            let info = &self.workers[*index];
            info.serving && info.capacity.holds(demand)
        })
    }

    /// Whether the serving workers of this owner, if they were empty, would fit this many
    /// tasks.
    pub fn could_fit_all(&self, owner: &OwnerName, demand: &Resources, tasks: usize) -> bool {
        let Some(pool) = self.pools.get(owner) else {
            return false;
        };
        let mut fitting_tasks = 0;
        for index in &pool.members {
            let info = &self.workers[*index];
            if info.serving {
                fitting_tasks += info.capacity.fit_count(demand);
            }
        }
        fitting_tasks >= tasks as u64
    }

    /// Largest capacity of each resource among this owner's serving workers.
    pub fn largest(&self, owner: &OwnerName) -> Resources {
        let mut largest = Resources::ZERO;
        for index in self.pools.get(owner).into_iter().flat_map(|pool| &pool.members) {
            let info = &self.workers[*index];
            if info.serving {
                largest = largest.max(&info.capacity);
            }
        }
        largest
    }

    fn update_totals(&mut self, index: usize, running: &Running, added: bool) {
        let footprint = running.footprint();
        let adjust = |sum: &Resources| {
            if added { sum.plus(&footprint) } else { sum.minus(&footprint) }
        };
        let info = &mut self.workers[index];
        info.allocated = adjust(&info.allocated);
        if running.is_evictable() {
            info.evictable = adjust(&info.evictable);
        }
        if running.class != Class::Gang {
            info.counted_tasks =
                if added { info.counted_tasks + 1 } else { info.counted_tasks.saturating_sub(1) };
        }
        if let Some(pool) = self.pools.get_mut(&running.owner) {
            pool.allocated = adjust(&pool.allocated);
            if !added {
                pool.free_generation += 1;
            }
        }
    }

    fn pool_of(&mut self, index: usize) -> Option<&mut OwnerPool> {
        let owner = self.workers[index].owner.as_ref()?;
        self.pools.get_mut(owner)
    }

    fn leave_pool(&mut self, index: usize) {
        let position = self.workers[index].position;
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
            self.workers[member].position = position;
        }
    }

    fn mark_stale(&mut self, index: usize) {
        if let Some(pool) = self.pool_of(index) {
            pool.stale = true;
        }
    }

    /// Rebuilds an owner's trees after workers were added, removed or resized. Workers
    /// without accelerators come first, so that tasks that need none do not fill the others.
    pub fn rebuild_if_stale(&mut self, owner: &OwnerName) {
        let Some(pool) = self.pools.get_mut(owner) else {
            return;
        };
        if !pool.stale {
            return;
        }
        pool.stale = false;
        pool.members.sort_by_key(|index| {
            let info = &self.workers[*index];
            (info.capacity.accelerators, info.worker.clone())
        });
        let mut capacity = Resources::ZERO;
        for (position, index) in pool.members.iter().enumerate() {
            self.workers[*index].position = position;
            capacity = capacity.plus(&self.workers[*index].capacity);
        }
        let workers = &self.workers;
        let tree = |capacity_of: fn(&WorkerInfo) -> Resources| {
            let capacities: Vec<Resources> =
                pool.members.iter().map(|index| capacity_of(&workers[*index])).collect();
            FitTree::new(&capacities)
        };
        pool.free = tree(WorkerInfo::free);
        pool.free_or_reserved = tree(WorkerInfo::free_or_reserved);
        pool.free_after_eviction = tree(WorkerInfo::free_after_eviction);
        pool.capacity = capacity;
        pool.free_generation += 1;
    }

    fn refresh(&mut self, index: usize) {
        let info = &self.workers[index];
        let (free, free_or_reserved, free_after_eviction) =
            (info.free(), info.free_or_reserved(), info.free_after_eviction());
        let position = info.position;
        let Some(pool) = self.pool_of(index) else {
            return;
        };
        if pool.stale {
            return;
        }
        let before = pool.free.get(position);
        if !before.holds(&free) {
            pool.free_generation += 1;
        }
        pool.free.set(position, free);
        pool.free_or_reserved.set(position, free_or_reserved);
        pool.free_after_eviction.set(position, free_after_eviction);
    }
}

impl WorkerInfo {
    /// Capacity available to new work.
    pub fn free(&self) -> Resources {
        self.free_or_reserved().minus(&self.reserved)
    }

    /// Capacity available to new work, including what is reserved for a waiting job.
    pub fn free_or_reserved(&self) -> Resources {
        if !self.can_start_task() {
            return Resources::ZERO;
        }
        self.capacity.minus(&self.foreign).minus(&self.allocated)
    }

    /// Whether a task may start now: the worker is schedulable and below its task limit.
    pub fn can_start_task(&self) -> bool {
        let under_limit = self.tasks_max.is_none_or(|limit| self.counted_tasks < limit);
        self.is_schedulable() && under_limit
    }

    /// Whether its target is serving and it is not quarantined.
    pub fn is_schedulable(&self) -> bool {
        self.serving && !self.quarantined
    }

    /// Whether it gets no new work because tasks kept failing on it.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    fn free_after_eviction(&self) -> Resources {
        if !self.is_schedulable() {
            return Resources::ZERO;
        }
        self.capacity.plus(&self.evictable).minus(&self.foreign).minus(&self.allocated)
    }

    fn leftover_cost(&self, free: &Resources, demand: &Resources) -> f64 {
        let leftover = free.minus(demand);
        let fraction = |part: u64, whole: u64| {
            if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
        };
        let cost = fraction(leftover.cpu_millis, self.capacity.cpu_millis)
            + fraction(leftover.memory_bytes, self.capacity.memory_bytes);
        let idles_accelerators = demand.accelerators == 0 && leftover.accelerators > 0;
        if idles_accelerators { cost + IDLE_ACCELERATOR_COST } else { cost }
    }
}
