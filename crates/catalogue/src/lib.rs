//! The catalogue at one revision, and updates that never revert it.
//!
//! Every accepted change increments one revision number for the whole catalogue.
//! [`Catalogue`] is the catalogue in force at a daemon, [`edit`] makes one change in the
//! platform's table, [`watcher`] fetches changes from the table, and [`document`] parses
//! the entries that operators write.

pub mod document;
pub mod edit;
pub mod rows;
pub mod watcher;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::EntryName;
use stoatwell_model::OwnerEntry;
use stoatwell_model::OwnerName;
use stoatwell_model::Target;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkEntry;
use stoatwell_model::WorkerId;

pub use edit::Edit;
pub use edit::EditRequest;
pub use watcher::CatalogueWatcher;

/// Number of changes to keep for peers and for the history. A peer that lacks older
/// changes gets a snapshot.
const CHANGE_LOG_MAX: usize = 512;

/// Value that the catalogue stores under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// Entry of one kind of work.
    Work(WorkEntry),
    /// Entry of one customer.
    Owner(OwnerEntry),
    /// A worker and the owner that may use it.
    Target(Target),
}

/// An item with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Catalogue revision of the change that wrote the item.
    pub revision: u64,
    /// Current content.
    pub item: Item,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Catalogue revision that the change created.
    pub revision: u64,
    /// Key of the changed item.
    pub key: String,
    /// New content of the item; `None` if the change removed it.
    pub item: Option<Item>,
    /// Who requested the change.
    pub by: String,
    /// Time of the request.
    pub at_ms: UnixMs,
    /// Identifier of the write. After a lost response, a read of the change's row shows by
    /// this identifier whether the write took effect.
    pub write_id: u64,
}

/// Update that a daemon sends to a peer with an older revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueUpdate {
    /// All changes since the peer's revision.
    Changes(Vec<Change>),
    /// The whole catalogue, if some of these changes are not kept any more.
    Snapshot(Snapshot),
}

/// The whole catalogue at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the catalogue.
    pub revision: u64,
    /// All items by key.
    pub items: BTreeMap<String, Versioned>,
}

/// Catalogue in force at a daemon.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    revision: u64,
    items: BTreeMap<String, Versioned>,
    change_log: VecDeque<Change>,
}

impl Catalogue {
    /// Revision in force; 0 before the catalogue was first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the next change and returns whether it was applied.
    ///
    /// Ignores a change that is older, and one that would leave a gap of revisions.
    pub fn apply(&mut self, change: Change) -> bool {
        if change.revision != self.revision + 1 {
            return false;
        }
        self.revision = change.revision;
        match &change.item {
            Some(item) => {
                let versioned = Versioned { revision: change.revision, item: item.clone() };
                self.items.insert(change.key.clone(), versioned);
            }
            None => {
                self.items.remove(&change.key);
            }
        }
        self.change_log.push_back(change);
        if self.change_log.len() > CHANGE_LOG_MAX {
            self.change_log.pop_front();
        }
        true
    }

    /// Replaces the whole catalogue and returns whether it was replaced.
    ///
    /// A stale peer or a late response may contain an older catalogue, which would revert
    /// accepted changes. Therefore only a higher revision replaces the one in force.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.items = snapshot.items;
        self.change_log.clear();
        true
    }

    /// Applies an update from another daemon and returns whether anything changed.
    pub fn merge(&mut self, update: CatalogueUpdate) -> bool {
        match update {
            CatalogueUpdate::Changes(changes) => {
                let before = self.revision;
                for change in changes {
                    self.apply(change);
                }
                self.revision > before
            }
            CatalogueUpdate::Snapshot(snapshot) => self.replace(snapshot),
        }
    }

    /// Returns the update for a daemon at `revision`.
    pub fn updates_since(&self, revision: u64) -> CatalogueUpdate {
        if revision >= self.revision {
            return CatalogueUpdate::Changes(Vec::new());
        }
        let is_logged =
            self.change_log.front().is_some_and(|oldest| oldest.revision <= revision + 1);
        if !is_logged {
            return CatalogueUpdate::Snapshot(self.snapshot());
        }
        let newer = self.change_log.iter().filter(|change| change.revision > revision);
        CatalogueUpdate::Changes(newer.cloned().collect())
    }

    /// Copies the whole catalogue.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, items: self.items.clone() }
    }

    /// The most recent changes of one item, oldest first, as far as they are kept.
    pub fn history(&self, key: &str) -> Vec<&Change> {
        self.change_log.iter().filter(|change| change.key == key).collect()
    }

    /// Looks up an item by key.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// All items in ascending order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Versioned)> {
        self.items.iter().map(|(key, item)| (key.as_str(), item))
    }

    /// Looks up a work entry by name.
    pub fn work(&self, name: &EntryName) -> Option<&WorkEntry> {
        match &self.items.get(&work_key(name))?.item {
            Item::Work(entry) => Some(entry),
            Item::Owner(_) | Item::Target(_) => None,
        }
    }

    /// Looks up a customer's entry by name.
    pub fn owner(&self, name: &OwnerName) -> Option<&OwnerEntry> {
        match &self.items.get(&owner_key(name))?.item {
            Item::Owner(entry) => Some(entry),
            Item::Work(_) | Item::Target(_) => None,
        }
    }

    /// Looks up a target by worker.
    pub fn target(&self, worker: &WorkerId) -> Option<&Target> {
        match &self.items.get(&target_key(worker))?.item {
            Item::Target(target) => Some(target),
            Item::Work(_) | Item::Owner(_) => None,
        }
    }

    /// Entries of all customers.
    pub fn owners(&self) -> impl Iterator<Item = &OwnerEntry> {
        self.items.values().filter_map(|versioned| match &versioned.item {
            Item::Owner(owner) => Some(owner),
            Item::Work(_) | Item::Target(_) => None,
        })
    }

    /// Entries of all kinds of work.
    pub fn work_entries(&self) -> impl Iterator<Item = &WorkEntry> {
        self.items.values().filter_map(|versioned| match &versioned.item {
            Item::Work(work) => Some(work),
            Item::Owner(_) | Item::Target(_) => None,
        })
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.items.values().filter_map(|versioned| match &versioned.item {
            Item::Target(target) => Some(target),
            Item::Work(_) | Item::Owner(_) => None,
        })
    }
}

/// Catalogue key of a work entry.
pub fn work_key(name: &EntryName) -> String {
    format!("work/{name}")
}

/// Catalogue key of a customer's entry.
pub fn owner_key(name: &OwnerName) -> String {
    format!("owner/{name}")
}

/// Catalogue key of a target.
pub fn target_key(worker: &WorkerId) -> String {
    format!("target/{worker}")
}
