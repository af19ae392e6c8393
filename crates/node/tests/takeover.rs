//! A new leader reads back the jobs of earlier ones.

mod fake;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stoatwell_model::WorkerId;
use stoatwell_node::Platform;
use stoatwell_node::SchedulerRequest;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Outcome;
use stoatwell_pool::PARTITIONS;
use stoatwell_pool::Progress;
use stoatwell_pool::StepSpec;
use stoatwell_pool::TaskProgress;
use tokio::sync::oneshot;

use self::fake::FakePlatform;
use self::fake::PageFault;
use self::fake::StoreBehavior;
use self::fake::UnansweredCall;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;

const JOBS: u64 = 3_500;
const OPEN_JOBS: u64 = 500;
/// Calls to the store for one table, one after another: partitions and pages.
const CALLS_PER_READ: usize = 12;
/// The same number for tables that take seconds on a thin link.
const THIN_LINK_CALLS: usize = 320;
/// Time for which one piece of work keeps a busy daemon from everything else.
const WORK: Duration = Duration::from_millis(100);
/// The longest takeover with that many jobs.
const TAKEOVER_MAX: Duration = Duration::from_secs(1);

/// The longest takeover in which one call gets no answer.
const UNANSWERED_TAKEOVER_MAX: Duration = Duration::from_millis(1_400);

/// Writes jobs of 20 tasks, most of them finished.
async fn write_jobs(store: &FakePlatform) {
    let step = StepSpec { tasks: 20, estimate_ms: 3_000, ..StepSpec::default() };
    for id in 0..JOBS {
        let spec = JobSpec { payload: "x".repeat(300), steps: vec![step.clone()], ..job() };
        let mut progress = Progress::default();
        if id < OPEN_JOBS {
            let task = |index| TaskProgress {
                index,
                run: 1,
                done: true,
                worker: Some(WorkerId::new("w1")),
                ..TaskProgress::default()
            };
            progress.tasks = (0..10).map(task).collect();
        } else {
            progress.outcome = Some(Outcome::Completed);
            progress.finished_unix_ms = 2_000_000_000_000;
        }
        let key = JobId(id).to_string();
        let put = vec![
            (Table::Jobs, key.clone(), serde_json::to_vec(&spec).expect("a row")),
            (Table::Progress, key, serde_json::to_vec(&progress).expect("a row")),
        ];
        store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    }
}

async fn measure_takeover(store: &Arc<FakePlatform>) -> Duration {
    let node = start("a", store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let began = Instant::now();
    let (reply_sender, reply) = oneshot::channel();
    let request = SchedulerRequest::State(JobId(0), reply_sender);
    node.scheduler().expect("it leads").send(request).await.expect("it schedules");
    let view = reply.await.expect("a reply").expect("the job is known");
    assert_eq!(view.state, JobState::Running);
    let took = began.elapsed();
    node.stop().await;
    took
}

/// Guards against a new leader that reads back jobs for many seconds: each of its calls to the
/// store waited for all other tasks of an overloaded daemon.
#[tokio::test]
async fn reading_back_does_not_wait_for_other_tasks() {
    let store = Arc::new(FakePlatform::default());
    write_jobs(&store).await;
    store.set_calls_per_read(CALLS_PER_READ);
    let idle = measure_takeover(&store).await;
    let busy = tokio::spawn(async {
        loop {
            std::thread::sleep(WORK);
            tokio::task::yield_now().await;
        }
    });
    let overloaded = measure_takeover(&store).await;
    busy.abort();
    println!("{} ms idle, {} ms overloaded", idle.as_millis(), overloaded.as_millis());
    assert!(overloaded < TAKEOVER_MAX, "a takeover took {overloaded:?}");
}

/// Guards against a completed job that runs again, a removed one that comes back, and a read of
/// the whole table for as long as the store lags behind.
#[tokio::test]
async fn a_stale_table_is_completed_by_its_changes() {
    let store = Arc::new(FakePlatform::with_worker());
    let (kept, removed) = (JobId(1), JobId(2));
    let row = serde_json::to_vec(&job()).expect("a row");
    let put = [kept, removed].map(|id| (Table::Jobs, id.to_string(), row.clone())).to_vec();
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.save_snapshot_of(Table::Jobs);
    let remove = vec![(Table::Jobs, removed.to_string())];
    store.transact(&Transaction { remove, ..Transaction::default() }).await.expect("removed");
    let put = vec![(Table::Jobs, JobId(3).to_string(), row)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.serve_snapshot(100, Table::Jobs);
    let node = start("a", &store).await;
    wait_until("the starts", 3_000, || store.first_starts_received() == 2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.first_starts_received(), 2);
    assert_eq!(store.whole_reads(Table::Jobs), 1);
    node.stop().await;
}

/// Guards against a new leader that never starts because the store has lost the history of the
/// changes that a stale table lacks, or that takes the stale table for complete.
#[tokio::test]
async fn a_stale_table_without_history_is_read_again() {
    let store = Arc::new(FakePlatform::with_worker());
    store.save_snapshot();
    let row = serde_json::to_vec(&job()).expect("a row");
    let put = vec![(Table::Jobs, JobId(1).to_string(), row)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.serve_snapshot(1, Table::Jobs);
    store.set_behavior(StoreBehavior::LosesHistoryOfJobs);
    let node = start("a", &store).await;
    wait_until("the start", 3_000, || store.first_starts_received() == 1).await;
    assert_eq!(store.whole_reads(Table::Jobs), 2);
    node.stop().await;
}

/// Guards against a takeover that reads whole partitions or tables again because the store refused
/// some pages of them or did not answer, and that waits for an answer that never comes.
#[tokio::test]
async fn only_failed_pages_are_read_again() {
    let store = Arc::new(FakePlatform::default());
    write_jobs(&store).await;
    let refused = [PageFault::Refused; 6].map(Some);
    store.fail_pages(Table::Jobs, 3, &refused);
    store.fail_pages(Table::Progress, 5, &[&[None], refused.as_slice()].concat());
    store.fail_pages(Table::Cancels, 7, &[Some(PageFault::Unanswered)]);
    let took = measure_takeover(&store).await;
    for (table, failed) in [(Table::Jobs, 6), (Table::Progress, 6), (Table::Cancels, 1)] {
        let (calls, pages) = (store.page_calls(table), store.pages(table));
        println!("{table}: {calls} calls for {pages} pages, {failed} failed, {took:?}");
        assert_eq!(calls, pages + failed, "{table}");
    }
    assert!(took < UNANSWERED_TAKEOVER_MAX, "a takeover took {took:?}");
}

/// Guards against a new leader that reads all partitions again because one of them was stale.
#[tokio::test]
async fn only_a_stale_partition_is_read_again() {
    let store = Arc::new(FakePlatform::default());
    store.save_snapshot();
    write_jobs(&store).await;
    store.serve_snapshot_of_partition(Table::Jobs, 3);
    measure_takeover(&store).await;
    for (table, stale) in [(Table::Jobs, 1), (Table::Progress, 0), (Table::Cancels, 0)] {
        assert_eq!(store.page_calls(table), store.pages(table) + stale, "{table}");
    }
}

/// Guards against a takeover that waits for the answer of one write of a fence until its timeout,
/// whether or not the fence was written, and against one that gives up because of its own fence.
#[tokio::test]
async fn fences_do_not_wait_for_an_answer_that_never_comes() {
    let store = Arc::new(FakePlatform::default());
    write_jobs(&store).await;
    store.leave_unanswered(&[UnansweredCall::WrittenFence(3), UnansweredCall::LostFence(9)]);
    let took = measure_takeover(&store).await;
    println!("{took:?}");
    assert!(took < UNANSWERED_TAKEOVER_MAX, "a takeover took {took:?}");
    assert_eq!(store.rows(Table::Fences).len(), PARTITIONS);
}

/// Guards against a takeover that waits for the list of workers or daemons until its timeout.
#[tokio::test]
async fn lists_do_not_wait_for_an_answer_that_never_comes() {
    for call in [UnansweredCall::Workers, UnansweredCall::Daemons] {
        let store = Arc::new(FakePlatform::default());
        write_jobs(&store).await;
        store.leave_unanswered(&[call]);
        let took = measure_takeover(&store).await;
        println!("{call:?}: {took:?}");
        assert!(took < UNANSWERED_TAKEOVER_MAX, "{call:?}: a takeover took {took:?}");
    }
}

/// Guards against a takeover that fills a thin link with pages that are already on their way.
#[tokio::test]
async fn pages_on_a_thin_link_are_seldom_read_twice() {
    let store = Arc::new(FakePlatform::behind_thin_link());
    write_jobs(&store).await;
    store.set_calls_per_read(THIN_LINK_CALLS);
    let took = measure_takeover(&store).await;
    let tables = [Table::Jobs, Table::Progress, Table::Cancels];
    let pages: usize = tables.iter().map(|table| store.pages(*table)).sum();
    let calls: usize = tables.iter().map(|table| store.page_calls(*table)).sum();
    println!("{calls} calls for {pages} pages, {took:?}");
    assert!(calls <= pages + pages / 8, "{calls} calls for {pages} pages");
}

/// Guards against a leader that loses its lease, and a takeover by another daemon, because one
/// renewal gets no answer, whether or not it was carried out.
#[tokio::test]
async fn an_unanswered_renewal_does_not_end_the_leadership() {
    for call in [UnansweredCall::LostRenewal, UnansweredCall::WrittenRenewal] {
        let store = Arc::new(FakePlatform::default());
        let leader = start("a", &store).await;
        wait_until_ready(&leader).await;
        let other = start("b", &Arc::new(store.for_other_daemon())).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        for _ in 0..2 {
            store.leave_unanswered(&[call]);
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            assert!(leader.scheduler().is_some() && other.scheduler().is_none(), "{call:?}");
        }
        leader.stop().await;
        other.stop().await;
    }
}

/// Guards against a takeover that waits for a timeout once two answers to the same write are lost.
#[tokio::test]
async fn a_write_that_gets_no_answer_twice_is_made_again_in_time() {
    let store = Arc::new(FakePlatform::default());
    write_jobs(&store).await;
    store.leave_unanswered(&[UnansweredCall::LostFence(9); 2]);
    let took = measure_takeover(&store).await;
    println!("{took:?}");
    assert!(took < UNANSWERED_TAKEOVER_MAX, "a takeover took {took:?}");
}
