//! Slots, breakers and retry budgets.

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

/// A new holder takes over while requests of the old one are still in work. A
/// minion that got its full number again would have too many.
#[test]
fn requests_of_the_last_holder_count() {
    let (mut minions, owner) = minions(1, 4);
    assert!(minions.pick(0, "sahay", &owner).is_some());
    assert!(minions.pick(0, "sahay", &owner).is_some());
    assert_eq!(minions.pick(0, "sahay", &owner), None, "six connections bound it, four are in use");
}

#[test]
fn least_busy_minion_is_taken_and_others_owners_get_none() {
    let (mut minions, owner) = minions(3, 0);
    let mut names: Vec<String> = (0..3)
        .filter_map(|_| minions.pick(0, "sahay", &owner))
        .map(|picked| picked.minion.to_string())
        .collect();
    names.sort();
    assert_eq!(names, ["m0", "m1", "m2"]);
    assert_eq!(minions.pick(0, "sahay", &OwnerName::new("bluebonnet")), None);
}

/// A minion takes requests and never answers. Without a breaker each of them
/// would cost its caller the whole deadline.
#[test]
fn minion_that_fails_is_left_alone_for_a_while() {
    let (mut minions, owner) = minions(1, 0);
    for _ in 0..3 {
        let picked = minions.pick(0, "sahay", &owner).expect("it is open");
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
    let tried = minions.pick(1_500, "sahay", &owner).expect("it is tried again");
    minions.release(1_500, &tried.minion, RequestEnd::Answered);
    assert!(minions.pick(1_500, "sahay", &owner).is_some());
}

/// All minions fail and every request is tried again: the load doubles at the
/// worst moment. Retries stay a share of the traffic.
#[test]
fn retries_stay_a_share_of_the_traffic() {
    let mut budget = RetryBudget::new(100);
    while budget.take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_first_try();
        retries += u32::from(budget.take());
    }
    assert!((99..=101).contains(&retries), "{retries} retries for 1,000 tries");
    let mut none = RetryBudget::new(0);
    assert!(!none.take());
}

/// Requests whose callers have given up would still take slots from others.
#[test]
fn late_requests_leave_before_they_cost_a_slot() {
    let mut waiting = RequestQueue::default();
    waiting.push("sahay", 300, 3);
    waiting.push("sahay", 100, 1);
    waiting.push("sahay", 200, 2);
    assert_eq!(waiting.take_expired(150), vec![1]);
    assert_eq!(waiting.pop("sahay"), Some(2), "the earliest deadline first");
    assert_eq!((waiting.len(), waiting.pop("other")), (1, None));
}
