//! Health of the store as this daemon sees it: whether it responds, and how fast.
//!
//! While the store is down, incoming requests are rejected immediately and a small read
//! probes it periodically. Probing puts no caller's write at risk, and the first response
//! tells the whole daemon that the store has recovered. Calls that were sent during the
//! outage are abandoned at that point: they never get a response, and waiting for their own
//! timeouts would cost another second.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::commit::LEADER_LEASE_KEY;
use crate::platform::Platform;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::tasks::reap;

/// Consecutive calls without response, or refused, after which the store counts as down.
const CONSECUTIVE_FAILURES_MAX: u32 = 2;
/// If the store responded to any call within this time, it is not down as a whole even if
/// other calls failed; some of its partitions may be.
const RECENT_RESPONSE_MS: u64 = 300;
/// A write that is pending for longer than this, with no other write answered since, makes
/// the store suspect. Requests that arrive meanwhile are rejected immediately instead of
/// queueing behind it.
const SUSPECT_AFTER_MIN_MS: u64 = 350;
/// The same threshold as a multiple of the smoothed latency, for a store that has become
/// slow.
const SUSPECT_LATENCY_FACTOR: u64 = 3;
/// Range of the timeout for a write of jobs, which is a multiple of the smoothed latency.
const WRITE_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 700..=1_500;
/// Timeout for a write of jobs as a multiple of the smoothed latency.
const WRITE_TIMEOUT_LATENCY_FACTOR: u64 = 4;
/// Weight of a new latency sample in the moving average is one over this.
const LATENCY_SMOOTHING: u64 = 8;
/// How often the store's health is checked, and the store probed while it is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe. A store that is sixty times slower than usual still responds in time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// If the store responded to nothing for this long, the calls in flight were sent during an
/// outage. A slow store responds to some calls in this time, and its calls are worth
/// waiting for.
const OUTAGE_MS: u64 = 800;

/// Health of the store, derived from the results of recent calls.
#[derive(Debug)]
pub struct StoreHealth {
    consecutive_failures: AtomicU32,
    latency_ms: AtomicU64,
    /// Since when a write is pending with no other write answered; 0 if there is none.
    unanswered_since_ms: AtomicU64,
    /// When the store last responded to any call; 0 if never.
    last_response_ms: AtomicU64,
    /// Number of outages that have ended.
    recoveries: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            consecutive_failures: AtomicU32::default(),
            latency_ms: AtomicU64::default(),
            unanswered_since_ms: AtomicU64::default(),
            last_response_ms: AtomicU64::default(),
            recoveries: watch::Sender::new(0),
        }
    }
}

/// Marks a write as unanswered until it has a result or is abandoned.
struct PendingWrite<'a>(&'a StoreHealth);

impl<'a> PendingWrite<'a> {
    fn begin(health: &'a StoreHealth, sent_ms: u64) -> Self {
        if health.unanswered_since_ms.load(Ordering::Relaxed) == 0 {
            health.unanswered_since_ms.store(sent_ms, Ordering::Relaxed);
        }
        Self(health)
    }
}

impl Drop for PendingWrite<'_> {
    fn drop(&mut self) {
        self.0.unanswered_since_ms.store(0, Ordering::Relaxed);
    }
}

impl StoreHealth {
    /// Awaits a write and records its result and latency. Returns [`StoreError::NoAnswer`]
    /// early if the store recovers from an outage meanwhile.
    pub async fn track_write(
        &self,
        call: impl Future<Output = Result<u64, StoreError>>,
    ) -> Result<u64, StoreError> {
        let sent_ms = steady_ms();
        let _pending = PendingWrite::begin(self, sent_ms);
        // An abandoned call says nothing about the present state of the store.
        let Some(result) = self.abort_on_recovery(call).await else {
            return Err(StoreError::NoAnswer);
        };
        self.record_result(&result);
        if result.is_ok() {
            self.record_latency(steady_ms().saturating_sub(sent_ms));
        }
        result
    }

    /// Awaits a read. Returns [`StoreError::NoAnswer`] early if the store recovers from an
    /// outage meanwhile, since reads sent during an outage get no response.
    pub async fn track_read<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.abort_on_recovery(call).await.unwrap_or(Err(StoreError::NoAnswer))
    }

    async fn abort_on_recovery<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut recoveries = self.recoveries.subscribe();
        tokio::select! {
            biased;
            result = call => Some(result),
            _ = recoveries.changed() => None,
        }
    }

    /// The timeout for a write of jobs, scaled with the store's latency.
    pub fn write_timeout(&self) -> Duration {
        let scaled_ms = self.latency_ms() * WRITE_TIMEOUT_LATENCY_FACTOR;
        Duration::from_millis(scaled_ms.clamp(*WRITE_TIMEOUT_MS.start(), *WRITE_TIMEOUT_MS.end()))
    }

    /// Records the result of a call. It does not tell whether pending writes get a response.
    pub fn record_result<T>(&self, result: &Result<T, StoreError>) {
        match result {
            Err(StoreError::NoAnswer | StoreError::Refused) => {
                let previous_failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
                if previous_failures + 1 == CONSECUTIVE_FAILURES_MAX {
                    tracing::warn!(
                        dependency = "store",
                        "lost: new jobs are refused until it answers"
                    );
                }
            }
            Ok(_)
            | Err(StoreError::Conflict(_) | StoreError::HistoryLost | StoreError::Invalid) => {
                self.record_response();
            }
        }
    }

    /// Records that the store responded, so it is not down. Pending writes may still be
    /// waiting for a slow partition, unless they were sent during an outage.
    fn record_response(&self) {
        let now_ms = steady_ms();
        let was_down = self.is_down();
        let consecutive_failures = self.consecutive_failures.swap(0, Ordering::Relaxed);
        let silent_ms =
            now_ms.saturating_sub(self.last_response_ms.swap(now_ms, Ordering::Relaxed));
        if consecutive_failures >= CONSECUTIVE_FAILURES_MAX {
            tracing::info!(target: BELIEF_TARGET, dependency = "store", silent_ms, "regained");
        }
        if was_down && silent_ms >= OUTAGE_MS {
            self.unanswered_since_ms.store(0, Ordering::Relaxed);
            self.recoveries.send_modify(|count| *count += 1);
        }
    }

    /// Records the latency of a read, until that of a write is known. It tells how far away the
    /// store is.
    pub fn record_read_latency(&self, sample_ms: u64) {
        if self.latency_ms() == 0 {
            self.record_latency(sample_ms);
        }
    }

    /// Adds a sample to the smoothed latency.
    fn record_latency(&self, sample_ms: u64) {
        let previous_ms = self.latency_ms.load(Ordering::Relaxed);
        let smoothed_ms = if previous_ms == 0 {
            sample_ms
        } else {
            (previous_ms * (LATENCY_SMOOTHING - 1) + sample_ms) / LATENCY_SMOOTHING
        };
        self.latency_ms.store(smoothed_ms.max(1), Ordering::Relaxed);
    }

    /// Whether new requests should be rejected without a call to the store.
    pub fn is_down(&self) -> bool {
        let failing = self.consecutive_failures.load(Ordering::Relaxed) >= CONSECUTIVE_FAILURES_MAX;
        let last_response_ms = self.last_response_ms.load(Ordering::Relaxed);
        let silent = steady_ms().saturating_sub(last_response_ms) > RECENT_RESPONSE_MS;
        (failing && silent) || self.is_suspect()
    }

    fn is_suspect(&self) -> bool {
        let since_ms = self.unanswered_since_ms.load(Ordering::Relaxed);
        let allowed_ms = SUSPECT_AFTER_MIN_MS.max(self.latency_ms() * SUSPECT_LATENCY_FACTOR);
        since_ms > 0 && steady_ms().saturating_sub(since_ms) > allowed_ms
    }

    /// The smoothed write latency; 0 before the first successful write.
    pub fn latency_ms(&self) -> u64 {
        self.latency_ms.load(Ordering::Relaxed)
    }
}

/// Probes the store while it is down; runs for the lifetime of the daemon.
///
/// Probes overlap: one that was sent during the outage gets no response even after the
/// store has recovered, and the next probe must not wait for it.
pub async fn probe<P: Platform>(platform: Arc<P>, health: Arc<StoreHealth>) {
    let mut probes = JoinSet::new();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !health.is_down() {
            probes.abort_all();
            reap("probe of the store", &mut probes);
            continue;
        }
        let platform = Arc::clone(&platform);
        let health = Arc::clone(&health);
        probes.spawn(async move {
            let answered =
                timeout(PROBE_TIMEOUT, platform.read(Table::Duty, LEADER_LEASE_KEY)).await;
            if let Ok(Ok(_)) = answered {
                health.record_response();
            }
        });
        reap("probe of the store", &mut probes);
    }
}
