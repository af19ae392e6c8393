//! Chooses a worker for each task and allocates capacity on it.

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::EntryName;
use stoatwell_model::Execution;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::Urgency;

use crate::cell::CapacityView;
use crate::cell::Running;
use crate::health::PROVEN_AFTER_MS;
use crate::queue::WaitingJob;
use crate::scheduler::Decision;
use crate::scheduler::HEADROOM_PERMILLE_MAX;
use crate::scheduler::PERMILLE;
use crate::scheduler::Placed;
use crate::scheduler::Scheduler;
use crate::scheduler::TASKS_PER_TURN;

impl Scheduler {
    /// Whether the entry's limit of concurrent tasks is reached here.
    pub(super) fn is_at_running_max(&self, entry: &EntryName) -> bool {
        let limit = self.running_max.get(entry);
        limit.is_some_and(|limit| self.cell.running_count_of(entry) >= *limit)
    }

    /// Places tasks of a job, or all of a gang's; returns the number of tasks placed.
    pub(super) fn start_job(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        tasks_left: usize,
        evictions_left: &mut usize,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        let is_gang = job.class == Class::Gang;
        let wanted = if is_gang {
            job.tasks.len()
        } else {
            job.tasks.len().min(TASKS_PER_TURN).min(tasks_left)
        };
        let mut tasks: Vec<Placed> = Vec::new();
        let mut victims = Vec::new();
        for attempt in job.tasks.iter().take(wanted) {
            let Some(placed) = self.place(now_ms, job, *attempt, evictions_left) else {
                break;
            };
            victims.extend(self.allocate(now_ms, job, &placed));
            tasks.push(placed);
        }
        if is_gang && tasks.len() < wanted {
            self.roll_back(&tasks, victims);
            return 0;
        }
        if tasks.is_empty() {
            return 0;
        }
        self.drop_reservation_of(job.job);
        self.queue.take_tasks(job.job, tasks.len());
        let placed = tasks.len();
        decisions.push(Decision::Start { job: job.job, tasks });
        placed
    }

    /// Finds a worker for one task, and tasks to evict from it, without allocating anything.
    pub(super) fn place(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        attempt: AttemptId,
        evictions_left: &mut usize,
    ) -> Option<Placed> {
        let demand = self.demand(job);
        if self.is_at_running_max(&job.entry) || !self.within_quota(job, &demand) {
            self.counters.refused += 1;
            return None;
        }
        let found = match job.class {
            Class::Service => self.cell.find_spread(&job.owner, &demand, attempt),
            Class::Batch | Class::Gang | Class::Request => {
                self.cell.find_packed(&job.owner, &demand, CapacityView::Free)
            }
        };
        let may_use_reserved =
            || job.class == Class::Batch && job.execution == Execution::Idempotent;
        let found = match found {
            None if may_use_reserved() => {
                self.cell.find_packed(&job.owner, &demand, CapacityView::FreeOrReserved)
            }
            found => found,
        };
        let (index, evict) = match found {
            Some(index) => (index, Vec::new()),
            None if job.urgency == Urgency::Urgent && *evictions_left > 0 => {
                let (index, victims) =
                    self.cell.find_with_eviction(&job.owner, &demand, now_ms, attempt)?;
                *evictions_left = evictions_left.saturating_sub(victims.len());
                (index, victims)
            }
            None => {
                self.counters.refused += 1;
                return None;
            }
        };
        let worker = self.cell.worker_at(index).worker.clone();
        // A worker on probation is tried only with work that may be repeated.
        if job.execution.needs_intent() && self.health.probation_until(now_ms, &worker).is_some() {
            self.counters.refused += 1;
            return None;
        }
        Some(Placed { attempt, worker, demand, evict })
    }

    /// Allocates capacity for a placed task; returns the tasks that are evicted for it.
    pub(super) fn allocate(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        placed: &Placed,
    ) -> Vec<(AttemptId, Running)> {
        let mut victims = Vec::new();
        for victim in &placed.evict {
            victims.extend(self.cell.remove(*victim).map(|running| (*victim, running)));
            self.counters.evicted += 1;
        }
        let running = Running {
            worker: placed.worker.clone(),
            owner: job.owner.clone(),
            entry: job.entry.clone(),
            class: job.class,
            execution: job.execution,
            urgency: job.urgency,
            declared: job.demand,
            demand: placed.demand,
            peak_usage: Resources::ZERO,
            started_ms: now_ms,
            uses_reserved: false,
        };
        self.cell.add(placed.attempt, running);
        self.counters.placed += 1;
        self.pending_successes.push((now_ms + PROVEN_AFTER_MS, placed.attempt));
        self.apply_health(now_ms, &placed.worker);
        victims
    }

    /// Undoes the placements of a gang or reservation that did not fit as a whole. The
    /// tasks evicted for it were never told to stop, so they still use their capacity.
    pub(super) fn roll_back(&mut self, tasks: &[Placed], victims: Vec<(AttemptId, Running)>) {
        for placed in tasks {
            self.cell.remove(placed.attempt);
        }
        self.counters.placed -= tasks.len() as u64;
        self.counters.evicted -= victims.len() as u64;
        for (attempt, running) in victims {
            self.cell.add(attempt, running);
        }
    }

    /// Whether the owner of a job stays within quota if one more task of the job is placed.
    /// For patient work, the owner's headroom must also stay free.
    pub(super) fn within_quota(&self, job: &WaitingJob, demand: &Resources) -> bool {
        let (capacity, used) = self.cell.usage(&job.owner);
        let after = used.plus(demand);
        if self.cell.quota(&job.owner).is_some_and(|quota| !quota.holds(&after)) {
            return false;
        }
        if job.urgency != Urgency::Patient {
            return true;
        }
        // If an owner prefers short waits, its patient work leaves headroom for its next jobs.
        let weights = self.weights.get(&job.owner).copied().unwrap_or_default();
        let total_weight = u64::from(weights.waiting + weights.packing).max(1);
        let waiting_excess = (u64::from(weights.waiting) * 2).saturating_sub(total_weight);
        let headroom_permille = HEADROOM_PERMILLE_MAX * waiting_excess / total_weight;
        capacity.share(PERMILLE - headroom_permille, PERMILLE).holds(&after)
    }
}
