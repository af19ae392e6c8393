//! Whole daemons with an in-memory store.

mod fake;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stoatwell_model::CustomerName;
use stoatwell_model::WorkerId;
use stoatwell_node::FAILED_LEADER_TIMEOUT_MS;
use stoatwell_node::JobLookup;
use stoatwell_node::LeaderLease;
use stoatwell_node::Node;
use stoatwell_node::Platform;
use stoatwell_node::SchedulerRequest;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::Cancellation;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::JobView;
use stoatwell_pool::Outcome;
use stoatwell_pool::Progress;
use stoatwell_pool::StepSpec;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;
use self::fake::daemon::wait_until_ready;

fn job_view(state: JobState) -> JobView {
    JobView { state, customer: None }
}

/// The response to the write that accepts a job is lost. Guards against a caller that
/// submits a job twice because it was told "not accepted": the daemon repeats the write on
/// the condition that there is no such job, and so finds that it is durable.
#[tokio::test]
async fn a_job_is_accepted_when_the_stores_response_is_lost() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::LosesOneResponse);
    let accepted = node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await;
    assert_eq!(accepted, Accepted::Yes);
    assert_eq!(store.rows(Table::Jobs).len(), 1);
}

/// Guards against a job that is stored twice because its caller did not get the first
/// response and submitted it again.
#[tokio::test]
async fn a_repeated_submission_is_one_job() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    assert_eq!(store.rows(Table::Jobs).len(), 1);
}

/// The store refuses writes. Guards against a caller that is told so too late to submit the
/// job elsewhere, or is told so although the job was stored.
#[tokio::test]
async fn jobs_are_refused_while_the_store_refuses_writes() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::RefusesWrites);
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(3_000)).await, Accepted::No);
    assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
    assert!(store.rows(Table::Jobs).is_empty());
}

/// The store stops responding while a write is in flight. Its caller has to be told before
/// the deadline that the outcome is unknown. Guards against later callers that wait although
/// their jobs were not sent to the store: they are refused at once.
#[tokio::test]
async fn an_unresponsive_store_does_not_block_callers() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    let gateway = Arc::clone(node.gateway());
    let first =
        tokio::spawn(async move { gateway.submit(JobId(7), &job(), deadline_in(2_800)).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(8), &job(), deadline_in(2_800)).await, Accepted::No);
    assert!(began.elapsed() < Duration::from_millis(50), "{:?}", began.elapsed());
    assert_eq!(first.await.expect("no panic"), Accepted::Unknown);
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// Guards against callers who notice that the leader stops: it releases the leader lease,
/// and another daemon leads within half a second.
#[tokio::test]
async fn a_stopping_leader_releases_the_leader_lease() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
    let second = start("b", &store).await;
    assert_eq!(second.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    first.stop().await;
    wait_until("the next leader", 1_000, || second.scheduler().is_some()).await;
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Queued));
}

/// Guards against daemons that can report or cancel jobs only while they lead, and against
/// wrong replies about jobs that do not exist.
#[tokio::test]
async fn any_daemon_reports_and_cancels_jobs() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
    let second = start("b", &store).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Queued));
    assert_eq!(second.gateway().state(JobId(8), None).await, JobLookup::NoJob);
    assert_eq!(
        second.gateway().cancel(JobId(7), None, deadline_in(2_000)).await,
        Some(Accepted::Yes)
    );
    assert_eq!(second.gateway().cancel(JobId(8), None, deadline_in(2_000)).await, None);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Cancelled));
}

/// The store answers the first reads of a new leader with the state from before it acquired
/// the lease. Guards against a completed job that runs a second time because it looks
/// unstarted in stale rows: the leader has to read again.
#[tokio::test]
async fn a_new_leader_ignores_stale_reads() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    store.save_snapshot();
    // A job that finished long ago is forgotten by the first sweep.
    let finished_unix_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let done =
        Progress { outcome: Some(Outcome::Completed), finished_unix_ms, ..Progress::default() };
    let value = serde_json::to_vec(&done).expect("a row");
    let put = vec![(Table::Progress, JobId(7).to_string(), value)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    first.stop().await;
    store.serve_snapshot(2, Table::Progress);
    let second = start("b", &store).await;
    wait_until("the next leader", 3_000, || second.scheduler().is_some()).await;
    let (reply_sender, reply) = tokio::sync::oneshot::channel();
    let requests = second.scheduler().expect("it leads");
    requests
        .send(SchedulerRequest::State(JobId(7), reply_sender))
        .await
        .expect("the scheduler is running");
    assert_eq!(reply.await.expect("a reply"), Some(job_view(JobState::Completed)));
}

/// The leader's process is killed. Guards against callers that wait until its lease has
/// expired: the other daemons notice at once that it does not respond.
#[test]
fn a_killed_leader_is_replaced_within_a_second_and_a_half() {
    let store = Arc::new(FakePlatform::default());
    let first_runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let first = first_runtime.block_on(start("a", &store));
    let second_runtime = tokio::runtime::Runtime::new().expect("a runtime");
    second_runtime.block_on(async {
        wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
        let second = start("b", &store).await;
        assert_eq!(
            second.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await,
            Accepted::Yes
        );
        tokio::time::sleep(Duration::from_millis(600)).await;
        first_runtime.shutdown_background();
        wait_until("the next leader", 1_500, || second.scheduler().is_some()).await;
        assert_eq!(
            second.gateway().state(JobId(7), None).await,
            JobLookup::State(JobState::Queued)
        );
    });
}

/// The store does not respond for some seconds and then recovers. Guards against callers
/// that have to wait because earlier requests still wait for their responses, and against a
/// change of leader.
#[tokio::test]
async fn the_recovery_of_an_unresponsive_store_is_noticed_at_once() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    let other = start("b", &store).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(!node.gateway().reaches_store());
    store.set_behavior(StoreBehavior::Normal);
    wait_until("the recovery", 250, || node.gateway().reaches_store()).await;
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(8), &job(), deadline_in(2_000)).await, Accepted::Yes);
    assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(node.scheduler().is_some() && other.scheduler().is_none());
}

/// A leader loses its lease while one of its writes has no response. Guards against a daemon
/// that counts the store as down, and rejects its callers, because of a write it abandoned.
#[tokio::test]
async fn an_abandoned_write_does_not_make_the_store_suspect() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
    let second = start("b", &Arc::new(store.for_other_daemon())).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    let gateway = Arc::clone(first.gateway());
    tokio::spawn(async move { gateway.submit(JobId(7), &job(), deadline_in(500)).await });
    wait_until("the next leader", 4_000, || second.scheduler().is_some()).await;
    store.set_behavior(StoreBehavior::Normal);
    wait_until("the end of the first term", 4_000, || first.scheduler().is_none()).await;
    wait_until("the recovery", 1_000, || first.gateway().reaches_store()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(first.gateway().reaches_store());
}

/// The store refuses requests of the leader and of a second daemon, and serves a third one,
/// which becomes the leader. Guards against a second daemon that refuses its callers until
/// the store serves it again: it learns of the leader from the leader itself and forwards
/// requests to it.
#[tokio::test]
async fn daemons_without_the_store_find_the_leader() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    // From then on the leader does not read the list of daemons for two seconds.
    wait_until_ready(&first).await;
    let unreachable_store = Arc::new(store.for_other_daemon());
    let second = start("b", &unreachable_store).await;
    let third = start("c", &Arc::new(store.for_other_daemon())).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    store.set_behavior(StoreBehavior::RefusesAll);
    unreachable_store.set_behavior(StoreBehavior::RefusesAll);
    wait_until("the next leader", 2_000, || third.scheduler().is_some()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(second.gateway().submit(JobId(9), &job(), deadline_in(2_000)).await, Accepted::Yes);
    assert_eq!(second.gateway().state(JobId(9), None).await, JobLookup::State(JobState::Queued));
}

/// A worker answers hundreds of starts at the same time, as after a store outage that
/// delayed all of them. Guards against an answer that is dropped: its task would keep its
/// allocation, would not be examined again and would never run, however idle the workers are.
#[tokio::test]
async fn no_answer_of_many_at_one_moment_is_lost() {
    const TASKS: usize = 900;
    let store = Arc::new(FakePlatform::with_worker());
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let step = StepSpec { tasks: TASKS as u32, ..StepSpec::default() };
    let wide = JobSpec { steps: vec![step], ..job() };
    assert_eq!(node.gateway().submit(JobId(7), &wide, deadline_in(2_000)).await, Accepted::Yes);
    wait_until("all starts", 5_000, || store.first_starts_received() == TASKS).await;
    store.answer_first_starts();
    let end = deadline_in(8_000);
    while node.gateway().state(JobId(7), None).await != JobLookup::State(JobState::Completed) {
        assert!(Instant::now() < end, "the job is not completed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a late batch of a former leader that overwrites newer progress.
#[tokio::test]
async fn a_former_leaders_write_has_no_effect() {
    let store = Arc::new(FakePlatform::default());
    let first = start("a", &store).await;
    wait_until("a leader", 3_000, || first.scheduler().is_some()).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    let fences = store.rows(Table::Fences);
    let fence = fences.iter().find(|row| row.key == JobId(7).partition().to_string());
    let expected = fence.expect("each partition has a fence").version;
    first.stop().await;
    let second = start("b", &store).await;
    wait_until("the next leader", 3_000, || second.scheduler().is_some()).await;
    wait_until("its fences", 3_000, || {
        store.rows(Table::Fences).iter().all(|row| row.version > expected)
    })
    .await;
    let late = Transaction {
        expect: vec![(Table::Fences, JobId(7).partition().to_string(), expected)],
        put: vec![(Table::Progress, JobId(7).to_string(), b"{}".to_vec())],
        remove: Vec::new(),
    };
    let refused = store.transact(&late).await;
    assert!(matches!(refused, Err(StoreError::Conflict(_))), "{refused:?}");
}

/// The leader lease names a dead worker when its holder has released it, and the next leader is
/// killed before it has called any worker. Guards against a third leader that waits for the
/// worker's lease from the beginning.
#[tokio::test]
async fn a_leader_passes_on_silent_workers_that_it_inherited() {
    let store = Arc::new(FakePlatform::default());
    let dead = WorkerId::new("dead");
    let released = LeaderLease {
        holder: "earlier".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        epoch: 1,
        beat: 1,
        released: true,
        earlier_extends_ms: 0,
        silent_leases: BTreeMap::from([(dead.clone(), 60_000)]),
    };
    let key = "scheduler".to_owned();
    let put = vec![(Table::Duty, key, serde_json::to_vec(&released).expect("a row"))];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let rows = store.rows(Table::Duty);
    let row: LeaderLease =
        serde_json::from_slice(rows[0].value.as_ref().expect("a row")).expect("a lease");
    assert_eq!((row.holder.as_str(), row.epoch), ("a", 2));
    let remaining_ms = row.silent_leases.get(&dead).copied().expect("the dead worker");
    assert!((50_000..59_900).contains(&remaining_ms), "{remaining_ms}");
}

/// The state of a job, as the scheduler of a daemon knows it.
async fn scheduler_state(node: &Node<FakePlatform>, job: JobId) -> Option<JobState> {
    let (reply, state) = tokio::sync::oneshot::channel();
    let scheduler = node.scheduler().expect("it leads");
    scheduler.send(SchedulerRequest::State(job, reply)).await.expect("it runs");
    state.await.expect("a reply").map(|view| view.state)
}

/// A daemon accepts and cancels jobs while it knows no leader, and the leader gets no changes from
/// the store. Guards against an accepted job that the leader learns of many seconds later: it does
/// not start, it is missing among the waiting jobs, and a cancelled one goes on.
#[tokio::test]
async fn a_leader_is_told_of_durable_writes_once_it_is_found() {
    let leader_store = Arc::new(FakePlatform::default());
    let leader = start("a", &leader_store).await;
    wait_until_ready(&leader).await;
    assert_eq!(leader.gateway().submit(JobId(8), &job(), deadline_in(2_000)).await, Accepted::Yes);
    leader_store.set_behavior(StoreBehavior::HidesChangesOfJobs);
    let gateway_store = Arc::new(leader_store.for_other_daemon());
    gateway_store.set_behavior(StoreBehavior::HidesLeaderLease);
    let gateway = start("b", &gateway_store).await;
    let accepted = gateway.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await;
    assert_eq!(accepted, Accepted::Yes);
    let cancelling = Arc::clone(gateway.gateway());
    let cancelled =
        tokio::spawn(async move { cancelling.cancel(JobId(8), None, deadline_in(3_000)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(gateway_store.rows(Table::Cancels).len(), 1);
    assert_eq!(scheduler_state(&leader, JobId(7)).await, None);
    assert_eq!(scheduler_state(&leader, JobId(8)).await, Some(JobState::Queued));
    gateway_store.set_behavior(StoreBehavior::Normal);
    let deadline = deadline_in(3_000);
    while Instant::now() < deadline && scheduler_state(&leader, JobId(7)).await.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(scheduler_state(&leader, JobId(7)).await, Some(JobState::Queued));
    assert_eq!(scheduler_state(&leader, JobId(8)).await, Some(JobState::Cancelled));
    assert_eq!(cancelled.await.expect("no panic"), Some(Accepted::Yes));
}

/// The leader gets no changes from the store, and no daemon tells it of a cancellation. Guards
/// against a task that starts after the cancellation of its job has become durable.
#[tokio::test]
async fn no_task_starts_after_a_cancellation_that_the_leader_was_not_told_of() {
    let store = Arc::new(FakePlatform::with_worker());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::HidesChangesOfJobs);
    let put = vec![(Table::Cancels, JobId(7).to_string(), Vec::new())];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(store.first_starts_received(), 0);
    assert_eq!(scheduler_state(&node, JobId(7)).await, Some(JobState::Cancelled));
}

/// Guards against a cancellation that is acknowledged by a leader that may have been replaced: its
/// successor may send a start that was written before.
#[tokio::test]
async fn a_leader_that_cannot_renew_its_lease_acknowledges_no_cancellation() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let scheduler = node.scheduler().expect("it leads");
    for is_acknowledged in [true, false] {
        let (reply_sender, reply) = tokio::sync::oneshot::channel();
        let request = SchedulerRequest::Cancelled(JobId(7), Cancellation::ByOwner, reply_sender);
        scheduler.send(request).await.expect("it runs");
        assert_eq!(reply.await.is_ok(), is_acknowledged);
        store.set_behavior(StoreBehavior::RefusesAll);
        tokio::time::sleep(Duration::from_millis(FAILED_LEADER_TIMEOUT_MS)).await;
    }
}

/// Guards against a partition whose writes repeat for ever: they expect the cancellation of a job
/// by someone who does not own it, and its row was removed between two attempts.
#[tokio::test]
async fn a_job_starts_after_a_cancellation_that_its_write_expected_was_removed() {
    let store = Arc::new(FakePlatform::with_worker());
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let cancellation = Cancellation::by(Some(&CustomerName::new("other")));
    let row = serde_json::to_vec(&cancellation).expect("encoded");
    let put = vec![(Table::Cancels, JobId(7).to_string(), row)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.set_behavior(StoreBehavior::RemovesConflictingCancellation);
    assert_eq!(node.gateway().submit(JobId(7), &job(), deadline_in(2_000)).await, Accepted::Yes);
    wait_until("a start", 2_000, || store.first_starts_received() == 1).await;
    assert_eq!(store.rows(Table::Cancels), Vec::new());
}

/// The store has lost its history, and answers the leader's read of all jobs from the past. Guards
/// against a job that runs again, or although it was cancelled, after its rows were removed.
#[tokio::test]
async fn a_removed_job_does_not_come_back_from_a_stale_read() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::HidesChangesOfJobs);
    let row = serde_json::to_vec(&job()).expect("a row");
    let put = vec![(Table::Jobs, JobId(9).to_string(), row)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    store.save_snapshot_of(Table::Jobs);
    let remove = vec![(Table::Jobs, JobId(9).to_string())];
    store.transact(&Transaction { remove, ..Transaction::default() }).await.expect("removed");
    // The leader learns of a later version before the store loses its history.
    store.set_behavior(StoreBehavior::Normal);
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.serve_snapshot(1, Table::Jobs);
    store.set_behavior(StoreBehavior::LosesHistoryOfJobs);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(scheduler_state(&node, JobId(9)).await, None);
}

/// Guards against an accepted job that never starts because the task that writes its partition
/// panicked: everything behind that write waited for as long as the daemon led.
#[tokio::test]
async fn a_write_that_panics_does_not_block_its_partition() {
    let store = Arc::new(FakePlatform::with_worker());
    let node = start("a", &store).await;
    wait_until_ready(&node).await;
    store.set_behavior(StoreBehavior::PanicsInOneJobWrite);
    let accepted = node.gateway().submit(JobId(7), &job(), deadline_in(5_000)).await;
    assert_eq!(accepted, Accepted::Yes, "the daemon writes it itself");
    wait_until("the start", 10_000, || store.first_starts_received() > 0).await;
}
