//! Checks a JSON document against a table of fields and reports all errors at once.
//!
//! Settings and catalogue entries are written by people, who prefer to fix ten errors
//! in one go over discovering them one by one. A [`Field`] states the path, the kind
//! with its bounds, the default and the purpose of a field. [`markdown_table`] renders
//! the same table for the documentation.

mod markdown;

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;
use stoatwell_model::code::Problem;
use stoatwell_model::id::NAME_MAX_BYTES;
use stoatwell_model::id::is_valid_name;

pub use markdown::markdown_table;

/// Maximum number of characters of an invalid value to repeat in an error.
const SHOWN_CHARS_MAX: usize = 60;

/// Description of one field of a document.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Names from the root to the field, joined by dots.
    pub path: &'static str,
    /// Type and bounds of valid values.
    pub kind: Kind,
    /// Default value as JSON; `None` if the field is required.
    pub default: Option<&'static str>,
    /// Purpose of the field, with its unit.
    pub doc: &'static str,
}

impl Field {
    /// Describes a field that a document must contain.
    pub const fn required(path: &'static str, kind: Kind, doc: &'static str) -> Self {
        Self { path, kind, default: None, doc }
    }

    /// Describes a field that a document may omit; `default` is JSON.
    pub const fn optional(
        path: &'static str,
        kind: Kind,
        default: &'static str,
        doc: &'static str,
    ) -> Self {
        Self { path, kind, default: Some(default), doc }
    }
}

/// Type and bounds of a field's values.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A name that [`is_valid_name`] accepts.
    Name,
    /// A string of at most this many bytes.
    Text(usize),
    /// An IP address with a port.
    Address,
    /// A boolean.
    Flag,
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// An integer within these inclusive bounds.
    Number(u64, u64),
    /// A SHA-256 hash in hexadecimal.
    Hash,
    /// A list of SHA-256 hashes in hexadecimal.
    Hashes,
}

/// Validates `document` and fills in defaults.
///
/// Returns the problems of the fields in the order of the table, then unknown fields.
pub fn check(fields: &[Field], document: &Value) -> Result<Value, Vec<Problem>> {
    let mut problems = Vec::new();
    if !document.is_object() {
        problems.push(problem(
            "$",
            document,
            "an object".to_owned(),
            "start with { and end with }",
        ));
        return Err(problems);
    }
    let mut checked = Value::Object(Map::new());
    for field in fields {
        match look_up(document, field.path) {
            Lookup::Value(value) if value.is_null() && is_nullable(field) => {
                insert(&mut checked, field.path, Value::Null);
            }
            Lookup::Value(value) => {
                problems.extend(check_value(field, value));
                insert(&mut checked, field.path, value.clone());
            }
            Lookup::Absent => match field.default {
                Some(default) => {
                    let value = serde_json::from_str(default).unwrap_or(Value::Null);
                    insert(&mut checked, field.path, value);
                }
                None => problems.push(missing_field(field)),
            },
            // `find_unknown` reports the parent itself, once.
            Lookup::NotAnObject => {}
        }
    }
    find_unknown(fields, document, "", &mut problems);
    if problems.is_empty() { Ok(checked) } else { Err(problems) }
}

/// Describes the valid values of a kind, for people.
pub fn describe(kind: Kind) -> String {
    match kind {
        Kind::Name => format!("1 to {NAME_MAX_BYTES} of a-z, 0-9, '-', '_', '.'"),
        Kind::Text(bytes_max) => format!("text of at most {bytes_max} bytes"),
        Kind::Address => "IP and port, such as 127.0.0.1:7070".to_owned(),
        Kind::Flag => "true or false".to_owned(),
        Kind::Choice(choices) => format!("one of {}", choices.join(", ")),
        Kind::Number(min, max) => format!("a whole number from {min} to {max}"),
        Kind::Hash => "64 hexadecimal digits".to_owned(),
        Kind::Hashes => "a list of texts of 64 hexadecimal digits".to_owned(),
    }
}

/// Result of looking up a path in a document.
enum Lookup<'a> {
    Value(&'a Value),
    Absent,
    /// A parent of the field is present and is not an object.
    NotAnObject,
}

fn look_up<'a>(document: &'a Value, path: &str) -> Lookup<'a> {
    let mut value = document;
    for name in path.split('.') {
        let Some(object) = value.as_object() else {
            return Lookup::NotAnObject;
        };
        let Some(next) = object.get(name) else {
            return Lookup::Absent;
        };
        value = next;
    }
    Lookup::Value(value)
}

fn insert(document: &mut Value, path: &str, value: Value) {
    let mut parent = document;
    let mut names = path.split('.').peekable();
    while let Some(name) = names.next() {
        let Some(object) = parent.as_object_mut() else {
            return;
        };
        if names.peek().is_none() {
            object.insert(name.to_owned(), value);
            return;
        }
        parent = object.entry(name).or_insert_with(|| Value::Object(Map::new()));
    }
}

fn is_nullable(field: &Field) -> bool {
    field.default == Some("null")
}

fn check_value(field: &Field, value: &Value) -> Option<Problem> {
    let is_valid = match field.kind {
        Kind::Name => value.as_str().is_some_and(is_valid_name),
        Kind::Text(bytes_max) => value.as_str().is_some_and(|text| text.len() <= bytes_max),
        Kind::Address => value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        Kind::Flag => value.is_boolean(),
        Kind::Choice(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
        Kind::Number(min, max) => {
            value.as_u64().is_some_and(|number| (min..=max).contains(&number))
        }
        Kind::Hash => is_hash(value),
        Kind::Hashes => value.as_array().is_some_and(|hashes| hashes.iter().all(is_hash)),
    };
    if is_valid {
        return None;
    }
    Some(problem(&format!("$.{}", field.path), value, describe(field.kind), field.doc))
}

fn is_hash(value: &Value) -> bool {
    let Some(text) = value.as_str() else {
        return false;
    };
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn missing_field(field: &Field) -> Problem {
    Problem {
        path: format!("$.{}", field.path),
        value: "(missing)".to_owned(),
        expected: describe(field.kind),
        hint: field.doc.to_owned(),
    }
}

/// Reports names in the document that no path in the table starts with, and values that
/// should be objects.
fn find_unknown(fields: &[Field], value: &Value, prefix: &str, problems: &mut Vec<Problem>) {
    let Some(object) = value.as_object() else {
        return;
    };
    for (name, value) in object {
        let path = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        if fields.iter().any(|field| field.path == path) {
            continue;
        }
        let child_prefix = format!("{path}.");
        if !fields.iter().any(|field| field.path.starts_with(&child_prefix)) {
            let hint = suggest_field(fields, &path);
            problems.push(problem(&format!("$.{path}"), value, "a known field".to_owned(), &hint));
            continue;
        }
        if !value.is_object() {
            let hint = "write its fields between { and }";
            problems.push(problem(&format!("$.{path}"), value, "an object".to_owned(), hint));
            continue;
        }
        find_unknown(fields, value, &path, problems);
    }
}

/// Suggests the known field that has the longest prefix in common with `path`.
fn suggest_field(fields: &[Field], path: &str) -> String {
    let common_prefix_len = |field: &&Field| {
        let pairs = field.path.bytes().zip(path.bytes());
        pairs.take_while(|(a, b)| a == b).count()
    };
    match fields.iter().max_by_key(common_prefix_len) {
        Some(field) if common_prefix_len(&field) > 2 => format!("did you mean {}?", field.path),
        _ => "remove it".to_owned(),
    }
}

fn problem(path: &str, value: &Value, expected: String, hint: &str) -> Problem {
    let text = value.to_string();
    let mut shown: String = text.chars().take(SHOWN_CHARS_MAX).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    Problem { path: path.to_owned(), value: shown, expected, hint: hint.to_owned() }
}
