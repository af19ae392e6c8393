//! Handlers for catalogue entries. The revision of an entry is its `ETag`.

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Serialize;
use stoatwell_catalogue::Change;
use stoatwell_catalogue::Item;
use stoatwell_catalogue::Versioned;
use stoatwell_catalogue::document;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_engine::Answer;
use stoatwell_engine::Caller;
use stoatwell_engine::Event;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_platform::Platform;

use crate::api::ApiState;
use crate::api::auth;
use crate::api::reply;
use crate::api::reply::ErrorResponse;
use crate::engine_actor::ask;

/// The entries that the caller may see, with the catalogue's revision.
#[derive(Debug, Serialize)]
struct EntryList {
    revision: u64,
    entries: Vec<Versioned>,
}

pub(crate) async fn list<P: Platform>(
    State(state): State<ApiState<P>>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let catalogue = state.catalogue();
    let mut entries = Vec::new();
    for (_, versioned) in catalogue.items() {
        let shown = match &versioned.item {
            Item::Work(work) => may_access(&caller, work.owner.as_str()),
            Item::Owner(owner) => may_access(&caller, owner.owner.as_str()),
            Item::Target(_) => false,
        };
        if shown {
            entries.push(versioned.clone());
        }
    }
    Ok(Json(EntryList { revision: catalogue.revision(), entries }).into_response())
}

pub(crate) async fn get<P: Platform>(
    State(state): State<ApiState<P>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let key = key(&kind, &name)?;
    let catalogue = state.catalogue();
    let versioned =
        catalogue.get(&key).ok_or_else(|| Failure::with_detail(Code::NoSuchEntry, &key))?;
    let owner = match &versioned.item {
        Item::Work(work) => work.owner.as_str(),
        Item::Owner(owner) => owner.owner.as_str(),
        Item::Target(target) => target.owner.as_str(),
    };
    if !may_access(&caller, owner) {
        return Err(Failure::with_detail(Code::NoSuchEntry, &key).into());
    }
    let tag = etag(versioned.revision);
    Ok(([(header::ETAG, tag)], Json(versioned.clone())).into_response())
}

pub(crate) async fn put<P: Platform>(
    State(state): State<ApiState<P>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, ErrorResponse> {
    let caller = auth::require_operator(&state, &headers)?;
    let key = key(&kind, &name)?;
    let body = body?;
    let text = std::str::from_utf8(&body)
        .map_err(|error| Failure::with_detail(Code::BrokenJson, error))?;
    let mut items = document::parse(text)?;
    let (Some(item), true) = (items.pop(), items.is_empty()) else {
        return Err(
            Failure::with_detail(Code::InvalidDocument, "one entry is expected here").into()
        );
    };
    if key_of(&item) != key {
        let detail = format!("the path says {key}, the document {}", key_of(&item));
        return Err(Failure::with_detail(Code::InvalidDocument, detail).into());
    }
    let expected = expected_revision(&headers)?;
    change(&state, &caller, key, EditKind::Put(item), expected).await
}

pub(crate) async fn delete<P: Platform>(
    State(state): State<ApiState<P>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::require_operator(&state, &headers)?;
    let key = key(&kind, &name)?;
    let expected = expected_revision(&headers)?;
    change(&state, &caller, key, EditKind::Delete, expected).await
}

pub(crate) async fn history<P: Platform>(
    State(state): State<ApiState<P>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    auth::require_operator(&state, &headers)?;
    let key = key(&kind, &name)?;
    let catalogue = state.catalogue();
    let changes: Vec<&Change> = catalogue.history(&key);
    Ok(Json(changes).into_response())
}

/// Edits the catalogue and responds with the change once the engine has accepted it.
pub(crate) async fn change<P: Platform>(
    state: &ApiState<P>,
    caller: &Caller,
    key: String,
    edit: EditKind,
    expected: Option<u64>,
) -> Result<Response, ErrorResponse> {
    let by = auth::caller_name(caller);
    let event = move |ticket| Event::Edit { ticket, key, edit, expected, by };
    match ask(&state.actor, event).await {
        Some(Answer::Edited(Ok(change))) => {
            tracing::info!(revision = change.revision, item = %change.key, by = %change.by, "catalogue changed");
            let tag = etag(change.revision);
            Ok((StatusCode::OK, [(header::ETAG, tag)], Json(change)).into_response())
        }
        Some(Answer::Edited(Err(failure))) => Err(failure.into()),
        _ => Err(reply::stopping()),
    }
}

/// The revision that the entry must have: that of `If-Match`, 0 (the entry must
/// not exist) for `If-None-Match: *`, and `None` for any.
pub(crate) fn expected_revision(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Some(0));
    }
    let Some(tag) = text(header::IF_MATCH) else {
        return Ok(None);
    };
    if tag == "*" {
        return Ok(None);
    }
    let revision = tag.trim_matches('"').parse();
    revision.map(Some).map_err(|error| Failure::with_detail(Code::BadParameter, error))
}

fn key(kind: &str, name: &str) -> Result<String, Failure> {
    if !matches!(kind, "work" | "owner") {
        return Err(Failure::with_detail(Code::BadParameter, "the kind is work or owner"));
    }
    Ok(format!("{kind}/{name}"))
}

fn key_of(item: &Item) -> String {
    match item {
        Item::Work(work) => format!("work/{}", work.name),
        Item::Owner(owner) => format!("owner/{}", owner.owner),
        Item::Target(target) => format!("target/{}", target.worker),
    }
}

fn etag(revision: u64) -> String {
    format!("\"{revision}\"")
}

fn may_access(caller: &Caller, owner: &str) -> bool {
    match caller {
        Caller::Operator => true,
        Caller::Owner(name) => name.as_str() == owner,
    }
}
