//! A leader that only answers calls of other daemons, counts them, and takes no submissions; it
//! can refuse them as an overloaded one does.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_node::DaemonCall;
use stoatwell_node::DaemonInfo;
use stoatwell_node::DaemonReply;
use stoatwell_node::LeaderLease;
use stoatwell_node::Platform;
use stoatwell_node::RENEW_INTERVAL_MS;
use stoatwell_node::RelayedProof;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_node::executors::call::encode;
use stoatwell_peer::Traffic;
use stoatwell_pool::Accepted;
use tokio::net::TcpListener;

use super::FakePlatform;

/// What the leader does and has seen.
#[derive(Debug, Default)]
pub struct FakeLeader {
    /// Whether it acknowledges cancellations.
    pub acknowledges: AtomicBool,
    /// Whether it refuses submissions with a Retry-After of 3 s.
    pub refuses_submissions: AtomicBool,
    /// The notifications of cancellations that it received.
    pub cancellations: AtomicUsize,
    /// The other calls about jobs that it received.
    pub other_calls: AtomicUsize,
    /// The store, whose list of daemons it tells.
    store: Arc<FakePlatform>,
}

impl FakeLeader {
    /// Starts a leader that holds the leader lease for as long as the test lasts.
    pub async fn start(store: &Arc<FakePlatform>) -> Arc<Self> {
        let leader = Arc::new(Self { store: Arc::clone(store), ..Self::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let answering = Arc::clone(&leader);
        let answer = move |call| {
            let leader = Arc::clone(&answering);
            async move { leader.answer(&call) }
        };
        tokio::spawn(stoatwell_peer::serve(
            listener,
            "test".to_owned(),
            Traffic::default(),
            answer,
        ));
        let store = Arc::clone(store);
        tokio::spawn(async move {
            for beat in 1.. {
                write_lease(&store, &address, beat).await;
                tokio::time::sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
            }
        });
        leader
    }

    fn answer(&self, call: &DaemonCall) -> DaemonReply {
        match call {
            DaemonCall::Alive => {
                let manifest = RelayedProof { version: 0, age_ms: 0 };
                DaemonReply::Alive { reaches_store: true, daemons: 8, fit: 8, manifest }
            }
            DaemonCall::Cancelled(_) | DaemonCall::CancelledUnknown { .. } => {
                self.cancellations.fetch_add(1, Ordering::Relaxed);
                if self.acknowledges.load(Ordering::Relaxed) {
                    DaemonReply::Noted
                } else {
                    DaemonReply::NotScheduler
                }
            }
            DaemonCall::Daemons => {
                let rows = self.store.rows(Table::Daemons);
                let values = rows.iter().filter_map(|row| row.value.as_ref());
                let daemons: Vec<DaemonInfo> =
                    values.map(|value| serde_json::from_slice(value).expect("a daemon")).collect();
                DaemonReply::Daemons(encode(&daemons))
            }
            DaemonCall::Submit { .. } if self.refuses_submissions.load(Ordering::Relaxed) => {
                DaemonReply::Submitted(Accepted::Overloaded { retry_after_s: 3 })
            }
            DaemonCall::State(_) => {
                self.other_calls.fetch_add(1, Ordering::Relaxed);
                DaemonReply::State(None)
            }
            _ => {
                self.other_calls.fetch_add(1, Ordering::Relaxed);
                DaemonReply::NotScheduler
            }
        }
    }
}

async fn write_lease(store: &FakePlatform, address: &str, beat: u64) {
    let lease = LeaderLease {
        holder: "fake".to_owned(),
        incarnation: 1,
        address: address.to_owned(),
        epoch: 1,
        beat,
        released: false,
        earlier_extends_ms: 0,
        silent_leases: std::collections::BTreeMap::new(),
    };
    let value = serde_json::to_vec(&lease).expect("a row");
    let put = vec![(Table::Duty, "scheduler".to_owned(), value)];
    store.transact(&Transaction { put, ..Transaction::default() }).await.expect("written");
}
