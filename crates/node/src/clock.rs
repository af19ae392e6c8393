//! Monotonic and wall-clock time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// A timer that fires this late shows that the process did not run.
const LATE_TIMER: Duration = Duration::from_millis(50);
/// How long a process that did not run takes to read what arrived meanwhile.
const CATCH_UP: Duration = Duration::from_millis(100);
/// Maximum number of times that one sleep is extended.
const CATCH_UPS_MAX: usize = 3;

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

/// Sleeps until a deadline. If the process did not run at that time, sleeps on for as long as it
/// takes to read what arrived meanwhile, so that nobody else is blamed for the pause.
pub async fn sleep_while_running(deadline: Instant) {
    let mut due = deadline;
    for _ in 0..=CATCH_UPS_MAX {
        sleep_until(due).await;
        if due.elapsed() <= LATE_TIMER {
            return;
        }
        due = Instant::now() + CATCH_UP;
    }
}
