//! Refusals of a leader that is behind.

use std::collections::BTreeSet;
use std::time::Duration;

use stoatwell_node::MessageBudget;
use stoatwell_node::inbox;
use stoatwell_node::retry_after_s;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;

/// Guards against submissions that a leader takes although it cannot answer them in time.
#[test]
fn a_leader_that_is_seconds_behind_refuses_new_work() {
    assert_eq!(retry_after_s(Duration::from_secs(1), JobId(7)), None);
    let retry_after_s = retry_after_s(Duration::from_secs(3), JobId(7));
    assert!(retry_after_s.is_some_and(|seconds| (3..=8).contains(&seconds)), "{retry_after_s:?}");
}

/// Hundreds of callers are refused in the same second. Guards against their return in another.
#[test]
fn refused_callers_return_spread_out() {
    let times: BTreeSet<u32> =
        (0..500).filter_map(|job| retry_after_s(Duration::from_secs(4), JobId(job))).collect();
    assert!(times.len() >= 4, "{times:?}");
    let longest = retry_after_s(Duration::from_mins(10), JobId(u64::MAX));
    assert!(longest.is_some_and(|seconds| seconds <= 16), "{longest:?}");
}

/// Guards against a delay that is not noticed, or that stays after the queue is empty.
#[test]
fn the_inbox_tells_how_long_messages_wait() {
    let (senders, mut inbox) = inbox();
    senders.notify(Event::Advisors { count: 1 });
    std::thread::sleep(Duration::from_millis(30));
    senders.notify(Event::Advisors { count: 2 });
    let mut budget = MessageBudget::for_cycle(Duration::ZERO);
    assert!(inbox.try_recv(&mut budget).is_some());
    assert!(inbox.delay() >= Duration::from_millis(30));
    assert!(inbox.try_recv(&mut budget).is_some());
    assert!(inbox.delay() < Duration::from_millis(30));
    assert!(inbox.try_recv(&mut budget).is_none());
    assert_eq!(inbox.delay(), Duration::ZERO);
}
