//! How daemons with an in-memory store learn of a new manifest.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_node::Manifest;
use stoatwell_node::Node;
use stoatwell_node::Outdated;
use stoatwell_node::Queue;
use stoatwell_node::clock::steady_ms;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::QueueSpec;
use tokio::time::Instant;

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start;
use self::fake::daemon::wait_until;

/// A manifest must be in force within this time after it was written.
const APPLY_MS: u64 = 2_500;

fn manifest(version: u64, advice: Option<AdviceSpec>) -> Manifest {
    let queue = Queue {
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        timeout_ms: 3_000,
        anonymous: false,
        spec: QueueSpec { advice, ..job().queue },
    };
    Manifest { version, queues: vec![queue], ..Manifest::default() }
}

/// Asserts that a daemon stays current for twice the time in which a manifest has to be in force.
async fn assert_stays_current(node: &Node<FakePlatform>) {
    let end = deadline_in(2 * APPLY_MS);
    while Instant::now() < end {
        assert!(node.manifest().is_current(steady_ms()));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn version(node: &Node<FakePlatform>) -> u64 {
    node.manifest().newest().version
}

/// Starts a leader, and a daemon that the store refuses.
async fn start_leader_and_other(
    store: &Arc<FakePlatform>,
) -> (Node<FakePlatform>, Node<FakePlatform>) {
    let leader = start("a", store).await;
    wait_until("a leader", 3_000, || leader.scheduler().is_some()).await;
    let other_store = Arc::new(store.for_other_daemon());
    let other = start("b", &other_store).await;
    // The daemon reads the leader's address before the store begins to refuse it.
    wait_until("the leader's liveness", 2_000, || other.gateway().leader_reaches_store()).await;
    other_store.set_behavior(StoreBehavior::RefusesAll);
    (leader, other)
}

/// Guards against a manifest that the leader relays and the other daemon cannot decode,
/// because a queue without an advisor is encoded differently from one with an advisor.
#[tokio::test]
async fn a_relayed_manifest_with_and_without_an_advisor_is_applied() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, None));
    let (_leader, other) = start_leader_and_other(&store).await;
    let advice = AdviceSpec { decide_ms: 10.0, each_ms: 1.0, valid_ms: 2_000 };
    store.write_manifest(manifest(2, Some(advice)));
    wait_until("a manifest with an advisor", APPLY_MS, || version(&other) == 2).await;
    store.write_manifest(manifest(3, None));
    wait_until("a manifest without an advisor", APPLY_MS, || version(&other) == 3).await;
}

/// Guards against a daemon that waits for the response to a poll it sent during an outage,
/// while a manifest that was written after the outage is not in force. No other daemon leads
/// and could relay the manifest.
#[tokio::test]
async fn a_manifest_written_after_an_outage_is_applied_in_time() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, None));
    store.set_behavior(StoreBehavior::RefusesWrites);
    let node = start("a", &store).await;
    wait_until("the first manifest", 2_000, || version(&node) == 1).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    tokio::time::sleep(Duration::from_secs(3)).await;
    store.set_behavior(StoreBehavior::RefusesWrites);
    store.write_manifest(manifest(2, None));
    wait_until("the second manifest", APPLY_MS, || version(&node) == 2).await;
}

/// Guards against a daemon that learns nothing for as long as one poll of the store without
/// a response lasts, although the store responds to all other calls.
#[tokio::test]
async fn a_lost_response_to_a_poll_does_not_delay_a_manifest() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, None));
    store.set_behavior(StoreBehavior::RefusesWrites);
    let node = start("a", &store).await;
    wait_until("the first manifest", 2_000, || version(&node) == 1).await;
    store.set_behavior(StoreBehavior::LosesOnePoll);
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.set_behavior(StoreBehavior::RefusesWrites);
    store.write_manifest(manifest(2, None));
    wait_until("the second manifest", APPLY_MS, || version(&node) == 2).await;
}

/// Guards against "no such queue" from a daemon that neither the store nor the leader has
/// reached since the queue was added. The caller would take that as final.
#[tokio::test]
async fn a_daemon_without_contact_does_not_deny_a_queue() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, None));
    store.set_behavior(StoreBehavior::RefusesWrites);
    let node = start("a", &store).await;
    wait_until("the first manifest", 2_000, || version(&node) == 1).await;
    let denied = node.manifest().for_request("other", "/q/").await;
    assert_eq!(denied.expect("it is current").find("other", "/q/"), None);
    store.set_behavior(StoreBehavior::Unresponsive);
    wait_until("the loss of contact", 2 * APPLY_MS, || !node.manifest().is_current(steady_ms()))
        .await;
    let other = node.manifest().for_request("other", "/q/").await;
    assert_eq!(other.expect_err("it is outdated"), Outdated);
    let known = node.manifest().for_request("h", "/q/").await;
    assert!(known.expect("it is known").find("h", "/q/").is_some());
    // A request that arrives just after the recovery is answered by the newest manifest.
    store.write_manifest(Manifest { queues: Vec::new(), ..manifest(2, None) });
    store.set_behavior(StoreBehavior::RefusesWrites);
    let denied = node.manifest().for_request("other", "/q/").await;
    assert_eq!(denied.expect("it is current").version, 2);
}

/// Guards against a daemon that rejects callers although it would learn of a new manifest:
/// from the store without a leader, or from the leader without the store.
#[tokio::test]
async fn a_daemon_with_the_store_or_the_leader_stays_current() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, None));
    let without_leader = Arc::new(store.for_other_daemon());
    without_leader.set_behavior(StoreBehavior::RefusesWrites);
    let node = start("a", &without_leader).await;
    wait_until("the first manifest", 2_000, || version(&node) == 1).await;
    assert_stays_current(&node).await;
    let (_leader, other) = start_leader_and_other(&store).await;
    wait_until("the first manifest", 2_000, || version(&other) == 1).await;
    assert_stays_current(&other).await;
}

/// Guards against a daemon that polls without pause before the first manifest is written.
#[tokio::test]
async fn a_daemon_waits_for_the_first_manifest() {
    let store = Arc::new(FakePlatform::default());
    let _node = start("a", &store).await;
    tokio::time::sleep(Duration::from_millis(APPLY_MS)).await;
    let polls = store.manifest_polls();
    assert!((1..=8).contains(&polls), "{polls} polls");
}
