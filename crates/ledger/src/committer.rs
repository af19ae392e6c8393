//! Group commit: combines many small writes into few transactions.
//!
//! The table handles several hundred writes per second from all daemons together. Each
//! daemon therefore has at most one transaction in flight, fills it with the waiting
//! writes, and limits the rate of transactions. After an outage, the same limit applies
//! to the backlog.
//!
//! A response can be lost after the transaction took effect. The same transaction is then
//! sent again. Its checks fail, and the write ids in the returned rows show that the rows
//! were written when it was sent first.

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

const BACKOFF_BASE_MS: u64 = 50;
const BACKOFF_MAX_MS: u64 = 5_000;
/// Number of consecutive failures after which new work is refused instead of queued.
const FAILURES_BEFORE_REFUSAL: u32 = 3;

/// Rows that one caller wants written atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Expected row versions. The row of the first check contains the write id.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to remove.
    pub deletes: Vec<String>,
    /// Unique identifier of this write, also contained in the written row.
    pub write_id: u64,
    /// Time from which the write is withdrawn, unless it may have been sent. `None` means
    /// never.
    pub expires_ms: Option<UnixMs>,
}

/// Final result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The write took effect.
    Written {
        /// Version of the written rows.
        version: u64,
    },
    /// The write had no effect, because a row did not have the expected version.
    Conflict {
        /// Current state of that row.
        row: Row,
    },
    /// The write was withdrawn before it was sent, so it had no effect and never will.
    NotWritten,
}

/// Queue of the writes of one daemon.
#[derive(Debug)]
pub struct Committer {
    transaction_rows_max: usize,
    transactions_per_second: u64,
    waiting: VecDeque<PendingWrite>,
    in_flight: Vec<PendingWrite>,
    consecutive_failures: u32,
    not_before_ms: UnixMs,
    tokens_milli: u64,
    refilled_ms: UnixMs,
    stats: CommitStats,
}

/// Counters of the committer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CommitStats {
    /// Number of transactions sent.
    pub transactions: u64,
    /// Number of writes that took effect.
    pub written: u64,
    /// Number of writes that failed because of a conflict.
    pub conflicts: u64,
    /// Number of transactions without a response.
    pub unanswered: u64,
    /// Number of writes that took effect although their response was lost.
    pub recovered: u64,
    /// Number of writes withdrawn before they were sent.
    pub not_written: u64,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    write: Write,
    // Set once a transaction that contained this write got no response.
    may_be_written: bool,
}

#[derive(Deserialize)]
struct WriteIdField {
    write_id: u64,
}

impl Committer {
    /// Creates an empty queue.
    ///
    /// `transaction_rows_max` limits the rows of a transaction, except that a single
    /// write may exceed it.
    pub fn new(transaction_rows_max: u64, transactions_per_second: u64) -> Self {
        Self {
            transaction_rows_max: transaction_rows_max as usize,
            transactions_per_second,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            consecutive_failures: 0,
            not_before_ms: 0,
            tokens_milli: 1_000,
            refilled_ms: 0,
            stats: CommitStats::default(),
        }
    }

    /// Adds a write to the queue; its result will be returned with `ticket`.
    pub fn submit(&mut self, ticket: u64, write: Write) {
        self.waiting.push_back(PendingWrite { ticket, write, may_be_written: false });
    }

    /// Whether the store keeps failing, so that new work that needs it should be refused
    /// immediately.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURES_BEFORE_REFUSAL
    }

    /// Number of writes without a result.
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Counters since the start of the daemon.
    pub fn stats(&self) -> CommitStats {
        self.stats
    }

    /// Withdraws the writes that have expired and certainly were never sent.
    pub fn take_expired(&mut self, now_ms: UnixMs) -> Vec<(u64, CommitResult)> {
        let mut results = Vec::new();
        self.waiting.retain(|pending| {
            let has_expired =
                pending.write.expires_ms.is_some_and(|expires_ms| expires_ms <= now_ms);
            if has_expired && !pending.may_be_written {
                results.push((pending.ticket, CommitResult::NotWritten));
                return false;
            }
            true
        });
        self.stats.not_written += results.len() as u64;
        results
    }

    /// Returns the next transaction to send; `None` while one is in flight, nothing waits,
    /// or the rate limit or the backoff delays it.
    pub fn due(&mut self, now_ms: UnixMs) -> Option<Transaction> {
        self.refill_tokens(now_ms);
        let is_blocked = !self.in_flight.is_empty() || self.waiting.is_empty();
        if is_blocked || now_ms < self.not_before_ms || self.tokens_milli < 1_000 {
            return None;
        }
        self.tokens_milli -= 1_000;
        let mut transaction = Transaction::default();
        let mut checked_keys = HashSet::new();
        let mut rows = 0;
        while let Some(pending) = self.waiting.front() {
            let write = &pending.write;
            rows += write.puts.len() + write.deletes.len();
            let is_full = rows > self.transaction_rows_max && !self.in_flight.is_empty();
            // One transaction cannot check the version of a row for two writes of that row.
            let repeats_row = write.checks.iter().any(|check| checked_keys.contains(&check.key));
            if is_full || repeats_row {
                break;
            }
            checked_keys.extend(write.checks.iter().map(|check| check.key.clone()));
            transaction.checks.extend(write.checks.iter().cloned());
            transaction.puts.extend(write.puts.iter().cloned());
            transaction.deletes.extend(write.deletes.iter().cloned());
            self.in_flight.extend(self.waiting.pop_front());
        }
        self.stats.transactions += 1;
        Some(transaction)
    }

    /// Handles the response to the transaction in flight and returns results by ticket.
    pub fn on_reply(
        &mut self,
        now_ms: UnixMs,
        reply: &Result<StoreReply, CallError>,
    ) -> Vec<(u64, CommitResult)> {
        let batch = std::mem::take(&mut self.in_flight);
        match reply {
            Ok(StoreReply::Committed { version }) => {
                self.reset_backoff();
                self.stats.written += batch.len() as u64;
                let result = CommitResult::Written { version: *version };
                batch.into_iter().map(|pending| (pending.ticket, result.clone())).collect()
            }
            Ok(StoreReply::Conflict { rows }) => {
                self.reset_backoff();
                self.resolve_conflict(batch, rows)
            }
            Ok(_) | Err(_) => {
                let unanswered = !matches!(reply, Err(error) if error.is_without_effect());
                self.stats.unanswered += u64::from(unanswered);
                self.consecutive_failures += 1;
                let backoff_ms = BACKOFF_BASE_MS << self.consecutive_failures.min(7);
                self.not_before_ms = now_ms + backoff_ms.min(BACKOFF_MAX_MS);
                for mut pending in batch.into_iter().rev() {
                    pending.may_be_written |= unanswered;
                    self.waiting.push_front(pending);
                }
                Vec::new()
            }
        }
    }

    /// Resolves the writes whose rows conflict, and queues the others again.
    fn resolve_conflict(
        &mut self,
        batch: Vec<PendingWrite>,
        rows: &[Row],
    ) -> Vec<(u64, CommitResult)> {
        let mut results = Vec::new();
        let mut resubmitted = Vec::new();
        for pending in batch {
            let checks = &pending.write.checks;
            let conflicting_row =
                rows.iter().find(|row| checks.iter().any(|check| check.key == row.key));
            let Some(row) = conflicting_row else {
                resubmitted.push(pending);
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
        for pending in resubmitted.into_iter().rev() {
            self.waiting.push_front(pending);
        }
        results
    }

    fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.not_before_ms = 0;
    }

    /// Refills the token bucket, which holds at most one second's worth of transactions.
    fn refill_tokens(&mut self, now_ms: UnixMs) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        let tokens_max_milli = self.transactions_per_second * 1_000;
        self.tokens_milli =
            (self.tokens_milli + elapsed_ms * self.transactions_per_second).min(tokens_max_milli);
    }
}

fn write_id(row: &Row) -> Option<u64> {
    let found: WriteIdField = serde_json::from_str(&row.value).ok()?;
    Some(found.write_id)
}
