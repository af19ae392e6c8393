//! Jobs that were removed, of which the store may still return old rows.
//!
//! A job is removed from memory before its rows are. The removal of the rows may be refused or stay
//! without an answer for minutes, and what was read before it may be handled long after it. So a
//! job is remembered until its removal is durable and all rows that are still to be handled are
//! newer.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::JobId;

/// How long a removed job is remembered at least. Daemons that accept a submission also notify the
/// leader directly, and a notification has no version.
const RETENTION_MS: u64 = 120_000;

/// Submissions whose jobs were removed.
#[derive(Debug, Default)]
pub(crate) struct RemovedJobs {
    by_id: HashMap<JobId, Removed>,
    /// When each was removed, oldest first.
    order: VecDeque<(u64, JobId)>,
    /// The rows of submissions that are still to be handled were read at this version or later.
    read_version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Removed {
    /// When the submission was accepted, in Unix time. A later one under the same id is another
    /// job.
    accepted_unix_ms: u64,
    since_ms: u64,
    /// The store's version without the rows; `None` while their removal is not durable.
    version: Option<u64>,
}

impl RemovedJobs {
    /// Records that the job of a submission is removed from memory.
    pub fn insert(&mut self, removed_ms: u64, id: JobId, accepted_unix_ms: u64) {
        let removed = Removed { accepted_unix_ms, since_ms: removed_ms, version: None };
        self.by_id.insert(id, removed);
        self.order.push_back((removed_ms, id));
    }

    /// Records that the rows of a job are removed.
    pub fn record_durable(&mut self, id: JobId, version: u64) {
        if let Some(removed) = self.by_id.get_mut(&id) {
            removed.version = Some(version);
        }
    }

    /// Records that the rows of submissions that follow are not older than this version.
    pub fn record_read(&mut self, version: u64) {
        self.read_version = self.read_version.max(version);
    }

    /// Whether the job of this submission was removed.
    pub fn contains(&self, id: JobId, accepted_unix_ms: u64) -> bool {
        self.by_id.get(&id).is_some_and(|removed| removed.accepted_unix_ms == accepted_unix_ms)
    }

    /// Whether the store may still have rows of the removed job with this id.
    pub fn is_removal_pending(&self, id: JobId) -> bool {
        self.by_id.get(&id).is_some_and(|removed| removed.version.is_none())
    }

    /// Whether a job with this id was removed, and rows from before may still be handled.
    pub fn may_have_old_rows(&self, id: JobId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Forgets those of which no old row can follow.
    pub fn forget_expired(&mut self, now_ms: u64) {
        while let Some((removed_ms, id)) = self.order.front().copied() {
            if removed_ms + RETENTION_MS > now_ms {
                return;
            }
            // The id may have been removed once more since.
            let removed = self.by_id.get(&id).filter(|removed| removed.since_ms == removed_ms);
            if let Some(removed) = removed {
                if removed.version.is_none_or(|version| version > self.read_version) {
                    return;
                }
                self.by_id.remove(&id);
            }
            self.order.pop_front();
        }
    }
}
