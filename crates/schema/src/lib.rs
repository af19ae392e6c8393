//! Checks a JSON document against a table of fields and finds every mistake at once.
//!
//! Settings and catalogue entries are written by people, who would rather mend
//! ten mistakes in one go than meet them one by one. A [`Field`] states a
//! path, a kind, bounds, a default and what the field is for; the same table
//! makes the page that documents it.

mod markdown;

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;
use stoatwell_model::code::Problem;
use stoatwell_model::id::NAME_MAX_BYTES;
use stoatwell_model::id::is_valid_name;

pub use markdown::markdown_table;

/// Longest part of a wrong value that is shown again, in characters.
const SHOWN_CHARS_MAX: usize = 60;

/// One field of a document.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Names from the root, joined by dots.
    pub path: &'static str,
    /// What values it takes.
    pub kind: Kind,
    /// Its default as JSON; `None` where it must be given.
    pub default: Option<&'static str>,
    /// What it is for, with its unit.
    pub doc: &'static str,
}

impl Field {
    /// A field that must be given.
    pub const fn required(path: &'static str, kind: Kind, doc: &'static str) -> Self {
        Self { path, kind, default: None, doc }
    }

    /// A field with a default, written as JSON.
    pub const fn optional(
        path: &'static str,
        kind: Kind,
        default: &'static str,
        doc: &'static str,
    ) -> Self {
        Self { path, kind, default: Some(default), doc }
    }
}

/// What values a field takes.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A name of the catalogue or of a daemon.
    Name,
    /// Any text up to this many bytes.
    Text(usize),
    /// IP and port.
    Address,
    /// true or false.
    Flag,
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// A whole number within these bounds.
    Number(u64, u64),
    /// A SHA-256 in hexadecimal.
    Hash,
    /// A list of SHA-256 in hexadecimal.
    Hashes,
}

/// Checks `document` and fills in defaults; problems are in the order of the table.
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
        match find(document, field.path) {
            Found::Value(value) if value.is_null() && nullable(field) => {
                insert(&mut checked, field.path, Value::Null);
            }
            Found::Value(value) => {
                problems.extend(mistake(field, value));
                insert(&mut checked, field.path, value.clone());
            }
            Found::Absent => match field.default {
                Some(default) => {
                    let value = serde_json::from_str(default).unwrap_or(Value::Null);
                    insert(&mut checked, field.path, value);
                }
                None => problems.push(missing(field)),
            },
            // Told once for the object itself, below.
            Found::NotAnObject => {}
        }
    }
    find_unknown(fields, document, "", &mut problems);
    if problems.is_empty() { Ok(checked) } else { Err(problems) }
}

/// What a kind takes, for people.
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

enum Found<'a> {
    Value(&'a Value),
    Absent,
    NotAnObject,
}

fn find<'a>(document: &'a Value, path: &str) -> Found<'a> {
    let mut value = document;
    for name in path.split('.') {
        let Some(object) = value.as_object() else {
            return Found::NotAnObject;
        };
        let Some(next) = object.get(name) else {
            return Found::Absent;
        };
        value = next;
    }
    Found::Value(value)
}

fn insert(document: &mut Value, path: &str, value: Value) {
    let mut at = document;
    let mut names = path.split('.').peekable();
    while let Some(name) = names.next() {
        let Some(object) = at.as_object_mut() else {
            return;
        };
        if names.peek().is_none() {
            object.insert(name.to_owned(), value);
            return;
        }
        at = object.entry(name).or_insert_with(|| Value::Object(Map::new()));
    }
}

fn nullable(field: &Field) -> bool {
    field.default == Some("null")
}

fn mistake(field: &Field, value: &Value) -> Option<Problem> {
    let good = match field.kind {
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
    if good {
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

fn missing(field: &Field) -> Problem {
    Problem {
        path: format!("$.{}", field.path),
        value: "(missing)".to_owned(),
        expected: describe(field.kind),
        hint: field.doc.to_owned(),
    }
}

/// Walks what was given; a name that no field starts with is a mistake.
fn find_unknown(fields: &[Field], value: &Value, prefix: &str, problems: &mut Vec<Problem>) {
    let Some(object) = value.as_object() else {
        return;
    };
    for (name, value) in object {
        let path = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        if fields.iter().any(|field| field.path == path) {
            continue;
        }
        let inside = format!("{path}.");
        if !fields.iter().any(|field| field.path.starts_with(&inside)) {
            let hint = nearest(fields, &path);
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

/// A hint that names the known field with the most common letters at its start.
fn nearest(fields: &[Field], path: &str) -> String {
    let common = |field: &&Field| {
        let pairs = field.path.bytes().zip(path.bytes());
        pairs.take_while(|(a, b)| a == b).count()
    };
    match fields.iter().max_by_key(common) {
        Some(field) if common(&field) > 2 => format!("did you mean {}?", field.path),
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
