//! The time between a daemon's confirmations of the manifest.
//!
//! All daemons confirm the same row, and the store processes the transactions on it one after
//! another. If each daemon repeated a confirmation before its answer can come, the repetitions
//! alone would exceed what the store processes: all answers would come late for as long as the
//! daemons run, and the other writes of that partition with them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Delay before a confirmation without an answer is repeated, doubled with each further one.
const REPEAT_DELAY_MIN_MS: u64 = 200;
/// Maximum of the doubled delay. After an outage, callers wait this long for a proof.
const REPEAT_DELAY_MAX_MS: u64 = 800;
/// The least delay, as a multiple of the time that the last answer took.
const REPEAT_LATENCY_FACTOR: u64 = 2;

/// Decides when a daemon may send its next confirmation.
#[derive(Debug)]
pub(crate) struct ConfirmationPace {
    /// The age at which a proof has to be renewed. Answers that take longer than that are
    /// requested before the last one has come.
    renew_age_ms: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Confirmations sent since the last answer.
    unanswered: u32,
    /// How long the last answer took.
    latency_ms: u64,
    next_ms: u64,
}

impl ConfirmationPace {
    /// The pace of a daemon whose proof has to be renewed at this age.
    pub fn new(renew_age_ms: u64) -> Self {
        Self { renew_age_ms, state: Mutex::default() }
    }

    /// Whether a confirmation may be sent now.
    pub fn may_send(&self, now_ms: u64) -> bool {
        now_ms >= self.lock().next_ms
    }

    /// Records that a confirmation was sent.
    pub fn record_sent(&self, now_ms: u64) {
        let mut state = self.lock();
        let factor = 1_u64.checked_shl(state.unanswered).unwrap_or(u64::MAX);
        let repeat_ms = REPEAT_DELAY_MIN_MS.saturating_mul(factor).min(REPEAT_DELAY_MAX_MS);
        let late_ms = state.latency_ms.saturating_mul(REPEAT_LATENCY_FACTOR);
        let delay_ms = repeat_ms.max(late_ms.min(self.renew_age_ms));
        state.next_ms = now_ms + delay_ms;
        state.unanswered += 1;
    }

    /// Records an answer of the store.
    pub fn record_answered(&self, sent_ms: u64, now_ms: u64) {
        let mut state = self.lock();
        state.latency_ms = now_ms.saturating_sub(sent_ms);
        state.unanswered = 0;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
