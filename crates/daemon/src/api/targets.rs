//! Handlers for targets: list, start, drain and retire.

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde::Serialize;
use stoatwell_catalogue::Item;
use stoatwell_catalogue::Versioned;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::target_key;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::OwnerName;
use stoatwell_model::WorkerId;
use stoatwell_model::id::is_valid_name;
use stoatwell_model::target::TargetChange;
use stoatwell_platform::Platform;

use crate::api::ApiState;
use crate::api::auth;
use crate::api::entries::change;
use crate::api::entries::expected_revision;
use crate::api::reply::ErrorResponse;

/// All targets, with the catalogue's revision.
#[derive(Debug, Serialize)]
struct TargetList {
    revision: u64,
    targets: Vec<Versioned>,
}

/// The body of a start request: the owner that the target is to serve.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Start {
    owner: OwnerName,
}

pub(crate) async fn list<P: Platform>(
    State(state): State<ApiState<P>>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    auth::authenticate(&state, &headers)?;
    let catalogue = state.catalogue();
    let mut targets = Vec::new();
    for (_, versioned) in catalogue.items() {
        if matches!(versioned.item, Item::Target(_)) {
            targets.push(versioned.clone());
        }
    }
    Ok(Json(TargetList { revision: catalogue.revision(), targets }).into_response())
}

pub(crate) async fn start<P: Platform>(
    State(state): State<ApiState<P>>,
    Path(worker): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, ErrorResponse> {
    let body = body?;
    let start: Start = serde_json::from_slice(&body)
        .map_err(|error| Failure::with_detail(Code::BrokenJson, error))?;
    if state.catalogue().owner(&start.owner).is_none() {
        return Err(
            Failure::with_detail(Code::NoSuchEntry, format!("owner {}", start.owner)).into()
        );
    }
    change_target(&state, &worker, &headers, TargetChange::Start { owner: start.owner }).await
}

pub(crate) async fn drain<P: Platform>(
    State(state): State<ApiState<P>>,
    Path(worker): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    change_target(&state, &worker, &headers, TargetChange::Drain).await
}

pub(crate) async fn retire<P: Platform>(
    State(state): State<ApiState<P>>,
    Path(worker): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    change_target(&state, &worker, &headers, TargetChange::Retire).await
}

async fn change_target<P: Platform>(
    state: &ApiState<P>,
    worker: &str,
    headers: &HeaderMap,
    target_change: TargetChange,
) -> Result<Response, ErrorResponse> {
    let caller = auth::require_operator(state, headers)?;
    if !is_valid_name(worker) {
        return Err(Failure::with_detail(Code::BadParameter, "that is no worker's name").into());
    }
    let worker = WorkerId::new(worker);
    let expected = expected_revision(headers)?;
    let key = target_key(&worker);
    change(state, &caller, key, EditKind::Target(worker, target_change), expected).await
}
