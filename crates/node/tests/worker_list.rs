//! The leader's view of a list of workers in which thousands of heartbeats arrive.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_node::SchedulerRequest;
use stoatwell_node::WorkerChanges;
use stoatwell_node::WorkerList;
use stoatwell_pool::Event;
use stoatwell_pool::PoolDump;
use stoatwell_pool::WorkerUpdate;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

fn entry(name: &str, draining: bool) -> WorkerUpdate {
    WorkerUpdate {
        worker: WorkerId::new(name),
        address: "10.0.0.1:1".to_owned(),
        service: "s".to_owned(),
        zone: ZoneName::new("z"),
        capacity: Resources::ZERO,
        labels: Vec::new(),
        draining,
        remaining_ms: None,
        incarnation: 1,
    }
}

fn listed(workers: Vec<WorkerUpdate>) -> WorkerChanges {
    WorkerChanges { listed: workers, ..WorkerChanges::default() }
}

async fn dump(scheduler: &mpsc::Sender<SchedulerRequest>) -> PoolDump {
    let (sender, reply) = oneshot::channel();
    scheduler.send(SchedulerRequest::Dump(sender)).await.expect("the leader runs");
    reply.await.expect("the leader replies")
}

/// 4,000 heartbeats a second, several times as many as the responses to polls at intervals can
/// carry. Guards against tasks that are started on a worker seconds after it said that it leaves.
#[tokio::test]
async fn a_leaving_worker_is_noticed_beside_thousands_of_heartbeats() {
    let leaves_after = Duration::from_secs(2);
    let store = Arc::new(FakePlatform::with_heartbeats(200, 4_000, leaves_after));
    let began = Instant::now();
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let scheduler = node.scheduler().expect("leads");
    let limit = leaves_after + Duration::from_secs(2);
    loop {
        let dump = dump(&scheduler).await;
        if dump.workers.iter().any(|worker| worker.worker == "w0" && worker.draining) {
            break;
        }
        assert!(began.elapsed() < limit, "view of the workers is {} ms old", dump.workers_age_ms);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a scheduler that spends its time on heartbeats, which it handles before
/// everything else.
#[test]
fn heartbeats_are_not_passed_on() {
    let mut list = WorkerList::new(&[entry("a", false), entry("b", false)], 1_000);
    let changes = listed(vec![entry("a", false), entry("b", true), entry("b", true)]);
    let events = list.apply(changes, 1_100, 1_110);
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(matches!(&events[0], Event::Listed(update) if update.draining));
}

/// Guards against a view that counts as up to date although the store has more changes.
#[test]
fn a_response_with_a_part_of_the_changes_leaves_the_view_old() {
    let mut list = WorkerList::new(&[], 1_000);
    let changes = WorkerChanges { has_more: true, ..listed(vec![entry("a", false)]) };
    list.apply(changes, 3_000, 3_010);
    assert_eq!(list.age_ms(3_010), 2_010);
    list.apply(listed(Vec::new()), 3_020, 3_030);
    assert_eq!(list.age_ms(3_030), 10);
}

/// Guards against a worker that stays closed after its entry was removed and came back as it
/// was.
#[test]
fn a_worker_that_is_listed_again_is_passed_on() {
    let mut list = WorkerList::new(&[entry("a", false)], 1_000);
    let removed = WorkerChanges { unlisted: vec![WorkerId::new("a")], ..WorkerChanges::default() };
    assert!(list.apply(removed, 1_100, 1_100).is_empty());
    let events = list.apply(WorkerChanges::default(), 4_000, 4_000);
    assert!(matches!(&*events, [Event::Unlisted { .. }]), "{events:?}");
    let events = list.apply(listed(vec![entry("a", false)]), 4_100, 4_100);
    assert!(matches!(&*events, [Event::Listed(_)]), "{events:?}");
}

/// Guards against a worker whose removal is missed because the store dropped its history.
#[test]
fn a_read_of_the_whole_list_shows_removed_workers() {
    let mut list = WorkerList::new(&[entry("a", false), entry("b", false)], 1_000);
    assert!(list.replace(listed(vec![entry("b", false)]), 2_000, 2_000).is_empty());
    let events = list.apply(WorkerChanges::default(), 5_000, 5_000);
    let is_a = |event: &Event| matches!(event, Event::Unlisted { worker } if *worker == WorkerId::new("a"));
    assert!(events.len() == 1 && is_a(&events[0]), "{events:?}");
}

/// Guards against workers that are given up while the list cannot be read, as after an outage
/// in which their entries expired.
#[test]
fn a_removal_is_passed_on_only_after_the_list_was_readable_for_a_while() {
    let mut list = WorkerList::new(&[entry("a", false)], 1_000);
    let removed = WorkerChanges { unlisted: vec![WorkerId::new("a")], ..WorkerChanges::default() };
    list.apply(removed, 1_100, 1_100);
    list.record_failure(9_000);
    assert!(list.apply(WorkerChanges::default(), 9_100, 9_100).is_empty());
    assert!(list.apply(listed(vec![entry("a", false)]), 10_000, 10_000).is_empty());
    assert!(list.apply(WorkerChanges::default(), 20_000, 20_000).is_empty());
}
