//! Rows that the store never takes, beside those of other jobs.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::StepSpec;
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;
use self::fake::leader::FakeLeader;

/// Longest value that the store takes.
const VALUE_BYTES_MAX: usize = 1_000;
/// Tasks of a job whose progress is longer, though its submission is not.
const TASKS: u32 = 100;
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(4);

fn long_submission() -> JobSpec {
    JobSpec { payload: "x".repeat(3_000), ..job() }
}

/// Jobs of one partition.
fn job_ids(count: usize) -> impl Iterator<Item = JobId> {
    (0_u64..).map(JobId).filter(|id| id.partition() == 0).take(count)
}

/// Submits one long job among others to a daemon at the same time; returns the outcomes.
async fn submit_beside_a_long_one(node: &Node<FakePlatform>) -> Vec<(bool, Accepted)> {
    let mut submissions = JoinSet::new();
    for (number, id) in job_ids(20).enumerate() {
        let gateway = Arc::clone(node.gateway());
        let is_long = number == 5;
        submissions.spawn(async move {
            let spec = if is_long { long_submission() } else { job() };
            let deadline = Instant::now() + SUBMISSION_TIMEOUT;
            (is_long, gateway.submit(id, &spec, deadline).await)
        });
    }
    submissions.join_all().await
}

fn assert_only_the_long_one_is_refused(outcomes: &[(bool, Accepted)]) {
    for (is_long, accepted) in outcomes {
        let expected = if *is_long { Accepted::TooLong } else { Accepted::Yes };
        assert_eq!(*accepted, expected);
    }
}

/// Guards against jobs that make no progress because the row of another job of their partition is too
/// long for the store, and against a job that stays behind once its row is taken.
#[tokio::test]
async fn a_row_that_is_not_taken_does_not_stop_other_jobs() {
    let store = Arc::new(FakePlatform::with_workers(1));
    let mut ids = job_ids(4);
    let wide = ids.next().expect("an id");
    let step = StepSpec { tasks: TASKS, estimate_ms: 3_000, ..job().steps[0].clone() };
    let wide_job = JobSpec { steps: vec![step], ..job() };
    let mut put = vec![(wide, wide_job)];
    put.extend(ids.map(|id| (id, job())));
    let put = put
        .into_iter()
        .map(|(id, spec)| (Table::Jobs, id.to_string(), serde_json::to_vec(&spec).expect("a row")));
    let put: Vec<_> = put.collect();
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.set_value_bytes_max(VALUE_BYTES_MAX);
    let node = start("a", &store).await;
    wait_until("the other jobs", 5_000, || store.first_starts_received() == 3).await;
    assert_eq!(store.rows(Table::Progress).len(), 3);
    store.set_value_bytes_max(0);
    let all = 3 + TASKS as usize;
    wait_until("the wide job", 10_000, || store.first_starts_received() == all).await;
    node.stop().await;
}

/// Guards against submissions that are refused because the leader writes them together with one that
/// the store never takes, and against the caller of that one being told to come back.
#[tokio::test]
async fn only_the_submission_that_is_not_taken_is_refused_by_the_leader() {
    let store = Arc::new(FakePlatform::default());
    store.set_value_bytes_max(VALUE_BYTES_MAX);
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    assert_only_the_long_one_is_refused(&submit_beside_a_long_one(&node).await);
    node.stop().await;
}

/// The same for a daemon that writes submissions itself.
#[tokio::test]
async fn only_the_submission_that_is_not_taken_is_refused_by_a_gateway() {
    let store = Arc::new(FakePlatform::default());
    store.set_value_bytes_max(VALUE_BYTES_MAX);
    let _leader = FakeLeader::start(&store).await;
    let node = start("a", &store).await;
    wait_until("the leader to be known", 3_000, || node.gateway().leader_epoch() > 0).await;
    assert_only_the_long_one_is_refused(&submit_beside_a_long_one(&node).await);
    node.stop().await;
}
