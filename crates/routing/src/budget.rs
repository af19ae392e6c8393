//! Retries as a share of first tries.
//!
//! When back ends fail, every request would be tried again and the load on
//! what is left would multiply. One notices it as an outage that does not end
//! when its cause does. A budget filled by first tries keeps retries at a
//! fixed share.

const WHOLE_PERMILLE: u64 = 1_000;
/// Retries that may be saved up.
const SAVED_MAX: u64 = 50;

/// A budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    permille: u64,
    saved_permille: u64,
}

impl RetryBudget {
    /// Allows this many retries for each thousand first tries.
    pub fn new(permille: u64) -> Self {
        Self { permille, saved_permille: 10 * WHOLE_PERMILLE }
    }

    /// A request is tried for the first time.
    pub fn on_first_try(&mut self) {
        let saved = self.saved_permille + self.permille;
        self.saved_permille = saved.min(SAVED_MAX * WHOLE_PERMILLE);
    }

    /// Whether another try is allowed; takes it from the budget if so.
    pub fn take(&mut self) -> bool {
        if self.permille == 0 || self.saved_permille < WHOLE_PERMILLE {
            return false;
        }
        self.saved_permille -= WHOLE_PERMILLE;
        true
    }

    /// Retries left.
    pub fn left(&self) -> u64 {
        if self.permille == 0 { 0 } else { self.saved_permille / WHOLE_PERMILLE }
    }
}
