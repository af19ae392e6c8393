//! What breaks a promise, judged when a run starts and at each moment.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::TaskId;

use super::World;
use super::worker::Call;

/// A start is decided this long before it is sent: its row has to be durable first.
const CAP_LAG_MS: u64 = 100;

impl World {
    pub(super) fn note_start(&mut self, call: &Call) {
        let Call::Start(start) = call else { return };
        self.starts += 1;
        tracing::info!(at = self.now_ms, task = %start.task, run = start.run, worker = %start.to.worker, token = start.to.token, "WORLD start");
        if self.noted_done.contains(&start.task) && !self.may_have_copies(start.task) {
            self.broken.push(format!("{}: started after its end was noted", start.task));
        }
        let job = start.task.step.job;
        if self.cancelled.get(&job).is_some_and(|at| at + 3_000 < self.now_ms)
            && start.made_ms + 1_000 > self.now_ms
        {
            self.broken.push(format!("{}: started long after it was cancelled", start.task));
        }
        let Some(spec) = self.jobs.get(&job).cloned() else { return };
        self.check_cap(start.task, start.made_ms);
        let step = &spec.steps[start.task.step.step as usize];
        for earlier in &step.after {
            let all = 0..spec.steps[*earlier as usize].tasks;
            for index in all {
                let mut before = start.task;
                before.step.step = *earlier;
                before.index = index;
                if !self.was_done(before) {
                    self.broken.push(format!("{}: started before {before} was done", start.task));
                }
            }
        }
        // The members of a gang work together, so they draw alike.
        let alike =
            start.task.step.job.0 ^ u64::from(start.task.step.step) << 32 ^ u64::from(start.run);
        let mut rng =
            if step.gang { Pcg64::seed_from_u64(alike) } else { Pcg64::from_rng(&mut self.rng) };
        let fails = rng.random_range(0..1_000) < self.faults.failed_runs;
        let takes_ms = rng.random_range(step.estimate_ms / 2..=step.estimate_ms * 2);
        let gang = step.gang.then_some(step.tasks);
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&start.to.worker) {
            worker.begin(start, now_ms, takes_ms, fails, gang, step);
        }
    }

    /// A start must not bring its customer above the highest cap since it was decided.
    fn check_cap(&mut self, task: TaskId, made_ms: u64) {
        let Some(customer) = self.customer_of(task) else { return };
        let Some(cap) = self.highest_cap(&customer, made_ms.saturating_sub(CAP_LAG_MS)) else {
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
            self.broken.push(format!("{task}: {customer} has {} of {cap}", used.cpu_millis));
        }
    }

    /// The highest cap on processors that a customer had since a moment; none is no cap.
    fn highest_cap(&self, customer: &CustomerName, since_ms: u64) -> Option<u64> {
        let caps = self.caps.get(customer)?;
        if caps.first().is_none_or(|(began_ms, _)| *began_ms >= since_ms) {
            return None;
        }
        let mut highest = None;
        for (number, (_, cap)) in caps.iter().enumerate() {
            let ended_ms = caps.get(number + 1).map_or(u64::MAX, |(began_ms, _)| *began_ms);
            if ended_ms >= since_ms {
                highest = highest.max(Some(*cap));
            }
        }
        highest
    }

    fn customer_of(&self, task: TaskId) -> Option<CustomerName> {
        let job = self.jobs.get(&task.step.job)?;
        job.customer.as_ref().map(|customer| customer.name.clone())
    }

    fn demand_of(&self, task: TaskId) -> Resources {
        let job = self.jobs.get(&task.step.job);
        job.map_or(Resources::ZERO, |job| job.steps[task.step.step as usize].demand)
    }

    fn may_have_copies(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.steps[task.step.step as usize].speculative)
    }

    fn was_done(&self, task: TaskId) -> bool {
        self.workers.values().any(|worker| worker.was_done.contains(&task))
    }

    pub(super) fn check(&mut self) {
        let mut seen: BTreeMap<TaskId, WorkerId> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let mut used = Resources::ZERO;
            for ((task, _), run) in &worker.active {
                used = used.plus(&run.room);
                let other = seen.insert(*task, name.clone());
                if let Some(other) = other.filter(|_| !self.may_have_copies(*task)) {
                    self.broken.push(format!("{task}: runs on {other} and on {name}"));
                }
            }
            if !worker.capacity.holds(&used) {
                self.broken.push(format!("{name}: {used:?} is more than it holds"));
            }
        }
    }
}
