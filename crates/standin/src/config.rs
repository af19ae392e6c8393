//! What the stand-in plays.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;

/// The whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// IP and port to listen at; port 0 takes a free one.
    #[serde(default = "loopback")]
    pub listen: String,
    /// How late the instance list is.
    #[serde(default)]
    pub instance_lag_ms: u64,
    /// How late usage reports are.
    #[serde(default = "usage_lag")]
    pub usage_lag_ms: u64,
    /// Entry instances to list.
    #[serde(default)]
    pub entries: Vec<EntryInstance>,
    /// Groups of equal workers.
    #[serde(default)]
    pub workers: Vec<WorkerGroup>,
}

/// One entry instance to list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    /// The daemon's name.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// IP and port where peers reach it.
    pub address: String,
}

/// Equal workers in one availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Start of their names; a number from 1 follows.
    pub prefix: String,
    /// How many.
    pub count: u32,
    /// How many stand in one rack.
    #[serde(default = "rack_size")]
    pub per_rack: u32,
    /// Their availability zone.
    pub zone: ZoneName,
    /// Their region.
    pub region: RegionName,
    /// What each holds.
    pub capacity: Resources,
    /// The group of the minion that each hosts; none where absent.
    #[serde(default)]
    pub minion_group: Option<String>,
    /// Slots of each minion.
    #[serde(default = "minion_slots")]
    pub minion_slots: u32,
    /// Connections of each minion.
    #[serde(default = "minion_connections")]
    pub minion_connections: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: loopback(),
            instance_lag_ms: 0,
            usage_lag_ms: usage_lag(),
            entries: Vec::new(),
            workers: Vec::new(),
        }
    }
}

fn loopback() -> String {
    "127.0.0.1:0".to_owned()
}

fn usage_lag() -> u64 {
    2_000
}

fn rack_size() -> u32 {
    8
}

fn minion_slots() -> u32 {
    8
}

fn minion_connections() -> u32 {
    64
}
