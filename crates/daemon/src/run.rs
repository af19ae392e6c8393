//! Starts a daemon and shuts it down.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::mailbox;
use stoatwell_engine::Engine;
use stoatwell_engine::Event;
use stoatwell_http::HEAD_BYTES_MAX;
use stoatwell_http::Limits;
use stoatwell_http::Server;
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
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout_at;

use crate::api;
use crate::clock::Clock;
use crate::engine_actor::EngineActor;
use crate::engine_actor::GetDump;
use crate::engine_actor::HandleEvent;
use crate::engine_actor::Status;
use crate::engine_actor::handle_peer_call;
use crate::metrics::Metrics;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The metrics are updated on every tick of this number, which is once a second.
const TICKS_PER_METRICS_UPDATE: u64 = 20;
/// How long the HTTP server may take to finish writing responses after the grace period.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A running daemon. Dropping it aborts its tasks without a graceful shutdown.
#[derive(Debug)]
pub struct Daemon<P: Platform = HttpPlatform> {
    /// The bound address of the HTTP API, which callers and operators use.
    pub http_address: SocketAddr,
    /// The bound address for calls from other daemons.
    pub peer_address: SocketAddr,
    actor: ActorRef<EngineActor<P>>,
    status: watch::Receiver<Status>,
    settings: Settings,
    background_tasks: Vec<JoinHandle<()>>,
    http_server: Option<JoinHandle<()>>,
    close_sender: Option<oneshot::Sender<()>>,
}

impl Daemon<HttpPlatform> {
    /// Starts a daemon that calls the platform over HTTP. Fails if one of its two
    /// addresses cannot be bound.
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
    /// Starts a daemon on the given platform. Fails if one of its two addresses
    /// cannot be bound.
    pub async fn start_on(settings: Settings, platform: Arc<P>) -> io::Result<Self> {
        let listen = &settings.listen;
        let http_listener = bind("listen.http_address", listen.http_address).await?;
        let peer_listener = bind("listen.peer_address", listen.peer_address).await?;
        let http_address = http_listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
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
        let unstarted_actor = EngineActor::new(engine, platform, peers, clock, status_sender);
        let actor = EngineActor::spawn_with_mailbox(unstarted_actor, mailbox::unbounded());
        let metrics = Metrics::default();
        let (close_sender, close_receiver) = oneshot::channel();
        let http_server =
            serve_http(http_listener, &actor, &status, &settings, &metrics, close_receiver);
        let background_tasks = vec![
            serve_peers(peer_listener, &actor, &settings, traffic.clone()),
            spawn_ticker(actor.clone(), metrics, traffic),
        ];
        tracing::info!(%http_address, %peer_address, daemon = %settings.daemon.name, "daemon started");
        Ok(Self {
            http_address,
            peer_address,
            actor,
            status,
            settings,
            background_tasks,
            http_server: Some(http_server),
            close_sender: Some(close_sender),
        })
    }

    /// Waits until the daemon is ready to serve callers, or has ended.
    pub async fn wait_until_ready(&self) {
        let mut status = self.status.clone();
        // The channel is closed only when the daemon has ended, so it cannot become ready.
        if status.wait_for(|status| status.ready).await.is_err() {
            tracing::debug!("daemon ended before it became ready");
        }
    }

    /// The revision of the catalogue that the daemon currently applies.
    pub fn revision(&self) -> u64 {
        self.status.borrow().catalogue.revision()
    }

    /// Shuts down gracefully: takes no new work, lets requests in flight finish and
    /// hands its work over to other daemons. Until `stop.deregister_ms` have passed, it still
    /// accepts connections, fails its readiness check, and forwards submissions. Ends after
    /// `stop.grace_ms` at the latest, plus the time for the last responses.
    pub async fn stop(mut self) {
        tracing::info!(daemon = %self.settings.daemon.name, "graceful shutdown started");
        let deadline = Instant::now() + Duration::from_millis(self.settings.stop.grace_ms);
        if self.actor.tell(HandleEvent(Event::Stop)).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(self.settings.stop.deregister_ms)).await;
        let mut status = self.status.clone();
        if timeout_at(deadline, status.wait_for(|status| status.stopped)).await.is_err() {
            tracing::warn!(daemon = %self.settings.daemon.name, "grace period expired; other daemons take over the remaining work");
        }
        if let Some(close_sender) = self.close_sender.take()
            && close_sender.send(()).is_err()
        {
            tracing::debug!("HTTP server had already ended");
        }
        let responses_due = deadline.max(Instant::now() + RESPONSE_FLUSH_TIMEOUT);
        if let Some(http_server) = self.http_server.take()
            && timeout_at(responses_due, http_server).await.is_err()
        {
            tracing::warn!(
                "HTTP server did not finish sending responses in time; some callers may not get theirs"
            );
        }
        tracing::info!(daemon = %self.settings.daemon.name, "graceful shutdown finished");
    }
}

impl<P: Platform> Drop for Daemon<P> {
    fn drop(&mut self) {
        for task in &self.background_tasks {
            task.abort();
        }
        if let Some(http_server) = &self.http_server {
            http_server.abort();
        }
        self.actor.kill();
    }
}

/// Binds an address; the error names it and its setting.
async fn bind(setting: &str, address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{setting} {address}: {error}")))
}

fn serve_http<P: Platform>(
    listener: TcpListener,
    actor: &ActorRef<EngineActor<P>>,
    status: &watch::Receiver<Status>,
    settings: &Settings,
    metrics: &Metrics,
    close_receiver: oneshot::Receiver<()>,
) -> JoinHandle<()> {
    let state =
        api::ApiState::new(actor.clone(), status.clone(), settings.clone(), metrics.clone());
    let router = api::router(state);
    let metrics = metrics.clone();
    let server = Server::new("http", http_limits(settings))
        .on_closed(move |reason| metrics.count_http_closed(reason.name()));
    tokio::spawn(stoatwell_http::serve(server, listener, router, async move {
        // A dropped sender also starts the shutdown of the server.
        close_receiver.await.unwrap_or_default();
    }))
}

fn http_limits(settings: &Settings) -> Limits {
    let http = &settings.http;
    Limits {
        connections_max: http.connections_max as usize,
        head_bytes_max: HEAD_BYTES_MAX,
        head_timeout_ms: http.head_timeout_ms,
        body_timeout_ms: http.body_timeout_ms,
        body_bytes_total_max: http.body_bytes_total_max as usize,
        write_timeout_ms: http.write_timeout_ms,
    }
}

fn serve_peers<P: Platform>(
    listener: TcpListener,
    actor: &ActorRef<EngineActor<P>>,
    settings: &Settings,
    traffic: Traffic,
) -> JoinHandle<()> {
    let actor = actor.clone();
    let key = settings.security.peer_key.clone();
    let handler = move |call| handle_peer_call(actor.clone(), call);
    tokio::spawn(stoatwell_peer::serve(listener, key, traffic, handler))
}

fn spawn_ticker<P: Platform>(
    actor: ActorRef<EngineActor<P>>,
    metrics: Metrics,
    traffic: Traffic,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for count in 0_u64.. {
            interval.tick().await;
            if actor.tell(HandleEvent(Event::Tick)).await.is_err() {
                return;
            }
            if count.is_multiple_of(TICKS_PER_METRICS_UPDATE)
                && let Ok(dump) = actor.ask(GetDump).await
            {
                metrics.observe(&dump, traffic.counts());
            }
        }
    })
}
