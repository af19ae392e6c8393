//! Decides which waiting tasks start now, and on which workers.
//!
//! A scheduling cycle visits the work entries that have waiting jobs: by urgency, then by
//! the share of capacity that their owners use, then by the deadline and the age of the
//! first job. An entry whose first jobs do not fit is skipped until capacity becomes free,
//! so it does not block others. A job that has waited too long gets a reservation, so no
//! job waits for ever.

mod place;
mod reserve;
mod worker_health;

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;
use stoatwell_model::AttemptId;
use stoatwell_model::EntryName;
use stoatwell_model::JobId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::Target;
use stoatwell_model::TargetState;
use stoatwell_model::UnixMs;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::entry::Weights;
use stoatwell_model::peer::OwnerSummary;
use stoatwell_model::worker::WorkerState;

use crate::cell::CapacityView;
use crate::cell::Cell;
use crate::cell::Running;
use crate::health::Health;
use crate::health::HealthChange;
use crate::health::PROVEN_AFTER_MS;
use crate::queue::EntryQueue;
use crate::queue::Queue;
use crate::queue::WaitingJob;
use crate::reservation::Reservation;
use crate::usage::UsageEstimator;

/// Maximum number of jobs of one entry that are tried before the entry counts as blocked.
const LOOK_AHEAD_JOBS: usize = 8;
/// Maximum number of tasks of a job that start before the next entry gets its turn.
const TASKS_PER_TURN: usize = 32;
/// A blocked entry is retried after this time at the latest.
const BLOCKED_RETRY_MS: u64 = 500;
/// Maximum number of evictions in one scheduling cycle, so that a burst of urgent work
/// does not clear the cell.
const EVICTIONS_PER_CYCLE: usize = 256;
/// Largest share of an owner's capacity that its work of patient urgency leaves free, in
/// thousandths. The share is largest if the owner's weight `packing` is 0. It is 0 unless
/// the weight `waiting` exceeds `packing`.
const HEADROOM_PERMILLE_MAX: u64 = 120;
const PERMILLE: u64 = 1_000;

/// Parameters of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Waiting time after which a job ranks one urgency level higher. It rises by another
    /// level each time the same time has passed. A higher rank does not entitle a job to
    /// evict others.
    pub aging_ms: u64,
    /// Waiting time after which a job that does not fit gets a reservation.
    pub reserve_after_ms: u64,
    /// How long a reservation lasts. Once it has expired, the job that it was for is skipped
    /// for the same time.
    pub reserve_ms: u64,
    /// Whether the demand of a task is estimated from past usage; otherwise the declared
    /// demand is used.
    pub use_estimates: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            aging_ms: 600_000,
            reserve_after_ms: 30_000,
            reserve_ms: 60_000,
            use_estimates: true,
        }
    }
}

/// A task with the worker chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// The worker to start it on.
    pub worker: WorkerId,
    /// Capacity that is allocated for it.
    pub demand: Resources,
    /// Attempts on the worker that must be stopped first.
    pub evict: Vec<AttemptId>,
}

/// One decision of a scheduling cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start tasks of one job.
    Start {
        /// The job they belong to.
        job: JobId,
        /// The tasks to start; all waiting ones if the job is a gang.
        tasks: Vec<Placed>,
    },
    /// The deadline of a job passed while tasks were waiting.
    Expired {
        /// The job, which is no longer in the queue.
        job: JobId,
        /// Attempts that will not start.
        tasks: Vec<AttemptId>,
    },
}

/// Counters of decisions, for metrics and benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Tasks placed on a worker.
    pub placed: u64,
    /// Failed attempts to place a task: no worker fits it, or a limit is reached.
    pub refused: u64,
    /// Tasks evicted to make room for others.
    pub evicted: u64,
    /// Jobs whose deadline passed while they were waiting.
    pub expired: u64,
    /// Reservations made.
    pub reservations: u64,
    /// Quarantines of workers.
    pub quarantines: u64,
    /// Number of times that an entry was held back because its tasks kept failing.
    pub held_back: u64,
}

/// Scheduler over the workers that one daemon holds.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Workers and the tasks on them.
    pub cell: Cell,
    /// Jobs with tasks that are not placed yet.
    pub queue: Queue,
    /// Estimates the demand of tasks from the usage of earlier ones.
    pub usage: UsageEstimator,
    /// Failures of workers and entries.
    pub health: Health,
    /// Totals since the scheduler was created.
    pub counters: Counters,
    policy: Policy,
    weights: HashMap<OwnerName, Weights>,
    /// Maximum number of an entry's tasks that run here at once.
    running_max: HashMap<EntryName, u32>,
    reservations: BTreeMap<OwnerName, Reservation>,
    /// Tasks that have not run for [`PROVEN_AFTER_MS`] yet, each with the time at which it has
    /// and counts as a success.
    pending_successes: Vec<(UnixMs, AttemptId)>,
    /// Workers and the time at which their quarantine or probation ends.
    health_rechecks: Vec<(UnixMs, WorkerId)>,
}

impl Scheduler {
    /// A scheduler without workers or jobs.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Adds a worker, or updates it, from the state that it reports.
    pub fn put_worker(&mut self, now_ms: UnixMs, state: &WorkerState, target: Option<&Target>) {
        self.cell.put_worker(&state.worker, &state.rack, state.capacity, state.foreign);
        self.set_target(&state.worker, target);
        self.apply_health(now_ms, &state.worker);
    }

    /// Removes a worker and returns its tasks, which are no longer counted here.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        self.drop_reserved_on(worker);
        self.cell.remove_worker(worker)
    }

    /// Applies a worker's target, which assigns the worker to an owner; `None` if the
    /// catalogue has no target for the worker.
    pub fn set_target(&mut self, worker: &WorkerId, target: Option<&Target>) {
        let serving = target.is_some_and(|target| target.state == TargetState::Serving);
        if !serving {
            self.drop_reserved_on(worker);
        }
        self.cell.set_target(worker, target.map(|target| &target.owner), serving);
    }

    /// Sets this daemon's share of an owner's quota, and the owner's weights.
    pub fn set_owner(&mut self, owner: &OwnerName, quota: Option<Resources>, weights: Weights) {
        self.cell.set_quota(owner, quota);
        self.weights.insert(owner.clone(), weights);
    }

    /// Sets this daemon's share of the entry's limit of concurrent tasks.
    pub fn set_running_max(&mut self, entry: &EntryName, tasks: u32) {
        self.running_max.insert(entry.clone(), tasks);
    }

    /// Adds a job, or more tasks of a waiting job, to the queue.
    pub fn enqueue(&mut self, job: WaitingJob) {
        self.queue.push(job);
    }

    /// Removes a job from the queue, to cancel it or hand it over, and returns its
    /// waiting tasks.
    pub fn withdraw(&mut self, job: JobId) -> Vec<AttemptId> {
        self.drop_reservation_of(job);
        self.queue.remove(job).map_or_else(Vec::new, |waiting| waiting.tasks.into())
    }

    /// Adds a task that is already running according to its worker's report.
    pub fn add_running(&mut self, attempt: AttemptId, running: Running) {
        if self.cell.running(attempt).is_none_or(|known| known.worker != running.worker) {
            self.pending_successes.push((running.started_ms + PROVEN_AFTER_MS, attempt));
            self.cell.add(attempt, running);
        }
    }

    /// Releases the capacity of a task that was placed but did not start.
    pub fn release_unstarted(&mut self, now_ms: UnixMs, attempt: AttemptId) {
        if let Some(running) = self.cell.remove(attempt) {
            self.apply_health(now_ms, &running.worker);
        }
    }

    /// Records that a task ended according to its worker's report. Has no effect if the
    /// task is not placed on that worker.
    pub fn task_ended(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        attempt: AttemptId,
        end: TaskEnd,
    ) -> HealthChange {
        if self.cell.running(attempt).is_none_or(|running| running.worker != *worker) {
            return HealthChange::Unchanged;
        }
        let Some(running) = self.cell.remove(attempt) else {
            return HealthChange::Unchanged;
        };
        let mut health_change = HealthChange::Unchanged;
        match end {
            TaskEnd::Succeeded => {
                self.health.record_success(&running.worker, &running.entry);
                self.usage.record(
                    &running.entry,
                    attempt.job,
                    &running.declared,
                    &running.peak_usage,
                );
                let ran_ms = now_ms.saturating_sub(running.started_ms);
                self.usage.record_run(&running.entry, ran_ms);
            }
            TaskEnd::Failed => {
                health_change = self.health.record_failure(now_ms, &running.worker, &running.entry);
                match health_change {
                    HealthChange::WorkerQuarantined => self.counters.quarantines += 1,
                    HealthChange::EntryHeldBack => self.counters.held_back += 1,
                    HealthChange::Unchanged => {}
                }
            }
            TaskEnd::Stopped => {}
        }
        self.apply_health(now_ms, &running.worker);
        health_change
    }

    /// Records the observed usage of a running task. If its worker is overcommitted,
    /// returns the tasks to stop.
    pub fn record_usage(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        used: &Resources,
    ) -> Vec<AttemptId> {
        self.cell.record_usage(attempt, used);
        let Some(running) = self.cell.running(attempt) else {
            return Vec::new();
        };
        let Some(index) = self.cell.index_of(&running.worker) else {
            return Vec::new();
        };
        if !self.cell.is_overcommitted(index) {
            return Vec::new();
        }
        let victims = self.cell.victims(index, &Resources::ZERO, now_ms);
        victims.map_or_else(Vec::new, |(_, victims)| victims)
    }

    /// Runs a scheduling cycle, which ends once `tasks_max` tasks are placed. Gangs and
    /// jobs with a complete reservation start as a whole even if they exceed this.
    pub fn schedule(&mut self, now_ms: UnixMs, tasks_max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // Shares are relative to the total capacity, which must be up to date.
        self.cell.rebuild_stale_pools();
        self.expire(now_ms, &mut decisions);
        self.update_health(now_ms);
        self.advance_reservations(now_ms, &mut decisions);
        let mut tasks_left = tasks_max;
        let mut evictions_left = EVICTIONS_PER_CYCLE;
        while tasks_left > 0 {
            let mut progress = false;
            for (entry, urgency) in self.entry_order(now_ms) {
                let placed = self.schedule_entry(
                    now_ms,
                    &entry,
                    urgency,
                    tasks_left,
                    &mut evictions_left,
                    &mut decisions,
                );
                tasks_left = tasks_left.saturating_sub(placed);
                progress |= placed > 0;
                if tasks_left == 0 {
                    break;
                }
            }
            if !progress {
                break;
            }
        }
        decisions
    }

    /// Places one task outside a scheduling cycle and without evictions: for another
    /// daemon, or for a gang that spans several daemons.
    pub fn place_task(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        attempt: AttemptId,
    ) -> Option<Placed> {
        let mut evictions_left = 0;
        self.cell.rebuild_stale_pools();
        let placed = self.place(now_ms, job, attempt, &mut evictions_left)?;
        self.allocate(now_ms, job, &placed);
        Some(placed)
    }

    /// Reasons why a job is waiting, as shown to users; empty if it is not in the queue.
    pub fn pending_reasons(&mut self, now_ms: UnixMs, job: JobId) -> Vec<String> {
        let Some(waiting) = self.queue.get(job).cloned() else {
            return Vec::new();
        };
        let mut reasons = Vec::new();
        let ahead = self.queue.jobs_ahead_of(job);
        if ahead > 0 {
            reasons.push(format!("{ahead} jobs of entry {} stand before it", waiting.entry));
        }
        if let Some(until_ms) = self.health.held_back_until(now_ms, &waiting.entry) {
            let left_ms = until_ms - now_ms;
            reasons.push(format!(
                "entry {} fails everywhere and is held back for {left_ms} ms",
                waiting.entry
            ));
        }
        let demand = self.demand(&waiting);
        if !self.within_quota(&waiting, &demand) {
            reasons.push(format!("owner {} holds all its quota here", waiting.owner));
        }
        if self.is_at_running_max(&waiting.entry) {
            let running = self.cell.running_count_of(&waiting.entry);
            reasons.push(format!(
                "{running} tasks of entry {} run here, as many as may",
                waiting.entry
            ));
        }
        let free = self.cell.largest_free(&waiting.owner);
        if let Some(lacking) = free.first_shortage(&demand) {
            reasons.push(format!("no worker of {} has enough free {lacking} now", waiting.owner));
        } else if self.cell.find_packed(&waiting.owner, &demand, CapacityView::Free).is_none() {
            reasons.push("no single worker has all of it free now".to_owned());
        }
        if let Some(reservation) = self.reservations.get(&waiting.owner)
            && reservation.job == job
        {
            let (reserved, total) = (reservation.reserved_workers.len(), reservation.tasks);
            reasons.push(format!("room is kept for {reserved} of its {total} tasks"));
        }
        if reasons.is_empty() {
            reasons.push("it is next".to_owned());
        }
        reasons
    }

    /// Capacity that is available here, by owner.
    pub fn owner_summaries(&mut self) -> Vec<OwnerSummary> {
        let owners: Vec<OwnerName> = self.cell.owners().cloned().collect();
        let mut summaries = Vec::new();
        for owner in owners {
            let largest_free = self.cell.largest_free(&owner);
            let largest = self.cell.largest(&owner);
            summaries.push(OwnerSummary { owner, largest_free, largest });
        }
        summaries
    }

    /// Reservations by owner; an owner has at most one.
    pub fn reservations(&self) -> impl Iterator<Item = (&OwnerName, &Reservation)> {
        self.reservations.iter()
    }

    /// Capacity to allocate for one task of a job: estimated or declared, by policy.
    pub fn demand(&self, job: &WaitingJob) -> Resources {
        if self.policy.use_estimates {
            self.usage.demand(&job.entry, &job.demand)
        } else {
            job.demand
        }
    }

    fn expire(&mut self, now_ms: UnixMs, decisions: &mut Vec<Decision>) {
        for job in self.queue.expired(now_ms) {
            let tasks = self.withdraw(job);
            self.counters.expired += 1;
            decisions.push(Decision::Expired { job, tasks });
        }
    }

    /// Entries to visit, in scheduling order. Blocked ones are left out.
    fn entry_order(&self, now_ms: UnixMs) -> Vec<(EntryName, Urgency)> {
        let mut keyed = Vec::new();
        for entry_queue in self.queue.entry_queues() {
            if self.is_blocked(now_ms, entry_queue) {
                continue;
            }
            let waited_ms = now_ms.saturating_sub(entry_queue.front_accepted_ms());
            let rank = (entry_queue.urgency as u64)
                .saturating_sub(waited_ms / self.policy.aging_ms.max(1));
            let (capacity, used) = self.cell.usage(&entry_queue.owner);
            let waiting_weight = f64::from(
                self.weights.get(&entry_queue.owner).map_or(1, |weights| weights.waiting).max(1),
            );
            // The higher an owner weighs short waits, the smaller its share counts.
            let share = used.dominant_share(&capacity) / waiting_weight;
            let key =
                (rank, share, entry_queue.front_deadline_ms(), entry_queue.front_accepted_ms());
            keyed.push((key, (entry_queue.entry.clone(), entry_queue.urgency)));
        }
        keyed.sort_by(|(a, _), (b, _)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        keyed.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Whether an entry is skipped, because its first jobs did not fit and no capacity has
    /// become free since. The free generation shows only free capacity. It does not show that
    /// the estimated demand fell, or that the time before which a job is skipped is over. The
    /// entry is therefore retried after [`BLOCKED_RETRY_MS`] in any case.
    fn is_blocked(&self, now_ms: UnixMs, entry_queue: &EntryQueue) -> bool {
        let Some((free_generation, since_ms)) = entry_queue.blocked_at else {
            return false;
        };
        free_generation == self.cell.free_generation(&entry_queue.owner)
            && now_ms < since_ms + BLOCKED_RETRY_MS
    }

    /// Tries to start the first jobs of an entry; returns the number of tasks placed.
    fn schedule_entry(
        &mut self,
        now_ms: UnixMs,
        entry: &EntryName,
        urgency: Urgency,
        tasks_left: usize,
        evictions_left: &mut usize,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        if self.health.held_back_until(now_ms, entry).is_some() {
            return 0;
        }
        let Some(entry_queue) = self.queue.entry_queue_mut(entry, urgency) else {
            return 0;
        };
        let front: Vec<JobId> = entry_queue.front(LOOK_AHEAD_JOBS).collect();
        let owner = entry_queue.owner.clone();
        for job in front {
            let Some(waiting) = self.queue.get(job).cloned() else {
                continue;
            };
            if waiting.not_before_ms > now_ms {
                continue;
            }
            let placed = self.start_job(now_ms, &waiting, tasks_left, evictions_left, decisions);
            if placed > 0 {
                return placed;
            }
            self.reserve_if_due(now_ms, &waiting);
        }
        let free_generation = self.cell.free_generation(&owner);
        if let Some(entry_queue) = self.queue.entry_queue_mut(entry, urgency) {
            entry_queue.blocked_at = Some((free_generation, now_ms));
        }
        0
    }
}

/// How a task ended, as far as this matters for the health of its worker and entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ended by itself, with success.
    Succeeded,
    /// It ended by itself, with an error.
    Failed,
    /// It was told to stop, which says nothing about health.
    Stopped,
}
