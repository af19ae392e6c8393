//! What daemons tell each other of themselves.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DaemonId;
use crate::id::OwnerName;
use crate::id::RegionName;
use crate::id::ZoneName;
use crate::resources::Resources;

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where peers reach it, IP and port.
    pub peer_address: String,
    /// Rises with every start of the process, so that a restart is not taken for the old one.
    pub incarnation: u64,
}

/// A daemon's sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Identity,
    /// The catalogue revision in force at the sender.
    pub revision: u64,
    /// Whether it is about to stop and takes nothing new.
    pub stopping: bool,
    /// What it can place; left out while nothing worth telling changed.
    pub summary: Option<Summary>,
}

/// What a daemon's workers can take, in short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers it holds.
    pub workers: u32,
    /// Tasks that wait at it.
    pub queued: u32,
    /// Tasks that run on its workers.
    pub running: u32,
    /// One line for each owner that its workers serve.
    pub owners: Vec<OwnerSummary>,
    /// One line for each minion group.
    pub groups: Vec<GroupSummary>,
}

/// What one owner can get from a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerSummary {
    /// The owner.
    pub owner: OwnerName,
    /// The most that is free on one worker, resource by resource.
    pub largest_free: Resources,
    /// The most that one empty worker holds, resource by resource.
    pub largest: Resources,
}

/// What one minion group can take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSummary {
    /// The group.
    pub group: String,
    /// Slots that are free now.
    pub free_slots: u32,
    /// Slots in all.
    pub slots: u32,
}
