//! A leader with a long backlog of jobs.

mod fake;

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

/// Number of jobs that a new leader finds in the store.
const JOBS: u64 = 20_000;
/// Size of a large payload.
const PAYLOAD_BYTES: usize = 4_000;
/// Interval at which a blocked daemon is noticed.
const TICK: Duration = Duration::from_millis(5);
/// Other daemons take a leader for gone that does not answer two probes within this time each.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest time for which the daemon's tasks were not run until `done` is ready.
async fn longest_block(done: impl Future<Output = ()>) -> Duration {
    let mut done = pin!(done);
    let mut longest = Duration::ZERO;
    loop {
        let began = Instant::now();
        tokio::select! {
            () = &mut done => return longest,
            () = tokio::time::sleep(TICK) => longest = longest.max(began.elapsed()),
        }
    }
}

/// Guards against a new leader that loses its lease, because it answers no probe and renews no
/// lease while it restores and schedules the jobs that its predecessor left.
#[tokio::test]
async fn a_long_backlog_does_not_block_the_leaders_other_tasks() {
    let store = Arc::new(FakePlatform::with_worker());
    let payload = "x".repeat(PAYLOAD_BYTES);
    let row = serde_json::to_vec(&JobSpec { payload, ..job() }).expect("a row");
    let put = (0..JOBS).map(|id| (Table::Jobs, JobId(id).to_string(), row.clone())).collect();
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    let node = start("a", &store).await;
    let restored = longest_block(async {
        wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
        wait_until("the first starts", 20_000, || store.first_starts_received() > 0).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    });
    let longest = restored.await;
    assert!(longest < PROBE_TIMEOUT, "{longest:?}");
}
