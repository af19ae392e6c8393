//! Calls to workers through executors, daemons in the zones of the workers.

mod fake;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_node::DaemonInfo;
use stoatwell_node::Inbox;
use stoatwell_node::Message;
use stoatwell_node::Node;
use stoatwell_node::NodeSettings;
use stoatwell_node::StoreLimits;
use stoatwell_node::executors::Executors;
use stoatwell_node::executors::call::Batch;
use stoatwell_node::executors::call::WorkerCall;
use stoatwell_node::executors::call::WorkerReply;
use stoatwell_node::executors::call::decode;
use stoatwell_node::executors::call::encode;
use stoatwell_node::executors::direct::DirectWorkers;
use stoatwell_node::executors::direct::Way;
use stoatwell_node::executors::plan;
use stoatwell_node::executors::session::BatchPosition;
use stoatwell_node::executors::session::Collected;
use stoatwell_node::executors::session::Executor;
use stoatwell_node::executors::session::SessionId;
use stoatwell_node::inbox;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_pool::CallError;
use stoatwell_pool::Callee;
use stoatwell_pool::Event;
use stoatwell_pool::GangLimits;
use stoatwell_pool::HoldCall;
use stoatwell_pool::Limits;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::timeout;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::proxy::Path;
use self::fake::proxy::Proxy;

const KEY: &str = "test";
const FIRST_BATCH: BatchPosition = BatchPosition { number: 1, first_open: 1 };
const NEVER_EXPIRES_MS: u64 = u64::MAX / 2;

fn daemon(address: &str, zone: &str, cores: f64) -> DaemonInfo {
    DaemonInfo { address: address.to_owned(), zone: ZoneName::new(zone), cores, link_mbps: 200.0 }
}

fn callee() -> Callee {
    Callee { worker: WorkerId::new("w"), address: "10.0.0.1:1".to_owned(), token: 4_097 }
}

fn hold(turn: u64) -> WorkerCall {
    let to = callee();
    WorkerCall::Hold(HoldCall { to, until_ms: None, forget: 0, wait_ms: 0, turn })
}

fn start(index: u32, spec: &Arc<str>) -> WorkerCall {
    WorkerCall::Start(StartCall {
        to: callee(),
        task: format!("5c0e7a21d94b36f8.0.0.{index}").parse().expect("a task"),
        run: 1,
        spec: Arc::clone(spec),
        until_ms: 9_000,
        checkpoint: String::new(),
        ticket: None,
        written_ms: NEVER_EXPIRES_MS,
        assembled_by_ms: None,
    })
}

/// Starts a daemon in its own runtime, whose shutdown ends it with all its connections.
fn start_executor(platform: impl Into<Arc<FakePlatform>>) -> (Runtime, String) {
    start_executor_at(platform, "127.0.0.1:0")
}

/// The same at a certain address.
fn start_executor_at(platform: impl Into<Arc<FakePlatform>>, address: &str) -> (Runtime, String) {
    let platform = platform.into();
    platform.set_behavior(StoreBehavior::RefusesAll);
    let runtime = Runtime::new().expect("a runtime");
    let listener = runtime.block_on(TcpListener::bind(address)).expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let settings = NodeSettings {
        name: "executor".to_owned(),
        address: address.clone(),
        zone: ZoneName::new("z"),
        cores: 0.5,
        link_mbps: 200.0,
        limits: Limits {
            lease_ms: 6_000,
            lease_max_ms: 6_000,
            job_retention_ms: 60_000,
            advice_workers_max: 100,
            batch_bytes_max: 600_000,
            gangs: GangLimits::default(),
        },
        store_limits: StoreLimits {
            row_bytes_max: 49_152,
            transaction_bytes_max: 950_000,
            transaction_entries_max: 100,
        },
        peer_key: KEY.to_owned(),
        manifest_apply_ms: 2_500,
        revoke_ms: None,
    };
    let _entered = runtime.enter();
    let _node = Node::start(&settings, platform, listener);
    (runtime, address)
}

/// The calls of a leader with one worker in zone `z`, which is more than its CPU share allows
/// it to call directly.
fn leader(platform: FakePlatform, executor: &str) -> (Executors<FakePlatform>, Inbox) {
    let (messages, inbox) = inbox();
    let peers = Peers::new(KEY, Traffic::default());
    let me = daemon("127.0.0.1:1", "y", 0.000_1);
    let executors = Executors::new(Arc::new(platform), peers, me, 1, messages);
    executors.update_daemons(vec![daemon(executor, "z", 0.5)]);
    executors.update_workers(BTreeMap::from([(ZoneName::new("z"), 1)]));
    (executors, inbox)
}

/// The next result of a call, in whose place nothing else counts.
async fn next_event(inbox: &mut Inbox) -> Event {
    let next_result = async {
        loop {
            match inbox.recv().await {
                Some(Message::Event(Event::Overdue { .. })) => {}
                Some(Message::Event(event)) => return event,
                other => panic!("no event came: {other:?}"),
            }
        }
    };
    timeout(Duration::from_secs(3), next_result).await.expect("a result within the time")
}

/// Guards against a leader that makes all calls itself while other daemons are idle.
#[test]
fn calls_go_through_a_daemon_of_the_workers_zone() {
    let (_executor, address) = start_executor(FakePlatform::with_worker());
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), hold(7));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { turn: 7, reply: Ok(_), .. }), "{event:?}");
    });
}

/// Guards against calls that never end because their executor crashed.
#[test]
fn calls_of_a_lost_executor_end_without_an_answer() {
    let (executor, address) = start_executor(FakePlatform::with_worker());
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &address);
        executors.wait_until_open().await;
        // The worker does not answer before the executor is gone.
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        tokio::time::sleep(Duration::from_millis(100)).await;
        executor.shutdown_background();
        let event = next_event(&mut inbox).await;
        let no_answer = Err(CallError::NoAnswer);
        assert!(matches!(&event, Event::Started { reply, .. } if *reply == no_answer), "{event:?}");
        // The leader cannot reach the worker here; the refusal shows that it called directly.
        executors.call(Some(&ZoneName::new("z")), hold(8));
        let event = next_event(&mut inbox).await;
        let refused = Err(CallError::Refused);
        assert!(matches!(&event, Event::Held { reply, .. } if *reply == refused), "{event:?}");
    });
}

/// Guards against a worker that is treated as lost although only its executor cannot reach it.
#[test]
fn a_worker_that_its_executor_cannot_reach_is_called_directly() {
    let (_executor, address) = start_executor(FakePlatform::default());
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::with_worker(), &address);
        executors.wait_until_open().await;
        let zone = ZoneName::new("z");
        executors.call(Some(&zone), hold(1));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { reply: Err(_), .. }), "{event:?}");
        executors.call(Some(&zone), hold(2));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { reply: Ok(_), .. }), "{event:?}");
    });
}

/// Guards against starts that were delayed by a broken connection and come from a leader that
/// has been replaced.
#[tokio::test]
async fn an_expired_start_is_not_sent() {
    let platform = Arc::new(FakePlatform::with_worker());
    let executor = Executor::new(Arc::clone(&platform));
    let session = SessionId { epoch: 1, number: 1 };
    let batch = Batch::new(vec![(5, start(0, &Arc::from("work")))], 0);
    assert!(executor.open(session));
    assert!(executor.execute(session, FIRST_BATCH, batch));
    let replies = vec![(5, WorkerReply::Failed(CallError::NotSent))];
    let collected = executor.collect(session, 0, 1_000).await;
    assert_eq!(collected, Some(Collected { cursor: 1, replies }));
    assert_eq!(platform.first_starts_received(), 0);
}

/// Guards against a lease that an executor extends with an old call after it stood still: nobody
/// knows then which incarnation of the worker takes the call, and until when.
#[tokio::test]
async fn an_expired_hold_does_not_extend_the_lease() {
    let platform = Arc::new(FakePlatform::with_worker());
    let executor = Executor::new(Arc::clone(&platform));
    let session = SessionId { epoch: 1, number: 1 };
    assert!(executor.open(session));
    for (number, expires_ms, extensions) in [(1, NEVER_EXPIRES_MS, 1), (2, 0, 1)] {
        let WorkerCall::Hold(call) = hold(number) else { unreachable!("a hold") };
        let call = WorkerCall::Hold(HoldCall { until_ms: Some(9_000), ..call });
        let batch = Batch::new(vec![(number, call)], expires_ms);
        let position = BatchPosition { number, first_open: 1 };
        assert!(executor.execute(session, position, batch));
        let collected = executor.collect(session, number - 1, 1_000).await.expect("the session");
        assert!(matches!(collected.replies[0].1, WorkerReply::Held(Ok(_))), "{collected:?}");
        assert_eq!(platform.extensions_received(), extensions);
    }
}

/// Guards against a former leader that keeps making calls beside the next one.
#[tokio::test]
async fn calls_of_a_replaced_leader_are_refused() {
    let executor = Executor::new(Arc::new(FakePlatform::with_worker()));
    let (former, current) = (SessionId { epoch: 1, number: 9 }, SessionId { epoch: 2, number: 1 });
    for session in [former, current] {
        assert!(executor.open(session));
        assert_eq!(executor.collect(session, 0, 0).await, Some(Collected::default()));
    }
    let batch = Batch::new(vec![(1, hold(1))], NEVER_EXPIRES_MS);
    assert!(!executor.execute(former, FIRST_BATCH, batch));
    assert_eq!(executor.collect(former, 0, 0).await, None);
    assert!(!executor.open(former));
}

/// Guards against an executor without state that is taken for one that still has it.
#[tokio::test]
async fn calls_of_a_session_that_was_not_opened_are_refused() {
    let executor = Executor::new(Arc::new(FakePlatform::with_worker()));
    let session = SessionId { epoch: 1, number: 1 };
    let batch = Batch::new(vec![(1, hold(1))], NEVER_EXPIRES_MS);
    assert!(!executor.execute(session, FIRST_BATCH, batch));
    assert_eq!(executor.collect(session, 0, 0).await, None);
    assert_eq!(executor.collect(session, 3, 0).await, None);
}

/// Guards against replies that are lost with the answer that carried them, and against replies
/// that are kept for ever.
#[tokio::test]
async fn replies_are_kept_until_they_are_acknowledged() {
    let executor = Executor::new(Arc::new(FakePlatform::default()));
    let session = SessionId { epoch: 1, number: 1 };
    assert!(executor.open(session));
    let batch = Batch::new(vec![(7, hold(1))], NEVER_EXPIRES_MS);
    assert!(executor.execute(session, FIRST_BATCH, batch));
    let replies = vec![(7, WorkerReply::Held(Err(CallError::Refused)))];
    let collected = Some(Collected { cursor: 1, replies });
    assert_eq!(executor.collect(session, 0, 1_000).await, collected);
    assert_eq!(executor.collect(session, 0, 1_000).await, collected);
    let nothing = Some(Collected { cursor: 1, replies: Vec::new() });
    assert_eq!(executor.collect(session, 1, 0).await, nothing);
    assert_eq!(executor.collect(session, 0, 0).await, nothing);
}

/// Guards against calls that are made twice since their batch was sent again, also when it
/// arrives after later ones.
#[tokio::test]
async fn a_batch_that_arrives_again_is_not_executed_again() {
    let executor = Executor::new(Arc::new(FakePlatform::default()));
    let session = SessionId { epoch: 1, number: 1 };
    assert!(executor.open(session));
    for (number, first_open) in [(2, 1), (1, 1), (2, 1), (3, 3), (1, 1), (2, 1), (3, 2)] {
        let batch = Batch::new(vec![(number, hold(1))], NEVER_EXPIRES_MS);
        assert!(executor.execute(session, BatchPosition { number, first_open }, batch));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let collected = executor.collect(session, 0, 0).await.expect("a known session");
    let mut numbers: Vec<u64> = collected.replies.iter().map(|(number, _)| *number).collect();
    numbers.sort_unstable();
    assert_eq!(numbers, [1, 2, 3]);
}

/// Guards against a slow link that is saturated because the payload of a job is sent again
/// for each of its tasks.
#[test]
fn a_payload_is_encoded_once_per_batch() {
    let payload: Arc<str> = Arc::from("p".repeat(1_200));
    let calls: Vec<(u64, WorkerCall)> =
        (0..40).map(|index| (u64::from(index), start(index, &payload))).collect();
    let bytes = encode(&Batch::new(calls.clone(), NEVER_EXPIRES_MS));
    assert!(bytes.len() < 1_200 + 40 * 100, "{} bytes", bytes.len());
    let batch: Batch = decode("batch", &bytes).expect("can be read");
    assert_eq!(batch.into_calls().collect::<Vec<_>>(), calls);
}

/// Guards against detours where a leader can call its few workers by itself.
#[test]
fn a_leader_needs_executors_by_its_processor_and_its_link() {
    assert!(!plan::needs_executors(48, &daemon("a", "z", 0.25)));
    assert!(!plan::needs_executors(350, &daemon("a", "z", 0.5)));
    assert!(plan::needs_executors(1_100, &daemon("a", "z", 0.5)));
    let narrow = DaemonInfo { link_mbps: 2.0, ..daemon("a", "z", 0.5) };
    assert!(plan::needs_executors(48, &narrow));
}

/// Guards against a flood that uses up the leader's processor while other daemons are idle.
#[test]
fn a_busy_leader_leaves_its_calls_to_executors() {
    let (_executor, address) = start_executor(FakePlatform::with_worker());
    Runtime::new().expect("a runtime").block_on(async {
        let (messages, mut inbox) = inbox();
        let peers = Peers::new(KEY, Traffic::default());
        let me = daemon("127.0.0.1:1", "y", 0.5);
        let executors = Executors::new(Arc::new(FakePlatform::default()), peers, me, 1, messages);
        executors.update_daemons(vec![daemon(&address, "z", 0.5)]);
        executors.update_workers(BTreeMap::from([(ZoneName::new("z"), 1)]));
        let zone = ZoneName::new("z");
        for (deciding_ms, through_executor) in
            [(100, false), (400, true), (240, true), (100, false)]
        {
            executors.update_load(deciding_ms, 1_000);
            executors.wait_until_open().await;
            executors.call(Some(&zone), hold(deciding_ms));
            let event = next_event(&mut inbox).await;
            // The leader cannot reach a worker directly here.
            let answered = matches!(&event, Event::Held { reply: Ok(_), .. });
            assert_eq!(answered, through_executor, "{deciding_ms}: {event:?}");
        }
    });
}

/// Guards against calls that are sent through the weakest daemons or back to the leader.
#[test]
fn the_most_powerful_daemons_of_the_zone_execute() {
    let leader = daemon("leader", "z", 0.5);
    let daemons = [
        leader.clone(),
        daemon("weak", "z", 0.12),
        daemon("strong", "z", 0.5),
        daemon("far", "y", 0.5),
    ];
    let order = plan::executor_candidates(&ZoneName::new("z"), &daemons, &leader);
    let addresses: Vec<&str> = order.iter().map(|daemon| daemon.address.as_str()).collect();
    assert_eq!(addresses, ["strong", "weak"]);
    assert_eq!(plan::executors_wanted(180), 2);
    assert_eq!(plan::executors_wanted(1_000), 5);
}

/// Guards against sessions that open, fail at once and are opened twice a second for ever.
#[test]
fn sessions_that_fail_at_once_are_opened_less_and_less_often() {
    let mut delay = plan::ReopenDelay::default();
    let delays = [Some(30), None, Some(2_000), Some(9_000), Some(0), None];
    assert_eq!(
        delays.map(|lasted_ms| delay.next_ms(lasted_ms)),
        [500, 1_000, 2_000, 4_000, 8_000, 8_000]
    );
    assert_eq!(delay.next_ms(Some(10_000)), 500);
    assert_eq!(delay.next_ms(None), 1_000);
}

/// Guards against workers that the leader calls itself for ever, since its executor did not reach
/// them once.
#[test]
fn a_worker_leaves_the_direct_calls_once_its_executor_reaches_it() {
    let (worker, mut direct) = (WorkerId::new("w"), DirectWorkers::default());
    let way = |direct: &mut DirectWorkers, is_hold, link_open_ms, now_ms| {
        direct.way(&worker, is_hold, link_open_ms, now_ms)
    };
    assert_eq!(way(&mut direct, false, 0, 0), Way::Executor);
    direct.note_failure(&worker, 1_000);
    assert_eq!(way(&mut direct, true, 0, 3_900), Way::Direct);
    // The link was suspect meanwhile.
    assert_eq!(way(&mut direct, true, 2_000, 4_900), Way::Direct);
    // A start is no trial, and a trial is one call.
    assert_eq!(way(&mut direct, false, 2_000, 5_000), Way::Direct);
    assert_eq!(way(&mut direct, true, 2_000, 5_000), Way::Executor);
    assert_eq!(way(&mut direct, true, 2_000, 5_001), Way::Direct);
    // A trial that fails is repeated later, one that is lost with its session as soon as before.
    direct.note_failure(&worker, 9_000);
    assert_eq!(way(&mut direct, true, 2_000, 14_900), Way::Direct);
    assert_eq!(way(&mut direct, true, 2_000, 15_000), Way::Executor);
    direct.note_loss(&worker, 20_000);
    assert_eq!(way(&mut direct, true, 2_000, 25_900), Way::Direct);
    assert_eq!(way(&mut direct, true, 2_000, 26_000), Way::Executor);
    direct.note_answer(&worker);
    assert_eq!(direct.count(), 0);
    assert_eq!(way(&mut direct, false, 2_000, 26_001), Way::Executor);
}

/// Guards against the same with a whole link.
#[test]
fn calls_of_a_worker_go_through_its_executor_again() {
    // The executor does not reach the worker, the leader does.
    let (executor, address) = start_executor(FakePlatform::default());
    let proxy = Proxy::start(&address);
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::with_worker(), &proxy.address);
        executors.wait_until_open().await;
        let zone = ZoneName::new("z");
        executors.call(Some(&zone), hold(1));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { reply: Err(_), .. }), "{event:?}");
        executor.shutdown_background();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let restarted = tokio::task::spawn_blocking(move || {
            start_executor_at(FakePlatform::with_worker(), &address)
        });
        let (executor, _) = restarted.await.expect("it starts");
        tokio::time::sleep(Duration::from_secs(6)).await;
        // Only the first hold and what follows it take the executor.
        for turn in 2..4 {
            executors.call(Some(&zone), hold(turn));
            let event = next_event(&mut inbox).await;
            assert!(matches!(event, Event::Held { reply: Ok(_), .. }), "{event:?}");
        }
        assert_eq!(executors.direct_workers(), 0);
        executor.shutdown_background();
    });
}

/// Guards against a zone all of whose daemons become executors one after another.
#[test]
fn an_executor_whose_successor_is_open_is_given_up() {
    let mut running: Vec<(Runtime, String)> =
        (0..3).map(|_| start_executor(FakePlatform::with_worker())).collect();
    let mut daemons = Vec::new();
    for ((_, address), cores) in running.iter().zip([0.5, 0.4, 0.3]) {
        daemons.push(daemon(address, "z", cores));
    }
    let addresses: Vec<String> = daemons.iter().map(|daemon| daemon.address.clone()).collect();
    let (failed, _) = running.remove(0);
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, _inbox) = leader(FakePlatform::default(), &addresses[0]);
        executors.update_daemons(daemons);
        let replacing = executors.replace_failed();
        let scenario = async {
            executors.wait_until_open().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(executors.addresses(), addresses[..2]);
            failed.shutdown_background();
            let replaced = async {
                while executors.addresses() != addresses[1..] {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            timeout(Duration::from_secs(2), replaced).await.expect("it is given up");
        };
        tokio::select! {
            () = replacing => panic!("nothing is replaced any more"),
            () = scenario => {}
        }
    });
}

/// An executor with a worker, behind a proxy.
fn executor_behind_proxy() -> (Arc<FakePlatform>, Runtime, Proxy) {
    let platform = Arc::new(FakePlatform::with_worker());
    let (executor, address) = start_executor(Arc::clone(&platform));
    (platform, executor, Proxy::start(&address))
}

/// Waits until the worker has received this many first starts.
async fn starts_received(platform: &FakePlatform, count: usize) {
    let received = async {
        while platform.first_starts_received() < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(2), received).await.expect("the start is made");
}

fn assert_start_answered(event: &Event) {
    let answered = Ok(StartReply::TooLate);
    assert!(matches!(event, Event::Started { reply, .. } if *reply == answered), "{event:?}");
}

/// Guards against a reply that is lost for good with the connection that carried it.
#[test]
fn a_reply_that_is_lost_on_its_way_is_collected_again() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        proxy.set_path(Path::LosesReplies);
        platform.answer_first_starts();
        tokio::time::sleep(Duration::from_millis(300)).await;
        proxy.reset_connections();
        proxy.set_path(Path::Open);
        assert_start_answered(&next_event(&mut inbox).await);
    });
}

/// Guards against calls that count as unanswered since a connection was reset.
#[test]
fn a_session_survives_a_reset_connection() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        for _ in 0..3 {
            proxy.reset_connections();
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        platform.answer_first_starts();
        assert_start_answered(&next_event(&mut inbox).await);
    });
}

/// Guards against calls that count as unanswered since their executor stood still for a second.
#[test]
fn a_session_survives_an_executor_that_stands_still_for_a_second() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        proxy.set_path(Path::Stalled);
        tokio::time::sleep(Duration::from_secs(1)).await;
        proxy.set_path(Path::Open);
        tokio::time::sleep(Duration::from_millis(300)).await;
        platform.answer_first_starts();
        assert_start_answered(&next_event(&mut inbox).await);
        // The link accepts calls again; the leader cannot reach the worker itself.
        executors.call(Some(&ZoneName::new("z")), hold(8));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { reply: Ok(_), .. }), "{event:?}");
    });
}

/// Guards against a leader that stood still itself and then blames its executors.
#[test]
fn a_leader_that_stood_still_ends_no_session() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    let leader_runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    leader_runtime.expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        for run_ms in [1, 30, 200, 250, 400] {
            std::thread::sleep(Duration::from_millis(1_200));
            tokio::time::sleep(Duration::from_millis(run_ms)).await;
        }
        platform.answer_first_starts();
        assert_start_answered(&next_event(&mut inbox).await);
    });
}

/// Guards against calls that wait for an executor that lost its state.
#[test]
fn a_restarted_executor_ends_its_session_at_once() {
    let platform = Arc::new(FakePlatform::with_worker());
    let (executor, address) = start_executor(Arc::clone(&platform));
    let proxy = Proxy::start(&address);
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        executor.shutdown_background();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let restarted = Instant::now();
        let (executor, _) = tokio::task::spawn_blocking(move || {
            start_executor_at(FakePlatform::with_worker(), &address)
        })
        .await
        .expect("it starts");
        let event = next_event(&mut inbox).await;
        let no_answer = Err(CallError::NoAnswer);
        assert!(matches!(&event, Event::Started { reply, .. } if *reply == no_answer), "{event:?}");
        assert!(restarted.elapsed() < Duration::from_millis(700), "{:?}", restarted.elapsed());
        executor.shutdown_background();
    });
}

/// Guards against new calls that wait for a dead executor, and against calls that wait for it
/// without an end.
#[test]
fn a_silent_executor_gets_no_new_calls_and_loses_its_session() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        proxy.set_path(Path::Stalled);
        let silent = Instant::now();
        tokio::time::sleep(Duration::from_millis(750)).await;
        // The refusal shows that the leader called the worker itself.
        executors.call(Some(&ZoneName::new("z")), hold(8));
        let event = next_event(&mut inbox).await;
        let refused = Err(CallError::Refused);
        let event = if matches!(event, Event::Held { .. }) {
            assert!(matches!(&event, Event::Held { reply, .. } if *reply == refused), "{event:?}");
            next_event(&mut inbox).await
        } else {
            event
        };
        let no_answer = Err(CallError::NoAnswer);
        assert!(matches!(&event, Event::Started { reply, .. } if *reply == no_answer), "{event:?}");
        assert!(silent.elapsed() < Duration::from_millis(2_500), "{:?}", silent.elapsed());
    });
}

/// Guards against a leader that makes the calls of all workers itself, for the rest of its term,
/// since a session with their executor ended once.
#[test]
fn workers_are_called_through_their_executor_again_once_it_has_a_session() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::with_worker(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        proxy.set_path(Path::Stalled);
        let event = next_event(&mut inbox).await;
        let no_answer = Err(CallError::NoAnswer);
        assert!(matches!(&event, Event::Started { reply, .. } if *reply == no_answer), "{event:?}");
        proxy.set_path(Path::Open);
        // The next session opens.
        tokio::time::sleep(Duration::from_secs(2)).await;
        executors.call(Some(&ZoneName::new("z")), start(1, &Arc::from("work")));
        starts_received(&platform, 2).await;
    });
}

/// Guards against a leader that makes the calls of a worker itself, for the rest of its term, since
/// one call through its executor got no answer.
#[test]
fn a_worker_is_called_through_its_executor_again_some_time_after_a_lost_call() {
    let platform = Arc::new(FakePlatform::with_worker());
    let (_executor, address) = start_executor(Arc::clone(&platform));
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::with_worker(), &address);
        executors.wait_until_open().await;
        let zone = ZoneName::new("z");
        platform.set_loses_holds(true);
        executors.call(Some(&zone), hold(1));
        let event = next_event(&mut inbox).await;
        assert!(matches!(event, Event::Held { reply: Err(_), .. }), "{event:?}");
        platform.set_loses_holds(false);
        for turn in 2..22 {
            executors.call(Some(&zone), hold(turn));
            let event = next_event(&mut inbox).await;
            assert!(matches!(event, Event::Held { reply: Ok(_), .. }), "{event:?}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        executors.call(Some(&zone), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
    });
}

/// Guards against a start that is made twice since its batch was sent again.
#[test]
fn a_batch_whose_acceptance_is_lost_is_executed_once() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        proxy.set_path(Path::LosesReplies);
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        proxy.reset_connections();
        proxy.set_path(Path::Open);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(platform.first_starts_received(), 1);
        platform.answer_first_starts();
        assert_start_answered(&next_event(&mut inbox).await);
    });
}

/// Guards against a start that is made later than it may be since its batch was sent again.
#[test]
fn a_start_that_is_sent_again_expires_as_before() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        proxy.set_path(Path::Stalled);
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        tokio::time::sleep(Duration::from_secs(1)).await;
        proxy.set_path(Path::Open);
        let event = next_event(&mut inbox).await;
        let unmade = [Err(CallError::NotSent), Err(CallError::NoAnswer)];
        assert!(
            matches!(&event, Event::Started { reply, .. } if unmade.contains(reply)),
            "{event:?}"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(platform.first_starts_received(), 0);
    });
}

/// Waits for an event; `None` if none comes in this time.
async fn event_within(inbox: &mut Inbox, limit_ms: u64) -> Option<Event> {
    match timeout(Duration::from_millis(limit_ms), inbox.recv()).await {
        Ok(Some(Message::Event(event))) => Some(event),
        Ok(other) => panic!("no event came: {other:?}"),
        Err(_) => None,
    }
}

/// Guards against an answer that exists at an executor and that nobody asks for another way, until
/// the session ends.
#[test]
fn the_scheduler_learns_within_a_second_that_an_answer_waits_at_a_stalled_executor() {
    let (_platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        proxy.set_path(Path::LosesReplies);
        executors.call(Some(&ZoneName::new("z")), hold(1));
        let event = event_within(&mut inbox, 1_000).await;
        assert!(event.is_some(), "nothing is known of the hold after a second");
    });
}

/// Guards against starts that have expired, and whose answer is waited for until the session ends.
#[test]
fn a_start_that_no_executor_accepted_is_settled_once_it_has_expired() {
    let (_platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        proxy.set_path(Path::Stalled);
        let sent = Instant::now();
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        loop {
            let event = event_within(&mut inbox, 3_000).await.expect("an event");
            if let Event::Started { reply, .. } = event {
                let unmade = [Err(CallError::NotSent), Err(CallError::NoAnswer)];
                assert!(unmade.contains(&reply), "{reply:?}");
                break;
            }
        }
        assert!(sent.elapsed() < Duration::from_millis(1_200), "{:?}", sent.elapsed());
    });
}

/// Guards against a question about a run that waits behind the answer that it is asked for.
#[test]
fn a_question_does_not_take_the_way_on_which_an_answer_is_overdue() {
    let (platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        executors.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        starts_received(&platform, 1).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        executors.call(Some(&ZoneName::new("z")), hold(8));
        loop {
            let event = event_within(&mut inbox, 1_000).await.expect("an event");
            if let Event::Held { reply, .. } = event {
                // The leader cannot reach the worker; the refusal shows that it called directly.
                assert_eq!(reply, Err(CallError::Refused));
                break;
            }
        }
    });
}

/// Guards against an executor that fails again and again, and that makes the calls of half of a
/// zone's workers each time as soon as it answers.
#[test]
fn an_executor_that_fails_again_and_again_gets_its_share_back_slowly() {
    let (_platform, _executor, proxy) = executor_behind_proxy();
    Runtime::new().expect("a runtime").block_on(async {
        let (executors, mut inbox) = leader(FakePlatform::default(), &proxy.address);
        executors.wait_until_open().await;
        let mut ways = Vec::new();
        for turn in 1..=4 {
            proxy.set_path(Path::Stalled);
            tokio::time::sleep(Duration::from_millis(900)).await;
            proxy.set_path(Path::Open);
            tokio::time::sleep(Duration::from_millis(300)).await;
            executors.call(Some(&ZoneName::new("z")), hold(turn));
            let event = event_within(&mut inbox, 1_000).await.expect("an answer");
            // The leader cannot reach the worker directly.
            ways.push(matches!(&event, Event::Held { reply: Ok(_), .. }));
        }
        assert_eq!(ways, [true, false, false, false], "calls through the executor");
        tokio::time::sleep(Duration::from_secs(9)).await;
        executors.call(Some(&ZoneName::new("z")), hold(9));
        let event = event_within(&mut inbox, 1_000).await.expect("an answer");
        assert!(matches!(&event, Event::Held { reply: Ok(_), .. }), "{event:?}");
    });
}

/// Guards against a question about a start that is lost behind the next executor that fails.
#[test]
fn a_question_about_a_lost_start_does_not_try_another_executor() {
    let executors = [executor_behind_proxy(), executor_behind_proxy()];
    Runtime::new().expect("a runtime").block_on(async {
        let addresses = executors.each_ref().map(|(.., proxy)| proxy.address.as_str());
        let (leader, mut inbox) = leader(FakePlatform::default(), addresses[0]);
        leader.update_daemons(addresses.map(|address| daemon(address, "z", 0.5)).to_vec());
        leader.wait_until_open().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        leader.call(Some(&ZoneName::new("z")), start(0, &Arc::from("work")));
        tokio::time::sleep(Duration::from_millis(200)).await;
        let started =
            executors.iter().filter(|(platform, ..)| platform.first_starts_received() > 0);
        for (.., proxy) in started {
            proxy.set_path(Path::Stalled);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        leader.call(Some(&ZoneName::new("z")), hold(8));
        let event = next_event(&mut inbox).await;
        // The leader cannot reach the worker; the refusal shows that it called directly.
        let refused = Err(CallError::Refused);
        assert!(matches!(&event, Event::Held { reply, .. } if *reply == refused), "{event:?}");
    });
}
