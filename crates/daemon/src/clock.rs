//! The daemon's clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stoatwell_model::UnixMs;
use tokio::time::Instant;

/// Unix time at the start, and what a steady clock counted since. A step of
/// the system's clock would otherwise end leases early or stretch them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_unix_ms: UnixMs,
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_unix_ms: since_epoch.as_millis() as u64, started: Instant::now() }
    }

    /// Milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> UnixMs {
        self.started_unix_ms + self.started.elapsed().as_millis() as u64
    }
}
