//! Faults injected at random, from a seeded generator.

use rand::RngExt;
use stoatwell_model::WorkerId;

use super::World;

/// The probability of each fault, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A call never arrives.
    pub lost_calls: u32,
    /// A call is carried out but its answer is lost.
    pub lost_answers: u32,
    /// A call is carried out seconds later and its answer is lost.
    pub late_calls: u32,
    /// The same for starts alone.
    pub late_starts: u32,
    /// A run fails.
    pub failed_runs: u32,
    /// Every 100 ms and for each worker: it crashes and restarts as a new incarnation.
    pub crashes: u32,
    /// Every 100 ms and for each worker: it becomes unreachable for good, for at most four
    /// workers at a time.
    pub permanent_isolations: u32,
    /// Every 100 ms and for each worker: it is unreachable for up to nine seconds.
    pub isolations: u32,
    /// Every 100 ms and for each worker: connections to it are refused for up to nine seconds
    /// while it continues to run.
    pub refusals: u32,
    /// Every 100 ms: another daemon becomes the leader.
    pub failovers: u32,
    /// A query to the advisor gets no answer.
    pub lost_advice: u32,
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        let names: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for name in names {
            if self.chance(self.faults.crashes) {
                self.crash(&name);
            }
            if self.chance(self.faults.permanent_isolations)
                && self.workers.values().filter(|worker| worker.permanently_isolated).count() < 4
            {
                self.workers.get_mut(&name).expect("known").permanently_isolated = true;
            }
            if self.chance(self.faults.isolations) {
                let for_ms = self.rng.random_range(500..9_000);
                self.isolate(&name, for_ms);
            }
            if self.chance(self.faults.refusals) {
                let for_ms = self.rng.random_range(500..9_000);
                self.refuse_connections(&name, for_ms);
            }
        }
        if self.chance(self.faults.failovers) {
            self.fail_over();
        }
    }
}
