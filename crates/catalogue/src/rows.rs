//! Layout of the catalogue in the platform's table.
//!
//! `catalogue/head` contains the revision, `catalogue/item/KEY` the items, and
//! `catalogue/change/REVISION` the changes. Revisions in keys are padded with zeros so
//! that their text order is the numeric order.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_platform::Row;

/// Key of the row that every change rewrites.
pub const HEAD: &str = "catalogue/head";
/// Prefix of the keys of items.
pub const ITEMS: &str = "catalogue/item/";
/// Prefix of the keys of changes.
pub const CHANGES: &str = "catalogue/change/";

/// Value of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the whole catalogue.
    pub revision: u64,
}

/// Key of the row of an item.
pub fn item_key(key: &str) -> String {
    format!("{ITEMS}{key}")
}

/// Key of the row of a change.
pub fn change_key(revision: u64) -> String {
    format!("{CHANGES}{revision:020}")
}

/// Revision in the head row; 0 if the row does not exist yet.
pub fn head_revision(row: &Row) -> u64 {
    let head: Head = serde_json::from_str(&row.value).unwrap_or_default();
    head.revision
}
