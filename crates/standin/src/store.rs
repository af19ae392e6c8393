//! The in-memory table and object store.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::Transaction;

/// Upper bound on the rows of one scan, regardless of the limit in the call.
const SCAN_ROWS_MAX: usize = 1_000;

/// A table of versioned rows, and an object store.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<String, (u64, String)>,
    objects: HashMap<String, String>,
    version: u64,
    counts: StoreCounts,
}

/// Statistics of the calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounts {
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions without effect because a check failed.
    pub conflicts: u64,
    /// Rows written or removed by committed transactions.
    pub rows_written: u64,
    /// Reads and scans of the table.
    pub reads: u64,
    /// Calls to the object store.
    pub objects: u64,
    /// Rows that the table has now.
    pub rows: u64,
}

impl Store {
    /// Executes a call. The instance list is not kept here; asking for it returns an empty one.
    pub fn call(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Transact(transaction) => self.transact(transaction),
            StoreCall::Read { keys } => {
                self.counts.reads += 1;
                StoreReply::Rows { rows: keys.iter().map(|key| self.row(key)).collect() }
            }
            StoreCall::Scan { prefix, after, limit } => self.scan(&prefix, after, limit),
            StoreCall::PutObject { key, body } => {
                self.counts.objects += 1;
                self.objects.insert(key, body);
                StoreReply::ObjectStored
            }
            StoreCall::GetObject { key } => {
                self.counts.objects += 1;
                StoreReply::Object { body: self.objects.get(&key).cloned() }
            }
            StoreCall::DeleteObject { key } => {
                self.counts.objects += 1;
                self.objects.remove(&key);
                StoreReply::ObjectStored
            }
            StoreCall::Instances { .. } => StoreReply::Instances { instances: Vec::new() },
        }
    }

    /// Statistics since the start.
    pub fn counts(&self) -> StoreCounts {
        StoreCounts { rows: self.rows.len() as u64, ..self.counts }
    }

    fn transact(&mut self, transaction: Transaction) -> StoreReply {
        let mut conflicts = Vec::new();
        for check in &transaction.checks {
            let row = self.row(&check.key);
            if row.version != check.version {
                conflicts.push(row);
            }
        }
        if !conflicts.is_empty() {
            self.counts.conflicts += 1;
            return StoreReply::Conflict { rows: conflicts };
        }
        self.version += 1;
        self.counts.commits += 1;
        self.counts.rows_written += (transaction.puts.len() + transaction.deletes.len()) as u64;
        for put in transaction.puts {
            self.rows.insert(put.key, (self.version, put.value));
        }
        for key in transaction.deletes {
            self.rows.remove(&key);
        }
        StoreReply::Committed { version: self.version }
    }

    fn scan(&mut self, prefix: &str, after: String, limit: u32) -> StoreReply {
        self.counts.reads += 1;
        let start = if after.is_empty() { prefix.to_owned() } else { after.clone() };
        let limit = SCAN_ROWS_MAX.min(limit as usize);
        let mut rows = Vec::new();
        for (key, (version, value)) in self.rows.range(start..) {
            if *key == after {
                continue;
            }
            if !key.starts_with(prefix) || rows.len() == limit {
                break;
            }
            rows.push(Row { key: key.clone(), version: *version, value: value.clone() });
        }
        StoreReply::Rows { rows }
    }

    fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        Row { key: key.to_owned(), version, value }
    }
}
