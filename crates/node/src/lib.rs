//! One daemon of a pool.
//!
//! Every daemon is a gateway: it makes jobs durable in the store and reports
//! their state. One daemon is elected leader and schedules the jobs. Daemons
//! agree on nothing else, and all persistent state is in the store.

mod accept;
mod advisor_dispatcher;
pub mod clock;
mod commit;
mod election;
pub mod executors;
mod follow;
mod gateway;
mod health;
mod inbox;
mod leader;
mod leader_view;
mod manifest;
mod measure;
mod members;
mod message;
mod outside;
mod peers;
mod submissions;
mod watch;

use std::sync::Arc;

use stoatwell_customers::ProofLimits;
use stoatwell_model::ZoneName;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_pool::Limits;
use tokio::net::TcpListener;

use crate::accept::Acceptor;
use crate::health::StoreHealth;
use crate::watch::Watch;

pub use crate::advisor_dispatcher::AdvisorDispatcher;
pub use crate::election::Candidate;
pub use crate::election::FAILED_LEADER_TIMEOUT_MS;
pub use crate::election::LEADER_LEASE_MS;
pub use crate::election::LeaderLease;
pub use crate::election::LeaderLeaseView;
pub use crate::election::RENEW_INTERVAL_MS;
pub use crate::gateway::Gateway;
pub use crate::gateway::Known;
pub use crate::inbox::Inbox;
pub use crate::inbox::InboxSender;
pub use crate::inbox::MessageBudget;
pub use crate::inbox::inbox;
pub use crate::leader_view::Liveness;
pub use crate::leader_view::probe_interval;
pub use crate::manifest::Denied;
pub use crate::manifest::Manifest;
pub use crate::manifest::ManifestInForce;
pub use crate::manifest::PassedProof;
pub use crate::manifest::Queue;
pub use crate::members::Member;
pub use crate::message::Message;
pub use crate::message::Query;
pub use crate::outside::Confirmation;
pub use crate::outside::Outside;
pub use crate::outside::Row;
pub use crate::outside::Rows;
pub use crate::outside::Shard;
pub use crate::outside::StoreError;
pub use crate::outside::Table;
pub use crate::outside::Transaction;
pub use crate::outside::WorkerChanges;
pub use crate::outside::shard;

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
    /// Secret that the daemons share; connections without it are closed.
    pub peer_key: String,
    /// How long a customer's key may still be accepted after its revocation; `None` sets no
    /// bound.
    pub revoke_ms: Option<u64>,
}

impl NodeSettings {
    /// What other daemons know of this one.
    pub fn member(&self) -> Member {
        Member {
            address: self.address.clone(),
            zone: self.zone.clone(),
            cores: self.cores,
            link_mbps: self.link_mbps,
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Node<O> {
    gateway: Arc<Gateway<O>>,
    manifest: Arc<ManifestInForce>,
    stop: tokio::sync::watch::Sender<bool>,
    stopped: tokio::sync::watch::Receiver<bool>,
    leading: tokio::sync::watch::Receiver<Option<tokio::sync::mpsc::Sender<Query>>>,
}

impl<O: Outside> Node<O> {
    /// Starts the daemon's tasks. Other daemons connect to `listener`.
    pub fn start(settings: &NodeSettings, outside: Arc<O>, listener: TcpListener) -> Self {
        let health = Arc::new(StoreHealth::default());
        let manifest = Arc::new(ManifestInForce::new(settings.revoke_ms.map(ProofLimits::new)));
        let acceptor = Acceptor::start(Arc::clone(&outside), Arc::clone(&health));
        let peers = Peers::new(&settings.peer_key, Traffic::default());
        let gateway = Arc::new(Gateway::new(
            Arc::clone(&outside),
            acceptor,
            peers.clone(),
            Arc::clone(&health),
            Arc::clone(&manifest),
        ));
        let (stop, stop_receiver) = tokio::sync::watch::channel(false);
        let (stopped_sender, stopped) = tokio::sync::watch::channel(false);
        let (leading_sender, leading) = tokio::sync::watch::channel(None);
        tokio::spawn(manifest::follow(
            Arc::clone(&outside),
            Arc::clone(&health),
            Arc::clone(&manifest),
        ));
        let leading_receiver = leading.clone();
        tokio::spawn(manifest::confirm(Arc::clone(&outside), Arc::clone(&manifest), move || {
            leading_receiver.borrow().is_some()
        }));
        tokio::spawn(serve_peers(listener, settings.peer_key.clone(), Arc::clone(&gateway)));
        tokio::spawn(health::probe(Arc::clone(&outside), Arc::clone(&health)));
        tokio::spawn(leader_view::probe_leader(
            Arc::clone(&gateway),
            peers.clone(),
            election::is_underprovisioned(settings.cores),
        ));
        let advisors = Arc::new(AdvisorDispatcher::new(
            Arc::clone(&outside),
            peers.clone(),
            settings.address.clone(),
        ));
        let watch = Watch {
            settings: settings.clone(),
            outside,
            health,
            gateway: Arc::clone(&gateway),
            advisors,
            peers,
            stop: stop_receiver,
            leading: leading_sender,
        };
        tokio::spawn(async move {
            watch.run().await;
            if stopped_sender.send(true).is_err() {
                tracing::debug!("the node was dropped before its scheduler ended");
            }
        });
        Self { gateway, manifest, stop, stopped, leading }
    }

    /// The gateway that answers callers.
    pub fn gateway(&self) -> &Arc<Gateway<O>> {
        &self.gateway
    }

    /// The manifest by which callers are admitted.
    pub fn manifest(&self) -> &Arc<ManifestInForce> {
        &self.manifest
    }

    /// The scheduler's query channel; `None` while another daemon leads.
    pub fn scheduler(&self) -> Option<tokio::sync::mpsc::Sender<Query>> {
        self.leading.borrow().clone()
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

async fn serve_peers<O: Outside>(listener: TcpListener, key: String, gateway: Arc<Gateway<O>>) {
    let handler = move |call| {
        let gateway = Arc::clone(&gateway);
        async move { gateway.answer(call).await }
    };
    if let Err(error) = stoatwell_peer::serve(listener, key, Traffic::default(), handler).await {
        tracing::error!(%error, "the peer listener failed; other daemons can no longer connect");
    }
}
