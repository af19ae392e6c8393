//! The operators' manifest: the queues, the hosts and paths that route to them, and the
//! customers that may call them.

mod admission;
mod current;
mod lookup;
mod pace;
mod watch;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::Directory;
use stoatwell_pool::QueueSpec;

pub use crate::manifest::admission::Denied;
pub use crate::manifest::current::CurrentManifest;
pub use crate::manifest::current::ManifestSource;
pub use crate::manifest::current::RelayedProof;
pub use crate::manifest::lookup::Outdated;
pub(crate) use crate::manifest::watch::POLLS_PER_APPLY_TIME;
pub(crate) use crate::manifest::watch::confirm;
pub(crate) use crate::manifest::watch::watch;

/// One version of the manifest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Increases with each manifest; 0 before the first.
    pub version: u64,
    /// The version of the manifest's row in the store.
    pub row_version: u64,
    /// The queues; [`Self::find`] selects one for a request.
    pub queues: Vec<Queue>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// The customers and their keys. If `None`, callers need no key.
    pub customers: Option<Directory>,
}

/// A queue and the route to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The host that a request must name.
    pub host: String,
    /// The prefix that a request's path must have.
    pub prefix: String,
    /// Maximum time for a request.
    pub timeout_ms: u64,
    /// Whether callers without a key are admitted.
    pub anonymous: bool,
    /// The settings that apply to the queue's jobs.
    pub spec: QueueSpec,
}

impl Manifest {
    /// The queue for a request: of those with this host and a prefix of the path, the one
    /// with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let mut best: Option<&Queue> = None;
        for queue in &self.queues {
            if queue.host != host || !path.starts_with(&queue.prefix) {
                continue;
            }
            if best.is_none_or(|best| queue.prefix.len() > best.prefix.len()) {
                best = Some(queue);
            }
        }
        best
    }
}
