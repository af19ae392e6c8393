//! Whether each task that is not done has somebody who will look at it again.
//!
//! A task moves on when its unit is in the queue, when an answer comes, or when its row
//! is durable. One that waits for something that nobody will do keeps its room and its
//! job for ever, with all workers free, and no other check would notice.

use std::collections::BTreeSet;

use crate::Pool;
use crate::id::StepId;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Task;

impl Pool {
    /// Tasks that nobody will look at again, each with the reason.
    pub fn tasks_without_wakeup(&self) -> Vec<String> {
        let queued: BTreeSet<StepId> = self.queue.values().copied().collect();
        let timed: BTreeSet<StepId> = self.not_due.iter().map(|(_, step)| *step).collect();
        let mut found = Vec::new();
        for job in self.jobs.values().filter(|job| job.outcome.is_none()) {
            for (number, unit) in job.units.iter().enumerate() {
                let waits = queued.contains(&unit.id) || timed.contains(&unit.id);
                for (index, task) in unit.tasks.iter().enumerate() {
                    let Some(missing_wakeup) = self.missing_wakeup(job, number, task, waits) else {
                        continue;
                    };
                    found.push(format!("{}.{index}: {missing_wakeup}", unit.id));
                }
            }
        }
        found
    }

    /// What a task waits for that nobody will do.
    fn missing_wakeup(
        &self,
        job: &Job,
        unit: usize,
        task: &Task,
        queued: bool,
    ) -> Option<&'static str> {
        match task.phase {
            Phase::Waiting if job.is_ready(unit) && !queued => Some("waits outside the queue"),
            Phase::Reserved if job.units[unit].advice.queries == 0 => {
                Some("has room, and nobody asks for its ticket")
            }
            Phase::Recorded if !self.commits.has_pending(job.id) => {
                Some("has room, and its row is not written")
            }
            Phase::Sent if self.is_start_lost(task) => Some("was sent, and no answer came"),
            _ => None,
        }
    }
}
