//! Renewal of the leader lease.
//!
//! A leader that is behind with its work still has to renew its lease in time, or else load alone
//! would replace it. Its tasks wait for each other in one queue, so the renewal runs on a thread
//! of its own, with its own connections to the store. It ends if the daemon's other tasks stand
//! still altogether, since a scheduler that never runs again must not keep the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_model::WorkerId;
use stoatwell_pool::SilentLease;
use stoatwell_pool::SilentLeases;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::steady_ms;
use crate::commit::encode;
use crate::election::FAILED_LEADER_TIMEOUT_MS;
use crate::election::LeaderLease;
use crate::election::RENEW_INTERVAL_MS;
use crate::health::StoreHealth;
use crate::hedge::hedge;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;

/// Key of the only row of [`Table::Duty`], which holds the leader lease.
pub(crate) const LEADER_LEASE_KEY: &str = "scheduler";
/// Time after which a write without an answer is made once more. A timeout is as long as the lease.
const HEDGE_AFTER: Duration = Duration::from_millis(400);
/// Delay before a write that the store refused or did not answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the daemon's tasks show that they still run.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Renewal intervals without any progress of the daemon's tasks after which the lease is no
/// longer renewed. Time in which the whole process stands still does not count.
const STALLED_INTERVALS_MAX: u32 = 10;

/// The leader lease, as held by this daemon.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    /// The row as it was last written, but with all times as of `acquired_ms`.
    pub row: LeaderLease,
    /// Version of the row in the store.
    pub version: u64,
    /// When this daemon acquired the lease.
    pub acquired_ms: u64,
}

/// What the leader and the task that renews its lease tell each other.
#[derive(Debug)]
pub(crate) struct RenewalState {
    /// When the newest successful renewal was sent.
    renewed_ms: AtomicU64,
    /// Rises while the daemon's other tasks make progress.
    progress: AtomicU64,
    /// The silent workers that the next row names.
    silent_leases: Mutex<SilentLeases>,
    /// Notified when that list changes. A worker that answers again keeps its runs only if its
    /// lease is extended in time, and that waits for a row without it.
    list_changed: Notify,
    /// The generation of that list in the newest row that is durable.
    written_generation: AtomicU64,
}

impl RenewalState {
    /// The state of a leader that has just acquired this lease.
    pub fn new(lease: &HeldLease) -> Self {
        let inherited = |(worker, remaining_ms): (&WorkerId, &u64)| SilentLease {
            worker: worker.clone(),
            expires_ms: lease.acquired_ms + remaining_ms,
        };
        let leases = lease.row.silent_leases.iter().map(inherited).collect();
        Self {
            renewed_ms: AtomicU64::new(lease.acquired_ms),
            progress: AtomicU64::new(0),
            silent_leases: Mutex::new(SilentLeases { generation: 0, leases }),
            list_changed: Notify::new(),
            written_generation: AtomicU64::new(0),
        }
    }

    /// When the newest successful renewal was sent.
    pub fn renewed_ms(&self) -> u64 {
        self.renewed_ms.load(Ordering::Relaxed)
    }

    fn progress(&self) -> u64 {
        self.progress.load(Ordering::Relaxed)
    }

    fn record_progress(&self) {
        self.progress.fetch_add(1, Ordering::Relaxed);
    }

    /// The generation of the list of silent workers in the newest durable row.
    pub fn written_generation(&self) -> u64 {
        self.written_generation.load(Ordering::Relaxed)
    }

    /// Sets the silent workers that the next row names.
    pub fn set_silent_leases(&self, silent_leases: &SilentLeases) {
        let mut current = self.lock();
        if current.generation != silent_leases.generation {
            current.clone_from(silent_leases);
            self.list_changed.notify_one();
        }
    }

    /// The remaining times of the leases of silent workers, and the generation of the list.
    fn remaining_silent_ms(&self) -> (BTreeMap<WorkerId, u64>, u64) {
        let now_ms = steady_ms();
        let current = self.lock();
        let remaining =
            |lease: &SilentLease| (lease.worker.clone(), lease.expires_ms.saturating_sub(now_ms));
        (current.leases.iter().map(remaining).collect(), current.generation)
    }

    fn lock(&self) -> MutexGuard<'_, SilentLeases> {
        self.silent_leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Renews the lease, from another thread, until another daemon holds it or `stop` fires. On `stop`
/// it is released. The thread ends if this future is dropped.
pub(crate) async fn renew_lease<P: Platform>(
    platform: &Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    stop: watch::Receiver<bool>,
    state: Arc<RenewalState>,
) {
    let platform = platform.with_own_connections();
    let (mut ended_sender, mut ended) = oneshot::channel::<()>();
    let renewal_state = Arc::clone(&state);
    let spawned = thread::Builder::new().name("lease-renewal".to_owned()).spawn(move || {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                tracing::error!(%error, "cannot renew the leader lease: no runtime");
                return;
            }
        };
        runtime.block_on(async {
            tokio::select! {
                biased;
                () = ended_sender.closed() => {}
                () = renew_until_lost(platform, lease, health, stop, renewal_state) => {}
            }
        });
    });
    if let Err(error) = spawned {
        tracing::error!(%error, "cannot renew the leader lease: no thread");
        return;
    }
    // The sender is dropped when the thread ends, even by a panic.
    while tokio::time::timeout(PROGRESS_INTERVAL, &mut ended).await.is_err() {
        state.record_progress();
    }
}

async fn renew_until_lost<P: Platform>(
    platform: Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    mut stop: watch::Receiver<bool>,
    state: Arc<RenewalState>,
) {
    let mut renewer = LeaseRenewer { platform, lease, health, state };
    let mut renew_at = Instant::now();
    let mut progress = 0;
    let mut stalled_intervals = 0;
    loop {
        renew_at += Duration::from_millis(RENEW_INTERVAL_MS);
        renew_at = renew_at.max(Instant::now());
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = tokio::time::sleep_until(renew_at) => stalled_intervals += 1,
            () = renewer.state.list_changed.notified() => renew_at = Instant::now(),
        }
        let previous = std::mem::replace(&mut progress, renewer.state.progress());
        if progress != previous {
            stalled_intervals = 0;
        }
        if stalled_intervals > STALLED_INTERVALS_MAX {
            let epoch = renewer.lease.row.epoch;
            tracing::error!(epoch, "giving up the leadership: the daemon's tasks stand still");
            return;
        }
        if !renewer.write().await {
            return;
        }
    }
    renewer.lease.row.released = true;
    let released = renewer.write().await;
    tracing::info!(target: BELIEF_TARGET, epoch = renewer.lease.row.epoch, released, "duty given up");
}

struct LeaseRenewer<P> {
    platform: Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    state: Arc<RenewalState>,
}

impl<P: Platform> LeaseRenewer<P> {
    /// Writes the row, with retries; returns `false` when another daemon holds the lease.
    async fn write(&mut self) -> bool {
        loop {
            let (silent_leases, generation) = self.state.remaining_silent_ms();
            let transaction = self.transaction(silent_leases);
            let sent_ms = steady_ms();
            let write = || self.health.track_write(self.platform.transact(&transaction));
            match hedge(HEDGE_AFTER, write).await {
                Ok(version) => {
                    let gap_ms = sent_ms.saturating_sub(self.state.renewed_ms());
                    if gap_ms > FAILED_LEADER_TIMEOUT_MS {
                        let epoch = self.lease.row.epoch;
                        tracing::info!(epoch, gap_ms, "leader lease renewed late");
                    }
                    // Others may have seen the row change at any time since it was sent.
                    self.state.renewed_ms.store(sent_ms, Ordering::Relaxed);
                    self.state.written_generation.store(generation, Ordering::Relaxed);
                    self.lease.row.beat += 1;
                    self.lease.version = version;
                    return true;
                }
                Err(StoreError::Conflict(rows)) => {
                    if !self.is_own_row(&rows) {
                        return false;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot write the leader lease; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Whether this daemon wrote the row that is in the store now, by a write whose response
    /// was lost. If so, later writes expect that row's version.
    fn is_own_row(&mut self, rows: &[(Table, Row)]) -> bool {
        let current_row =
            rows.iter().find(|(table, row)| *table == Table::Duty && row.key == LEADER_LEASE_KEY);
        let read = current_row.and_then(|(_, row)| Some((row.version, row.value.as_ref()?)));
        let Some((version, value)) = read else { return false };
        let Ok(row) = serde_json::from_slice::<LeaderLease>(value) else { return false };
        let is_own = row.holder == self.lease.row.holder
            && row.incarnation == self.lease.row.incarnation
            && row.epoch == self.lease.row.epoch;
        if is_own {
            self.lease.version = version;
            self.lease.row.beat = row.beat + 1;
        } else {
            tracing::warn!(
                holder = row.holder,
                epoch = row.epoch,
                "leader lease lost: another daemon holds it"
            );
        }
        is_own
    }

    fn next_row(&self, silent_leases: BTreeMap<WorkerId, u64>) -> LeaderLease {
        let row = &self.lease.row;
        let since_acquired_ms = steady_ms().saturating_sub(self.lease.acquired_ms);
        let earlier_extends_ms = row.earlier_extends_ms.saturating_sub(since_acquired_ms);
        LeaderLease { beat: row.beat + 1, earlier_extends_ms, silent_leases, ..row.clone() }
    }

    fn transaction(&self, silent_leases: BTreeMap<WorkerId, u64>) -> Transaction {
        let row = encode(&self.next_row(silent_leases));
        Transaction {
            expect: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), self.lease.version)],
            put: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), row)],
            remove: Vec::new(),
        }
    }
}
