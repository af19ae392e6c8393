//! Selects the workers that the advisor is queried about.

use std::cmp::Reverse;

use stoatwell_model::WorkerId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Pool;
use crate::advice::query::SUFFICIENT_PLACES_FACTOR;
use crate::id::StepId;
use crate::jobs::spec::AdviceSpec;
use crate::jobs::spec::StepSpec;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::WorkerView;
use crate::placement::candidates::places_in;
use crate::placement::waiting::QueryBlock;
use crate::placement::work::Purpose;
use crate::workers::worker::WorkerIndex;

/// A step that was granted enough workers queries about others only if at least this many
/// of them have free capacity.
pub(crate) const FURTHER_WORKERS_MIN: usize = 4;
/// A step that has waited for this long queries about any worker with free capacity, while
/// daemons are idle that could send the query.
pub(crate) const FURTHER_QUERY_WAIT_MS: u64 = 1_000;
/// The selection of further workers for a step is repeated after this. It may examine hundreds
/// of workers.
pub(crate) const SELECTION_INTERVAL_MS: u64 = 150;
/// Fewest workers with room that a selection examines, so that it has a choice of the emptiest ones.
const EXAMINED_WORKERS_MIN: usize = 512;
/// A selection ends once the free places that it found are this many times those that the step
/// would query about.
const EXAMINED_PLACES_FACTOR: u64 = 8;
/// A gang queries about so many workers that the free places that are expected to be granted
/// are this many times the places that it still needs. Which workers are granted varies, and
/// some of the free capacity is allocated before the answer arrives.
pub(crate) const FREE_FACTOR: f64 = 4.0;

impl Pool {
    /// Requests new tickets for all workers that were granted to a step, if one of them has
    /// free capacity. Returns what the step waits for; `None` if it may query about further
    /// workers.
    ///
    /// The advisor takes nearly as long for one worker as for all of them, and with valid
    /// tickets any capacity that becomes free is used at once. Requesting a ticket only once
    /// capacity is found leaves that capacity idle until the answer.
    pub(crate) fn renew_tickets(
        &mut self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
        cycle: &Cycle,
    ) -> Option<QueryBlock> {
        let job = self.jobs.get(&step.job)?;
        let advice = &job.step_states[step_index].advice;
        if advice.queries > 0 {
            return Some(QueryBlock::Pending);
        }
        if advice.pause_until_ms > self.now_ms {
            return Some(QueryBlock::Paused);
        }
        let need = spec.worker_demand();
        let mut names = Vec::new();
        let mut has_capacity = false;
        for eligible in
            self.eligible_workers(step, step_index, spec, cycle, None, Purpose::Selection)
        {
            let view = &cycle.workers[eligible.view_index];
            has_capacity |= view.free.holds(&need);
            names.push(self.name_of(view).clone());
        }
        names.truncate(self.limits.advice_workers_max);
        let rule = job.spec.queue.advice?;
        if !has_capacity {
            return None;
        }
        if !self.may_query(rule, names.len()) {
            return Some(QueryBlock::LimitReached);
        }
        self.query_advisor(step, &names);
        Some(QueryBlock::Pending)
    }

    /// Queries the advisor about open workers that it was not queried about yet, those with
    /// the most free places first.
    ///
    /// A gang needs free places for all of its tasks at once, so its queries name as many
    /// workers as are expected to grant these. Only places that are free now count: the few
    /// workers that would be enough in an empty pool have no free capacity in a busy one. A
    /// gang queries again while workers that it has not queried about have free capacity.
    ///
    /// A step of independent tasks queries again only if several such workers have free
    /// capacity, since each query costs the advisor's decision time, however few workers it
    /// names.
    ///
    /// Neither limit holds for a step that has waited for long while the advisor has time: its
    /// granted workers may be busy for longer than the query takes, or have left.
    ///
    /// Returns why no query was sent, or that one is pending.
    pub(crate) fn query_more_workers(
        &mut self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
        rule: AdviceSpec,
        priority: u32,
        cycle: &Cycle,
    ) -> QueryBlock {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&step.job) else { return QueryBlock::NotNeeded };
        let advice = &mut job.step_states[step_index].advice;
        if advice.queries > 0 {
            return QueryBlock::Pending;
        }
        if advice.pause_until_ms > now_ms {
            return QueryBlock::Paused;
        }
        if advice.retry_at_ms > now_ms {
            return QueryBlock::SelectedRecently;
        }
        advice.retry_at_ms = now_ms + SELECTION_INTERVAL_MS;
        let Some(job) = self.jobs.get(&step.job) else { return QueryBlock::NotNeeded };
        let Some(service) = cycle.service_index(&job.spec.queue.service) else {
            return QueryBlock::NotNeeded;
        };
        let advice = &job.step_states[step_index].advice;
        let need = spec.worker_demand();
        let places_of = |view: &WorkerView| places_in(&view.capacity, &need);
        let granted_view = |worker_index: &WorkerIndex| {
            cycle.view_index_of(*worker_index).map(|view_index| &cycle.workers[view_index])
        };
        let places: u64 = advice.granted.keys().filter_map(granted_view).map(places_of).sum();
        let waited_ms = now_ms.saturating_sub(job.step_states[step_index].queued_ms);
        let may_ask_about_any =
            waited_ms >= FURTHER_QUERY_WAIT_MS && self.queries < self.advisor_daemons;
        let has_enough = places >= u64::from(spec.tasks) * SUFFICIENT_PLACES_FACTOR;
        let is_first_query = advice.queried.is_empty();
        let include_full = is_first_query || !has_enough;
        let free_places = |view: &WorkerView| {
            if view.reservation_permits(step, priority) { places_in(&view.free, &need) } else { 0 }
        };
        let granted_share = self.estimates.granted_share(&job.spec.queue.name);
        let places_wanted =
            u64::from(spec.tasks) * SUFFICIENT_PLACES_FACTOR * EXAMINED_PLACES_FACTOR;
        let free_places_enough = (places_wanted as f64 / granted_share) as u64;
        let mut free_places_found = 0;
        // Ordered by free places, the most first.
        let mut candidates: Vec<(Reverse<u64>, u64, usize)> = Vec::new();
        // Steps arrive with the size of the pool. If each one examined all workers, the cost would
        // grow with its square.
        let room = self.room_for(cycle, service, &need).without(&advice.queried);
        let first = tie_break(step, WorkerIndex(0)) as usize % cycle.view_indices.len().max(1);
        for (examined, worker_index) in room.iter_from(WorkerIndex(first)).enumerate() {
            if examined >= EXAMINED_WORKERS_MIN && free_places_found >= free_places_enough {
                break;
            }
            let Some(view_index) = cycle.view_index_of(worker_index) else { continue };
            let view = &cycle.workers[view_index];
            if !self.is_eligible(service, spec, view, Purpose::Selection) {
                continue;
            }
            let free = free_places(view);
            if free == 0 && !include_full {
                continue;
            }
            free_places_found += free;
            candidates.push((Reverse(free), tie_break(step, worker_index), view_index));
        }
        // Queries name no more than this, so the rest needs no order.
        let named_max = self.limits.advice_workers_max * self.gang_queries_max();
        let enough = if spec.gang { named_max } else { self.limits.advice_workers_max };
        if include_full && candidates.len() < enough {
            let full = self.capable_of(cycle, service, &need).without(&advice.queried);
            for worker_index in full.without(&room).iter_from(WorkerIndex(first)) {
                let Some(view_index) = cycle.view_index_of(worker_index) else { continue };
                if !self.is_eligible(service, spec, &cycle.workers[view_index], Purpose::Selection)
                {
                    continue;
                }
                candidates.push((Reverse(0), tie_break(step, worker_index), view_index));
                if candidates.len() >= enough {
                    break;
                }
            }
        }
        if candidates.is_empty() {
            return QueryBlock::AllQueried;
        }
        if has_enough && candidates.len() < FURTHER_WORKERS_MIN && !may_ask_about_any {
            return QueryBlock::FewLeft;
        }
        let places: u64 =
            candidates.iter().map(|(.., view_index)| places_of(&cycle.workers[*view_index])).sum();
        let mean_places = places / candidates.len() as u64;
        let mut workers_max =
            self.query_workers_max(&job.spec.queue, u64::from(spec.tasks), mean_places);
        let free_total: u64 = candidates.iter().map(|(free, ..)| free.0).sum();
        if candidates.len() > named_max {
            candidates.select_nth_unstable(named_max);
            candidates.truncate(named_max);
        }
        candidates.sort_unstable();
        if spec.gang {
            let granted = advice.granted.keys().filter_map(granted_view);
            let free_granted: u64 = granted.map(free_places).sum();
            let missing = u64::from(spec.tasks).saturating_sub(free_granted);
            let free: Vec<u64> = candidates.iter().map(|(free, ..)| free.0).collect();
            let wanted = missing as f64 * FREE_FACTOR;
            match workers_for(wanted, &free, granted_share) {
                Some(workers) => workers_max = workers_max.max(workers).min(named_max),
                None if has_enough
                    && !may_ask_about_any
                    && (free_total as f64) * granted_share < wanted =>
                {
                    return QueryBlock::NotWorthwhile;
                }
                None => workers_max = named_max,
            }
        }
        let selected = candidates.into_iter().take(workers_max);
        let names: Vec<WorkerId> = selected
            .map(|(.., view_index)| self.name_of(&cycle.workers[view_index]).clone())
            .collect();
        if !self.may_query(rule, names.len()) {
            return QueryBlock::LimitReached;
        }
        self.query_advisor(step, &names);
        QueryBlock::Pending
    }
}

/// How many workers to query about so that `wanted` places are expected to be granted.
/// `free` has the free places of each worker, the most first. `None` if all of them are too
/// few.
fn workers_for(wanted: f64, free: &[u64], granted_share: f64) -> Option<usize> {
    let mut expected = 0.0;
    for (workers, places) in free.iter().enumerate() {
        if expected >= wanted {
            return Some(workers);
        }
        expected += *places as f64 * granted_share;
    }
    (expected >= wanted).then_some(free.len())
}

/// Orders workers with equally many free places, for each step differently, so that steps
/// spread over the workers.
fn tie_break(step: StepId, worker_index: WorkerIndex) -> u64 {
    xxh3_64_with_seed(&worker_index.0.to_le_bytes(), step.job.0 ^ u64::from(step.step))
}
