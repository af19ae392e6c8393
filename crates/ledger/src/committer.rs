//! Many small writes in few transactions.
//!
//! The table takes several hundred writes a second for the whole cell, so each
//! daemon has at most one transaction in flight, fills it with all that waits,
//! and sends no more of them than its budget says. After an outage the same
//! budget paces the catching up.
//!
//! An answer can be lost after the write took effect. The same transaction is
//! then sent again: its checks fail if it had taken effect, and the rows that
//! come back carry our write ids, which tells.

use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::UnixMs;
use stoatwell_platform::CallError;
use stoatwell_platform::Check;
use stoatwell_platform::Put;
use stoatwell_platform::Row;
use stoatwell_platform::StoreReply;
use stoatwell_platform::Transaction;

const BACKOFF_MS_MIN: u64 = 50;
const BACKOFF_MS_MAX: u64 = 5_000;
/// Failures in a row after which new work is refused rather than queued.
const FAILURES_TO_REFUSE: u32 = 3;

/// One caller's rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// What must hold; the first check's row carries the write id.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to remove.
    pub deletes: Vec<String>,
    /// Names this write.
    pub write_id: u64,
    /// After this time it is taken back if it surely was not sent.
    pub expires_ms: Option<UnixMs>,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// It took effect; its rows have this version.
    Written {
        /// The version.
        version: u64,
    },
    /// It had no effect; this row is not as expected.
    Conflict {
        /// The row as it is.
        row: Row,
    },
    /// It had no effect and never will.
    NotWritten,
}

/// Writes of one daemon.
#[derive(Debug)]
pub struct Committer {
    rows_max: usize,
    per_second: u64,
    waiting: VecDeque<Pending>,
    in_flight: Vec<Pending>,
    failures: u32,
    not_before_ms: UnixMs,
    allowance_milli: u64,
    refilled_ms: UnixMs,
    stats: CommitStats,
}

/// Counters of the committer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CommitStats {
    /// Transactions sent.
    pub transactions: u64,
    /// Writes that took effect.
    pub written: u64,
    /// Writes that met a conflict.
    pub conflicts: u64,
    /// Transactions without an answer.
    pub unanswered: u64,
    /// Writes found to have taken effect though their answer was lost.
    pub recovered: u64,
    /// Writes taken back before they were sent.
    pub not_written: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    ticket: u64,
    write: Write,
    // Set once a transaction with it went without an answer.
    may_be_written: bool,
}

#[derive(Deserialize)]
struct WriteIdOnly {
    write_id: u64,
}

impl Committer {
    /// Nothing to write yet.
    pub fn new(rows_max: u64, per_second: u64) -> Self {
        Self {
            rows_max: rows_max as usize,
            per_second,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            failures: 0,
            not_before_ms: 0,
            allowance_milli: 1_000,
            refilled_ms: 0,
            stats: CommitStats::default(),
        }
    }

    /// Adds a write; its result comes under this ticket.
    pub fn submit(&mut self, ticket: u64, write: Write) {
        self.waiting.push_back(Pending { ticket, write, may_be_written: false });
    }

    /// Whether new work that needs the store should be refused at once.
    pub fn is_failing(&self) -> bool {
        self.failures >= FAILURES_TO_REFUSE
    }

    /// Writes that are not finished.
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Counters so far.
    pub fn stats(&self) -> CommitStats {
        self.stats
    }

    /// Takes back what waited too long and was surely never sent.
    pub fn take_expired(&mut self, now_ms: UnixMs) -> Vec<(u64, CommitResult)> {
        let mut results = Vec::new();
        self.waiting.retain(|pending| {
            let late = pending.write.expires_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if late && !pending.may_be_written {
                results.push((pending.ticket, CommitResult::NotWritten));
                return false;
            }
            true
        });
        self.stats.not_written += results.len() as u64;
        results
    }

    /// The transaction that is due, if one is.
    pub fn due(&mut self, now_ms: UnixMs) -> Option<Transaction> {
        self.refill(now_ms);
        let waits = !self.in_flight.is_empty() || self.waiting.is_empty();
        if waits || now_ms < self.not_before_ms || self.allowance_milli < 1_000 {
            return None;
        }
        self.allowance_milli -= 1_000;
        let mut transaction = Transaction::default();
        let mut keys = HashSet::new();
        let mut rows = 0;
        while let Some(pending) = self.waiting.front() {
            let write = &pending.write;
            rows += write.puts.len() + write.deletes.len();
            let full = rows > self.rows_max && !self.in_flight.is_empty();
            // Two writes of one row cannot check its version in one transaction.
            let repeats = write.checks.iter().any(|check| keys.contains(&check.key));
            if full || repeats {
                break;
            }
            keys.extend(write.checks.iter().map(|check| check.key.clone()));
            transaction.checks.extend(write.checks.iter().cloned());
            transaction.puts.extend(write.puts.iter().cloned());
            transaction.deletes.extend(write.deletes.iter().cloned());
            self.in_flight.extend(self.waiting.pop_front());
        }
        self.stats.transactions += 1;
        Some(transaction)
    }

    /// Takes the answer to the transaction; gives the results by ticket.
    pub fn on_reply(
        &mut self,
        now_ms: UnixMs,
        reply: &Result<StoreReply, CallError>,
    ) -> Vec<(u64, CommitResult)> {
        let batch = std::mem::take(&mut self.in_flight);
        match reply {
            Ok(StoreReply::Committed { version }) => {
                self.recover();
                self.stats.written += batch.len() as u64;
                let result = CommitResult::Written { version: *version };
                batch.into_iter().map(|pending| (pending.ticket, result.clone())).collect()
            }
            Ok(StoreReply::Conflict { rows }) => {
                self.recover();
                self.split(batch, rows)
            }
            Ok(_) | Err(_) => {
                let unanswered = !matches!(reply, Err(error) if error.is_without_effect());
                self.stats.unanswered += u64::from(unanswered);
                self.failures += 1;
                let backoff_ms = BACKOFF_MS_MIN << self.failures.min(7);
                self.not_before_ms = now_ms + backoff_ms.min(BACKOFF_MS_MAX);
                for mut pending in batch.into_iter().rev() {
                    pending.may_be_written |= unanswered;
                    self.waiting.push_front(pending);
                }
                Vec::new()
            }
        }
    }

    /// The writes that met the conflict get their result, the others go again.
    fn split(&mut self, batch: Vec<Pending>, rows: &[Row]) -> Vec<(u64, CommitResult)> {
        let mut results = Vec::new();
        let mut again = Vec::new();
        for pending in batch {
            let keys = &pending.write.checks;
            let met = rows.iter().find(|row| keys.iter().any(|check| check.key == row.key));
            let Some(row) = met else {
                again.push(pending);
                continue;
            };
            if pending.may_be_written && write_id(row) == Some(pending.write.write_id) {
                self.stats.recovered += 1;
                self.stats.written += 1;
                results.push((pending.ticket, CommitResult::Written { version: row.version }));
                continue;
            }
            self.stats.conflicts += 1;
            results.push((pending.ticket, CommitResult::Conflict { row: row.clone() }));
        }
        for pending in again.into_iter().rev() {
            self.waiting.push_front(pending);
        }
        results
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.not_before_ms = 0;
    }

    fn refill(&mut self, now_ms: UnixMs) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        let full_milli = self.per_second * 1_000;
        self.allowance_milli = (self.allowance_milli + passed_ms * self.per_second).min(full_milli);
    }
}

fn write_id(row: &Row) -> Option<u64> {
    let found: WriteIdOnly = serde_json::from_str(&row.value).ok()?;
    Some(found.write_id)
}
