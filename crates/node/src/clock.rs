//! Monotonic and wall-clock time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// A timer that fires this late shows that the process did not run meanwhile.
const LATE_TIMER: Duration = Duration::from_millis(50);
/// How long a process that runs again needs to read what came meanwhile.
const RESUME_GRACE: Duration = Duration::from_millis(100);

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

/// Sleeps until a deadline, and a little longer if the process did not run at that time: what
/// the deadline is for may have come and is not read yet.
pub async fn sleep_while_running(deadline: Instant) {
    sleep_until(deadline).await;
    if deadline.elapsed() > LATE_TIMER {
        sleep(RESUME_GRACE).await;
    }
}
