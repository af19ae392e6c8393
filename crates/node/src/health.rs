//! Whether the store answers, and how fast.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock::steady_ms;
use crate::outside::StoreError;

/// Calls without answer, or refused, in a row after which the store counts as down.
const FAILURES_MAX: u32 = 2;
/// Answers are measured no more often than this; the figure changes slowly.
const SMOOTHING: u64 = 8;

/// What recent calls have shown.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failures: AtomicU32,
    answer_ms: AtomicU64,
    answered_ms: AtomicU64,
}

impl StoreHealth {
    /// Takes note of how a write went.
    pub fn note<T>(&self, result: &Result<T, StoreError>) {
        match result {
            Err(StoreError::NoAnswer | StoreError::Refused) => {
                let before = self.failures.fetch_add(1, Ordering::Relaxed);
                if before + 1 == FAILURES_MAX {
                    tracing::warn!(
                        dependency = "store",
                        "lost: new jobs are refused until it answers"
                    );
                }
            }
            Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost) => {
                self.answered_ms.store(steady_ms(), Ordering::Relaxed);
                if self.failures.swap(0, Ordering::Relaxed) >= FAILURES_MAX {
                    tracing::info!(dependency = "store", "regained");
                }
            }
        }
    }

    /// Takes note of how long an answer took.
    pub fn note_answer(&self, took_ms: u64) {
        let before = self.answer_ms.load(Ordering::Relaxed);
        let after =
            if before == 0 { took_ms } else { (before * (SMOOTHING - 1) + took_ms) / SMOOTHING };
        self.answer_ms.store(after.max(1), Ordering::Relaxed);
    }

    /// Whether writes are pointless now.
    pub fn is_down(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= FAILURES_MAX
    }

    /// The usual answer time.
    pub fn answer_ms(&self) -> u64 {
        self.answer_ms.load(Ordering::Relaxed)
    }
}
