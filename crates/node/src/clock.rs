//! The daemon's clocks.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Milliseconds of a steady clock that goes on while the machine is suspended.
///
/// The ordinary steady clock stands still then: a scheduler that was suspended
/// for seconds would wake and believe that its lease on the duty is fresh.
pub fn steady_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Milliseconds of Unix time, only for due times and for people.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
