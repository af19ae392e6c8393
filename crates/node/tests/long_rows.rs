//! Jobs whose rows are longer than a row of the store.

mod fake;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_node::LeaderLease;
use stoatwell_node::LongRows;
use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::Row;
use stoatwell_node::StoreError;
use stoatwell_node::StoreLimits;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Progress;
use stoatwell_pool::StepSpec;
use stoatwell_pool::TaskProgress;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;
use self::fake::leader::FakeLeader;

/// Longest value that the store takes, as bytes of Base64 text 65,536.
const ROW_BYTES_MAX: usize = 49_152;
const LIMITS: StoreLimits = StoreLimits {
    row_bytes_max: ROW_BYTES_MAX,
    transaction_bytes_max: 950_000,
    transaction_entries_max: 100,
};
/// What tells that a value is split takes so much of its first row.
const MARK_BYTES: usize = 8;
/// Most tasks of a job.
const TASKS_MAX: u32 = 2_000;
/// Longest key of a row, and so longest name of a worker.
const NAME_BYTES_MAX: usize = 200;
/// Longest address of a worker.
const ADDRESS_BYTES_MAX: usize = 64;
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(4);
/// A table of the store has these workers, on the largest deployment that is planned for.
const WORKERS: [usize; 3] = [350, 1_100, 6_000];

fn limited_store() -> Arc<FakePlatform> {
    let store = FakePlatform::default();
    store.set_value_bytes_max(ROW_BYTES_MAX);
    Arc::new(store)
}

fn put(key: &str, value: Vec<u8>) -> Transaction {
    Transaction { put: vec![(Table::Progress, key.to_owned(), value)], ..Transaction::default() }
}

/// A value in which no two parts are alike.
fn value(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8 + 1).collect()
}

/// What reads of a value return: alone, with its partition, and as a change.
async fn reads(rows: &LongRows<FakePlatform>, key: &str) -> [Option<Row>; 3] {
    let partition = key.parse::<JobId>().expect("an id").partition();
    let page = rows.read_page(Table::Progress, partition, "").await.expect("a page");
    let changes = rows.poll_changes(Table::Progress, 0, 0).await.expect("changes");
    let of_key = |rows: Vec<Row>| rows.into_iter().find(|row| row.key == key);
    [
        rows.read(Table::Progress, key).await.expect("a row"),
        of_key(page.rows),
        of_key(changes.rows).filter(|row| row.value.is_some()),
    ]
}

/// Guards against a value that is not read as it was written, whatever its length was before, and
/// against rows that are left of it.
#[tokio::test]
async fn values_of_any_length_are_read_as_they_were_written() {
    let store = limited_store();
    let rows = LongRows::new(Arc::clone(&store), LIMITS);
    let key = JobId(7).to_string();
    let lengths = [1, ROW_BYTES_MAX, ROW_BYTES_MAX + 1, 600_000, 3 * ROW_BYTES_MAX, 100, 70_000];
    for length in lengths {
        let written = value(length);
        rows.transact(&put(&key, written.clone())).await.expect("written");
        let stored = store.rows(Table::Progress);
        assert!(stored.iter().all(|row| row.key.starts_with(&key)));
        let mark_bytes = if length > ROW_BYTES_MAX { MARK_BYTES } else { 0 };
        assert_eq!(stored.len(), (length + mark_bytes).div_ceil(ROW_BYTES_MAX), "{length} bytes");
        for read in reads(&rows, &key).await {
            assert!(read.is_some_and(|row| row.value.as_ref() == Some(&written)), "{length} bytes");
        }
    }
    let remove = vec![(Table::Progress, key.clone())];
    rows.transact(&Transaction { remove, ..Transaction::default() }).await.expect("removed");
    assert!(store.rows(Table::Progress).is_empty());
    assert_eq!(reads(&rows, &key).await, [None, None, None]);
}

/// Guards against a leader that leaves rows behind, or takes them for a job, because another daemon
/// wrote the value.
#[tokio::test]
async fn a_later_leader_shortens_and_removes_a_long_value() {
    let store = limited_store();
    let key = JobId(7).to_string();
    let first = LongRows::new(Arc::clone(&store), LIMITS);
    first.transact(&put(&key, value(400_000))).await.expect("written");
    let second = LongRows::new(Arc::clone(&store), LIMITS);
    let page = second.read_page(Table::Progress, JobId(7).partition(), "").await.expect("a page");
    assert_eq!(page.rows.len(), 1);
    second.transact(&put(&key, value(60_000))).await.expect("written");
    assert_eq!(store.rows(Table::Progress).len(), 2);
    let remove = vec![(Table::Progress, key)];
    second.transact(&Transaction { remove, ..Transaction::default() }).await.expect("removed");
    assert!(store.rows(Table::Progress).is_empty());
}

/// Guards against rows that are left because the caller did not wait for the answer to their write.
#[tokio::test]
async fn a_long_value_whose_writer_did_not_wait_is_removed_as_a_whole() {
    let store = limited_store();
    let rows = LongRows::new(Arc::clone(&store), LIMITS);
    let key = JobId(7).to_string();
    store.set_behavior(StoreBehavior::DelaysJobWrites);
    let jobs = vec![(Table::Jobs, key.clone(), value(400_000))];
    let write = Transaction { put: jobs, ..Transaction::default() };
    let waited = tokio::time::timeout(Duration::from_millis(50), rows.transact(&write)).await;
    assert!(waited.is_err());
    store.release_job_writes();
    wait_until("the write", 1_000, || store.rows(Table::Jobs).len() > 1).await;
    let remove = vec![(Table::Jobs, key)];
    rows.transact(&Transaction { remove, ..Transaction::default() }).await.expect("removed");
    assert!(store.rows(Table::Jobs).is_empty());
}

/// Guards against jobs that are missing from a table, or there twice, because a page ends within a
/// long value.
#[tokio::test]
async fn pages_that_end_within_a_long_value_lack_nothing() {
    let store = limited_store();
    let rows = LongRows::new(Arc::clone(&store), LIMITS);
    let ids: Vec<JobId> = (0_u64..).map(JobId).filter(|id| id.partition() == 3).take(60).collect();
    for (number, id) in ids.iter().enumerate() {
        let length = if number % 7 == 0 { 500_000 } else { 50 };
        rows.transact(&put(&id.to_string(), value(length))).await.expect("written");
    }
    let (mut found, mut after, mut pages) = (Vec::new(), String::new(), 0);
    loop {
        let page = rows.read_page(Table::Progress, 3, &after).await.expect("a page");
        pages += 1;
        found.extend(page.rows.iter().map(|row| row.key.parse::<JobId>().expect("an id")));
        if !page.has_more {
            break;
        }
        after.clone_from(&page.rows.last().expect("a row").key);
    }
    let mut expected = ids;
    expected.sort_by_key(ToString::to_string);
    assert_eq!(found, expected);
    assert!(pages > 1);
}

/// Guards against a conflict that shows only the first row of a long value.
#[tokio::test]
async fn a_conflict_shows_the_whole_value() {
    let store = limited_store();
    let rows = LongRows::new(Arc::clone(&store), LIMITS);
    let key = JobId(7).to_string();
    rows.transact(&put(&key, value(200_000))).await.expect("written");
    let expect = vec![(Table::Progress, key.clone(), 0)];
    let conflict = rows.transact(&Transaction { expect, ..put(&key, value(1)) }).await;
    let Err(StoreError::Conflict(conflicts)) = conflict else { panic!("{conflict:?}") };
    assert_eq!(conflicts[0].1.value, Some(value(200_000)));
}

/// Guards against a transaction that the store would never take, or would take in part.
#[tokio::test]
async fn a_transaction_over_the_limits_is_not_sent() {
    let store = limited_store();
    let rows = LongRows::new(Arc::clone(&store), LIMITS);
    let key = JobId(7).to_string();
    let longest = LIMITS.value_bytes_max();
    rows.transact(&put(&key, value(longest))).await.expect("written");
    let writes = store.writes();
    assert_eq!(rows.transact(&put(&key, value(longest + 20_000))).await, Err(StoreError::Invalid));
    let many = (0..101).map(|id| (Table::Progress, JobId(id).to_string(), value(1))).collect();
    let many = Transaction { put: many, ..Transaction::default() };
    assert_eq!(rows.transact(&many).await, Err(StoreError::Invalid));
    let lease = (Table::Duty, "scheduler".to_owned(), value(ROW_BYTES_MAX + 1));
    let lease = Transaction { put: vec![lease], ..Transaction::default() };
    assert_eq!(rows.transact(&lease).await, Err(StoreError::Invalid));
    assert_eq!(store.writes(), writes);
}

/// Progress of the most tasks, on this many workers with names and addresses of the greatest length.
fn longest_progress(workers: usize) -> Progress {
    let task = |index: u32| {
        let worker = index as usize % workers;
        TaskProgress {
            index,
            run: 1_000_000,
            failures: 100,
            failed_run: 999_999,
            worker: Some(WorkerId::new(format!("{worker:0>NAME_BYTES_MAX$}"))),
            address: format!("{worker:0>ADDRESS_BYTES_MAX$}"),
            incarnation: u64::MAX,
            checkpoint: "c".repeat(100),
            ..TaskProgress::default()
        }
    };
    Progress { tasks: (0..TASKS_MAX).map(task).collect(), ..Progress::default() }
}

/// Guards against a job whose progress can not be written at all.
#[tokio::test]
async fn the_longest_progress_fits_into_a_transaction() {
    for workers in WORKERS {
        let store = limited_store();
        let rows = LongRows::new(Arc::clone(&store), LIMITS);
        let progress = longest_progress(workers);
        let row = serde_json::to_vec(&progress).expect("a row");
        println!("{workers} workers: {} bytes", row.len());
        let key = JobId(7).to_string();
        rows.transact(&put(&key, row)).await.expect("written");
        let read = rows.read(Table::Progress, &key).await.expect("read").expect("a row");
        let read: Progress =
            serde_json::from_slice(&read.value.expect("a value")).expect("progress");
        assert_eq!(read.tasks.len(), TASKS_MAX as usize);
        let workers_read = read.tasks.iter().map(|task| &task.worker);
        assert!(workers_read.eq(progress.tasks.iter().map(|task| &task.worker)));
    }
}

/// Guards against a leader lease that names more silent workers than its row has room for: then
/// nobody could lead any more.
#[test]
fn a_leader_lease_with_the_most_silent_workers_fits_into_a_row() {
    const SILENT_LEASES_MAX: usize = 64;
    let name = |number: usize| WorkerId::new(format!("{number:0>NAME_BYTES_MAX$}"));
    let silent_leases: BTreeMap<WorkerId, u64> =
        (0..SILENT_LEASES_MAX).map(|number| (name(number), 12_000)).collect();
    let lease = LeaderLease {
        holder: "h".repeat(NAME_BYTES_MAX),
        incarnation: u64::MAX,
        address: "a".repeat(ADDRESS_BYTES_MAX),
        epoch: u64::MAX,
        beat: u64::MAX,
        released: false,
        earlier_extends_ms: u64::MAX,
        silent_leases,
    };
    let row = serde_json::to_vec(&lease).expect("a row");
    // The least that the settings accept, without Base64.
    assert!(row.len() <= 32_768 / 4 * 3, "{} bytes", row.len());
}

/// A job with the most steps.
fn job_of_many_steps(label_bytes: usize) -> JobSpec {
    let step = |number: u32| StepSpec {
        tasks: 1,
        estimate_ms: 1_000,
        after: number.checked_sub(1).into_iter().collect(),
        label: Some("l".repeat(label_bytes)),
        ..StepSpec::default()
    };
    JobSpec { steps: (0..TASKS_MAX).map(step).collect(), ..job() }
}

async fn submit(node: &Node<FakePlatform>, id: u64, spec: &JobSpec) -> Accepted {
    node.gateway().submit(JobId(id), spec, Instant::now() + SUBMISSION_TIMEOUT).await
}

/// Guards against a job that is refused, or accepted and then lost, because its submission is longer
/// than a row; and against one that can not be kept and whose caller is told to come back.
#[tokio::test]
async fn a_job_of_many_steps_is_accepted_and_known_to_a_later_leader() {
    let store = limited_store();
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    assert_eq!(submit(&node, 1, &job_of_many_steps(20)).await, Accepted::Yes);
    let began = Instant::now();
    assert_eq!(submit(&node, 2, &job_of_many_steps(1_000)).await, Accepted::TooLong);
    assert!(began.elapsed() < Duration::from_millis(200));
    node.stop().await;
    let successor = start("b", &store).await;
    wait_until_ready(&successor).await;
    for (id, state) in [(1, Some(JobState::Queued)), (2, None)] {
        let (reply_sender, reply) = tokio::sync::oneshot::channel();
        let request = stoatwell_node::SchedulerRequest::State(JobId(id), reply_sender);
        successor.scheduler().expect("it leads").send(request).await.expect("it schedules");
        assert_eq!(reply.await.expect("a reply").map(|view| view.state), state);
    }
    successor.stop().await;
}

/// The same for a daemon that writes submissions itself, and for callers who submit them again.
#[tokio::test]
async fn a_gateway_accepts_a_job_of_many_steps_again() {
    let store = limited_store();
    let _leader = FakeLeader::start(&store).await;
    let node = start("a", &store).await;
    wait_until("the leader to be known", 3_000, || node.gateway().leader_epoch() > 0).await;
    for _ in 0..2 {
        assert_eq!(submit(&node, 1, &job_of_many_steps(20)).await, Accepted::Yes);
    }
    let lookup = node.gateway().state(JobId(1), None).await;
    assert_eq!(lookup, stoatwell_node::JobLookup::State(JobState::Queued));
    node.stop().await;
}

/// Guards against a job of many tasks on many workers that is never finished, also if the leader
/// changes halfway and if an earlier version wrote its first rows.
#[tokio::test]
async fn a_wide_job_on_many_workers_finishes_under_a_later_leader() {
    const TASKS: u32 = 1_900;
    let store = Arc::new(FakePlatform::with_workers(1_100));
    let step =
        StepSpec { tasks: TASKS, estimate_ms: 3_000, per_worker_max: 2, ..StepSpec::default() };
    let spec = JobSpec { steps: vec![step], ..job() };
    // An earlier version stores a row in one piece.
    let progress = Progress {
        tasks: vec![TaskProgress { run: 1, done: true, ..TaskProgress::default() }],
        ..Progress::default()
    };
    let key = JobId(1).to_string();
    let rows = vec![
        (Table::Jobs, key.clone(), serde_json::to_vec(&spec).expect("a row")),
        (Table::Progress, key, serde_json::to_vec(&progress).expect("a row")),
    ];
    store.transact(&Transaction { put: rows, ..Transaction::default() }).await.expect("written");
    store.set_value_bytes_max(ROW_BYTES_MAX);
    let node = start("a", &store).await;
    let others = TASKS as usize - 1;
    wait_until("the starts", 15_000, || store.first_starts_received() == others).await;
    let rows = store.rows(Table::Progress);
    assert!(rows.len() > 1, "the row does not fit");
    node.stop().await;
    store.answer_first_starts();
    let successor = start("b", &store).await;
    wait_until_ready(&successor).await;
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        let lookup = successor.gateway().state(JobId(1), None).await;
        if lookup == stoatwell_node::JobLookup::State(JobState::Completed) {
            break;
        }
        assert!(Instant::now() < end, "{lookup:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    successor.stop().await;
}
