//! Keeping up with the catalogue in the platform's table.
//!
//! The head is one small row, read about once a second. Only when it has
//! risen are the changes fetched; a daemon that is far behind or new reads all
//! items instead. While the store is away the catalogue in force stays.

use stoatwell_model::UnixMs;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;

use crate::Catalogue;
use crate::Change;
use crate::Snapshot;
use crate::Versioned;
use crate::rows;

/// Changes fetched one by one; a daemon further behind reads all items.
const BEHIND_MAX: u64 = 256;
const SCAN_ROWS: u32 = 500;

/// Where the following stands.
#[derive(Clone, Debug)]
pub struct CatalogueWatcher {
    poll_ms: u64,
    next_ms: UnixMs,
    phase: Phase,
    confirmed_ms: UnixMs,
    head: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Head,
    Changes,
    Items(Snapshot),
}

impl CatalogueWatcher {
    /// Starts with the first poll due at once.
    pub fn new(poll_ms: u64) -> Self {
        Self { poll_ms, next_ms: 0, phase: Phase::Idle, confirmed_ms: 0, head: 0 }
    }

    /// When the catalogue in force was last seen to be the newest; 0 is never.
    pub fn confirmed_ms(&self) -> UnixMs {
        self.confirmed_ms
    }

    /// Makes the next poll due now, because somebody told of a change.
    pub fn poll_now(&mut self) {
        self.next_ms = 0;
    }

    /// The call that is due, if one is.
    pub fn due(&mut self, now_ms: UnixMs) -> Option<StoreCall> {
        if !matches!(self.phase, Phase::Idle) || now_ms < self.next_ms {
            return None;
        }
        self.next_ms = now_ms + self.poll_ms;
        self.phase = Phase::Head;
        Some(StoreCall::Read { keys: vec![rows::HEAD.to_owned()] })
    }

    /// Takes the rows of the last call; `None` where it failed. Gives the next call.
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
            Phase::Head => {
                self.head = rows.first().map_or(0, rows::head_revision);
                self.after_head(now_ms, catalogue)
            }
            Phase::Changes => {
                for row in rows {
                    if let Ok(change) = serde_json::from_str::<Change>(&row.value) {
                        catalogue.apply(change);
                    }
                }
                self.confirm(now_ms, catalogue);
                None
            }
            Phase::Items(snapshot) => Some(self.on_items(catalogue, snapshot, rows)),
        }
    }

    fn after_head(&mut self, now_ms: UnixMs, catalogue: &Catalogue) -> Option<StoreCall> {
        let have = catalogue.revision();
        if self.head <= have {
            self.confirm(now_ms, catalogue);
            return None;
        }
        if have == 0 || self.head - have > BEHIND_MAX {
            self.phase = Phase::Items(Snapshot { revision: self.head, ..Snapshot::default() });
            return Some(scan(rows::ITEMS, String::new()));
        }
        self.phase = Phase::Changes;
        Some(scan(rows::CHANGES, rows::change_key(have)))
    }

    fn on_items(
        &mut self,
        catalogue: &mut Catalogue,
        mut snapshot: Snapshot,
        rows: Vec<Row>,
    ) -> StoreCall {
        let full = rows.len() as u32 == SCAN_ROWS;
        let last = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        for row in rows {
            let key = row.key.trim_start_matches(rows::ITEMS).to_owned();
            if let Ok(versioned) = serde_json::from_str::<Versioned>(&row.value) {
                snapshot.items.insert(key, versioned);
            }
        }
        if full {
            self.phase = Phase::Items(snapshot);
            return scan(rows::ITEMS, last);
        }
        // Items may be newer than the head that was read before them. The
        // changes since that head are fetched next and write the same again.
        catalogue.replace(snapshot);
        self.phase = Phase::Changes;
        scan(rows::CHANGES, rows::change_key(catalogue.revision()))
    }

    fn confirm(&mut self, now_ms: UnixMs, catalogue: &Catalogue) {
        if catalogue.revision() >= self.head {
            self.confirmed_ms = now_ms;
        }
    }
}

fn scan(prefix: &str, after: String) -> StoreCall {
    StoreCall::Scan { prefix: prefix.to_owned(), after, limit: SCAN_ROWS }
}
