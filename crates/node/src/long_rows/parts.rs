//! Splits a value over several rows, and joins the rows again.
//!
//! The first row keeps the key of the value. It begins with a mark, which no other value begins
//! with, and the number of rows that follow. These have keys of their own, which come right after
//! it. All rows of a value are written in one transaction and so have one version: rows with
//! another version belong to an earlier or a later value.

use std::collections::BTreeMap;

use crate::platform::Row;

/// Separates the key of a value from the number of the row. Keys of jobs do not contain it.
const SEPARATOR: char = '.';
/// Comes after each number in the order of keys.
const AFTER_NUMBERS: char = '~';
/// The first byte of a value that is split. Other values are JSON or empty.
const MARK: u8 = b'#';
/// Ends the number of rows that follow.
const MARK_END: u8 = b'\n';
/// Longest mark: the first byte, the number and its end.
const MARK_BYTES_MAX: usize = 8;

/// The rows of a response, with the values that were split put together.
#[derive(Debug, Default)]
pub(super) struct Joined {
    /// Each with the key of its value.
    pub rows: Vec<Row>,
    /// Keys of values of which rows are missing.
    pub incomplete: Vec<String>,
    /// The highest number of a row that follows the first, by key of the value.
    pub part_counts: BTreeMap<String, usize>,
}

/// The key of a row that follows the first one of a value; numbers begin at 1.
pub(super) fn part_key(key: &str, number: usize) -> String {
    format!("{key}{SEPARATOR}{number:03}")
}

/// The key of the value that a row belongs to.
pub(crate) fn value_key(row_key: &str) -> &str {
    row_key.split_once(SEPARATOR).map_or(row_key, |(key, _)| key)
}

/// The key after which the rows of the next value begin.
pub(super) fn key_after_parts(key: &str) -> String {
    if key.is_empty() { String::new() } else { format!("{key}{SEPARATOR}{AFTER_NUMBERS}") }
}

fn part_number(row_key: &str) -> Option<usize> {
    row_key.split_once(SEPARATOR)?.1.parse().ok()
}

/// Splits a value into rows of at most `row_bytes_max`; one that fits is a single row as it is.
pub(super) fn split(value: &[u8], row_bytes_max: usize) -> Vec<Vec<u8>> {
    if value.len() <= row_bytes_max {
        return vec![value.to_vec()];
    }
    let (first, rest) = value.split_at(row_bytes_max.saturating_sub(MARK_BYTES_MAX));
    let mut rows: Vec<Vec<u8>> = rest.chunks(row_bytes_max).map(<[u8]>::to_vec).collect();
    let mut head = format!("{}{}{}", char::from(MARK), rows.len(), char::from(MARK_END));
    head.reserve(first.len());
    let mut head = head.into_bytes();
    head.extend_from_slice(first);
    rows.insert(0, head);
    rows
}

/// The number of rows that follow the first row of a value, and the value's first bytes; `None` if
/// it is not split.
fn head(value: &[u8]) -> Option<(usize, &[u8])> {
    let marked = value.strip_prefix(&[MARK])?;
    let end = marked.iter().position(|byte| *byte == MARK_END)?;
    let count = std::str::from_utf8(&marked[..end]).ok()?.parse().ok()?;
    Some((count, &marked[end + 1..]))
}

/// Whether a row is only the first one of its value.
pub(super) fn is_head(row: &Row) -> bool {
    row.value.as_ref().is_some_and(|value| head(value).is_some())
}

/// Puts the values of a response together. Rows without the first one of their value are left out.
pub(super) fn join(rows: Vec<Row>) -> Joined {
    let has_parts = rows.iter().any(|row| part_number(&row.key).is_some() || is_head(row));
    if !has_parts {
        return Joined { rows, ..Joined::default() };
    }
    let mut joined = Joined::default();
    let mut parts: BTreeMap<(String, u64, usize), Vec<u8>> = BTreeMap::new();
    let mut firsts = Vec::new();
    for row in rows {
        let Some(number) = part_number(&row.key) else {
            firsts.push(row);
            continue;
        };
        let Some(value) = row.value else { continue };
        let key = value_key(&row.key).to_owned();
        let highest = joined.part_counts.entry(key.clone()).or_default();
        *highest = number.max(*highest);
        parts.insert((key, row.version, number), value);
    }
    for mut row in firsts {
        let split = row.value.as_deref().and_then(head);
        let Some((count, first)) = split else {
            joined.rows.push(row);
            continue;
        };
        let mut value = first.to_vec();
        let found = (1..=count).all(|number| {
            let part = parts.get(&(row.key.clone(), row.version, number));
            part.is_some_and(|part| {
                value.extend_from_slice(part);
                true
            })
        });
        if found {
            row.value = Some(value);
            joined.rows.push(row);
        } else {
            joined.incomplete.push(row.key);
        }
    }
    joined
}
