//! Schedules the tasks of jobs on one pool of workers.
//!
//! [`Pool`] is the complete state of the scheduler. [`Pool::handle`] processes one
//! event, [`Pool::poll_effects`] returns the actions to be carried out. The pool does no
//! I/O and reads no clock, so tests can replay any sequence of failures in virtual time.
//!
//! These words have a fixed meaning in this crate:
//!
//! - A *job* has steps, and a *step* has identical tasks. If the job is repeated, each
//!   occurrence has its own copy of the steps. A "step" without further qualification is
//!   one step of one occurrence.
//! - A *run* is one attempt to execute a task on a worker. Runs of a task are numbered.
//! - A *hold* is a long poll of a worker. It renews the lease under which the worker may
//!   keep its runs, and returns the runs that the worker has.
//! - The *advisor* is an external service. If a queue has one, it decides which workers may
//!   run a step. A *ticket* proves that permission; a start needs a valid one.
//! - The *pace* of a run is the limit on its speed, in percent of its full speed.
//!
//! Three rules keep a task from running twice:
//!
//! - A start is durable before it is sent.
//! - Every call carries a fencing token. A worker that has answered a hold refuses all
//!   calls whose token is lower than the one of that hold.
//! - If a start was not answered, its run is stopped. The task is started elsewhere only
//!   after the stop was answered and a later hold does not list the run, or after the
//!   worker's lease has certainly expired.

mod advice;
mod commit;
mod dump;
mod event;
mod id;
mod jobs;
mod placement;
mod runs;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;

use crate::commit::Commits;
use crate::jobs::cancellation::Cancellations;
use crate::jobs::customers::Customers;
use crate::jobs::estimates::Estimates;
use crate::jobs::index::JobIndex;
use crate::jobs::job::Job;
use crate::jobs::job::Task;
use crate::jobs::removed::RemovedJobs;
use crate::placement::candidates::Cycle;
use crate::placement::due::DueSteps;
use crate::placement::place::OrderKey;
use crate::placement::work::PairCount;
use crate::runs::gangs::GangCounts;
use crate::workers::hold_timers::HoldTimers;
use crate::workers::map::WorkerMap;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerIndex;

pub use crate::advice::query::LONG_QUERY_MS;
pub use crate::advice::query::long_queries_max;
pub use crate::commit::PartitionWrite;
pub use crate::commit::Put;
pub use crate::commit::Removal;
pub use crate::dump::Counts;
pub use crate::dump::CustomerDump;
pub use crate::dump::PoolDump;
pub use crate::dump::WorkerDump;
pub use crate::event::ActiveRun;
pub use crate::event::CallError;
pub use crate::event::Callee;
pub use crate::event::CancelSource;
pub use crate::event::Effect;
pub use crate::event::EndedRun;
pub use crate::event::Event;
pub use crate::event::Grant;
pub use crate::event::HoldCall;
pub use crate::event::HoldReply;
pub use crate::event::OverdueCall;
pub use crate::event::PaceCall;
pub use crate::event::RunOutcome;
pub use crate::event::StartCall;
pub use crate::event::StartReply;
pub use crate::event::StopCall;
pub use crate::event::WorkerUpdate;
pub use crate::id::IdError;
pub use crate::id::JobId;
pub use crate::id::PARTITIONS;
pub use crate::id::StepId;
pub use crate::id::TaskId;
pub use crate::jobs::cancellation::Cancellation;
pub use crate::jobs::customers::CustomerLimits;
pub use crate::jobs::record::JobState;
pub use crate::jobs::record::JobView;
pub use crate::jobs::record::Outcome;
pub use crate::jobs::record::Progress;
pub use crate::jobs::record::TaskProgress;
pub use crate::jobs::spec::AdviceSpec;
pub use crate::jobs::spec::JobSpec;
pub use crate::jobs::spec::QueueSpec;
pub use crate::jobs::spec::Repeat;
pub use crate::jobs::spec::SpecError;
pub use crate::jobs::spec::StepSpec;
pub use crate::jobs::submit::Accepted;
pub use crate::placement::work::CycleWork;
pub use crate::placement::work::Pairs;
pub use crate::runs::gangs::GangAttempts;
pub use crate::runs::gangs::GangFailure;
pub use crate::runs::run::START_VALIDITY_MS;
pub use crate::workers::holds::CALL_AGE_MAX_MS;
pub use crate::workers::holds::EXTENSION_WINDOW_MS;
pub use crate::workers::silent::SilentLease;
pub use crate::workers::silent::SilentLeases;

/// Number of low bits of a fencing token that count a worker's incarnations; the epoch
/// is above them.
const INCARNATION_BITS: u32 = 12;

/// Limits that the installation configures.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a worker keeps its runs alive after the last renewal of its lease.
    pub lease_ms: u64,
    /// The longest lease that a worker grants to any leader.
    pub lease_max_ms: u64,
    /// How long a finished job is kept before it is removed from memory and the store.
    pub job_retention_ms: u64,
    /// The most workers that one query to the advisor may name.
    pub advice_workers_max: usize,
    /// The approximate size limit of a batch of rows, in bytes. The renewal of the
    /// leader lease waits behind the batch.
    pub batch_bytes_max: usize,
    /// How long members of a gang wait for each other.
    pub gangs: GangLimits,
}

/// What the workers of an installation do with members of gangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GangLimits {
    /// How long a member waits for the others before it ends.
    pub wait_ms: u64,
    /// The longest time from the arrival of a stop to the end of the run.
    pub stop_max_ms: u64,
}

impl Default for GangLimits {
    fn default() -> Self {
        Self { wait_ms: 3_000, stop_max_ms: 900 }
    }
}

/// The outcome of the leader election that this scheduler won.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Election {
    /// Increases with every change of leader; the high bits of every fencing token.
    pub epoch: u64,
    /// How long from now an earlier leader may continue to extend the workers' leases,
    /// because it may not have learned of its successor yet. A lease that it granted may
    /// be valid for this time plus the length of a lease.
    pub earlier_extends_ms: u64,
    /// Silent workers that the leader lease named when it was acquired. The leases of each have
    /// certainly expired after this many milliseconds.
    pub silent_leases: BTreeMap<WorkerId, u64>,
}

/// The scheduler of one pool.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    election: Election,
    /// When the leader lease was last renewed.
    leader_lease_renewed_ms: u64,
    now_ms: u64,
    unix_ms: u64,
    started_ms: u64,
    /// Counts the calls of [`Pool::poll_effects`], to tell the order of calls and
    /// answers: if an answer was handled in some turn, then every call that is made in a
    /// later turn was made after that answer.
    turn: u64,
    jobs: BTreeMap<JobId, Job>,
    job_index: JobIndex,
    removed_jobs: RemovedJobs,
    /// All known cancellations. They are kept apart from the jobs, since a cancellation may come
    /// before its job, and a submission that was given up may come back from the store.
    cancellations: Cancellations,
    customers: Customers,
    workers: WorkerMap,
    /// All changes to the list of workers before this time are known.
    workers_as_of_ms: u64,
    /// The lowest [`Worker::restarts_seen`] of workers that were removed, if they come back. Their
    /// tokens must not fall.
    removed_restarts: BTreeMap<WorkerId, u64>,
    hold_timers: HoldTimers,
    /// Names of workers, indexed by [`WorkerIndex`].
    worker_names: Vec<WorkerId>,
    /// Steps with tasks to place, by priority, fair share, deadline and arrival.
    queue: BTreeMap<QueueKey, StepId>,
    /// The steps of `queue` by what they wait for.
    due_steps: DueSteps,
    /// Steps of occurrences that are not due yet, by due time.
    not_due: BTreeSet<(u64, StepId)>,
    arrivals: u64,
    commits: Commits,
    estimates: Estimates,
    /// Queries to the advisor that are not answered yet.
    queries: usize,
    /// Those of them that are expected to take long.
    long_queries: usize,
    /// Number of daemons that can forward queries to the advisor.
    advisor_daemons: usize,
    /// Pending long queries that wait for daemons which can not be reached or do not answer.
    stuck_long_queries: usize,
    cycle_due: bool,
    effects: Vec<Effect>,
    /// Whether a worker has seen the token of a later leader.
    superseded: bool,
    /// When the pool was last polled.
    polled_ms: u64,
    /// When the pool was first polled after it had stood still for [`STANDSTILL_MS`].
    resumed_ms: u64,
    next_sweep_ms: u64,
    next_cycle_ms: u64,
    next_wait_report_ms: u64,
    silent_leases: SilentLeases,
    /// The newest generation of the list that is durable.
    silent_leases_written: u64,
    /// Steps that have waited for long although a worker has free capacity for them, at the
    /// last report.
    steps_waiting_with_room: usize,
    /// The state of the latest scheduling cycle, which the next one takes over.
    cycle: Cycle,
    /// The first step that is behind the front of the queue, which cycles consider.
    front_end: Option<QueueKey>,
    next_front_ms: u64,
    /// Where the next cycle goes on with steps that are not urgent; `None` at the first one.
    resume_at: Option<OrderKey>,
    /// Steps that were granted workers since a cycle last looked at them.
    answered: BTreeSet<StepId>,
    cycle_work: CycleWork,
    pair_count: PairCount,
    gang_counts: GangCounts,
}

/// The sort key of a step in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u32,
    /// Whether the customer submitted more jobs than its weight allows. Within one
    /// priority, such jobs come after all others.
    over_fair_share: bool,
    /// The time after which the job is late.
    deadline_unix_ms: u64,
    arrival: u64,
}

impl QueueKey {
    /// A key that is before all others.
    const FIRST: Self =
        Self { priority: 0, over_fair_share: false, deadline_unix_ms: 0, arrival: 0 };
}

/// Interval of the sweep, which handles what no event announces.
const SWEEP_INTERVAL_MS: u64 = 100;

/// Time between two polls from which on this process stood still.
const STANDSTILL_MS: u64 = 500;

/// Minimum time between two scheduling cycles. Otherwise each of the hundreds of run ends
/// and arrivals a second would cost a cycle over all workers.
const CYCLE_INTERVAL_MS: u64 = 8;
/// Number of workers that adds one millisecond to the interval. The cost of a cycle grows
/// with the number of workers.
const WORKERS_PER_EXTRA_MS: usize = 200;

/// How long a new leader waits for the answers to its first holds before it places tasks.
const FIRST_ANSWERS_MAX_MS: u64 = 150;

impl Pool {
    /// The state of a scheduler that has just won the leader election.
    pub fn new(election: Election, limits: Limits, now_ms: u64, unix_ms: u64) -> Self {
        Self {
            limits,
            election,
            leader_lease_renewed_ms: now_ms,
            now_ms,
            unix_ms,
            started_ms: now_ms,
            turn: 1,
            jobs: BTreeMap::new(),
            job_index: JobIndex::default(),
            removed_jobs: RemovedJobs::default(),
            cancellations: Cancellations::default(),
            customers: Customers::default(),
            workers: WorkerMap::default(),
            workers_as_of_ms: now_ms,
            removed_restarts: BTreeMap::new(),
            hold_timers: HoldTimers::default(),
            worker_names: Vec::new(),
            queue: BTreeMap::new(),
            due_steps: DueSteps::default(),
            not_due: BTreeSet::new(),
            arrivals: 0,
            commits: Commits::default(),
            estimates: Estimates::default(),
            queries: 0,
            long_queries: 0,
            advisor_daemons: 1,
            stuck_long_queries: 0,
            cycle_due: true,
            effects: Vec::new(),
            superseded: false,
            polled_ms: now_ms,
            resumed_ms: 0,
            next_sweep_ms: 0,
            next_cycle_ms: 0,
            next_wait_report_ms: 0,
            silent_leases: SilentLeases::default(),
            silent_leases_written: 0,
            steps_waiting_with_room: 0,
            cycle: Cycle::default(),
            front_end: None,
            next_front_ms: 0,
            resume_at: None,
            answered: BTreeSet::new(),
            cycle_work: CycleWork::default(),
            pair_count: PairCount::default(),
            gang_counts: GangCounts::default(),
        }
    }

    /// Restores a job that was accepted under an earlier leader, with its stored progress
    /// if it has any.
    pub fn restore(&mut self, id: JobId, spec: Arc<JobSpec>, progress: Option<&Progress>) {
        let mut job = self.new_job(id, spec);
        let Some(progress) = progress else {
            tracing::info!(job = %id, "job restored");
            self.admit(job);
            return;
        };
        job.restore(progress);
        tracing::info!(job = %id, state = %job.state(), "job restored");
        self.admit(job);
        for task in &progress.tasks {
            self.adopt(id, task);
        }
    }

    /// Allocates a task on the worker on which it may still run. If the worker is no
    /// longer listed, it is polled at its stored address; the runs that it lists, or the
    /// expiry of its lease if it is silent, tell what became of the run.
    fn adopt(&mut self, job: JobId, row: &TaskProgress) {
        let Some(name) = row.worker.clone().filter(|_| !row.done) else { return };
        let Some(job) = self.jobs.get(&job) else { return };
        let job_ended = job.outcome.is_some();
        let Some(step_state) = job.step_states.get(row.step_index as usize) else { return };
        let id = TaskId { step: step_state.id, index: row.index };
        let allocation = job.allocation(row.step_index as usize);
        let service = job.spec.queue.service.clone();
        if !self.workers.contains_key(&name) {
            let address = row.address.clone();
            self.add_worker(
                WorkerUpdate::unlisted(name.clone(), address, service, row.incarnation),
                false,
            );
        }
        let Some(worker) = self.workers.get_mut(&name) else { return };
        // A start may have reached a later incarnation than the one that it was meant
        // for. So only the first hold tells where the run is, whatever incarnation the
        // row names.
        worker.info.incarnation = worker.info.incarnation.max(row.incarnation);
        worker.allocate(id, allocation);
        self.expect_earlier_starts(id);
        if job_ended {
            // The earlier leader may have failed before its stop reached the worker.
            self.stop(id);
        }
    }

    /// Adds a worker that is not known yet.
    pub(crate) fn add_worker(&mut self, update: WorkerUpdate, listed: bool) {
        let worker_index = WorkerIndex(self.worker_names.len());
        let name = update.worker.clone();
        let lease_expiry_ms = self.inherited_lease_expiry_ms(&name);
        let silent = self.inherited_silent_mark(&name);
        let restarts_seen = self.removed_restarts.remove(&name).unwrap_or(0);
        let worker = Worker::new(worker_index, update, lease_expiry_ms);
        let worker = Worker { listed, restarts_seen, silent, ..worker };
        self.worker_names.push(name.clone());
        self.workers.insert(name, worker);
        self.hold_timers.mark_changed(worker_index);
    }

    /// Removes a worker without tasks that is not listed.
    pub(crate) fn remove_worker(&mut self, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else { return };
        self.removed_restarts.insert(name.clone(), worker.restarts_seen + 1);
        self.workers.remove(name);
    }

    /// Processes one event. `now_ms` is monotonic time, `unix_ms` is Unix time.
    pub fn handle(&mut self, now_ms: u64, unix_ms: u64, event: Event) {
        self.now_ms = self.now_ms.max(now_ms);
        self.unix_ms = unix_ms;
        if let Some(worker) = event.worker() {
            self.mark_hold_changed(&worker.clone());
        }
        match event {
            Event::Accepted { job, spec } => self.on_accepted(job, spec),
            Event::Cancelled { job, cancellation, source } => {
                self.on_cancelled(job, cancellation, source);
            }
            Event::Listed(update) => self.on_listed(update),
            Event::Unlisted { worker } => self.on_unlisted(&worker),
            Event::WorkersRead { as_of_ms } => self.workers_as_of_ms = as_of_ms,
            Event::Held { worker, turn, reply } => self.on_held(&worker, turn, reply),
            Event::Started { task, run, worker, reply } => {
                self.on_started(task, run, &worker, reply);
            }
            Event::Overdue { worker, call } => self.on_overdue(&worker, call),
            Event::Stopped { task, run, worker, reply } => {
                self.on_stopped(task, run, &worker, reply);
            }
            Event::Paced { task, run, worker, reply } => {
                self.on_paced(task, run, &worker, reply);
            }
            Event::Advised { step, asked, cost_ms, granted, issued_ms } => {
                self.on_advised(step, &asked, cost_ms, granted, issued_ms);
                self.due_steps.wake(step);
            }
            Event::Customers { limits } => self.on_customers(limits),
            Event::Advisors { count } => self.advisor_daemons = count.max(1),
            Event::StuckQueries { count } => self.stuck_long_queries = count,
            Event::JobsRead { version } => self.removed_jobs.record_read(version),
            Event::Committed { batch, partition, sent_ms, version } => {
                self.on_committed(batch, partition, sent_ms, version);
            }
            Event::Unwritable { job } => self.on_unwritable(job),
            Event::InDoubt { job } => {
                self.effects.push(Effect::Answer { job, accepted: Accepted::Unknown });
            }
            Event::Rejected { job, accepted } => self.on_rejected(job, accepted),
        }
    }

    /// Advances the pool to `now_ms` and returns the actions to be carried out now.
    pub fn poll_effects(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Effect> {
        self.poll_effects_within(now_ms, unix_ms, || false)
    }

    /// Like [`Self::poll_effects`], but places tasks only until the time is up, which is asked
    /// before each step. The next call goes on with the steps that were left.
    pub fn poll_effects_within(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        is_time_up: impl FnMut() -> bool,
    ) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        self.unix_ms = unix_ms;
        self.turn += 1;
        if self.now_ms >= self.polled_ms + STANDSTILL_MS {
            self.resumed_ms = self.now_ms;
        }
        self.polled_ms = self.now_ms;
        let is_sweep = self.now_ms >= self.next_sweep_ms;
        if is_sweep {
            self.next_sweep_ms = self.now_ms + SWEEP_INTERVAL_MS;
            self.sweep();
        }
        if self.cycle_due && self.now_ms >= self.next_cycle_ms && !self.awaits_first_answers() {
            self.cycle_due = false;
            self.next_cycle_ms = self.now_ms + self.cycle_interval_ms();
            self.place(is_time_up);
        }
        self.commit();
        self.send_due_holds(is_sweep);
        if self.superseded {
            self.effects.push(Effect::StepDown);
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether workers may still answer the first holds of a new leader, which reach all of them
    /// at about the same time. Decisions about the few that were fastest would keep the others from
    /// being considered for as long as a query to the advisor takes.
    fn awaits_first_answers(&self) -> bool {
        let may_answer = |worker: &Worker| {
            worker.listed && !worker.held && worker.unanswered_calls == 0 && worker.silent.is_none()
        };
        self.now_ms < self.started_ms + FIRST_ANSWERS_MAX_MS
            && self.workers.values().any(may_answer)
    }

    fn cycle_interval_ms(&self) -> u64 {
        CYCLE_INTERVAL_MS + (self.workers.len() / WORKERS_PER_EXTRA_MS) as u64
    }

    /// The time until [`Self::poll_effects`] has to be called again if no event arrives.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        let cycle_ms = if self.cycle_due { self.next_cycle_ms } else { u64::MAX };
        let commit_ms = self.commits.due_ms().unwrap_or(u64::MAX);
        let hold_ms = self.hold_timers.next_ms().unwrap_or(u64::MAX);
        self.next_sweep_ms.min(cycle_ms).min(commit_ms).min(hold_ms).saturating_sub(now_ms)
    }

    /// The state of a job as callers see it; `None` if the job is not known.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        self.jobs.get(&job).map(Job::state)
    }

    /// The state of a job as callers see it, and the customer that owns the job; `None`
    /// if the job is not known.
    pub fn view(&self, job: JobId) -> Option<JobView> {
        let job = self.jobs.get(&job)?;
        let customer = job.spec.customer.as_ref().map(|customer| customer.name.clone());
        Some(JobView { state: job.state(), customer })
    }

    /// The number of jobs in a queue that have not ended and that wait for their first run:
    /// no worker has confirmed the start of any of their tasks.
    pub fn pending(&self, queue: &str) -> usize {
        self.job_index.pending(queue)
    }

    /// Whether a start of one of the job's tasks was sent and may still reach its worker.
    pub fn has_start_in_flight(&self, job: JobId) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let mut tasks = job.step_states.iter().flat_map(|step_state| &step_state.tasks);
        tasks.any(Task::has_start_in_flight)
    }

    /// The jobs whose outcome is not durable, or that may still have tasks on workers.
    pub(crate) fn jobs_in_progress(&self) -> impl Iterator<Item = &Job> {
        self.job_index.in_progress().filter_map(|id| self.jobs.get(&id))
    }

    /// The availability zone of a worker; `None` if the worker is not known.
    pub fn zone(&self, worker: &WorkerId) -> Option<&ZoneName> {
        self.workers.get(worker).map(|worker| &worker.info.zone)
    }

    /// The age of the view of the list of workers: later changes may be missing.
    pub(crate) fn workers_age_ms(&self) -> u64 {
        self.now_ms.saturating_sub(self.workers_as_of_ms)
    }

    /// The number of known workers in each availability zone.
    pub fn workers_by_zone(&self) -> BTreeMap<ZoneName, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            *counts.entry(worker.info.zone.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether rows are being written or wait to be written. A daemon that stops may wait
    /// until this is `false`.
    pub fn is_committing(&self) -> bool {
        self.commits.has_pending_writes()
    }

    /// Handles what becomes due by time alone: occurrences, expired leases, unanswered
    /// stops, stalled tasks, submissions that wait for a stuck partition, and jobs whose
    /// retention is over.
    fn sweep(&mut self) {
        while let Some((due_unix_ms, step)) = self.not_due.first().copied() {
            if due_unix_ms > self.unix_ms {
                break;
            }
            self.not_due.pop_first();
            let step_index = self.jobs.get(&step.job).and_then(|job| job.step_index(step));
            if let Some(step_index) = step_index {
                self.enqueue_if_ready(step.job, step_index);
            }
        }
        self.sweep_workers();
        self.update_silent_leases();
        self.sweep_runs();
        self.sample_usage();
        self.reject_stuck_submissions();
        self.remove_expired_jobs();
        self.report_waiting_steps();
        self.cycle_due = true;
    }

    /// Records how much capacity the tasks of each priority use on each service's workers.
    fn sample_usage(&mut self) {
        let mut used: HashMap<&str, BTreeMap<u32, Resources>> = HashMap::new();
        for worker in self.workers.values() {
            let by_priority = used.entry(&worker.info.service).or_default();
            for (priority, demand) in &worker.by_priority {
                let sum = by_priority.entry(*priority).or_default();
                *sum = sum.plus(demand);
            }
        }
        for (service, by_priority) in used {
            self.estimates.record_usage(service, &by_priority);
        }
    }
}
