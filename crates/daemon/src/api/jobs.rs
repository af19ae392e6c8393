//! Work: submit, wait, cancel, list.

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

use crate::api::Shared;
use crate::api::auth;
use crate::api::reply;
use crate::api::reply::Refusal;
use crate::core::ask;

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

/// How long to wait for the outcome.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Wait {
    #[serde(default)]
    wait_ms: u64,
}

/// Which jobs to list.
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
struct Listed {
    jobs: Vec<JobView>,
    /// Give this as `after` to go on; empty at the end.
    next: String,
}

pub(crate) async fn submit<P: Platform>(
    State(shared): State<Shared<P>>,
    query: Result<Query<Wait>, QueryRejection>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, Refusal> {
    let caller = auth::caller(&shared, &headers)?;
    let wait_ms = parameters(query)?.wait_ms;
    let body = body?;
    let submission = parse(&body)?;
    let key = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok());
    let key = key.ok_or_else(|| Failure::new(Code::BadIdempotencyKey))?.to_owned();
    let answer =
        ask(&shared.core, move |ticket| Event::Submit { ticket, caller, key, submission, wait_ms });
    answer_job(answer.await)
}

pub(crate) async fn status<P: Platform>(
    State(shared): State<Shared<P>>,
    Path(job): Path<String>,
    query: Result<Query<Wait>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    let caller = auth::caller(&shared, &headers)?;
    let wait_ms = parameters(query)?.wait_ms;
    let job = job_id(&job)?;
    let answer = ask(&shared.core, move |ticket| Event::Status { ticket, caller, job, wait_ms });
    answer_job(answer.await)
}

pub(crate) async fn cancel<P: Platform>(
    State(shared): State<Shared<P>>,
    Path(job): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    let caller = auth::caller(&shared, &headers)?;
    let job = job_id(&job)?;
    let answer = ask(&shared.core, move |ticket| Event::Cancel { ticket, caller, job });
    answer_job(answer.await)
}

/// Reads records in the order of their ids, so a page is cheap wherever it starts.
pub(crate) async fn list<P: Platform>(
    State(shared): State<Shared<P>>,
    query: Result<Query<Page>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    let caller = auth::caller(&shared, &headers)?;
    let page = parameters(query)?;
    let limit = page.limit.unwrap_or(LIST_ROWS).clamp(1, LIST_ROWS_MAX);
    let after = if page.after.is_empty() { String::new() } else { format!("job/{}", page.after) };
    let call = StoreCall::Scan { prefix: "job/".to_owned(), after, limit };
    let rows = match ask(&shared.core, move |ticket| Event::Store { ticket, call }).await {
        Some(Answer::Store(Ok(StoreReply::Rows { rows }))) => rows,
        Some(Answer::Store(Err(error))) => {
            return Err(Failure::with_detail(Code::StoreUnavailable, error)
                .retry_after(1_000)
                .into());
        }
        _ => return Err(reply::ended()),
    };
    let full = rows.len() as u32 == limit;
    let last = rows.last().map(|row| row.key.trim_start_matches("job/").to_owned());
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
    let next = if full { last.unwrap_or_default() } else { String::new() };
    Ok(Json(Listed { jobs, next }).into_response())
}

/// Reads query parameters, or says with a number what is wrong with them.
pub(crate) fn parameters<T>(query: Result<Query<T>, QueryRejection>) -> Result<T, Failure> {
    match query {
        Ok(Query(parameters)) => Ok(parameters),
        Err(rejection) => Err(Failure::with_detail(Code::BadParameter, rejection)),
    }
}

fn answer_job(answer: Option<Answer>) -> Result<Response, Refusal> {
    match answer {
        Some(Answer::Job(result)) => Ok(reply::job(result)),
        _ => Err(reply::ended()),
    }
}

fn job_id(text: &str) -> Result<JobId, Failure> {
    text.parse().map_err(|error| Failure::with_detail(Code::BadParameter, error))
}

fn parse(body: &[u8]) -> Result<Submission, Failure> {
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
