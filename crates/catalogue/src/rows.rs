//! How the catalogue lies in the platform's table.
//!
//! `catalogue/head` holds the revision, `catalogue/item/KEY` the items, and
//! `catalogue/change/REVISION` the changes, padded so that they sort.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_platform::Row;

/// The row that every change rewrites.
pub const HEAD: &str = "catalogue/head";
/// Start of the keys of items.
pub const ITEMS: &str = "catalogue/item/";
/// Start of the keys of changes.
pub const CHANGES: &str = "catalogue/change/";

/// What the head row holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision of the whole catalogue.
    pub revision: u64,
}

/// The row of an item.
pub fn item_key(key: &str) -> String {
    format!("{ITEMS}{key}")
}

/// The row of a change.
pub fn change_key(revision: u64) -> String {
    format!("{CHANGES}{revision:020}")
}

/// The revision that a head row holds; 0 where there is none yet.
pub fn head_revision(row: &Row) -> u64 {
    let head: Head = serde_json::from_str(&row.value).unwrap_or_default();
    head.revision
}
