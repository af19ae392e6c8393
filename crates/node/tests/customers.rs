//! Customers and their keys, over a store in memory.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use stoatwell_customers::Customer;
use stoatwell_customers::Directory;
use stoatwell_customers::KeyHash;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_node::Denied;
use stoatwell_node::JobLookup;
use stoatwell_node::Manifest;
use stoatwell_node::Node;
use stoatwell_node::Queue;
use stoatwell_node::clock::steady_ms;
use stoatwell_pool::Accepted;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::fake::Fake;
use self::fake::Mood;
use self::fake::daemon::in_ms;
use self::fake::daemon::job;
use self::fake::daemon::start_with;
use self::fake::daemon::until;

/// Keys stop working this long after they were taken away.
const REVOKE_MS: u64 = 2_000;

fn manifest(version: u64, keys: &[(&str, &str)]) -> Manifest {
    let customers = keys.iter().map(|(name, key)| Customer {
        name: CustomerName::new(name),
        weight: 10.0,
        cap: Resources::ZERO,
        keys: vec![KeyHash::of(key)],
    });
    let customers = Directory::new(customers.collect()).expect("sound");
    Manifest { version, customers: Some(customers), ..Manifest::default() }
}

fn queue(anonymous: bool) -> Queue {
    Queue {
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        timeout_ms: 3_000,
        anonymous,
        spec: job().queue,
    }
}

fn owned(customer: &str) -> JobSpec {
    let name = CustomerName::new(customer);
    let limits = CustomerLimits { name, weight: 10.0, cap: Resources::ZERO };
    JobSpec { customer: Some(limits), ..job() }
}

/// Who is let in with a key now.
fn admit(node: &Node<Fake>, key: &str) -> Result<Option<CustomerName>, Denied> {
    let manifest = node.manifest().newest();
    let customer = node.manifest().admit(&manifest, &queue(false), Some(key))?;
    Ok(customer.map(|customer| customer.name.clone()))
}

async fn start(name: &str, store: &Arc<Fake>) -> Node<Fake> {
    start_with(name, store, Some(REVOKE_MS)).await
}

#[tokio::test]
async fn only_known_keys_are_let_in() {
    let store = Arc::new(Fake::default());
    store.write_manifest(manifest(1, &[("a", "k1"), ("b", "k2")]));
    let node = start("a", &store).await;
    until("a proof", 2_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
    assert_eq!(admit(&node, "k2"), Ok(Some(CustomerName::new("b"))));
    assert_eq!(admit(&node, "k3"), Err(Denied::UnknownKey));
    let manifest = node.manifest().newest();
    let open = node.manifest().admit(&manifest, &queue(true), None);
    assert!(matches!(open, Ok(None)), "{open:?}");
    let without = node.manifest().admit(&manifest, &queue(false), None);
    assert!(matches!(without, Err(Denied::UnknownKey)), "{without:?}");
}

/// Guards against a daemon that the store turns away and that refuses all its callers,
/// though the leader knows that their keys are good.
#[tokio::test]
async fn a_daemon_without_the_store_goes_by_the_leaders_proof() {
    let store = Arc::new(Fake::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    let leader = start("a", &store).await;
    until("a leader", 3_000, || leader.scheduler().is_some()).await;
    let store_of_other = Arc::new(store.for_another());
    let other = start("b", &store_of_other).await;
    until("a proof", 2_000, || matches!(admit(&other, "k1"), Ok(Some(_)))).await;
    store_of_other.set(Mood::TurnsAway);
    let end = in_ms(REVOKE_MS * 2);
    while tokio::time::Instant::now() < end {
        assert_eq!(admit(&other, "k1"), Ok(Some(CustomerName::new("a"))));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The leader hands on a newer version as well.
    store.write_manifest(manifest(2, &[("a", "k9")]));
    until("the newer manifest", REVOKE_MS, || admit(&other, "k1").is_err()).await;
    assert_eq!(admit(&other, "k9"), Ok(Some(CustomerName::new("a"))));
}

/// Guards against a key that goes on working at a daemon that hears of nothing.
#[tokio::test]
async fn a_daemon_on_its_own_lets_nobody_in_after_a_time() {
    let store = Arc::new(Fake::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    let node = start("a", &store).await;
    until("a proof", 2_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
    store.set(Mood::TurnsAway);
    let cut_ms = steady_ms();
    until("nobody let in", REVOKE_MS, || admit(&node, "k1") == Err(Denied::Unconfirmed)).await;
    assert!(steady_ms() < cut_ms + REVOKE_MS);
    store.set(Mood::Well);
    until("a new proof", 1_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
}

/// Guards against a customer that learns of another one's jobs, or cancels them.
#[tokio::test]
async fn jobs_of_others_are_as_if_they_were_not_there() {
    let store = Arc::new(Fake::default());
    let node = start("a", &store).await;
    until("a leader", 3_000, || node.scheduler().is_some()).await;
    let gateway = node.gateway();
    let [a, b] = ["a", "b"].map(CustomerName::new);
    assert_eq!(gateway.submit(JobId(7), &owned("a"), in_ms(2_000)).await, Accepted::Yes);
    let queued = JobLookup::State(JobState::Queued);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
    for stranger in [Some(&b), None] {
        assert_eq!(gateway.state(JobId(7), stranger).await, JobLookup::NoJob);
        assert_eq!(gateway.cancel(JobId(7), stranger, in_ms(2_000)).await, None);
    }
    assert_eq!(gateway.submit(JobId(7), &owned("b"), in_ms(2_000)).await, Accepted::Taken);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
    node.stop().await;
    // Without a leader the rows tell the same.
    assert_eq!(gateway.state(JobId(7), Some(&b)).await, JobLookup::NoJob);
    assert_eq!(gateway.submit(JobId(7), &owned("b"), in_ms(2_000)).await, Accepted::Taken);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
}
