//! A leader with a long backlog of jobs.

mod fake;

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::Resources;
use stoatwell_node::Platform;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::StepSpec;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

/// Number of jobs that a new leader finds in the store.
const JOBS: u64 = 20_000;
/// Number of workers in a large pool.
const WORKERS: usize = 3_000;
/// Size of a large payload.
const PAYLOAD_BYTES: usize = 4_000;
/// Interval at which a blocked daemon is noticed.
const TICK: Duration = Duration::from_millis(5);
/// Other daemons take a leader for gone that does not answer two probes within 250 ms each.
/// Most leaders have half a core, on which everything takes twice as long.
const BLOCK_MAX: Duration = Duration::from_millis(125);

/// How long this thread has waited for a processor while it could run. The daemon's tasks run in
/// the thread of the test.
fn processor_wait() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").expect("statistics");
    let wait_ns = statistics.split_whitespace().nth(1).expect("the time in the run queue");
    Duration::from_nanos(wait_ns.parse().expect("a number"))
}

/// The longest time for which the daemon's tasks were not run until `done` is ready, without the
/// time for which other programs had the processor. Waiting for a lock or a timer counts.
async fn longest_block(done: impl Future<Output = ()>) -> Duration {
    let mut done = pin!(done);
    let mut longest = Duration::ZERO;
    loop {
        let (began, waited_before) = (Instant::now(), processor_wait());
        tokio::select! {
            () = &mut done => return longest,
            () = tokio::time::sleep(TICK) => {
                let waited = processor_wait().saturating_sub(waited_before);
                longest = longest.max(began.elapsed().saturating_sub(waited));
            }
        }
    }
}

/// Writes many jobs, as an earlier leader left them.
async fn write_jobs(store: &FakePlatform, spec: &JobSpec) {
    let row = serde_json::to_vec(spec).expect("a row");
    let put = (0..JOBS).map(|id| (Table::Jobs, JobId(id).to_string(), row.clone())).collect();
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
}

/// The longest time for which a new leader's other tasks were not run until it has made its
/// first starts, and for a while after.
async fn longest_block_at_takeover(store: &Arc<FakePlatform>) -> Duration {
    let node = start("a", store).await;
    longest_block(async {
        wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
        wait_until("the first starts", 20_000, || store.first_starts_received() > 0).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    })
    .await
}

/// Guards against a new leader that loses its lease, because it answers no probe and renews no
/// lease while it restores and schedules the jobs that its predecessor left.
#[tokio::test]
async fn a_long_backlog_does_not_block_the_leaders_other_tasks() {
    let store = Arc::new(FakePlatform::with_worker());
    write_jobs(&store, &JobSpec { payload: "x".repeat(PAYLOAD_BYTES), ..job() }).await;
    let longest = longest_block_at_takeover(&store).await;
    assert!(longest < BLOCK_MAX, "{longest:?}");
}

/// Guards against a leader that loses its lease during a decision over many jobs and workers.
#[tokio::test]
async fn a_long_decision_does_not_block_the_leaders_other_tasks() {
    let store = Arc::new(FakePlatform::with_workers(WORKERS));
    let demand = Resources { cpu_millis: 4_000, ..Resources::ZERO };
    let gang = StepSpec { tasks: 20, gang: true, demand, ..StepSpec::default() };
    write_jobs(&store, &JobSpec { steps: vec![gang], ..job() }).await;
    let longest = longest_block_at_takeover(&store).await;
    assert!(longest < BLOCK_MAX, "{longest:?}");
}
