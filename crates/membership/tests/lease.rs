//! Who holds which worker, as daemons come, go, pause and disagree.

use std::collections::BTreeMap;

use stoatwell_membership::LeaseAction;
use stoatwell_membership::LeaseEvent;
use stoatwell_membership::LeaseTable;
use stoatwell_membership::rendezvous;
use stoatwell_model::DaemonId;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::WorkerState;
use stoatwell_platform::WorkerReply;

fn daemons(count: u32) -> Vec<DaemonId> {
    (0..count).map(|number| DaemonId::new(format!("d{number}"))).collect()
}

fn owners(daemons: &[DaemonId]) -> BTreeMap<u32, DaemonId> {
    let of = |number: u32| rendezvous::select(&format!("worker-{number}"), daemons).cloned();
    (0..3_000).filter_map(|number| of(number).map(|daemon| (number, daemon))).collect()
}

/// 958 daemons and workers fail or are replaced a day. Were all workers dealt
/// out anew each time, they would do nothing but change hands.
#[test]
fn only_the_dead_daemons_workers_move() {
    let all = daemons(4);
    let before = owners(&all);
    let after = owners(&all[1..]);
    let moved = before.iter().filter(|(number, daemon)| after.get(number) != Some(daemon)).count();
    let dead = before.values().filter(|daemon| **daemon == all[0]).count();
    assert_eq!(moved, dead);
    assert!((600..=900).contains(&dead), "an even part: {dead} of 3,000");
}

fn granted(token: u64) -> WorkerReply {
    let state = WorkerState {
        worker: WorkerId::new("w"),
        capacity: Resources::ZERO,
        rack: String::new(),
        token,
        tasks: Vec::new(),
        minions: Vec::new(),
        foreign: Resources::ZERO,
    };
    WorkerReply::Granted { state, seq: 1 }
}

fn holding() -> (LeaseTable, WorkerId, Vec<DaemonId>) {
    let me = DaemonId::new("me");
    let worker = WorkerId::new("w");
    let mut holdings = LeaseTable::new(me.clone(), 6_000, 2_000, 5);
    holdings.update_workers([(worker.clone(), "127.0.0.1:1".to_owned())]);
    (holdings, worker, vec![me])
}

fn acquire(holdings: &mut LeaseTable, worker: &WorkerId, holders: &[DaemonId], now_ms: u64) {
    let actions = holdings.due(now_ms, holders, None, |_| false);
    let [LeaseAction::Acquire { token, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(holdings.on_reply(now_ms, worker, Some(&granted(*token))), LeaseEvent::Acquired);
}

/// A daemon is frozen past its lease and wakes up. Believing what it held, it
/// would start work on a worker that is another's by now.
#[test]
fn lease_ends_by_the_time_it_was_asked_for() {
    let (mut holdings, worker, holders) = holding();
    acquire(&mut holdings, &worker, &holders, 1_000);
    assert_eq!(holdings.token(6_999, &worker), Some(1));
    assert_eq!(holdings.token(7_000, &worker), None);
    assert_eq!(holdings.expired(7_000), vec![worker.clone()]);
    assert_eq!(holdings.drop_lease(&worker), LeaseEvent::Lost);
}

/// The renewal was on its way when the lease was given up here. Its answer
/// must not bring back a worker of which nothing is known any more.
#[test]
fn late_renewal_does_not_bring_a_worker_back() {
    let (mut holdings, worker, holders) = holding();
    acquire(&mut holdings, &worker, &holders, 1_000);
    let actions = holdings.due(1_100, &holders, None, |_| false);
    assert!(matches!(actions.as_slice(), [LeaseAction::Renew { .. }]));
    holdings.drop_lease(&worker);
    let late = WorkerReply::Renewed {
        changes: Vec::new(),
        minions: Vec::new(),
        foreign: Resources::ZERO,
        seq: 2,
    };
    assert_eq!(holdings.on_reply(1_200, &worker, Some(&late)), LeaseEvent::Unchanged);
    assert_eq!(holdings.token(1_200, &worker), None);
}

/// A better placed daemon came. The worker is given up, but not with a start
/// on its way, and not many workers at once.
#[test]
fn busy_workers_stay_until_they_are_idle() {
    let (mut holdings, worker, holders) = holding();
    acquire(&mut holdings, &worker, &holders, 1_000);
    let others = daemons(40);
    let stays = holdings.due(2_000, &others, None, |_| true);
    assert!(matches!(stays.as_slice(), [LeaseAction::Renew { .. }]), "{stays:?}");
    holdings.on_reply(2_000, &worker, None);
    let goes = holdings.due(3_500, &others, None, |_| false);
    assert!(matches!(goes.as_slice(), [LeaseAction::Release { .. }]), "{goes:?}");
}

/// Nobody knows whether an acquisition without an answer took effect. The next
/// one must not be refused as old.
#[test]
fn unanswered_acquisition_is_tried_with_a_higher_token() {
    let (mut holdings, worker, holders) = holding();
    holdings.due(1_000, &holders, None, |_| false);
    holdings.on_reply(1_500, &worker, None);
    let actions = holdings.due(3_000, &holders, None, |_| false);
    assert!(matches!(actions.as_slice(), [LeaseAction::Acquire { token: 2, .. }]), "{actions:?}");
}
