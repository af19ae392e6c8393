//! Decides whether a leader needs executors, how many, and which daemons.

use stoatwell_model::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::daemons::DaemonInfo;

/// Number of workers that a leader can call directly for each core.
const DIRECT_WORKERS_PER_CORE: f64 = 800.0;
/// Number of workers that a leader can call directly for each Mbit/s of its link.
const DIRECT_WORKERS_PER_MBPS: f64 = 8.0;
/// Number of workers for each executor.
const WORKERS_PER_EXECUTOR: usize = 200;
/// Minimum number of executors in a zone; with two, one can be lost.
const EXECUTORS_MIN: usize = 2;

/// Delay before a session is opened after one that failed. It is doubled with each further one
/// that could not be opened or was short, up to [`REOPEN_DELAY_MAX_MS`].
const REOPEN_DELAY_MIN_MS: u64 = 500;
/// Maximum delay before a session is opened.
const REOPEN_DELAY_MAX_MS: u64 = 8_000;
/// A session that lasted this long worked.
const LASTING_SESSION_MS: u64 = 10_000;

/// The delay before the next session with an executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReopenDelay {
    last_ms: u64,
}

impl ReopenDelay {
    /// The delay after a session that lasted this long, or that could not be opened (`None`).
    pub fn next_ms(&mut self, lasted_ms: Option<u64>) -> u64 {
        if lasted_ms.is_some_and(|lasted_ms| lasted_ms >= LASTING_SESSION_MS) {
            self.last_ms = 0;
        }
        self.last_ms = (self.last_ms * 2).clamp(REOPEN_DELAY_MIN_MS, REOPEN_DELAY_MAX_MS);
        self.last_ms
    }
}

/// Whether a leader has more workers than it can call directly.
pub fn needs_executors(workers: usize, leader: &DaemonInfo) -> bool {
    let core_limit = leader.cores * DIRECT_WORKERS_PER_CORE;
    let link_limit = leader.link_mbps * DIRECT_WORKERS_PER_MBPS;
    workers as f64 > core_limit.min(link_limit)
}

/// Percentage of its processor time that a leader may spend on decisions before it leaves
/// its calls to executors; making the calls takes about as much again.
const BUSY_ABOVE_PERCENT: u64 = 55;
/// Percentage below which it makes calls directly again, which is faster.
const IDLE_BELOW_PERCENT: u64 = 45;

/// Whether a leader is too busy to make its calls directly, given how much time of a period
/// its decisions took. The threshold is lower if it was busy before.
pub fn is_busy(deciding_ms: u64, period_ms: u64, leader: &DaemonInfo, was_busy: bool) -> bool {
    let threshold_percent = if was_busy { IDLE_BELOW_PERCENT } else { BUSY_ABOVE_PERCENT };
    let share = deciding_ms as f64 / period_ms.max(1) as f64;
    share * 100.0 > threshold_percent as f64 * leader.cores.min(1.0)
}

/// How many executors a zone should have.
pub fn executors_wanted(workers: usize) -> usize {
    workers.div_ceil(WORKERS_PER_EXECUTOR).max(EXECUTORS_MIN)
}

/// The daemons of a zone that can be executors, most powerful first; without the leader.
pub fn executor_candidates(
    zone: &ZoneName,
    daemons: &[DaemonInfo],
    leader: &DaemonInfo,
) -> Vec<DaemonInfo> {
    let is_candidate =
        |daemon: &&DaemonInfo| daemon.zone == *zone && daemon.address != leader.address;
    let mut candidates: Vec<DaemonInfo> = daemons.iter().filter(is_candidate).cloned().collect();
    candidates.sort_by(|a, b| {
        let by_capacity = b.cores.total_cmp(&a.cores).then(b.link_mbps.total_cmp(&a.link_mbps));
        by_capacity.then_with(|| xxh3_64(a.address.as_bytes()).cmp(&xxh3_64(b.address.as_bytes())))
    });
    candidates
}
