//! Calls to the store, as one daemon sends them to another.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::commit::LEADER_LEASE_KEY;
use crate::manifest::Manifest;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Rows;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WorkerChanges;
use crate::relay::path::OwnOutcome;

/// Time limit of a relayed write or read of one row. It is shorter than the timeout of a write of
/// jobs, so that the failure is counted against the daemon that did not answer.
const SHORT_LIMIT_MS: u64 = 500;
/// Time limit of a relayed read of a page.
const PAGE_LIMIT_MS: u64 = 1_000;
/// Time limit of a relayed read of a whole table, and of a long poll beyond its wait.
const LONG_LIMIT_MS: u64 = 1_500;

/// A call to the store. It carries the conditions of the original call unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// [`Platform::transact`].
    Transact(Transaction),
    /// [`Platform::read`].
    Read(Table, String),
    /// [`Platform::read_all`].
    ReadAll(Table),
    /// [`Platform::poll_changes`].
    PollChanges {
        /// The table.
        table: Table,
        /// The version after which changes are returned.
        after: u64,
        /// How long to wait for the first change.
        wait_ms: u64,
    },
    /// [`Platform::workers`].
    Workers,
    /// [`Platform::poll_worker_changes`].
    PollWorkerChanges {
        /// The version after which changes are returned.
        after: u64,
        /// How long to wait for the first change.
        wait_ms: u64,
    },
    /// [`Platform::manifest`].
    Manifest,
    /// [`Platform::poll_manifest`].
    PollManifest {
        /// The version after which a manifest is returned.
        after: u64,
        /// How long to wait for it.
        wait_ms: u64,
    },
    /// [`Platform::confirm_manifest`].
    ConfirmManifest(u64),
    /// [`Platform::read_page`].
    ReadPage {
        /// The table.
        table: Table,
        /// The index of the partition.
        partition: usize,
        /// The key that the rows follow.
        after: String,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The version of the rows that were written.
    Written(u64),
    /// The row, if it exists.
    Row(Option<Row>),
    /// The rows of a table, or its changes.
    Rows(Rows),
    /// The list of workers, or its changes.
    Workers(WorkerChanges),
    /// The manifest, and the version from which to poll.
    Manifest(Option<Manifest>, u64),
    /// Whether a manifest is the newest.
    Confirmation(Confirmation),
}

impl StoreCall {
    /// A small read that shows whether the store answers.
    pub fn probe() -> Self {
        Self::Read(Table::Duty, LEADER_LEASE_KEY.to_owned())
    }

    /// Whether the call may change rows.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_))
    }

    /// Whether the call reads a whole table, or waits for changes.
    pub fn is_long(&self) -> bool {
        !matches!(
            self,
            Self::Transact(_) | Self::Read(..) | Self::ReadPage { .. } | Self::ConfirmManifest(_)
        )
    }

    /// The approximate size of what the call writes, in bytes.
    pub fn bytes(&self) -> usize {
        let Self::Transact(transaction) = self else { return 0 };
        written_bytes(transaction)
    }

    /// How long to wait for the result.
    pub fn limit(&self) -> Duration {
        let limit_ms = match self {
            Self::Transact(_) | Self::Read(..) => SHORT_LIMIT_MS,
            Self::ReadPage { .. } => PAGE_LIMIT_MS,
            Self::PollChanges { wait_ms, .. }
            | Self::PollWorkerChanges { wait_ms, .. }
            | Self::PollManifest { wait_ms, .. } => wait_ms + LONG_LIMIT_MS,
            Self::ReadAll(_) | Self::Workers | Self::Manifest | Self::ConfirmManifest(_) => {
                LONG_LIMIT_MS
            }
        };
        Duration::from_millis(limit_ms)
    }

    /// Makes the call.
    pub async fn make(self, platform: &impl Platform) -> Result<StoreReply, StoreError> {
        Ok(match self {
            Self::Transact(transaction) => {
                StoreReply::Written(platform.transact(&transaction).await?)
            }
            Self::Read(table, key) => StoreReply::Row(platform.read(table, &key).await?),
            Self::ReadAll(table) => StoreReply::Rows(platform.read_all(table).await?),
            Self::PollChanges { table, after, wait_ms } => {
                StoreReply::Rows(platform.poll_changes(table, after, wait_ms).await?)
            }
            Self::Workers => StoreReply::Workers(platform.workers().await?),
            Self::PollWorkerChanges { after, wait_ms } => {
                StoreReply::Workers(platform.poll_worker_changes(after, wait_ms).await?)
            }
            Self::Manifest => {
                let (manifest, version) = platform.manifest().await?;
                StoreReply::Manifest(manifest, version)
            }
            Self::PollManifest { after, wait_ms } => {
                let (manifest, version) = platform.poll_manifest(after, wait_ms).await?;
                StoreReply::Manifest(manifest, version)
            }
            Self::ReadPage { table, partition, after } => {
                StoreReply::Rows(platform.read_page(table, partition, &after).await?)
            }
            Self::ConfirmManifest(row_version) => {
                StoreReply::Confirmation(platform.confirm_manifest(row_version).await?)
            }
        })
    }
}

/// The approximate size of a transaction, in bytes.
pub(crate) fn written_bytes(transaction: &Transaction) -> usize {
    transaction.put.iter().map(|(_, key, value)| key.len() + value.len()).sum()
}

/// What a result of a direct call says about its path.
pub(crate) fn own_outcome<T>(result: &Result<T, StoreError>) -> OwnOutcome {
    match result {
        Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost | StoreError::Invalid) => {
            OwnOutcome::Answered
        }
        Err(StoreError::Refused) => OwnOutcome::Refused,
        Err(StoreError::NoAnswer) => OwnOutcome::NoAnswer,
    }
}
