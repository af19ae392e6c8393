//! The queries that are not answered yet, and the advisor's time that answered ones took.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_advice::Purpose;
use stoatwell_advice::budget::Load;
use stoatwell_advice::budget::busy_ms;
use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::event::Effect;
use crate::id::StepId;
use crate::jobs::job::Phase;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::WorkerView;
use crate::placement::waiting::PlacementBlock;
use crate::workers::worker::WorkerIndex;

/// A step is near to the front of the queue if the work ahead of it needs at most this share of its
/// service's capacity, in percent. About as much comes free while a
/// ticket is valid; what is behind would have to renew its tickets before it can use them.
const HORIZON_CAPACITY_PERCENT: u64 = 50;
/// Steps examined for that, the first ones of the queue.
const HORIZON_STEPS_MAX: usize = 1_000;

/// The unanswered queries of all steps.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    steps: BTreeMap<StepId, StepQueries>,
    /// Time of the daemons that the unanswered queries of each priority take.
    busy_ms: BTreeMap<u32, u64>,
    /// The capacity of each worker that is claimed for steps of each priority.
    claimed: BTreeMap<u32, HashMap<WorkerIndex, Resources>>,
    /// The first step of each service that is not near to the front of the queue, by whether it is
    /// late and by its place. If there is none, the service has no entry.
    horizons: HashMap<String, (bool, QueueKey)>,
    /// Number of queued steps that need tickets, at the last sweep.
    waiting_steps: usize,
    time: AdviceTime,
}

#[derive(Debug)]
struct StepQueries {
    priority: u32,
    count: u32,
    /// Whether the queries that are still queued were withdrawn.
    withdrawn: bool,
    /// Free capacity that the step is expected to use once it is answered.
    claims: Vec<(WorkerIndex, Resources)>,
}

/// The advisor's expected time for answered queries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceTime {
    /// All time by purpose.
    pub total_ms: BTreeMap<Purpose, u64>,
    /// The part of it for queries that granted a worker on which the step was started.
    pub used_ms: BTreeMap<Purpose, u64>,
    /// Number of queries by purpose.
    pub queries: BTreeMap<Purpose, u64>,
}

impl AdviceTime {
    /// The time that led to no start so far.
    pub fn unused_ms(&self) -> u64 {
        let sum = |times: &BTreeMap<Purpose, u64>| times.values().sum::<u64>();
        sum(&self.total_ms).saturating_sub(sum(&self.used_ms))
    }

    /// The share of the time that led to a start, between 0 and 1; 1 if no time was spent.
    pub fn used_share(&self) -> f64 {
        let total_ms: u64 = self.total_ms.values().sum();
        if total_ms == 0 { 1.0 } else { 1.0 - self.unused_ms() as f64 / total_ms as f64 }
    }
}

impl PendingQueries {
    /// Records that a query was sent.
    pub fn add(&mut self, step: StepId, priority: u32, cost_ms: u64) {
        let queries = self.steps.entry(step).or_insert(StepQueries {
            priority,
            count: 0,
            withdrawn: false,
            claims: Vec::new(),
        });
        queries.count += 1;
        *self.busy_ms.entry(priority).or_default() += busy_ms(cost_ms);
    }

    /// Records that a query was answered or failed.
    pub fn remove(&mut self, step: StepId, cost_ms: u64) {
        let Some(queries) = self.steps.get_mut(&step) else { return };
        queries.count = queries.count.saturating_sub(1);
        if let Some(pending_ms) = self.busy_ms.get_mut(&queries.priority) {
            *pending_ms = pending_ms.saturating_sub(busy_ms(cost_ms));
        }
        if queries.count > 0 {
            return;
        }
        let Some(queries) = self.steps.remove(&step) else { return };
        let claimed = self.claimed.entry(queries.priority).or_default();
        for (worker_index, claim) in queries.claims {
            let Some(sum) = claimed.get_mut(&worker_index) else { continue };
            *sum = sum.minus(&claim);
            if sum.is_zero() {
                claimed.remove(&worker_index);
            }
        }
    }

    /// Claims free capacity for a step until its queries are answered.
    pub fn claim(&mut self, step: StepId, claims: Vec<(WorkerIndex, Resources)>) {
        let Some(queries) = self.steps.get_mut(&step) else { return };
        let claimed = self.claimed.entry(queries.priority).or_default();
        for (worker_index, claim) in &claims {
            let sum = claimed.entry(*worker_index).or_insert(Resources::ZERO);
            *sum = sum.plus(claim);
        }
        queries.claims.extend(claims);
    }

    /// The free capacity of a worker that is not claimed for steps of at least this priority.
    pub fn unclaimed(&self, priority: u32, view: &WorkerView) -> Resources {
        let claims = self.claimed.range(..=priority);
        let claims = claims.filter_map(|(_, claimed)| claimed.get(&view.worker_index));
        claims.fold(view.free, |free, claim| free.minus(claim))
    }

    /// Records the advisor's time for an answered query.
    pub fn record_answer(&mut self, purpose: Purpose, cost_ms: u64) {
        *self.time.total_ms.entry(purpose).or_default() += cost_ms;
        *self.time.queries.entry(purpose).or_default() += 1;
    }

    /// Records that an answered query led to a start.
    pub fn record_use(&mut self, purpose: Purpose, cost_ms: u64) {
        *self.time.used_ms.entry(purpose).or_default() += cost_ms;
    }
}

impl Pool {
    /// The advisor's time for the queries that were answered under this leader.
    pub fn advice_time(&self) -> &AdviceTime {
        &self.pending_queries.time
    }

    /// What a new query of this priority would wait for.
    pub(crate) fn query_load(&self, priority: u32) -> Load {
        Load {
            daemons: self.advisor_daemons,
            queries: self.queries,
            ahead_ms: self.pending_queries.busy_ms.range(..=priority).map(|(_, ms)| ms).sum(),
        }
    }

    /// Whether more is waiting than the advisor can answer about at the same time.
    pub(crate) fn is_advisor_scarce(&self) -> bool {
        self.queries >= self.advisor_daemons
            || self.pending_queries.waiting_steps > self.advisor_daemons
    }

    /// Whether a step is so near to the front of the queue that an answer would be used before
    /// its tickets expire.
    pub(crate) fn is_within_query_horizon(&self, step: StepId, key: QueueKey) -> bool {
        if key.priority == 0 {
            return true;
        }
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let horizon = self.pending_queries.horizons.get(&job.spec.queue.service);
        horizon.is_none_or(|last| (self.slack_ms(key, step) < 0, key) < *last)
    }

    /// Finds for each service the first step that is not near to the front of the queue.
    pub(crate) fn update_query_horizons(&mut self) {
        self.pending_queries.horizons.clear();
        let needs_tickets = |step: &&StepId| {
            self.jobs.get(&step.job).is_some_and(|job| job.spec.queue.advice.is_some())
        };
        let waiting_steps =
            self.queue.values().take(HORIZON_STEPS_MAX).filter(needs_tickets).count();
        self.pending_queries.waiting_steps = waiting_steps;
        if waiting_steps == 0 {
            return;
        }
        let mut room: HashMap<&str, Resources> = HashMap::new();
        for worker in self.workers.values() {
            let sum = room.entry(&worker.info.service).or_insert(Resources::ZERO);
            *sum = sum.plus(&worker.info.capacity.share(HORIZON_CAPACITY_PERCENT, 100));
        }
        let mut steps: Vec<(bool, QueueKey, StepId)> = self
            .queue
            .iter()
            .take(HORIZON_STEPS_MAX)
            .map(|(key, step)| (self.slack_ms(*key, *step) < 0, *key, *step))
            .collect();
        steps.sort_unstable();
        let mut horizons = HashMap::new();
        for (is_late, key, step) in steps {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(step_index) = job.step_index(step) else { continue };
            let service = job.spec.queue.service.as_str();
            let Some(left) = room.get_mut(service) else { continue };
            let is_capped =
                job.step_states[step_index].wait_reason.placement == PlacementBlock::Capped;
            if is_capped || horizons.contains_key(service) {
                continue;
            }
            let tasks = job.step_states[step_index].waiting_tasks().count();
            let demand = job.step_spec(step_index).worker_demand().times(tasks as u64);
            if left.holds(&demand) {
                *left = left.minus(&demand);
            } else {
                horizons.insert(service.to_owned(), (is_late, key));
            }
        }
        self.pending_queries.horizons = horizons;
    }

    /// Withdraws the queued queries of steps that have started or ended since.
    pub(crate) fn withdraw_queries(&mut self) {
        let is_needed = |step: &StepId| {
            let job = self.jobs.get(&step.job).filter(|job| job.outcome.is_none())?;
            let tasks = &job.step_states[job.step_index(*step)?].tasks;
            let waits = |phase| matches!(phase, Phase::Waiting | Phase::Reserved);
            tasks.iter().any(|task| waits(task.phase)).then_some(())
        };
        let unneeded: Vec<StepId> = self
            .pending_queries
            .steps
            .iter()
            .filter(|(step, queries)| !queries.withdrawn && is_needed(step).is_none())
            .map(|(step, _)| *step)
            .collect();
        for step in unneeded {
            if let Some(queries) = self.pending_queries.steps.get_mut(&step) {
                queries.withdrawn = true;
            }
            self.effects.push(Effect::WithdrawAdvice { step });
        }
    }

    /// Claims free capacity on the queried workers for the waiting tasks of a step.
    pub(crate) fn claim_free_capacity(
        &mut self,
        step: StepId,
        need: &Resources,
        places_wanted: u64,
        selected: &[(u64, usize)],
        cycle: &Cycle,
    ) {
        let mut left = places_wanted;
        let mut claims = Vec::new();
        for (free, view_index) in selected {
            let places = left.min(*free);
            if places > 0 {
                let worker_index = cycle.workers[*view_index].worker_index;
                claims.push((worker_index, need.times(places)));
                left -= places;
            }
        }
        self.pending_queries.claim(step, claims);
    }
}
