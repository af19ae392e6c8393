//! Whether the store answers, and how fast.
//!
//! While it does not, what comes is refused at once, and a small reading asks
//! again and again whether it is back: no caller's write is risked for that, and
//! everybody here learns of the return with the first answer. Calls that were sent
//! into an outage are given up then; their answers never come, and waiting for their
//! own limits would lose a second more.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::commit::LEADER_LEASE_KEY;
use crate::outside::Outside;
use crate::outside::StoreError;
use crate::outside::Table;

/// Calls without answer, or refused, in a row after which the store counts as down.
const FAILURES_MAX: u32 = 2;
/// With an answer in this time the store is not down as a whole, whatever else failed:
/// some of its parts may be.
const ANSWERS_ELSEWHERE_MS: u64 = 300;
/// A write that waits longer than this, with no other answered since, makes the
/// store suspect. What comes meanwhile is refused at once instead of waiting behind it.
const SUSPECT_MIN_MS: u64 = 350;
/// The same in usual answer times, for a store that has turned slow.
const SUSPECT_ANSWERS: u64 = 3;
/// The shortest and longest time that a write of a job waits for its answer ...
const WRITE_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 700..=1_500;
/// ... and the same in usual answer times.
const WRITE_TIMEOUT_ANSWERS: u64 = 4;
/// The newest answer counts for one part in this many.
const SMOOTHING: u64 = 8;
/// How often it is looked whether the store is down, and asked whether it is back.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// How long one such question waits; a store that is sixty times slower than usual
/// still answers in time.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// With no answer at all for this long, calls under way were sent into an outage. A
/// slow store answers something meanwhile, and its calls are worth waiting for.
const OUTAGE_MS: u64 = 800;

/// What recent calls have shown.
#[derive(Debug)]
pub struct StoreHealth {
    failures: AtomicU32,
    answer_ms: AtomicU64,
    /// Since when a write waits with none answered since; 0 is none.
    waiting_ms: AtomicU64,
    /// When the store last answered anything; 0 is never.
    answered_ms: AtomicU64,
    /// Counts the outages that have ended.
    returns: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            failures: AtomicU32::default(),
            answer_ms: AtomicU64::default(),
            waiting_ms: AtomicU64::default(),
            answered_ms: AtomicU64::default(),
            returns: watch::Sender::new(0),
        }
    }
}

impl StoreHealth {
    /// Waits for a write's answer and takes note of how it went.
    pub async fn write(
        &self,
        call: impl Future<Output = Result<u64, StoreError>>,
    ) -> Result<u64, StoreError> {
        let sent_ms = steady_ms();
        if self.waiting_ms.load(Ordering::Relaxed) == 0 {
            self.waiting_ms.store(sent_ms, Ordering::Relaxed);
        }
        // One that was given up says nothing of the store as it is now.
        let Some(result) = self.unless_lost(call).await else { return Err(StoreError::NoAnswer) };
        self.note(&result);
        if result.is_ok() {
            self.note_answer(steady_ms().saturating_sub(sent_ms));
        }
        result
    }

    /// Waits for a reading, but not beyond the end of an outage: what was sent into
    /// one is not answered any more.
    pub async fn read<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.unless_lost(call).await.unwrap_or(Err(StoreError::NoAnswer))
    }

    async fn unless_lost<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut returns = self.returns.subscribe();
        tokio::select! {
            biased;
            result = call => Some(result),
            _ = returns.changed() => None,
        }
    }

    /// How long a write of a job waits for its answer.
    pub fn write_timeout(&self) -> Duration {
        let usual_ms = self.answer_ms() * WRITE_TIMEOUT_ANSWERS;
        Duration::from_millis(usual_ms.clamp(*WRITE_TIMEOUT_MS.start(), *WRITE_TIMEOUT_MS.end()))
    }

    /// Takes note of how a call went.
    pub fn note<T>(&self, result: &Result<T, StoreError>) {
        match result {
            Err(StoreError::NoAnswer | StoreError::Refused) => {
                self.waiting_ms.store(0, Ordering::Relaxed);
                let before = self.failures.fetch_add(1, Ordering::Relaxed);
                if before + 1 == FAILURES_MAX {
                    tracing::warn!(
                        dependency = "store",
                        "lost: new jobs are refused until it answers"
                    );
                }
            }
            Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost) => {
                self.note_up();
                self.waiting_ms.store(0, Ordering::Relaxed);
            }
        }
    }

    /// The store answered, so it is not down. Writes that wait may still be held up by
    /// a slow part of it, unless they were sent into an outage.
    fn note_up(&self) {
        let now_ms = steady_ms();
        let was_down = self.is_down();
        let failures = self.failures.swap(0, Ordering::Relaxed);
        let silent_ms = now_ms.saturating_sub(self.answered_ms.swap(now_ms, Ordering::Relaxed));
        if failures >= FAILURES_MAX {
            tracing::info!(dependency = "store", silent_ms, "regained");
        }
        if was_down && silent_ms >= OUTAGE_MS {
            self.waiting_ms.store(0, Ordering::Relaxed);
            self.returns.send_modify(|count| *count += 1);
        }
    }

    /// Takes note of how long an answer took.
    fn note_answer(&self, took_ms: u64) {
        let before = self.answer_ms.load(Ordering::Relaxed);
        let after =
            if before == 0 { took_ms } else { (before * (SMOOTHING - 1) + took_ms) / SMOOTHING };
        self.answer_ms.store(after.max(1), Ordering::Relaxed);
    }

    /// Whether writes are pointless now.
    pub fn is_down(&self) -> bool {
        let failing = self.failures.load(Ordering::Relaxed) >= FAILURES_MAX;
        let answered_ms = self.answered_ms.load(Ordering::Relaxed);
        let silent = steady_ms().saturating_sub(answered_ms) > ANSWERS_ELSEWHERE_MS;
        (failing && silent) || self.is_suspect()
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

/// Asks a store that is down whether it is back, for the whole life of a daemon.
///
/// Questions overlap: one that was sent into the outage brings no answer, also after
/// its end, and the next one must not wait for it.
pub async fn probe<O: Outside>(outside: Arc<O>, health: Arc<StoreHealth>) {
    let mut questions = JoinSet::new();
    loop {
        tokio::time::sleep(PROBE_EVERY).await;
        if !health.is_down() {
            questions.abort_all();
            while questions.try_join_next().is_some() {}
            continue;
        }
        let outside = Arc::clone(&outside);
        let health = Arc::clone(&health);
        questions.spawn(async move {
            let answered = timeout(PROBE_LIMIT, outside.read(Table::Duty, LEADER_LEASE_KEY)).await;
            if let Ok(Ok(_)) = answered {
                health.note_up();
            }
        });
        while questions.try_join_next().is_some() {}
    }
}
