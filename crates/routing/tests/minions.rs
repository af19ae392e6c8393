//! Request slots, circuit breakers and retry budgets.

use stoatwell_model::MinionId;
use stoatwell_model::OwnerName;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::MinionState;
use stoatwell_routing::Minions;
use stoatwell_routing::RequestQueue;
use stoatwell_routing::RetryBudget;
use stoatwell_routing::minions::RequestEnd;

fn minions(count: u32, busy: u32) -> (Minions, OwnerName) {
    let mut minions = Minions::new(3, 1_000);
    let owner = OwnerName::new("nyaysetu");
    for number in 0..count {
        let worker = WorkerId::new(format!("w{number}"));
        let state = MinionState {
            minion: MinionId::new(format!("m{number}")),
            group: "sahay".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            slots: 8,
            connections: 6,
            busy,
        };
        minions.put_worker(&worker, &[state]);
        minions.set_owner(&worker, Some(&owner));
    }
    (minions, owner)
}

/// A new holder takes over while requests of the old one are still in progress. If they
/// did not count, the minion would get more requests than its limit.
#[test]
fn requests_of_the_previous_holder_count() {
    let (mut minions, owner) = minions(1, 4);
    assert!(minions.pick(0, "sahay", &owner).is_some());
    assert!(minions.pick(0, "sahay", &owner).is_some());
    assert_eq!(
        minions.pick(0, "sahay", &owner),
        None,
        "the limit is six connections, four were in use before"
    );
}

#[test]
fn least_busy_minion_is_picked_and_other_owners_get_none() {
    let (mut minions, owner) = minions(3, 0);
    let mut names: Vec<String> = (0..3)
        .filter_map(|_| minions.pick(0, "sahay", &owner))
        .map(|picked| picked.minion.to_string())
        .collect();
    names.sort();
    assert_eq!(names, ["m0", "m1", "m2"]);
    assert_eq!(minions.pick(0, "sahay", &OwnerName::new("bluebonnet")), None);
}

/// A minion accepts requests and never answers. Without a breaker, each of them would
/// cost its caller the whole deadline.
#[test]
fn breaker_opens_for_a_while_after_failures() {
    let (mut minions, owner) = minions(1, 0);
    for _ in 0..3 {
        let picked = minions.pick(0, "sahay", &owner).expect("the breaker is closed");
        minions.release(0, &picked.minion, RequestEnd::Failed);
    }
    assert_eq!(minions.pick(500, "sahay", &owner), None);
    minions.update(&[MinionState {
        minion: MinionId::new("m0"),
        group: "sahay".to_owned(),
        address: String::new(),
        slots: 8,
        connections: 6,
        busy: 0,
    }]);
    let retried = minions.pick(1_500, "sahay", &owner).expect("the minion is tried again");
    minions.release(1_500, &retried.minion, RequestEnd::NoFailure);
    assert!(minions.pick(1_500, "sahay", &owner).is_some());
}

/// If all minions fail and every request is retried, the load doubles at the worst
/// moment. The budget keeps retries to a share of the traffic.
#[test]
fn retries_stay_a_share_of_the_traffic() {
    let mut budget = RetryBudget::new(100);
    while budget.take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_first_try();
        retries += u32::from(budget.take());
    }
    assert!((99..=101).contains(&retries), "{retries} retries for 1,000 first attempts");
    let mut empty = RetryBudget::new(0);
    assert!(!empty.take());
}

/// Requests whose callers have given up must not take slots from others.
#[test]
fn expired_requests_leave_the_queue_without_a_slot() {
    let mut queue = RequestQueue::default();
    queue.push("sahay", 300, 3);
    queue.push("sahay", 100, 1);
    queue.push("sahay", 200, 2);
    assert_eq!(queue.take_expired(150), vec![1]);
    assert_eq!(queue.pop("sahay"), Some(2), "the earliest deadline comes first");
    assert_eq!((queue.len(), queue.pop("other")), (1, None));
}
