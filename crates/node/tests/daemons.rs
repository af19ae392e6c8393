//! Daemons over a store in memory.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::JobLookup;
use stoatwell_node::Platform;
use stoatwell_node::Query;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::JobView;
use stoatwell_pool::Outcome;
use stoatwell_pool::Progress;
use stoatwell_pool::StepSpec;
use tokio::time::Instant;

use self::fake::Fake;
use self::fake::Mood;
use self::fake::daemon::in_ms;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::until;

fn view(state: JobState) -> JobView {
    JobView { state, customer: None }
}

/// The answer to the write that accepts a job is lost on its way. The daemon
/// tries again under the condition that there is no such job and learns that
/// it is durable; a caller told "not accepted" would hand it in twice.
#[tokio::test]
async fn a_lost_answer_of_the_store_still_accepts() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    until("a scheduler", 3_000, || node.scheduler().is_some()).await;
    store.set(Mood::LosesOneAnswer);
    let accepted = node.gateway().submit(JobId(7), &job(), in_ms(2_000)).await;
    assert_eq!(accepted, Accepted::Yes);
    assert_eq!(store.rows(Table::Jobs).len(), 1);
}

/// The same job arrives twice, as when the first answer did not reach its
/// caller. It stays one job.
#[tokio::test]
async fn the_same_job_again_is_one_job() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    assert_eq!(node.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    assert_eq!(node.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    assert_eq!(store.rows(Table::Jobs).len(), 1);
}

/// The store refuses writes. The caller is told that the job was not accepted,
/// which is true, and soon enough to go elsewhere.
#[tokio::test]
async fn a_refusing_store_refuses_jobs_truthfully() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    until("a scheduler", 3_000, || node.scheduler().is_some()).await;
    store.set(Mood::Refuses);
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(7), &job(), in_ms(3_000)).await, Accepted::No);
    assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
    assert!(store.rows(Table::Jobs).is_empty());
}

/// The store falls silent with a write under way. Its caller is told before
/// the deadline that nobody knows; callers after it are refused at once, since
/// their jobs were never sent anywhere, instead of waiting for nothing.
#[tokio::test]
async fn a_silent_store_holds_nobody_up() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    until("a scheduler", 3_000, || node.scheduler().is_some()).await;
    store.set(Mood::Silent);
    let gateway = Arc::clone(node.gateway());
    let first = tokio::spawn(async move { gateway.submit(JobId(7), &job(), in_ms(2_800)).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(8), &job(), in_ms(2_800)).await, Accepted::No);
    assert!(began.elapsed() < Duration::from_millis(50), "{:?}", began.elapsed());
    assert_eq!(first.await.expect("no panic"), Accepted::Unknown);
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// The scheduler's daemon stops. It gives the duty up and another one takes it
/// over within half a second; a user notices nothing.
#[tokio::test]
async fn a_stopping_scheduler_hands_the_duty_over() {
    let store = Arc::new(Fake::default());
    let first = start("a", &store).await;
    until("a scheduler", 3_000, || first.scheduler().is_some()).await;
    let second = start("b", &store).await;
    assert_eq!(second.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    first.stop().await;
    until("the next scheduler", 1_000, || second.scheduler().is_some()).await;
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Queued));
}

/// A caller asks a daemon that does not schedule, about jobs there are and
/// jobs there are not.
#[tokio::test]
async fn any_daemon_tells_where_a_job_stands() {
    let store = Arc::new(Fake::default());
    let first = start("a", &store).await;
    until("a scheduler", 3_000, || first.scheduler().is_some()).await;
    let second = start("b", &store).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Queued));
    assert_eq!(second.gateway().state(JobId(8), None).await, JobLookup::NoJob);
    assert_eq!(second.gateway().cancel(JobId(7), None, in_ms(2_000)).await, Some(Accepted::Yes));
    assert_eq!(second.gateway().cancel(JobId(8), None, in_ms(2_000)).await, None);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(second.gateway().state(JobId(7), None).await, JobLookup::State(JobState::Cancelled));
}

/// The store answers a new scheduler's first readings with what was there before
/// the duty changed hands. The scheduler reads again; it would otherwise take a
/// job that is done for one that nobody has begun, and run it a second time.
#[tokio::test]
async fn a_new_scheduler_does_not_trust_an_old_state() {
    let store = Arc::new(Fake::default());
    let first = start("a", &store).await;
    until("a scheduler", 3_000, || first.scheduler().is_some()).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    store.remember();
    let done = Progress { outcome: Some(Outcome::Completed), ..Progress::default() };
    let value = serde_json::to_vec(&done).expect("a row");
    let put = vec![(Table::Progress, JobId(7).to_string(), value)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
    first.stop().await;
    store.answer_old_readings(2, Table::Progress);
    let second = start("b", &store).await;
    until("the next scheduler", 3_000, || second.scheduler().is_some()).await;
    let (answer, answered) = tokio::sync::oneshot::channel();
    let queries = second.scheduler().expect("it schedules");
    queries.send(Query::State(JobId(7), answer)).await.expect("it listens");
    assert_eq!(answered.await.expect("it answers"), Some(view(JobState::Completed)));
}

/// The scheduler's process is killed. Its row says nothing of it for a while, but the
/// other daemons miss it at once, and callers wait no longer than a breath.
#[test]
fn a_killed_scheduler_is_replaced_within_a_second_and_a_half() {
    let store = Arc::new(Fake::default());
    let doomed = tokio::runtime::Runtime::new().expect("a runtime");
    let first = doomed.block_on(start("a", &store));
    let others = tokio::runtime::Runtime::new().expect("a runtime");
    others.block_on(async {
        until("a scheduler", 3_000, || first.scheduler().is_some()).await;
        let second = start("b", &store).await;
        assert_eq!(second.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
        tokio::time::sleep(Duration::from_millis(600)).await;
        doomed.shutdown_background();
        until("the next scheduler", 1_500, || second.scheduler().is_some()).await;
        assert_eq!(
            second.gateway().state(JobId(7), None).await,
            JobLookup::State(JobState::Queued)
        );
    });
}

/// The store falls silent and swallows every call for some seconds, then is back. The
/// first caller after that is served at once, though calls that were swallowed still
/// wait for their answers, and the scheduler is the one there was.
#[tokio::test]
async fn the_return_of_a_silent_store_is_noticed_at_once() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    until("a scheduler", 3_000, || node.scheduler().is_some()).await;
    let other = start("b", &store).await;
    store.set(Mood::Silent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(!node.gateway().is_store_up());
    store.set(Mood::Well);
    until("the return", 250, || node.gateway().is_store_up()).await;
    let began = Instant::now();
    assert_eq!(node.gateway().submit(JobId(8), &job(), in_ms(2_000)).await, Accepted::Yes);
    assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(node.scheduler().is_some() && other.scheduler().is_none());
}

/// The store turns the scheduler's machine and another one away, and serves the third.
/// The third schedules soon, and the other one learns that from it, not from the store:
/// its callers are served through it instead of being refused until the store is back.
#[tokio::test]
async fn daemons_without_the_store_learn_who_schedules() {
    let store = Arc::new(Fake::default());
    let first = start("a", &store).await;
    until("a scheduler", 3_000, || first.scheduler().is_some()).await;
    let away = Arc::new(store.for_another());
    let second = start("b", &away).await;
    let third = start("c", &Arc::new(store.for_another())).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    store.set(Mood::TurnsAway);
    away.set(Mood::TurnsAway);
    until("the next scheduler", 2_000, || third.scheduler().is_some()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(second.gateway().submit(JobId(9), &job(), in_ms(2_000)).await, Accepted::Yes);
    assert_eq!(second.gateway().state(JobId(9), None).await, JobLookup::State(JobState::Queued));
}

/// A worker answers hundreds of starts at one moment, as after a store outage that held
/// all of them up. Each answer is taken in; a task whose answer is lost keeps its room,
/// is looked at by nobody and never runs, however empty the workers are.
#[tokio::test]
async fn no_answer_of_many_at_one_moment_is_lost() {
    const TASKS: usize = 900;
    let store = Arc::new(Fake::with_worker());
    let node = start("a", &store).await;
    until("a scheduler", 3_000, || node.scheduler().is_some()).await;
    let step = StepSpec { tasks: TASKS as u32, ..StepSpec::default() };
    let wide = JobSpec { steps: vec![step], ..job() };
    assert_eq!(node.gateway().submit(JobId(7), &wide, in_ms(2_000)).await, Accepted::Yes);
    until("all starts", 5_000, || store.first_starts() == TASKS).await;
    store.answer_first_starts();
    let end = in_ms(8_000);
    while node.gateway().state(JobId(7), None).await != JobLookup::State(JobState::Completed) {
        assert!(Instant::now() < end, "the job is not completed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a batch of a former leader that is carried out late and puts old progress
/// over new.
#[tokio::test]
async fn a_former_leaders_write_has_no_effect() {
    let store = Arc::new(Fake::default());
    let first = start("a", &store).await;
    until("a leader", 3_000, || first.scheduler().is_some()).await;
    assert_eq!(first.gateway().submit(JobId(7), &job(), in_ms(2_000)).await, Accepted::Yes);
    let fences = store.rows(Table::Fences);
    let fence = fences.iter().find(|row| row.key == JobId(7).partition().to_string());
    let expected = fence.expect("each part has a fence").version;
    first.stop().await;
    let second = start("b", &store).await;
    until("the next leader", 3_000, || second.scheduler().is_some()).await;
    until("its fences", 3_000, || {
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
