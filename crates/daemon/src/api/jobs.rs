//! Handlers for jobs: submit, status, cancel and list.

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::extract::rejection::QueryRejection;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use stoatwell_engine::Answer;
use stoatwell_engine::Caller;
use stoatwell_engine::Event;
use stoatwell_ledger::JobMachine;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::job::JobView;
use stoatwell_model::job::Submission;
use stoatwell_platform::Platform;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_schema::Field;
use stoatwell_schema::Kind;

use crate::api::ApiState;
use crate::api::auth;
use crate::api::reply;
use crate::api::reply::ErrorResponse;
use crate::engine_actor::ask;

const KEY_HEADER: &str = "idempotency-key";
const LIST_ROWS_MAX: u32 = 200;
const LIST_ROWS: u32 = 50;
const DEADLINE_MS_MAX: u64 = 30 * 24 * 60 * 60 * 1_000;

const SUBMISSION_FIELDS: &[Field] = &[
    Field { path: "entry", kind: Kind::Name, default: None, doc: "the catalogue entry to run" },
    Field {
        path: "tasks",
        kind: Kind::Number(1, 100_000),
        default: Some("1"),
        doc: "how many tasks",
    },
    Field {
        path: "deadline_ms",
        kind: Kind::Number(1, DEADLINE_MS_MAX),
        default: Some("null"),
        doc: "milliseconds from now until the answer is of no use",
    },
    Field {
        path: "body",
        kind: Kind::Text(16_777_216),
        default: Some("\"\""),
        doc: "what to run or ask",
    },
];

const DEMAND_FIELDS: &[Field] = &[
    Field {
        path: "demand.cpu_millis",
        kind: Kind::Number(1, 1_024_000),
        default: None,
        doc: "thousandths of a core that one task needs",
    },
    Field {
        path: "demand.memory_bytes",
        kind: Kind::Number(0, 1 << 46),
        default: Some("0"),
        doc: "bytes of memory that one task needs",
    },
    Field {
        path: "demand.accelerators",
        kind: Kind::Number(0, 64),
        default: Some("0"),
        doc: "accelerators that one task needs",
    },
];

/// Query parameter for long polling: how long to wait for the outcome.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Wait {
    #[serde(default)]
    wait_ms: u64,
}

/// Query parameters that select a page of jobs.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Page {
    #[serde(default)]
    after: String,
    limit: Option<u32>,
    entry: Option<String>,
}

/// One page of jobs.
#[derive(Debug, Serialize)]
struct JobList {
    jobs: Vec<JobView>,
    /// The value of `after` for the next page; empty on the last one.
    next: String,
}

pub(crate) async fn submit<P: Platform>(
    State(state): State<ApiState<P>>,
    query: Result<Query<Wait>, QueryRejection>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let wait_ms = query_parameters(query)?.wait_ms;
    let body = body?;
    let submission = parse_submission(&body)?;
    let key = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok());
    let key = key.ok_or_else(|| Failure::new(Code::BadIdempotencyKey))?.to_owned();
    let answer =
        ask(&state.actor, move |ticket| Event::Submit { ticket, caller, key, submission, wait_ms });
    answer_job(answer.await)
}

pub(crate) async fn status<P: Platform>(
    State(state): State<ApiState<P>>,
    Path(job): Path<String>,
    query: Result<Query<Wait>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let wait_ms = query_parameters(query)?.wait_ms;
    let job = job_id(&job)?;
    let answer = ask(&state.actor, move |ticket| Event::Status { ticket, caller, job, wait_ms });
    answer_job(answer.await)
}

pub(crate) async fn cancel<P: Platform>(
    State(state): State<ApiState<P>>,
    Path(job): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let job = job_id(&job)?;
    let answer = ask(&state.actor, move |ticket| Event::Cancel { ticket, caller, job });
    answer_job(answer.await)
}

/// Scans job records in the order of their ids, so the cost of a page does not
/// depend on where it starts.
pub(crate) async fn list<P: Platform>(
    State(state): State<ApiState<P>>,
    query: Result<Query<Page>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let caller = auth::authenticate(&state, &headers)?;
    let page = query_parameters(query)?;
    let limit = page.limit.unwrap_or(LIST_ROWS).clamp(1, LIST_ROWS_MAX);
    let after = if page.after.is_empty() { String::new() } else { format!("job/{}", page.after) };
    let call = StoreCall::Scan { prefix: "job/".to_owned(), after, limit };
    let rows = match ask(&state.actor, move |ticket| Event::Store { ticket, call }).await {
        Some(Answer::Store(Ok(StoreReply::Rows { rows }))) => rows,
        Some(Answer::Store(Err(error))) => {
            return Err(Failure::with_detail(Code::StoreUnavailable, error)
                .retry_after(1_000)
                .into());
        }
        _ => return Err(reply::stopping()),
    };
    let is_full_page = rows.len() as u32 == limit;
    let last_id = rows.last().map(|row| row.key.trim_start_matches("job/").to_owned());
    let mut jobs = Vec::new();
    for row in rows {
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else {
            continue;
        };
        let visible = match &caller {
            Caller::Operator => true,
            Caller::Owner(owner) => *owner == record.owner,
        };
        let wanted = page.entry.as_ref().is_none_or(|entry| entry == record.entry.as_str());
        if visible && wanted {
            jobs.push(JobMachine::new(record, 0, 1).view(Vec::new()));
        }
    }
    let next = if is_full_page { last_id.unwrap_or_default() } else { String::new() };
    Ok(Json(JobList { jobs, next }).into_response())
}

/// The parsed query parameters, or [`Code::BadParameter`] with what is wrong.
pub(crate) fn query_parameters<T>(query: Result<Query<T>, QueryRejection>) -> Result<T, Failure> {
    match query {
        Ok(Query(parameters)) => Ok(parameters),
        Err(rejection) => Err(Failure::with_detail(Code::BadParameter, rejection)),
    }
}

fn answer_job(answer: Option<Answer>) -> Result<Response, ErrorResponse> {
    match answer {
        Some(Answer::Job(result)) => Ok(reply::job(result)),
        _ => Err(reply::stopping()),
    }
}

fn job_id(text: &str) -> Result<JobId, Failure> {
    text.parse().map_err(|error| Failure::with_detail(Code::BadParameter, error))
}

fn parse_submission(body: &[u8]) -> Result<Submission, Failure> {
    let mut document: Value = serde_json::from_slice(body)
        .map_err(|error| Failure::with_detail(Code::BrokenJson, error))?;
    let demand = document.as_object_mut().and_then(|object| object.remove("demand"));
    let mut problems = Vec::new();
    let checked = stoatwell_schema::check(SUBMISSION_FIELDS, &document);
    let mut checked = checked.unwrap_or_else(|found| {
        problems = found;
        Value::Null
    });
    if let Some(demand) = demand.filter(|demand| !demand.is_null()) {
        match stoatwell_schema::check(DEMAND_FIELDS, &serde_json::json!({ "demand": demand })) {
            Ok(found) => checked["demand"] = found["demand"].clone(),
            Err(found) => problems.extend(found),
        }
    }
    if !problems.is_empty() {
        return Err(Failure::new(Code::InvalidDocument).with_problems(problems));
    }
    serde_json::from_value(checked)
        .map_err(|error| Failure::with_detail(Code::InvalidDocument, error))
}
