//! Decides where the tasks of jobs run in one pool of workers.
//!
//! [`Pool`] is the scheduler's whole state. [`Pool::handle`] handles one
//! event, [`Pool::poll_effects`] tells what has to be done. It waits for nothing and
//! reads no clock, so tests replay any schedule of failures in virtual time.
//!
//! Three facts keep a task from running twice. A start is durable before it is
//! sent. A worker that was held under a token does nothing for a lower one. A
//! run whose start brought no answer is stopped, and not started elsewhere
//! before the stop was answered and a later hold shows nothing, or before the
//! worker's lease has lapsed for sure.

mod advise;
mod choose;
mod commit;
mod customers;
mod dump;
mod event;
mod holds;
mod id;
mod job;
mod learned;
mod pace;
mod place;
mod record;
mod request;
mod reserve;
mod runs;
mod spec;
mod speed;
mod stalled;
mod submit;
mod wakeup;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;

use crate::commit::Commits;
use crate::customers::Customers;
use crate::job::Job;
use crate::job::Phase;
use crate::learned::Learned;
use crate::worker::Slot;
use crate::worker::Worker;

pub use crate::advise::LONG_ASK_MS;
pub use crate::advise::long_questions_max;
pub use crate::commit::PartitionWrite;
pub use crate::commit::Put;
pub use crate::customers::CustomerLimits;
pub use crate::dump::Counts;
pub use crate::dump::CustomerDump;
pub use crate::dump::PoolDump;
pub use crate::dump::WorkerDump;
pub use crate::event::ActiveRun;
pub use crate::event::CallError;
pub use crate::event::Callee;
pub use crate::event::Effect;
pub use crate::event::EndedRun;
pub use crate::event::Event;
pub use crate::event::Grant;
pub use crate::event::HoldCall;
pub use crate::event::HoldReply;
pub use crate::event::PaceCall;
pub use crate::event::RunOutcome;
pub use crate::event::StartCall;
pub use crate::event::StartReply;
pub use crate::event::StopCall;
pub use crate::event::WorkerUpdate;
pub use crate::holds::EXTEND_MS;
pub use crate::id::IdError;
pub use crate::id::JobId;
pub use crate::id::PARTITIONS;
pub use crate::id::StepId;
pub use crate::id::TaskId;
pub use crate::record::JobState;
pub use crate::record::JobView;
pub use crate::record::Outcome;
pub use crate::record::Progress;
pub use crate::record::TaskProgress;
pub use crate::spec::AdviceSpec;
pub use crate::spec::JobSpec;
pub use crate::spec::QueueSpec;
pub use crate::spec::Repeat;
pub use crate::spec::SpecError;
pub use crate::spec::StepSpec;
pub use crate::submit::Accepted;

/// Bits of a token below the epoch; they count a worker's lives.
const INCARNATION_BITS: u32 = 12;

/// Figures that the installation sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a worker keeps things running without hearing from us.
    pub lease_ms: u64,
    /// The longest lease that a worker grants to anybody.
    pub lease_max_ms: u64,
    /// How long a finished job is remembered.
    pub job_retention_ms: u64,
    /// How many workers one question to the advisor may name.
    pub advice_workers_max: usize,
    /// About how many bytes of rows one batch may hold; the renewal of the leader's
    /// lease waits behind it.
    pub batch_bytes_max: usize,
}

/// How a scheduler came to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Election {
    /// Rises with every change of scheduler; the high part of every token.
    pub epoch: u64,
    /// For how long from now on an earlier scheduler, which may not know of this
    /// one, may go on extending leases.
    pub earlier_extends_ms: u64,
}

/// The scheduler of one pool.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    election: Election,
    /// When the duty was last renewed.
    renewed_ms: u64,
    now_ms: u64,
    unix_ms: u64,
    started_ms: u64,
    /// Counts the calls of [`Pool::poll_effects`]: what is asked for in a later turn than
    /// an answer was taken in, is asked after it.
    turn: u64,
    jobs: BTreeMap<JobId, Job>,
    /// Cancellations of jobs that are not known yet.
    early_cancels: BTreeSet<JobId>,
    customers: Customers,
    workers: BTreeMap<WorkerId, Worker>,
    /// Names of workers by their slots.
    names: Vec<WorkerId>,
    /// Units with tasks to place: priority, whether beyond a weight, due time, arrival.
    queue: BTreeMap<QueueKey, StepId>,
    /// Units of occurrences that are not due yet.
    timed: BTreeSet<(u64, StepId)>,
    arrivals: u64,
    commits: Commits,
    learned: Learned,
    /// Questions to the advisor that are under way, and the long ones among them.
    questions: usize,
    long_questions: usize,
    /// Daemons through which the advisor can be asked.
    advisors: usize,
    place_due: bool,
    effects: Vec<Effect>,
    deposed: bool,
    next_sweep_ms: u64,
    next_place_ms: u64,
}

/// The order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u32,
    /// What a customer sends beyond its weight waits for what others send within theirs.
    beyond_weight: bool,
    due_ms: u64,
    arrival: u64,
}

/// How often things that no event announces are looked at.
const SWEEP_EVERY_MS: u64 = 100;

/// Least time between two passes over the queue. Hundreds of ends and arrivals a
/// second would each cost a cycle over all workers.
const PLACE_EVERY_MS: u64 = 8;
/// A millisecond is added to it for each so many workers, since a cycle costs with them.
const WORKERS_EACH_MS: usize = 200;

impl Pool {
    /// A scheduler that has just been elected.
    pub fn new(election: Election, limits: Limits, now_ms: u64, unix_ms: u64) -> Self {
        Self {
            limits,
            election,
            renewed_ms: now_ms,
            now_ms,
            unix_ms,
            started_ms: now_ms,
            turn: 1,
            jobs: BTreeMap::new(),
            early_cancels: BTreeSet::new(),
            customers: Customers::default(),
            workers: BTreeMap::new(),
            names: Vec::new(),
            queue: BTreeMap::new(),
            timed: BTreeSet::new(),
            arrivals: 0,
            commits: Commits::default(),
            learned: Learned::default(),
            questions: 0,
            long_questions: 0,
            advisors: 1,
            place_due: true,
            effects: Vec::new(),
            deposed: false,
            next_sweep_ms: 0,
            next_place_ms: 0,
        }
    }

    /// Puts a job back that was accepted before this scheduler began.
    pub fn restore(&mut self, id: JobId, spec: Arc<JobSpec>, progress: Option<&Progress>) {
        let mut job = self.new_job(id, spec);
        let Some(progress) = progress else {
            self.admit(job);
            return;
        };
        job.restore(progress);
        self.admit(job);
        for task in &progress.tasks {
            self.adopt(id, task);
        }
    }

    /// Notes where a task may run. The worker may be listed no more; then it is
    /// asked at the address it had, and whatever it lists or its silence tells.
    fn adopt(&mut self, job: JobId, row: &TaskProgress) {
        let Some(name) = row.worker.clone().filter(|_| !row.done) else { return };
        let Some(job) = self.jobs.get(&job) else { return };
        let over = job.outcome.is_some();
        let Some(unit) = job.units.get(row.unit as usize) else { return };
        let id = TaskId { step: unit.id, index: row.index };
        let taken = job.taken(row.unit as usize);
        let service = job.spec.queue.service.clone();
        if !self.workers.contains_key(&name) {
            let address = row.address.clone();
            self.add_worker(
                WorkerUpdate::unlisted(name.clone(), address, service, row.incarnation),
                false,
            );
        }
        let Some(worker) = self.workers.get_mut(&name) else { return };
        // A start may have reached a later life than the one that it was meant
        // for, so whatever the rows say of lives, the first hold tells.
        worker.info.incarnation = worker.info.incarnation.max(row.incarnation);
        worker.take(id, taken);
        if over {
            // The earlier scheduler may have died before its stop got there.
            self.stop(id);
        }
    }

    /// Adds a worker that is not known.
    pub(crate) fn add_worker(&mut self, update: WorkerUpdate, listed: bool) {
        let slot = Slot(self.names.len());
        let name = update.worker.clone();
        let worker = Worker { listed, ..Worker::new(slot, update, self.earlier_lapse_ms()) };
        self.names.push(name.clone());
        self.workers.insert(name, worker);
    }

    /// Handles one event.
    pub fn handle(&mut self, now_ms: u64, unix_ms: u64, event: Event) {
        self.now_ms = self.now_ms.max(now_ms);
        self.unix_ms = unix_ms;
        match event {
            Event::Accepted { job, spec } => self.on_accepted(job, spec),
            Event::Cancelled { job } => self.on_cancelled(job),
            Event::Listed(update) => self.on_listed(update),
            Event::Unlisted { worker } => self.on_unlisted(&worker),
            Event::Held { worker, turn, reply } => self.on_held(&worker, turn, reply),
            Event::Started { task, run, worker, reply } => {
                self.on_started(task, run, &worker, reply);
            }
            Event::Stopped { task, run, worker, reply } => {
                self.on_stopped(task, run, &worker, reply);
            }
            Event::Paced { task, run, worker, reply } => {
                self.on_paced(task, run, &worker, reply);
            }
            Event::Advised { step, asked, cost_ms, granted, received_ms } => {
                self.on_advised(step, &asked, cost_ms, granted, received_ms);
            }
            Event::Customers { limits } => self.on_customers(limits),
            Event::Advisors { count } => self.advisors = count.max(1),
            Event::Committed { batch, partition } => self.on_committed(batch, partition),
            Event::InDoubt { job } => {
                self.effects.push(Effect::Answer { job, accepted: Accepted::Unknown });
            }
            Event::Rejected { job, accepted } => self.on_rejected(job, accepted),
        }
    }

    /// What has to be done by now.
    pub fn poll_effects(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        self.unix_ms = unix_ms;
        self.turn += 1;
        if self.now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = self.now_ms + SWEEP_EVERY_MS;
            self.sweep();
        }
        if self.place_due && self.now_ms >= self.next_place_ms {
            self.place_due = false;
            self.next_place_ms = self.now_ms + self.place_every_ms();
            self.place();
        }
        self.commit();
        self.call_workers();
        if self.deposed {
            self.effects.push(Effect::StepDown);
        }
        std::mem::take(&mut self.effects)
    }

    fn place_every_ms(&self) -> u64 {
        PLACE_EVERY_MS + (self.workers.len() / WORKERS_EACH_MS) as u64
    }

    /// How long until something is due that no event announces.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        let place_ms = if self.place_due { self.next_place_ms } else { u64::MAX };
        let commit_ms = self.commits.due_ms().unwrap_or(u64::MAX);
        self.next_sweep_ms.min(place_ms).min(commit_ms).saturating_sub(now_ms)
    }

    /// What callers are told of a job; `None` is an unknown one.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        self.jobs.get(&job).map(Job::state)
    }

    /// What callers are told of a job, and whose it is.
    pub fn view(&self, job: JobId) -> Option<JobView> {
        let job = self.jobs.get(&job)?;
        let customer = job.spec.customer.as_ref().map(|customer| customer.name.clone());
        Some(JobView { state: job.state(), customer })
    }

    /// Jobs of a queue of which no task has begun yet, by what workers have said.
    pub fn pending(&self, queue: &str) -> usize {
        let pending =
            |job: &&Job| !job.begun && job.outcome.is_none() && job.spec.queue.name == queue;
        self.jobs.values().filter(pending).count()
    }

    /// The availability zone of a worker.
    pub fn zone(&self, worker: &WorkerId) -> Option<&ZoneName> {
        self.workers.get(worker).map(|worker| &worker.info.zone)
    }

    /// Workers in each availability zone.
    pub fn workers_by_zone(&self) -> BTreeMap<ZoneName, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            *counts.entry(worker.info.zone.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether a commit is under way, so that a stop may wait for it.
    pub fn is_committing(&self) -> bool {
        self.commits.is_busy()
    }

    fn on_accepted(&mut self, id: JobId, spec: Arc<JobSpec>) {
        if self.jobs.contains_key(&id) {
            // A gateway wrote it itself while it was under way here.
            self.on_accept_durable(id);
            return;
        }
        tracing::info!(job = %id, queue = spec.queue.name, "job taken on");
        let job = self.new_job(id, spec);
        self.admit(job);
        if self.early_cancels.remove(&id) {
            self.on_cancelled(id);
        }
    }

    fn new_job(&mut self, id: JobId, spec: Arc<JobSpec>) -> Job {
        let customer = spec.customer.as_ref().map(|limits| self.customers.id_of(limits));
        let accepted_ms = spec.accepted_unix_ms;
        let within = customer.is_none_or(|id| self.customers.note_arrival(id, accepted_ms));
        Job { beyond_weight: !within, ..Job::new(id, spec, customer) }
    }

    fn on_customers(&mut self, limits: Vec<CustomerLimits>) {
        self.customers.update(limits);
        self.place_due = true;
    }

    fn admit(&mut self, job: Job) {
        let id = job.id;
        let units = job.units.len();
        let over = job.outcome.is_some();
        self.jobs.insert(id, job);
        if over {
            return;
        }
        for unit in 0..units {
            self.enqueue_if_ready(id, unit);
        }
        self.place_due = true;
    }

    /// Puts a unit into the queue if it has tasks to place and nothing to wait for.
    fn enqueue_if_ready(&mut self, id: JobId, unit: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.outcome.is_some() || job.units[unit].queued || !job.is_ready(unit) {
            return;
        }
        if job.units[unit].waiting().next().is_none() {
            return;
        }
        let step = job.units[unit].id;
        let due_unix_ms = job.spec.due_unix_ms(step.occurrence);
        if due_unix_ms > self.unix_ms {
            self.timed.insert((due_unix_ms, step));
            return;
        }
        job.units[unit].queued = true;
        let late_unix_ms = job.spec.accepted_unix_ms.max(due_unix_ms) + job.spec.allowed_ms();
        let key = QueueKey {
            priority: job.spec.queue.priority,
            beyond_weight: job.beyond_weight,
            due_ms: late_unix_ms,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.queue.insert(key, step);
        self.place_due = true;
    }

    fn on_cancelled(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.early_cancels.insert(id);
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        tracing::info!(job = %id, "job cancelled");
        self.finish(id, Outcome::Cancelled);
    }

    /// Ends a job: nothing of it is started any more, what runs is stopped.
    fn finish(&mut self, id: JobId, outcome: Outcome) {
        let unix_ms = self.unix_ms;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = Some(outcome);
        job.finished_unix_ms = unix_ms;
        let tasks: Vec<TaskId> = tasks_anywhere(job);
        for task in tasks {
            self.stop(task);
        }
        self.commits.settle(id);
        self.place_due = true;
    }

    /// What only time announces: due occurrences, leases that lapsed, stops
    /// without answer, tasks that stand still, jobs to be forgotten.
    fn sweep(&mut self) {
        while let Some((due_unix_ms, step)) = self.timed.first().copied() {
            if due_unix_ms > self.unix_ms {
                break;
            }
            self.timed.pop_first();
            let unit = self.jobs.get(&step.job).and_then(|job| job.unit_of(step));
            if let Some(unit) = unit {
                self.enqueue_if_ready(step.job, unit);
            }
        }
        self.sweep_workers();
        self.sweep_runs();
        self.look_at_use();
        self.refuse_behind_stuck();
        self.forget_jobs();
        self.place_due = true;
    }

    fn look_at_use(&mut self) {
        let mut used: HashMap<&str, BTreeMap<u32, Resources>> = HashMap::new();
        for worker in self.workers.values() {
            let ranks = used.entry(&worker.info.service).or_default();
            for (task, taken) in &worker.tasks {
                let Some(job) = self.jobs.get(&task.step.job) else { continue };
                let sum = ranks.entry(job.spec.queue.priority).or_default();
                *sum = sum.plus(&taken.room);
            }
        }
        for (service, ranks) in used {
            self.learned.saw_use(service, &ranks);
        }
    }

    fn forget_jobs(&mut self) {
        let old = |job: &&Job| {
            job.settled
                && !job.is_anywhere()
                && job.finished_unix_ms + self.limits.job_retention_ms < self.unix_ms
        };
        let gone: Vec<JobId> = self.jobs.values().filter(old).map(|job| job.id).collect();
        for id in gone {
            self.jobs.remove(&id);
            self.commits.remove(id);
        }
    }
}

fn tasks_anywhere(job: &Job) -> Vec<TaskId> {
    let mut tasks = Vec::new();
    for unit in &job.units {
        for (index, task) in unit.tasks.iter().enumerate() {
            if task.worker.is_some() && task.phase != Phase::Done {
                tasks.push(TaskId { step: unit.id, index: index as u32 });
            }
        }
    }
    tasks
}
