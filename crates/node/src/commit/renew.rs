//! Renewal of the leader lease.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::steady_ms;
use crate::commit::encode;
use crate::election::LeaderLease;
use crate::election::RENEW_INTERVAL_MS;
use crate::health::StoreHealth;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;

/// Key of the only row of [`Table::Duty`], which holds the leader lease.
pub(crate) const LEADER_LEASE_KEY: &str = "scheduler";
/// Delay before a write that the store refused or did not answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The leader lease, as held by this daemon.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    /// The row as it was last written, but with `earlier_extends_ms` as of `acquired_ms`.
    pub row: LeaderLease,
    /// Version of the row in the store.
    pub version: u64,
    /// When this daemon acquired the lease.
    pub acquired_ms: u64,
}

/// Renews the lease until another daemon holds it or `stop` fires. On `stop` it is released.
pub(crate) async fn renew_lease<P: Platform>(
    platform: Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    mut stop: watch::Receiver<bool>,
    renewed_ms: Arc<AtomicU64>,
) {
    let mut renewer = LeaseRenewer { platform, lease, health, renewed_ms };
    let mut renew_at = Instant::now();
    loop {
        renew_at += Duration::from_millis(RENEW_INTERVAL_MS);
        renew_at = renew_at.max(Instant::now());
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = tokio::time::sleep_until(renew_at) => {}
        }
        if !renewer.write().await {
            return;
        }
    }
    renewer.lease.row.released = true;
    let released = renewer.write().await;
    tracing::info!(epoch = renewer.lease.row.epoch, released, "duty given up");
}

struct LeaseRenewer<P> {
    platform: Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    /// When the newest successful renewal was sent.
    renewed_ms: Arc<AtomicU64>,
}

impl<P: Platform> LeaseRenewer<P> {
    /// Writes the row, with retries; returns `false` when another daemon holds the lease.
    async fn write(&mut self) -> bool {
        loop {
            let transaction = self.transaction();
            let sent_ms = steady_ms();
            match self.health.track_write(self.platform.transact(&transaction)).await {
                Ok(version) => {
                    // Others may have seen the row change at any time since it was sent.
                    self.renewed_ms.store(sent_ms, Ordering::Relaxed);
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

    fn next_row(&self) -> LeaderLease {
        let row = &self.lease.row;
        let since_acquired_ms = steady_ms().saturating_sub(self.lease.acquired_ms);
        let earlier_extends_ms = row.earlier_extends_ms.saturating_sub(since_acquired_ms);
        LeaderLease { beat: row.beat + 1, earlier_extends_ms, ..row.clone() }
    }

    fn transaction(&self) -> Transaction {
        Transaction {
            expect: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), self.lease.version)],
            put: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), encode(&self.next_row()))],
            remove: Vec::new(),
        }
    }
}
