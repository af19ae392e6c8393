//! Which query is sent next, and through which daemon.

use stoatwell_advice::DaemonShare;
use stoatwell_advice::DispatchPlan;
use stoatwell_advice::Outcome;
use stoatwell_advice::QueryId;
use stoatwell_advice::QueuedQuery;
use stoatwell_advice::budget::Load;
use stoatwell_advice::budget::QueryCost;

fn plan(daemons: &[&str]) -> DispatchPlan {
    let mut plan = DispatchPlan::default();
    plan.update_daemons(&shares(daemons));
    plan
}

fn shares(daemons: &[&str]) -> Vec<DaemonShare> {
    let share = |name: &&str| DaemonShare { address: (*name).to_owned(), cpu_millis: 250 };
    daemons.iter().map(share).collect()
}

fn enqueue(plan: &mut DispatchPlan, priority: u32, holds_capacity: bool, by_ms: u64) -> QueryId {
    let query = QueuedQuery { priority, holds_capacity, needed_by_ms: by_ms, cost_ms: 150 };
    plan.enqueue(query)
}

/// Sends the next query and returns it with its daemon.
fn next(plan: &mut DispatchPlan, now_ms: u64) -> Option<(QueryId, String)> {
    let mut assigned = plan.assign(now_ms);
    assert!(assigned.len() <= 1, "{assigned:?}");
    assigned.pop().map(|assignment| (assignment.query, assignment.address))
}

/// Guards against patient queries ahead of urgent ones, and against held capacity that stays idle
/// behind queries for which none is held.
#[test]
fn queries_are_sent_by_priority_then_held_capacity_then_time() {
    let mut plan = plan(&["a"]);
    let order = [(2, true, 5), (1, false, 9), (1, false, 7), (1, true, 9), (0, false, 9)];
    let ids: Vec<QueryId> = order
        .iter()
        .map(|(priority, holds, by)| enqueue(&mut plan, *priority, *holds, *by))
        .collect();
    assert!(plan.withdraw(ids[1]));
    for expected in [4, 3, 2, 0] {
        let (id, address) = next(&mut plan, 0).expect("a query is queued");
        assert_eq!(id, ids[expected]);
        assert_eq!(next(&mut plan, 0), None, "the daemon is busy");
        plan.record(&address, id, Outcome::Answered, 0);
    }
}

/// Guards against queries that wait for a slow daemon while a fast one would answer sooner, and
/// against daemons that count as slow for good.
#[test]
fn a_query_waits_for_a_fast_daemon_rather_than_use_a_slow_one() {
    let mut plan = plan(&["fast", "slow"]);
    for _ in 0..2 {
        enqueue(&mut plan, 1, false, 0);
    }
    let sent = plan.assign(0);
    for assignment in sent {
        let took_ms = if assignment.address == "slow" { 2_000 } else { 150 };
        plan.record(&assignment.address, assignment.query, Outcome::Answered, took_ms);
    }
    for _ in 0..2 {
        enqueue(&mut plan, 1, false, 0);
    }
    assert_eq!(next(&mut plan, 2_000).map(|(_, address)| address), Some("fast".to_owned()));
    assert_eq!(next(&mut plan, 60_000).map(|(_, address)| address), Some("slow".to_owned()));
}

/// Guards against queries that are lost with their daemon, and against new ones through a daemon
/// that does not answer.
#[test]
fn daemons_that_are_gone_or_silent_get_no_queries() {
    let mut plan = plan(&["a", "b"]);
    let id = enqueue(&mut plan, 1, false, 0);
    assert_eq!(next(&mut plan, 0), Some((id, "a".to_owned())));
    assert_eq!(plan.update_daemons(&shares(&["b", "c"])), [id]);
    let id = enqueue(&mut plan, 1, false, 0);
    assert_eq!(next(&mut plan, 0), Some((id, "b".to_owned())));
    plan.record("b", id, Outcome::NoAnswer, 100);
    enqueue(&mut plan, 1, false, 0);
    assert_eq!(next(&mut plan, 200).map(|(_, address)| address), Some("c".to_owned()));
}

/// Guards against more pending queries than the daemons answer in time, and against idle daemons.
#[test]
fn pending_queries_are_bounded_by_what_the_daemons_can_answer() {
    let load = |queries, ahead_ms| Load { daemons: 4, queries, ahead_ms };
    assert!(load(3, 5_000).admits(900), "a daemon is idle");
    assert!(load(9, 1_800).admits(150));
    assert!(!load(9, 1_900).admits(150));
    let cost = QueryCost { decide_ms: 120.0, each_ms: 1.8 };
    assert!(cost.of(cost.affordable_workers(true)) < 200, "short while the advisor is scarce");
}
