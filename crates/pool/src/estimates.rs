//! What runs have shown of a queue's tasks.
//!
//! Callers' estimates are off by half and more either way. The mean of what
//! the tasks of a queue really took draws them towards the truth.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Range;

use stoatwell_model::Resources;

/// Weight of the newest run; some forty runs are remembered.
const NEWEST_WEIGHT: f64 = 0.025;
/// Runs after which the mean counts for as much as an estimate.
const RUNS_MIN: u32 = 10;
/// Weight of the newest look at how much room work takes; looks come ten
/// times a second, so some five seconds are remembered.
const USE_WEIGHT: f64 = 0.02;

/// Share granted before any answer is known.
const GRANTED_SHARE: f64 = 0.4;
/// Keeps a queue whose first answers granted nothing from asking about everybody.
const GRANTED_SHARE_MIN: f64 = 0.15;

/// What is learned.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    queues: HashMap<String, Mean>,
    /// Processors and memory by service and rank.
    used: HashMap<String, BTreeMap<u32, (f64, f64)>>,
}

#[derive(Debug, Default)]
struct Mean {
    took_ms: f64,
    runs: u32,
    /// Share of the workers asked about that the advisor granted.
    granted: f64,
    answers: u32,
}

impl Estimates {
    /// Takes note of a run that did well.
    pub fn record_run(&mut self, queue: &str, took_ms: u64) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), Mean::default());
        }
        let Some(mean) = self.queues.get_mut(queue) else { return };
        mean.runs += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.runs));
        mean.took_ms += (took_ms as f64 - mean.took_ms) * weight;
    }

    /// Takes note of an answer of the advisor.
    pub fn record_grants(&mut self, queue: &str, asked: usize, granted: usize) {
        if asked == 0 {
            return;
        }
        let mean = self.queues.entry(queue.to_owned()).or_default();
        mean.answers += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.answers));
        mean.granted += (granted as f64 / asked as f64 - mean.granted) * weight;
    }

    /// Share of the workers asked about that the advisor grants, roughly.
    pub fn granted_share(&self, queue: &str) -> f64 {
        let known = self.queues.get(queue).filter(|mean| mean.answers > 0);
        known.map_or(GRANTED_SHARE, |mean| mean.granted).max(GRANTED_SHARE_MIN)
    }

    /// How long a task of the queue takes, by its estimate and what is known.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        match self.queues.get(queue) {
            Some(mean) if mean.runs >= RUNS_MIN => {
                (estimate_ms as f64 * 0.5 + mean.took_ms * 0.5) as u64
            }
            _ => estimate_ms,
        }
    }

    /// Takes note of the room that work of each rank takes now at a service.
    pub fn record_usage(&mut self, service: &str, used: &BTreeMap<u32, Resources>) {
        if !self.used.contains_key(service) {
            self.used.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(known) = self.used.get_mut(service) else { return };
        for rank in used.keys() {
            known.entry(*rank).or_default();
        }
        for (rank, (cpu, memory)) in known {
            let now = used.get(rank).copied().unwrap_or_default();
            *cpu += (now.cpu_millis as f64 - *cpu) * USE_WEIGHT;
            *memory += (now.memory_bytes as f64 - *memory) * USE_WEIGHT;
        }
    }

    /// The room that work of these ranks usually takes at a service.
    pub fn mean_usage(&self, service: &str, ranks: Range<u32>) -> Resources {
        let Some(known) = self.used.get(service).filter(|_| !ranks.is_empty()) else {
            return Resources::ZERO;
        };
        let sum =
            known.range(ranks).fold((0.0, 0.0), |sum, (_, used)| (sum.0 + used.0, sum.1 + used.1));
        Resources { cpu_millis: sum.0 as u64, memory_bytes: sum.1 as u64, accelerators: 0 }
    }
}
