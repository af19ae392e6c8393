//! Daemons that use the in-memory store.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::ZoneName;
use stoatwell_node::Node;
use stoatwell_node::NodeSettings;
use stoatwell_node::SchedulerRequest;
use stoatwell_node::StoreLimits;
use stoatwell_pool::GangLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepSpec;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::FakePlatform;

/// Starts a daemon without a limit on the time in which revoked keys stop working.
pub async fn start(name: &str, store: &Arc<FakePlatform>) -> Node<FakePlatform> {
    start_with_revocation(name, store, None).await
}

/// Starts a daemon where revoked keys have to stop working within `revoke_ms`, if given.
pub async fn start_with_revocation(
    name: &str,
    store: &Arc<FakePlatform>,
    revoke_ms: Option<u64>,
) -> Node<FakePlatform> {
    start_with_cores(name, store, revoke_ms, 0.5).await
}

/// Starts such a daemon on a machine with this processor capacity.
pub async fn start_with_cores(
    name: &str,
    store: &Arc<FakePlatform>,
    revoke_ms: Option<u64>,
    cores: f64,
) -> Node<FakePlatform> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let settings = NodeSettings {
        name: name.to_owned(),
        address: listener.local_addr().expect("bound").to_string(),
        zone: ZoneName::new("z"),
        cores,
        link_mbps: 1_000.0,
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
        peer_key: "test".to_owned(),
        manifest_apply_ms: 2_500,
        revoke_ms,
    };
    Node::start(&settings, Arc::clone(store), listener)
}

/// A job of one task.
pub fn job() -> JobSpec {
    JobSpec {
        queue: QueueSpec {
            name: "q".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            attempts_max: 2,
            slack_factor: 2.0,
            target_ms: 400,
            advice: None,
        },
        customer: None,
        payload: "work".to_owned(),
        steps: vec![StepSpec { tasks: 1, ..StepSpec::default() }],
        repeat: None,
        accepted_unix_ms: 1,
    }
}

/// The time `ms` milliseconds from now.
pub fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Waits until a condition holds; panics after `limit_ms`.
pub async fn wait_until(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) {
    let end = deadline_in(limit_ms);
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come within {limit_ms} ms");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until a daemon leads and its scheduler has restored its state, so that it answers requests.
/// A fault of the store that begins earlier would be one of the takeover.
pub async fn wait_until_ready(node: &Node<FakePlatform>) {
    wait_until("a leader", 3_000, || node.scheduler().is_some()).await;
    let (reply_sender, reply) = tokio::sync::oneshot::channel();
    let request = SchedulerRequest::State(JobId(0), reply_sender);
    node.scheduler().expect("it leads").send(request).await.expect("it schedules");
    let reply = tokio::time::timeout(Duration::from_secs(3), reply).await;
    reply.expect("the scheduler is ready in time").expect("a reply");
}
