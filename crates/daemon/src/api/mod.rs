//! The HTTP API; `docs/api.md` documents every request.

mod auth;
mod entries;
mod jobs;
mod reply;
mod system;
mod targets;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;
use axum::routing::get;
use axum::routing::post;
use kameo::actor::ActorRef;
use stoatwell_catalogue::Catalogue;
use stoatwell_platform::Platform;
use stoatwell_settings::Settings;
use tokio::sync::watch;

use crate::engine_actor::EngineActor;
use crate::engine_actor::Status;
use crate::metrics::Metrics;

/// The state that all handlers share.
#[derive(Debug)]
pub struct ApiState<P: Platform> {
    actor: ActorRef<EngineActor<P>>,
    status: watch::Receiver<Status>,
    settings: Arc<Settings>,
    metrics: Metrics,
}

impl<P: Platform> Clone for ApiState<P> {
    fn clone(&self) -> Self {
        Self {
            actor: self.actor.clone(),
            status: self.status.clone(),
            settings: Arc::clone(&self.settings),
            metrics: self.metrics.clone(),
        }
    }
}

impl<P: Platform> ApiState<P> {
    /// The state for a router whose requests go to `actor`.
    pub fn new(
        actor: ActorRef<EngineActor<P>>,
        status: watch::Receiver<Status>,
        settings: Settings,
        metrics: Metrics,
    ) -> Self {
        Self { actor, status, settings: Arc::new(settings), metrics }
    }

    fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.status.borrow().catalogue)
    }
}

/// The router with all paths, the limit on request bodies and the middleware.
pub fn router<P: Platform>(state: ApiState<P>) -> Router {
    let body_bytes_max = state.settings.http.body_bytes_max as usize;
    Router::new()
        .route("/livez", get(system::livez))
        .route("/readyz", get(system::readyz::<P>))
        .route("/metrics", get(system::metrics::<P>))
        .route("/v1/state", get(system::state::<P>))
        .route("/v1/jobs", post(jobs::submit::<P>).get(jobs::list::<P>))
        .route("/v1/jobs/{job}", get(jobs::status::<P>).delete(jobs::cancel::<P>))
        .route("/v1/entries", get(entries::list::<P>))
        .route(
            "/v1/entries/{kind}/{name}",
            get(entries::get::<P>).put(entries::put::<P>).delete(entries::delete::<P>),
        )
        .route("/v1/entries/{kind}/{name}/history", get(entries::history::<P>))
        .route("/v1/targets", get(targets::list::<P>))
        .route("/v1/targets/{worker}/start", post(targets::start::<P>))
        .route("/v1/targets/{worker}/drain", post(targets::drain::<P>))
        .route("/v1/targets/{worker}/retire", post(targets::retire::<P>))
        .fallback(system::no_such_path)
        .layer(DefaultBodyLimit::max(body_bytes_max))
        .layer(middleware::from_fn_with_state(state.clone(), system::track_request::<P>))
        .with_state(state)
}
