//! A simulation of a pool with its workers, store and network, in virtual time.
//!
//! Faults between the scheduler and its workers are injected at random from a seed: calls
//! and answers are lost or delayed by seconds, workers crash, become unreachable and
//! restart as new incarnations, and the scheduler is replaced while its calls are still in
//! flight. The simulation checks what the workers do and records every violation of an
//! invariant.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod charge;
mod checks;
mod faults;
mod jobs;
mod seeds;
mod waits;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::Accepted;
use stoatwell_pool::CallError;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Cancellation;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::EndedRun;
use stoatwell_pool::Event;
use stoatwell_pool::GangLimits;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Limits;
use stoatwell_pool::PartitionWrite;
use stoatwell_pool::Pool;
use stoatwell_pool::Progress;
use stoatwell_pool::Removal;
use stoatwell_pool::SilentLease;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::TaskId;
use stoatwell_pool::TaskProgress;

pub use self::charge::Charge;
use self::charge::LeaderTime;
pub use self::faults::Faults;
pub use self::jobs::job;
pub use self::jobs::queue;
pub use self::jobs::step;
pub use self::waits::Waits;
use self::worker::Call;
use self::worker::Reply;
use self::worker::Worker;

/// The length of the leases that schedulers request, and the longest that workers grant unless a
/// test says otherwise.
pub const LEASE_MS: u64 = 6_000;

/// How often the scheduler's daemon renews the leader lease.
const RENEW_INTERVAL_MS: u64 = 500;
/// How much later the rest of a batch is written after its submissions were refused.
const REFUSED_BATCH_MS: u64 = 200;

/// The simulation of one pool.
pub struct World {
    pub now_ms: u64,
    pub rng: Pcg64,
    /// Draws the losses of renewals of the leader lease.
    renewal_rng: Pcg64,
    pub faults: Faults,
    /// How long late calls are on their way; `None` for 2 to 12 s, drawn for each.
    pub late_ms: Option<u64>,
    /// When the scheduler learns that a call got no answer.
    pub no_answer_ms: u64,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub violations: Vec<String>,
    /// Jobs of customers with a cap that wait needlessly.
    pub waits: Waits,
    pub starts: u64,
    /// The number of stops that schedulers have sent.
    pub stops: u64,
    /// Time that the scheduler has spent in `poll_effects`, by the machine's clock.
    pub deciding: Duration,
    /// Workers that are up but missing from the list that the scheduler gets.
    pub unlisted: BTreeSet<WorkerId>,
    /// The advisor grants about this many of five workers.
    pub granted_of_five: u64,
    /// The number of workers that the latest query to the advisor named.
    pub last_query_workers: usize,
    /// How long the advisor takes to answer a query.
    pub advice_ms: u64,
    /// How long the advisor's answers wait before the scheduler handles them.
    pub backlog_ms: u64,
    /// How long the store takes to write a batch.
    pub commit_ms: u64,
    /// Whether workers refuse starts with expired tickets.
    pub tickets_expire: bool,
    /// The number of starts that were refused because of an expired ticket.
    pub bad_tickets: u64,
    /// Whether the scheduler's daemon can renew the leader lease. Without it nothing is written.
    pub can_renew_lease: bool,
    /// Whether the store refuses rows of submissions; the rest of their batch is written late.
    pub refuses_submissions: bool,
    /// Whether the scheduler is notified of cancellations.
    pub notifies_cancellations: bool,
    /// Partitions of the store that never answer.
    pub stuck_partitions: BTreeSet<usize>,
    /// The number of batches sent to the store.
    pub batches: u64,
    /// The silent workers that the row of the leader lease names, with the remaining times of
    /// their leases when it was written.
    silent_leases: BTreeMap<WorkerId, u64>,
    /// The generation of the list of silent workers in the last write of that row.
    renewed_generation: u64,
    submission_results: BTreeMap<JobId, Accepted>,
    /// The customers of the manifest.
    pub customers: BTreeMap<CustomerName, CustomerLimits>,
    /// Each customer's CPU caps, with the times from which they were in force.
    caps: BTreeMap<CustomerName, Vec<(u64, u64)>>,
    pool: Pool,
    limits: Limits,
    epoch: u64,
    jobs: BTreeMap<JobId, Arc<JobSpec>>,
    progress: BTreeMap<JobId, Progress>,
    cancelled: BTreeMap<JobId, u64>,
    /// Tasks whose completion the scheduler has acknowledged to their worker.
    acknowledged_done: BTreeSet<TaskId>,
    /// Starts of tasks that had ended as done, by the worker, its incarnation and the number of that
    /// end: a violation once the end is acknowledged.
    starts_after_done: BTreeMap<(WorkerId, u64, u64), Vec<String>>,
    /// The share of failed runs when the first member of each run of a gang started.
    gang_failures: BTreeMap<(StepId, u32), u32>,
    timeline: BTreeMap<(u64, u64), TimedEvent>,
    last_sequence: u64,
    /// The number of steps after which the time of a decision is up; `None` if it never is.
    pub decision_steps_max: Option<u64>,
    /// The time that the scheduler's work takes; `None` if it takes none.
    pub charge: Option<Charge>,
    leader_time: LeaderTime,
}

enum TimedEvent {
    /// A call arrives at a worker, or the wait of a hold there goes on. Whichever incarnation is up
    /// takes a call that arrives; a hold that waits ends with its incarnation. `answered` is
    /// false if the answer is lost.
    CallArrives { epoch: u64, waits_at: Option<u64>, call: Call, answered: bool },
    /// An event for the scheduler of this epoch; dropped if another one leads by then.
    Event(u64, Event),
    /// A worker becomes reachable again.
    Reachable(WorkerId),
    /// A worker that crashed is up and listed again.
    Listed(WorkerId),
}

impl World {
    /// A pool of workers with 16 cores each.
    pub fn new(seed: u64, workers: usize, faults: Faults) -> Self {
        Self::with_lease_max(seed, workers, faults, LEASE_MS)
    }

    /// A pool of workers that grant leases of at most `lease_max_ms`.
    pub fn with_lease_max(seed: u64, workers: usize, faults: Faults, lease_max_ms: u64) -> Self {
        let limits = limits(lease_max_ms);
        let mut world = Self {
            now_ms: 1_000,
            rng: Pcg64::seed_from_u64(seed),
            renewal_rng: Pcg64::seed_from_u64(!seed),
            faults,
            late_ms: None,
            no_answer_ms: 1_000,
            workers: BTreeMap::new(),
            violations: Vec::new(),
            waits: Waits::default(),
            starts: 0,
            stops: 0,
            deciding: Duration::ZERO,
            unlisted: BTreeSet::new(),
            granted_of_five: 3,
            last_query_workers: 0,
            advice_ms: 80,
            backlog_ms: 0,
            commit_ms: 12,
            tickets_expire: false,
            bad_tickets: 0,
            can_renew_lease: true,
            refuses_submissions: false,
            notifies_cancellations: true,
            stuck_partitions: BTreeSet::new(),
            batches: 0,
            silent_leases: BTreeMap::new(),
            renewed_generation: 0,
            submission_results: BTreeMap::new(),
            customers: BTreeMap::new(),
            caps: BTreeMap::new(),
            pool: Pool::new(elected(1), limits, 1_000, 1_000),
            limits,
            epoch: 1,
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            acknowledged_done: BTreeSet::new(),
            starts_after_done: BTreeMap::new(),
            gang_failures: BTreeMap::new(),
            timeline: BTreeMap::new(),
            last_sequence: 0,
            decision_steps_max: None,
            charge: None,
            leader_time: LeaderTime::default(),
        };
        for number in 0..workers {
            let name = WorkerId::new(format!("w{number:02}"));
            let clock_slow_permille = world.rng.random_range(0..20);
            world
                .workers
                .insert(name.clone(), Worker::new(name, clock_slow_permille, lease_max_ms));
        }
        world.list_all();
        world
    }

    /// Sets a customer's cap in the manifest and notifies the scheduler.
    pub fn set_cap(&mut self, customer: &CustomerName, weight: f64, cap: Resources) {
        self.write_cap(customer, weight, cap);
        self.notify_customers();
    }

    /// Sets a customer's cap in the manifest without notifying the scheduler.
    pub fn write_cap(&mut self, customer: &CustomerName, weight: f64, cap: Resources) {
        let limits = CustomerLimits { name: customer.clone(), weight, cap };
        self.customers.insert(customer.clone(), limits);
        let caps = self.caps.entry(customer.clone()).or_default();
        let cpu_millis = if cap.cpu_millis == 0 { u64::MAX } else { cap.cpu_millis };
        caps.push((self.now_ms, cpu_millis));
    }

    fn notify_customers(&mut self) {
        let limits = self.customers.values().cloned().collect();
        self.notify(Event::Customers { limits });
    }

    /// Notifies the scheduler of a job that is durable already.
    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        let (job, spec) = (JobId(id), Arc::new(spec));
        self.jobs.insert(job, Arc::clone(&spec));
        self.receive(Event::Accepted { job, spec });
    }

    /// Submits a job through the scheduler, which has to make it durable.
    pub fn submit_via_scheduler(&mut self, id: u64, spec: JobSpec) {
        let (job, spec) = (JobId(id), Arc::new(spec));
        if let Some(accepted) = self.pool.submit(self.now_ms, self.now_ms, job, spec) {
            self.submission_results.insert(job, accepted);
        }
    }

    /// The result that the caller got who submitted a job through the scheduler; `None` if it
    /// got none so far.
    pub fn submission_result(&self, id: u64) -> Option<Accepted> {
        self.submission_results.get(&JobId(id)).copied()
    }

    /// Cancels a job, durably from now on.
    pub fn cancel(&mut self, id: u64) {
        self.cancelled.entry(JobId(id)).or_insert(self.now_ms);
        if !self.notifies_cancellations {
            return;
        }
        self.notify(cancelled(JobId(id), CancelSource::Notification));
    }

    /// The state that callers see; `None` if the scheduler does not know the job.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.pool.state(JobId(id))
    }

    /// The customer that owns a job in the scheduler's view.
    pub fn owner(&self, id: u64) -> Option<CustomerName> {
        self.pool.view(JobId(id))?.customer
    }

    /// The jobs that are neither completed, failed nor cancelled.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let is_finished = |job: &&JobId| {
            matches!(
                self.pool.state(**job),
                Some(JobState::Completed | JobState::Failed | JobState::Cancelled)
            )
        };
        self.jobs.keys().filter(|job| !is_finished(job)).copied().collect()
    }

    /// The number of workers whose leases the leader lease has to name.
    pub fn silent_workers(&self) -> usize {
        self.pool.silent_leases().leases.len()
    }

    /// The current totals of the scheduler.
    pub fn counts(&self) -> stoatwell_pool::Counts {
        self.pool.counts()
    }

    /// The work of all scheduling cycles of the present scheduler.
    pub fn cycle_work(&self) -> stoatwell_pool::CycleWork {
        self.pool.cycle_work()
    }

    /// Whether the store has the row of a job.
    pub fn is_stored(&self, id: u64) -> bool {
        self.jobs.contains_key(&JobId(id))
    }

    /// The number of jobs of queue `q1` that count as waiting.
    pub fn pending(&self) -> usize {
        self.pool.pending("q1")
    }

    /// Writes the row of a start that was recorded but never sent.
    pub fn write_unsent_start(&mut self, id: u64) {
        let name = self.workers.keys().next().cloned();
        let task = TaskProgress { run: 1, worker: name, incarnation: 1, ..TaskProgress::default() };
        let progress = Progress { tasks: vec![task], ..Progress::default() };
        self.progress.insert(JobId(id), progress);
    }

    /// The sum of the paces of all best-effort runs, in percent of one run at full pace.
    pub fn best_effort_pace_percent(&self) -> u64 {
        self.workers.values().map(Worker::best_effort_pace_percent).sum()
    }

    /// The progress of the most advanced run, in percent.
    pub fn furthest_percent(&self) -> u64 {
        self.workers.values().map(Worker::furthest_percent).max().unwrap_or(0)
    }

    /// The scheduler's explanation of why a job is in its state.
    pub fn explain(&self, job: JobId) -> String {
        self.pool.explain(job).join("\n")
    }

    /// Sets the number of daemons through which the advisor can be queried.
    pub fn set_advisor_daemons(&mut self, count: usize) {
        self.notify(Event::Advisors { count });
    }

    /// Advances time in steps of 5 ms.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 5;
            while let Some(entry) = self.timeline.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let item = entry.remove();
                self.process(item);
            }
            if self.now_ms.is_multiple_of(100) {
                self.inject_faults();
            }
            self.advance_workers();
            if !self.is_leader_busy() {
                self.handle_inbox();
                self.apply_effects();
            }
            let generation = self.pool.silent_leases().generation;
            if self.now_ms.is_multiple_of(RENEW_INTERVAL_MS)
                || generation != self.renewed_generation
            {
                self.renewed_generation = generation;
                self.renew_leader_lease();
            }
            self.check_invariants();
            if self.now_ms.is_multiple_of(100) {
                self.violations.extend(self.pool.tasks_without_wakeup());
                self.violations.extend(self.pool.cycle_state_faults());
                self.check_waits();
            }
        }
    }

    /// Writes the row of the leader lease. One in five writes is lost with its response, or only
    /// the response is.
    fn renew_leader_lease(&mut self) {
        let is_write_lost = self.renewal_rng.random_range(0..10) == 0;
        let is_response_lost = self.renewal_rng.random_range(0..10) == 0;
        if !self.can_renew_lease || is_write_lost {
            return;
        }
        let silent = self.pool.silent_leases().clone();
        let remaining = |lease: &SilentLease| {
            (lease.worker.clone(), lease.expires_ms.saturating_sub(self.now_ms))
        };
        self.silent_leases = silent.leases.iter().map(remaining).collect();
        if !is_response_lost {
            self.pool.on_silent_leases_written(silent.generation);
        }
    }

    /// Replaces the scheduler by one with the next epoch that restores its state from the
    /// rows; calls of the former one are still in flight.
    pub fn fail_over(&mut self) {
        self.epoch += 1;
        let election =
            Election { silent_leases: self.silent_leases.clone(), ..elected(self.epoch) };
        self.pool = Pool::new(election, self.limits, self.now_ms, self.now_ms);
        self.notify_customers();
        for (job, spec) in &self.jobs {
            self.pool.restore(*job, Arc::clone(spec), self.progress.get(job));
        }
        for job in self.cancelled.keys().copied().collect::<Vec<_>>() {
            self.notify(cancelled(job, CancelSource::WholeRead));
        }
        self.list_all();
        self.charge_restore();
    }

    /// Crashes a worker, which loses its state and is listed as a new incarnation after 1.5 s.
    pub fn crash(&mut self, name: &WorkerId) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.crash(now_ms);
        }
        self.schedule(1_500, TimedEvent::Listed(name.clone()));
    }

    /// Lets the scheduler decide, without any progress of time.
    pub fn decide(&mut self) {
        self.now_ms += 100;
        self.apply_effects();
    }

    /// Lets the scheduler handle an answer of one idle worker, and decide what is due then.
    pub fn answer_hold(&mut self, number: usize) {
        let index = number % self.workers.len();
        let worker = self.workers.keys().nth(index).cloned().expect("a worker");
        let reply = Ok(HoldReply { clock_ms: self.now_ms, life: 1, ..HoldReply::default() });
        self.notify(Event::Held { worker, turn: u64::MAX, reply });
        self.pool.poll_effects(self.now_ms, self.now_ms);
    }

    /// Restarts a worker at once, as a new incarnation that is not listed yet.
    pub fn restart_unnoticed(&mut self, name: &WorkerId) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.crash(now_ms);
            worker.up = true;
        }
    }

    /// The starts on their way that will get no answer, by the time at which they arrive.
    pub fn late_starts(&self) -> impl Iterator<Item = (u64, &StartCall)> {
        self.timeline.iter().filter_map(|((at_ms, _), item)| match item {
            TimedEvent::CallArrives { call: Call::Start(start), answered: false, .. } => {
                Some((*at_ms, start))
            }
            _ => None,
        })
    }

    /// Makes a worker unreachable for a while: calls to it are lost.
    pub fn isolate(&mut self, name: &WorkerId, for_ms: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.isolated = true;
        }
        self.schedule(for_ms, TimedEvent::Reachable(name.clone()));
    }

    /// Refuses connections to a worker for a while, though it continues to run.
    pub fn refuse_connections(&mut self, name: &WorkerId, for_ms: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refuses_connections = true;
        }
        self.schedule(for_ms, TimedEvent::Reachable(name.clone()));
    }

    /// Breaks all connections to workers: the calls in flight are carried out and get no answer.
    pub fn reset_connections(&mut self) {
        let reset_ms = self.now_ms + 1;
        for (key, item) in std::mem::take(&mut self.timeline) {
            let item = match item {
                TimedEvent::CallArrives { epoch, waits_at, call, answered: true } => {
                    let event = call.to_event(Err(CallError::NoAnswer));
                    self.schedule(1, TimedEvent::Event(epoch, event));
                    TimedEvent::CallArrives { epoch, waits_at, call, answered: false }
                }
                TimedEvent::Event(epoch, event) => match unanswered(&event) {
                    Some(event) => {
                        self.timeline.insert((reset_ms, key.1), TimedEvent::Event(epoch, event));
                        continue;
                    }
                    None => TimedEvent::Event(epoch, event),
                },
                other => other,
            };
            self.timeline.insert(key, item);
        }
    }

    /// Lets a worker announce that it will leave.
    pub fn drain(&mut self, name: &WorkerId) {
        self.workers.get_mut(name).expect("known").draining = true;
        self.list_all();
    }

    /// After ten seconds, restarts the workers that were isolated for good, as new
    /// incarnations without runs.
    pub fn replace_isolated_workers(&mut self) {
        self.run(10_000);
        let permanently_isolated = |worker: &&Worker| worker.permanently_isolated;
        let names: Vec<WorkerId> = self
            .workers
            .values()
            .filter(permanently_isolated)
            .map(|worker| worker.name.clone())
            .collect();
        for name in names {
            self.crash(&name);
            self.workers.get_mut(&name).expect("known").permanently_isolated = false;
        }
    }

    /// Removes a worker from the list that the scheduler gets.
    pub fn unlist(&mut self, name: &WorkerId) {
        self.unlisted.insert(name.clone());
        self.notify(Event::Unlisted { worker: name.clone() });
    }

    /// Notifies the scheduler of the present state of all listed workers.
    pub fn list_all(&mut self) {
        let updates: Vec<_> = self
            .workers
            .values()
            .filter(|worker| worker.up && !self.unlisted.contains(&worker.name))
            .map(Worker::update)
            .collect();
        for update in updates {
            self.notify(Event::Listed(update));
        }
    }

    fn notify(&mut self, event: Event) {
        self.pool.handle(self.now_ms, self.now_ms, event);
    }

    fn schedule(&mut self, in_ms: u64, item: TimedEvent) {
        self.last_sequence += 1;
        self.timeline.insert((self.now_ms + in_ms, self.last_sequence), item);
    }

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }

    fn process(&mut self, item: TimedEvent) {
        match item {
            TimedEvent::Event(epoch, event) if epoch == self.epoch => self.receive(event),
            TimedEvent::Event(..) => {}
            TimedEvent::Reachable(name) => {
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.isolated = false;
                    worker.refuses_connections = false;
                }
            }
            TimedEvent::Listed(name) => {
                let Some(worker) = self.workers.get_mut(&name) else { return };
                worker.up = true;
                let update = worker.update();
                self.notify(Event::Listed(update));
            }
            TimedEvent::CallArrives { epoch, waits_at, call, answered } => {
                self.deliver(epoch, waits_at, call, answered);
            }
        }
    }

    fn deliver(&mut self, epoch: u64, waits_at: Option<u64>, call: Call, answered: bool) {
        let Some(worker) = self.workers.get_mut(call.worker()) else { return };
        if worker.up && waits_at.is_some_and(|incarnation| worker.incarnation != incarnation) {
            // The connection ended with the incarnation that it led to.
            let event = call.to_event(Err(CallError::NoAnswer));
            self.schedule(1, TimedEvent::Event(epoch, event));
            return;
        }
        if worker.isolated || worker.permanently_isolated {
            let event = call.to_event(Err(CallError::NoAnswer));
            self.schedule(900, TimedEvent::Event(epoch, event));
            return;
        }
        if !worker.up || worker.refuses_connections {
            let event = call.to_event(Err(CallError::Refused));
            self.schedule(2, TimedEvent::Event(epoch, event));
            return;
        }
        if let Call::Hold(hold) = &call {
            let incarnation = worker.incarnation;
            for ended in worker.forget(hold.forget, hold.to.token) {
                let EndedRun { task, number, .. } = ended;
                tracing::info!(at = self.now_ms, %task, worker = %hold.to.worker, token = hold.to.token, "WORLD noted");
                self.acknowledged_done.insert(task);
                let key = (hold.to.worker.clone(), incarnation, number);
                self.violations.extend(self.starts_after_done.remove(&key).unwrap_or_default());
            }
        }
        let incarnation = worker.incarnation;
        let is_start = matches!(call, Call::Start(_));
        let mut reply = worker.handle(&call, self.now_ms);
        if self.tickets_expire && matches!(reply, Reply::Started { .. }) && self.has_expired(&call)
        {
            self.bad_tickets += 1;
            reply = Reply::Refused(StartReply::BadTicket);
        }
        if is_start && matches!(reply, Reply::Started { .. }) {
            self.check_start(&call);
        }
        if !answered {
            return;
        }
        if matches!(reply, Reply::Waiting) {
            let (waits_at, call) = (Some(incarnation), call.after_wait(20));
            self.schedule(20, TimedEvent::CallArrives { epoch, waits_at, call, answered });
            return;
        }
        let event = call.to_event(Ok(reply));
        let delay_ms = self.rng.random_range(1..15);
        self.schedule(delay_ms, TimedEvent::Event(epoch, event));
    }

    /// A ticket that names the incarnation of its worker and when it was issued.
    fn ticket(&self, worker: &WorkerId, issued_ms: u64) -> String {
        let incarnation = self.workers.get(worker).map_or(0, |worker| worker.incarnation);
        format!("{incarnation}@{issued_ms}")
    }

    /// Whether a start carries an expired ticket or that of another incarnation, or none where one
    /// is needed.
    fn has_expired(&self, call: &Call) -> bool {
        let Call::Start(start) = call else { return false };
        let Some(job) = self.jobs.get(&start.task.step.job) else { return false };
        let Some(rule) = job.queue.advice else { return false };
        let Some(worker) = self.workers.get(&start.to.worker) else { return false };
        let ticket = start.ticket.as_ref().and_then(|text| text.split_once('@'));
        let Some((incarnation, issued_ms)) = ticket else { return true };
        let issued_ms: u64 = issued_ms.parse().unwrap_or(0);
        incarnation != worker.incarnation.to_string() || issued_ms + rule.valid_ms < self.now_ms
    }

    fn advance_workers(&mut self) {
        let members = self.running_members();
        for worker in self.workers.values_mut() {
            worker.advance(self.now_ms, &members);
        }
        // A gang ends as a whole: when one member ends, the other ones do.
        let mut ended_gangs = BTreeSet::new();
        for worker in self.workers.values_mut() {
            ended_gangs.append(&mut worker.gang_ends);
        }
        for worker in self.workers.values_mut() {
            worker.break_gangs(&ended_gangs);
        }
    }

    /// The number of active runs by step and run number; for a gang, its running members.
    fn running_members(&self) -> BTreeMap<(stoatwell_pool::StepId, u32), u32> {
        let mut members = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in worker.active.keys() {
                *members.entry((task.step, *run)).or_insert(0) += 1;
            }
        }
        members
    }

    fn apply_effects(&mut self) {
        if self.can_renew_lease {
            self.pool.on_leader_lease_renewed(self.now_ms);
        }
        let began = Instant::now();
        let visited_before = self.pool.cycle_work().steps_visited;
        let mut asked = 0;
        let effects = self.pool.poll_effects_within(self.now_ms, self.now_ms, || {
            asked += 1;
            self.decision_steps_max.is_some_and(|steps_max| asked > steps_max)
        });
        self.deciding += began.elapsed();
        self.charge_cycle(effects.len(), self.pool.cycle_work().steps_visited - visited_before);
        for effect in effects {
            match effect {
                Effect::Hold(call) => self.send(Call::Hold(call)),
                Effect::Start(call) => {
                    self.check_sent_start(&call);
                    self.send(Call::Start(call));
                }
                Effect::Stop(call) => {
                    self.stops += 1;
                    self.send(Call::Stop(call));
                }
                Effect::Pace(call) => self.send(Call::Pace(call)),
                Effect::Advise { step, workers, cost_ms, .. } => {
                    self.last_query_workers = workers.len();
                    let lost = self.chance(self.faults.lost_advice);
                    // The advisor issues the tickets when it answers.
                    let issued_ms = self.now_ms + self.advice_ms;
                    let grant = |worker: &WorkerId| Grant {
                        worker: worker.clone(),
                        ticket: self.ticket(worker, issued_ms),
                    };
                    let of_five = self.granted_of_five;
                    let granted = workers.iter().filter(|name| is_granted(step, name, of_five));
                    let granted = (!lost).then(|| granted.map(grant).collect());
                    let event =
                        Event::Advised { step, asked: workers, cost_ms, granted, issued_ms };
                    let handled_ms = self.advice_ms + self.backlog_ms;
                    self.schedule(handled_ms, TimedEvent::Event(self.epoch, event));
                }
                // Nothing can be written without the leader lease.
                Effect::Commit { .. } if !self.can_renew_lease => {}
                Effect::Commit { batch, writes } => {
                    self.batches += 1;
                    for write in writes {
                        self.write(batch, write);
                    }
                }
                Effect::Answer { job, accepted } => {
                    self.submission_results.insert(job, accepted);
                }
                Effect::StepDown => {
                    self.violations.push("the only scheduler steps down".to_owned());
                }
            }
        }
    }

    /// Makes the writes of a batch to one partition durable.
    fn write(&mut self, batch: u64, write: PartitionWrite) {
        if self.stuck_partitions.contains(&write.partition) {
            return;
        }
        let mut write_ms = self.commit_ms;
        for put in write.puts {
            if put.cancel_version.is_some() && self.cancelled.contains_key(&put.job) {
                // The write is repeated after the conflict.
                let event = cancelled(put.job, CancelSource::Conflict);
                self.schedule(self.commit_ms, TimedEvent::Event(self.epoch, event));
                write_ms = write_ms.max(2 * self.commit_ms);
            }
            if put.submission.is_some() && self.refuses_submissions {
                let event = Event::Rejected { job: put.job, accepted: Accepted::No };
                self.schedule(self.commit_ms, TimedEvent::Event(self.epoch, event));
                write_ms = write_ms.max(self.commit_ms + REFUSED_BATCH_MS);
                continue;
            }
            if let Some(spec) = put.submission {
                self.jobs.insert(put.job, spec);
            }
            if let Some(progress) = put.progress {
                self.progress.insert(put.job, progress);
            }
        }
        for removal in write.removes {
            let Removal::Job(job) = removal else { continue };
            self.progress.remove(&job);
            self.jobs.remove(&job);
        }
        write_ms += self.leader_remaining_ms();
        let event = Event::Committed {
            batch,
            partition: write.partition,
            sent_ms: self.now_ms,
            version: self.batches,
        };
        self.schedule(write_ms, TimedEvent::Event(self.epoch, event));
    }

    fn send(&mut self, call: Call) {
        let delay_ms = self.rng.random_range(1..15) + self.leader_remaining_ms();
        let epoch = self.epoch;
        if self.chance(self.faults.lost_calls) {
            let event = call.to_event(Err(CallError::NoAnswer));
            self.schedule(1_000, TimedEvent::Event(epoch, event));
            return;
        }
        let late = self.chance(self.faults.late_calls)
            || (matches!(call, Call::Start(_)) && self.chance(self.faults.late_starts));
        if late || self.chance(self.faults.lost_answers) {
            let event = call.to_event(Err(CallError::NoAnswer));
            self.schedule(self.no_answer_ms, TimedEvent::Event(epoch, event));
            let delay_ms = match self.late_ms {
                _ if !late => delay_ms,
                Some(late_ms) => late_ms,
                None => self.rng.random_range(2_000..12_000),
            };
            let arrival = TimedEvent::CallArrives { epoch, waits_at: None, call, answered: false };
            self.schedule(delay_ms, arrival);
            return;
        }
        let arrival = TimedEvent::CallArrives { epoch, waits_at: None, call, answered: true };
        self.schedule(delay_ms, arrival);
    }
}

/// The event in place of an answer that a worker has given; `None` if this event is no answer.
fn unanswered(event: &Event) -> Option<Event> {
    let worker = |worker: &WorkerId| worker.clone();
    let event = match event {
        Event::Held { worker: from, turn, reply: Ok(_) } => {
            Event::Held { worker: worker(from), turn: *turn, reply: Err(CallError::NoAnswer) }
        }
        Event::Started { task, run, worker: from, reply: Ok(_) } => {
            let reply = Err(CallError::NoAnswer);
            Event::Started { task: *task, run: *run, worker: worker(from), reply }
        }
        Event::Stopped { task, run, worker: from, reply: Ok(()) } => {
            let reply = Err(CallError::NoAnswer);
            Event::Stopped { task: *task, run: *run, worker: worker(from), reply }
        }
        _ => return None,
    };
    Some(event)
}

fn cancelled(job: JobId, source: CancelSource) -> Event {
    Event::Cancelled { job, cancellation: Cancellation::ByOwner, source }
}

/// Whether the advisor lets a worker run a step: about `of_five` of five workers, chosen
/// by a hash of the step and the worker.
fn is_granted(step: stoatwell_pool::StepId, worker: &WorkerId, of_five: u64) -> bool {
    let mut hash = step.job.0.wrapping_mul(31) ^ u64::from(step.step);
    for byte in worker.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash % 5 < of_five
}

/// In the simulation a scheduler stops before the next one begins, so no earlier one
/// extends leases any more.
fn elected(epoch: u64) -> Election {
    Election { epoch, ..Election::default() }
}

fn limits(lease_max_ms: u64) -> Limits {
    Limits {
        lease_ms: LEASE_MS,
        lease_max_ms,
        job_retention_ms: 1_000_000,
        advice_workers_max: 100,
        batch_bytes_max: 600_000,
        gangs: GangLimits::default(),
    }
}
