//! Placement of waiting tasks on workers.
//!
//! Steps are considered by priority, then by the time after which their job is
//! late. Steps that are late even if they start now come last, since serving them
//! first would only make others late too. A gang is placed whole or not at all.
//! While a gang waits, some of the workers that may run it are reserved, or small
//! tasks would take each bit of capacity as it comes free and the gang would never
//! start. Work below the highest priority leaves capacity free for urgent work that
//! is about to arrive. Preemption would not help: urgent work ends sooner than any
//! task could be stopped to make room for it.

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::job::Phase;
use crate::jobs::job::Ticket;
use crate::jobs::spec::AdviceSpec;
use crate::jobs::spec::StepSpec;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::EligibleWorker;
use crate::placement::candidates::PlacementRequest;
use crate::placement::candidates::WorkerView;
use crate::placement::rooms::WorkerSet;
use crate::placement::waiting::PlacementBlock;
use crate::placement::waiting::QueryBlock;
use crate::placement::waiting::WaitReason;
use crate::placement::work::CycleWork;
use crate::placement::work::Purpose;
use crate::workers::worker::WorkerIndex;

/// Steps considered in one scheduling cycle; the rest of the queue waits for a later one.
const STEPS_PER_CYCLE: usize = 1_000;
/// Steps that a cycle visits after the urgent ones even if its time is up.
const OTHER_STEPS_MIN: usize = 4;
/// Interval at which the end of the front of the queue is determined.
const FRONT_INTERVAL_MS: u64 = 250;
/// Percentage of the workers that may be reserved for waiting gangs. The first gang
/// reserves all that it needs: a gang that needs more than this share would never start.
const RESERVED_PERCENT: usize = 35;
/// Backoff of a step that could not be placed. Each attempt goes through all workers that
/// the step may use, and hundreds of steps may wait.
const RETRY_BACKOFF_MS: u64 = 40;
/// The same for urgent work, which has little time.
const URGENT_RETRY_BACKOFF_MS: u64 = 15;
/// Number of workers that add a millisecond to the backoff of a gang.
const GANG_BACKOFF_WORKERS_PER_MS: usize = 10;
/// Number of queued steps that lengthen each backoff by its own base value, so that
/// a backlog does not keep the scheduler too busy to work it off.
const BACKOFF_QUEUE_STEPS: usize = 150;
/// Factor, in percent, for the expected duration of a task that may use reserved capacity
/// only if it ends before the gang can start. Estimates are off by half.
const ASSUMED_DURATION_PERCENT: u64 = 130;

/// The result of an attempt to place a step.
enum Attempt {
    /// All its tasks are on a worker; some may wait for a ticket.
    Placed,
    /// Some of its tasks still wait.
    Waits(WaitReason),
    /// Its customer's cap leaves no capacity for it.
    Capped,
}

/// What a cycle has reserved, and found to be impossible, so far.
#[derive(Debug)]
struct CycleProgress {
    /// Workers that are reserved for waiting gangs.
    reserved: usize,
    reserved_max: usize,
    /// Services and demands for which no worker had room.
    infeasible_demands: Vec<(usize, Resources)>,
}

impl CycleProgress {
    /// How many more workers may be reserved. The first gang reserves all that it needs.
    fn may_reserve(&self) -> usize {
        if self.reserved == 0 {
            usize::MAX
        } else {
            self.reserved_max.saturating_sub(self.reserved)
        }
    }
}

/// The steps that are due, in the order in which a cycle visits them.
#[derive(Debug)]
struct DueOrder {
    /// Urgent steps that are not late yet.
    urgent: Vec<(OrderKey, StepId)>,
    /// All others; those that are late come last.
    others: Vec<(OrderKey, StepId)>,
    /// How many of the others come first because they have new tickets.
    answered: usize,
}

/// The place of a step among those that a cycle visits after the urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrderKey {
    is_late: bool,
    pub key: QueueKey,
}

impl Pool {
    /// Runs one scheduling cycle: places queued tasks until all steps that are due were visited or
    /// the time is up.
    ///
    /// Urgent steps come first. A cycle whose time is up goes on with the others where the one
    /// before stopped, so that none is left out for ever. It begins with steps that have new
    /// tickets, which would expire before their turn.
    pub(crate) fn place(&mut self, mut is_time_up: impl FnMut() -> bool) {
        if self.queue.is_empty() {
            return;
        }
        let mut cycle = self.begin_cycle();
        self.cycle_work.cycles += 1;
        self.update_front();
        self.due_steps.wake_due(&cycle, self.now_ms);
        let mut progress = CycleProgress {
            reserved: 0,
            reserved_max: cycle.workers.len() * RESERVED_PERCENT / 100,
            infeasible_demands: Vec::new(),
        };
        let DueOrder { urgent, others, answered } = self.due_order();
        self.reserve_caps(&urgent, &others, &mut cycle);
        let mut visited: Vec<(QueueKey, StepId)> = Vec::with_capacity(urgent.len() + others.len());
        let all_urgent = urgent.len();
        for (order, step) in urgent {
            if is_time_up() {
                break;
            }
            visited.push((order.key, step));
            self.visit(order, step, &mut cycle, &mut progress);
        }
        let mut is_limited = visited.len() < all_urgent;
        let resumed_at = self.resume_at.take();
        for (position, (order, step)) in others.into_iter().enumerate() {
            if position >= OTHER_STEPS_MIN && (is_limited || is_time_up()) {
                is_limited = true;
                self.resume_at = if position < answered { resumed_at } else { Some(order) };
                break;
            }
            visited.push((order.key, step));
            self.visit(order, step, &mut cycle, &mut progress);
        }
        self.cycle_work.steps_visited += visited.len() as u64;
        if is_limited {
            self.cycle_work.limited += 1;
            self.cycle_due = true;
        } else {
            self.answered.clear();
        }
        for (key, step) in visited {
            self.answered.remove(&step);
            if self.is_in_backoff(step) {
                self.park(key, step);
            }
        }
        self.customers.record_reservations(&cycle.cap_reservations);
        self.cycle = cycle;
    }

    /// Tries to place the tasks of a step that is due, unless that is known to be vain.
    fn visit(
        &mut self,
        order: OrderKey,
        step: StepId,
        cycle: &mut Cycle,
        progress: &mut CycleProgress,
    ) {
        let key = order.key;
        let Some(job) = self.jobs.get(&step.job) else {
            self.queue.remove(&key);
            self.due_steps.remove(key, step);
            return;
        };
        let Some(step_index) = job.step_index(step) else { return };
        if job.outcome.is_some() || job.step_states[step_index].waiting_tasks().next().is_none() {
            self.dequeue(key, step);
            return;
        }
        let spec = job.step_spec(step_index);
        let (gang, demand) = (spec.gang, spec.worker_demand());
        let Some(service) = cycle.service_index(&job.spec.queue.service) else {
            let placement = PlacementBlock::NoOpenWorker;
            self.set_wait_reason(step, WaitReason { placement, ..WaitReason::default() });
            return;
        };
        let in_backoff = job.step_states[step_index].retry_at_ms > self.now_ms;
        if gang && in_backoff {
            progress.reserved += self.renew_reservation(
                step,
                step_index,
                key.priority,
                cycle,
                progress.may_reserve(),
            );
        }
        // If no worker of the service could fit a demand earlier in this cycle, none
        // can fit it or a larger one now. The advisor is queried meanwhile, so that the step
        // may start once a worker has room.
        let advice = &job.step_states[step_index].advice;
        let needs_first_query =
            job.spec.queue.advice.is_some() && advice.queries == 0 && advice.queried.is_empty();
        let infeasible = !needs_first_query
            && progress
                .infeasible_demands
                .iter()
                .any(|(other, least)| *other == service && demand.holds(least));
        if in_backoff || (infeasible && !gang) {
            if !in_backoff {
                let placement = PlacementBlock::DemandInfeasible;
                self.set_wait_reason(step, WaitReason { placement, ..WaitReason::default() });
                self.due_steps.park_for_room(key, step, (service, &demand), self.now_ms);
            }
            return;
        }
        let futile = self.futile_attempt(step, step_index, order, service, cycle);
        let attempt = if let Some(reason) = futile {
            Attempt::Waits(reason)
        } else {
            self.cycle_work.attempts += 1;
            self.place_step(step, step_index, order, cycle)
        };
        match attempt {
            Attempt::Placed => self.dequeue(key, step),
            Attempt::Capped => {
                let placement = PlacementBlock::Capped;
                self.set_wait_reason(step, WaitReason { placement, ..WaitReason::default() });
                self.back_off(step, step_index, RETRY_BACKOFF_MS);
                self.drop_reservation(step, step_index);
                self.record_capped(step);
                if gang {
                    self.update_can_start_later(step, step_index, key, cycle);
                }
                self.reserve_cap(step, step_index, order, cycle);
            }
            Attempt::Waits(reason) if gang => {
                self.set_wait_reason(step, reason);
                self.back_off(step, step_index, self.gang_backoff_ms());
                self.update_can_start_later(step, step_index, key, cycle);
                let workers_max = progress.may_reserve();
                progress.reserved +=
                    self.reserve_workers(step, step_index, key, cycle, workers_max);
            }
            Attempt::Waits(reason) => {
                self.set_wait_reason(step, reason);
                let urgent = key.priority == 0;
                let base_ms = if urgent { URGENT_RETRY_BACKOFF_MS } else { RETRY_BACKOFF_MS };
                self.back_off(step, step_index, base_ms);
                if self.room_for(cycle, service, &demand).is_empty() {
                    // Only the least of them are kept, since all demands may differ.
                    progress
                        .infeasible_demands
                        .retain(|(other, least)| *other != service || !least.holds(&demand));
                    progress.infeasible_demands.push((service, demand));
                }
            }
        }
    }

    /// Parks a queued step until its next attempt.
    fn park(&mut self, key: QueueKey, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let step_state = &job.step_states[step_index];
        if step_state.queued {
            self.due_steps.park(key, step, step_state.retry_at_ms);
        }
    }

    /// Determines how far cycles go into the queue.
    fn update_front(&mut self) {
        if self.now_ms < self.next_front_ms {
            return;
        }
        self.next_front_ms = self.now_ms + FRONT_INTERVAL_MS;
        self.front_end = None;
        if self.queue.len() > STEPS_PER_CYCLE {
            self.cycle_work.steps_visited += STEPS_PER_CYCLE as u64;
            self.front_end = self.queue.keys().nth(STEPS_PER_CYCLE).copied();
        }
    }

    /// The work of all scheduling cycles so far.
    pub fn cycle_work(&self) -> CycleWork {
        CycleWork { pairs: self.pair_count.get(), ..self.cycle_work }
    }

    /// The number of pairs of a step and a worker that the next scheduling cycle may compare.
    pub fn step_worker_pairs(&self) -> usize {
        self.queue.len().min(STEPS_PER_CYCLE) * self.workers.len()
    }

    /// Delays the next attempt to place a step.
    fn back_off(&mut self, step: StepId, step_index: usize, base_ms: u64) {
        let backlog_ms = base_ms * (self.queue.len() / BACKOFF_QUEUE_STEPS) as u64;
        let next_ms = self.now_ms + base_ms + backlog_ms;
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.step_states[step_index].retry_at_ms = next_ms;
        }
    }

    /// The base backoff of a gang, which grows with the workers: an attempt considers all
    /// that may run the gang.
    fn gang_backoff_ms(&self) -> u64 {
        RETRY_BACKOFF_MS + (self.workers.len() / GANG_BACKOFF_WORKERS_PER_MS) as u64
    }

    /// The front of the queue without steps in backoff; steps that will be late in any
    /// case are moved to the end.
    fn due_order(&self) -> DueOrder {
        let mut urgent = Vec::new();
        let mut others = Vec::new();
        let mut late = Vec::new();
        let is_in_front =
            |(key, _): &(QueueKey, StepId)| self.front_end.is_none_or(|end| *key < end);
        for (key, step) in self.due_steps.iter().take_while(is_in_front).take(STEPS_PER_CYCLE) {
            if self.slack_ms(key, step) < 0 {
                late.push((OrderKey { is_late: true, key }, step));
            } else if key.priority == 0 {
                urgent.push((OrderKey { is_late: false, key }, step));
            } else {
                others.push((OrderKey { is_late: false, key }, step));
            }
        }
        others.append(&mut late);
        let mut answered = 0;
        if let Some(resume_at) = self.resume_at {
            let passed = others.partition_point(|(order, _)| *order < resume_at);
            others.rotate_left(passed);
            let has_new_tickets = |(_, step): &(OrderKey, StepId)| self.answered.contains(step);
            let (first, rest): (Vec<_>, Vec<_>) = others.into_iter().partition(has_new_tickets);
            answered = first.len();
            others = first;
            others.extend(rest);
        }
        DueOrder { urgent, others, answered }
    }

    /// Whether a cycle can skip a step because of its backoff. Waiting gangs are not
    /// skipped while workers, or a part of a cap, are reserved for them.
    fn is_in_backoff(&self, step: StepId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(step_index) = job.step_index(step) else { return false };
        let step_state = &job.step_states[step_index];
        step_state.retry_at_ms > self.now_ms
            && step_state.reserved.is_empty()
            && !step_state.claims_cap
    }

    /// How long a task of the step is expected to run.
    pub(crate) fn expected_task_ms(&self, step: StepId) -> u64 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let estimate_ms = job.spec.steps[step.step as usize].estimate_ms;
        self.estimates.expected_ms(&job.spec.queue.name, estimate_ms)
    }

    /// How long a task of the step is assumed to run if it uses capacity that is reserved for
    /// others until then.
    pub(crate) fn assumed_task_ms(&self, step: StepId) -> u64 {
        self.expected_task_ms(step) * ASSUMED_DURATION_PERCENT / 100
    }

    /// How long the step could still wait without making its job late; negative if the job
    /// will be late even if the step starts now.
    pub(crate) fn slack_ms(&self, key: QueueKey, step: StepId) -> i64 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let estimate_ms = job.spec.steps[step.step as usize].estimate_ms as f64;
        let expected_ms = self.expected_task_ms(step) as f64;
        // The deadline was derived from the submitted estimate. It moves by the slack factor
        // times the difference between the duration that is expected now and that estimate.
        let correction_ms = job.spec.queue.slack_factor * (expected_ms - estimate_ms);
        (key.deadline_unix_ms as f64 + correction_ms - self.unix_ms as f64 - expected_ms) as i64
    }

    fn dequeue(&mut self, key: QueueKey, step: StepId) {
        self.queue.remove(&key);
        self.due_steps.remove(key, step);
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        job.step_states[step_index].queued = false;
    }

    fn place_step(
        &mut self,
        step: StepId,
        step_index: usize,
        order: OrderKey,
        cycle: &mut Cycle,
    ) -> Attempt {
        let key = order.key;
        let priority = key.priority;
        let Some(job) = self.jobs.get(&step.job) else { return Attempt::Placed };
        let waits = |placement, query| Attempt::Waits(WaitReason { placement, query });
        let Some(service) = cycle.service_index(&job.spec.queue.service) else {
            return waits(PlacementBlock::NoOpenWorker, QueryBlock::NotNeeded);
        };
        let spec = job.step_spec(step_index).clone();
        let advice = job.spec.queue.advice;
        let customer = job.customer;
        let step_state = &job.step_states[step_index];
        let mut waiting: Vec<u32> = step_state.waiting_tasks().collect();
        let has_pending_queries = step_state.advice.queries > 0;
        let has_overdue_queries =
            has_pending_queries && self.now_ms >= step_state.advice.answers_due_ms;
        let needs_first_query = !has_pending_queries && step_state.advice.queried.is_empty();
        if spec.gang && waiting.len() < step_state.tasks.len() {
            return waits(PlacementBlock::GangIncomplete, QueryBlock::NotNeeded);
        }
        let fit_under_cap = self.tasks_under_cap(step, step_index, order, cycle);
        let waiting_count = waiting.len();
        if !spec.gang && job.lost_long_running_tasks(step_index).next().is_some() {
            // The others have to leave headroom, so they are placed by a later attempt.
            waiting = job.lost_long_running_tasks(step_index).collect();
        }
        if fit_under_cap < waiting_count as u64 {
            if spec.gang || fit_under_cap == 0 {
                // The answer is there by the time that the cap has capacity for the step.
                let asks = needs_first_query && cycle.has_cap_reservation(customer, step);
                if let Some(rule) = advice.filter(|_| asks) {
                    self.query_more_workers(step, step_index, &spec, rule, priority, cycle);
                }
                return Attempt::Capped;
            }
            waiting.truncate(fit_under_cap as usize);
        }
        if spec.gang && advice.is_some() && has_pending_queries && !has_overdue_queries {
            return waits(PlacementBlock::NoEligibleWorker, QueryBlock::Pending);
        }
        let room = self.room_for(cycle, service, &spec.worker_demand());
        let mut eligible =
            self.eligible_workers(step, step_index, &spec, cycle, Some(&room), Purpose::Placement);
        let has_eligible_with_room = !eligible.is_empty();
        let uses_fresh_tickets = advice.is_some() && (!spec.gang || has_overdue_queries);
        if uses_fresh_tickets {
            eligible.retain(|worker| worker.needs_no_new_ticket);
        }
        let candidates = self.candidates(step, step_index, &spec, &eligible, cycle);
        let headroom = self.headroom(step, key);
        let expected_end_ms = self.now_ms + self.assumed_task_ms(step);
        let request =
            PlacementRequest { step, service, spec: &spec, priority, expected_end_ms, headroom };
        let has_candidates = !candidates.is_empty();
        let may_use_any = candidates.iter().any(|candidate| cycle.may_start(&request, candidate));
        let chosen = if spec.same_rack && spec.tasks > 1 {
            self.choose_in_one_rack(&request, step_index, &waiting, candidates, cycle)
        } else {
            cycle.choose(&request, &waiting, candidates)
        };
        let all_placed = chosen.len() == waiting_count;
        let may_start = all_placed || !spec.gang;
        let query_limit = self.query_limit(step, step_index, advice, &chosen, cycle);
        let may_query = query_limit.is_none();
        if !chosen.is_empty() && may_start && may_query {
            for (task_index, view_index) in &chosen {
                let name = self.worker_names[cycle.workers[*view_index].worker_index.0].clone();
                self.allocate_task(TaskId { step, index: *task_index }, &name);
            }
            if let Some(customer) = customer {
                let used = &mut cycle.customers[customer.0];
                *used = used.plus(&spec.demand.times(chosen.len() as u64));
                cycle.release_cap_reservation(customer, step);
            }
            self.start_or_query(step, &chosen, cycle);
            if all_placed {
                return Attempt::Placed;
            }
        } else {
            for (_, view_index) in &chosen {
                cycle.deallocate(*view_index, &spec.worker_demand());
            }
        }
        let placement = if let Some(limit) = query_limit {
            limit
        } else if !chosen.is_empty() {
            PlacementBlock::NotEnough
        } else if may_use_any {
            PlacementBlock::Headroom
        } else if has_candidates {
            PlacementBlock::Reserved
        } else if !has_eligible_with_room
            && !self.has_eligible_worker(step, step_index, &spec, cycle)
        {
            PlacementBlock::NoEligibleWorker
        } else {
            PlacementBlock::NoCapacity
        };
        let Some(advice) = advice.filter(|_| may_query) else {
            return waits(placement, QueryBlock::NotNeeded);
        };
        // Without room on a granted worker no ticket is renewed.
        let has_stale_tickets = uses_fresh_tickets
            && has_eligible_with_room
            && self.has_stale_ticket(step, step_index, cycle);
        let renewal = if has_stale_tickets {
            self.renew_tickets(step, step_index, &spec, cycle)
        } else {
            None
        };
        let query = renewal.unwrap_or_else(|| {
            self.query_more_workers(step, step_index, &spec, advice, priority, cycle)
        });
        waits(placement, query)
    }

    /// What keeps the step from a query for new tickets; `None` if nothing does, or if the chosen
    /// workers have fresh ones.
    ///
    /// Tasks keep their workers until the answer, so a failed query is not repeated at once.
    fn query_limit(
        &self,
        step: StepId,
        step_index: usize,
        advice: Option<AdviceSpec>,
        chosen: &[(u32, usize)],
        cycle: &Cycle,
    ) -> Option<PlacementBlock> {
        let rule = advice?;
        let fresh = |(_, view_index): &(u32, usize)| {
            self.has_fresh_ticket(step, self.name_of(&cycle.workers[*view_index]))
        };
        if !chosen.is_empty() && chosen.iter().all(fresh) {
            return None;
        }
        if !self.may_query(rule, chosen.len()) {
            return Some(PlacementBlock::QueryLimit);
        }
        let job = self.jobs.get(&step.job)?;
        let is_paused = job.step_states[step_index].advice.pause_until_ms > self.now_ms;
        (is_paused && !chosen.is_empty()).then_some(PlacementBlock::QueryFailed)
    }

    /// Whether any worker may run a step, whether or not it has free capacity.
    fn has_eligible_worker(
        &self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
        cycle: &Cycle,
    ) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        if job.spec.queue.advice.is_some() && spec.label.is_none() {
            return job.step_states[step_index].advice.granted_set.intersects(&cycle.open);
        }
        let purpose = Purpose::Placement;
        !self.eligible_workers(step, step_index, spec, cycle, None, purpose).is_empty()
    }

    /// Whether a step has a ticket for an open worker that is too old for a start now.
    pub(crate) fn has_stale_ticket(&self, step: StepId, step_index: usize, cycle: &Cycle) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let arrival_ms = self.start_arrival_ms(step.job, job.spec.queue.advice);
        let is_stale = |(index, ticket): (&WorkerIndex, &Ticket)| {
            self.pair_count.add(Purpose::Placement, 1);
            let view = cycle.view_index_of(*index).map(|view_index| &cycle.workers[view_index]);
            view.is_some_and(|view| !ticket.is_fresh(view.incarnation, arrival_ms))
        };
        job.step_states[step_index].advice.granted.iter().any(is_stale)
    }

    /// The workers that may run a step, whether or not they have free capacity, or those of them
    /// that are in a set.
    pub(crate) fn eligible_workers(
        &self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
        cycle: &Cycle,
        among: Option<&WorkerSet>,
        purpose: Purpose,
    ) -> Vec<EligibleWorker> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let Some(service) = cycle.service_index(&job.spec.queue.service) else { return Vec::new() };
        let among = among.unwrap_or(&cycle.open);
        let mut eligible = Vec::new();
        if job.spec.queue.advice.is_none() {
            for worker_index in among.iter() {
                let Some(view_index) = cycle.view_index_of(worker_index) else { continue };
                if self.is_eligible(service, spec, &cycle.workers[view_index], purpose) {
                    eligible.push(EligibleWorker { view_index, needs_no_new_ticket: true });
                }
            }
            // By name, so that equal candidates are tried in the same order whatever restarted.
            eligible.sort_unstable_by_key(|worker| worker.view_index);
            return eligible;
        }
        let arrival_ms = self.start_arrival_ms(step.job, job.spec.queue.advice);
        let advice = &job.step_states[step_index].advice;
        for worker_index in advice.granted_set.intersection(among).iter() {
            let Some(ticket) = advice.granted.get(&worker_index) else { continue };
            let Some(view_index) = cycle.view_index_of(worker_index) else { continue };
            let view = &cycle.workers[view_index];
            if self.is_eligible(service, spec, view, purpose) {
                eligible.push(EligibleWorker {
                    view_index,
                    needs_no_new_ticket: ticket.is_fresh(view.incarnation, arrival_ms),
                });
            }
        }
        eligible
    }

    /// Whether a worker belongs to the service and has the label that the step requires.
    pub(crate) fn is_eligible(
        &self,
        service: usize,
        spec: &StepSpec,
        view: &WorkerView,
        purpose: Purpose,
    ) -> bool {
        self.pair_count.add(purpose, 1);
        let has_label = |label| {
            let worker = self.worker_at(view.worker_index);
            worker.is_some_and(|worker| worker.info.labels.contains(label))
        };
        view.service == service && spec.label.as_ref().is_none_or(has_label)
    }

    pub(crate) fn name_of(&self, view: &WorkerView) -> &WorkerId {
        &self.worker_names[view.worker_index.0]
    }

    /// Allocates a worker's capacity for a task that may still need a ticket.
    fn allocate_task(&mut self, id: TaskId, name: &WorkerId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        let allocation = job.allocation(step_index);
        let Some(task) = job.task_mut(id) else { return };
        task.phase = Phase::Reserved;
        task.worker = Some(name.clone());
        if let Some(worker) = self.workers.get_mut(name) {
            worker.allocate(id, allocation);
        }
    }

    /// Records the starts of chosen tasks, or queries tickets first if one is not fresh.
    fn start_or_query(&mut self, step: StepId, chosen: &[(u32, usize)], cycle: &Cycle) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let needs_tickets = job.spec.queue.advice.is_some();
        let mut names: Vec<WorkerId> = Vec::new();
        let mut stale = false;
        let mut ready = Vec::new();
        for (task_index, view_index) in chosen {
            let name = self.name_of(&cycle.workers[*view_index]);
            if !names.contains(name) {
                names.push(name.clone());
            }
            stale |= needs_tickets && !self.has_fresh_ticket(step, name);
            ready.push(TaskId { step, index: *task_index });
        }
        if stale {
            // The query names all of them: tickets that are fresh now may be too old when
            // the answer arrives, and a single one keeps a gang from starting.
            self.query_advisor(step, &names);
            return;
        }
        self.record_starts(step, &ready);
    }

    /// Assigns each task its next run number and records its start. The members of a gang
    /// share one run number.
    pub(crate) fn record_starts(&mut self, step: StepId, tasks: &[TaskId]) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let step_state = &job.step_states[step_index];
        let gang = job.spec.steps[step.step as usize].gang;
        let newest_run = step_state.tasks.iter().map(|task| task.run).max().unwrap_or(0);
        let runs: Vec<u32> =
            tasks.iter().map(|id| step_state.tasks[id.index as usize].run).collect();
        let checkpoint =
            step_state.tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        for (id, run) in tasks.iter().zip(runs) {
            let next_run = if gang { newest_run + 1 } else { run + 1 };
            if gang {
                // All members must start from the same checkpoint; any member's will do.
                let task = self.jobs.get_mut(&step.job).and_then(|job| job.task_mut(*id));
                if let Some(task) = task {
                    task.checkpoint.clone_from(&checkpoint);
                }
            }
            self.record_start(*id, next_run);
        }
        if tasks.is_empty() {
            return;
        }
        self.release_claim(step, step_index);
        if gang {
            self.begin_gang_attempt(step, newest_run + 1);
        }
    }
}
