//! Fetches changes of the catalogue from the platform's table.
//!
//! The head is one small row, which is read about once per second. Changes are fetched
//! only if its revision has increased; a daemon that is new or far behind reads all items
//! instead. While the store is unavailable, the catalogue in force remains.

use stoatwell_model::UnixMs;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;

use crate::Catalogue;
use crate::Change;
use crate::Snapshot;
use crate::Versioned;
use crate::rows;

/// Maximum number of missing changes to fetch. A daemon further behind reads all items.
const CHANGES_BEHIND_MAX: u64 = 256;
const SCAN_ROWS: u32 = 500;

/// State of the polling of the catalogue.
#[derive(Clone, Debug)]
pub struct CatalogueWatcher {
    poll_ms: u64,
    next_poll_ms: UnixMs,
    phase: Phase,
    confirmed_ms: UnixMs,
    head_revision: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    ReadingHead,
    ReadingChanges,
    ReadingItems(Snapshot),
}

impl CatalogueWatcher {
    /// Creates a watcher whose first poll is due immediately.
    pub fn new(poll_ms: u64) -> Self {
        Self { poll_ms, next_poll_ms: 0, phase: Phase::Idle, confirmed_ms: 0, head_revision: 0 }
    }

    /// Time at which the catalogue in force was last confirmed to be the newest; 0 means
    /// never.
    pub fn confirmed_ms(&self) -> UnixMs {
        self.confirmed_ms
    }

    /// Makes the next poll due now, because a change was announced.
    pub fn poll_now(&mut self) {
        self.next_poll_ms = 0;
    }

    /// Returns the poll of the head row if it is due and no other call is in flight.
    pub fn due(&mut self, now_ms: UnixMs) -> Option<StoreCall> {
        if !matches!(self.phase, Phase::Idle) || now_ms < self.next_poll_ms {
            return None;
        }
        self.next_poll_ms = now_ms + self.poll_ms;
        self.phase = Phase::ReadingHead;
        Some(StoreCall::Read { keys: vec![rows::HEAD.to_owned()] })
    }

    /// Handles the rows of the last call, `None` if it failed, and returns the next call.
    pub fn on_rows(
        &mut self,
        now_ms: UnixMs,
        catalogue: &mut Catalogue,
        rows: Option<Vec<Row>>,
    ) -> Option<StoreCall> {
        let Some(rows) = rows else {
            self.phase = Phase::Idle;
            return None;
        };
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => None,
            Phase::ReadingHead => {
                self.head_revision = rows.first().map_or(0, rows::head_revision);
                self.on_head(now_ms, catalogue)
            }
            Phase::ReadingChanges => {
                for row in rows {
                    if let Ok(change) = serde_json::from_str::<Change>(&row.value) {
                        catalogue.apply(change);
                    }
                }
                self.mark_if_current(now_ms, catalogue);
                None
            }
            Phase::ReadingItems(snapshot) => Some(self.on_items(catalogue, snapshot, rows)),
        }
    }

    fn on_head(&mut self, now_ms: UnixMs, catalogue: &Catalogue) -> Option<StoreCall> {
        let local_revision = catalogue.revision();
        if self.head_revision <= local_revision {
            self.mark_if_current(now_ms, catalogue);
            return None;
        }
        if local_revision == 0 || self.head_revision - local_revision > CHANGES_BEHIND_MAX {
            self.phase = Phase::ReadingItems(Snapshot {
                revision: self.head_revision,
                ..Snapshot::default()
            });
            return Some(scan(rows::ITEMS, String::new()));
        }
        self.phase = Phase::ReadingChanges;
        Some(scan(rows::CHANGES, rows::change_key(local_revision)))
    }

    fn on_items(
        &mut self,
        catalogue: &mut Catalogue,
        mut snapshot: Snapshot,
        rows: Vec<Row>,
    ) -> StoreCall {
        let has_more = rows.len() as u32 == SCAN_ROWS;
        let last_key = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        for row in rows {
            let key = row.key.trim_start_matches(rows::ITEMS).to_owned();
            if let Ok(versioned) = serde_json::from_str::<Versioned>(&row.value) {
                snapshot.items.insert(key, versioned);
            }
        }
        if has_more {
            self.phase = Phase::ReadingItems(snapshot);
            return scan(rows::ITEMS, last_key);
        }
        // Items may be newer than the head that was read before them. The changes since
        // that head are fetched next; applying them again gives the same items.
        catalogue.replace(snapshot);
        self.phase = Phase::ReadingChanges;
        scan(rows::CHANGES, rows::change_key(catalogue.revision()))
    }

    /// Updates `confirmed_ms` if the catalogue has reached the revision of the head.
    fn mark_if_current(&mut self, now_ms: UnixMs, catalogue: &Catalogue) {
        if catalogue.revision() >= self.head_revision {
            self.confirmed_ms = now_ms;
        }
    }
}

fn scan(prefix: &str, after: String) -> StoreCall {
    StoreCall::Scan { prefix: prefix.to_owned(), after, limit: SCAN_ROWS }
}
