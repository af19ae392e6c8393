//! Remembers which jobs were made durable, or may have been, through this daemon.
//!
//! A daemon that does not reach the store cannot look a job up. Without this memory it would
//! tell a caller who tries again that the job was not accepted and never runs, although a write
//! for an earlier try has taken effect, or takes effect later.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use stoatwell_pool::JobId;

/// How long a job is remembered at least: longer than a caller goes on trying.
const MEMORY_MS: u64 = 30_000;
/// Maximum jobs in a generation. It bounds the memory of a daemon under many submissions,
/// which then remembers jobs for a shorter time.
const GENERATION_JOBS_MAX: usize = 16_384;

/// The jobs of recent submissions.
#[derive(Debug, Default)]
pub(crate) struct RecentSubmissions {
    generations: Mutex<Generations>,
}

/// Two sets of jobs. The older one is dropped as a whole, so no job needs a timer of its own.
#[derive(Debug, Default)]
struct Generations {
    current: HashSet<JobId>,
    previous: HashSet<JobId>,
    /// When `current` was begun.
    began_ms: u64,
}

impl RecentSubmissions {
    /// Remembers a job that is durable or may be.
    pub fn record(&self, job: JobId, now_ms: u64) {
        self.with_generations(now_ms, |generations| {
            generations.current.insert(job);
        });
    }

    /// Whether a job was recorded within the last [`MEMORY_MS`], or not much earlier.
    pub fn contains(&self, job: JobId, now_ms: u64) -> bool {
        self.with_generations(now_ms, |generations| {
            generations.current.contains(&job) || generations.previous.contains(&job)
        })
    }

    fn with_generations<T>(&self, now_ms: u64, access: impl FnOnce(&mut Generations) -> T) -> T {
        let mut generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        generations.rotate_if_due(now_ms);
        access(&mut generations)
    }
}

impl Generations {
    fn rotate_if_due(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.began_ms + MEMORY_MS;
        if !is_due && self.current.len() < GENERATION_JOBS_MAX {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        let is_recent = now_ms < self.began_ms + 2 * MEMORY_MS;
        self.previous = if is_recent { ended } else { HashSet::new() };
        self.began_ms = now_ms;
    }
}
