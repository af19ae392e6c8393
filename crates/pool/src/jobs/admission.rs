//! Samples what [`Admission`] decides from, and applies its decisions to submissions and to the
//! order of the queue.
//!
//! This is active while the manifest gives customers a weight. In a full pool, steps are then
//! considered in this order:
//!
//! - steps that were passed over for a long time, within a part of the capacity;
//! - steps in time of customers within their share, or without a customer;
//! - steps in time of customers beyond their share;
//! - late steps, those of customers within their share first.
//!
//! Inside each, the order of [`QueueKey`](crate::QueueKey) holds.
//!
//! Urgent work takes what it needs also beyond its customer's share, but no capacity is kept free
//! for that part of it. Other work beyond a share leaves capacity for gangs of customers within
//! theirs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_admission::Admission;
use stoatwell_admission::Arrival;
use stoatwell_admission::CustomerShare;
use stoatwell_admission::Refusal;
use stoatwell_admission::Sample;
use stoatwell_admission::Verdict;
use stoatwell_admission::Waiting;
use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::jobs::customers::CustomerId;
use crate::jobs::job::Job;
use crate::jobs::spec::JobSpec;
use crate::placement::waiting::PlacementBlock;
use crate::workers::worker::Allocation;

/// Interval of the samples. Each goes through all queued steps, and shares are averaged over
/// seconds.
const SAMPLE_INTERVAL_MS: u64 = 200;
/// Interval of the log line about customers beyond their share.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Capacity, in percent, that work beyond its customer's share leaves free for waiting gangs of
/// others, at least that of one gang. Otherwise it takes each bit of capacity as it comes free.
const FOR_GANGS_PERCENT: u64 = 10;
/// Steps that may be ahead of all others at the same time. Gangs among them reserve workers.
const PROMOTED_MAX: usize = 4;

/// The shares of customers, and the steps that were passed over for a long time.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Whether the manifest gives customers a weight.
    active: bool,
    admission: Admission,
    promoted: BTreeSet<StepId>,
    /// By service, capacity that work of customers beyond their share leaves free for waiting
    /// gangs of the others.
    for_gangs: BTreeMap<String, Resources>,
    next_sample_ms: u64,
    next_report_ms: u64,
}

impl Shares {
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Without weights, all accounts are dropped.
    pub fn set_active(&mut self, active: bool) {
        if self.active != active {
            *self = Self { active, ..Self::default() };
        }
    }
}

impl From<CustomerId> for stoatwell_admission::CustomerId {
    fn from(id: CustomerId) -> Self {
        Self(id.0)
    }
}

impl Pool {
    /// Records the usage and backlog of each service, and promotes steps that were passed over
    /// for long.
    pub(crate) fn sample_shares(&mut self) {
        if !self.shares.active || self.now_ms < self.shares.next_sample_ms {
            return;
        }
        self.shares.next_sample_ms = self.now_ms + SAMPLE_INTERVAL_MS;
        let mut samples: BTreeMap<String, Sample> = BTreeMap::new();
        for worker in self.workers.values() {
            let sample = entry(&mut samples, &worker.info.service);
            if worker.is_open(self.now_ms) {
                sample.capacity_millis += worker.info.capacity.cpu_millis;
                sample.free_millis += worker.free().cpu_millis;
            }
            sample.used_millis += worker.used.cpu_millis;
            for allocation in worker.tasks.values() {
                let Some(customer) = allocation.customer else { continue };
                let used = sample.used.entry((customer.into(), allocation.priority)).or_default();
                *used += allocation.worker_demand.cpu_millis;
            }
        }
        let mut oldest: Vec<(u64, StepId, u64)> = Vec::new();
        let mut for_gangs: BTreeMap<String, Resources> = BTreeMap::new();
        for step in self.queue.values() {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(step_index) = job.step_index(*step) else { continue };
            let step_state = &job.step_states[step_index];
            let mut waiting = self.waiting_work(job, step_index);
            let is_capped = step_state.wait_reason.placement == PlacementBlock::Capped;
            if is_capped {
                // It waits for work of its own customer, not for capacity.
                waiting.cpu_millis = 0;
            }
            let sample = entry(&mut samples, &job.spec.queue.service);
            let priority = job.spec.queue.priority;
            if job.step_spec(step_index).gang
                && !is_capped
                && !self.is_beyond_share(*step, priority)
            {
                let tasks = step_state.tasks.len() as u64;
                let demand = job.step_spec(step_index).worker_demand().times(tasks);
                let max_millis = sample.capacity_millis * FOR_GANGS_PERCENT / 100;
                let kept = for_gangs.entry(job.spec.queue.service.clone()).or_default();
                if kept.is_zero() || kept.plus(&demand).cpu_millis <= max_millis {
                    *kept = kept.plus(&demand);
                }
            }
            match job.customer {
                Some(id) => sample.waiting.entry((id.into(), priority)).or_default().add(waiting),
                None => sample.waiting_others.entry(priority).or_default().add(waiting),
            }
            if !is_capped {
                oldest.push((step_state.queued_ms, *step, waiting.work_core_ms));
            }
        }
        self.shares.for_gangs = for_gangs;
        let share = |limits: &crate::CustomerLimits| CustomerShare {
            weight: limits.weight,
            cap_millis: limits.cap.cpu_millis,
        };
        let shares: Vec<CustomerShare> = self.customers.limits().map(share).collect();
        for (service, mut sample) in samples {
            sample.headroom_millis = self.urgent_headroom(&service).cpu_millis;
            self.report_shares(&service, &sample);
            self.shares.admission.record(self.now_ms, &service, sample, &shares);
        }
        if self.now_ms >= self.shares.next_report_ms {
            self.shares.next_report_ms = self.now_ms + REPORT_INTERVAL_MS;
        }
        self.promote_steps(oldest);
    }

    /// Moves the steps that have waited longest ahead of all others.
    fn promote_steps(&mut self, mut oldest: Vec<(u64, StepId, u64)>) {
        let jobs = &self.jobs;
        self.shares.promoted.retain(|step| {
            let state =
                |job: &Job| job.step_index(*step).map(|index| job.step_states[index].queued);
            jobs.get(&step.job).and_then(state).unwrap_or(false)
        });
        oldest.sort_unstable();
        for (queued_ms, step, work_core_ms) in oldest {
            if self.shares.promoted.len() >= PROMOTED_MAX {
                break;
            }
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let service = &job.spec.queue.service;
            let waited_ms = self.now_ms.saturating_sub(queued_ms);
            if self.shares.promoted.contains(&step)
                || !self.shares.admission.promote(service, waited_ms, work_core_ms)
            {
                continue;
            }
            tracing::info!(%step, waited_ms, work_core_ms, "step goes first after a long wait");
            self.shares.promoted.insert(step);
        }
    }

    /// Logs once a second who uses more than its share of a full service.
    fn report_shares(&self, service: &str, sample: &Sample) {
        let admission = &self.shares.admission;
        if self.now_ms < self.shares.next_report_ms || !admission.is_full(service) {
            return;
        }
        let is_beyond = |(id, priority): &&(stoatwell_admission::CustomerId, u32)| {
            admission.is_beyond_share(service, *id, *priority)
        };
        let mut names: Vec<&str> = Vec::new();
        for (id, _) in sample.used.keys().filter(is_beyond) {
            let name = self.customers.get(CustomerId(id.0)).limits.name.as_str();
            if names.last() != Some(&name) {
                names.push(name);
            }
        }
        let waiting = sample.waiting.values().chain(sample.waiting_others.values());
        let backlog_core_ms: u64 = waiting.map(|waiting| waiting.work_core_ms).sum();
        let (capacity_millis, free_millis) = (sample.capacity_millis, sample.free_millis);
        tracing::info!(
            service,
            capacity_millis,
            free_millis,
            backlog_core_ms,
            beyond = names.join(","),
            "customers compete for a full service"
        );
    }

    /// When the caller of a job that is not admitted may submit it again; `None` if the job is
    /// admitted.
    pub(crate) fn refuse_by_share(&mut self, job: &Job) -> Option<u32> {
        let id = job.customer.filter(|_| self.shares.active)?;
        let spec = &job.spec;
        let has_no_end = spec.steps.iter().any(|step| step.long_running || step.fills);
        if has_no_end || spec.repeat.is_some() || self.cancellations.get(job.id).is_some() {
            return None;
        }
        let mut waiting = Waiting::default();
        let mut first_cpu_millis = 0;
        for step_index in 0..job.step_states.len() {
            let step_waiting = self.waiting_work(job, step_index);
            waiting.add(step_waiting);
            if job.is_ready(step_index) {
                first_cpu_millis += step_waiting.cpu_millis;
            }
        }
        let duration_ms = self.expected_path_ms(spec);
        let correction_ms =
            spec.queue.slack_factor * (duration_ms as f64 - spec.critical_path_ms() as f64);
        let late_unix_ms = (spec.accepted_unix_ms + spec.allowed_ms()) as f64 + correction_ms;
        let arrival = Arrival {
            job: job.id.0,
            service: &spec.queue.service,
            customer: id.into(),
            priority: spec.queue.priority,
            waiting,
            first_cpu_millis,
            duration_ms,
            allowed_ms: (late_unix_ms as u64).saturating_sub(self.unix_ms),
            exceeds_rate: job.over_fair_share,
        };
        let refusal = match self.shares.admission.judge(self.now_ms, &arrival) {
            Verdict::Admit => {
                self.shares.admission.add_arrival(&arrival);
                return None;
            }
            Verdict::Refuse(refusal) => refusal,
        };
        let Refusal {
            retry_after_s,
            expected_end_ms,
            own_backlog_core_ms,
            backlog_core_ms,
            own_rate_millis,
            drain_rate_millis,
            entitled_millis,
        } = refusal;
        let customer = &self.customers.get(id).limits.name;
        tracing::info!(
            job = %job.id, queue = spec.queue.name, %customer, retry_after_s, expected_end_ms,
            allowed_ms = arrival.allowed_ms, own_backlog_core_ms, backlog_core_ms,
            own_rate_millis, drain_rate_millis, entitled_millis,
            "submission refused: its customer is beyond its weight and it would end too late"
        );
        Some(retry_after_s)
    }

    /// Orders the front of the queue; see the documentation of this module.
    pub(crate) fn order_by_share(
        &self,
        in_time: Vec<(QueueKey, StepId)>,
        late: Vec<(QueueKey, StepId)>,
    ) -> Vec<(QueueKey, StepId)> {
        let mut ranked = Vec::with_capacity(in_time.len() + late.len());
        for (steps, is_late) in [(in_time, false), (late, true)] {
            for (key, step) in steps {
                let is_passed_over = self.shares.promoted.contains(&step);
                let is_beyond = self.is_beyond_share(step, key.priority);
                ranked.push(((!is_passed_over, is_late, is_beyond), key, step));
            }
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, key, step)| (key, step)).collect()
    }

    /// The capacity that a step leaves free for gangs of customers within their share.
    pub(crate) fn headroom_for_gangs(&self, step: StepId, priority: u32) -> Resources {
        if !self.is_beyond_share(step, priority) || self.shares.promoted.contains(&step) {
            return Resources::ZERO;
        }
        let Some(job) = self.jobs.get(&step.job) else { return Resources::ZERO };
        self.shares.for_gangs.get(&job.spec.queue.service).copied().unwrap_or_default()
    }

    /// The part of a task's demand that is within its customer's share.
    pub(crate) fn demand_within_share(&self, service: &str, allocation: &Allocation) -> Resources {
        let demand = allocation.worker_demand;
        let Some(id) = allocation.customer.filter(|_| self.shares.active) else { return demand };
        let percent =
            self.shares.admission.part_within_share(service, id.into(), allocation.priority);
        Resources {
            cpu_millis: demand.cpu_millis * percent / 100,
            memory_bytes: demand.memory_bytes * percent / 100,
            accelerators: demand.accelerators,
        }
    }

    pub(crate) fn is_beyond_share(&self, step: StepId, priority: u32) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let service = &job.spec.queue.service;
        let is_beyond =
            |id: CustomerId| self.shares.admission.is_beyond_share(service, id.into(), priority);
        job.customer.is_some_and(is_beyond)
    }

    /// The tasks of a step that wait for a worker.
    fn waiting_work(&self, job: &Job, step_index: usize) -> Waiting {
        let step_state = &job.step_states[step_index];
        let tasks = step_state.waiting_tasks().count() as u64;
        let cpu_millis = job.step_spec(step_index).worker_demand().cpu_millis * tasks;
        let estimate_ms = job.step_spec(step_index).estimate_ms;
        let expected_ms = self.estimates.expected_ms(&job.spec.queue.name, estimate_ms);
        Waiting { work_core_ms: cpu_millis * expected_ms / 1_000, cpu_millis }
    }

    /// The expected duration of the longest chain of dependent steps.
    fn expected_path_ms(&self, spec: &JobSpec) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            let before = step.after.iter().filter_map(|index| ends_ms.get(*index as usize));
            let before_ms = before.max().copied().unwrap_or(0);
            ends_ms
                .push(before_ms + self.estimates.expected_ms(&spec.queue.name, step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }
}

fn entry<'a>(samples: &'a mut BTreeMap<String, Sample>, service: &str) -> &'a mut Sample {
    if !samples.contains_key(service) {
        samples.insert(service.to_owned(), Sample::default());
    }
    samples.get_mut(service).expect("inserted above")
}
