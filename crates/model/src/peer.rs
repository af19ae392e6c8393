//! Identity, heartbeat and capacity summary that daemons exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DaemonId;
use crate::id::OwnerName;
use crate::id::RegionName;
use crate::id::ZoneName;
use crate::resources::Resources;

/// Identity of one run of a daemon process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the daemon, the same after a restart.
    pub daemon: DaemonId,
    /// Availability zone in which it runs.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// IP and port at which peers connect to it.
    pub peer_address: String,
    /// Increases with every start of the process, so that peers tell a restarted
    /// process from the previous one.
    pub incarnation: u64,
}

/// Periodic message by which a daemon shows that it is alive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity of the sender.
    pub from: Identity,
    /// Catalogue revision in force at the sender.
    pub revision: u64,
    /// Whether the sender is shutting down and accepts no new work.
    pub stopping: bool,
    /// Capacity of the sender's workers; `None` if there was no significant change.
    pub summary: Option<Summary>,
}

/// Capacity of the workers that a daemon holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of workers on which the daemon holds a lease.
    pub workers: u32,
    /// Number of tasks that wait at the daemon.
    pub queued: u32,
    /// Number of tasks that run on its workers.
    pub running: u32,
    /// One item for each owner that its workers serve.
    pub owners: Vec<OwnerSummary>,
    /// One item for each minion group.
    pub groups: Vec<GroupSummary>,
}

/// Capacity for one owner on the workers of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerSummary {
    /// Owner that these workers serve.
    pub owner: OwnerName,
    /// Largest free amount on any one worker, separately for each resource.
    pub largest_free: Resources,
    /// Largest capacity of any one worker when empty, separately for each resource.
    pub largest: Resources,
}

/// Capacity of one minion group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSummary {
    /// Name of the group, as entries refer to it.
    pub group: String,
    /// Number of requests that the group can take at present.
    pub free_slots: u32,
    /// Total number of slots, free or in use.
    pub slots: u32,
}
