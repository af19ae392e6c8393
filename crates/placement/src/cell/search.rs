//! Search for a worker that fits one task.

use stoatwell_model::AttemptId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;

use crate::cell::CapacityView;
use crate::cell::Cell;
use crate::cell::OwnerPool;
use crate::cell::Running;
use crate::cell::WorkerInfo;

/// Maximum number of workers compared when packing or evicting.
const CANDIDATES_MAX: usize = 6;
/// Maximum number of workers compared when spreading over racks.
const SPREAD_CANDIDATES_MAX: usize = 16;

impl Cell {
    /// Finds the worker with the least capacity left over, among the first few that fit.
    pub fn find_packed(
        &mut self,
        owner: &OwnerName,
        demand: &Resources,
        view: CapacityView,
    ) -> Option<usize> {
        self.rebuild_if_stale(owner);
        let pool = self.pools.get(owner)?;
        let tree = match view {
            CapacityView::Free => &pool.free,
            CapacityView::FreeOrReserved if pool.reserved.is_zero() => return None,
            CapacityView::FreeOrReserved => &pool.free_or_reserved,
        };
        let mut best = None;
        let mut start = 0;
        for _ in 0..CANDIDATES_MAX {
            let Some(position) = tree.first_fit_from(start, demand) else {
                break;
            };
            start = position + 1;
            let index = pool.members[position];
            let cost = self.workers[index].leftover_cost(&tree.get(position), demand);
            if best.is_none_or(|(best_cost, _)| cost < best_cost) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Finds the worker whose rack runs the fewest tasks of the same job; between
    /// equal racks, the worker that runs the fewest.
    pub fn find_spread(
        &mut self,
        owner: &OwnerName,
        demand: &Resources,
        attempt: AttemptId,
    ) -> Option<usize> {
        self.rebuild_if_stale(owner);
        let pool = self.pools.get(owner)?;
        let start = hash_attempt(attempt) as usize % pool.members.len().max(1);
        let mut best: Option<(usize, usize, usize)> = None;
        for position in pool.free.search_cyclic(start, demand, SPREAD_CANDIDATES_MAX) {
            let index = pool.members[position];
            let (on_worker, on_rack) = self.count_siblings(pool, index, attempt);
            if best.is_none_or(|(best_rack, best_worker, _)| {
                (on_rack, on_worker) < (best_rack, best_worker)
            }) {
                best = Some((on_rack, on_worker, index));
            }
            if on_rack == 0 {
                break;
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Finds the worker on which evictions lose the least work, and the tasks to evict.
    pub fn find_with_eviction(
        &mut self,
        owner: &OwnerName,
        demand: &Resources,
        now_ms: UnixMs,
        seed: AttemptId,
    ) -> Option<(usize, Vec<AttemptId>)> {
        self.rebuild_if_stale(owner);
        let pool = self.pools.get(owner)?;
        let mut best: Option<(f64, usize, Vec<AttemptId>)> = None;
        let start = hash_attempt(seed) as usize % pool.members.len().max(1);
        for position in pool.free_after_eviction.search_cyclic(start, demand, CANDIDATES_MAX) {
            let index = pool.members[position];
            let Some((cost, victims)) = self.victims(index, demand, now_ms) else {
                continue;
            };
            if best.as_ref().is_none_or(|(best_cost, _, _)| cost < *best_cost) {
                best = Some((cost, index, victims));
            }
        }
        best.map(|(_, index, victims)| (index, victims))
    }

    /// Tasks to evict from one worker so that `demand` fits, least urgent and least lost
    /// work first, and the work lost; `None` if evicting all of them is not enough.
    pub fn victims(
        &self,
        index: usize,
        demand: &Resources,
        now_ms: UnixMs,
    ) -> Option<(f64, Vec<AttemptId>)> {
        let info = &self.workers[index];
        let usable = info.capacity.minus(&info.foreign);
        // More may be allocated than the worker has while a stop is still on its way.
        // If that were treated as just zero free, the same capacity would be given away twice.
        let mut in_use = info.allocated.plus(demand);
        let mut candidates = Vec::new();
        for attempt in &info.tasks {
            let Some(running) = self.running.get(attempt) else {
                continue;
            };
            if running.is_evictable() {
                let ran_ms = now_ms.saturating_sub(running.started_ms);
                let lost = ran_ms as f64 * running.footprint().dominant_share(&info.capacity);
                candidates.push((running.urgency, lost, *attempt));
            }
        }
        candidates.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut victims = Vec::new();
        let mut total_lost = 0.0;
        for (_, lost, attempt) in candidates {
            if usable.holds(&in_use) {
                break;
            }
            let footprint = self.running.get(&attempt).map(Running::footprint).unwrap_or_default();
            in_use = in_use.minus(&footprint);
            total_lost += lost;
            victims.push(attempt);
        }
        usable.holds(&in_use).then_some((total_lost, victims))
    }

    /// Number of tasks of the attempt's job on the worker, and on its whole rack.
    fn count_siblings(&self, pool: &OwnerPool, index: usize, attempt: AttemptId) -> (usize, usize) {
        let same_job =
            |info: &WorkerInfo| info.tasks.iter().filter(|other| other.job == attempt.job).count();
        let rack = &self.workers[index].rack;
        let mut on_rack = 0;
        for member in &pool.members {
            let info = &self.workers[*member];
            if info.rack == *rack {
                on_rack += same_job(info);
            }
        }
        (same_job(&self.workers[index]), on_rack)
    }
}

/// Deterministic hash that spreads attempts evenly over workers.
fn hash_attempt(attempt: AttemptId) -> u64 {
    let folded =
        (attempt.job.0 >> 64) as u64 ^ attempt.job.0 as u64 ^ (u64::from(attempt.task) << 32);
    let spread = (folded ^ u64::from(attempt.attempt)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    spread ^ (spread >> 29)
}
