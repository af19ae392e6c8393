//! Responses: JSON bodies, and errors with their codes.

use axum::Json;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::Outcome;
use stoatwell_model::job::JobView;

/// A failure as an HTTP response: its status, JSON body and `Retry-After` header.
#[derive(Debug)]
pub(crate) struct ErrorResponse(pub(crate) Failure);

impl From<Failure> for ErrorResponse {
    fn from(failure: Failure) -> Self {
        Self(failure)
    }
}

impl From<BytesRejection> for ErrorResponse {
    fn from(rejection: BytesRejection) -> Self {
        if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE {
            return Self(Failure::new(Code::BodyTooLarge));
        }
        if let Some(failure) = stoatwell_http::refusal(&rejection) {
            return Self(failure);
        }
        Self(Failure::with_detail(Code::BrokenJson, rejection))
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let failure = self.0;
        let retry_after_ms = failure.retry_after_ms;
        let mut response = (status(failure.code), Json(failure)).into_response();
        if let Some(retry_after_ms) = retry_after_ms {
            // The header is in whole seconds; the body has the exact milliseconds.
            let seconds = retry_after_ms.div_ceil(1_000);
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// A job as a response: 200 if it succeeded, 202 while it has no outcome, otherwise
/// the status that belongs to its outcome's code.
pub(crate) fn job(result: Result<JobView, Failure>) -> Response {
    let view = match result {
        Ok(view) => view,
        Err(failure) => return ErrorResponse(failure).into_response(),
    };
    let status = match &view.outcome {
        None => StatusCode::ACCEPTED,
        Some(Outcome::Done { .. }) => StatusCode::OK,
        Some(
            Outcome::Failed { code, .. }
            | Outcome::NotRun { code, .. }
            | Outcome::Unknown { code, .. },
        ) => self::status(*code),
    };
    (status, Json(view)).into_response()
}

/// The response when the engine's actor ended before it answered.
pub(crate) fn stopping() -> ErrorResponse {
    ErrorResponse(Failure::new(Code::Stopping))
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
