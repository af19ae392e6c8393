//! Which workers the advisor is asked about.

use std::cmp::Reverse;

use stoatwell_model::WorkerId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Pool;
use crate::advise::SUFFICIENT_PLACES_FACTOR;
use crate::choose::Cycle;
use crate::choose::WorkerView;
use crate::choose::places_in;
use crate::id::StepId;
use crate::spec::AdviceSpec;
use crate::spec::StepSpec;
use crate::worker::Slot;

/// Fewest workers with room for which a step that has enough asks once more.
const ASKED_AGAIN_MIN: usize = 4;
/// Which further workers to ask about is worked out again after this: it means
/// a look at every worker for each waiting step.
const ASK_AGAIN_MS: u64 = 150;
/// Free places that a gang hopes to be granted, against those it needs: which
/// workers are granted varies, and some of the room is taken before the answer.
const FREE_FACTOR: f64 = 4.0;

impl Pool {
    /// Asks anew for all workers that may run a step, if one of them has room.
    ///
    /// The advisor takes nearly as long for one worker as for all of them, and
    /// with good tickets at hand whatever room comes free next is used at once;
    /// asking only when room is found keeps the room empty meanwhile.
    pub(crate) fn renew_tickets(
        &mut self,
        step: StepId,
        unit: usize,
        spec: &StepSpec,
        cycle: &Cycle,
    ) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let advice = &job.units[unit].advice;
        if advice.questions > 0 || advice.pause_until_ms > self.now_ms {
            return true;
        }
        let need = spec.worker_demand();
        let mut names = Vec::new();
        let mut has_room = false;
        for one in self.eligible_workers(step, unit, spec, cycle) {
            let room = &cycle.workers[one.index];
            has_room |= room.free.holds(&need);
            names.push(self.name_of(room).clone());
        }
        names.truncate(self.limits.advice_workers_max);
        let Some(rule) = job.spec.queue.advice else { return false };
        if has_room && self.may_query(rule, names.len()) {
            self.query_advisor(step, &names);
        }
        has_room
    }

    /// Asks the advisor about open workers that it was not asked about yet,
    /// those with the most room first.
    ///
    /// A gang asks about as many as it takes to be granted room for all of it at
    /// once, as far as room is free now: the few workers that would do in an empty
    /// pool have none in a busy one. It asks again while others have such room. A
    /// step of single tasks asks again only for several workers with room: each
    /// question costs the time to decide, however little it asks.
    pub(crate) fn ask_more(
        &mut self,
        step: StepId,
        unit: usize,
        spec: &StepSpec,
        rule: AdviceSpec,
        priority: u32,
        cycle: &Cycle,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let advice = &mut job.units[unit].advice;
        if advice.questions > 0 || advice.pause_until_ms.max(advice.retry_at_ms) > now_ms {
            return;
        }
        advice.retry_at_ms = now_ms + ASK_AGAIN_MS;
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(service) = cycle.service_index(&job.spec.queue.service) else { return };
        let advice = &job.units[unit].advice;
        let need = spec.worker_demand();
        let places_of = |room: &WorkerView| places_in(&room.capacity, &need);
        let granted_at = |slot: &Slot| cycle.index_of(*slot).map(|at| &cycle.workers[at]);
        let places: u64 = advice.granted.keys().filter_map(granted_at).map(places_of).sum();
        let enough = places >= u64::from(spec.tasks) * SUFFICIENT_PLACES_FACTOR;
        let first = advice.asked.is_empty();
        let any_room = first || !enough;
        let free_at = |room: &WorkerView| {
            if room.admits(step, priority) { places_in(&room.free, &need) } else { 0 }
        };
        // Those with the most room first.
        let mut fresh: Vec<(Reverse<u64>, u64, usize)> = Vec::new();
        for (at, room) in cycle.workers.iter().enumerate() {
            if !room.capacity.holds(&need) || !self.is_eligible(service, spec, room) {
                continue;
            }
            let free = free_at(room);
            if (free == 0 && !any_room) || advice.asked.contains(&room.slot) {
                continue;
            }
            fresh.push((Reverse(free), spread(step, room.slot), at));
        }
        if fresh.is_empty() || (enough && fresh.len() < ASKED_AGAIN_MIN) {
            return;
        }
        let places: u64 = fresh.iter().map(|(.., at)| places_of(&cycle.workers[*at])).sum();
        let places_each = places / fresh.len() as u64;
        let mut most = self.query_workers_max(&job.spec.queue, u64::from(spec.tasks), places_each);
        let free_all: u64 = fresh.iter().map(|(free, ..)| free.0).sum();
        // No question names more; the others need no order.
        let named_max = self.limits.advice_workers_max * self.gang_queries_max();
        if fresh.len() > named_max {
            fresh.select_nth_unstable(named_max);
            fresh.truncate(named_max);
        }
        fresh.sort_unstable();
        if spec.gang {
            let known = advice.granted.keys().filter_map(granted_at);
            let free_now: u64 = known.map(free_at).sum();
            let missing = u64::from(spec.tasks).saturating_sub(free_now);
            let free: Vec<u64> = fresh.iter().map(|(free, ..)| free.0).collect();
            let share = self.learned.granted_share(&job.spec.queue.name);
            let wanted = missing as f64 * FREE_FACTOR;
            match workers_for(wanted, &free, share) {
                Some(workers) => most = most.max(workers).min(named_max),
                None if enough && (free_all as f64) * share < wanted => return,
                None => most = named_max,
            }
        }
        let asked = fresh.into_iter().take(most);
        let names: Vec<WorkerId> =
            asked.map(|(.., at)| self.name_of(&cycle.workers[at]).clone()).collect();
        if self.may_query(rule, names.len()) {
            self.query_advisor(step, &names);
        }
    }
}

/// How many of the workers, those with the most free places first, to ask about
/// for this many places to be granted; `None` if all of them are too few.
fn workers_for(wanted: f64, free: &[u64], granted_share: f64) -> Option<usize> {
    let mut expected = 0.0;
    for (number, places) in free.iter().enumerate() {
        if expected >= wanted {
            return Some(number);
        }
        expected += *places as f64 * granted_share;
    }
    (expected >= wanted).then_some(free.len())
}

/// Spreads equal choices over the workers, each step in its own order.
fn spread(step: StepId, slot: Slot) -> u64 {
    xxh3_64_with_seed(&slot.0.to_le_bytes(), step.job.0 ^ u64::from(step.step))
}
