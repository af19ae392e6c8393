//! How jobs lie in the platform's table.
//!
//! `job/ID` is the record. `open/ZONE/ID` names the daemon that runs a job
//! until its outcome is final, so that jobs of a dead daemon are found without
//! reading all records. `done/HOUR/ID` names finished jobs by the hour in
//! which they may be removed.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::UnixMs;
use stoatwell_model::ZoneName;
use stoatwell_platform::Check;
use stoatwell_platform::Put;

use crate::committer::Write;

/// Start of the keys of open jobs.
pub const OPEN: &str = "open/";
/// Start of the keys of finished jobs.
pub const DONE: &str = "done/";

const HOUR_MS: u64 = 60 * 60 * 1_000;

/// What an open row holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRow {
    /// The job.
    pub job: JobId,
    /// The daemon that runs it.
    pub coordinator: DaemonId,
}

/// The row of a job's record.
pub fn job_key(job: JobId) -> String {
    format!("job/{job}")
}

/// The row that marks a job as open.
pub fn open_key(zone: &ZoneName, job: JobId) -> String {
    format!("{OPEN}{zone}/{job}")
}

/// Start of the open rows of one zone.
pub fn open_prefix(zone: &ZoneName) -> String {
    format!("{OPEN}{zone}/")
}

/// The row that marks a job as finished.
pub fn done_key(finished_ms: UnixMs, job: JobId) -> String {
    format!("{DONE}{:012}/{job}", finished_ms / HOUR_MS)
}

/// The first key of jobs that finished at or after this time.
pub fn first_done_key(finished_ms: UnixMs) -> String {
    format!("{DONE}{:012}/", finished_ms / HOUR_MS)
}

/// The job that a row of finished jobs names.
pub fn job_of_done_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok()
}

/// The write that brings the table up to this record, from the version that
/// was read; `former_zone` is where its open row was, if it moves.
pub fn record_write(record: &JobRecord, version: u64, former_zone: Option<&ZoneName>) -> Write {
    let key = job_key(record.job);
    let value = serde_json::to_string(record).unwrap_or_default();
    let mut write = Write {
        checks: vec![Check { key: key.clone(), version }],
        puts: vec![Put { key, value }],
        deletes: Vec::new(),
        write_id: record.write_id,
        expires_ms: None,
    };
    write.deletes.extend(former_zone.map(|zone| open_key(zone, record.job)));
    let open_key = open_key(&record.zone, record.job);
    if record.outcome.is_some() {
        let key = done_key(record.finished_ms, record.job);
        write.puts.push(Put { key, value: String::from("{}") });
        write.deletes.push(open_key);
    } else {
        let open = OpenRow { job: record.job, coordinator: record.coordinator.clone() };
        let value = serde_json::to_string(&open).unwrap_or_default();
        write.puts.push(Put { key: open_key, value });
    }
    write
}
