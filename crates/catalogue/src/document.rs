//! Parser for the entries that operators write.
//!
//! A document is one entry or `{"entries": [...]}`. Each entry has a `kind`, which is
//! `work` or `owner`. The errors of all entries are reported at once.

use serde_json::Value;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::Execution;
use stoatwell_model::Failure;
use stoatwell_model::OwnerEntry;
use stoatwell_model::WorkEntry;
use stoatwell_model::code::Problem;
use stoatwell_schema::Field;
use stoatwell_schema::Kind;

use crate::Item;

const CPU_MILLIS_MAX: u64 = 1_024_000;
const MEMORY_BYTES_MAX: u64 = 1 << 46;
const ACCELERATORS_MAX: u64 = 64;
const QUOTA_CPU_MILLIS_MAX: u64 = 1 << 40;
const QUOTA_MEMORY_BYTES_MAX: u64 = 1 << 60;
const QUOTA_ACCELERATORS_MAX: u64 = 1 << 20;
const DEADLINE_MS_MAX: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Schema of a work entry.
pub const WORK_FIELDS: &[Field] = &[
    Field::required("kind", Kind::Choice(&["work"]), "what the entry describes"),
    Field::required("name", Kind::Name, "the entry's name, which submissions give"),
    Field::required("owner", Kind::Name, "whose work it is"),
    Field::required(
        "class",
        Kind::Choice(&["request", "service", "gang", "batch"]),
        "how it is scheduled",
    ),
    Field::required(
        "execution",
        Kind::Choice(&["at_most_once", "exclusive", "idempotent"]),
        "how often a task may run",
    ),
    Field::optional(
        "urgency",
        Kind::Choice(&["urgent", "normal", "patient"]),
        r#""normal""#,
        "how soon it should start",
    ),
    Field::optional(
        "task.cpu_millis",
        Kind::Number(0, CPU_MILLIS_MAX),
        "0",
        "thousandths of a core that one task needs",
    ),
    Field::optional(
        "task.memory_bytes",
        Kind::Number(0, MEMORY_BYTES_MAX),
        "0",
        "bytes of memory that one task needs",
    ),
    Field::optional(
        "task.accelerators",
        Kind::Number(0, ACCELERATORS_MAX),
        "0",
        "accelerators that one task needs",
    ),
    Field::optional("limits.tasks_per_job", Kind::Number(1, 100_000), "1000", "tasks of one job"),
    Field::optional(
        "limits.queued_jobs",
        Kind::Number(1, 10_000_000),
        "10000",
        "jobs that wait at one daemon",
    ),
    Field::optional(
        "limits.running_tasks",
        Kind::Number(1, 1_000_000),
        "50000",
        "tasks that run at once",
    ),
    Field::optional(
        "limits.deadline_ms",
        Kind::Number(0, DEADLINE_MS_MAX),
        "0",
        "milliseconds from acceptance until the answer is of no use; 0 is no limit",
    ),
    Field::optional(
        "limits.attempts",
        Kind::Number(1, 100),
        "3",
        "tries for one task; at-most-once work gets one whatever this says",
    ),
    Field::optional(
        "limits.body_bytes",
        Kind::Number(0, 16_777_216),
        "262144",
        "bytes of a submission's body",
    ),
    Field::optional("minions", Kind::Name, "null", "group of minions that answer; requests only"),
    Field::optional(
        "traffic_permille",
        Kind::Number(0, 1_000),
        "1000",
        "share of submissions taken, in thousandths; the rest stay with the old system",
    ),
];

/// Schema of an owner entry.
pub const OWNER_FIELDS: &[Field] = &[
    Field::required("kind", Kind::Choice(&["owner"]), "what the entry describes"),
    Field::required("owner", Kind::Name, "the owner's name"),
    Field::required(
        "quota.cpu_millis",
        Kind::Number(0, QUOTA_CPU_MILLIS_MAX),
        "thousandths of a core for all its running work",
    ),
    Field::required(
        "quota.memory_bytes",
        Kind::Number(0, QUOTA_MEMORY_BYTES_MAX),
        "bytes of memory for all its running work",
    ),
    Field::optional(
        "quota.accelerators",
        Kind::Number(0, QUOTA_ACCELERATORS_MAX),
        "0",
        "accelerators for all its running work",
    ),
    Field::optional(
        "token_sha256",
        Kind::Hash,
        "null",
        "SHA-256 of the bearer token of its callers",
    ),
    Field::optional(
        "weights.waiting",
        Kind::Number(0, 100),
        "1",
        "what starting soon is worth to it",
    ),
    Field::optional(
        "weights.packing",
        Kind::Number(0, 100),
        "1",
        "what full instances are worth to it",
    ),
    Field::optional(
        "weights.control",
        Kind::Number(0, 100),
        "1",
        "what little control traffic is worth to it",
    ),
];

/// Parses a document into items, or returns all its errors.
pub fn parse(text: &str) -> Result<Vec<Item>, Failure> {
    let document: Value = serde_json::from_str(text)
        .map_err(|error| Failure::with_detail(Code::BrokenJson, error))?;
    let Some(entries) = document.get("entries") else {
        let item = parse_entry(&document)
            .map_err(|problems| Failure::new(Code::InvalidDocument).with_problems(problems))?;
        return Ok(vec![item]);
    };
    let Some(entries) = entries.as_array() else {
        let detail = "entries is not a list";
        return Err(Failure::with_detail(Code::InvalidDocument, detail));
    };
    let mut items = Vec::new();
    let mut problems = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        match parse_entry(entry) {
            Ok(item) => items.push(item),
            Err(found) => {
                problems.extend(found.into_iter().map(|problem| prefix_path(index, problem)));
            }
        }
    }
    if problems.is_empty() {
        return Ok(items);
    }
    Err(Failure::new(Code::InvalidDocument).with_problems(problems))
}

/// Extends the path of a problem by the position of its entry.
fn prefix_path(index: usize, problem: Problem) -> Problem {
    let path = format!("$.entries[{index}]{}", problem.path.trim_start_matches('$'));
    Problem { path, ..problem }
}

fn parse_entry(document: &Value) -> Result<Item, Vec<Problem>> {
    let is_owner = document.get("kind").and_then(Value::as_str) == Some("owner");
    let fields = if is_owner { OWNER_FIELDS } else { WORK_FIELDS };
    let mut checked = stoatwell_schema::check(fields, document)?;
    if let Some(object) = checked.as_object_mut() {
        object.remove("kind");
    }
    if is_owner {
        let owner: OwnerEntry = serde_json::from_value(checked).map_err(unexpected_shape)?;
        return Ok(Item::Owner(owner));
    }
    let work: WorkEntry = serde_json::from_value(checked).map_err(unexpected_shape)?;
    let problems = inconsistencies(&work);
    if problems.is_empty() { Ok(Item::Work(work)) } else { Err(problems) }
}

fn unexpected_shape(error: serde_json::Error) -> Vec<Problem> {
    vec![Problem {
        path: "$".to_owned(),
        value: error.to_string(),
        expected: "an entry".to_owned(),
        hint: "see docs/catalogue.md".to_owned(),
    }]
}

/// Checks combinations of fields that are valid individually.
fn inconsistencies(work: &WorkEntry) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |path: &str, value: String, expected: &str, hint: &str| {
        problems.push(Problem {
            path: path.to_owned(),
            value,
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        });
    };
    let is_request = work.class == Class::Request;
    if is_request && work.minions.is_none() {
        report(
            "$.minions",
            "null".to_owned(),
            "a group of minions",
            "requests are answered by minions",
        );
    }
    if !is_request && work.minions.is_some() {
        report("$.minions", "(given)".to_owned(), "null", "only requests go to minions");
    }
    if !is_request && work.task.cpu_millis == 0 {
        report("$.task.cpu_millis", "0".to_owned(), "1 or more", "every task needs some processor");
    }
    if is_request && work.execution == Execution::Exclusive {
        report(
            "$.execution",
            "exclusive".to_owned(),
            "at_most_once or idempotent",
            "a request has one try or may be repeated",
        );
    }
    if work.class == Class::Service && work.execution == Execution::AtMostOnce {
        report(
            "$.execution",
            "at_most_once".to_owned(),
            "exclusive or idempotent",
            "a service is replaced when it dies",
        );
    }
    problems
}
