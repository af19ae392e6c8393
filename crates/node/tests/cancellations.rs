//! When a cancellation is acknowledged, and what it holds up, with an in-memory store.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_node::JobLookup;
use stoatwell_node::Node;
use stoatwell_node::Table;
use stoatwell_pool::Accepted;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

const JOB: JobId = JobId(7);
/// A caller's usual time.
const CALLER_MS: u64 = 3_000;
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
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
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
