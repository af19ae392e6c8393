//! Daemons whose own path to the store fails while other daemons reach it.

mod fake;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_model::ZoneName;
use stoatwell_node::DaemonInfo;
use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::SchedulerRequest;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_node::relay::StoreCall;
use stoatwell_node::relay::path::OwnOutcome;
use stoatwell_node::relay::path::PathCall;
use stoatwell_node::relay::path::PathChange;
use stoatwell_node::relay::path::RelayOutcome;
use stoatwell_node::relay::path::SILENCE_MS;
use stoatwell_node::relay::path::ServedCalls;
use stoatwell_node::relay::path::Step;
use stoatwell_node::relay::path::StorePaths;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::leader::FakeLeader;

/// Longest time without a start that is required of a rejected leader.
const GAP_MAX: Duration = Duration::from_millis(500);
/// A leader reads the list of daemons in this time.
const LIST_TIME: Duration = Duration::from_millis(2_300);
/// Calls to the store for one table, one after another. Together they take longer than a relayed
/// call may.
const LONG_READ_CALLS: usize = 640;
/// The longest takeover through other daemons.
const TAKEOVER_MAX: Duration = Duration::from_secs(5);
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_JOB: AtomicU64 = AtomicU64::new(1);

/// A leader with a worker, and two daemons that share its rows.
struct Deployment {
    store: Arc<FakePlatform>,
    leader: Node<FakePlatform>,
    others: Vec<(Arc<FakePlatform>, Node<FakePlatform>)>,
}

impl Deployment {
    async fn start() -> Self {
        let store = Arc::new(FakePlatform::with_worker());
        let leader = start("a", &store).await;
        wait_until("a leader", 3_000, || leader.scheduler().is_some()).await;
        let mut others = Vec::new();
        for name in ["b", "c"] {
            let other = Arc::new(store.for_other_daemon());
            others.push((Arc::clone(&other), start(name, &other).await));
        }
        tokio::time::sleep(LIST_TIME).await;
        Self { store, leader, others }
    }

    /// Submits jobs through a daemon for this time; returns the longest time without a start, and
    /// how many submissions were not accepted.
    async fn load(&self, gateway: &Node<FakePlatform>, time: Duration) -> (Duration, usize) {
        let end = Instant::now() + time;
        let mut started = (self.store.first_starts_received(), Instant::now());
        let mut gap = Duration::ZERO;
        let mut submissions = tokio::task::JoinSet::new();
        loop {
            let gateway = Arc::clone(gateway.gateway());
            let job_id = JobId(NEXT_JOB.fetch_add(1, Ordering::Relaxed));
            submissions
                .spawn(async move { gateway.submit(job_id, &job(), deadline_in(2_000)).await });
            tokio::time::sleep(SUBMIT_INTERVAL).await;
            let count = self.store.first_starts_received();
            gap = gap.max(started.1.elapsed());
            if count > started.0 {
                started = (count, Instant::now());
            }
            if Instant::now() >= end {
                break;
            }
        }
        let answers = submissions.join_all().await;
        (gap, answers.iter().filter(|answer| **answer != Accepted::Yes).count())
    }
}

/// Guards against a pool without starts while the store rejects the leader only, and against a
/// change of leader because of it. The own path is used again once it answers.
#[tokio::test]
async fn a_rejected_leader_goes_on_starting_tasks() {
    for behavior in [StoreBehavior::RefusesAll, StoreBehavior::Resets, StoreBehavior::Silent] {
        let pool = Deployment::start().await;
        let (usual, failed) = pool.load(&pool.leader, Duration::from_millis(500)).await;
        assert_eq!(failed, 0);
        pool.store.set_behavior(behavior);
        let (gap, failed) = pool.load(&pool.leader, Duration::from_secs(3)).await;
        println!("{behavior:?}: usual gap {usual:?}, gap {gap:?}, {failed} not accepted");
        assert!(gap < GAP_MAX, "{behavior:?}: no start for {gap:?}");
        assert!(pool.leader.scheduler().is_some(), "{behavior:?}: the leader changed");
        pool.store.set_behavior(StoreBehavior::Normal);
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (other, _) in &pool.others {
            other.set_behavior(StoreBehavior::RefusesAll);
        }
        let (gap, _) = pool.load(&pool.leader, Duration::from_secs(1)).await;
        assert!(gap < GAP_MAX, "{behavior:?}: the own path is not used again");
    }
}

/// Guards against a leader that goes on without any path to the store.
#[tokio::test]
async fn a_leader_without_any_path_is_replaced() {
    let pool = Deployment::start().await;
    for (other, _) in &pool.others {
        other.set_behavior(StoreBehavior::RefusesAll);
    }
    pool.store.set_behavior(StoreBehavior::RefusesAll);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let late = Arc::new(pool.store.for_other_daemon());
    let node = start("d", &late).await;
    wait_until("the next leader", 3_500, || node.scheduler().is_some()).await;
    wait_until("the end of the last leader", 3_500, || pool.leader.scheduler().is_none()).await;
}

/// Guards against a daemon that is rejected together with the leader's own path and loses its
/// callers' submissions, although others reach the store.
#[tokio::test]
async fn submissions_of_a_rejected_daemon_are_accepted() {
    let pool = Deployment::start().await;
    let (rejected_store, rejected) = &pool.others[0];
    rejected_store.set_behavior(StoreBehavior::RefusesAll);
    pool.store.set_behavior(StoreBehavior::RefusesAll);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (_, failed) = pool.load(rejected, Duration::from_secs(1)).await;
    assert_eq!(failed, 0);
}

/// Guards against a new leader that never reads its tables through other daemons because each of
/// them takes longer than one relayed call may.
#[tokio::test]
async fn a_rejected_new_leader_reads_long_tables_through_others() {
    let mut pool = Deployment::start().await;
    let last = Arc::new(pool.store.for_other_daemon());
    pool.others.push((Arc::clone(&last), start("d", &last).await));
    for (other, _) in &pool.others {
        other.set_calls_per_read(LONG_READ_CALLS);
    }
    tokio::time::sleep(LIST_TIME).await;
    pool.leader.stop().await;
    let is_reading = |other: &FakePlatform| other.page_calls(Table::Jobs) > 0;
    wait_until("the next leader", 5_000, || pool.others.iter().any(|(other, _)| is_reading(other)))
        .await;
    let next = pool.others.iter().find(|(other, _)| is_reading(other));
    let (rejected, next) = next.expect("one of them reads");
    rejected.set_behavior(StoreBehavior::Resets);
    let began = Instant::now();
    wait_until("the scheduler", 3_000, || next.scheduler().is_some()).await;
    let (reply_sender, reply) = tokio::sync::oneshot::channel();
    let request = SchedulerRequest::State(JobId(0), reply_sender);
    next.scheduler().expect("it leads").send(request).await.expect("it schedules");
    let reply = tokio::time::timeout(TAKEOVER_MAX, reply).await;
    println!("{:?} after the rejection", began.elapsed());
    assert!(reply.is_ok(), "the new leader is not ready");
}

/// Guards against a rejected daemon that does not lead and finds no other daemon: the leader takes
/// no submissions, and only tells the list of daemons.
#[tokio::test]
async fn a_rejected_daemon_writes_through_another_one() {
    let store = Arc::new(FakePlatform::default());
    let leader = FakeLeader::start(&store).await;
    let rejected_store = Arc::new(store.for_other_daemon());
    let rejected = start("b", &rejected_store).await;
    let _other = start("c", &Arc::new(store.for_other_daemon())).await;
    wait_until("the list", 2_000, || store.rows(Table::Daemons).len() == 2).await;
    wait_until("the leader", 2_000, || rejected.gateway().leader_reaches_store()).await;
    rejected_store.set_behavior(StoreBehavior::RefusesAll);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let accepted = rejected.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await;
    assert_eq!(accepted, Accepted::Yes);
    assert_eq!(store.rows(Table::Jobs).len(), 1);
    assert!(leader.other_calls.load(Ordering::Relaxed) > 0, "the leader was not asked first");
}

/// Guards against a relayed call that differs from the direct one, in its conditions above all.
#[tokio::test]
async fn a_relayed_call_has_the_result_of_a_direct_one() {
    let store = FakePlatform::default();
    let put = vec![(Table::Duty, "k".to_owned(), vec![1])];
    let expect = vec![(Table::Duty, "k".to_owned(), 0)];
    let transaction = Transaction { expect, put, ..Transaction::default() };
    let call = StoreCall::Transact(transaction.clone());
    assert!(call.clone().make(&store).await.is_ok());
    let direct = store.transact(&transaction).await.expect_err("the row exists");
    assert!(matches!(direct, StoreError::Conflict(_)));
    let codec = stoatwell_node::executors::call::encode;
    let decoded: StoreCall =
        stoatwell_node::executors::call::decode("call", &codec(&call)).expect("decodable");
    assert_eq!(decoded, call);
    assert_eq!(decoded.make(&store).await, Err(direct));
}

fn info(address: &str, zone: &str) -> DaemonInfo {
    let (address, zone) = (address.to_owned(), ZoneName::new(zone));
    DaemonInfo { address, zone, cores: 0.5, link_mbps: 10.0 }
}

fn paths() -> StorePaths {
    let mut paths = StorePaths::new("a", "a:1", ZoneName::new("z"));
    paths.update_daemons(&[info("far:1", "y"), info("a:1", "z"), info("near:1", "z")]);
    paths
}

fn begin(paths: &mut StorePaths, now_ms: u64) -> Step {
    paths.begin(&mut PathCall::new(true, true, 100), now_ms)
}

/// Guards against relaying because of one rate limit, however many calls meet it.
#[test]
fn refusals_of_one_moment_are_not_relayed() {
    let mut paths = paths();
    for _ in 0..20 {
        paths.record_own(OwnOutcome::Refused, 1_000);
    }
    assert!(!paths.needs_probe());
    paths.record_own(OwnOutcome::Answered, 1_010);
    for ms in [1_100, 4_000, 7_000] {
        paths.record_own(OwnOutcome::Refused, ms);
    }
    assert!(!paths.needs_probe(), "failures that are seconds apart do not belong together");
    for ms in [7_050, 7_100] {
        paths.record_own(OwnOutcome::Refused, ms);
    }
    assert!(paths.needs_probe());
    assert_eq!(paths.record_own_probe(Some(OwnOutcome::Answered), false, 7_110), None);
    assert_eq!(begin(&mut paths, 7_120), Step::Own, "only some calls are refused");
}

/// Guards against relaying because the whole store is slow or down.
#[test]
fn silence_counts_only_if_others_are_answered() {
    let mut paths = paths();
    paths.record_own(OwnOutcome::Answered, 1_000);
    paths.record_overdue(1_000 + SILENCE_MS - 1);
    assert!(!paths.needs_probe(), "another call was answered lately");
    paths.record_overdue(1_000 + SILENCE_MS);
    assert_eq!(paths.record_own_probe(None, false, 1_400), None);
    assert!(!paths.needs_probe());
    paths.record_overdue(1_500);
    assert_eq!(paths.record_own_probe(None, true, 1_600), Some(PathChange::Failed));
}

/// Guards against writes through a daemon that is not known to relay, against daemons of other
/// zones while one of the same zone relays, and against too many calls through one daemon.
#[test]
fn relays_are_probed_and_bounded() {
    let mut paths = paths();
    paths.record_overdue(1_000);
    assert_eq!(paths.record_own_probe(None, true, 1_000), Some(PathChange::Failed));
    let near = "near:1".to_owned();
    assert_eq!(begin(&mut paths, 1_000), Step::Probe(near.clone()));
    assert_eq!(begin(&mut paths, 1_001), Step::Own, "one search at a time");
    paths.record_relay(&near, RelayOutcome::Answered, 1_010);
    let mut through = 0;
    while begin(&mut paths, 1_020) == Step::Relay(near.clone()) {
        through += 1;
    }
    assert!((8..=64).contains(&through), "{through} calls through one daemon");
    paths.release(&near, 100);
    let mut large = PathCall::new(true, true, 64 * 1024 * 1024);
    assert_ne!(paths.begin(&mut large, 1_300), Step::Relay(near.clone()));
    paths.record_relay(&near, RelayOutcome::Declined, 1_600);
    assert_eq!(begin(&mut paths, 1_700), Step::Probe("far:1".to_owned()));
}

/// Guards against a path that flaps: each return that does not last takes more answers.
#[test]
fn a_path_that_fails_again_soon_is_used_later() {
    let mut paths = paths();
    let mut now_ms = 1_000;
    let mut taken = Vec::new();
    for _ in 0..3 {
        paths.record_overdue(now_ms);
        assert_eq!(paths.record_own_probe(None, true, now_ms), Some(PathChange::Failed));
        let mut answers = 0;
        while paths.has_failed() {
            now_ms += 100;
            answers += 1;
            paths.record_own_probe(Some(OwnOutcome::Answered), false, now_ms);
        }
        taken.push(answers);
        now_ms += SILENCE_MS;
    }
    assert_eq!(taken, [2, 4, 8]);
}

/// Guards against a daemon that is overloaded by the calls of others, and against long polls that
/// leave no place for writes.
#[test]
fn calls_for_others_are_bounded() {
    let mut served = ServedCalls::default();
    let polls = (0..1_000).filter(|_| served.admit(true, 0)).count();
    let writes = (0..1_000).filter(|_| served.admit(false, 1_000)).count();
    assert!(polls < 50 && (8..200).contains(&writes), "{polls} polls, {writes} writes");
    served.release(false, 1_000);
    assert!(!served.admit(false, 100_000_000), "too many bytes");
    assert!(served.admit(false, 1_000));
}
