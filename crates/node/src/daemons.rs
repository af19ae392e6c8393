//! The list of a pool's daemons: each daemon announces itself by a row in the store.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::ZoneName;

use crate::platform::Row;

/// A daemon's row in that list: what other daemons know of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// The address for calls from other daemons.
    pub address: String,
    /// The availability zone of its machine.
    pub zone: ZoneName,
    /// Its processor capacity: its share of a core times the core's relative speed.
    pub cores: f64,
    /// The bandwidth of its machine's link, in Mbit/s.
    pub link_mbps: f64,
}

/// Parses the rows of daemons, skipping those that cannot be parsed.
pub fn parse_daemons(rows: &[Row]) -> Vec<DaemonInfo> {
    let mut daemons = Vec::with_capacity(rows.len());
    for row in rows {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice(value) {
            Ok(daemon) => daemons.push(daemon),
            Err(error) => tracing::debug!(key = row.key, %error, "skipping an invalid daemon row"),
        }
    }
    daemons
}
