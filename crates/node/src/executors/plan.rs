//! Which daemons execute for a leader.

use stoatwell_model::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::members::Member;

/// Workers that a leader with a whole core calls by itself.
const DIRECT_WORKERS_EACH_CORE: f64 = 800.0;
/// Workers that a leader calls by itself through each Mbit/s of its link.
const DIRECT_WORKERS_EACH_MBPS: f64 = 8.0;
/// Workers that one executor calls.
const WORKERS_EACH_EXECUTOR: usize = 200;
/// Executors that a zone has at least, so that one can be lost.
const EXECUTORS_MIN: usize = 2;

/// Whether a leader has more workers than it can call by itself.
pub fn needs_executors(workers: usize, leader: &Member) -> bool {
    let by_cores = leader.cores * DIRECT_WORKERS_EACH_CORE;
    let by_link = leader.link_mbps * DIRECT_WORKERS_EACH_MBPS;
    workers as f64 > by_cores.min(by_link)
}

/// Share of its processor, in hundredths, that a leader may spend on deciding before it
/// leaves its calls to executors; each call takes about as much again.
const BUSY_PERCENT: u64 = 55;
/// Share below which it makes them itself again, which is faster.
const EASY_PERCENT: u64 = 45;

/// Whether a leader is too busy to make its calls itself, by the time that its decisions
/// took of a period, and by whether it was before.
pub fn is_busy(deciding_ms: u64, period_ms: u64, leader: &Member, before: bool) -> bool {
    let allowed_percent = if before { EASY_PERCENT } else { BUSY_PERCENT };
    let share = deciding_ms as f64 / period_ms.max(1) as f64;
    share * 100.0 > allowed_percent as f64 * leader.cores.min(1.0)
}

/// How many executors a zone should have.
pub fn executors_wanted(workers: usize) -> usize {
    workers.div_ceil(WORKERS_EACH_EXECUTOR).max(EXECUTORS_MIN)
}

/// The daemons of a zone that may execute, the most powerful first.
pub fn executor_candidates(zone: &ZoneName, members: &[Member], leader: &Member) -> Vec<Member> {
    let mine = |member: &&Member| member.zone == *zone && member.address != leader.address;
    let mut order: Vec<Member> = members.iter().filter(mine).cloned().collect();
    order.sort_by(|a, b| {
        let power = b.cores.total_cmp(&a.cores).then(b.link_mbps.total_cmp(&a.link_mbps));
        power.then_with(|| xxh3_64(a.address.as_bytes()).cmp(&xxh3_64(b.address.as_bytes())))
    });
    order
}
