//! Authentication of customers and access to their jobs, with an in-memory store.

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

use self::fake::FakePlatform;
use self::fake::StoreBehavior;
use self::fake::daemon::deadline_in;
use self::fake::daemon::job;
use self::fake::daemon::start_with_cores;
use self::fake::daemon::start_with_revocation;
use self::fake::daemon::wait_until;

/// A revoked key stops working within this time.
const REVOKE_MS: u64 = 2_000;

fn manifest(version: u64, keys: &[(&str, &str)]) -> Manifest {
    let customers = keys.iter().map(|(name, key)| Customer {
        name: CustomerName::new(name),
        weight: 10.0,
        cap: Resources::ZERO,
        keys: vec![KeyHash::of(key)],
    });
    let customers = Directory::new(customers.collect()).expect("a valid directory");
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

fn job_of(customer: &str) -> JobSpec {
    let name = CustomerName::new(customer);
    let limits = CustomerLimits { name, weight: 10.0, cap: Resources::ZERO };
    JobSpec { customer: Some(limits), ..job() }
}

/// The customer that a key is admitted as at present.
fn admit(node: &Node<FakePlatform>, key: &str) -> Result<Option<CustomerName>, Denied> {
    let manifest = node.manifest().newest();
    let customer = node.manifest().admit(&manifest, &queue(false), Some(key))?;
    Ok(customer.map(|customer| customer.name.clone()))
}

async fn start(name: &str, store: &Arc<FakePlatform>) -> Node<FakePlatform> {
    start_with_revocation(name, store, Some(REVOKE_MS)).await
}

#[tokio::test]
async fn only_known_keys_are_admitted() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, &[("a", "k1"), ("b", "k2")]));
    let node = start("a", &store).await;
    wait_until("a proof", 2_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
    assert_eq!(admit(&node, "k2"), Ok(Some(CustomerName::new("b"))));
    assert_eq!(admit(&node, "k3"), Err(Denied::UnknownKey));
    let manifest = node.manifest().newest();
    let anonymous = node.manifest().admit(&manifest, &queue(true), None);
    assert!(matches!(anonymous, Ok(None)), "{anonymous:?}");
    let without_key = node.manifest().admit(&manifest, &queue(false), None);
    assert!(matches!(without_key, Err(Denied::UnknownKey)), "{without_key:?}");
}

/// Guards against a daemon that denies all callers while the store refuses its requests,
/// although the leader can confirm that their keys are valid.
#[tokio::test]
async fn a_daemon_without_the_store_uses_the_leaders_proof() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    let leader = start("a", &store).await;
    wait_until("a leader", 3_000, || leader.scheduler().is_some()).await;
    let other_store = Arc::new(store.for_other_daemon());
    let other = start("b", &other_store).await;
    wait_until("a proof", 2_000, || matches!(admit(&other, "k1"), Ok(Some(_)))).await;
    other_store.set_behavior(StoreBehavior::RefusesAll);
    let end = deadline_in(REVOKE_MS * 2);
    while tokio::time::Instant::now() < end {
        assert_eq!(admit(&other, "k1"), Ok(Some(CustomerName::new("a"))));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A newer manifest is relayed by the leader as well.
    store.write_manifest(manifest(2, &[("a", "k9")]));
    wait_until("the newer manifest", REVOKE_MS, || admit(&other, "k1").is_err()).await;
    assert_eq!(admit(&other, "k9"), Ok(Some(CustomerName::new("a"))));
}

/// Guards against a revoked key that keeps working at a daemon without store and leader.
#[tokio::test]
async fn an_isolated_daemon_admits_nobody_after_the_revocation_time() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    let node = start("a", &store).await;
    wait_until("a proof", 2_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
    store.set_behavior(StoreBehavior::RefusesAll);
    let isolated_ms = steady_ms();
    wait_until("the denial", REVOKE_MS, || admit(&node, "k1") == Err(Denied::Unconfirmed)).await;
    assert!(steady_ms() < isolated_ms + REVOKE_MS);
    store.set_behavior(StoreBehavior::Normal);
    wait_until("a new proof", 1_000, || matches!(admit(&node, "k1"), Ok(Some(_)))).await;
}

/// Guards against confirmations that are repeated before a busy store can answer, and keep it busy.
#[tokio::test]
async fn confirmations_that_a_busy_store_answers_late_are_not_repeated_at_once() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    store.set_behavior(StoreBehavior::ConfirmsLate);
    let node = start_with_revocation("a", &store, Some(5_000)).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = store.confirmations();
    let end = deadline_in(6_000);
    while tokio::time::Instant::now() < end {
        assert!(admit(&node, "k1").is_ok());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let sent = store.confirmations() - before;
    // Three hundred daemons may not ask for more than three hundred confirmations a second.
    assert!((1..=6).contains(&sent), "{sent} confirmations in six seconds");
}

/// Guards against a store that hundreds of daemons ask for proofs that the leader sends anyway.
#[tokio::test]
async fn a_daemon_of_a_large_fleet_uses_the_leaders_proofs_only() {
    let store = Arc::new(FakePlatform::default());
    store.write_manifest(manifest(1, &[("a", "k1")]));
    store.list_daemons(300);
    let leader = start_with_revocation("a", &store, Some(5_000)).await;
    wait_until("a leader", 3_000, || leader.scheduler().is_some()).await;
    let other_store = Arc::new(store.for_other_daemon());
    let other = start_with_cores("b", &other_store, Some(5_000), 0.12).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = other_store.confirmations();
    let end = deadline_in(8_000);
    while tokio::time::Instant::now() < end {
        assert!(admit(&other, "k1").is_ok());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let sent = other_store.confirmations() - before;
    assert!(sent <= 1, "{sent} confirmations in four intervals of the leader's proofs");
}

/// Guards against a customer that sees or cancels jobs of another one.
#[tokio::test]
async fn jobs_of_other_customers_are_hidden() {
    let store = Arc::new(FakePlatform::default());
    let node = start("a", &store).await;
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let gateway = node.gateway();
    let [a, b] = ["a", "b"].map(CustomerName::new);
    assert_eq!(gateway.submit(JobId(7), &job_of("a"), deadline_in(2_000)).await, Accepted::Yes);
    let queued = JobLookup::State(JobState::Queued);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
    for other_customer in [Some(&b), None] {
        assert_eq!(gateway.state(JobId(7), other_customer).await, JobLookup::NoJob);
        assert_eq!(gateway.cancel(JobId(7), other_customer, deadline_in(2_000)).await, None);
    }
    assert_eq!(gateway.submit(JobId(7), &job_of("b"), deadline_in(2_000)).await, Accepted::Taken);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
    node.stop().await;
    // Without a leader the daemon decides by the rows, with the same results.
    assert_eq!(gateway.state(JobId(7), Some(&b)).await, JobLookup::NoJob);
    assert_eq!(gateway.submit(JobId(7), &job_of("b"), deadline_in(2_000)).await, Accepted::Taken);
    assert_eq!(gateway.state(JobId(7), Some(&a)).await, queued);
}
