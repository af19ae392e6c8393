//! Announcements of all daemons of a pool that starts at once.

use std::collections::BTreeMap;

use stoatwell_node::Table;
use stoatwell_node::announce_delay;
use stoatwell_node::shard;

/// The daemons of the largest deployment.
const DAEMONS: usize = 587;
/// One daemon in this many is strong enough to lead.
const STRONG_ONE_IN: usize = 8;
/// Transactions of one partition that the store carries out a second; it refuses those that
/// would wait for more than a second.
const WRITES_PER_S: f64 = 300.0;

/// How the announcements of a start of all daemons went.
struct Start {
    /// When the last daemon was announced.
    last_ms: u64,
    /// When the last strong daemon was announced.
    last_strong_ms: u64,
    refused: usize,
}

fn start_all(daemons: usize) -> Start {
    let mut attempts: BTreeMap<(u64, usize), u32> = BTreeMap::new();
    let is_weak = |daemon: usize| !daemon.is_multiple_of(STRONG_ONE_IN);
    let delay_ms = |daemon: usize, attempt: u32| {
        announce_delay(&format!("edge-{daemon}"), is_weak(daemon), attempt).as_millis() as u64
    };
    for daemon in 0..daemons {
        attempts.insert((delay_ms(daemon, 0), daemon), 0);
    }
    let mut start = Start { last_ms: 0, last_strong_ms: 0, refused: 0 };
    let mut busy_until_ms = 0.0_f64;
    while let Some(((now_ms, daemon), attempt)) = attempts.pop_first() {
        let begins_ms = busy_until_ms.max(now_ms as f64);
        if begins_ms > now_ms as f64 + 1_000.0 {
            start.refused += 1;
            attempts.insert((now_ms + 5 + delay_ms(daemon, attempt + 1), daemon), attempt + 1);
            continue;
        }
        busy_until_ms = begins_ms + 1_000.0 / WRITES_PER_S;
        start.last_ms = start.last_ms.max(busy_until_ms as u64);
        if !is_weak(daemon) {
            start.last_strong_ms = start.last_strong_ms.max(busy_until_ms as u64);
        }
    }
    start
}

/// Guards against a start of all daemons in which most announcements are refused, and the
/// leader finds no daemons that could make its calls.
#[test]
fn daemons_that_start_at_once_are_announced_within_seconds() {
    for (daemons, refused_max) in [(DAEMONS, DAEMONS / 10), (2 * DAEMONS, 2 * DAEMONS)] {
        let start = start_all(daemons);
        assert!(start.last_strong_ms < 1_000, "strong daemons after {} ms", start.last_strong_ms);
        assert!(start.last_ms < 8_000, "all daemons after {} ms", start.last_ms);
        assert!(start.refused <= refused_max, "{} of {daemons} refused", start.refused);
    }
}

/// Guards against a leader that loses its lease because the renewal waits behind hundreds of
/// announcements.
#[test]
fn announcements_do_not_delay_the_leader_lease() {
    assert_ne!(shard(Table::Daemons, "edge-1"), shard(Table::Duty, "scheduler"));
}
