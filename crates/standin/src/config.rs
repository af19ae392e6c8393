//! Configuration of the stand-in: the instances that it simulates.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;

/// The configuration file of the stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// IP and port to listen on; port 0 picks a free one.
    #[serde(default = "loopback")]
    pub listen: String,
    /// Delay after which a change shows in the instance list.
    #[serde(default)]
    pub instance_lag_ms: u64,
    /// Delay after its start until a task reports its usage.
    #[serde(default = "usage_lag")]
    pub usage_lag_ms: u64,
    /// Entry instances in the instance list; the stand-in does not run them.
    #[serde(default)]
    pub entries: Vec<EntryInstance>,
    /// Groups of identical workers, which the stand-in simulates.
    #[serde(default)]
    pub workers: Vec<WorkerGroup>,
}

/// An entry instance in the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    /// Name of the daemon that runs on it.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// IP and port where other daemons reach it.
    pub address: String,
}

/// Identical workers in one availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Prefix of their names, followed by a number from 1.
    pub prefix: String,
    /// Number of workers.
    pub count: u32,
    /// Number of workers in one rack.
    #[serde(default = "rack_size")]
    pub per_rack: u32,
    /// Their availability zone.
    pub zone: ZoneName,
    /// Their region.
    pub region: RegionName,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Group of the minion that each worker hosts; `None` for no minions.
    #[serde(default)]
    pub minion_group: Option<String>,
    /// Requests that each minion serves at once.
    #[serde(default = "minion_slots")]
    pub minion_slots: u32,
    /// Number of connections that each minion reports.
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
