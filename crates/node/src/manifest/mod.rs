//! The operators' manifest: which queues there are, where they are reached, and by whom.

mod admission;
mod current;
mod watch;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::Directory;
use stoatwell_pool::QueueSpec;

pub use crate::manifest::admission::Denied;
pub use crate::manifest::current::CurrentManifest;
pub use crate::manifest::current::RelayedProof;
pub(crate) use crate::manifest::watch::confirm;
pub(crate) use crate::manifest::watch::watch;

/// One version of the manifest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Rises with every version.
    pub version: u64,
    /// The version of its row in the store.
    pub row_version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// The customers; without any, everybody may call.
    pub customers: Option<Directory>,
}

/// A queue and where callers reach it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// How long a request may take.
    pub timeout_ms: u64,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// The queue's rules.
    pub spec: QueueSpec,
}

impl Manifest {
    /// The queue of the longest prefix that the path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let mut best: Option<&Queue> = None;
        for queue in &self.queues {
            if queue.host != host || !path.starts_with(&queue.prefix) {
                continue;
            }
            if best.is_none_or(|found| queue.prefix.len() > found.prefix.len()) {
                best = Some(queue);
            }
        }
        best
    }
}
