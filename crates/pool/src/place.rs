//! Where waiting tasks go.
//!
//! Units are looked at by priority, then by the time after which their job is
//! late; those that are late already come last, since time spent on them first
//! would only make others late too. A gang goes whole or not at all. While one
//! waits, some of the workers that may run it are kept from work of lower
//! priority, or many small tasks would take each bit of room as it comes free
//! and the gang would wait for ever. Work below the first priority leaves room
//! for urgent work that is about to come, which is over sooner than any stop.

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;

use crate::Pool;
use crate::QueueKey;
use crate::choose::Allowed;
use crate::choose::Ask;
use crate::choose::Cycle;
use crate::choose::Room;
use crate::id::StepId;
use crate::id::TaskId;
use crate::job::Phase;
use crate::spec::AdviceSpec;
use crate::spec::StepSpec;

/// Units looked at in one cycle; those behind them wait for the next.
const UNITS_PER_CYCLE: usize = 1_000;
/// Share of the workers, in hundredths, that waiting gangs may keep for
/// themselves. The first of them keeps what it needs: a gang wider than the
/// share would never start.
const RESERVED_PERCENT: usize = 35;
/// A unit that found no place is looked at again after this; a look goes through all
/// workers that it may use, and hundreds of units may wait.
const RETRY_BACKOFF_MS: u64 = 40;
/// The same for urgent work, which is short of time.
const URGENT_RETRY_BACKOFF_MS: u64 = 15;
/// For a gang a millisecond is added for each so many workers.
const GANG_WORKERS_EACH_MS: usize = 10;
/// They grow by themselves for each so many units in the queue, so that a
/// backlog is not what keeps the scheduler from working it off.
const QUEUE_LONG: usize = 150;
/// What a task may take against what is expected of it, in hundredths, where it must be
/// over in time: estimates are off by half.
const OVER_PERCENT: u64 = 130;

/// What the look at one unit came to.
enum Attempt {
    /// All its tasks have a place, or wait for a ticket.
    Placed,
    /// Something is left.
    Waits,
    /// Its customer has as much as it may have.
    Capped,
}

impl Pool {
    /// Places what can be placed now.
    pub(crate) fn place(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut cycle = self.begin_cycle();
        let reserved_max = cycle.rooms.len() * RESERVED_PERCENT / 100;
        let may_reserve = |reserved: usize| {
            if reserved == 0 { usize::MAX } else { reserved_max.saturating_sub(reserved) }
        };
        let mut reserved = 0;
        let mut lacking: Vec<(usize, Resources)> = Vec::new();
        for (key, step) in self.ordered_units() {
            let Some(job) = self.jobs.get(&step.job) else {
                self.queue.remove(&key);
                continue;
            };
            let Some(unit) = job.unit_of(step) else { continue };
            if job.outcome.is_some() || job.units[unit].waiting_tasks().next().is_none() {
                self.unqueue(key, step);
                continue;
            }
            let spec = job.step(unit);
            let (gang, room) = (spec.gang, spec.room());
            let Some(service) = cycle.service(&job.spec.queue.service) else { continue };
            let in_backoff = job.units[unit].retry_at_ms > self.now_ms;
            if gang && in_backoff {
                reserved += self.renew_reservation(
                    step,
                    unit,
                    key.priority,
                    &mut cycle,
                    may_reserve(reserved),
                );
            }
            // What no worker of the service had room for in this cycle, none has now.
            let infeasible = lacking.iter().any(|(at, need)| *at == service && room.holds(need));
            if in_backoff || (infeasible && !gang) {
                if self.awaits_cap(step, unit) {
                    self.reserve_cap(step, unit, &mut cycle);
                }
                continue;
            }
            let attempt = self.place_unit(step, unit, key, &mut cycle);
            self.note_cap(step, unit, gang && matches!(attempt, Attempt::Capped));
            match attempt {
                Attempt::Placed => self.unqueue(key, step),
                Attempt::Capped => {
                    self.back_off(step, unit, RETRY_BACKOFF_MS);
                    self.drop_reservation(step, unit);
                    self.reserve_cap(step, unit, &mut cycle);
                }
                Attempt::Waits if gang => {
                    self.back_off(step, unit, self.gang_backoff_ms());
                    reserved += self.reserve_for(
                        step,
                        unit,
                        key.priority,
                        &mut cycle,
                        may_reserve(reserved),
                    );
                }
                Attempt::Waits => {
                    let urgent = key.priority == 0;
                    let pause_ms = if urgent { URGENT_RETRY_BACKOFF_MS } else { RETRY_BACKOFF_MS };
                    self.back_off(step, unit, pause_ms);
                    let mut mine = cycle.rooms.iter().filter(|at| at.service == service);
                    if !mine.any(|at| at.free.holds(&room)) {
                        lacking.push((service, room));
                    }
                }
            }
        }
    }

    /// Leaves a unit alone for a moment after a look that brought nothing.
    fn back_off(&mut self, step: StepId, unit: usize, pause_ms: u64) {
        let longer_ms = pause_ms * (self.queue.len() / QUEUE_LONG) as u64;
        let next_ms = self.now_ms + pause_ms + longer_ms;
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.units[unit].retry_at_ms = next_ms;
        }
    }

    /// A gang is considered with all workers that may run it.
    fn gang_backoff_ms(&self) -> u64 {
        RETRY_BACKOFF_MS + (self.workers.len() / GANG_WORKERS_EACH_MS) as u64
    }

    /// The queue, with what is late for good behind the rest.
    fn ordered_units(&self) -> Vec<(QueueKey, StepId)> {
        let mut in_time = Vec::new();
        let mut late = Vec::new();
        for (key, step) in self.queue.iter().take(UNITS_PER_CYCLE) {
            if self.is_in_backoff(*step) {
                continue;
            }
            if self.spare_ms(*key, *step) < 0 {
                late.push((*key, *step));
            } else {
                in_time.push((*key, *step));
            }
        }
        in_time.append(&mut late);
        in_time
    }

    /// Whether a unit was considered just now. Waiting gangs stay in the cycle for the
    /// sake of the workers, or the part of a cap, that are reserved for them.
    fn is_in_backoff(&self, step: StepId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(unit) = job.unit_of(step) else { return false };
        let unit = &job.units[unit];
        unit.retry_at_ms > self.now_ms && unit.reserved.is_empty() && !unit.awaits_cap
    }

    /// How long a unit's tasks are expected to take.
    pub(crate) fn needs_ms(&self, step: StepId) -> u64 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let estimate_ms = job.spec.steps[step.step as usize].estimate_ms;
        self.estimates.expected_ms(&job.spec.queue.name, estimate_ms)
    }

    /// How long a unit could wait and its job still be in time; below 0 it is late
    /// even if the unit begins now.
    pub(crate) fn spare_ms(&self, key: QueueKey, step: StepId) -> i64 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let estimate_ms = job.spec.steps[step.step as usize].estimate_ms as f64;
        let needs_ms = self.needs_ms(step) as f64;
        // The due time stands on the estimate too; what was learned moves both.
        let moved_ms = job.spec.queue.slack_factor * (needs_ms - estimate_ms);
        (key.deadline_unix_ms as f64 + moved_ms - self.unix_ms as f64 - needs_ms) as i64
    }

    fn unqueue(&mut self, key: QueueKey, step: StepId) {
        self.queue.remove(&key);
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(unit) = job.unit_of(step) else { return };
        job.units[unit].queued = false;
    }

    fn place_unit(
        &mut self,
        step: StepId,
        unit: usize,
        key: QueueKey,
        cycle: &mut Cycle,
    ) -> Attempt {
        let priority = key.priority;
        let Some(job) = self.jobs.get(&step.job) else { return Attempt::Placed };
        let Some(service) = cycle.service(&job.spec.queue.service) else { return Attempt::Waits };
        let spec = job.step(unit).clone();
        let advice = job.spec.queue.advice;
        let customer = job.customer;
        let state = &job.units[unit];
        let mut waiting: Vec<u32> = state.waiting_tasks().collect();
        if spec.gang && waiting.len() < state.tasks.len() {
            return Attempt::Waits;
        }
        let cap_places = self.cap_places(customer, &cycle.customers, &spec.demand);
        let tasks_left = waiting.len();
        if cap_places < tasks_left as u64 {
            if spec.gang || cap_places == 0 {
                return Attempt::Capped;
            }
            waiting.truncate(cap_places as usize);
        }
        if spec.gang && advice.is_some() && state.advice.queries > 0 {
            return Attempt::Waits;
        }
        let mut allowed = self.allowed(step, unit, &spec, cycle);
        let with_old_tickets = allowed.len();
        if advice.is_some() && !spec.gang {
            allowed.retain(|one| one.fresh);
        }
        let candidates = self.candidates(step, unit, &spec, &allowed, cycle);
        let headroom = self.headroom(step, key);
        let over_ms = self.now_ms + self.needs_ms(step) * OVER_PERCENT / 100;
        let ask = Ask { step, service, spec: &spec, priority, over_ms, headroom };
        let chosen = if spec.same_rack && spec.tasks > 1 {
            self.choose_in_one_rack(&ask, unit, &waiting, candidates, cycle)
        } else {
            cycle.choose(&ask, &waiting, candidates)
        };
        let whole = chosen.len() == tasks_left;
        let may_start = whole || !spec.gang;
        let may_ask = self.may_renew(step, advice, &chosen, cycle);
        if !chosen.is_empty() && may_start && may_ask {
            for (index, at) in &chosen {
                let name = self.worker_names[cycle.rooms[*at].slot.0].clone();
                self.reserve(TaskId { step, index: *index }, &name);
            }
            if let Some(customer) = customer {
                let used = &mut cycle.customers[customer.0];
                *used = used.plus(&spec.demand.times(chosen.len() as u64));
            }
            self.start_or_ask(step, &chosen, cycle);
            if whole {
                return Attempt::Placed;
            }
        } else {
            for (_, at) in &chosen {
                cycle.give_back(*at, &spec.room());
            }
        }
        if let Some(advice) = advice.filter(|_| may_ask) {
            if with_old_tickets > allowed.len() && self.renew_tickets(step, unit, &spec, cycle) {
                return Attempt::Waits;
            }
            self.query_more_workers(step, unit, &spec, advice, priority, cycle);
        }
        Attempt::Waits
    }

    /// Whether tickets for the chosen workers are at hand or can be asked for now.
    fn may_renew(
        &self,
        step: StepId,
        advice: Option<AdviceSpec>,
        chosen: &[(u32, usize)],
        cycle: &Cycle,
    ) -> bool {
        let Some(rule) = advice else { return true };
        let fresh =
            |(_, at): &(u32, usize)| self.has_fresh_ticket(step, self.name_of(&cycle.rooms[*at]));
        (!chosen.is_empty() && chosen.iter().all(fresh)) || self.may_ask(rule, chosen.len())
    }

    /// The workers that may run a step, with room or without.
    pub(crate) fn allowed(
        &self,
        step: StepId,
        unit: usize,
        spec: &StepSpec,
        cycle: &Cycle,
    ) -> Vec<Allowed> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let Some(service) = cycle.service(&job.spec.queue.service) else { return Vec::new() };
        let mut allowed = Vec::new();
        if job.spec.queue.advice.is_none() {
            for (at, room) in cycle.rooms.iter().enumerate() {
                if self.is_eligible(service, spec, room) {
                    allowed.push(Allowed { at, fresh: true });
                }
            }
            return allowed;
        }
        let sent_ms = self.sent_ms(step.job, job.spec.queue.advice);
        for (slot, ticket) in &job.units[unit].advice.granted {
            let Some(at) = cycle.at(*slot) else { continue };
            let room = &cycle.rooms[at];
            if self.is_eligible(service, spec, room) {
                allowed.push(Allowed { at, fresh: ticket.is_fresh(room.incarnation, sent_ms) });
            }
        }
        allowed
    }

    /// Whether a worker is of the service and has the label.
    pub(crate) fn is_eligible(&self, service: usize, spec: &StepSpec, room: &Room) -> bool {
        let has_label = |label| {
            let worker = self.worker_at(room.slot);
            worker.is_some_and(|worker| worker.info.labels.contains(label))
        };
        room.service == service && spec.label.as_ref().is_none_or(has_label)
    }

    pub(crate) fn name_of(&self, room: &Room) -> &WorkerId {
        &self.worker_names[room.slot.0]
    }

    fn reserve(&mut self, id: TaskId, name: &WorkerId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        let taken = job.allocation(unit);
        let Some(task) = job.task_mut(id) else { return };
        task.phase = Phase::Reserved;
        task.worker = Some(name.clone());
        if let Some(worker) = self.workers.get_mut(name) {
            worker.take(id, taken);
        }
    }

    /// Records the starts of chosen tasks, or first asks for tickets.
    fn start_or_ask(&mut self, step: StepId, chosen: &[(u32, usize)], cycle: &Cycle) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let needs_tickets = job.spec.queue.advice.is_some();
        let mut names: Vec<WorkerId> = Vec::new();
        let mut stale = false;
        let mut ready = Vec::new();
        for (index, at) in chosen {
            let name = self.name_of(&cycle.rooms[*at]);
            if !names.contains(name) {
                names.push(name.clone());
            }
            stale |= needs_tickets && !self.has_fresh_ticket(step, name);
            ready.push(TaskId { step, index: *index });
        }
        if stale {
            // Asked for all of them: tickets that are good now may be old when
            // the answer comes, and one old ticket keeps a gang from starting.
            self.ask(step, &names);
            return;
        }
        self.record_starts(step, &ready);
    }

    /// Gives tasks their next run and records them. A gang's members share it.
    pub(crate) fn record_starts(&mut self, step: StepId, tasks: &[TaskId]) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(unit) = job.unit_of(step) else { return };
        let unit = &job.units[unit];
        let gang = job.spec.steps[step.step as usize].gang;
        let newest = unit.tasks.iter().map(|task| task.run).max().unwrap_or(0);
        let own: Vec<u32> = tasks.iter().map(|id| unit.tasks[id.index as usize].run).collect();
        let saved = unit.tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        for (id, run) in tasks.iter().zip(own) {
            let next = if gang { newest + 1 } else { run + 1 };
            if gang {
                // All members have to carry the same checkpoint; any of theirs is good.
                let task = self.jobs.get_mut(&step.job).and_then(|job| job.task_mut(*id));
                if let Some(task) = task {
                    task.checkpoint.clone_from(&saved);
                }
            }
            self.record_start(*id, next);
        }
    }
}
