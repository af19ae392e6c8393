//! One daemon of a pool.
//!
//! Every daemon is a gateway: it makes jobs durable in the store and answers
//! what becomes of them. One of them is elected to schedule. There is nothing
//! else to agree on, and nothing is kept but in the store.

mod accept;
mod advisors;
pub mod clock;
mod commit;
mod duty;
mod elector;
pub mod executors;
mod gateway;
mod health;
mod inbox;
mod lead;
mod manifest;
mod members;
mod message;
mod peers;
mod platform;
mod scheduler;
mod store_watcher;
mod submissions;
mod telemetry;

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

pub use crate::advisors::Advisors;
pub use crate::duty::DutyRow;
pub use crate::duty::DutyView;
pub use crate::duty::Fitness;
pub use crate::duty::LEASE_MS;
pub use crate::duty::QUIET_MS;
pub use crate::duty::RENEW_MS;
pub use crate::gateway::Gateway;
pub use crate::gateway::JobLookup;
pub use crate::inbox::Inbox;
pub use crate::inbox::Senders;
pub use crate::inbox::Turn;
pub use crate::inbox::inbox;
pub use crate::manifest::CurrentManifest;
pub use crate::manifest::Denied;
pub use crate::manifest::Manifest;
pub use crate::manifest::Queue;
pub use crate::manifest::RelayedProof;
pub use crate::members::Member;
pub use crate::message::Message;
pub use crate::message::Query;
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
pub use crate::scheduler::Liveness;
pub use crate::scheduler::probe_interval;

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
    manifest: Arc<CurrentManifest>,
    stop: tokio::sync::watch::Sender<bool>,
    stopped: tokio::sync::watch::Receiver<bool>,
    leading: tokio::sync::watch::Receiver<Option<tokio::sync::mpsc::Sender<Query>>>,
}

impl<O: Platform> Node<O> {
    /// Starts the daemon's tasks; peers connect to the listener.
    pub fn start(settings: &NodeSettings, platform: Arc<O>, listener: TcpListener) -> Self {
        let health = Arc::new(StoreHealth::default());
        let manifest = Arc::new(CurrentManifest::new(settings.revoke_ms.map(FreshnessLimits::new)));
        let acceptor = Acceptor::start(Arc::clone(&platform), Arc::clone(&health));
        let peers = Peers::new(&settings.peer_key, Traffic::default());
        let gateway = Arc::new(Gateway::new(
            Arc::clone(&platform),
            acceptor,
            peers.clone(),
            Arc::clone(&health),
            Arc::clone(&manifest),
        ));
        let (stop, stopping) = tokio::sync::watch::channel(false);
        let (stopped_out, stopped) = tokio::sync::watch::channel(false);
        let (leading_out, leading) = tokio::sync::watch::channel(None);
        tokio::spawn(manifest::watch(
            Arc::clone(&platform),
            Arc::clone(&health),
            Arc::clone(&manifest),
        ));
        let leads = leading.clone();
        tokio::spawn(manifest::confirm(Arc::clone(&platform), Arc::clone(&manifest), move || {
            leads.borrow().is_some()
        }));
        tokio::spawn(serve_peers(listener, settings.peer_key.clone(), Arc::clone(&gateway)));
        tokio::spawn(health::probe(Arc::clone(&platform), Arc::clone(&health)));
        tokio::spawn(scheduler::check_liveness(
            Arc::clone(&gateway),
            peers.clone(),
            duty::is_underprovisioned(settings.cores),
        ));
        let advisors =
            Arc::new(Advisors::new(Arc::clone(&platform), peers.clone(), settings.address.clone()));
        let watch = LeaderElector {
            settings: settings.clone(),
            platform,
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
    pub fn manifest(&self) -> &Arc<CurrentManifest> {
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

async fn serve_peers<O: Platform>(listener: TcpListener, key: String, gateway: Arc<Gateway<O>>) {
    let handler = move |call| {
        let gateway = Arc::clone(&gateway);
        async move { gateway.answer(call).await }
    };
    if let Err(error) = stoatwell_peer::serve(listener, key, Traffic::default(), handler).await {
        tracing::error!(%error, "peers can no longer connect");
    }
}
