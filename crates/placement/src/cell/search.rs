//! Searching a worker for one task.

use stoatwell_model::AttemptId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;

use crate::cell::Cell;
use crate::cell::Pool;
use crate::cell::Running;
use crate::cell::View;
use crate::cell::WorkerInfo;

/// Workers compared before the best of them is taken.
const CANDIDATES: usize = 6;
/// Workers compared when work is spread.
const SPREAD_CANDIDATES: usize = 16;

impl Cell {
    /// The worker that keeps the least rest, of the first few that have room.
    pub fn find_packed(
        &mut self,
        owner: &OwnerName,
        need: &Resources,
        view: View,
    ) -> Option<usize> {
        self.settle(owner);
        let pool = self.pools.get(owner)?;
        let tree = match view {
            View::Free => &pool.free,
            View::IncludingClaimed if pool.claimed.is_zero() => return None,
            View::IncludingClaimed => &pool.beneath,
        };
        let mut best = None;
        let mut from = 0;
        for _ in 0..CANDIDATES {
            let Some(position) = tree.first_from(from, need) else {
                break;
            };
            from = position + 1;
            let index = pool.members[position];
            let cost = self.slots[index].rest_after(&tree.get(position), need);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// The worker whose rack and self run the fewest of the same job's tasks.
    pub fn find_spread(
        &mut self,
        owner: &OwnerName,
        need: &Resources,
        attempt: AttemptId,
    ) -> Option<usize> {
        self.settle(owner);
        let pool = self.pools.get(owner)?;
        let start = mix(attempt) as usize % pool.members.len().max(1);
        let mut best: Option<(usize, usize, usize)> = None;
        for position in pool.free.around(start, need, SPREAD_CANDIDATES) {
            let index = pool.members[position];
            let (on_worker, on_rack) = self.siblings(pool, index, attempt);
            if best.is_none_or(|(rack, worker, _)| (on_rack, on_worker) < (rack, worker)) {
                best = Some((on_rack, on_worker, index));
            }
            if on_rack == 0 {
                break;
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// The worker on which the least work is lost when tasks give way, and those tasks.
    pub fn find_reclaim(
        &mut self,
        owner: &OwnerName,
        need: &Resources,
        now_ms: UnixMs,
        seed: AttemptId,
    ) -> Option<(usize, Vec<AttemptId>)> {
        self.settle(owner);
        let pool = self.pools.get(owner)?;
        let mut best: Option<(f64, usize, Vec<AttemptId>)> = None;
        let start = mix(seed) as usize % pool.members.len().max(1);
        for position in pool.reclaim.around(start, need, CANDIDATES) {
            let index = pool.members[position];
            let Some((lost, victims)) = self.victims(index, need, now_ms) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| lost < *least) {
                best = Some((lost, index, victims));
            }
        }
        best.map(|(_, index, victims)| (index, victims))
    }

    /// The tasks on one worker that lose the least when they make this much room.
    pub fn victims(
        &self,
        index: usize,
        need: &Resources,
        now_ms: UnixMs,
    ) -> Option<(f64, Vec<AttemptId>)> {
        let slot = &self.slots[index];
        let all = slot.capacity.minus(&slot.foreign);
        // More may be in use than the worker holds, while a stop is on its way;
        // counted as nothing free, the same room would be given away twice.
        let mut in_use = slot.reserved.plus(need);
        let mut candidates = Vec::new();
        for attempt in &slot.tasks {
            let Some(running) = self.running.get(attempt) else {
                continue;
            };
            if running.is_evictable() {
                let ran_ms = now_ms.saturating_sub(running.started_ms);
                let lost = ran_ms as f64 * running.held().dominant_share(&slot.capacity);
                candidates.push((running.urgency, lost, *attempt));
            }
        }
        candidates.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut victims = Vec::new();
        let mut total = 0.0;
        for (_, lost, attempt) in candidates {
            if all.holds(&in_use) {
                break;
            }
            let held = self.running.get(&attempt).map(Running::held).unwrap_or_default();
            in_use = in_use.minus(&held);
            total += lost;
            victims.push(attempt);
        }
        all.holds(&in_use).then_some((total, victims))
    }

    fn siblings(&self, pool: &Pool, index: usize, attempt: AttemptId) -> (usize, usize) {
        let same_job =
            |slot: &WorkerInfo| slot.tasks.iter().filter(|other| other.job == attempt.job).count();
        let rack = &self.slots[index].rack;
        let mut on_rack = 0;
        for member in &pool.members {
            let slot = &self.slots[*member];
            if slot.rack == *rack {
                on_rack += same_job(slot);
            }
        }
        (same_job(&self.slots[index]), on_rack)
    }
}

/// Scatters attempts evenly over workers, the same way every time.
fn mix(attempt: AttemptId) -> u64 {
    let folded =
        (attempt.job.0 >> 64) as u64 ^ attempt.job.0 as u64 ^ (u64::from(attempt.task) << 32);
    let spread = (folded ^ u64::from(attempt.attempt)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    spread ^ (spread >> 29)
}
