//! Decodes the rows of jobs.

use stoatwell_pool::Cancellation;
use stoatwell_pool::JobId;

use crate::platform::Row;

/// Parses the row of a cancellation; an empty value means that the owner cancelled the job.
pub(crate) fn read_cancellation(row: &Row) -> Option<(JobId, Cancellation)> {
    let is_by_owner = row.value.as_ref()?.is_empty();
    match row.key.parse() {
        Ok(job) if is_by_owner => Some((job, Cancellation::ByOwner)),
        Ok(_) | Err(_) => read_row(row),
    }
}

/// Parses a job's row; `None` if it was removed, or if it cannot be parsed and so belongs to
/// another writer.
pub(crate) fn read_row<T: serde::de::DeserializeOwned>(row: &Row) -> Option<(JobId, T)> {
    let value = row.value.as_ref()?;
    if let (Ok(id), Ok(value)) = (row.key.parse(), serde_json::from_slice(value)) {
        return Some((id, value));
    }
    tracing::warn!(key = row.key, version = row.version, "skipping a row that cannot be parsed");
    None
}
