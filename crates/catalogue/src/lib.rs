//! The catalogue at one revision, and the merge that never goes back.
//!
//! Every accepted change raises one revision for the whole catalogue.
//! [`Catalogue`] is what a daemon has in force, [`edit`] makes one change in
//! the platform's table, [`watcher`] keeps up with the table, and
//! [`document`] reads what operators write.

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

/// Changes kept for peers and for the history; older ones come as a snapshot.
const LOG_CHANGES_MAX: usize = 512;

/// Something the catalogue keeps under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// One kind of work.
    Work(WorkEntry),
    /// One customer.
    Owner(OwnerEntry),
    /// One worker and who may use it.
    Target(Target),
}

/// An item with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// The catalogue revision that wrote it.
    pub revision: u64,
    /// The item.
    pub item: Item,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision it made.
    pub revision: u64,
    /// The item's key.
    pub key: String,
    /// The item from now on; `None` where it was removed.
    pub item: Option<Item>,
    /// Who made it.
    pub by: String,
    /// When it was made.
    pub at_ms: UnixMs,
    /// Names the write, so that a lost answer can be told by reading.
    pub write_id: u64,
}

/// What one daemon tells another that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueUpdate {
    /// All changes since the revision that was asked for.
    Changes(Vec<Change>),
    /// The whole catalogue, where the changes are not kept any more.
    Snapshot(Snapshot),
}

/// The whole catalogue at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// All items by key.
    pub items: BTreeMap<String, Versioned>,
}

/// The catalogue that is in force at a daemon.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    revision: u64,
    items: BTreeMap<String, Versioned>,
    log: VecDeque<Change>,
}

impl Catalogue {
    /// The revision in force; 0 before anything was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the next change; an older one or one with a gap before it is left out.
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
        self.log.push_back(change);
        if self.log.len() > LOG_CHANGES_MAX {
            self.log.pop_front();
        }
        true
    }

    /// Takes a whole catalogue. A stale peer or a late answer may offer an
    /// older one; taking it would let an accepted change revert, so only a
    /// higher revision replaces what is in force.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.items = snapshot.items;
        self.log.clear();
        true
    }

    /// Takes what another daemon told; says whether anything changed.
    pub fn merge(&mut self, news: CatalogueUpdate) -> bool {
        match news {
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

    /// What a daemon at `revision` lacks.
    pub fn updates_since(&self, revision: u64) -> CatalogueUpdate {
        if revision >= self.revision {
            return CatalogueUpdate::Changes(Vec::new());
        }
        let kept = self.log.front().is_some_and(|oldest| oldest.revision <= revision + 1);
        if !kept {
            return CatalogueUpdate::Snapshot(self.snapshot());
        }
        let newer = self.log.iter().filter(|change| change.revision > revision);
        CatalogueUpdate::Changes(newer.cloned().collect())
    }

    /// The whole catalogue.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, items: self.items.clone() }
    }

    /// The latest changes of one item, oldest first.
    pub fn history(&self, key: &str) -> Vec<&Change> {
        self.log.iter().filter(|change| change.key == key).collect()
    }

    /// An item by key.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// All items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Versioned)> {
        self.items.iter().map(|(key, item)| (key.as_str(), item))
    }

    /// A work entry.
    pub fn work(&self, name: &EntryName) -> Option<&WorkEntry> {
        match &self.items.get(&work_key(name))?.item {
            Item::Work(entry) => Some(entry),
            Item::Owner(_) | Item::Target(_) => None,
        }
    }

    /// A customer.
    pub fn owner(&self, name: &OwnerName) -> Option<&OwnerEntry> {
        match &self.items.get(&owner_key(name))?.item {
            Item::Owner(entry) => Some(entry),
            Item::Work(_) | Item::Target(_) => None,
        }
    }

    /// A target.
    pub fn target(&self, worker: &WorkerId) -> Option<&Target> {
        match &self.items.get(&target_key(worker))?.item {
            Item::Target(target) => Some(target),
            Item::Work(_) | Item::Owner(_) => None,
        }
    }

    /// All customers.
    pub fn owners(&self) -> impl Iterator<Item = &OwnerEntry> {
        self.items.values().filter_map(|versioned| match &versioned.item {
            Item::Owner(owner) => Some(owner),
            Item::Work(_) | Item::Target(_) => None,
        })
    }

    /// All work entries.
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

/// The key of a work entry.
pub fn work_key(name: &EntryName) -> String {
    format!("work/{name}")
}

/// The key of a customer.
pub fn owner_key(name: &OwnerName) -> String {
    format!("owner/{name}")
}

/// The key of a target.
pub fn target_key(worker: &WorkerId) -> String {
    format!("target/{worker}")
}
