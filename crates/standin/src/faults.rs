//! Faults that can be set while the stand-in runs.

use serde::Deserialize;
use serde::Serialize;

/// The faults in force; a new set replaces the old one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The store refuses every call.
    pub store_down: bool,
    /// The store takes this long to answer.
    pub store_delay_ms: u64,
    /// The store applies every n-th write and loses its answer; 0 is never.
    pub store_lose_every: u64,
    /// Workers on which every task fails at once.
    pub failing_workers: Vec<String>,
    /// Workers and minions that take calls and never answer.
    pub dead_workers: Vec<String>,
    /// Connections open when this was set hang for good; new ones work.
    pub silence_connections: bool,
}
