//! What callers are told about jobs that the store may have or get later. "Not accepted" means
//! that the job never runs.

mod fake;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::leader::FakeLeader;

/// A leader, and another daemon that forwards submissions to it.
struct TwoDaemons {
    leader_store: Arc<FakePlatform>,
    leader: Node<FakePlatform>,
    gateway_store: Arc<FakePlatform>,
    gateway: Node<FakePlatform>,
}

async fn two_daemons() -> TwoDaemons {
    let leader_store = Arc::new(FakePlatform::default());
    let leader = start("a", &leader_store).await;
    wait_until("a leader", 3_000, || leader.scheduler().is_some()).await;
    let gateway_store = Arc::new(leader_store.for_other_daemon());
    let gateway = start("b", &gateway_store).await;
    wait_until("a probe of the leader", 3_000, || gateway.gateway().leader_reaches_store()).await;
    TwoDaemons { leader_store, leader, gateway_store, gateway }
}

/// Submits a job at the gateway; the outcome when the leader has stopped with the job's write
/// under way.
async fn submit_before_the_leader_stops(daemons: &TwoDaemons, job_id: JobId) -> Accepted {
    daemons.leader_store.set_behavior(StoreBehavior::DelaysJobWrites);
    daemons.gateway_store.set_behavior(StoreBehavior::RefusesAll);
    let gateway = Arc::clone(daemons.gateway.gateway());
    let submission =
        tokio::spawn(async move { gateway.submit(job_id, &job(), deadline_in(2_800)).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemons.leader.stop().await;
    submission.await.expect("no panic")
}

/// The leader gives up its lease with the write of a forwarded submission under way, and the
/// forwarding daemon does not reach the store. Guards against a caller that is told "not run"
/// of a job that the store gets afterwards.
#[tokio::test]
async fn a_submission_that_a_former_leader_took_is_not_denied() {
    let daemons = two_daemons().await;
    let accepted = submit_before_the_leader_stops(&daemons, JobId(7)).await;
    daemons.leader_store.release_job_writes();
    wait_until("the delayed write", 1_000, || !daemons.leader_store.rows(Table::Jobs).is_empty())
        .await;
    assert_eq!(accepted, Accepted::Unknown);
}

/// Guards against a later try that is told "not run" by the daemon that forwarded an earlier
/// one, or by the former leader that took it, because neither reaches the store now.
#[tokio::test]
async fn a_later_try_of_a_job_in_doubt_is_not_denied() {
    let daemons = two_daemons().await;
    submit_before_the_leader_stops(&daemons, JobId(7)).await;
    daemons.leader_store.set_behavior(StoreBehavior::RefusesAll);
    for node in [&daemons.gateway, &daemons.leader] {
        let accepted = node.gateway().submit(JobId(7), &job(), deadline_in(2_800)).await;
        assert_eq!(accepted, Accepted::Unknown);
        let other = node.gateway().submit(JobId(8), &job(), deadline_in(2_800)).await;
        assert_eq!(other, Accepted::No);
    }
}

/// Guards against a repeated submission of an accepted job that is told "not run" while the
/// store is away.
#[tokio::test]
async fn a_repeat_of_an_accepted_job_is_not_denied() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    store.set_behavior(StoreBehavior::RefusesAll);
    wait_until("the loss of the store", 3_000, || !node.gateway().reaches_store()).await;
    let repeated = node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await;
    assert!(matches!(repeated, Accepted::Yes | Accepted::Unknown), "{repeated:?}");
}

/// The leader refuses a job. Guards against a daemon that writes the row itself after that, and
/// against a caller that is told "not run" of a job whose row another daemon has written for an
/// earlier try.
#[tokio::test]
async fn a_refusal_by_the_leader_is_final_unless_the_store_has_the_job() {
    let store = Arc::new(FakePlatform::default());
    let leader = FakeLeader::start(&store).await;
    leader.refuses_submissions.store(true, Ordering::Relaxed);
    let node = start("b", &store).await;
    wait_until("a probe of the leader", 3_000, || node.gateway().leader_reaches_store()).await;
    let refused = node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await;
    assert_eq!(refused, Accepted::Overloaded { retry_after_s: 3 });
    assert!(store.rows(Table::Jobs).is_empty());
    let row = serde_json::to_vec(&job()).expect("a row");
    let put = vec![(Table::Jobs, JobId(8).to_string(), row)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    let repeated = node.gateway().submit(JobId(8), &job(), deadline_in(2_000)).await;
    assert_eq!(repeated, Accepted::Yes);
}
