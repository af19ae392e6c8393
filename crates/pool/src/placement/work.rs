//! Counts of the work that scheduling cycles do.
//!
//! A busy machine makes wall time useless as a measure, so tests and operators compare counts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The work of all scheduling cycles since the scheduler began to lead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CycleWork {
    /// Scheduling cycles.
    pub cycles: u64,
    /// Workers whose state was read at the start of a cycle.
    pub workers_read: u64,
    /// Queued steps that a cycle looked at.
    pub steps_visited: u64,
    /// Attempts to place a step.
    pub attempts: u64,
    /// Pairs of a step and a worker that an attempt or a selection for the advisor compared.
    pub pairs: u64,
}

impl CycleWork {
    /// The work since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cycles: self.cycles - earlier.cycles,
            workers_read: self.workers_read - earlier.workers_read,
            steps_visited: self.steps_visited - earlier.steps_visited,
            attempts: self.attempts - earlier.attempts,
            pairs: self.pairs - earlier.pairs,
        }
    }

    /// All that was read or compared.
    pub fn total(&self) -> u64 {
        self.workers_read + self.steps_visited + self.pairs
    }
}

/// Counts pairs where only a shared reference to the pool is at hand.
#[derive(Debug, Default)]
pub(crate) struct PairCount(AtomicU64);

impl PairCount {
    pub fn add(&self, pairs: usize) {
        self.0.fetch_add(pairs as u64, Ordering::Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
