//! A bound on how long accepted work can be passed over.

/// Wait from which on a step may go before all others: some times what callers of the least
/// urgent work allow, so that work in time is not displaced by work that is a little late.
const PASSED_OVER_MS: u64 = 20_000;
/// Percentage of the used CPU that promoted steps may take. Under a lasting overload almost all
/// late work has waited for long, and the rest of the capacity remains for work in time.
const PROMOTED_PERCENT: u64 = 10;
/// Unused part that is kept, in milliseconds of it.
const SAVED_MS: u64 = 5_000;

/// The work that promoted steps may still take.
#[derive(Debug, Default)]
pub(crate) struct Promotion {
    /// Negative after a step whose work was larger than what was left.
    left_core_ms: i64,
}

impl Promotion {
    /// Adds the part of the used CPU that is set aside for promoted steps.
    pub fn refill(&mut self, elapsed_ms: u64, used_millis: u64) {
        let part_millis = used_millis * PROMOTED_PERCENT / 100;
        let max_core_ms = (part_millis * SAVED_MS / 1_000) as i64;
        let refill_core_ms = (part_millis * elapsed_ms / 1_000) as i64;
        self.left_core_ms = (self.left_core_ms + refill_core_ms).min(max_core_ms);
    }

    pub fn promote(&mut self, waited_ms: u64, work_core_ms: u64) -> bool {
        if waited_ms < PASSED_OVER_MS || self.left_core_ms <= 0 {
            return false;
        }
        self.left_core_ms -= work_core_ms as i64;
        true
    }
}
