//! The daemons of a pool, as they announce themselves in the store.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::ZoneName;

use crate::platform::Row;

/// A daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Where other daemons reach it.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of a core times the core's speed.
    pub cores: f64,
    /// What its machine's link carries.
    pub link_mbps: f64,
}

/// The daemons that rows tell of; what cannot be read is left out.
pub fn read_members(rows: &[Row]) -> Vec<Member> {
    let mut members = Vec::with_capacity(rows.len());
    for row in rows {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice(value) {
            Ok(member) => members.push(member),
            Err(error) => tracing::debug!(key = row.key, %error, "a daemon's row cannot be read"),
        }
    }
    members
}
