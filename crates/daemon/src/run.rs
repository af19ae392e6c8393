//! Starting a daemon and stopping it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::mailbox;
use stoatwell_engine::Engine;
use stoatwell_engine::Event;
use stoatwell_model::peer::Identity;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_platform::HttpPlatform;
use stoatwell_platform::Platform;
use stoatwell_platform::http::CallTimeouts;
use stoatwell_settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;

use crate::api;
use crate::clock::Clock;
use crate::core::Core;
use crate::core::GetDump;
use crate::core::Happened;
use crate::core::Status;
use crate::core::answer_peer;
use crate::metrics::Metrics;

const TICK: Duration = Duration::from_millis(50);
/// Ticks between two updates of the metrics.
const TICKS_PER_METRICS: u64 = 20;
/// For answers that are being written when everything else is done.
const LAST_ANSWERS: Duration = Duration::from_secs(2);

/// A running daemon. Dropping it ends it without a planned stop.
#[derive(Debug)]
pub struct Daemon<P: Platform = HttpPlatform> {
    /// Where callers and operators reach it.
    pub http_address: SocketAddr,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    core: ActorRef<Core<P>>,
    status: watch::Receiver<Status>,
    settings: Settings,
    tasks: Vec<JoinHandle<()>>,
    server: Option<JoinHandle<()>>,
    close: Option<oneshot::Sender<()>>,
}

impl Daemon<HttpPlatform> {
    /// Starts a daemon that reaches the platform over HTTP.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let timeouts = CallTimeouts {
            store_ms: settings.platform.store_timeout_ms,
            worker_ms: settings.platform.worker_timeout_ms,
        };
        let platform = HttpPlatform::new(settings.platform.store_address.to_string(), timeouts);
        Self::start_on(settings, Arc::new(platform)).await
    }
}

impl<P: Platform> Daemon<P> {
    /// Starts a daemon on this platform.
    pub async fn start_on(settings: Settings, platform: Arc<P>) -> io::Result<Self> {
        let http = TcpListener::bind(settings.listen.http_address).await?;
        let peer = TcpListener::bind(settings.listen.peer_address).await?;
        let http_address = http.local_addr()?;
        let peer_address = peer.local_addr()?;
        let clock = Clock::start();
        let identity = Identity {
            daemon: settings.daemon.name.clone(),
            zone: settings.daemon.zone.clone(),
            region: settings.daemon.region.clone(),
            peer_address: peer_address.to_string(),
            incarnation: clock.now_ms(),
        };
        let traffic = Traffic::default();
        let peers = Peers::new(&settings.security.peer_key, traffic.clone());
        let engine = Engine::new(identity, settings.clone(), clock.now_ms());
        let (status_sender, status) = watch::channel(Status::default());
        let actor = Core::new(engine, platform, peers, clock, status_sender);
        let core = Core::spawn_with_mailbox(actor, mailbox::unbounded());
        let metrics = Metrics::default();
        let (close, closed) = oneshot::channel();
        let server = serve_http(http, &core, &status, &settings, &metrics, closed);
        let tasks = vec![
            serve_peers(peer, &core, &settings, traffic.clone()),
            tick(core.clone(), metrics, traffic),
        ];
        tracing::info!(%http_address, %peer_address, daemon = %settings.daemon.name, "daemon started");
        Ok(Self {
            http_address,
            peer_address,
            core,
            status,
            settings,
            tasks,
            server: Some(server),
            close: Some(close),
        })
    }

    /// Waits until callers can be served.
    pub async fn ready(&self) {
        let mut status = self.status.clone();
        // An error means that the daemon has ended, and nobody can wait for it.
        if status.wait_for(|status| status.ready).await.is_err() {
            tracing::debug!("the daemon ended before it was ready");
        }
    }

    /// The catalogue revision in force.
    pub fn revision(&self) -> u64 {
        self.status.borrow().catalogue.revision()
    }

    /// Stops as planned: nothing new, nothing in flight cut, work handed over;
    /// at the latest after the grace time of the settings.
    pub async fn stop(mut self) {
        tracing::info!(daemon = %self.settings.daemon.name, "planned stop begins");
        let grace = Duration::from_millis(self.settings.stop.grace_ms);
        if self.core.tell(Happened(Event::Stop)).await.is_err() {
            return;
        }
        let mut status = self.status.clone();
        let over = timeout(grace, status.wait_for(|status| status.stopped)).await.is_err();
        if over {
            tracing::warn!(daemon = %self.settings.daemon.name, "grace time over, work was left to others");
        }
        if let Some(close) = self.close.take()
            && close.send(()).is_err()
        {
            tracing::debug!("the server has ended");
        }
        if let Some(server) = self.server.take()
            && timeout(LAST_ANSWERS, server).await.is_err()
        {
            tracing::warn!("some callers did not take their answers");
        }
        tracing::info!(daemon = %self.settings.daemon.name, "planned stop done");
    }
}

impl<P: Platform> Drop for Daemon<P> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        if let Some(server) = &self.server {
            server.abort();
        }
        self.core.kill();
    }
}

fn serve_http<P: Platform>(
    listener: TcpListener,
    core: &ActorRef<Core<P>>,
    status: &watch::Receiver<Status>,
    settings: &Settings,
    metrics: &Metrics,
    closed: oneshot::Receiver<()>,
) -> JoinHandle<()> {
    let state = api::Shared::new(core.clone(), status.clone(), settings.clone(), metrics.clone());
    let router = api::router(state);
    tokio::spawn(async move {
        let serving = axum::serve(listener, router).with_graceful_shutdown(async move {
            // A dropped sender closes as well.
            closed.await.unwrap_or_default();
        });
        if let Err(error) = serving.await {
            tracing::error!(%error, "the HTTP server ended");
        }
    })
}

fn serve_peers<P: Platform>(
    listener: TcpListener,
    core: &ActorRef<Core<P>>,
    settings: &Settings,
    traffic: Traffic,
) -> JoinHandle<()> {
    let core = core.clone();
    let key = settings.security.peer_key.clone();
    tokio::spawn(async move {
        let handler = move |call| answer_peer(core.clone(), call);
        if let Err(error) = stoatwell_peer::serve(listener, key, traffic, handler).await {
            tracing::error!(%error, "the listener for peers ended");
        }
    })
}

fn tick<P: Platform>(
    core: ActorRef<Core<P>>,
    metrics: Metrics,
    traffic: Traffic,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for count in 0_u64.. {
            interval.tick().await;
            if core.tell(Happened(Event::Tick)).await.is_err() {
                return;
            }
            if count.is_multiple_of(TICKS_PER_METRICS)
                && let Ok(dump) = core.ask(GetDump).await
            {
                metrics.observe(&dump, traffic.counts());
            }
        }
    })
}
