//! Tests of worker assignment and leases when daemons join, leave, pause or disagree.

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

fn assignments(daemons: &[DaemonId]) -> BTreeMap<u32, DaemonId> {
    let assign = |number: u32| rendezvous::select(&format!("worker-{number}"), daemons).cloned();
    (0..3_000).filter_map(|number| assign(number).map(|daemon| (number, daemon))).collect()
}

/// Each day, 958 daemons and workers fail or are replaced. If every change reassigned
/// all workers, their leases would change holders all the time.
#[test]
fn only_the_dead_daemons_workers_move() {
    let all = daemons(4);
    let before = assignments(&all);
    let after = assignments(&all[1..]);
    let moved = before.iter().filter(|(number, daemon)| after.get(number) != Some(daemon)).count();
    let dead = before.values().filter(|daemon| **daemon == all[0]).count();
    assert_eq!(moved, dead);
    assert!((600..=900).contains(&dead), "{dead} of 3,000 workers is not an equal share");
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

fn lease_table() -> (LeaseTable, WorkerId, Vec<DaemonId>) {
    let me = DaemonId::new("me");
    let worker = WorkerId::new("w");
    let mut leases = LeaseTable::new(me.clone(), 6_000, 2_000, 5);
    leases.update_workers([(worker.clone(), "127.0.0.1:1".to_owned())]);
    (leases, worker, vec![me])
}

fn acquire(leases: &mut LeaseTable, worker: &WorkerId, holders: &[DaemonId], now_ms: u64) {
    let actions = leases.due(now_ms, holders, None, |_| false);
    let [LeaseAction::Acquire { token, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(leases.on_reply(now_ms, worker, Some(&granted(*token))), LeaseEvent::Acquired);
}

/// A daemon is paused until after its lease expired. If it still relied on the lease, it
/// would start work on a worker that another daemon holds by now.
#[test]
fn lease_expiry_counts_from_the_time_of_the_call() {
    let (mut leases, worker, holders) = lease_table();
    acquire(&mut leases, &worker, &holders, 1_000);
    assert_eq!(leases.token(6_999, &worker), Some(1));
    assert_eq!(leases.token(7_000, &worker), None);
    assert_eq!(leases.expired(7_000), vec![worker.clone()]);
    assert_eq!(leases.drop_lease(&worker), LeaseEvent::Lost);
}

/// The lease is dropped while a renewal is in flight. The response must not restore the
/// lease, because the daemon no longer knows what runs on the worker.
#[test]
fn late_renewal_does_not_restore_a_dropped_lease() {
    let (mut leases, worker, holders) = lease_table();
    acquire(&mut leases, &worker, &holders, 1_000);
    let actions = leases.due(1_100, &holders, None, |_| false);
    assert!(matches!(actions.as_slice(), [LeaseAction::Renew { .. }]));
    leases.drop_lease(&worker);
    let late = WorkerReply::Renewed {
        changes: Vec::new(),
        minions: Vec::new(),
        foreign: Resources::ZERO,
        seq: 2,
    };
    assert_eq!(leases.on_reply(1_200, &worker, Some(&late)), LeaseEvent::Unchanged);
    assert_eq!(leases.token(1_200, &worker), None);
}

/// Daemons join, and one of them is selected for the worker. The lease must be released,
/// but not while a start is in flight, and not for many workers at once.
#[test]
fn lease_on_a_busy_worker_is_released_once_it_is_idle() {
    let (mut leases, worker, holders) = lease_table();
    acquire(&mut leases, &worker, &holders, 1_000);
    let others = daemons(40);
    let while_busy = leases.due(2_000, &others, None, |_| true);
    assert!(matches!(while_busy.as_slice(), [LeaseAction::Renew { .. }]), "{while_busy:?}");
    leases.on_reply(2_000, &worker, None);
    let when_idle = leases.due(3_500, &others, None, |_| false);
    assert!(matches!(when_idle.as_slice(), [LeaseAction::Release { .. }]), "{when_idle:?}");
}

/// It is not known whether an acquisition without a response took effect. The worker
/// must not refuse the next one because of an outdated token.
#[test]
fn unanswered_acquisition_is_retried_with_a_higher_token() {
    let (mut leases, worker, holders) = lease_table();
    leases.due(1_000, &holders, None, |_| false);
    leases.on_reply(1_500, &worker, None);
    let actions = leases.due(3_000, &holders, None, |_| false);
    assert!(matches!(actions.as_slice(), [LeaseAction::Acquire { token: 2, .. }]), "{actions:?}");
}
