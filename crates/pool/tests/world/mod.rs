//! A pool with workers, a store and a network, in virtual time.
//!
//! Everything that can go wrong between a scheduler and its workers goes wrong
//! by a seeded draw: calls and answers are lost or come seconds later, workers
//! crash, are cut off and begin new lives, schedulers are replaced while their
//! orders are still under way. The world watches what the workers do and
//! remembers each promise that is broken.

#![allow(dead_code, reason = "each test file uses a part of the world")]

mod checks;
mod faults;
mod jobs;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::Accepted;
use stoatwell_pool::CallError;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::Grant;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Limits;
use stoatwell_pool::PartitionWrite;
use stoatwell_pool::Pool;
use stoatwell_pool::Progress;
use stoatwell_pool::StartReply;
use stoatwell_pool::TaskId;
use stoatwell_pool::TaskProgress;

pub use self::faults::Faults;
pub use self::jobs::job;
pub use self::jobs::queue;
pub use self::jobs::step;
use self::worker::Call;
use self::worker::Reply;
use self::worker::Worker;

/// The lease that schedulers ask for, and the longest that workers grant.
pub const LEASE_MS: u64 = 6_000;

/// One day of a pool.
pub struct World {
    pub now_ms: u64,
    pub rng: Pcg64,
    pub faults: Faults,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub broken: Vec<String>,
    pub starts: u64,
    /// Workers that are up but on nobody's list.
    pub unlisted: BTreeSet<WorkerId>,
    /// Of five workers, the advisor permits about this many.
    pub granted_of_five: u64,
    /// Workers that the newest question to the advisor named.
    pub asked: usize,
    /// What the advisor takes for a question.
    pub advice_ms: u64,
    /// How long the advisor's answers wait to be handled.
    pub backlog_ms: u64,
    /// What the store takes for a batch.
    pub commit_ms: u64,
    /// Whether workers refuse starts with tickets that have expired.
    pub tickets_expire: bool,
    /// Starts that were refused for that.
    pub bad_tickets: u64,
    /// Whether the scheduler can renew its duty.
    pub renews: bool,
    /// Parts of the store that answer nothing.
    pub stuck_parts: BTreeSet<usize>,
    /// Batches sent to the store.
    pub batches: u64,
    answers: BTreeMap<JobId, Accepted>,
    /// The customers of the manifest.
    pub customers: BTreeMap<CustomerName, CustomerLimits>,
    /// Their caps on processors, with the moments from which they held.
    caps: BTreeMap<CustomerName, Vec<(u64, u64)>>,
    pool: Pool,
    epoch: u64,
    jobs: BTreeMap<JobId, Arc<JobSpec>>,
    progress: BTreeMap<JobId, Progress>,
    cancelled: BTreeMap<JobId, u64>,
    /// Tasks whose end as done a worker was told to forget.
    noted_done: BTreeSet<TaskId>,
    agenda: BTreeMap<(u64, u64), Item>,
    items: u64,
}

enum Item {
    /// A call arrives at the life of a worker that it was sent to; the answer
    /// goes back unless it is lost.
    Arrives { epoch: u64, incarnation: u64, call: Call, answered: bool },
    /// Message reach the scheduler of this epoch.
    Event(u64, Event),
    /// A worker is reached again.
    Healed(WorkerId),
    /// A worker that crashed is listed again.
    Listed(WorkerId),
}

impl World {
    /// A pool of workers with 16 cores each.
    pub fn new(seed: u64, workers: usize, faults: Faults) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            rng: Pcg64::seed_from_u64(seed),
            faults,
            workers: BTreeMap::new(),
            broken: Vec::new(),
            starts: 0,
            unlisted: BTreeSet::new(),
            granted_of_five: 3,
            asked: 0,
            advice_ms: 80,
            backlog_ms: 0,
            commit_ms: 12,
            tickets_expire: false,
            bad_tickets: 0,
            renews: true,
            stuck_parts: BTreeSet::new(),
            batches: 0,
            answers: BTreeMap::new(),
            customers: BTreeMap::new(),
            caps: BTreeMap::new(),
            pool: Pool::new(elected(1), limits(), 1_000, 1_000),
            epoch: 1,
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            noted_done: BTreeSet::new(),
            agenda: BTreeMap::new(),
            items: 0,
        };
        for number in 0..workers {
            let name = WorkerId::new(format!("w{number:02}"));
            let slow_permille = world.rng.random_range(0..20);
            world.workers.insert(name.clone(), Worker::new(name, slow_permille));
        }
        world.list_all();
        world
    }

    /// The manifest gives a customer this cap from now on.
    pub fn set_cap(&mut self, customer: &CustomerName, weight: f64, cap: Resources) {
        self.write_cap(customer, weight, cap);
        self.notify_customers();
    }

    /// The same, but the scheduler does not learn it.
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

    /// Hands a job in.
    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        let (job, spec) = (JobId(id), Arc::new(spec));
        self.jobs.insert(job, Arc::clone(&spec));
        self.notify(Event::Accepted { job, spec });
    }

    /// Hands a job in through the scheduler, which has to make it durable.
    pub fn hand_in(&mut self, id: u64, spec: JobSpec) {
        let (job, spec) = (JobId(id), Arc::new(spec));
        if let Some(answer) = self.pool.submit(self.now_ms, self.now_ms, job, spec) {
            self.answers.insert(job, answer);
        }
    }

    /// What the caller was told that handed a job in.
    pub fn answer(&self, id: u64) -> Option<Accepted> {
        self.answers.get(&JobId(id)).copied()
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: u64) {
        self.cancelled.insert(JobId(id), self.now_ms);
        self.notify(Event::Cancelled { job: JobId(id) });
    }

    /// What callers are told of a job.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.pool.state(JobId(id))
    }

    /// Jobs that are not over.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let over = |job: &&JobId| {
            matches!(
                self.pool.state(**job),
                Some(JobState::Completed | JobState::Failed | JobState::Cancelled)
            )
        };
        self.jobs.keys().filter(|job| !over(job)).copied().collect()
    }

    /// Jobs that count as waiting.
    pub fn pending(&self) -> usize {
        self.pool.pending("q1")
    }

    /// Writes the row of a start that is never sent.
    pub fn record_start_of(&mut self, id: u64) {
        let name = self.workers.keys().next().cloned();
        let task = TaskProgress { run: 1, worker: name, incarnation: 1, ..TaskProgress::default() };
        let progress = Progress { tasks: vec![task], ..Progress::default() };
        self.progress.insert(JobId(id), progress);
    }

    /// The pace of all that fills on all workers together, in hundredths.
    pub fn filling_percent(&self) -> u64 {
        self.workers.values().map(Worker::filling_percent).sum()
    }

    /// How far the run is that is nearest to its end, in hundredths.
    pub fn furthest_percent(&self) -> u64 {
        self.workers.values().map(Worker::furthest_percent).max().unwrap_or(0)
    }

    /// Why a job is where it is.
    pub fn explain(&self, job: JobId) -> String {
        self.pool.explain(job).join("\n")
    }

    /// The advisor can be asked through this many daemons.
    pub fn set_advisors(&mut self, count: usize) {
        self.notify(Event::Advisors { count });
    }

    /// Lets time cycle.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 5;
            while let Some(entry) = self.agenda.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let item = entry.remove();
                self.happen(item);
            }
            if self.now_ms.is_multiple_of(100) {
                self.draw_faults();
            }
            self.work();
            self.pump();
            self.check();
            if self.now_ms.is_multiple_of(100) {
                self.broken.extend(self.pool.tasks_without_wakeup());
            }
        }
    }

    /// Another daemon schedules from now on; calls of the former one are still under way.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.pool = Pool::new(elected(self.epoch), limits(), self.now_ms, self.now_ms);
        self.notify_customers();
        for (job, spec) in &self.jobs {
            self.pool.restore(*job, Arc::clone(spec), self.progress.get(job));
        }
        for job in self.cancelled.keys().copied().collect::<Vec<_>>() {
            self.notify(Event::Cancelled { job });
        }
        self.list_all();
    }

    /// A worker loses all it knows; it is back, as a new life, after a while.
    pub fn crash(&mut self, name: &WorkerId) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.crash(now_ms);
        }
        self.schedule(1_500, Item::Listed(name.clone()));
    }

    /// The scheduler and a worker do not reach each other for a while.
    pub fn cut(&mut self, name: &WorkerId, for_ms: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.cut = true;
        }
        self.schedule(for_ms, Item::Healed(name.clone()));
    }

    /// Connections to a worker are refused for a while, though it runs on.
    pub fn refuse(&mut self, name: &WorkerId, for_ms: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refuses = true;
        }
        self.schedule(for_ms, Item::Healed(name.clone()));
    }

    /// A worker tells that it leaves soon.
    pub fn drain(&mut self, name: &WorkerId) {
        self.workers.get_mut(name).expect("known").draining = true;
        self.list_all();
    }

    /// Workers that went dark come back with nothing on them, long after.
    pub fn replace_dark_workers(&mut self) {
        self.run(10_000);
        let dark = |worker: &&Worker| worker.dark;
        let names: Vec<WorkerId> =
            self.workers.values().filter(dark).map(|worker| worker.name.clone()).collect();
        for name in names {
            self.crash(&name);
            self.workers.get_mut(&name).expect("known").dark = false;
        }
    }

    /// Tells the scheduler of all workers as they are now.
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

    fn schedule(&mut self, in_ms: u64, item: Item) {
        self.items += 1;
        self.agenda.insert((self.now_ms + in_ms, self.items), item);
    }

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Event(epoch, event) if epoch == self.epoch => self.notify(event),
            Item::Event(..) => {}
            Item::Healed(name) => {
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.cut = false;
                    worker.refuses = false;
                }
            }
            Item::Listed(name) => {
                let Some(worker) = self.workers.get_mut(&name) else { return };
                worker.up = true;
                let update = worker.update();
                self.notify(Event::Listed(update));
            }
            Item::Arrives { epoch, incarnation, call, answered } => {
                self.arrive(epoch, incarnation, call, answered);
            }
        }
    }

    fn arrive(&mut self, epoch: u64, incarnation: u64, call: Call, answered: bool) {
        let Some(worker) = self.workers.get_mut(call.worker()) else { return };
        if worker.up && worker.incarnation != incarnation {
            // The connection went with the life that it led to.
            let event = call.event(Err(CallError::NoAnswer));
            self.schedule(1, Item::Event(epoch, event));
            return;
        }
        if worker.cut || worker.dark {
            let event = call.event(Err(CallError::NoAnswer));
            self.schedule(900, Item::Event(epoch, event));
            return;
        }
        if !worker.up || worker.refuses {
            let event = call.event(Err(CallError::Refused));
            self.schedule(2, Item::Event(epoch, event));
            return;
        }
        if let Call::Hold(hold) = &call {
            for task in worker.forget(hold.forget, hold.to.token) {
                tracing::info!(at = self.now_ms, %task, worker = %hold.to.worker, token = hold.to.token, "WORLD noted");
                self.noted_done.insert(task);
            }
        }
        let starts = matches!(call, Call::Start(_));
        let mut reply = worker.answer(&call, self.now_ms);
        if self.tickets_expire && matches!(reply, Reply::Started) && self.has_expired(&call) {
            self.bad_tickets += 1;
            reply = Reply::Refused(StartReply::BadTicket);
        }
        if starts && matches!(reply, Reply::Started) {
            self.note_start(&call);
        }
        if !answered {
            return;
        }
        if matches!(reply, Reply::Waits) {
            self.schedule(
                20,
                Item::Arrives { epoch, incarnation, call: call.waited(20), answered },
            );
            return;
        }
        let event = call.event(Ok(reply));
        let way_ms = self.rng.random_range(1..15);
        self.schedule(way_ms, Item::Event(epoch, event));
    }

    /// Whether a start shows a ticket that is no longer good.
    fn has_expired(&self, call: &Call) -> bool {
        let Call::Start(start) = call else { return false };
        let Some(job) = self.jobs.get(&start.task.step.job) else { return false };
        let Some(rule) = job.queue.advice else { return false };
        let issued_ms: Option<u64> = start.ticket.as_ref().and_then(|text| text.parse().ok());
        issued_ms.is_none_or(|at_ms| at_ms + rule.valid_ms < self.now_ms)
    }

    fn work(&mut self) {
        let present = self.present();
        for worker in self.workers.values_mut() {
            worker.work(self.now_ms, &present);
        }
        // A gang ends together; the end of one member breaks the others.
        let mut ended = BTreeSet::new();
        for worker in self.workers.values_mut() {
            ended.append(&mut worker.gang_ends);
        }
        for worker in self.workers.values_mut() {
            worker.break_gangs(&ended);
        }
    }

    /// How many members of each gang's run are at work.
    fn present(&self) -> BTreeMap<(stoatwell_pool::StepId, u32), u32> {
        let mut present = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in worker.active.keys() {
                *present.entry((task.step, *run)).or_insert(0) += 1;
            }
        }
        present
    }

    fn pump(&mut self) {
        if self.renews {
            self.pool.note_renewal(self.now_ms);
        }
        for effect in self.pool.poll_effects(self.now_ms, self.now_ms) {
            match effect {
                Effect::Hold(call) => self.send(Call::Hold(call)),
                Effect::Start(call) => self.send(Call::Start(call)),
                Effect::Stop(call) => self.send(Call::Stop(call)),
                Effect::Pace(call) => self.send(Call::Pace(call)),
                Effect::Advise { step, workers, cost_ms, .. } => {
                    self.asked = workers.len();
                    let lost = self.chance(self.faults.lost_advice);
                    // The advisor issues tickets as it answers.
                    let issued_ms = self.now_ms + self.advice_ms;
                    let grant = |worker: &WorkerId| Grant {
                        worker: worker.clone(),
                        ticket: issued_ms.to_string(),
                    };
                    let of_five = self.granted_of_five;
                    let granted = workers.iter().filter(|name| is_granted(step, name, of_five));
                    let granted = (!lost).then(|| granted.map(grant).collect());
                    let received_ms = issued_ms;
                    let event =
                        Event::Advised { step, asked: workers, cost_ms, granted, received_ms };
                    let handled_ms = self.advice_ms + self.backlog_ms;
                    self.schedule(handled_ms, Item::Event(self.epoch, event));
                }
                // Without the duty nothing can be written.
                Effect::Commit { .. } if !self.renews => {}
                Effect::Commit { batch, writes } => {
                    self.batches += 1;
                    for write in writes {
                        self.write(batch, write);
                    }
                }
                Effect::Answer { job, accepted } => {
                    self.answers.insert(job, accepted);
                }
                Effect::StepDown => {}
            }
        }
    }

    /// Makes one part of a batch durable.
    fn write(&mut self, batch: u64, write: PartitionWrite) {
        if self.stuck_parts.contains(&write.partition) {
            return;
        }
        for put in write.puts {
            if let Some(spec) = put.submission {
                self.jobs.insert(put.job, spec);
            }
            if let Some(progress) = put.progress {
                self.progress.insert(put.job, progress);
            }
        }
        for job in write.removes {
            self.progress.remove(&job);
            self.jobs.remove(&job);
        }
        let event = Event::Committed { batch, partition: write.partition };
        self.schedule(self.commit_ms, Item::Event(self.epoch, event));
    }

    fn send(&mut self, call: Call) {
        let way_ms = self.rng.random_range(1..15);
        let epoch = self.epoch;
        let incarnation = self.workers.get(call.worker()).map_or(0, |worker| worker.incarnation);
        if self.chance(self.faults.lost_calls) {
            let event = call.event(Err(CallError::NoAnswer));
            self.schedule(1_000, Item::Event(epoch, event));
            return;
        }
        let late = self.chance(self.faults.late_calls);
        if late || self.chance(self.faults.lost_answers) {
            let event = call.event(Err(CallError::NoAnswer));
            self.schedule(1_000, Item::Event(epoch, event));
            let way_ms = if late { self.rng.random_range(2_000..12_000) } else { way_ms };
            self.schedule(way_ms, Item::Arrives { epoch, incarnation, call, answered: false });
            return;
        }
        self.schedule(way_ms, Item::Arrives { epoch, incarnation, call, answered: true });
    }
}

/// Whether the advisor permits a worker to run a step.
fn is_granted(step: stoatwell_pool::StepId, worker: &WorkerId, of_five: u64) -> bool {
    let mut hash = step.job.0.wrapping_mul(31) ^ u64::from(step.step);
    for byte in worker.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash % 5 < of_five
}

/// Schedulers of the world follow each other: none goes on beside the next one.
fn elected(epoch: u64) -> Election {
    Election { epoch, earlier_extends_ms: 0 }
}

fn limits() -> Limits {
    Limits {
        lease_ms: LEASE_MS,
        lease_max_ms: LEASE_MS,
        job_retention_ms: 1_000_000,
        advice_workers_max: 100,
        batch_bytes_max: 600_000,
    }
}
