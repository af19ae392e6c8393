//! Keeps the duty's row, and writes the scheduler's batches under its version.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_pool::JobId;
use stoatwell_pool::Progress;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::steady_ms;
use crate::duty::DutyRow;
use crate::duty::RENEW_MS;
use crate::health::StoreHealth;
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::Transaction;

/// The key of the one row of [`Table::Duty`].
pub const DUTY_KEY: &str = "scheduler";
/// After a write that the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// After a write the next batch is on its way; a renewal waits this long for it.
const NEXT_BATCH_WAIT: Duration = Duration::from_millis(20);
/// A write that took longer is logged; the usual ones take 10 to 40 ms.
const SLOW_MS: u64 = 100;

/// The duty as this daemon holds it.
#[derive(Clone, Debug)]
pub struct Held {
    /// The row.
    pub row: DutyRow,
    /// Its version.
    pub version: u64,
    /// When it was won.
    pub won_ms: u64,
}

/// Rows to be written together.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Its number.
    pub number: u64,
    /// Progress of jobs.
    pub puts: Vec<(JobId, Progress)>,
    /// Jobs of which nothing shall be left.
    pub removes: Vec<JobId>,
}

/// Renews the duty and writes batches until another daemon holds it or `stop`
/// fires; then it is released.
pub async fn keep_duty<O: Outside>(
    outside: Arc<O>,
    held: Held,
    health: Arc<StoreHealth>,
    mut batches: mpsc::Receiver<Batch>,
    mut stop: watch::Receiver<bool>,
    renewed_ms: Arc<AtomicU64>,
    committed: impl Fn(u64),
) {
    let mut keeper = Keeper { outside, held, health, renewed_ms };
    let mut renew_at = Instant::now() + Duration::from_millis(RENEW_MS);
    loop {
        let batch = tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            batch = batches.recv() => match batch {
                Some(batch) => Some(batch),
                None => return,
            },
            () = tokio::time::sleep_until(renew_at) => None,
        };
        // A batch carries the renewal along: two writes, one after the other,
        // would halve what gets through while the store is slow.
        let renews = renew_at <= Instant::now() + Duration::from_millis(RENEW_MS / 2);
        if !keeper.write(batch.as_ref(), renews).await {
            return;
        }
        if renews {
            renew_at = Instant::now() + Duration::from_millis(RENEW_MS);
        }
        renew_at = renew_at.max(Instant::now() + NEXT_BATCH_WAIT);
        if let Some(batch) = batch {
            committed(batch.number);
        }
    }
    keeper.held.row.released = true;
    let released = keeper.write(None, true).await;
    tracing::info!(epoch = keeper.held.row.epoch, released, "duty given up");
}

struct Keeper<O> {
    outside: Arc<O>,
    held: Held,
    health: Arc<StoreHealth>,
    /// When a write under the duty last succeeded.
    renewed_ms: Arc<AtomicU64>,
}

impl<O: Outside> Keeper<O> {
    /// Writes until it is done; `false` when another daemon holds the duty.
    ///
    /// After a write without answer the row itself is rewritten with the next
    /// try. If the lost one were carried out seconds later it would put old
    /// progress over new; the row's new version keeps it from that.
    async fn write(&mut self, batch: Option<&Batch>, renews: bool) -> bool {
        let mut rewrites = renews;
        loop {
            let transaction = self.transaction(batch, rewrites);
            let sent_ms = steady_ms();
            match self.health.write(self.outside.transact(&transaction)).await {
                Ok(version) => {
                    // Others may have seen the row change any time since.
                    self.renewed_ms.store(sent_ms, Ordering::Relaxed);
                    let took_ms = steady_ms().saturating_sub(sent_ms);
                    let rows = transaction.put.len();
                    metrics::histogram!("stoatwell_commit_ms").record(took_ms as f64);
                    if took_ms > SLOW_MS {
                        tracing::info!(took_ms, rows, "slow write of the scheduler");
                    }
                    if rewrites {
                        self.held.row.beat += 1;
                        self.held.version = version;
                    }
                    return true;
                }
                Err(StoreError::Conflict(rows)) => {
                    if !self.is_ours(&rows) {
                        return false;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "scheduler's write has to be tried again");
                    rewrites = true;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Whether the row that is there now is one that this daemon wrote, with
    /// a write whose answer was lost.
    fn is_ours(&mut self, rows: &[(Table, Row)]) -> bool {
        let there = rows.iter().find(|(table, row)| *table == Table::Duty && row.key == DUTY_KEY);
        let read = there.and_then(|(_, row)| Some((row.version, row.value.as_ref()?)));
        let Some((version, value)) = read else { return false };
        let Ok(row) = serde_json::from_slice::<DutyRow>(value) else { return false };
        let ours = row.holder == self.held.row.holder
            && row.incarnation == self.held.row.incarnation
            && row.epoch == self.held.row.epoch;
        if ours {
            self.held.version = version;
            self.held.row.beat = row.beat + 1;
        } else {
            tracing::warn!(holder = row.holder, epoch = row.epoch, "another daemon schedules now");
        }
        ours
    }

    fn next_row(&self) -> DutyRow {
        let row = &self.held.row;
        let held_ms = steady_ms().saturating_sub(self.held.won_ms);
        let earlier_extends_ms = row.earlier_extends_ms.saturating_sub(held_ms);
        DutyRow { beat: row.beat + 1, earlier_extends_ms, ..row.clone() }
    }

    fn transaction(&self, batch: Option<&Batch>, rewrites: bool) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.expect.push((Table::Duty, DUTY_KEY.to_owned(), self.held.version));
        if rewrites {
            let row = self.next_row();
            transaction.put.push((Table::Duty, DUTY_KEY.to_owned(), encode(&row)));
        }
        let Some(batch) = batch else { return transaction };
        for (job, progress) in &batch.puts {
            transaction.put.push((Table::Progress, job.to_string(), encode(progress)));
        }
        for job in &batch.removes {
            for table in [Table::Jobs, Table::Progress, Table::Cancels] {
                transaction.remove.push((table, job.to_string()));
            }
        }
        transaction
    }
}

/// A row's value.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        // None of the row types holds anything that JSON cannot say.
        tracing::error!(%error, "a row cannot be written");
        Vec::new()
    })
}
