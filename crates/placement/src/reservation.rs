//! Capacity reserved for a job that would otherwise starve.
//!
//! The tasks of a gang must start together. While small jobs fill every gap, this never
//! becomes possible. For one job of each owner at a time, the scheduler therefore reserves
//! capacity as it becomes free, until the job has all it needs or the reservation expires.
//! An owner has only one reservation, which never waits for another one, so two gangs
//! cannot deadlock. When a reservation expires, the next job can get one. In the meantime,
//! idempotent batch work may use the reserved capacity. This work can be evicted unless it
//! is urgent.
//!
//! The capacity that another daemon reserves here for its tasks is not a reservation of this
//! kind: it is allocated at once, as for a placed task.

use stoatwell_model::JobId;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

/// Capacity reserved for one job.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The job that waits for it.
    pub job: JobId,
    /// When the reservation expires and its capacity is released.
    pub until_ms: UnixMs,
    /// Number of tasks that must start together; 1 unless the job is a gang.
    pub tasks: usize,
    /// Demand of one task.
    pub demand: Resources,
    /// One worker for each task for which capacity is reserved. A worker occurs repeatedly if
    /// it has reserved capacity for several tasks.
    pub reserved_workers: Vec<WorkerId>,
}

impl Reservation {
    /// Whether capacity is reserved for every task.
    pub fn is_complete(&self) -> bool {
        self.reserved_workers.len() >= self.tasks
    }
}
