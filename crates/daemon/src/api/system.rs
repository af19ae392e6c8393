//! Health checks, metrics, the state dump, and the middleware around every request.

use axum::Json;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONNECTION;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_platform::Platform;

use crate::api::ApiState;
use crate::api::auth;
use crate::api::reply;
use crate::api::reply::ErrorResponse;
use crate::engine_actor::GetDump;

const REQUEST_ID_HEADER: &str = "x-request-id";
const REQUEST_ID_BYTES_MAX: usize = 64;

pub(crate) async fn livez() -> &'static str {
    "alive\n"
}

pub(crate) async fn readyz<P: Platform>(
    State(state): State<ApiState<P>>,
) -> Result<&'static str, ErrorResponse> {
    if state.status.borrow().ready {
        return Ok("ready\n");
    }
    Err(Failure::new(Code::NotReady).into())
}

pub(crate) async fn metrics<P: Platform>(State(state): State<ApiState<P>>) -> String {
    state.metrics.render()
}

pub(crate) async fn state<P: Platform>(
    State(state): State<ApiState<P>>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    auth::require_operator(&state, &headers)?;
    match state.actor.ask(GetDump).await {
        Ok(dump) => Ok(Json(*dump).into_response()),
        Err(_ended) => Err(reply::stopping()),
    }
}

pub(crate) async fn no_such_path() -> ErrorResponse {
    ErrorResponse(Failure::new(Code::NoSuchPath))
}

/// Middleware that returns each request's id, the caller's own or a new one, counts
/// the response by its status and logs it. While the daemon stops, it asks callers to close
/// their connections.
pub(crate) async fn track_request<P: Platform>(
    State(state): State<ApiState<P>>,
    request: Request,
    next: Next,
) -> Response {
    let id = request_id(request.headers());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut response = next.run(request).await;
    let status = response.status();
    state.metrics.count_http(status.as_u16());
    if status == StatusCode::INTERNAL_SERVER_ERROR {
        tracing::error!(request = %id, %method, path, status = status.as_u16(), "call answered");
    } else {
        tracing::debug!(request = %id, %method, path, status = status.as_u16(), "call answered");
    }
    if state.status.borrow().stopping {
        // A caller that kept its connection would be cut off when the daemon closes it.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= REQUEST_ID_BYTES_MAX => id.to_owned(),
        _ => format!("{:016x}", rand::random::<u64>()),
    }
}
