//! One daemon of a pool.
//!
//! Every daemon is a gateway: it makes jobs durable in the store and answers
//! what becomes of them. One of them is elected to schedule. There is nothing
//! else to agree on, and nothing is kept but in the store.

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

/// Who a daemon is and how it is set up.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub name: String,
    /// Where other daemons reach it.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of a core times the core's speed.
    pub cores: f64,
    /// What its machine's link carries.
    pub link_mbps: f64,
    /// The pool's figures.
    pub limits: Limits,
    /// Shared by the daemons; a stranger's connection is closed.
    pub peer_key: String,
    /// How long a key may go on working after it was taken away; none is not bounded.
    pub revoke_ms: Option<u64>,
}

impl NodeSettings {
    /// What other daemons are told of this one.
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
    /// Starts the daemon's tasks; peers connect to the listener.
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
        let (stop, stopping) = tokio::sync::watch::channel(false);
        let (stopped_out, stopped) = tokio::sync::watch::channel(false);
        let (leading_out, leading) = tokio::sync::watch::channel(None);
        tokio::spawn(manifest::follow(
            Arc::clone(&outside),
            Arc::clone(&health),
            Arc::clone(&manifest),
        ));
        let leads = leading.clone();
        tokio::spawn(manifest::confirm(Arc::clone(&outside), Arc::clone(&manifest), move || {
            leads.borrow().is_some()
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
            stop: stopping,
            leading: leading_out,
        };
        tokio::spawn(async move {
            watch.run().await;
            if stopped_out.send(true).is_err() {
                tracing::debug!("nobody waits for the scheduler's end");
            }
        });
        Self { gateway, manifest, stop, stopped, leading }
    }

    /// Answers callers.
    pub fn gateway(&self) -> &Arc<Gateway<O>> {
        &self.gateway
    }

    /// The manifest that callers are held against.
    pub fn manifest(&self) -> &Arc<ManifestInForce> {
        &self.manifest
    }

    /// The way to the scheduler's state, while it is this daemon.
    pub fn scheduler(&self) -> Option<tokio::sync::mpsc::Sender<Query>> {
        self.leading.borrow().clone()
    }

    /// Gives the duty up, if it is held; callers are still answered.
    pub async fn stop(&self) {
        if self.stop.send(true).is_err() {
            return;
        }
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            tracing::debug!("the scheduler ended before it was waited for");
        }
    }
}

async fn serve_peers<O: Outside>(listener: TcpListener, key: String, gateway: Arc<Gateway<O>>) {
    let handler = move |call| {
        let gateway = Arc::clone(&gateway);
        async move { gateway.answer(call).await }
    };
    if let Err(error) = stoatwell_peer::serve(listener, key, Traffic::default(), handler).await {
        tracing::error!(%error, "peers can no longer connect");
    }
}
