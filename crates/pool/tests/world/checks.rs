//! The invariants of a pool, checked at every start and after every step of time.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::START_VALIDITY_MS;
use stoatwell_pool::StartCall;
use stoatwell_pool::TaskId;

use super::World;
use super::worker::Call;

/// How long before its start a run may have been placed. Its row has to be durable before
/// the start is sent.
const PLACEMENT_LAG_MS: u64 = 100;

impl World {
    pub(super) fn check_start(&mut self, call: &Call) {
        let Call::Start(start) = call else { return };
        self.starts += 1;
        tracing::info!(at = self.now_ms, task = %start.task, run = start.run, worker = %start.to.worker, token = start.to.token, "WORLD start");
        if self.acknowledged_done.contains(&start.task) && !self.is_speculative(start.task) {
            self.violations
                .push(format!("{}: started after its completion was acknowledged", start.task));
        }
        self.record_start_after_done(start);
        let job = start.task.step.job;
        if self.cancelled.get(&job).is_some_and(|cancelled_ms| cancelled_ms + 3_000 < self.now_ms)
            && start.written_ms + START_VALIDITY_MS > self.now_ms
        {
            self.violations.push(format!("{}: started long after it was cancelled", start.task));
        }
        if self.cancelled.get(&job).is_some_and(|cancelled_ms| *cancelled_ms < start.written_ms) {
            self.violations
                .push(format!("{}: its start was written after the job was cancelled", start.task));
        }
        let Some(spec) = self.jobs.get(&job).cloned() else { return };
        self.check_cap(start.task, start.written_ms);
        let step = &spec.steps[start.task.step.step as usize];
        for dependency in &step.after {
            let indices = 0..spec.steps[*dependency as usize].tasks;
            for index in indices {
                let mut required = start.task;
                required.step.step = *dependency;
                required.index = index;
                if !self.has_completed(required) {
                    self.violations
                        .push(format!("{}: started before {required} was done", start.task));
                }
            }
        }
        // The members of a gang succeed or fail together, so they share a seed and a share.
        let mut failed_runs = self.faults.failed_runs;
        if step.gang {
            let gang_run = (start.task.step, start.run);
            failed_runs = *self.gang_failures.entry(gang_run).or_insert(failed_runs);
        }
        let gang_seed =
            start.task.step.job.0 ^ u64::from(start.task.step.step) << 32 ^ u64::from(start.run);
        let mut rng = if step.gang {
            Pcg64::seed_from_u64(gang_seed)
        } else {
            Pcg64::from_rng(&mut self.rng)
        };
        let will_fail = rng.random_range(0..1_000) < failed_runs;
        let duration_ms = rng.random_range(step.estimate_ms / 2..=step.estimate_ms * 2);
        let gang = step.gang.then_some(step.tasks);
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&start.to.worker) {
            worker.start_run(start, now_ms, duration_ms, will_fail, gang, step);
        }
    }

    /// Checks a start that is sent now. When it arrives, its job may have ended, whose row names no
    /// runs any more.
    pub(super) fn check_sent_start(&mut self, start: &StartCall) {
        if start.is_void(self.now_ms) {
            self.violations.push(format!("{}: sent although it is void", start.task));
        }
        if !self.is_recorded(start.task, start.run) {
            self.violations.push(format!("{}: sent before its row was written", start.task));
        }
    }

    /// Records a start of a task of which a worker still lists an end as done.
    fn record_start_after_done(&mut self, start: &StartCall) {
        if self.is_speculative(start.task) {
            return;
        }
        for (name, worker) in &self.workers {
            for ended in worker.listed_completions(start.task) {
                let key = (name.clone(), worker.incarnation, ended.number);
                self.starts_after_done.entry(key).or_default().push(format!(
                    "{}: run {} started at {} ms after run {} was done on {name}, which was \
                     acknowledged later",
                    start.task, start.run, self.now_ms, ended.run
                ));
            }
        }
    }

    /// Whether the store has the row of this run of a task, or of a later one.
    fn is_recorded(&self, task: TaskId, run: u32) -> bool {
        let Some(spec) = self.jobs.get(&task.step.job) else { return false };
        let step_index = task.step.occurrence * spec.steps.len() as u32 + task.step.step;
        self.progress.get(&task.step.job).is_some_and(|progress| {
            let mut rows = progress.tasks.iter();
            rows.any(|row| {
                row.step_index == step_index && row.index == task.index && row.run >= run
            })
        })
    }

    /// Checks that a start does not take its customer above the highest cap that was in
    /// force since the run was placed.
    fn check_cap(&mut self, task: TaskId, written_ms: u64) {
        let Some(customer) = self.customer_of(task) else { return };
        let Some(cap) = self.highest_cap(&customer, written_ms.saturating_sub(PLACEMENT_LAG_MS))
        else {
            return;
        };
        let mut used = self.demand_of(task);
        for worker in self.workers.values() {
            for (other, _) in worker.active.keys() {
                if self.customer_of(*other).as_ref() == Some(&customer) {
                    used = used.plus(&self.demand_of(*other));
                }
            }
        }
        if used.cpu_millis > cap {
            self.violations
                .push(format!("{task}: {customer} uses {} CPU millis of {cap}", used.cpu_millis));
        }
    }

    /// The highest CPU cap of a customer that was in force at or after `since_ms`; `None` if
    /// it had no cap.
    fn highest_cap(&self, customer: &CustomerName, since_ms: u64) -> Option<u64> {
        let caps = self.caps.get(customer)?;
        if caps.first().is_none_or(|(from_ms, _)| *from_ms >= since_ms) {
            return None;
        }
        let mut highest = None;
        for (index, (_, cap)) in caps.iter().enumerate() {
            let until_ms = caps.get(index + 1).map_or(u64::MAX, |(from_ms, _)| *from_ms);
            if until_ms >= since_ms {
                highest = highest.max(Some(*cap));
            }
        }
        highest
    }

    pub(super) fn customer_of(&self, task: TaskId) -> Option<CustomerName> {
        let job = self.jobs.get(&task.step.job)?;
        job.customer.as_ref().map(|customer| customer.name.clone())
    }

    pub(super) fn demand_of(&self, task: TaskId) -> Resources {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Resources::ZERO, |job| job.steps[task.step.step as usize].demand)
    }

    fn is_speculative(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.steps[task.step.step as usize].speculative)
    }

    pub(super) fn has_completed(&self, task: TaskId) -> bool {
        self.workers.values().any(|worker| worker.completed.contains(&task))
    }

    pub(super) fn check_invariants(&mut self) {
        let mut worker_of_task: BTreeMap<TaskId, WorkerId> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let mut used = Resources::ZERO;
            for ((task, _), run) in &worker.active {
                used = used.plus(&run.demand);
                let other = worker_of_task.insert(*task, name.clone());
                if let Some(other) = other.filter(|_| !self.is_speculative(*task)) {
                    self.violations.push(format!("{task}: runs on {other} and on {name}"));
                }
            }
            if !worker.capacity.holds(&used) {
                self.violations.push(format!("{name}: {used:?} is more than its capacity"));
            }
        }
    }
}
