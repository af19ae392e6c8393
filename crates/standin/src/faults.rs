//! Fault injection while the stand-in runs.

use serde::Deserialize;
use serde::Serialize;

/// The active faults; setting new ones replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The store refuses every call.
    pub store_down: bool,
    /// Delay of every reply of the store, in milliseconds.
    pub store_delay_ms: u64,
    /// The store applies every n-th write, but its reply is lost; 0 for never.
    pub store_lose_every: u64,
    /// Names of workers on which every new task fails right after its start.
    pub failing_workers: Vec<String>,
    /// Names of workers that accept calls and never answer.
    pub dead_workers: Vec<String>,
    /// Connections opened before this was set hang forever; new ones work.
    pub silence_connections: bool,
}
