//! Which waiting work starts where, now.
//!
//! A pass goes over the entries in the order of urgency, of how much their
//! owners already hold, and of deadlines and age. A shape that does not fit is
//! skipped until more room appears, so it never blocks others; a job that
//! waited too long gets room kept for it, so nothing waits for ever.

mod place;
mod reserve;
mod trust;

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

use crate::cell::Cell;
use crate::cell::Running;
use crate::cell::View;
use crate::health::Health;
use crate::health::PROVED_AFTER_MS;
use crate::health::Verdict;
use crate::learned::Learned;
use crate::queue::EntryQueue;
use crate::queue::Queue;
use crate::queue::WaitingJob;
use crate::reservation::Reservation;

/// Jobs of one entry that a pass tries before it gives the entry up.
const LOOK_AHEAD_JOBS: usize = 8;
/// Tasks of one job that start before the next entry gets its turn.
const TURN_TASKS: usize = 32;
/// An entry that does not fit is looked at again after this time at the latest.
const BLOCKED_MS: u64 = 500;
/// Evictions in one pass, so that a burst of urgent work does not clear the cell.
const EVICTIONS_PER_PASS: usize = 256;
/// Headroom that the strongest wish for short waits keeps free, in thousandths.
const HEADROOM_PERMILLE_MAX: u64 = 120;
const PERMILLE: u64 = 1_000;

/// What can be tuned.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// After this long a job counts as one step more urgent, though it evicts nothing.
    pub aging_ms: u64,
    /// After this long a job that does not fit gets room kept for it.
    pub reserve_after_ms: u64,
    /// How long that room is kept.
    pub reserve_ms: u64,
    /// Whether learned demands are used.
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

/// A task that got a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it is to start.
    pub worker: WorkerId,
    /// What is set aside for it.
    pub demand: Resources,
    /// Attempts that must be stopped first.
    pub evict: Vec<AttemptId>,
}

/// What a pass decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start these tasks of one job; for a gang these are all of them.
    Start {
        /// The job.
        job: JobId,
        /// Its tasks.
        tasks: Vec<Placed>,
    },
    /// The deadline passed before these could start.
    Expired {
        /// The job.
        job: JobId,
        /// Attempts that will not start.
        tasks: Vec<AttemptId>,
    },
}

/// Counters of what was decided, for metrics and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Tasks that got a worker.
    pub placed: u64,
    /// Searches that found none.
    pub refused: u64,
    /// Tasks stopped for urgent work.
    pub evicted: u64,
    /// Jobs whose deadline passed in the queue.
    pub expired: u64,
    /// Jobs that got room kept for them.
    pub reservations: u64,
    /// Workers quarantined.
    pub quarantines: u64,
    /// Entries held back.
    pub held_back: u64,
}

/// Waiting and running work over the workers of one holder.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// The workers.
    pub cell: Cell,
    /// What waits.
    pub queue: Queue,
    /// What entries really use.
    pub learned: Learned,
    /// Who fails whom.
    pub health: Health,
    /// What was decided so far.
    pub counters: Counters,
    policy: Policy,
    weights: HashMap<OwnerName, Weights>,
    /// Tasks of an entry that may run here at once.
    running_max: HashMap<EntryName, u32>,
    reservations: BTreeMap<OwnerName, Reservation>,
    unproved: Vec<(UnixMs, AttemptId)>,
    quarantined: Vec<(UnixMs, WorkerId)>,
}

impl Scheduler {
    /// An empty cell under this policy.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes over a worker as it describes itself.
    pub fn put_worker(&mut self, now_ms: UnixMs, state: &WorkerState, target: Option<&Target>) {
        self.cell.put_worker(&state.worker, &state.rack, state.capacity, state.foreign);
        self.set_target(&state.worker, target);
        self.check_health(now_ms, &state.worker);
    }

    /// Gives a worker up; what ran there is no longer counted here.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        self.drop_claims_on(worker);
        self.cell.remove_worker(worker)
    }

    /// Says whom a worker serves.
    pub fn set_target(&mut self, worker: &WorkerId, target: Option<&Target>) {
        let serving = target.is_some_and(|target| target.state == TargetState::Serving);
        if !serving {
            self.drop_claims_on(worker);
        }
        self.cell.set_target(worker, target.map(|target| &target.owner), serving);
    }

    /// Takes an owner's share of its quota and what it values.
    pub fn set_owner(&mut self, owner: &OwnerName, quota: Option<Resources>, weights: Weights) {
        self.cell.set_quota(owner, quota);
        self.weights.insert(owner.clone(), weights);
    }

    /// Takes an entry's share of the tasks that may run at once.
    pub fn set_running_max(&mut self, entry: &EntryName, tasks: u32) {
        self.running_max.insert(entry.clone(), tasks);
    }

    /// Adds work that waits.
    pub fn enqueue(&mut self, job: WaitingJob) {
        self.queue.push(job);
    }

    /// Takes a job's waiting tasks out, for a cancellation or a hand-over.
    pub fn withdraw(&mut self, job: JobId) -> Vec<AttemptId> {
        self.drop_reservation_of(job);
        self.queue.remove(job).map_or_else(Vec::new, |waiting| waiting.tasks.into())
    }

    /// Takes over a task that runs already, as its worker reports.
    pub fn adopt(&mut self, attempt: AttemptId, running: Running) {
        if self.cell.running(attempt).is_none_or(|known| known.worker != running.worker) {
            self.unproved.push((running.started_ms + PROVED_AFTER_MS, attempt));
            self.cell.add(attempt, running);
        }
    }

    /// A start did not happen; its room is free again.
    pub fn release_unstarted(&mut self, now_ms: UnixMs, attempt: AttemptId) {
        if let Some(running) = self.cell.remove(attempt) {
            self.check_health(now_ms, &running.worker);
        }
    }

    /// A task ended by itself or was stopped, as its worker reports.
    pub fn task_ended(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        attempt: AttemptId,
        end: TaskEnd,
    ) -> Verdict {
        if self.cell.running(attempt).is_none_or(|running| running.worker != *worker) {
            return Verdict::Open;
        }
        let Some(running) = self.cell.remove(attempt) else {
            return Verdict::Open;
        };
        let mut verdict = Verdict::Open;
        match end {
            TaskEnd::Succeeded => {
                self.health.record_success(&running.worker, &running.entry);
                self.learned.record(&running.entry, attempt.job, &running.declared, &running.used);
                let ran_ms = now_ms.saturating_sub(running.started_ms);
                self.learned.record_run(&running.entry, ran_ms);
            }
            TaskEnd::Failed => {
                verdict = self.health.record_failure(now_ms, &running.worker, &running.entry);
                match verdict {
                    Verdict::WorkerQuarantined => self.counters.quarantines += 1,
                    Verdict::EntryHeldBack => self.counters.held_back += 1,
                    Verdict::Open => {}
                }
            }
            TaskEnd::Stopped => {}
        }
        self.check_health(now_ms, &running.worker);
        verdict
    }

    /// Takes what a running task was seen to use; gives tasks that must be
    /// stopped because the worker holds less than it is asked for.
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
        if !self.cell.overfull(index) {
            return Vec::new();
        }
        let victims = self.cell.victims(index, &Resources::ZERO, now_ms);
        victims.map_or_else(Vec::new, |(_, victims)| victims)
    }

    /// Goes over what waits and places up to `tasks_max` tasks.
    pub fn schedule(&mut self, now_ms: UnixMs, tasks_max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // Shares are taken of what the workers hold in all, which must be known.
        self.cell.settle_all();
        self.expire(now_ms, &mut decisions);
        self.prove(now_ms);
        self.advance_reservations(now_ms, &mut decisions);
        let mut left = tasks_max;
        let mut evictions_left = EVICTIONS_PER_PASS;
        while left > 0 {
            let mut progress = false;
            for (entry, urgency) in self.order(now_ms) {
                let placed = self.serve_line(
                    now_ms,
                    &entry,
                    urgency,
                    left,
                    &mut evictions_left,
                    &mut decisions,
                );
                left = left.saturating_sub(placed);
                progress |= placed > 0;
                if left == 0 {
                    break;
                }
            }
            if !progress {
                break;
            }
        }
        decisions
    }

    /// Tries one task that another daemon cannot place on its own workers.
    pub fn place_task(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        attempt: AttemptId,
    ) -> Option<Placed> {
        let mut evictions_left = 0;
        self.cell.settle_all();
        let placed = self.place(now_ms, job, attempt, &mut evictions_left)?;
        self.commit(now_ms, job, &placed);
        Some(placed)
    }

    /// Why a job waits, for people.
    pub fn pending_reasons(&mut self, now_ms: UnixMs, job: JobId) -> Vec<String> {
        let Some(waiting) = self.queue.get(job).cloned() else {
            return Vec::new();
        };
        let mut reasons = Vec::new();
        let ahead = self.queue.ahead_of(job);
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
        let need = self.demand(&waiting);
        if !self.within_quota(&waiting, &need) {
            reasons.push(format!("owner {} holds all its quota here", waiting.owner));
        }
        if self.is_at_limit(&waiting.entry) {
            let running = self.cell.running_of(&waiting.entry);
            reasons.push(format!(
                "{running} tasks of entry {} run here, as many as may",
                waiting.entry
            ));
        }
        let free = self.cell.largest_free(&waiting.owner);
        if let Some(lacking) = free.lacking(&need) {
            reasons.push(format!("no worker of {} has enough free {lacking} now", waiting.owner));
        } else if self.cell.find_packed(&waiting.owner, &need, View::Free).is_none() {
            reasons.push("no single worker has all of it free now".to_owned());
        }
        if let Some(reservation) = self.reservations.get(&waiting.owner)
            && reservation.job == job
        {
            let (have, all) = (reservation.claims.len(), reservation.tasks);
            reasons.push(format!("room is kept for {have} of its {all} tasks"));
        }
        if reasons.is_empty() {
            reasons.push("it is next".to_owned());
        }
        reasons
    }

    /// What one owner can get here, in short.
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

    /// The class for which room is kept, by owner.
    pub fn reservations(&self) -> impl Iterator<Item = (&OwnerName, &Reservation)> {
        self.reservations.iter()
    }

    /// What to set aside for one task of a job.
    pub fn demand(&self, job: &WaitingJob) -> Resources {
        if self.policy.use_estimates {
            self.learned.demand(&job.entry, &job.demand)
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

    /// Entries in the order in which they are served.
    fn order(&self, now_ms: UnixMs) -> Vec<(EntryName, Urgency)> {
        let mut keyed = Vec::new();
        for line in self.queue.entry_queues() {
            if self.is_blocked(now_ms, line) {
                continue;
            }
            let waited_ms = now_ms.saturating_sub(line.front_accepted_ms());
            let rank =
                (line.urgency as u64).saturating_sub(waited_ms / self.policy.aging_ms.max(1));
            let (capacity, used) = self.cell.usage(&line.owner);
            let waiting = f64::from(
                self.weights.get(&line.owner).map_or(1, |weights| weights.waiting).max(1),
            );
            let share = used.dominant_share(&capacity) / waiting;
            let key = (rank, share, line.front_deadline_ms(), line.front_accepted_ms());
            keyed.push((key, (line.entry.clone(), line.urgency)));
        }
        keyed.sort_by(|(a, _), (b, _)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        keyed.into_iter().map(|(_, line)| line).collect()
    }

    /// Whether nothing that could matter has changed since the front of an
    /// entry did not fit. Learned demands and rested jobs make no room grow, so
    /// after a while it is looked at all the same.
    fn is_blocked(&self, now_ms: UnixMs, line: &EntryQueue) -> bool {
        let Some((growth, since_ms)) = line.blocked_at else {
            return false;
        };
        growth == self.cell.growth(&line.owner) && now_ms < since_ms + BLOCKED_MS
    }

    /// Gives one entry its turn; says how many tasks were placed.
    fn serve_line(
        &mut self,
        now_ms: UnixMs,
        entry: &EntryName,
        urgency: Urgency,
        left: usize,
        evictions_left: &mut usize,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        if self.health.held_back_until(now_ms, entry).is_some() {
            return 0;
        }
        let Some(line) = self.queue.entry_queue_mut(entry, urgency) else {
            return 0;
        };
        let front: Vec<JobId> = line.front(LOOK_AHEAD_JOBS).collect();
        let owner = line.owner.clone();
        for job in front {
            let Some(waiting) = self.queue.get(job).cloned() else {
                continue;
            };
            if waiting.not_before_ms > now_ms {
                continue;
            }
            let placed = self.start_job(now_ms, &waiting, left, evictions_left, decisions);
            if placed > 0 {
                return placed;
            }
            self.reserve_if_due(now_ms, &waiting);
        }
        let growth = self.cell.growth(&owner);
        if let Some(line) = self.queue.entry_queue_mut(entry, urgency) {
            line.blocked_at = Some((growth, now_ms));
        }
        0
    }
}

/// How a task ended, as far as blame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// By itself, well.
    Succeeded,
    /// By itself, badly.
    Failed,
    /// It was told to.
    Stopped,
}
