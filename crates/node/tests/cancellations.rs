//! When a cancellation is acknowledged, and what it holds up, with an in-memory store.

mod fake;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_node::JobLookup;
use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::Cancellation;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::START_VALIDITY_MS;
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;
use self::fake::leader::FakeLeader;

const JOB: JobId = JobId(7);
/// The most cancellations of unknown jobs that a daemon writes in one transaction.
const REQUESTS_PER_WRITE: usize = 32;
/// A caller's usual time.
const CALLER_MS: u64 = 3_000;
/// No start of a job reaches a worker later than this after a cancellation became durable.
const STARTS_VOID: Duration = Duration::from_millis(START_VALIDITY_MS + 500);
/// A start of a job that may run is sent within this time.
const START_TIME: Duration = Duration::from_millis(800);

fn job_of(customer: &str) -> JobSpec {
    let name = CustomerName::new(customer);
    let limits = CustomerLimits { name, weight: 10.0, cap: Resources::ZERO };
    JobSpec { customer: Some(limits), ..job() }
}

async fn leader_with_worker() -> (Arc<FakePlatform>, Node<FakePlatform>) {
    let store = Arc::new(FakePlatform::with_worker());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    (store, node)
}

async fn cancel(
    node: &Node<FakePlatform>,
    job: JobId,
    caller: Option<&CustomerName>,
) -> Option<Accepted> {
    node.gateway().cancel(job, caller, deadline_in(CALLER_MS)).await
}

async fn submit(node: &Node<FakePlatform>, job: JobId, spec: &JobSpec) {
    assert_eq!(node.gateway().submit(job, spec, deadline_in(2_000)).await, Accepted::Yes);
}

/// Guards against a task that starts after its caller was told "no such job" because the store
/// answered the lookup from the time before the submission.
#[tokio::test]
async fn a_job_that_a_stale_read_did_not_show_is_cancelled() {
    let (store, leader) = leader_with_worker().await;
    store.set_behavior(StoreBehavior::HidesChangesOfJobs);
    let gateway_store = Arc::new(store.for_other_daemon());
    gateway_store.set_behavior(StoreBehavior::HidesLeaderLease);
    let gateway = start("b", &gateway_store).await;
    store.save_snapshot();
    submit(&gateway, JOB, &job()).await;
    store.serve_snapshot(1, Table::Jobs);
    let answer = cancel(&gateway, JOB, None).await;
    gateway_store.set_behavior(StoreBehavior::Normal);
    wait_until("the leader", 2_000, || gateway.gateway().leader_reaches_store()).await;
    tokio::time::sleep(2 * START_TIME).await;
    assert_eq!(store.first_starts_received(), 0);
    assert_eq!(leader.gateway().state(JOB, None).await, JobLookup::State(JobState::Cancelled));
    assert_eq!(answer, Some(Accepted::Yes));
}

/// Guards against a task that starts although its caller was told "no such job": the submission was
/// still on its way.
#[tokio::test]
async fn a_job_that_was_cancelled_before_its_submission_does_not_run() {
    let (store, node) = leader_with_worker().await;
    let customer = CustomerName::new("a");
    assert_eq!(cancel(&node, JOB, Some(&customer)).await, None);
    assert_eq!(node.gateway().state(JOB, Some(&customer)).await, JobLookup::NoJob);
    submit(&node, JOB, &job_of("a")).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(store.first_starts_received(), 0);
    let cancelled = JobLookup::State(JobState::Cancelled);
    assert_eq!(node.gateway().state(JOB, Some(&customer)).await, cancelled);
    node.stop().await;
    assert_eq!(node.gateway().state(JOB, Some(&customer)).await, cancelled);
}

/// Guards against a customer that cancels a job that another one submits later.
#[tokio::test]
async fn a_cancellation_by_another_customer_does_not_reach_a_later_job() {
    let (store, node) = leader_with_worker().await;
    let [owner, other] = ["a", "b"].map(CustomerName::new);
    for caller in [Some(&other), None] {
        assert_eq!(cancel(&node, JOB, caller).await, None);
    }
    submit(&node, JOB, &job_of("a")).await;
    wait_until("the start", 2_000, || store.first_starts_received() == 1).await;
    assert_eq!(cancel(&node, JOB, Some(&other)).await, None);
    let running = JobLookup::State(JobState::Running);
    assert_eq!(node.gateway().state(JOB, Some(&owner)).await, running);
    node.stop().await;
    // Without a leader the daemon decides by the rows, with the same result.
    assert_eq!(node.gateway().state(JOB, Some(&owner)).await, running);
}

/// Guards against a cancellation that is lost because another customer cancels the same unknown
/// job: whoever submits it, it was cancelled.
#[tokio::test]
async fn cancellations_of_one_unknown_job_by_two_customers_both_count() {
    for (id, owner) in [(7, "a"), (8, "b")] {
        let (store, node) = leader_with_worker().await;
        let job = JobId(id);
        let [a, b] = ["a", "b"].map(CustomerName::new);
        let answers = tokio::join!(cancel(&node, job, Some(&a)), cancel(&node, job, Some(&b)));
        assert_eq!(answers, (None, None));
        submit(&node, job, &job_of(owner)).await;
        tokio::time::sleep(START_TIME).await;
        assert_eq!(store.first_starts_received(), 0, "submitted by {owner}");
    }
}

/// Guards against writes that conflict in turn until their callers give up: what one conflict had
/// shown of a cancellation's row was forgotten with the next conflict, of another row.
#[tokio::test]
async fn cancellations_of_unknown_jobs_that_others_cancelled_are_written_together() {
    let (store, node) = leader_with_worker().await;
    let [caller, other] = ["a", "b"].map(CustomerName::new);
    let is_in_partition = |number: &u64| JobId(*number).partition() == JOB.partition();
    let jobs: Vec<JobId> =
        (1..).filter(is_in_partition).map(JobId).take(REQUESTS_PER_WRITE + 1).collect();
    let [first, second, .., last] = jobs[..] else { panic!("more jobs") };
    for (job, customer) in [(first, &other), (second, &caller), (last, &other)] {
        let row = serde_json::to_vec(&Cancellation::by(Some(customer))).expect("encoded");
        let put = vec![(Table::Cancels, job.to_string(), row)];
        store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    }
    let mut answers = JoinSet::new();
    for job in jobs {
        let gateway = Arc::clone(node.gateway());
        let caller = caller.clone();
        answers
            .spawn(async move { gateway.cancel(job, Some(&caller), deadline_in(CALLER_MS)).await });
    }
    assert!(answers.join_all().await.iter().all(Option::is_none));
    assert_eq!(store.rows(Table::Cancels).len(), REQUESTS_PER_WRITE + 1);
}

/// Guards against "no such job" from a daemon that could write no cancellation: the caller takes it
/// as the acknowledgement.
#[tokio::test]
async fn no_such_job_is_not_answered_while_the_store_refuses_writes() {
    let (store, node) = leader_with_worker().await;
    store.set_behavior(StoreBehavior::RefusesWrites);
    assert_eq!(cancel(&node, JOB, None).await, Some(Accepted::No));
    assert!(store.rows(Table::Cancels).is_empty());
}

/// Guards against callers that cannot cancel an unknown job through a daemon whose writes the store
/// refuses: the leader writes the cancellation.
#[tokio::test]
async fn the_leader_writes_cancellations_of_unknown_jobs_for_other_daemons() {
    let (store, leader) = leader_with_worker().await;
    let refusing = Arc::new(store.for_other_daemon());
    let gateway = start("b", &refusing).await;
    wait_until("the leader", 2_000, || gateway.gateway().leader_reaches_store()).await;
    refusing.set_behavior(StoreBehavior::RefusesWrites);
    assert_eq!(cancel(&gateway, JOB, None).await, None);
    assert_eq!(store.rows(Table::Cancels).len(), 1);
    submit(&leader, JOB, &job()).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(store.first_starts_received(), 0);
}

/// Guards against a caller that is told "unknown" although the cancellation of an unknown job is
/// durable: the response to the write was lost, and the retry conflicts with it.
#[tokio::test]
async fn a_cancellation_of_an_unknown_job_whose_response_was_lost_is_found() {
    let (store, node) = leader_with_worker().await;
    store.set_behavior(StoreBehavior::LosesOneResponse);
    assert_eq!(cancel(&node, JOB, None).await, None);
    assert_eq!(store.rows(Table::Cancels).len(), 1);
}

/// A daemon whose leader is a fake one, and that leader.
async fn daemon_with_fake_leader() -> (Node<FakePlatform>, Arc<FakeLeader>) {
    let store = Arc::new(FakePlatform::default());
    let leader = FakeLeader::start(&store).await;
    let node = start("b", &store).await;
    wait_until("the leader", 2_000, || node.gateway().leader_reaches_store()).await;
    (node, leader)
}

/// Guards against a caller that is told "cancelled" while the leader does not know it, and so may
/// still send a start whose row was written before.
#[tokio::test]
async fn a_cancellation_is_answered_once_the_leader_has_handled_it() {
    let (node, leader) = daemon_with_fake_leader().await;
    submit(&node, JOB, &job()).await;
    let began = Instant::now();
    let gateway = Arc::clone(node.gateway());
    let answer =
        tokio::spawn(async move { gateway.cancel(JOB, None, deadline_in(CALLER_MS)).await });
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!answer.is_finished(), "answered while the leader does not know");
    leader.acknowledges.store(true, Ordering::Relaxed);
    assert_eq!(answer.await.expect("no panic"), Some(Accepted::Yes));
    assert!(began.elapsed() < STARTS_VOID, "{:?}", began.elapsed());
    let began = Instant::now();
    assert_eq!(cancel(&node, JobId(8), None).await, None);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

/// Guards against a caller that is told "cancelled" while a leader that this daemon does not know
/// may still send a start whose row was written before.
#[tokio::test]
async fn without_a_leader_a_cancellation_is_answered_once_earlier_starts_are_void() {
    let store = Arc::new(FakePlatform::default());
    store.set_behavior(StoreBehavior::HidesLeaderLease);
    let node = start("b", &store).await;
    submit(&node, JOB, &job()).await;
    for (job, answer) in [(JOB, Some(Accepted::Yes)), (JobId(8), None)] {
        let early = node.gateway().cancel(job, None, deadline_in(1_000)).await;
        assert_eq!(early, Some(Accepted::Unknown));
        let began = Instant::now();
        assert_eq!(cancel(&node, job, None).await, answer);
        assert!(began.elapsed() >= STARTS_VOID, "{:?}", began.elapsed());
    }
}

/// Guards against a caller that is told "cancelled" while a start is on its way to a worker.
#[tokio::test]
async fn a_cancellation_is_not_answered_while_a_start_is_on_its_way() {
    let (store, node) = leader_with_worker().await;
    submit(&node, JOB, &job()).await;
    wait_until("the start", 2_000, || store.first_starts_received() == 1).await;
    let began = Instant::now();
    assert_eq!(cancel(&node, JOB, None).await, Some(Accepted::Yes));
    assert!(began.elapsed() >= STARTS_VOID, "{:?}", began.elapsed());
}

/// Guards against callers that wait although nothing can start any more: the usual case, and a
/// job that has ended.
#[tokio::test]
async fn a_cancellation_is_answered_at_once_if_no_start_is_on_its_way() {
    let (store, node) = leader_with_worker().await;
    store.answer_first_starts();
    submit(&node, JOB, &job()).await;
    while node.gateway().state(JOB, None).await != JobLookup::State(JobState::Completed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let no_worker =
        JobSpec { queue: QueueSpec { service: "x".to_owned(), ..job().queue }, ..job() };
    submit(&node, JobId(8), &no_worker).await;
    for job in [JOB, JobId(8), JobId(8)] {
        let began = Instant::now();
        assert_eq!(cancel(&node, job, None).await, Some(Accepted::Yes));
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    }
}

/// Guards against a wave of cancellations that keeps a leader behind: each one costs it few calls,
/// whether it acknowledges them or not.
#[tokio::test]
async fn a_wave_of_cancellations_costs_the_leader_few_calls() {
    const WAVE: usize = 500;
    for (acknowledges, calls_each_max) in [(true, 1), (false, 3)] {
        let (node, leader) = daemon_with_fake_leader().await;
        leader.acknowledges.store(acknowledges, Ordering::Relaxed);
        let cancels = (0..WAVE).map(|number| {
            let gateway = Arc::clone(node.gateway());
            tokio::spawn(async move {
                gateway.cancel(JobId(number as u64), None, deadline_in(CALLER_MS)).await
            })
        });
        for answer in cancels.collect::<Vec<_>>() {
            assert_eq!(answer.await.expect("no panic"), None);
        }
        let notifications = leader.cancellations.load(Ordering::Relaxed);
        assert!((WAVE..=WAVE * calls_each_max).contains(&notifications), "{notifications}");
        assert_eq!(leader.other_calls.load(Ordering::Relaxed), WAVE);
    }
}
