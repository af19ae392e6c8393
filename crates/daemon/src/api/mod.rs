//! The HTTP interface; `docs/api.md` describes every call.

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

use crate::core::Core;
use crate::core::Status;
use crate::metrics::Metrics;

/// What every handler sees.
#[derive(Debug)]
pub struct Shared<P: Platform> {
    core: ActorRef<Core<P>>,
    status: watch::Receiver<Status>,
    settings: Arc<Settings>,
    metrics: Metrics,
}

impl<P: Platform> Clone for Shared<P> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            status: self.status.clone(),
            settings: Arc::clone(&self.settings),
            metrics: self.metrics.clone(),
        }
    }
}

impl<P: Platform> Shared<P> {
    /// The state of a router.
    pub fn new(
        core: ActorRef<Core<P>>,
        status: watch::Receiver<Status>,
        settings: Settings,
        metrics: Metrics,
    ) -> Self {
        Self { core, status, settings: Arc::new(settings), metrics }
    }

    fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.status.borrow().catalogue)
    }
}

/// All paths.
pub fn router<P: Platform>(shared: Shared<P>) -> Router {
    let body_bytes_max = shared.settings.http.body_bytes_max as usize;
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
        .layer(middleware::from_fn_with_state(shared.clone(), system::around::<P>))
        .with_state(shared)
}
