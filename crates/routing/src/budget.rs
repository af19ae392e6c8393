//! Limits retries to a share of first attempts.
//!
//! If every request were retried while back ends fail, the load on the remaining ones
//! would multiply, and the outage would outlast its cause. Each first attempt adds a
//! fixed share of a retry to the budget, and each retry takes one.

const PERMILLE_PER_RETRY: u64 = 1_000;
/// Maximum number of retries that can accumulate.
const SAVED_RETRIES_MAX: u64 = 50;

/// Token bucket for retries, filled by first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    permille: u64,
    saved_permille: u64,
}

impl RetryBudget {
    /// Creates a budget of `permille` retries per thousand first attempts; 0 allows none.
    pub fn new(permille: u64) -> Self {
        Self { permille, saved_permille: 10 * PERMILLE_PER_RETRY }
    }

    /// Records the first attempt of a request.
    pub fn on_first_try(&mut self) {
        let saved = self.saved_permille + self.permille;
        self.saved_permille = saved.min(SAVED_RETRIES_MAX * PERMILLE_PER_RETRY);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.permille == 0 || self.saved_permille < PERMILLE_PER_RETRY {
            return false;
        }
        self.saved_permille -= PERMILLE_PER_RETRY;
        true
    }

    /// Number of retries that are allowed now.
    pub fn left(&self) -> u64 {
        if self.permille == 0 { 0 } else { self.saved_permille / PERMILLE_PER_RETRY }
    }
}
