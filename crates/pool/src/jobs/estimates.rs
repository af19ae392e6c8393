//! Moving averages that correct estimates and predict demand.
//!
//! Callers' estimates of task durations are off by half and more in either direction.
//! The mean of the measured durations in a queue brings them closer to the truth.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Range;

use stoatwell_model::Resources;

/// Smoothing factor for runs and grants; the mean covers about the last forty.
const SMOOTHING: f64 = 0.025;
/// Runs from which on the mean has the same weight as the caller's estimate.
const RUNS_MIN: u32 = 10;
/// Smoothing factor for the used capacity. It is sampled ten times a second, so the mean
/// covers about the last five seconds.
const USAGE_SMOOTHING: f64 = 0.02;

/// Share of granted workers that is assumed before the first answer of the advisor.
const GRANTED_SHARE_DEFAULT: f64 = 0.4;
/// Lower bound of the share. It keeps a queue whose first answers granted nothing from
/// querying all workers.
const GRANTED_SHARE_MIN: f64 = 0.15;

/// Moving averages by queue and by service.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    queues: HashMap<String, QueueMeans>,
    /// Used CPU in thousandths of a core and memory in bytes, by service and priority.
    used: HashMap<String, BTreeMap<u32, (f64, f64)>>,
}

#[derive(Debug, Default)]
struct QueueMeans {
    duration_ms: f64,
    runs: u32,
    /// Share of the queried workers that the advisor granted.
    granted_share: f64,
    answers: u32,
}

impl Estimates {
    /// Records the duration of a successful run.
    pub fn record_run(&mut self, queue: &str, duration_ms: u64) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueMeans::default());
        }
        let Some(means) = self.queues.get_mut(queue) else { return };
        means.runs += 1;
        let weight = SMOOTHING.max(1.0 / f64::from(means.runs));
        means.duration_ms += (duration_ms as f64 - means.duration_ms) * weight;
    }

    /// Records how many of the queried workers an answer of the advisor granted.
    pub fn record_grants(&mut self, queue: &str, queried: usize, granted: usize) {
        if queried == 0 {
            return;
        }
        let means = self.queues.entry(queue.to_owned()).or_default();
        means.answers += 1;
        let weight = SMOOTHING.max(1.0 / f64::from(means.answers));
        means.granted_share += (granted as f64 / queried as f64 - means.granted_share) * weight;
    }

    /// The share of queried workers that the advisor is expected to grant.
    pub fn granted_share(&self, queue: &str) -> f64 {
        let known = self.queues.get(queue).filter(|means| means.answers > 0);
        known.map_or(GRANTED_SHARE_DEFAULT, |means| means.granted_share).max(GRANTED_SHARE_MIN)
    }

    /// The expected duration of a task: the caller's estimate, averaged with the mean of the
    /// queue once enough runs are known.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        match self.queues.get(queue) {
            Some(means) if means.runs >= RUNS_MIN => {
                (estimate_ms as f64 * 0.5 + means.duration_ms * 0.5) as u64
            }
            _ => estimate_ms,
        }
    }

    /// Records a sample of the capacity that work of each priority uses at a service.
    pub fn record_usage(&mut self, service: &str, used: &BTreeMap<u32, Resources>) {
        if !self.used.contains_key(service) {
            self.used.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(means) = self.used.get_mut(service) else { return };
        for priority in used.keys() {
            means.entry(*priority).or_default();
        }
        for (priority, (cpu, memory)) in means {
            let sample = used.get(priority).copied().unwrap_or_default();
            *cpu += (sample.cpu_millis as f64 - *cpu) * USAGE_SMOOTHING;
            *memory += (sample.memory_bytes as f64 - *memory) * USAGE_SMOOTHING;
        }
    }

    /// The mean capacity that work of these priorities uses at a service, without
    /// accelerators.
    pub fn mean_usage(&self, service: &str, priorities: Range<u32>) -> Resources {
        let Some(means) = self.used.get(service).filter(|_| !priorities.is_empty()) else {
            return Resources::ZERO;
        };
        let sum = means
            .range(priorities)
            .fold((0.0, 0.0), |sum, (_, used)| (sum.0 + used.0, sum.1 + used.1));
        Resources { cpu_millis: sum.0 as u64, memory_bytes: sum.1 as u64, accelerators: 0 }
    }
}
