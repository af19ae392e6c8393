//! Whether the store answers, and how fast.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::steady_ms;
use crate::outside::StoreError;

/// Calls without answer, or refused, in a row after which the store counts as down.
const FAILURES_MAX: u32 = 2;
/// A write that waits longer than this, with no other answered since, makes the
/// store suspect: thirty times its usual time. What comes meanwhile is refused
/// at once instead of waiting behind it.
const SUSPECT_MIN_MS: u64 = 350;
/// The same in usual answer times, for a store that has turned slow.
const SUSPECT_ANSWERS: u64 = 3;
/// The shortest and longest time that a write of a job waits for its answer ...
const PATIENCE_MS: std::ops::RangeInclusive<u64> = 700..=1_500;
/// ... and the same in usual answer times.
const PATIENCE_ANSWERS: u64 = 4;
/// Answers are measured no more often than this; the figure changes slowly.
const SMOOTHING: u64 = 8;

/// What recent calls have shown.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failures: AtomicU32,
    answer_ms: AtomicU64,
    /// Since when a write waits with none answered since; 0 is none.
    waiting_ms: AtomicU64,
}

impl StoreHealth {
    /// Takes note that a write is sent.
    pub fn note_sent(&self) {
        let none = self.waiting_ms.load(Ordering::Relaxed) == 0;
        if none {
            self.waiting_ms.store(steady_ms(), Ordering::Relaxed);
        }
    }

    /// How long a write of a job waits for its answer.
    pub fn patience(&self) -> Duration {
        let usual_ms = self.answer_ms() * PATIENCE_ANSWERS;
        Duration::from_millis(usual_ms.clamp(*PATIENCE_MS.start(), *PATIENCE_MS.end()))
    }

    /// Takes note of how a write went.
    pub fn note<T>(&self, result: &Result<T, StoreError>) {
        self.waiting_ms.store(0, Ordering::Relaxed);
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
        self.failures.load(Ordering::Relaxed) >= FAILURES_MAX || self.is_suspect()
    }

    fn is_suspect(&self) -> bool {
        let since_ms = self.waiting_ms.load(Ordering::Relaxed);
        let allowed_ms = SUSPECT_MIN_MS.max(self.answer_ms() * SUSPECT_ANSWERS);
        since_ms > 0 && steady_ms().saturating_sub(since_ms) > allowed_ms
    }

    /// The usual answer time.
    pub fn answer_ms(&self) -> u64 {
        self.answer_ms.load(Ordering::Relaxed)
    }
}
