//! Values that are longer than a row of the store.
//!
//! The store bounds the length of a row, and a job's row may be longer: it grows with the tasks, and
//! with the workers that run them. [`LongRows`] stands between the daemon and its store. It splits a
//! value that is too long over several rows of the same partition, which are written in one
//! transaction, and puts them together when they are read. Nothing else knows of it, and rows that fit
//! are stored as they are.
//!
//! A transaction is bounded, too. One that is longer is not sent: it is [`StoreError::Invalid`], and
//! its writer sends its rows in several.

mod parts;

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use stoatwell_model::WorkerId;
use stoatwell_pool::CallError;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PaceCall;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;

use crate::long_rows::parts::Joined;
use crate::long_rows::parts::is_head;
use crate::long_rows::parts::join;
use crate::long_rows::parts::key_after_parts;
use crate::long_rows::parts::part_key;
use crate::long_rows::parts::split;
use crate::manifest::Manifest;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Rows;
use crate::platform::Shard;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WorkerChanges;
use crate::platform::shard;

pub(crate) use crate::long_rows::parts::value_key;

/// Reads of a value that is rewritten meanwhile.
const READ_ATTEMPTS_MAX: usize = 4;
/// Approximate size of an entry of a transaction beside its value.
const ENTRY_BYTES: usize = 120;

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Longest value of a row, in bytes as they are stored.
    pub row_bytes_max: usize,
    /// Longest transaction, in bytes as it is sent.
    pub transaction_bytes_max: usize,
    /// Most entries of a transaction: conditions, rows to write and rows to remove.
    pub transaction_entries_max: usize,
}

impl StoreLimits {
    /// Longest value that a transaction can write beside the conditions that protect it, in bytes.
    pub fn value_bytes_max(&self) -> usize {
        const OTHER_ENTRIES: usize = 8;
        let entries = self.transaction_entries_max.saturating_sub(OTHER_ENTRIES);
        let entry_bytes = (entries + OTHER_ENTRIES) * ENTRY_BYTES;
        let sent = self.transaction_bytes_max.saturating_sub(entry_bytes) / 4 * 3;
        sent.min(entries * self.row_bytes_max)
    }
}

/// A store without a bound on the length of the rows of jobs.
#[derive(Debug)]
pub struct LongRows<P> {
    inner: Arc<P>,
    limits: StoreLimits,
    part_counts: Arc<Mutex<PartCounts>>,
}

/// The highest number of a row that follows the first one, for values that are or were split and may
/// have such rows.
type PartCounts = HashMap<(Table, String), usize>;

impl<P: Platform> LongRows<P> {
    /// Wraps a platform whose store has these limits.
    pub fn new(inner: Arc<P>, limits: StoreLimits) -> Self {
        Self { inner, limits, part_counts: Arc::default() }
    }

    /// The transaction with each long value split, and without rows that are left of longer ones.
    /// Also returns the number of rows after the first of each value that has any, or had.
    fn split_values<'a>(
        &self,
        transaction: &'a Transaction,
    ) -> Result<(Cow<'a, Transaction>, PartCounts), StoreError> {
        let known = self.part_counts();
        let row_bytes_max = self.limits.row_bytes_max;
        if known.is_empty()
            && transaction.put.iter().all(|(.., value)| value.len() <= row_bytes_max)
        {
            return self.check(Cow::Borrowed(transaction)).map(|rows| (rows, PartCounts::new()));
        }
        let mut split_transaction =
            Transaction { expect: transaction.expect.clone(), ..Transaction::default() };
        let mut written = PartCounts::new();
        for (table, key, value) in &transaction.put {
            let rows = split(value, row_bytes_max);
            if rows.len() > 1 && !matches!(shard(*table, key), Shard::Jobs(_)) {
                tracing::error!(%table, key, bytes = value.len(), "the value is too long for its row");
                return Err(StoreError::Invalid);
            }
            let part_count = rows.len() - 1;
            for (number, row) in rows.into_iter().enumerate() {
                let row_key = if number == 0 { key.clone() } else { part_key(key, number) };
                split_transaction.put.push((*table, row_key, row));
            }
            let id = (*table, key.clone());
            let earlier_count = known.get(&id).copied().unwrap_or(0);
            for number in part_count + 1..=earlier_count {
                split_transaction.remove.push((*table, part_key(key, number)));
            }
            if part_count > 0 || earlier_count > 0 {
                written.insert(id, part_count);
            }
        }
        for (table, key) in &transaction.remove {
            split_transaction.remove.push((*table, key.clone()));
            let id = (*table, key.clone());
            let Some(earlier_count) = known.get(&id).copied() else { continue };
            for number in 1..=earlier_count {
                split_transaction.remove.push((*table, part_key(key, number)));
            }
            written.insert(id, 0);
        }
        drop(known);
        self.check(Cow::Owned(split_transaction)).map(|rows| (rows, written))
    }

    /// Checks that a transaction is within the store's limits.
    fn check<'a>(
        &self,
        transaction: Cow<'a, Transaction>,
    ) -> Result<Cow<'a, Transaction>, StoreError> {
        let Transaction { expect, put, remove } = transaction.as_ref();
        let entries = expect.len() + put.len() + remove.len();
        let encoded = put.iter().map(|(.., value)| value.len().div_ceil(3) * 4);
        let bytes = entries * ENTRY_BYTES + encoded.sum::<usize>();
        if entries > self.limits.transaction_entries_max
            || bytes > self.limits.transaction_bytes_max
        {
            tracing::info!(entries, bytes, "a transaction is too long for the store");
            return Err(StoreError::Invalid);
        }
        Ok(transaction)
    }

    /// Records which values have rows after the first one, given the result of their write.
    fn record(&self, written: &PartCounts, result: &Result<u64, StoreError>) {
        let mut known = self.part_counts();
        for (id, count) in written {
            match result {
                Ok(_) if *count == 0 => {
                    known.remove(id);
                }
                Ok(_) => {
                    known.insert(id.clone(), *count);
                }
                // It may be carried out.
                Err(StoreError::NoAnswer) => {
                    let highest = known.entry(id.clone()).or_default();
                    *highest = (*highest).max(*count);
                }
                Err(_) => {}
            }
        }
    }

    /// Puts the values of a response together, and records which of them are split.
    fn join(&self, table: Table, rows: Vec<Row>) -> Joined {
        match table {
            Table::Jobs | Table::Progress | Table::Cancels => {}
            Table::Duty | Table::Daemons | Table::Fences => {
                return Joined { rows, ..Joined::default() };
            }
        }
        let joined = join(rows);
        if !joined.part_counts.is_empty() {
            let mut known = self.part_counts();
            for (key, count) in &joined.part_counts {
                let highest = known.entry((table, key.clone())).or_default();
                *highest = (*highest).max(*count);
            }
        }
        joined
    }

    /// Reads the rows that follow the first one of a value. `None` if they are of another version,
    /// because the value was rewritten or removed meanwhile.
    async fn read_parts(&self, table: Table, first: Row) -> Result<Option<Row>, StoreError> {
        let Shard::Jobs(partition) = shard(table, &first.key) else { return Ok(None) };
        let key = first.key.clone();
        let mut after = key.clone();
        let mut rows = vec![first];
        loop {
            let page = self.inner.read_page(table, partition, &after).await?;
            let found = page.rows.len();
            rows.extend(page.rows.into_iter().take_while(|row| value_key(&row.key) == key));
            let mut joined = self.join(table, rows.clone());
            if let Some(row) = joined.rows.pop() {
                return Ok(Some(row));
            }
            let last = rows.last().map(|row| row.key.clone()).unwrap_or_default();
            if found == 0 || !page.has_more || last == after {
                return Ok(None);
            }
            after = last;
        }
    }

    /// Replaces first rows of split values by the whole values.
    async fn complete(&self, rows: Vec<(Table, Row)>) -> Result<Vec<(Table, Row)>, StoreError> {
        let mut complete = Vec::with_capacity(rows.len());
        for (table, row) in rows {
            if !is_head(&row) {
                complete.push((table, row));
                continue;
            }
            if let Some(row) = self.read(table, &row.key).await? {
                complete.push((table, row));
            }
        }
        Ok(complete)
    }

    fn part_counts(&self) -> MutexGuard<'_, PartCounts> {
        self.part_counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: Platform> Platform for LongRows<P> {
    fn with_own_connections(self: &Arc<Self>) -> Arc<Self> {
        Arc::new(Self {
            inner: self.inner.with_own_connections(),
            limits: self.limits,
            part_counts: Arc::clone(&self.part_counts),
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let (split, written) = self.split_values(transaction)?;
        // A caller that waits no longer drops this call, and its write may be carried out.
        self.record(&written, &Err(StoreError::NoAnswer));
        let result = self.inner.transact(&split).await;
        self.record(&written, &result);
        match result {
            Err(StoreError::Conflict(rows)) => {
                // Nothing was written, whether or not the conflict can be told in full.
                let rows = self.complete(rows).await.map_err(|_error| StoreError::Refused)?;
                Err(StoreError::Conflict(rows))
            }
            result => result,
        }
    }

    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>, StoreError> {
        for _ in 0..READ_ATTEMPTS_MAX {
            let Some(row) = self.inner.read(table, key).await? else { return Ok(None) };
            if !is_head(&row) {
                return Ok(Some(row));
            }
            if let Some(row) = self.read_parts(table, row).await? {
                return Ok(Some(row));
            }
        }
        tracing::warn!(%table, key, "a value changes faster than it can be read");
        Err(StoreError::NoAnswer)
    }

    async fn read_all(&self, table: Table) -> Result<Rows, StoreError> {
        let read = self.inner.read_all(table).await?;
        let joined = self.join(table, read.rows);
        Ok(Rows { rows: joined.rows, ..read })
    }

    /// A page ends with a whole value.
    async fn read_page(
        &self,
        table: Table,
        partition: usize,
        after: &str,
    ) -> Result<Rows, StoreError> {
        let mut page = self.inner.read_page(table, partition, &key_after_parts(after)).await?;
        loop {
            let last_key = page.rows.last().map(|row| row.key.clone()).unwrap_or_default();
            let mut joined = self.join(table, page.rows.clone());
            let ends_within = joined.incomplete.iter().any(|key| value_key(&last_key) == key);
            // Rows without the first one of their value may fill a page.
            if !page.has_more || !(ends_within || joined.rows.is_empty()) {
                for key in std::mem::take(&mut joined.incomplete) {
                    joined.rows.extend(self.read(table, &key).await?);
                }
                joined.rows.sort_by(|one, other| one.key.cmp(&other.key));
                return Ok(Rows { rows: joined.rows, ..page });
            }
            let next = self.inner.read_page(table, partition, &last_key).await?;
            page.version = page.version.min(next.version);
            page.has_more = next.has_more;
            page.rows.extend(next.rows);
        }
    }

    async fn poll_changes(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> Result<Rows, StoreError> {
        let changes = self.inner.poll_changes(table, after, wait_ms).await?;
        let mut joined = self.join(table, changes.rows);
        for key in std::mem::take(&mut joined.incomplete) {
            // The rest may be in the next response, or the value was rewritten or removed since.
            joined.rows.extend(self.read(table, &key).await?);
        }
        Ok(Rows { rows: joined.rows, ..changes })
    }

    async fn workers(&self) -> Result<WorkerChanges, StoreError> {
        self.inner.workers().await
    }

    async fn poll_worker_changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<WorkerChanges, StoreError> {
        self.inner.poll_worker_changes(after, wait_ms).await
    }

    async fn manifest(&self) -> Result<(Option<Manifest>, u64), StoreError> {
        self.inner.manifest().await
    }

    async fn poll_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<(Option<Manifest>, u64), StoreError> {
        self.inner.poll_manifest(after, wait_ms).await
    }

    async fn confirm_manifest(&self, row_version: u64) -> Result<Confirmation, StoreError> {
        self.inner.confirm_manifest(row_version).await
    }

    async fn hold(&self, call: &HoldCall) -> Result<HoldReply, CallError> {
        self.inner.hold(call).await
    }

    async fn start(&self, call: &StartCall) -> Result<StartReply, CallError> {
        self.inner.start(call).await
    }

    async fn stop(&self, call: &StopCall) -> Result<(), CallError> {
        self.inner.stop(call).await
    }

    async fn pace(&self, call: &PaceCall) -> Result<(), CallError> {
        self.inner.pace(call).await
    }

    async fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> Option<Vec<Grant>> {
        self.inner.advise(step, workers, limit_ms).await
    }
}
