//! Layout of jobs in the platform's table.
//!
//! `job/ID` contains the record. `open/ZONE/ID` names the coordinator of a job until
//! the outcome is final, so that the jobs of a dead daemon are found without a scan of
//! all records. `done/HOUR/ID` lists finished jobs by the hour in which they finished,
//! so that expired records are found in order.

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

/// Prefix of the keys of open jobs.
pub const OPEN: &str = "open/";
/// Prefix of the keys of finished jobs.
pub const DONE: &str = "done/";

const HOUR_MS: u64 = 60 * 60 * 1_000;

/// Value of the row of an open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRow {
    /// Identifier of the job.
    pub job: JobId,
    /// Daemon that schedules it.
    pub coordinator: DaemonId,
}

/// Key of a job's record.
pub fn job_key(job: JobId) -> String {
    format!("job/{job}")
}

/// Key of the row that marks a job as open.
pub fn open_key(zone: &ZoneName, job: JobId) -> String {
    format!("{OPEN}{zone}/{job}")
}

/// Prefix of the keys of open jobs in one zone.
pub fn open_prefix(zone: &ZoneName) -> String {
    format!("{OPEN}{zone}/")
}

/// Key of the row that marks a job as finished.
pub fn done_key(finished_ms: UnixMs, job: JobId) -> String {
    format!("{DONE}{:012}/{job}", finished_ms / HOUR_MS)
}

/// First key of the jobs that finished in the hour of `finished_ms` or later.
pub fn first_done_key(finished_ms: UnixMs) -> String {
    format!("{DONE}{:012}/", finished_ms / HOUR_MS)
}

/// Job that the key of a finished job names; `None` if the key is malformed.
pub fn job_of_done_key(key: &str) -> Option<JobId> {
    key.rsplit('/').next()?.parse().ok()
}

/// Creates the write that updates a job's rows to `record`.
///
/// `version` is the version of the record's row that was read. `former_zone` is the
/// zone whose open row is to be removed, if the job moved to another zone.
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
