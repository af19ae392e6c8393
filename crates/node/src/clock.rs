//! Monotonic and wall-clock time.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Milliseconds of a monotonic clock that keeps running while the machine is suspended.
///
/// The usual monotonic clock stops during suspension: a leader that was suspended for
/// seconds would resume and take its leader lease for recently renewed.
pub fn steady_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Milliseconds since the Unix epoch. Wall-clock time may jump; it is only for due times and
/// for display.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
