//! Answers: JSON bodies, and failures with their numbers.

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

/// A failure as an answer.
#[derive(Debug)]
pub(crate) struct Refusal(pub(crate) Failure);

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Self(failure)
    }
}

impl From<BytesRejection> for Refusal {
    fn from(rejection: BytesRejection) -> Self {
        if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE {
            return Self(Failure::new(Code::BodyTooLarge));
        }
        Self(Failure::with_detail(Code::BrokenJson, rejection))
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let failure = self.0;
        let retry_after_ms = failure.retry_after_ms;
        let mut response = (status(failure.code), Json(failure)).into_response();
        if let Some(retry_after_ms) = retry_after_ms {
            // The header counts whole seconds; the body has the milliseconds.
            let seconds = retry_after_ms.div_ceil(1_000);
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// A job as an answer: 200 once it is done, 202 while it is not, else the
/// status of its outcome's code.
pub(crate) fn job(result: Result<JobView, Failure>) -> Response {
    let view = match result {
        Ok(view) => view,
        Err(failure) => return Refusal(failure).into_response(),
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

/// The daemon has ended under the caller's hands.
pub(crate) fn ended() -> Refusal {
    Refusal(Failure::new(Code::Stopping))
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
