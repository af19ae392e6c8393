//! Jobs that were removed stay removed, whoever leads and however old the rows are that the store
//! returns.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::JobId;
use stoatwell_pool::Outcome;
use stoatwell_pool::Progress;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;

/// The lost history is noticed, and the whole table read, in this time.
const WHOLE_READ: Duration = Duration::from_secs(4);

/// Writes a job that finished so long ago that a leader removes it at once.
async fn write_expired_job(store: &FakePlatform) {
    let progress = Progress {
        outcome: Some(Outcome::Completed),
        finished_unix_ms: 1_000,
        ..Progress::default()
    };
    let key = JobId(1).to_string();
    let put = vec![
        (Table::Jobs, key.clone(), serde_json::to_vec(&job()).expect("a row")),
        (Table::Progress, key, serde_json::to_vec(&progress).expect("a row")),
    ];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
}

/// Makes the store lose its history, and return rows of before the removal.
async fn lose_history(store: &FakePlatform) {
    let reads = store.whole_reads(Table::Jobs);
    store.serve_snapshot(100, Table::Jobs);
    store.set_behavior(StoreBehavior::LosesHistoryOfJobs);
    wait_until("a whole read", 5_000, || store.whole_reads(Table::Jobs) > reads).await;
    tokio::time::sleep(WHOLE_READ).await;
}

/// Guards against a job that the leader has removed and that runs again after the store has lost its
/// history, twice in a row, and returns old rows.
#[tokio::test]
async fn a_removed_job_does_not_run_again_after_the_history_was_lost() {
    let store = Arc::new(FakePlatform::with_worker());
    write_expired_job(&store).await;
    store.save_snapshot_of(Table::Jobs);
    let node = start("a", &store).await;
    wait_until("the removal", 5_000, || store.rows(Table::Jobs).is_empty()).await;
    for _ in 0..2 {
        lose_history(&store).await;
        assert_eq!(store.first_starts_received(), 0);
    }
    node.stop().await;
}

/// Guards against a job that a former leader has removed and that its successor runs again.
#[tokio::test]
async fn a_successor_does_not_run_a_job_that_its_predecessor_removed() {
    let store = Arc::new(FakePlatform::with_worker());
    write_expired_job(&store).await;
    store.save_snapshot_of(Table::Jobs);
    let predecessor = start("a", &store).await;
    wait_until("the removal", 5_000, || store.rows(Table::Jobs).is_empty()).await;
    predecessor.stop().await;
    let successor = start("b", &store).await;
    wait_until_ready(&successor).await;
    lose_history(&store).await;
    assert_eq!(store.first_starts_received(), 0);
    successor.stop().await;
}
