//! One daemon of a pool.
//!
//! Every daemon is a gateway: it makes jobs durable in the store and reports
//! their state. One daemon is elected leader and schedules the jobs. Daemons
//! agree on nothing else, and all persistent state is in the store.
//!
//! [`Node`] is the handle of the daemon that runs in this process. The other
//! modules use these terms:
//!
//! - The *manifest* is the operators' configuration of the pool: its queues, and
//!   the customers that may call them.
//! - An *executor* is a daemon that makes the leader's calls to workers in its
//!   zone. It runs no tasks; workers do.
//! - A *hold* is a long poll of a worker. It renews the worker's lease and returns
//!   the worker's list of its runs. To *pace* a run is to limit its speed.
//! - The *advisor* is a service of the platform that decides which workers may
//!   run a step. For each of them it grants a *ticket*, which a start on that
//!   worker has to carry.

mod accept;
mod advisor_dispatcher;
mod announce;
pub mod clock;
mod commit;
mod daemons;
mod election;
mod elector;
pub mod executors;
mod gateway;
mod health;
mod hedge;
mod inbox;
mod job_rows;
mod leader;
mod leader_probe;
mod leader_view;
mod liveness;
mod long_rows;
mod manifest;
mod message;
mod overload;
mod peers;
mod platform;
mod recent_submissions;
pub mod relay;
mod store_watcher;
mod submissions;
mod table_reader;
mod takeover;
mod tasks;
mod telemetry;
mod trust;
mod worker_list;

use std::sync::Arc;

use stoatwell_customers::FreshnessLimits;
use stoatwell_model::ZoneName;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_pool::Limits;
use tokio::net::TcpListener;

use crate::accept::Acceptor;
use crate::elector::LeaderElector;
use crate::health::StoreHealth;
use crate::relay::RelayState;

pub use crate::accept::WriteReply;
pub use crate::advisor_dispatcher::Advice;
pub use crate::advisor_dispatcher::AdvisorDispatcher;
pub use crate::advisor_dispatcher::DispatcherCounts;
pub use crate::advisor_dispatcher::QueryCapacity;
pub use crate::announce::announce_delay;
pub use crate::daemons::DaemonInfo;
pub use crate::election::Candidate;
pub use crate::election::FAILED_LEADER_TIMEOUT_MS;
pub use crate::election::LEADER_LEASE_MS;
pub use crate::election::LeaderLease;
pub use crate::election::LeaderLeaseView;
pub use crate::election::RENEW_INTERVAL_MS;
pub use crate::gateway::Gateway;
pub use crate::gateway::JobLookup;
pub use crate::inbox::Inbox;
pub use crate::inbox::InboxSender;
pub use crate::inbox::MessageBudget;
pub use crate::inbox::inbox;
pub use crate::leader_probe::probe_interval;
pub use crate::liveness::Liveness;
pub use crate::liveness::LivenessDetector;
pub use crate::liveness::ProbeResult;
pub use crate::long_rows::LongRows;
pub use crate::long_rows::StoreLimits;
pub use crate::manifest::CurrentManifest;
pub use crate::manifest::Denied;
pub use crate::manifest::Manifest;
pub use crate::manifest::ManifestSource;
pub use crate::manifest::Outdated;
pub use crate::manifest::Queue;
pub use crate::manifest::RelayedProof;
pub use crate::message::Message;
pub use crate::message::SchedulerRequest;
pub use crate::overload::retry_after_s;
pub use crate::peers::DaemonCall;
pub use crate::peers::DaemonReply;
pub use crate::platform::Confirmation;
pub use crate::platform::Platform;
pub use crate::platform::Row;
pub use crate::platform::Rows;
pub use crate::platform::Shard;
pub use crate::platform::StoreError;
pub use crate::platform::Table;
pub use crate::platform::Transaction;
pub use crate::platform::WorkerChanges;
pub use crate::platform::shard;
pub use crate::relay::RelayedStore;
pub use crate::worker_list::WorkerList;

/// Identity and settings of a daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the daemon, by which the pool tells daemons apart.
    pub name: String,
    /// Address at which other daemons reach it.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of a core, multiplied by the core's speed.
    pub cores: f64,
    /// Bandwidth of its machine's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Limits that the installation sets for the pool.
    pub limits: Limits,
    /// Limits of the store.
    pub store_limits: StoreLimits,
    /// Secret that the daemons share; connections without it are closed.
    pub peer_key: String,
    /// The time in which a new manifest has to be in force after it was written.
    pub manifest_apply_ms: u64,
    /// How long a customer's key may still be accepted after its revocation; `None` sets no
    /// bound.
    pub revoke_ms: Option<u64>,
}

impl NodeSettings {
    /// This daemon's row in the list of the pool's daemons.
    pub fn own_info(&self) -> DaemonInfo {
        DaemonInfo {
            address: self.address.clone(),
            zone: self.zone.clone(),
            cores: self.cores,
            link_mbps: self.link_mbps,
        }
    }
}

/// The store as a daemon uses it: through other daemons if its own path fails, with rows of any length.
pub type StoreOf<P> = LongRows<RelayedStore<P>>;

/// A running daemon.
#[derive(Debug)]
pub struct Node<P> {
    gateway: Arc<Gateway<StoreOf<P>>>,
    manifest: Arc<CurrentManifest>,
    stop: tokio::sync::watch::Sender<bool>,
    stopped: tokio::sync::watch::Receiver<bool>,
    local_scheduler:
        tokio::sync::watch::Receiver<Option<tokio::sync::mpsc::Sender<SchedulerRequest>>>,
}

impl<P: Platform> Node<P> {
    /// Starts the daemon's tasks. Other daemons connect to `listener`.
    pub fn start(settings: &NodeSettings, platform: Arc<P>, listener: TcpListener) -> Self {
        let health = Arc::new(StoreHealth::default());
        let limits = settings.revoke_ms.map(FreshnessLimits::new);
        let manifest = Arc::new(CurrentManifest::new(limits, settings.manifest_apply_ms));
        let peers = Peers::new(&settings.peer_key, Traffic::default());
        let (local_scheduler_sender, local_scheduler) = tokio::sync::watch::channel(None);
        let relay_state = Arc::new(RelayState::new(settings, local_scheduler.clone()));
        let relayed_store = Arc::new(RelayedStore::new(platform, peers.clone(), relay_state));
        let store_limits = settings.store_limits;
        let platform = Arc::new(LongRows::new(Arc::clone(&relayed_store), store_limits));
        let acceptor = Acceptor::start(Arc::clone(&platform), Arc::clone(&health));
        let gateway = Arc::new(Gateway::new(
            Arc::clone(&platform),
            acceptor,
            peers.clone(),
            Arc::clone(&health),
            Arc::clone(&manifest),
            store_limits.value_bytes_max(),
        ));
        let (stop, stop_receiver) = tokio::sync::watch::channel(false);
        let (stopped_sender, stopped) = tokio::sync::watch::channel(false);
        tokio::spawn(relay::watch_own_path(Arc::clone(&relayed_store), gateway.subscribe_leader()));
        tokio::spawn(manifest::watch(
            Arc::clone(&platform),
            Arc::clone(&health),
            Arc::clone(&manifest),
            settings.manifest_apply_ms / manifest::POLLS_PER_APPLY_TIME,
        ));
        let local_scheduler_receiver = local_scheduler.clone();
        tokio::spawn(manifest::confirm(Arc::clone(&platform), Arc::clone(&manifest), move || {
            local_scheduler_receiver.borrow().is_some()
        }));
        tokio::spawn(serve_peers(
            listener,
            settings.peer_key.clone(),
            Arc::clone(&gateway),
            relayed_store,
        ));
        tokio::spawn(telemetry::watch_pauses());
        tokio::spawn(health::probe(Arc::clone(&platform), Arc::clone(&health)));
        tokio::spawn(leader_probe::probe_leader(
            Arc::clone(&gateway),
            peers.clone(),
            election::is_underprovisioned(settings.cores),
        ));
        let advisor_dispatcher = Arc::new(AdvisorDispatcher::new(
            Arc::clone(&platform),
            peers.clone(),
            settings.address.clone(),
        ));
        let elector = LeaderElector {
            settings: settings.clone(),
            platform,
            health,
            gateway: Arc::clone(&gateway),
            advisor_dispatcher,
            peers,
            stop: stop_receiver,
            local_scheduler: local_scheduler_sender,
        };
        tokio::spawn(async move {
            elector.run().await;
            if stopped_sender.send(true).is_err() {
                tracing::debug!("the daemon's handle was dropped before its scheduler ended");
            }
        });
        Self { gateway, manifest, stop, stopped, local_scheduler }
    }

    /// The gateway that answers callers.
    pub fn gateway(&self) -> &Arc<Gateway<StoreOf<P>>> {
        &self.gateway
    }

    /// The manifest by which callers are authenticated.
    pub fn manifest(&self) -> &Arc<CurrentManifest> {
        &self.manifest
    }

    /// The channel for requests to the scheduler on this daemon; `None` while another daemon
    /// leads.
    pub fn scheduler(&self) -> Option<tokio::sync::mpsc::Sender<SchedulerRequest>> {
        self.local_scheduler.borrow().clone()
    }

    /// Releases the leader lease, if it is held, and waits until that is done. Callers are
    /// still answered.
    pub async fn stop(&self) {
        if self.stop.send(true).is_err() {
            return;
        }
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            tracing::debug!("the scheduler ended without reporting its stop");
        }
    }
}

async fn serve_peers<P: Platform>(
    listener: TcpListener,
    key: String,
    gateway: Arc<Gateway<StoreOf<P>>>,
    store: Arc<RelayedStore<P>>,
) {
    let handler = move |call| {
        let (gateway, store) = (Arc::clone(&gateway), Arc::clone(&store));
        async move {
            if let DaemonCall::Leads { address, .. } = &call {
                store.record_leader(address);
            }
            match call {
                DaemonCall::Store { caller, call, limit_ms } => {
                    store.answer(&caller, &call, limit_ms).await
                }
                DaemonCall::Daemons => store.known_daemons(),
                call => gateway.answer(call).await,
            }
        }
    };
    stoatwell_peer::serve(listener, key, Traffic::default(), handler).await;
}
