//! The daemon's clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stoatwell_model::UnixMs;
use tokio::time::Instant;

/// The Unix time at the start plus the time of a monotonic clock since then. With
/// the system clock alone, a step of it would end leases early or prolong them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_unix_ms: UnixMs,
    started: Instant,
}

impl Clock {
    /// Reads the system clock once; later readings only add the time elapsed.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_unix_ms: since_epoch.as_millis() as u64, started: Instant::now() }
    }

    /// Milliseconds since the Unix epoch; never goes back.
    pub fn now_ms(&self) -> UnixMs {
        self.started_unix_ms + self.started.elapsed().as_millis() as u64
    }
}
