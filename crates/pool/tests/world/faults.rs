//! What goes wrong by a seeded draw.

use rand::RngExt;
use stoatwell_model::WorkerId;

use super::World;

/// What may go wrong, as chances in a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A call never arrives.
    pub lost_calls: u32,
    /// A call brings no answer but is carried out.
    pub lost_answers: u32,
    /// A call brings no answer and is carried out seconds later.
    pub late_calls: u32,
    /// A run fails.
    pub failed_runs: u32,
    /// In each tenth of a second, a worker crashes and begins a new life.
    pub crashes: u32,
    /// In each tenth of a second, a worker is cut off for good.
    pub darkness: u32,
    /// In each tenth of a second, a worker is cut off for some seconds.
    pub cuts: u32,
    /// In each tenth of a second, connections to a worker begin to be refused for
    /// some seconds while it runs on.
    pub refusals: u32,
    /// In each tenth of a second, another scheduler takes over.
    pub take_overs: u32,
    /// A question to the advisor brings no answer.
    pub lost_advice: u32,
}

impl World {
    pub(super) fn draw_faults(&mut self) {
        let names: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for name in names {
            if self.chance(self.faults.crashes) {
                self.crash(&name);
            }
            if self.chance(self.faults.darkness)
                && self.workers.values().filter(|at| at.dark).count() < 4
            {
                self.workers.get_mut(&name).expect("known").dark = true;
            }
            if self.chance(self.faults.cuts) {
                let for_ms = self.rng.random_range(500..9_000);
                self.cut(&name, for_ms);
            }
            if self.chance(self.faults.refusals) {
                let for_ms = self.rng.random_range(500..9_000);
                self.refuse(&name, for_ms);
            }
        }
        if self.chance(self.faults.take_overs) {
            self.take_over();
        }
    }
}
