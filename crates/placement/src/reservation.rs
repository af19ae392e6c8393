//! Room kept for a job that would otherwise wait for ever.
//!
//! A gang needs all its tasks at once; while small work fills every gap, that
//! moment never comes by itself. One job of an owner at a time keeps what
//! becomes free until it has all it needs or its time is up. There is one such
//! job and it never waits for another, so two gangs cannot block each other;
//! when its time is up the next one gets its turn. Work that gives way may use
//! the kept room meanwhile.

use stoatwell_model::JobId;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

/// Room kept for one job.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The job.
    pub job: JobId,
    /// When the room goes back to all.
    pub until_ms: UnixMs,
    /// Tasks that must start together.
    pub tasks: usize,
    /// What one task needs.
    pub need: Resources,
    /// One worker for each task that has its room.
    pub claims: Vec<WorkerId>,
}

impl Reservation {
    /// Whether every task has its room.
    pub fn is_complete(&self) -> bool {
        self.claims.len() >= self.tasks
    }
}
