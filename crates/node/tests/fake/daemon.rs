//! Daemons over the store in memory.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::ZoneName;
use stoatwell_node::Node;
use stoatwell_node::NodeSettings;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepSpec;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::Fake;

/// Starts a daemon that reaches the store as it is.
pub async fn start(name: &str, store: &Arc<Fake>) -> Node<Fake> {
    start_with(name, store, None).await
}

/// The same, where keys have to stop working in a time.
pub async fn start_with(name: &str, store: &Arc<Fake>, revoke_ms: Option<u64>) -> Node<Fake> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let settings = NodeSettings {
        name: name.to_owned(),
        address: listener.local_addr().expect("bound").to_string(),
        zone: ZoneName::new("z"),
        cores: 0.5,
        link_mbps: 1_000.0,
        limits: Limits {
            lease_ms: 6_000,
            lease_max_ms: 6_000,
            job_retention_ms: 60_000,
            advice_workers_max: 100,
            batch_bytes_max: 600_000,
        },
        peer_key: "test".to_owned(),
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

/// A moment from now.
pub fn in_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Waits until something holds.
pub async fn until(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) {
    let end = in_ms(limit_ms);
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come within {limit_ms} ms");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
