//! Keeps the row that says who leads.

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
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::Transaction;

/// The key of the one row of [`Table::Duty`].
pub(crate) const LEADER_LEASE_KEY: &str = "scheduler";
/// After a write that the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The duty as this daemon holds it.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    /// The row.
    pub row: LeaderLease,
    /// Its version.
    pub version: u64,
    /// When it was won.
    pub acquired_ms: u64,
}

/// Renews the duty until another daemon holds it or `stop` fires; then it is released.
pub(crate) async fn renew_lease<O: Outside>(
    outside: Arc<O>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    mut stop: watch::Receiver<bool>,
    renewed_ms: Arc<AtomicU64>,
) {
    let mut keeper = Keeper { outside, lease, health, renewed_ms };
    let mut renew_at = Instant::now();
    loop {
        renew_at += Duration::from_millis(RENEW_INTERVAL_MS);
        renew_at = renew_at.max(Instant::now());
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = tokio::time::sleep_until(renew_at) => {}
        }
        if !keeper.write().await {
            return;
        }
    }
    keeper.lease.row.released = true;
    let released = keeper.write().await;
    tracing::info!(epoch = keeper.lease.row.epoch, released, "duty given up");
}

struct Keeper<O> {
    outside: Arc<O>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    /// When a write under the duty last succeeded.
    renewed_ms: Arc<AtomicU64>,
}

impl<O: Outside> Keeper<O> {
    /// Writes until it is done; `false` when another daemon holds the duty.
    async fn write(&mut self) -> bool {
        loop {
            let transaction = self.transaction();
            let sent_ms = steady_ms();
            match self.health.write(self.outside.transact(&transaction)).await {
                Ok(version) => {
                    // Others may have seen the row change any time since.
                    self.renewed_ms.store(sent_ms, Ordering::Relaxed);
                    self.lease.row.beat += 1;
                    self.lease.version = version;
                    return true;
                }
                Err(StoreError::Conflict(rows)) => {
                    if !self.is_ours(&rows) {
                        return false;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "the leader's lease has to be renewed again");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Whether the row that is there now is one that this daemon wrote, with
    /// a write whose answer was lost.
    fn is_ours(&mut self, rows: &[(Table, Row)]) -> bool {
        let there =
            rows.iter().find(|(table, row)| *table == Table::Duty && row.key == LEADER_LEASE_KEY);
        let read = there.and_then(|(_, row)| Some((row.version, row.value.as_ref()?)));
        let Some((version, value)) = read else { return false };
        let Ok(row) = serde_json::from_slice::<LeaderLease>(value) else { return false };
        let ours = row.holder == self.lease.row.holder
            && row.incarnation == self.lease.row.incarnation
            && row.epoch == self.lease.row.epoch;
        if ours {
            self.lease.version = version;
            self.lease.row.beat = row.beat + 1;
        } else {
            tracing::warn!(holder = row.holder, epoch = row.epoch, "another daemon schedules now");
        }
        ours
    }

    fn next_row(&self) -> LeaderLease {
        let row = &self.lease.row;
        let held_ms = steady_ms().saturating_sub(self.lease.acquired_ms);
        let earlier_extends_ms = row.earlier_extends_ms.saturating_sub(held_ms);
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
