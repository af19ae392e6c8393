//! Attempts that can neither place a task nor query the advisor.
//!
//! Most queued steps wait for capacity on the workers that were granted to them. An attempt goes
//! through all of these workers, and through all others for a query about further ones. Sets of
//! workers tell beforehand that it would find nothing. The check may miss such an attempt, which
//! is then made, but never rejects one that would place a task or send a query.

use stoatwell_model::Resources;

use crate::Pool;
use crate::advice::query::SUFFICIENT_PLACES_FACTOR;
use crate::advice::selection::FREE_FACTOR;
use crate::advice::selection::FURTHER_QUERY_WAIT_MS;
use crate::advice::selection::FURTHER_WORKERS_MIN;
use crate::advice::selection::SELECTION_INTERVAL_MS;
use crate::id::StepId;
use crate::jobs::job::Advice;
use crate::jobs::job::Job;
use crate::jobs::spec::AdviceSpec;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::places_in;
use crate::placement::place::OrderKey;
use crate::placement::rooms::WorkerSet;
use crate::placement::waiting::PlacementBlock;
use crate::placement::waiting::QueryBlock;
use crate::placement::waiting::WaitReason;
use crate::placement::work::Purpose;

/// The places that the open workers of a step have when they are empty.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantedCapacity {
    /// The granted workers that were open when the places were summed up.
    open: WorkerSet,
    /// The sum of their places.
    places: u64,
    /// See [`Cycle::capacity_version`].
    version: u64,
}

impl GrantedCapacity {
    /// Brings the sum up to date; returns how many workers were looked at.
    fn update(&mut self, advice: &Advice, demand: &Resources, cycle: &Cycle) -> usize {
        if self.version != cycle.capacity_version {
            *self = Self { version: cycle.capacity_version, ..Self::default() };
        }
        let open = advice.granted_set.intersection(&cycle.open);
        let places_of = |index| places_in(&cycle.last_capacity(index), demand);
        let mut changed = 0;
        for index in open.symmetric_difference(&self.open) {
            changed += 1;
            if open.contains(index) {
                self.places += places_of(index);
            } else {
                self.places -= places_of(index);
            }
        }
        self.open = open;
        changed
    }

    /// Whether the granted workers are so few that a query may name workers without room.
    fn include_full(&self, advice: &Advice, tasks: u32) -> bool {
        advice.queried.is_empty() || self.places < u64::from(tasks) * SUFFICIENT_PLACES_FACTOR
    }
}

impl Pool {
    /// Why an attempt to place a step would neither place a task nor query the advisor; `None` if
    /// it might, or if the attempt itself finds out at little cost.
    pub(crate) fn futile_attempt(
        &mut self,
        step: StepId,
        step_index: usize,
        order: OrderKey,
        service: usize,
        cycle: &Cycle,
    ) -> Option<WaitReason> {
        let key = order.key;
        let now_ms = self.now_ms;
        let job = self.jobs.get(&step.job)?;
        let step_state = &job.step_states[step_index];
        let spec = job.step_spec(step_index);
        let (gang, demand) = (spec.gang, spec.worker_demand());
        let previous = step_state.wait_reason.placement;
        if spec.label.is_some() && previous == PlacementBlock::NotTried {
            return None;
        }
        let waiting = step_state.waiting_tasks().count();
        let advice = job.spec.queue.advice;
        if gang && (waiting < step_state.tasks.len() || step_state.advice.queries > 0) {
            return None;
        }
        let room = self.room_for(cycle, service, &demand);
        if advice.is_some() && self.may_select(&step_state.advice) {
            self.update_granted_capacity(step, step_index, cycle);
        }
        let job = self.jobs.get(&step.job)?;
        let fit_under_cap = self.tasks_under_cap(step, step_index, order, cycle);
        if fit_under_cap == 0 || (gang && fit_under_cap < waiting as u64) {
            return None;
        }
        let granted = advice.map(|_| &job.step_states[step_index].advice.granted_set);
        let has_room = granted.map_or(!room.is_empty(), |granted| room.intersects(granted));
        let headroom = self.headroom(step, key);
        let needed = demand.times(if gang { waiting as u64 } else { 1 }).plus(&headroom);
        let placement = if !has_room {
            let none_granted = granted.is_some_and(WorkerSet::is_empty);
            let is_unchanged = previous == PlacementBlock::NoEligibleWorker;
            if none_granted || is_unchanged {
                PlacementBlock::NoEligibleWorker
            } else {
                PlacementBlock::NoCapacity
            }
        } else if !headroom.is_zero() && !cycle.services[service].free.holds(&needed) {
            if !gang && advice.is_some() && self.may_send_renewal(step, step_index, cycle) {
                return None;
            }
            PlacementBlock::Headroom
        } else if gang && self.free_places(&room, granted, &demand, cycle, waiting) < waiting as u64
        {
            PlacementBlock::NotEnough
        } else {
            return None;
        };
        let Some(rule) = advice else {
            return Some(WaitReason { placement, query: QueryBlock::NotNeeded });
        };
        // An attempt then ends before it selects workers, so the next selection is not delayed.
        if !self.may_query(rule, 0) {
            let placement = PlacementBlock::QueryLimit;
            return Some(WaitReason { placement, query: QueryBlock::NotNeeded });
        }
        let (query, is_selection) =
            self.futile_query(job, step_index, rule, service, &room, cycle)?;
        if is_selection {
            // The selection is not repeated sooner than after one that was made.
            let job = self.jobs.get_mut(&step.job)?;
            job.step_states[step_index].advice.retry_at_ms = now_ms + SELECTION_INTERVAL_MS;
        }
        Some(WaitReason { placement, query })
    }

    /// Whether neither a query nor a delay keeps a step from selecting further workers.
    fn may_select(&self, advice: &Advice) -> bool {
        advice.queries == 0
            && advice.pause_until_ms <= self.now_ms
            && advice.retry_at_ms <= self.now_ms
    }

    /// Brings the places of the granted workers of a step up to date.
    fn update_granted_capacity(&mut self, step: StepId, step_index: usize, cycle: &Cycle) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let demand = job.step_spec(step_index).worker_demand();
        let step_state = &mut job.step_states[step_index];
        let changed = step_state.granted_capacity.update(&step_state.advice, &demand, cycle);
        self.pair_count.add(Purpose::GrantedCapacity, changed);
    }

    /// Whether no worker has room for a task of a step that may run there, as of the last cycle.
    /// `false` if that is not known at little cost.
    pub(crate) fn is_without_room(&self, job: &Job, step_index: usize) -> bool {
        let service = self.cycle.service_index(&job.spec.queue.service);
        let demand = job.step_spec(step_index).worker_demand();
        let Some(service) = service else { return false };
        let (room, _) = self.cycle.room_for(service, &demand);
        let needs_ticket = job.spec.queue.advice.is_some();
        let granted = &job.step_states[step_index].advice.granted_set;
        room.is_empty() || (needs_ticket && !room.intersects(granted))
    }

    /// Whether a step with room on granted workers might request new tickets for them.
    fn may_send_renewal(&self, step: StepId, step_index: usize, cycle: &Cycle) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let advice = &job.step_states[step_index].advice;
        advice.queries == 0
            && advice.pause_until_ms <= self.now_ms
            && self.has_stale_ticket(step, step_index, cycle)
    }

    /// The free places of granted workers with room, as far as `enough`.
    fn free_places(
        &self,
        room: &WorkerSet,
        granted: Option<&WorkerSet>,
        demand: &Resources,
        cycle: &Cycle,
        enough: usize,
    ) -> u64 {
        let mut places = 0;
        for index in room.iter() {
            if places >= enough as u64 {
                break;
            }
            if granted.is_some_and(|granted| !granted.contains(index)) {
                continue;
            }
            self.pair_count.add(Purpose::Placement, 1);
            let Some(view_index) = cycle.view_index_of(index) else { continue };
            places += places_in(&cycle.workers[view_index].free, demand);
        }
        places
    }

    /// Why no query about further workers would be sent, and whether a selection would find that
    /// out; `None` if one might be sent. See [`Pool::query_more_workers`].
    fn futile_query(
        &self,
        job: &Job,
        step_index: usize,
        rule: AdviceSpec,
        service: usize,
        room: &WorkerSet,
        cycle: &Cycle,
    ) -> Option<(QueryBlock, bool)> {
        let step_state = &job.step_states[step_index];
        let spec = job.step_spec(step_index);
        let advice = &step_state.advice;
        if advice.queries > 0 {
            return Some((QueryBlock::Pending, false));
        }
        if advice.pause_until_ms > self.now_ms {
            return Some((QueryBlock::Paused, false));
        }
        if advice.retry_at_ms > self.now_ms {
            return Some((QueryBlock::SelectedRecently, false));
        }
        if cycle.open.count_without(&advice.queried) == 0 {
            return Some((QueryBlock::AllQueried, true));
        }
        if !self.may_query(rule, 1) {
            return Some((QueryBlock::LimitReached, true));
        }
        if step_state.granted_capacity.include_full(advice, spec.tasks) {
            let demand = spec.worker_demand();
            let capable = self.capable_of(cycle, service, &demand).count_without(&advice.queried);
            // A query names at least so many: workers that have more places are named in fewer
            // queries.
            let places_max = places_in(&cycle.services[service].largest, &demand);
            let queue = &job.spec.queue;
            let named = self.query_workers_max(queue, u64::from(spec.tasks), places_max);
            let is_limited =
                spec.label.is_none() && capable > 0 && !self.may_query(rule, named.min(capable));
            return is_limited.then_some((QueryBlock::LimitReached, true));
        }
        let with_room = room.count_without(&advice.queried);
        if with_room == 0 {
            return Some((QueryBlock::AllQueried, true));
        }
        let waited_ms = self.now_ms.saturating_sub(step_state.queued_ms);
        if waited_ms >= FURTHER_QUERY_WAIT_MS && self.queries < self.advisor_daemons {
            return None;
        }
        if with_room < FURTHER_WORKERS_MIN {
            return Some((QueryBlock::FewLeft, true));
        }
        if !spec.gang {
            return None;
        }
        let demand = spec.worker_demand();
        let mut free_granted = 0;
        let mut free_unqueried = 0;
        for index in room.iter() {
            self.pair_count.add(Purpose::Placement, 1);
            let Some(view_index) = cycle.view_index_of(index) else { continue };
            let places = places_in(&cycle.workers[view_index].free, &demand);
            if advice.granted_set.contains(index) {
                free_granted += places;
            } else if !advice.queried.contains(index) {
                free_unqueried += places;
            }
        }
        let missing = u64::from(spec.tasks).saturating_sub(free_granted);
        let granted_share = self.estimates.granted_share(&job.spec.queue.name);
        let is_worthwhile = free_unqueried as f64 * granted_share >= missing as f64 * FREE_FACTOR;
        (!is_worthwhile).then_some((QueryBlock::NotWorthwhile, true))
    }
}
