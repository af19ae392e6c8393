//! Detection of unfinished tasks that no pending event will advance.
//!
//! A task advances when a cycle finds its step in the queue, when an answer arrives, or
//! when its row becomes durable. A task that waits for something that never happens keeps
//! its allocation and its job pending for ever, even with all workers free, and no other
//! check would notice.

use std::collections::BTreeSet;

use crate::Pool;
use crate::id::StepId;
use crate::jobs::job::Job;
use crate::jobs::job::Phase;
use crate::jobs::job::Task;

impl Pool {
    /// Tasks that no pending event will advance, each with the reason.
    pub fn tasks_without_wakeup(&self) -> Vec<String> {
        let queued: BTreeSet<StepId> = self.queue.values().copied().collect();
        let timed: BTreeSet<StepId> = self.not_due.iter().map(|(_, step)| *step).collect();
        let mut stuck = Vec::new();
        for job in self.jobs_in_progress().filter(|job| job.outcome.is_none()) {
            for (step_index, step_state) in job.step_states.iter().enumerate() {
                if step_state.remaining_tasks > 0 && step_state.tasks.iter().all(Task::is_done) {
                    stuck.push(format!(
                        "{}: all tasks are done, and the step is not",
                        step_state.id
                    ));
                }
                let scheduled = queued.contains(&step_state.id) || timed.contains(&step_state.id);
                for (index, task) in step_state.tasks.iter().enumerate() {
                    let Some(reason) = self.missing_wakeup(job, step_index, task, scheduled) else {
                        continue;
                    };
                    stuck.push(format!("{}.{index}: {reason}", step_state.id));
                }
            }
        }
        stuck
    }

    /// Why no pending event will advance a task; `None` if one will or none is needed.
    fn missing_wakeup(
        &self,
        job: &Job,
        step_index: usize,
        task: &Task,
        scheduled: bool,
    ) -> Option<&'static str> {
        match task.phase {
            Phase::Waiting if job.is_ready(step_index) && !scheduled => {
                Some("waits outside the queue")
            }
            Phase::Reserved if job.step_states[step_index].advice.queries == 0 => {
                Some("has room, and nobody asks for its ticket")
            }
            Phase::Recorded if !self.commits.is_write_pending(job.id) => {
                Some("has room, and its row is not written")
            }
            Phase::Sent if self.is_start_lost(task) => Some("was sent, and no answer came"),
            Phase::Unconfirmed { .. } if !self.is_asked_about(task) => {
                Some("may run, and its worker is not asked")
            }
            _ => None,
        }
    }

    /// Whether holds find out if a task runs whose start got no answer.
    fn is_asked_about(&self, task: &Task) -> bool {
        let worker = task.worker.as_ref().and_then(|name| self.workers.get(name));
        worker.is_some_and(|worker| worker.unconfirmed_turn.is_some())
    }
}
