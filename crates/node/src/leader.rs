//! The leader: schedules the pool while this daemon holds the leader lease.
//!
//! One task owns the [`Pool`]. Messages reach it through a channel; before each decision it
//! handles those that are queued, within a time budget. Another task renews the leader lease.
//! Batches are written under fences, so that no write of an earlier leader can take effect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_model::ZoneName;
use stoatwell_peer::Peers;
use stoatwell_pool::Accepted;
use stoatwell_pool::CancelSource;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::Limits;
use stoatwell_pool::Pool;
use stoatwell_pool::WorkerUpdate;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::advisor_dispatcher::AdvisorDispatcher;
use crate::advisor_dispatcher::QueryCapacity;
use crate::clock::steady_ms;
use crate::clock::unix_ms;
use crate::commit::Fence;
use crate::commit::HeldLease;
use crate::commit::RenewalState;
use crate::commit::Writer;
use crate::commit::renew_lease;
use crate::daemons::DaemonInfo;
use crate::election::FAILED_LEADER_TIMEOUT_MS;
use crate::election::LEADER_LEASE_MS;
use crate::executors::Executors;
use crate::executors::call::WorkerCall;
use crate::gateway::Gateway;
use crate::health::StoreHealth;
use crate::inbox::Inbox;
use crate::inbox::InboxSender;
use crate::inbox::MessageBudget;
use crate::inbox::inbox;
use crate::manifest::CurrentManifest;
use crate::manifest::Manifest;
use crate::message::Message;
use crate::message::SchedulerRequest;
use crate::overload::retry_after_s;
use crate::peers::DaemonCall;
use crate::platform::Platform;
use crate::platform::Table;
use crate::store_watcher::StoreWatcher;
use crate::submissions::Submissions;
use crate::takeover::Lists;
use crate::takeover::Takeover;
use crate::tasks::reap;
use crate::telemetry::Cycle;
use crate::telemetry::CycleTimes;
use crate::telemetry::count_event;
use crate::telemetry::publish_gauges;
use crate::worker_list::WorkerList;

/// Longest wait for a message before the next scheduling cycle.
const IDLE_WAIT_MAX_MS: u64 = 50;
/// A cycle that took at least this long is followed by a pause of the same length, up to
/// [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_micros(300);
/// Longest pause between two scheduling cycles.
const PAUSE_MAX: Duration = Duration::from_millis(10);
/// Maximum requests of daemons that are handled in one scheduling cycle.
const REQUESTS_MAX: usize = 1_024;
/// How long the leader may work on one thing before the daemon's other tasks run.
const WORK_MAX: Duration = Duration::from_millis(10);
/// A decision is expected to be long if the one before took at least this time.
const LONG_DECISION: Duration = Duration::from_millis(20);
/// A decision is also expected to be long if it may compare at least this many pairs of a step
/// and a worker. The one before may have been short because no worker was known to be open.
const LONG_DECISION_PAIRS: usize = 100_000;
/// Interval between updates of the gauges.
const GAUGE_INTERVAL_MS: u64 = 1_000;

/// The scheduler, with what it uses of the daemon that runs it.
#[derive(Debug)]
pub struct Leader<P> {
    /// The store, the workers and the advisor.
    pub platform: Arc<P>,
    /// The leader lease, as it was acquired.
    pub lease: HeldLease,
    /// Limits that the installation sets for the pool.
    pub limits: Limits,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// Sends the scheduler's queries to the advisor.
    pub advisor_dispatcher: Arc<AdvisorDispatcher<P>>,
    /// Connections to other daemons.
    pub peers: Peers,
    /// Has the newest manifest, and answers other daemons' probes of the leader.
    pub gateway: Arc<Gateway<P>>,
    /// This daemon, as an entry of the list of daemons.
    pub own_info: DaemonInfo,
    /// Requests of this daemon's callers and of other daemons.
    pub requests: mpsc::Receiver<SchedulerRequest>,
    /// Becomes `true` when the daemon stops.
    pub stop: tokio::sync::watch::Receiver<bool>,
}

impl<P: Platform> Leader<P> {
    /// Schedules until another daemon leads or this one stops.
    pub async fn run(mut self) {
        let started_ms = steady_ms();
        let epoch = self.lease.row.epoch;
        let (inbox_sender, mut inbox) = inbox();
        let mut tasks = JoinSet::new();
        let renewal = Arc::new(RenewalState::new(&self.lease));
        tasks.spawn(renew_lease_and_notify(
            Arc::clone(&self.platform),
            self.lease.clone(),
            Arc::clone(&self.health),
            inbox_sender.clone(),
            self.stop.clone(),
            Arc::clone(&renewal),
        ));
        let executors = Arc::new(Executors::new(
            Arc::clone(&self.platform),
            self.peers.clone(),
            self.own_info.clone(),
            epoch,
            inbox_sender.clone(),
        ));
        let replacing_executors = Arc::clone(&executors);
        tasks.spawn(async move { replacing_executors.replace_failed().await });
        let loaded = self.load(epoch, &mut tasks, &inbox_sender, &mut inbox, &executors).await;
        let Some((mut pool, writer)) = loaded else { return };
        let mut submissions = Submissions::default();
        executors.wait_until_open().await;
        tracing::info!(target: BELIEF_TARGET, epoch, took_ms = steady_ms() - started_ms, "scheduler ready");
        metrics::counter!("stoatwell_takeovers_total").increment(1);
        let mut gauges_updated_ms = 0;
        let mut cycle_times = CycleTimes::default();
        let mut decision_time = Duration::ZERO;
        let mut is_first_decision = true;
        loop {
            let wait_ms = pool.idle_ms(steady_ms()).clamp(1, IDLE_WAIT_MAX_MS);
            let first_message = tokio::select! {
                biased;
                first_message = inbox.recv() => first_message,
                Some(request) = self.requests.recv() => Some(Message::Request(request)),
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => None,
            };
            let cycle_started = Instant::now();
            let mut yield_time = Duration::ZERO;
            let first_messages = usize::from(first_message.is_some());
            let mut budget = MessageBudget::for_cycle(decision_time);
            if !handle_all(
                &mut pool,
                &mut submissions,
                first_message,
                &mut inbox,
                &mut budget,
                &renewal,
            ) {
                return;
            }
            while budget.start_next_burst() {
                let yielded_at = Instant::now();
                tokio::task::yield_now().await;
                yield_time += yielded_at.elapsed();
                if !handle_all(&mut pool, &mut submissions, None, &mut inbox, &mut budget, &renewal)
                {
                    return;
                }
            }
            let mut requests = 0;
            let mut yielder = Yielder::default();
            while requests < REQUESTS_MAX
                && let Ok(request) = self.requests.try_recv()
            {
                requests += 1;
                if let Some(request) = refuse_if_behind(request, inbox.delay()) {
                    handle_request(&mut pool, &mut submissions, request, &renewal);
                }
                yield_time += yielder.checkpoint().await;
            }
            let handled_at = Instant::now();
            pool.on_leader_lease_renewed(renewal.renewed_ms());
            pool.on_silent_leases_written(renewal.written_generation());
            let is_long = is_first_decision
                || decision_time >= LONG_DECISION
                || pool.step_worker_pairs() >= LONG_DECISION_PAIRS;
            is_first_decision = false;
            let Some((decided_pool, effects)) = decide(pool, is_long).await else { return };
            pool = decided_pool;
            renewal.set_silent_leases(pool.silent_leases());
            let decided_at = Instant::now();
            decision_time = decided_at - handled_at;
            let mut calling_yield_time = Duration::ZERO;
            let mut yielder = Yielder::default();
            for effect in effects {
                calling_yield_time += yielder.checkpoint().await;
                if effect == Effect::StepDown {
                    tracing::warn!(
                        epoch,
                        "stepping down: a worker has seen the fencing token of a later leader"
                    );
                    return;
                }
                if let Effect::Answer { job, accepted } = effect {
                    submissions.resolve(job, accepted);
                    continue;
                }
                self.execute_effect(effect, &pool, &executors, &inbox_sender, &writer, &mut tasks);
            }
            if reap("leader", &mut tasks) {
                // A partition whose write never ends, or a list that is no longer followed, would
                // stay so for as long as this daemon leads.
                tracing::error!(epoch, "giving up the leadership after a panic");
                return;
            }
            cycle_times.add(&Cycle {
                messages: first_messages + budget.handled(),
                requests,
                inbox_delay: inbox.delay(),
                handling: (handled_at - cycle_started).saturating_sub(yield_time),
                yielded: yield_time + calling_yield_time,
                deciding: decision_time,
                calling: decided_at.elapsed().saturating_sub(calling_yield_time),
            });
            // Under load, messages accumulate in the pause, and a cycle costs less per message.
            let pause = cycle_started.elapsed().min(PAUSE_MAX);
            if pause >= PAUSE_MIN {
                tokio::time::sleep(pause).await;
            }
            if steady_ms() >= gauges_updated_ms + GAUGE_INTERVAL_MS {
                // The gauges take long with many jobs, too.
                tokio::task::yield_now().await;
                let period_ms = steady_ms() - gauges_updated_ms;
                gauges_updated_ms = steady_ms();
                publish_gauges(&pool, &cycle_times, &inbox, self.advisor_dispatcher.counts());
                executors.update_load(cycle_times.total().as_millis() as u64, period_ms);
                cycle_times = CycleTimes::starting_at(pool.cycle_work());
                executors.update_workers(pool.workers_by_zone());
            }
        }
    }

    /// Fences the partitions, restores the pool's state from the store and begins to follow
    /// changes; `None` if another daemon leads now.
    async fn load(
        &self,
        epoch: u64,
        tasks: &mut JoinSet<()>,
        inbox_sender: &InboxSender,
        inbox: &mut Inbox,
        executors: &Arc<Executors<P>>,
    ) -> Option<(Pool, Arc<Writer<P>>)> {
        let row = &self.lease.row;
        let fence =
            Fence { holder: row.holder.clone(), incarnation: row.incarnation, epoch, beat: 0 };
        let election = Election {
            epoch,
            earlier_extends_ms: row.earlier_extends_ms,
            silent_leases: row.silent_leases.clone(),
        };
        let manifest = self.gateway.manifest().newest();
        let store_watcher = Arc::new(StoreWatcher {
            platform: Arc::clone(&self.platform),
            health: Arc::clone(&self.health),
            inbox_sender: inbox_sender.clone(),
        });
        let takeover = Takeover {
            platform: Arc::clone(&self.platform),
            health: Arc::clone(&self.health),
            inbox_sender: inbox_sender.clone(),
            fence: fence.clone(),
            lease_version: self.lease.version,
            election,
            limits: self.limits,
            customers: customer_limits(&manifest),
        };
        let load_started_ms = steady_ms();
        let (lists_sender, lists) = oneshot::channel::<Lists>();
        let open_executors = async {
            let lists = lists.await.ok()?;
            executors.update_daemons(lists.daemons);
            executors.update_workers(workers_by_zone(&lists.workers.listed));
            Some(lists.workers)
        };
        let (restored, workers) = tokio::select! {
            (restored, workers) = async { tokio::join!(takeover.run(lists_sender), open_executors) } => {
                (restored?, workers?)
            }
            () = wait_until_leadership_lost(inbox) => return None,
        };
        let writer = Arc::new(Writer {
            platform: Arc::clone(&self.platform),
            health: Arc::clone(&self.health),
            fence,
            fence_versions: Mutex::new(restored.fence_versions),
            inbox_sender: inbox_sender.clone(),
        });
        let mut pool = restored.pool;
        tasks.spawn(forward_customers(
            Arc::clone(self.gateway.manifest()),
            manifest.version,
            inbox_sender.clone(),
        ));
        let version = workers.version;
        let worker_list = WorkerList::new(&workers.listed, load_started_ms);
        tracing::info!(
            epoch,
            jobs = restored.jobs,
            open = restored.open,
            workers = workers.listed.len(),
            fences_ms = restored.fences_ms,
            read_ms = restored.read_ms,
            restore_ms = restored.restore_ms,
            "state restored from the store"
        );
        let phases = [
            ("fences", restored.fences_ms),
            ("read", restored.read_ms),
            ("restore", restored.restore_ms),
        ];
        for (phase, took_ms) in phases {
            metrics::gauge!("stoatwell_takeover_ms", "phase" => phase).set(took_ms as f64);
        }
        for worker in workers.listed {
            pool.handle(steady_ms(), unix_ms(), Event::Listed(worker));
        }
        let watched =
            [(Table::Jobs, restored.jobs_version), (Table::Cancels, restored.cancels_version)];
        for (table, version) in watched {
            tasks.spawn(Arc::clone(&store_watcher).watch_table(table, version));
        }
        tasks.spawn(Arc::clone(&store_watcher).watch_workers(worker_list, version));
        tasks.spawn(watch_proxies(Arc::clone(&self.advisor_dispatcher), inbox_sender.clone()));
        let leads_call = DaemonCall::Leads { epoch, address: self.lease.row.address.clone() };
        let (advisor_dispatcher, executors) =
            (Arc::clone(&self.advisor_dispatcher), Arc::clone(executors));
        let gateway = Arc::clone(&self.gateway);
        tasks.spawn(store_watcher.track_daemons(
            advisor_dispatcher,
            executors,
            gateway,
            leads_call,
        ));
        Some((pool, writer))
    }

    fn execute_effect(
        &self,
        effect: Effect,
        pool: &Pool,
        executors: &Executors<P>,
        inbox_sender: &InboxSender,
        writer: &Arc<Writer<P>>,
        tasks: &mut JoinSet<()>,
    ) {
        let call = |call: WorkerCall| executors.call(pool.zone(call.worker()), call);
        match effect {
            Effect::Hold(hold) => call(WorkerCall::Hold(hold)),
            Effect::Start(start) => call(WorkerCall::Start(start)),
            Effect::Stop(stop) => call(WorkerCall::Stop(stop)),
            Effect::Pace(pace) => call(WorkerCall::Pace(pace)),
            Effect::Advise { step, workers, priority, cost_ms } => {
                let advisor_dispatcher = Arc::clone(&self.advisor_dispatcher);
                let inbox_sender = inbox_sender.clone();
                tasks.spawn(async move {
                    let advice = advisor_dispatcher.query(step, &workers, priority, cost_ms).await;
                    let issued_ms =
                        advice.as_ref().map_or_else(steady_ms, |advice| advice.issued_ms);
                    let granted = advice.map(|advice| advice.granted);
                    let event =
                        Event::Advised { step, asked: workers, cost_ms, granted, issued_ms };
                    inbox_sender.notify(event);
                });
            }
            Effect::Commit { batch, writes } => {
                tasks.spawn(Arc::clone(writer).write(batch, writes));
            }
            Effect::StepDown | Effect::Answer { .. } => {}
        }
    }
}

/// Notifies the pool of how many daemons its queries can go through.
async fn watch_proxies<P: Platform>(
    advisor_dispatcher: Arc<AdvisorDispatcher<P>>,
    inbox_sender: InboxSender,
) {
    let on_change = |QueryCapacity { daemons, stuck_long_queries }| {
        inbox_sender.notify(Event::Advisors { count: daemons });
        inbox_sender.notify(Event::StuckQueries { count: stuck_long_queries });
    };
    advisor_dispatcher.watch_proxies(on_change).await;
}

/// Makes a decision. A long one runs in a thread of its own, so that the daemon's other tasks
/// go on: they answer probes and renew the lease. `None` if the decision panicked.
async fn decide(mut pool: Pool, is_long: bool) -> Option<(Pool, Vec<Effect>)> {
    if !is_long {
        let effects = poll_effects_in_time(&mut pool);
        return Some((pool, effects));
    }
    let decision = tokio::task::spawn_blocking(move || {
        let effects = poll_effects_in_time(&mut pool);
        (pool, effects)
    });
    match decision.await {
        Ok(decided) => Some(decided),
        Err(error) => {
            tracing::error!(%error, "a decision failed; giving up the leadership");
            None
        }
    }
}

/// Decides for [`WORK_MAX`] at most. What was decided, and the messages that arrive meanwhile, wait
/// for the end of the decision, so an urgent start takes several decisions however early in each
/// its turn comes.
fn poll_effects_in_time(pool: &mut Pool) -> Vec<Effect> {
    let started = Instant::now();
    pool.poll_effects_within(steady_ms(), unix_ms(), || started.elapsed() >= WORK_MAX)
}

/// Lets the daemon's other tasks run during long work, at the latest after [`WORK_MAX`].
/// Otherwise a leader would answer no probes and renew no lease meanwhile.
#[derive(Debug)]
struct Yielder {
    resumed: Instant,
}

impl Default for Yielder {
    fn default() -> Self {
        Self { resumed: Instant::now() }
    }
}

impl Yielder {
    /// Yields if the work has gone on for long enough; returns for how long.
    async fn checkpoint(&mut self) -> Duration {
        if self.resumed.elapsed() < WORK_MAX {
            return Duration::ZERO;
        }
        let yielded_at = Instant::now();
        tokio::task::yield_now().await;
        self.resumed = Instant::now();
        self.resumed - yielded_at
    }
}

/// Sends the customers' limits of each newer manifest to the scheduler.
async fn forward_customers(
    current: Arc<CurrentManifest>,
    mut version: u64,
    inbox_sender: InboxSender,
) {
    loop {
        let manifest = current.wait_for_newer(version).await;
        version = manifest.version;
        inbox_sender.notify(Event::Customers { limits: customer_limits(&manifest) });
    }
}

fn customer_limits(manifest: &Manifest) -> Vec<CustomerLimits> {
    let Some(directory) = &manifest.customers else { return Vec::new() };
    directory.customers().iter().map(CustomerLimits::of).collect()
}

fn workers_by_zone(workers: &[WorkerUpdate]) -> BTreeMap<ZoneName, usize> {
    let mut counts = BTreeMap::new();
    for worker in workers {
        *counts.entry(worker.zone.clone()).or_default() += 1;
    }
    counts
}

async fn wait_until_leadership_lost(inbox: &mut Inbox) {
    while let Some(message) = inbox.recv_control().await {
        if matches!(message, Message::LeadershipLost) {
            return;
        }
    }
}

async fn renew_lease_and_notify<P: Platform>(
    platform: Arc<P>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    inbox_sender: InboxSender,
    stop: tokio::sync::watch::Receiver<bool>,
    renewal: Arc<RenewalState>,
) {
    renew_lease(&platform, lease, health, stop, renewal).await;
    inbox_sender.notify_leadership_lost();
}

/// Handles a message and those queued behind it, as far as the budget allows. Returns `false`
/// if another daemon leads now.
fn handle_all(
    pool: &mut Pool,
    submissions: &mut Submissions,
    first_message: Option<Message>,
    inbox: &mut Inbox,
    budget: &mut MessageBudget,
    renewal: &RenewalState,
) -> bool {
    let queued = std::iter::from_fn(|| inbox.try_recv(budget));
    for message in first_message.into_iter().chain(queued) {
        match message {
            Message::LeadershipLost => return false,
            Message::Event(event) => {
                count_event(&event);
                pool.handle(steady_ms(), unix_ms(), event);
            }
            Message::Request(request) => {
                handle_request(pool, submissions, request, renewal);
            }
        }
    }
    true
}

/// Refuses a submission if the leader is too far behind to answer it in time; returns the request
/// otherwise.
fn refuse_if_behind(request: SchedulerRequest, inbox_delay: Duration) -> Option<SchedulerRequest> {
    let SchedulerRequest::Submit(job, row, reply_sender) = request else { return Some(request) };
    let Some(retry_after_s) = retry_after_s(inbox_delay, job) else {
        return Some(SchedulerRequest::Submit(job, row, reply_sender));
    };
    let inbox_delay_ms = inbox_delay.as_millis() as u64;
    tracing::info!(%job, inbox_delay_ms, retry_after_s, "submission refused: the leader is behind");
    if reply_sender.send(Accepted::Overloaded { retry_after_s }).is_err() {
        tracing::debug!(%job, "caller disconnected before its submission was refused");
    }
    None
}

/// The time since the last successful renewal of the leader lease was sent. A leader that is cut
/// off from the store may have been replaced without knowing it. It keeps extending its workers'
/// leases until it learns so, but does not report what a successor may know better.
fn lease_age_ms(renewal: &RenewalState) -> u64 {
    steady_ms().saturating_sub(renewal.renewed_ms())
}

/// Whether no start of a cancelled job can follow: this leader has none on its way, and there is no
/// other leader. The lease cannot have been claimed before [`FAILED_LEADER_TIMEOUT_MS`].
fn no_start_follows(pool: &Pool, job: JobId, renewal: &RenewalState) -> bool {
    !pool.has_start_in_flight(job) && lease_age_ms(renewal) < FAILED_LEADER_TIMEOUT_MS
}

/// Handles a request, and replies if it asks for a reply. A number of pending jobs is not
/// reported once the lease has expired.
fn handle_request(
    pool: &mut Pool,
    submissions: &mut Submissions,
    request: SchedulerRequest,
    renewal: &RenewalState,
) {
    // `false` only if a reply could not be sent.
    let is_handled = match request {
        SchedulerRequest::Submit(job, row, reply_sender) => {
            submissions.submit(pool, job, &row, reply_sender);
            true
        }
        SchedulerRequest::Accepted(job, row) => {
            match serde_json::from_slice(&row) {
                Ok(spec) => {
                    let event = Event::Accepted { job, spec: Arc::new(spec) };
                    pool.handle(steady_ms(), unix_ms(), event);
                }
                Err(error) => {
                    tracing::warn!(
                        %job, %error,
                        "cannot decode the row of a job that a daemon accepted"
                    );
                }
            }
            true
        }
        SchedulerRequest::Cancelled(job, cancellation, reply_sender) => {
            let source = CancelSource::Notification;
            let event = Event::Cancelled { job, cancellation, source };
            pool.handle(steady_ms(), unix_ms(), event);
            !no_start_follows(pool, job, renewal) || reply_sender.send(()).is_ok()
        }
        SchedulerRequest::State(job, reply_sender) => reply_sender.send(pool.view(job)).is_ok(),
        SchedulerRequest::Pending(_, _) if lease_age_ms(renewal) >= LEADER_LEASE_MS => true,
        SchedulerRequest::Pending(queue, reply_sender) => {
            reply_sender.send(pool.pending(&queue) as u64).is_ok()
        }
        SchedulerRequest::Dump(reply_sender) => reply_sender.send(pool.dump()).is_ok(),
        SchedulerRequest::Explain(job, reply_sender) => {
            reply_sender.send(pool.explain(job)).is_ok()
        }
    };
    if !is_handled {
        tracing::debug!("cannot reply to a request: its caller has left");
    }
}
