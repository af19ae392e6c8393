//! Queries to the advisor through the daemons of a pool.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_advice::Purpose;
use stoatwell_node::AdvisorDispatcher;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_pool::AdviseCall;
use stoatwell_pool::JobId;
use stoatwell_pool::StepId;

use self::fake::FakePlatform;

const STEP: StepId = StepId { job: JobId(1), occurrence: 0, step: 0 };
/// The expected time that the advisor takes for a long query.
const LONG_QUERY_COST_MS: u64 = 650;

fn long_query() -> AdviseCall {
    AdviseCall {
        step: STEP,
        workers: Vec::new(),
        priority: 1,
        cost_ms: LONG_QUERY_COST_MS,
        purpose: Purpose::First,
        needed_by_ms: 0,
        withdraw_after_ms: 400,
    }
}

/// A daemon loses the leader lease while long queries are in flight and acquires it again
/// later. Guards against queries of the former term that still count against the limit of
/// long queries: no gang would ever start again, although all workers are free.
#[tokio::test]
async fn queries_of_a_former_leader_term_do_not_block_new_ones() {
    let platform = Arc::new(FakePlatform::default());
    let peers = Peers::new("test", Traffic::default());
    let advisors = Arc::new(AdvisorDispatcher::new(Arc::clone(&platform), peers, "me".to_owned()));
    platform.set_advice_hangs(true);
    for _ in 0..4 {
        let dispatcher = Arc::clone(&advisors);
        let query = tokio::spawn(async move { dispatcher.query(&long_query()).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
        query.abort();
    }
    platform.set_advice_hangs(false);
    let call = long_query();
    let answer = advisors.query(&call);
    let answer = tokio::time::timeout(Duration::from_millis(500), answer).await;
    assert_eq!(answer, Ok(Some(Vec::new())));
}

/// The only daemon is busy. Guards against queries that wait although their step has ended, or
/// until their tickets would be of no use.
#[tokio::test]
async fn queued_queries_are_withdrawn() {
    let platform = Arc::new(FakePlatform::default());
    let peers = Peers::new("test", Traffic::default());
    let advisors = Arc::new(AdvisorDispatcher::new(Arc::clone(&platform), peers, "me".to_owned()));
    platform.set_advice_hangs(true);
    let query = || {
        let dispatcher = Arc::clone(&advisors);
        tokio::spawn(async move { dispatcher.query(&long_query()).await })
    };
    let sent = query();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let unneeded = query();
    tokio::time::sleep(Duration::from_millis(20)).await;
    advisors.withdraw(STEP);
    let answer = tokio::time::timeout(Duration::from_millis(200), unneeded).await;
    assert_eq!(answer.expect("withdrawn at once").expect("no panic"), None);
    let late = tokio::time::timeout(Duration::from_millis(800), query()).await;
    assert_eq!(late.expect("withdrawn in time").expect("no panic"), None);
    assert!(!sent.is_finished(), "a query that was sent is not withdrawn");
    sent.abort();
}
