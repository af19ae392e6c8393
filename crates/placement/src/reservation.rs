//! Capacity reserved for a job that would otherwise starve.
//!
//! The tasks of a gang must start together, which never becomes possible while
//! small jobs fill every gap. For one job of each owner at a time, the scheduler
//! claims capacity as it becomes free, until the job has all it needs or the
//! reservation expires. Since an owner has only one reservation, and it never
//! waits for another one, two gangs cannot deadlock; when a reservation expires,
//! the next job gets its turn. In the meantime, idempotent batch work may use the
//! claimed capacity; it can be evicted unless it is urgent.

use stoatwell_model::JobId;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

/// Capacity reserved for one job.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The job that waits for it.
    pub job: JobId,
    /// When the reservation expires and its claims are released.
    pub until_ms: UnixMs,
    /// Number of tasks that must start together; 1 unless the job is a gang.
    pub tasks: usize,
    /// Demand of one task.
    pub demand: Resources,
    /// One worker for each task whose capacity is claimed; a worker may occur repeatedly.
    pub reserved_workers: Vec<WorkerId>,
}

impl Reservation {
    /// Whether capacity is claimed for every task.
    pub fn is_complete(&self) -> bool {
        self.reserved_workers.len() >= self.tasks
    }
}
