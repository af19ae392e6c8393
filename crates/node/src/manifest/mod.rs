//! The operators' manifest: which queues there are and where they are reached.

use stoatwell_pool::QueueSpec;

/// One version of the manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    /// Rises with every version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
}

/// A queue and where callers reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// How long a request may take.
    pub timeout_ms: u64,
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
