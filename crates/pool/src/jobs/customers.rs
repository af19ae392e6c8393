//! Caps and weights of customers, and their current usage.
//!
//! A customer's cap limits what its tasks use on all workers together. An allocation counts
//! from the moment a worker is chosen until the run is known to be gone: starts without a
//! clear answer, runs started by an earlier scheduler and runs that are being stopped all
//! count. So a cap may be underused after a failure, but it is never exceeded.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::Customer;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::Pool;
use crate::id::StepId;
use crate::jobs::job::Task;
use crate::placement::candidates::Cycle;
use crate::placement::place::OrderKey;
use crate::placement::reserve::RESERVATION_OVERDUE_MAX_MS;
use crate::placement::reserve::RESERVATION_REFRESH_MS;

/// Size of a customer's token bucket for arriving jobs, in seconds of its weight.
const BURST_S: f64 = 2.0;
/// How long a reservation may keep more than half of a cap unused before it is suspended.
const IDLE_RESERVATION_MAX_MS: u64 = 2_000;
/// How often that time doubles at most for one step.
const DOUBLINGS_MAX: u32 = 4;
/// How long the reservations of a customer are suspended. Its other work takes the cap meanwhile.
const SUSPENSION_MS: u64 = 3_000;

/// The scheduling limits of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerLimits {
    /// The customer's name.
    pub name: CustomerName,
    /// The rate of jobs that is the customer's share of a full pool, in jobs per second. If
    /// the customer submits jobs at a higher rate, the excess jobs are served after the jobs
    /// of the same priority that are within the weight of their customer.
    pub weight: f64,
    /// What the customer's tasks may use on all workers together; 0 means no limit for that
    /// resource.
    pub cap: Resources,
}

impl CustomerLimits {
    /// Copies the limits from a customer's entry in the manifest.
    pub fn of(customer: &Customer) -> Self {
        Self { name: customer.name.clone(), weight: customer.weight, cap: customer.cap }
    }
}

/// The index of a customer in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CustomerId(pub usize);

/// All customers named in jobs or in the manifest.
#[derive(Debug, Default)]
pub(crate) struct Customers {
    accounts: Vec<Account>,
    ids: HashMap<CustomerName, CustomerId>,
}

/// The limits of one customer and its token bucket for arriving jobs.
#[derive(Debug)]
pub(crate) struct Account {
    pub limits: CustomerLimits,
    /// The tokens in the bucket. Each job takes one; a job that finds none exceeds the weight.
    tokens: f64,
    /// When tokens were last added.
    refilled_unix_ms: u64,
    /// Since when a reservation has kept much of the cap unused; `None` if none does.
    cap_idle_since_ms: Option<u64>,
    /// Until when nothing is reserved of the cap.
    suspended_until_ms: u64,
    forecast: Option<CapForecast>,
    pressure: CapPressure,
}

/// How far a customer's cap has delayed its steps since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct CapPressure {
    /// Attempts to place a step for which the cap left no capacity.
    capped_attempts: u64,
    /// The most that was reserved for a waiting step.
    reserved_max: Resources,
}

impl Account {
    fn new(limits: CustomerLimits) -> Self {
        let tokens = limits.weight * BURST_S;
        Self {
            limits,
            tokens,
            refilled_unix_ms: 0,
            cap_idle_since_ms: None,
            suspended_until_ms: 0,
            forecast: None,
            pressure: CapPressure::default(),
        }
    }
}

/// What is reserved of one customer's cap for a waiting step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapReservation {
    /// The place of the step in the order of the cycle.
    order: OrderKey,
    step: StepId,
    reserved: Resources,
    /// When the cap is expected to have capacity for the step.
    until_ms: u64,
}

/// When the cap is expected to have capacity for the step that waits for it.
#[derive(Clone, Copy, Debug)]
struct CapForecast {
    step: StepId,
    until_ms: u64,
    /// When that was estimated.
    made_ms: u64,
}

impl Customers {
    /// Updates the limits from the manifest. A customer that is no longer named there keeps
    /// its last limits, since its accepted jobs still run.
    pub fn update(&mut self, limits: Vec<CustomerLimits>) {
        for limits in limits {
            let id = self.id_of(&limits);
            self.accounts[id.0].limits = limits;
        }
    }

    /// The index of a customer. An unknown customer is added with the given limits.
    pub fn id_of(&mut self, limits: &CustomerLimits) -> CustomerId {
        if let Some(id) = self.ids.get(&limits.name) {
            return *id;
        }
        let id = CustomerId(self.accounts.len());
        self.accounts.push(Account::new(limits.clone()));
        self.ids.insert(limits.name.clone(), id);
        id
    }

    /// Takes a token for a job that was accepted at `accepted_unix_ms`. Returns whether there
    /// was one, that is, whether the job is within the customer's weight. With a weight of 0
    /// no job is.
    pub fn take_arrival_token(&mut self, id: CustomerId, accepted_unix_ms: u64) -> bool {
        let account = &mut self.accounts[id.0];
        let weight = account.limits.weight;
        let elapsed_ms = accepted_unix_ms.saturating_sub(account.refilled_unix_ms);
        let refill = weight * elapsed_ms as f64 / 1_000.0;
        account.tokens = (account.tokens + refill).min(weight * BURST_S);
        account.refilled_unix_ms = account.refilled_unix_ms.max(accepted_unix_ms);
        if account.tokens < 1.0 {
            return false;
        }
        account.tokens -= 1.0;
        true
    }

    /// Returns the token of a job that was given up before it was accepted.
    pub fn return_arrival_token(&mut self, id: CustomerId) {
        let account = &mut self.accounts[id.0];
        account.tokens = (account.tokens + 1.0).min(account.limits.weight * BURST_S);
    }

    /// Counts an attempt to place a step for which the customer's cap left no capacity.
    pub fn record_capped(&mut self, id: CustomerId) {
        self.accounts[id.0].pressure.capped_attempts += 1;
    }

    /// Takes note of what a cycle has reserved of the customers' caps.
    pub fn record_reservations(&mut self, reservations: &[Option<CapReservation>]) {
        for (account, reservation) in self.accounts.iter_mut().zip(reservations) {
            let Some(reservation) = reservation else { continue };
            let pressure = &mut account.pressure;
            pressure.reserved_max = pressure.reserved_max.max(&reservation.reserved);
        }
    }

    pub fn get(&self, id: CustomerId) -> &Account {
        &self.accounts[id.0]
    }

    /// The limits of all customers, in the order of their indices.
    pub fn limits(&self) -> impl Iterator<Item = &CustomerLimits> {
        self.accounts.iter().map(|account| &account.limits)
    }

    /// The number of customers.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }
}

impl Cycle {
    /// Whether a part of the customer's cap is reserved for a step.
    pub fn has_cap_reservation(&self, customer: Option<CustomerId>, step: StepId) -> bool {
        let reservation = customer.and_then(|customer| self.cap_reservations[customer.0].as_ref());
        reservation.is_some_and(|reservation| reservation.step == step)
    }

    /// Drops the reservation of a step whose tasks now count as used.
    pub fn release_cap_reservation(&mut self, customer: CustomerId, step: StepId) {
        self.cap_reservations[customer.0].take_if(|reservation| reservation.step == step);
    }
}

impl Pool {
    /// How many more tasks of a step may start under its customer's cap, beside what is reserved
    /// for a step that has its turn before. Without a customer there is no limit.
    pub(crate) fn tasks_under_cap(
        &self,
        step: StepId,
        step_index: usize,
        order: OrderKey,
        cycle: &Cycle,
    ) -> u64 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let Some(customer) = job.customer else { return u64::MAX };
        let demand = job.step_spec(step_index).demand;
        let mut used = cycle.customers.get(customer.0).copied().unwrap_or_default();
        if let Some(Some(reservation)) = cycle.cap_reservations.get(customer.0)
            && reservation.step != step
            && reservation.order < order
            && self.now_ms + self.assumed_task_ms(step) > reservation.until_ms
        {
            used = used.plus(&reservation.reserved);
        }
        remaining(&self.customers.get(customer).limits.cap, &used).fit_count(&demand)
    }

    /// Ends the claim of a step on its customer's cap once starts of it are recorded.
    pub(crate) fn release_claim(&mut self, step: StepId, step_index: usize) {
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.step_states[step_index].claims_cap = false;
            job.step_states[step_index].cap_suspensions = 0;
        }
    }

    /// Reserves a part of each customer's cap for the first of its steps that have waited for it.
    ///
    /// A step that no longer waits for the cap keeps its reservation while it waits for tickets or
    /// for room. Otherwise other work would take the cap, and the step would wait for it again.
    pub(crate) fn reserve_caps(
        &mut self,
        urgent: &[(OrderKey, StepId)],
        others: &[(OrderKey, StepId)],
        cycle: &mut Cycle,
    ) {
        for (order, step) in urgent.iter().chain(others) {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(step_index) = job.step_index(*step) else { continue };
            if job.step_states[step_index].claims_cap && job.outcome.is_none() {
                self.reserve_cap(*step, step_index, *order, cycle);
            }
        }
        self.suspend_idle_reservations(cycle);
        self.forecast_caps(cycle);
    }

    /// Estimates when each cap has capacity for the step that waits for it. Until then other work
    /// may use the reserved part if it ends in time.
    ///
    /// The estimate is kept: tasks that run longer than expected would otherwise let further ones
    /// in, and the step would never start.
    fn forecast_caps(&mut self, cycle: &mut Cycle) {
        let now_ms = self.now_ms;
        for index in 0..self.customers.len() {
            let Some(reservation) = cycle.cap_reservations[index] else {
                self.customers.accounts[index].forecast = None;
                continue;
            };
            let kept = self.customers.accounts[index].forecast.filter(|forecast| {
                forecast.step == reservation.step
                    && now_ms < forecast.until_ms + RESERVATION_OVERDUE_MAX_MS
            });
            let is_recent =
                |forecast: &CapForecast| now_ms < forecast.made_ms + RESERVATION_REFRESH_MS;
            let forecast = if let Some(forecast) = kept.filter(is_recent) {
                forecast
            } else {
                let expected_ms = now_ms + self.cap_wait_ms(CustomerId(index), &reservation, cycle);
                let until_ms = kept.map_or(expected_ms, |kept| expected_ms.min(kept.until_ms));
                CapForecast { step: reservation.step, until_ms, made_ms: now_ms }
            };
            self.customers.accounts[index].forecast = Some(forecast);
            let until_ms = forecast.until_ms;
            cycle.cap_reservations[index] = Some(CapReservation { until_ms, ..reservation });
        }
    }

    /// The time until a customer's tasks have freed what is reserved of its cap, if no further ones
    /// start.
    fn cap_wait_ms(
        &self,
        customer: CustomerId,
        reservation: &CapReservation,
        cycle: &Cycle,
    ) -> u64 {
        let cap = &self.customers.get(customer).limits.cap;
        let mut used = cycle.usage[customer.0].total;
        let mut ends: Vec<(u64, Resources)> = Vec::new();
        for worker in self.workers.values() {
            if !worker.by_customer.contains_key(&customer) {
                continue;
            }
            for (id, allocation) in &worker.tasks {
                if allocation.customer == Some(customer) && !allocation.is_long_running {
                    ends.push((self.remaining_ms(*id), allocation.demand));
                }
            }
        }
        ends.sort_unstable_by_key(|(remaining_ms, _)| *remaining_ms);
        let mut wait_ms = 0;
        for (remaining_ms, demand) in ends {
            if remaining(cap, &used).holds(&reservation.reserved) {
                break;
            }
            used = used.minus(&demand);
            wait_ms = remaining_ms;
        }
        wait_ms
    }

    /// Suspends reservations that have kept more than half of a cap unused for long, or all that
    /// the step needs. A step may wait for the last few tasks of its customer, or for something
    /// else, for much longer than other work may wait.
    ///
    /// From the second suspension of a step's reservation on, the time until the next one doubles.
    /// Otherwise a step would never start if the last tasks before it take longer than that.
    fn suspend_idle_reservations(&mut self, cycle: &mut Cycle) {
        let now_ms = self.now_ms;
        for (index, account) in self.customers.accounts.iter_mut().enumerate() {
            let Some(reservation) = cycle.cap_reservations[index] else {
                account.cap_idle_since_ms = None;
                continue;
            };
            let cap = &account.limits.cap;
            let used = cycle.usage[index].total;
            let is_idle =
                remaining(cap, &used).holds(&reservation.reserved) || is_mostly_unused(cap, &used);
            if !is_idle {
                account.cap_idle_since_ms = None;
                continue;
            }
            let idle_since_ms = *account.cap_idle_since_ms.get_or_insert(now_ms);
            let idle_ms = now_ms - idle_since_ms;
            let step = reservation.step;
            let Some(job) = self.jobs.get_mut(&step.job) else { continue };
            let Some(step_index) = job.step_index(step) else { continue };
            let suspensions = &mut job.step_states[step_index].cap_suspensions;
            let doublings = suspensions.saturating_sub(1).min(DOUBLINGS_MAX);
            if idle_ms < IDLE_RESERVATION_MAX_MS << doublings {
                continue;
            }
            *suspensions += 1;
            account.cap_idle_since_ms = None;
            account.suspended_until_ms = now_ms + SUSPENSION_MS;
            cycle.cap_reservations[index] = None;
            let customer = &account.limits.name;
            tracing::info!(%customer, %step, idle_ms, "reservation of a customer's cap suspended: much of the cap is unused");
        }
    }

    /// Reserves what a waiting step needs of its customer's cap against later work of the
    /// same customer, which would otherwise take each bit of the cap as it comes free: all tasks
    /// of a gang, or one task.
    ///
    /// Only one step of a customer has a reservation, the first one in the order of the cycle. What
    /// several steps need together may exceed the cap, and no other work would start until then.
    /// Nothing is reserved for a step that could not start even then, which would be for ever.
    pub(crate) fn reserve_cap(
        &mut self,
        step: StepId,
        step_index: usize,
        order: OrderKey,
        cycle: &mut Cycle,
    ) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(customer) = job.customer else { return };
        // For how long an earlier leader has kept the cap unused is not known.
        let first_ms = self.started_ms + IDLE_RESERVATION_MAX_MS;
        let suspended_until_ms = self.customers.get(customer).suspended_until_ms;
        let is_suspended = self.now_ms < suspended_until_ms.max(first_ms);
        if is_suspended || !job.step_states[step_index].can_start_later {
            return;
        }
        let spec = job.step_spec(step_index);
        let reserved = spec.demand.times(if spec.gang { u64::from(spec.tasks) } else { 1 });
        let long_running = cycle.usage[customer.0].long_running;
        if !remaining(&self.customers.get(customer).limits.cap, &long_running).holds(&reserved) {
            return;
        }
        let reservation = &mut cycle.cap_reservations[customer.0];
        if reservation.is_none_or(|other| order < other.order) {
            let until_ms = self.now_ms;
            *reservation = Some(CapReservation { order, step, reserved, until_ms });
            if let Some(job) = self.jobs.get_mut(&step.job) {
                job.step_states[step_index].claims_cap = true;
            }
        }
    }

    /// Counts an attempt to place a step for which its customer's cap left no capacity.
    pub(crate) fn record_capped(&mut self, step: StepId) {
        if let Some(customer) = self.jobs.get(&step.job).and_then(|job| job.customer) {
            self.customers.record_capped(customer);
        }
    }

    /// Logs what the customers use whose steps waited for their cap since the last report, and
    /// what is reserved of it.
    pub(crate) fn report_caps(&mut self) {
        let is_capped = |account: &Account| account.pressure.capped_attempts > 0;
        if !self.customers.accounts.iter().any(is_capped) {
            return;
        }
        let used = self.customer_usage();
        let idle = self.idle_usage();
        let usage = &self.cycle.usage;
        let counted = |index: usize| usage.get(index).map_or(Resources::ZERO, |usage| usage.total);
        for (index, account) in self.customers.accounts.iter_mut().enumerate() {
            let CapPressure { capped_attempts, reserved_max } =
                std::mem::take(&mut account.pressure);
            if capped_attempts == 0 {
                continue;
            }
            let CustomerLimits { name, cap, .. } = &account.limits;
            tracing::info!(
                customer = %name,
                capped_attempts,
                used_cpu_millis = used[index].cpu_millis,
                counted_cpu_millis = counted(index).cpu_millis,
                idle_cpu_millis = idle[index].cpu_millis,
                reserved_cpu_millis = reserved_max.cpu_millis,
                cap_cpu_millis = cap.cpu_millis,
                used_bytes = used[index].memory_bytes,
                idle_bytes = idle[index].memory_bytes,
                reserved_bytes = reserved_max.memory_bytes,
                cap_bytes = cap.memory_bytes,
                "steps wait for the customer's cap"
            );
        }
    }

    /// What the tasks of each customer count towards its cap that are placed and not known to
    /// run, by [`CustomerId`].
    fn idle_usage(&self) -> Vec<Resources> {
        let mut idle = vec![Resources::ZERO; self.customers.len()];
        for job in self.jobs_in_progress() {
            let Some(customer) = job.customer else { continue };
            for (step_index, step_state) in job.step_states.iter().enumerate() {
                let demand = job.step_spec(step_index).demand;
                let is_idle = |task: &&Task| task.worker.is_some() && !task.is_running();
                let tasks = step_state.tasks.iter().filter(is_idle).count();
                let sum = &mut idle[customer.0];
                *sum = sum.plus(&demand.times(tasks as u64));
            }
        }
        idle
    }

    /// What each customer uses on all workers, by [`CustomerId`].
    pub(crate) fn customer_usage(&self) -> Vec<Resources> {
        let mut used = vec![Resources::ZERO; self.customers.len()];
        for worker in self.workers.values() {
            for (id, worker_usage) in &worker.by_customer {
                used[id.0] = used[id.0].plus(&worker_usage.total);
            }
        }
        used
    }
}

/// Whether less than half of a cap is used, of each limited resource.
fn is_mostly_unused(cap: &Resources, used: &Resources) -> bool {
    let is_unused = |cap: u64, used: u64| cap == 0 || used.saturating_mul(2) < cap;
    is_unused(cap.cpu_millis, used.cpu_millis)
        && is_unused(cap.memory_bytes, used.memory_bytes)
        && is_unused(cap.accelerators, used.accelerators)
}

/// What remains of a cap; unlimited for a resource whose cap is 0.
fn remaining(cap: &Resources, used: &Resources) -> Resources {
    let remaining =
        |cap: u64, used: u64| if cap == 0 { u64::MAX } else { cap.saturating_sub(used) };
    Resources {
        cpu_millis: remaining(cap.cpu_millis, used.cpu_millis),
        memory_bytes: remaining(cap.memory_bytes, used.memory_bytes),
        accelerators: remaining(cap.accelerators, used.accelerators),
    }
}
