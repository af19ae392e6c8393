//! Reads a whole table of the partitions of jobs, page by page.
//!
//! What was read is kept: only a page whose call failed is read again, and only a partition that
//! is older than was asked for. A page has all rows in its range of keys as of its version. The
//! ranges of a partition's pages follow each other without a gap. So pages that were read at
//! different moments lack no row that was written up to the lowest of their versions, and a poll
//! from that version returns each later change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_pool::PARTITIONS;
use tokio::sync::Semaphore;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::clock::steady_ms;
use crate::health::StoreHealth;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Rows;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::tasks::log_panic;

/// Partitions of a table that are read concurrently.
const CONCURRENT_PARTITIONS_MAX: usize = 8;
/// Range of the time after which a call without an answer is made once more beside the first, as
/// a multiple of the smoothed time of the answered ones.
const HEDGE_AFTER_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
/// The same time as a multiple of the smoothed time of a call.
const HEDGE_LATENCY_FACTOR: u64 = 4;
/// Weight of a new call's time in the moving average is one over this.
const LATENCY_SMOOTHING: u64 = 8;
/// Calls for one page in flight.
const ATTEMPTS_MAX: usize = 3;
/// Calls of a table that may be repeated while they are pending. One that is answered before the
/// call that it repeats allows two more: the answer of that call was lost. If all answers are only
/// late, a thin link is full, and would carry the same pages again.
const HEDGE_CREDITS: u32 = 4;
/// Upper bound of that number.
const HEDGE_CREDITS_MAX: u32 = 8;
/// Delay before a call may be repeated if no repetition is left.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Range of the delay before a failed call is made again; it doubles with each failure.
const RETRY_DELAY: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_millis(200);
/// Failures of one page after which a line tells that it is not read yet, and each time again.
const FAILURES_PER_LINE: u32 = 8;
/// How long the store holds a poll for the changes that a stale table lacks open.
const CATCH_UP_WAIT_MS: u64 = 100;
/// Repeated reads of a few stale partitions before the changes to the table are polled.
const STALE_REREADS_MAX: u32 = 3;

/// Reads one table.
#[derive(Debug)]
pub(crate) struct TableReader<P> {
    platform: Arc<P>,
    health: Arc<StoreHealth>,
    table: Table,
    permits: Semaphore,
    counts: Mutex<ReadCounts>,
}

/// What a read of a table took.
#[derive(Debug, Default)]
struct ReadCounts {
    calls: u64,
    refused: u64,
    unanswered: u64,
    hedged: u64,
    hedge_credits: u32,
    stale_partitions: usize,
    latency_ms: u64,
}

/// A call that has ended.
struct Attempt {
    result: Result<Rows, StoreError>,
    took_ms: u64,
    /// Whether it was made while another one for the page was pending.
    is_hedge: bool,
}

impl<P: Platform> TableReader<P> {
    /// Prepares the read of a table.
    pub fn new(platform: &Arc<P>, health: &Arc<StoreHealth>, table: Table) -> Arc<Self> {
        Arc::new(Self {
            platform: Arc::clone(platform),
            health: Arc::clone(health),
            table,
            permits: Semaphore::new(CONCURRENT_PARTITIONS_MAX),
            counts: Mutex::new(ReadCounts { hedge_credits: HEDGE_CREDITS, ..Default::default() }),
        })
    }

    /// Reads the table at a version or later.
    ///
    /// A store that lags behind may return the state from before this daemon claimed the
    /// leader lease. The previous leader wrote until then. If a start that it recorded were
    /// missing from the state read, the start would be repeated.
    /// Jobs whose rows were removed since would come back, too.
    ///
    /// A few stale partitions are read again. If there are many, or they stay stale, the table is
    /// completed by the changes that follow.
    pub async fn read_at_least(self: Arc<Self>, version: u64, reread_delay: Duration) -> Rows {
        let (table, started_ms) = (self.table, steady_ms());
        let mut partitions: Vec<Option<Rows>> = vec![None; PARTITIONS];
        let mut rereads = 0;
        let rows = loop {
            self.read_missing(&mut partitions).await;
            let versions = partitions.iter().flatten().map(|rows| rows.version);
            let found = versions.clone().min().unwrap_or(0);
            if found >= version {
                break merge(partitions, found);
            }
            let stale = versions.filter(|partition_version| *partition_version < version).count();
            self.counts().stale_partitions += stale;
            rereads += 1;
            if stale > PARTITIONS / 2 || rereads > STALE_REREADS_MAX {
                if let Some(changes) = self.poll_until(found, version).await {
                    tracing::info!(%table, version, found, "stale table completed by its changes");
                    break apply(merge(partitions, found), changes);
                }
                tracing::warn!(%table, version, found, stale, "store returned a stale table; reading again");
            }
            tokio::time::sleep(reread_delay).await;
            for partition in &mut partitions {
                if partition.as_ref().is_some_and(|rows| rows.version < version) {
                    *partition = None;
                }
            }
        };
        let took_ms = steady_ms() - started_ms;
        let counts = self.counts();
        tracing::info!(
            target: BELIEF_TARGET,
            %table,
            rows = rows.rows.len(),
            calls = counts.calls,
            refused = counts.refused,
            unanswered = counts.unanswered,
            hedged = counts.hedged,
            stale = counts.stale_partitions,
            call_ms = counts.latency_ms,
            took_ms,
            "table read"
        );
        drop(counts);
        rows
    }

    /// Reads the partitions that are missing.
    async fn read_missing(self: &Arc<Self>, partitions: &mut [Option<Rows>]) {
        while partitions.iter().any(Option::is_none) {
            let mut reads = JoinSet::new();
            for (partition, rows) in partitions.iter().enumerate() {
                if rows.is_some() {
                    continue;
                }
                let reader = Arc::clone(self);
                reads.spawn(async move {
                    let _permit = reader.permits.acquire().await;
                    (partition, reader.read_partition(partition).await)
                });
            }
            while let Some(read) = reads.join_next().await {
                log_panic("read of a partition", &read);
                if let Ok((partition, rows)) = read {
                    partitions[partition] = Some(rows);
                }
            }
        }
    }

    /// Reads a partition. Its version is the lowest of its pages.
    async fn read_partition(&self, partition: usize) -> Rows {
        let mut all = Rows { version: u64::MAX, ..Rows::default() };
        loop {
            let after = all.rows.last().map_or("", |row| &row.key);
            let page = self.read_page(partition, after).await;
            all.version = all.version.min(page.version);
            let is_last = !page.has_more || page.rows.is_empty();
            all.rows.extend(page.rows);
            if is_last {
                return all;
            }
        }
    }

    /// Reads a page, retrying until the store answers. A call that gets no answer for long is made
    /// once more while it is pending.
    async fn read_page(&self, partition: usize, after: &str) -> Rows {
        let mut attempts = JoinSet::new();
        let mut next_attempt = Instant::now();
        let mut retry_delay = *RETRY_DELAY.start();
        let mut failures = 0;
        loop {
            tokio::select! {
                biased;
                Some(attempt) = attempts.join_next() => {
                    if let Some(page) = self.record(attempt) {
                        return page;
                    }
                    failures += 1;
                    if failures % FAILURES_PER_LINE == 0 {
                        tracing::warn!(table = %self.table, partition, failures, "reading a page of a table failed; retrying");
                    }
                    next_attempt = next_attempt.min(Instant::now() + retry_delay);
                    retry_delay = (retry_delay * 2).min(*RETRY_DELAY.end());
                }
                () = tokio::time::sleep_until(next_attempt), if attempts.len() < ATTEMPTS_MAX => {
                    let is_hedge = !attempts.is_empty();
                    let mut counts = self.counts();
                    if is_hedge && counts.hedge_credits == 0 {
                        next_attempt = Instant::now() + HEDGE_RETRY_DELAY;
                        continue;
                    }
                    counts.calls += 1;
                    counts.hedged += u64::from(is_hedge);
                    counts.hedge_credits -= u32::from(is_hedge);
                    next_attempt = Instant::now() + hedge_after(counts.latency_ms);
                    let (platform, health) = (Arc::clone(&self.platform), Arc::clone(&self.health));
                    let (table, after) = (self.table, after.to_owned());
                    attempts.spawn(async move {
                        let sent_ms = steady_ms();
                        let call = platform.read_page(table, partition, &after);
                        let result = health.track_read(call).await;
                        Attempt { result, took_ms: steady_ms() - sent_ms, is_hedge }
                    });
                }
            }
        }
    }

    /// Records the end of a call; returns the page if there is one.
    fn record(&self, attempt: Result<Attempt, JoinError>) -> Option<Rows> {
        log_panic("read of a page", &attempt);
        let mut counts = self.counts();
        match attempt {
            Ok(Attempt { result: Ok(page), took_ms, is_hedge }) => {
                if is_hedge {
                    counts.hedge_credits = (counts.hedge_credits + 2).min(HEDGE_CREDITS_MAX);
                }
                counts.latency_ms = if counts.latency_ms == 0 {
                    took_ms.max(1)
                } else {
                    (counts.latency_ms * (LATENCY_SMOOTHING - 1) + took_ms) / LATENCY_SMOOTHING
                };
                Some(page)
            }
            Ok(Attempt { result: Err(StoreError::Refused), .. }) => {
                counts.refused += 1;
                None
            }
            Ok(Attempt { result: Err(_), .. }) | Err(_) => {
                counts.unanswered += 1;
                None
            }
        }
    }

    /// Polls the changes to the table until they reach a version. `None` if the store has lost
    /// their history, or returns no more changes: that does not prove that there are none, since
    /// a store that lags behind does so, too.
    async fn poll_until(&self, after: u64, version: u64) -> Option<Rows> {
        let mut all = Rows { version: after, ..Rows::default() };
        while all.version < version {
            let poll = self.platform.poll_changes(self.table, all.version, CATCH_UP_WAIT_MS);
            let changes = match self.health.track_read(poll).await {
                Ok(changes) => changes,
                Err(error) => {
                    tracing::warn!(table = %self.table, reached = all.version, %error, "polling a stale table for changes failed");
                    return None;
                }
            };
            if changes.version <= all.version {
                return None;
            }
            all.version = changes.version;
            all.rows.extend(changes.rows);
        }
        Some(all)
    }

    fn counts(&self) -> MutexGuard<'_, ReadCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn hedge_after(latency_ms: u64) -> Duration {
    let scaled_ms = latency_ms * HEDGE_LATENCY_FACTOR;
    Duration::from_millis(scaled_ms.clamp(*HEDGE_AFTER_MS.start(), *HEDGE_AFTER_MS.end()))
}

fn merge(partitions: Vec<Option<Rows>>, version: u64) -> Rows {
    let rows = partitions.into_iter().flatten().flat_map(|rows| rows.rows).collect();
    Rows { rows, version, has_more: false }
}

/// Applies the changes that follow to the rows of a table.
fn apply(table: Rows, changes: Rows) -> Rows {
    let mut by_key: BTreeMap<String, Row> =
        table.rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    for row in changes.rows {
        // The read of a table is not atomic, so it may have newer rows than its version.
        let is_older = by_key.get(&row.key).is_some_and(|known| known.version > row.version);
        if !is_older {
            by_key.insert(row.key.clone(), row);
        }
    }
    let rows = by_key.into_values().filter(|row| row.value.is_some()).collect();
    Rows { rows, version: changes.version, has_more: false }
}
