//! The pool's state for people.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_model::Resources;

use crate::Pool;
use crate::id::JobId;
use crate::record::JobState;

/// What the scheduler believes.
#[derive(Clone, Debug, Serialize)]
pub struct PoolDump {
    /// The election that made it scheduler.
    pub epoch: u64,
    /// Jobs by state.
    pub jobs: BTreeMap<String, usize>,
    /// Steps with tasks to place.
    pub queued_steps: usize,
    /// The workers.
    pub workers: Vec<WorkerDump>,
}

/// What the scheduler believes of a worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// Its name.
    pub worker: String,
    /// Whether it answered a hold under the present token.
    pub held: bool,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Tasks with room there.
    pub tasks: usize,
    /// Room that is taken.
    pub used: Resources,
    /// All its room.
    pub capacity: Resources,
    /// Calls without answer in a row.
    pub silent_calls: u32,
}

impl Pool {
    /// What the scheduler believes now.
    pub fn dump(&self) -> PoolDump {
        let mut jobs: BTreeMap<String, usize> = BTreeMap::new();
        for job in self.jobs.values() {
            *jobs.entry(job.state().to_string()).or_default() += 1;
        }
        let mut workers = Vec::new();
        for (name, worker) in &self.workers {
            workers.push(WorkerDump {
                worker: name.to_string(),
                held: worker.held,
                open: worker.is_open(self.now_ms),
                tasks: worker.tasks.len(),
                used: worker.used,
                capacity: worker.news.capacity,
                silent_calls: worker.silent,
            });
        }
        PoolDump { epoch: self.epoch, jobs, queued_steps: self.queue.len(), workers }
    }

    /// Why a job is where it is, a line for each of its steps.
    pub fn explain(&self, job: JobId) -> Vec<String> {
        let Some(job) = self.jobs.get(&job) else { return Vec::new() };
        let mut lines = vec![format!("state: {}", job.state())];
        for (number, unit) in job.units.iter().enumerate() {
            let waiting = unit.waiting().count();
            let ready = job.is_ready(number);
            let asked = unit.advice.asked.len();
            let granted = unit.advice.granted.len();
            lines.push(format!(
                "step {}: {} of {} tasks to do, {waiting} wait, ready {ready}, advisor granted {granted} of {asked} workers",
                unit.id, unit.left, unit.tasks.len(),
            ));
            for (index, task) in unit.tasks.iter().enumerate() {
                let Some(worker) = &task.worker else { continue };
                lines.push(format!(
                    "task {}.{index}: {:?} on {worker}, run {}, {} failed, {}% done",
                    unit.id, task.phase, task.run, task.failures, task.percent
                ));
            }
        }
        lines
    }

    /// Jobs by state, for the metrics.
    pub fn counts(&self) -> (usize, usize, usize) {
        let queued = self.jobs.values().filter(|job| job.state() == JobState::Queued).count();
        let running = self.jobs.values().filter(|job| job.state() == JobState::Running).count();
        (queued, running, self.queue.len())
    }
}
