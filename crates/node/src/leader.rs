//! The scheduler of the pool, while this daemon holds the duty.
//!
//! One task owns the [`Pool`]; messages reach it through a channel and are handled
//! as many as there are before it decides again. Another task renews the row that says
//! who leads. Batches are written under fences, so that nothing a former leader writes
//! can take effect.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use stoatwell_peer::Peers;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::Pool;
use stoatwell_pool::Progress;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::advisor_dispatcher::AdvisorDispatcher;
use crate::clock::steady_ms;
use crate::clock::unix_ms;
use crate::commit::Fence;
use crate::commit::HeldLease;
use crate::commit::Writer;
use crate::commit::claim_fences;
use crate::commit::renew_lease;
use crate::election::LEADER_LEASE_MS;
use crate::executors::Executors;
use crate::executors::call::WorkerCall;
use crate::follow::Follower;
use crate::follow::read_row;
use crate::gateway::Gateway;
use crate::health::StoreHealth;
use crate::inbox::Inbox;
use crate::inbox::InboxSender;
use crate::inbox::MessageBudget;
use crate::inbox::inbox;
use crate::manifest::Manifest;
use crate::manifest::ManifestInForce;
use crate::measure::TurnMeter;
use crate::measure::count;
use crate::measure::measure;
use crate::members::Member;
use crate::message::Message;
use crate::message::Query;
use crate::outside::Outside;
use crate::outside::Table;
use crate::peers::NodeCall;
use crate::submissions::Submissions;

/// The longest that the pool is left alone.
const IDLE_WAIT_MAX_MS: u64 = 50;
/// A turn that took longer is followed by a rest of the same length ...
const REST_MIN: Duration = Duration::from_micros(300);
/// ... but of this at most.
const REST_MAX: Duration = Duration::from_millis(10);
/// How often gauges are set.
const MEASURE_EVERY_MS: u64 = 1_000;
/// Everything a scheduler needs of its daemon.
#[derive(Debug)]
pub struct Leader<O> {
    /// The outside world.
    pub outside: Arc<O>,
    /// The duty as it was won.
    pub lease: HeldLease,
    /// The pool's figures.
    pub limits: Limits,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// Who asks the advisor.
    pub advisors: Arc<AdvisorDispatcher<O>>,
    /// The way to other daemons.
    pub peers: Peers,
    /// Tells other daemons of this one.
    pub gateway: Arc<Gateway<O>>,
    /// This daemon, as others know it.
    pub member: Member,
    /// Questions of this daemon's callers and of other daemons.
    pub queries: mpsc::Receiver<Query>,
    /// Fires when the daemon stops.
    pub stop: tokio::sync::watch::Receiver<bool>,
}

impl<O: Outside> Leader<O> {
    /// Schedules until another daemon does or this one stops.
    pub async fn run(mut self) {
        let began_ms = steady_ms();
        let epoch = self.lease.row.epoch;
        let (messages, mut inbox) = inbox();
        let mut tasks = JoinSet::new();
        let renewed_ms = Arc::new(AtomicU64::new(began_ms));
        tasks.spawn(renew_lease_and_notify(
            Arc::clone(&self.outside),
            self.lease.clone(),
            Arc::clone(&self.health),
            messages.clone(),
            self.stop.clone(),
            Arc::clone(&renewed_ms),
        ));
        let executors = Arc::new(Executors::new(
            Arc::clone(&self.outside),
            self.peers.clone(),
            self.member.clone(),
            epoch,
            messages.clone(),
        ));
        let replacing = Arc::clone(&executors);
        tasks.spawn(async move { replacing.replace_failed().await });
        let loaded = self.load(epoch, &mut tasks, &messages, &mut inbox, &executors).await;
        let Some((mut pool, writer)) = loaded else { return };
        let mut submissions = Submissions::default();
        executors.wait_until_open().await;
        tracing::info!(epoch, took_ms = steady_ms() - began_ms, "scheduler ready");
        metrics::counter!("stoatwell_takeovers_total").increment(1);
        let mut measured_ms = 0;
        let mut meter = TurnMeter::default();
        let mut decided = Duration::ZERO;
        loop {
            let wait_ms = pool.idle_ms(steady_ms()).clamp(1, IDLE_WAIT_MAX_MS);
            let first = tokio::select! {
                biased;
                first = inbox.recv() => first,
                Some(query) = self.queries.recv() => Some(Message::Query(query)),
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => None,
            };
            let began = Instant::now();
            let fresh = is_fresh(&renewed_ms);
            let mut budget = MessageBudget::after_decision(decided);
            if !handle_all(&mut pool, &mut submissions, first, &mut inbox, &mut budget, fresh) {
                return;
            }
            while budget.next_burst() {
                tokio::task::yield_now().await;
                if !handle_all(&mut pool, &mut submissions, None, &mut inbox, &mut budget, fresh) {
                    return;
                }
            }
            while let Ok(query) = self.queries.try_recv() {
                answer(&mut pool, &mut submissions, query, fresh);
            }
            let handled = Instant::now();
            pool.note_renewal(renewed_ms.load(Ordering::Relaxed));
            let effects = pool.pump(steady_ms(), unix_ms());
            let pumped = Instant::now();
            decided = pumped - handled;
            for effect in effects {
                if effect == Effect::StepDown {
                    tracing::warn!(epoch, "stepping down: a worker follows another scheduler");
                    return;
                }
                if let Effect::Answer { job, accepted } = effect {
                    submissions.settle(job, accepted);
                    continue;
                }
                self.carry_out(effect, &pool, &executors, &messages, &writer, &mut tasks);
            }
            while tasks.try_join_next().is_some() {}
            meter.add(handled - began, pumped - handled, pumped.elapsed());
            // Under load messages gather, and a turn costs less for each of them.
            let rest = began.elapsed().min(REST_MAX);
            if rest >= REST_MIN {
                tokio::time::sleep(rest).await;
            }
            if steady_ms() >= measured_ms + MEASURE_EVERY_MS {
                let period_ms = steady_ms() - measured_ms;
                measured_ms = steady_ms();
                measure(&pool, &meter);
                executors.update_load(meter.total().as_millis() as u64, period_ms);
                meter = TurnMeter::default();
                executors.update_workers(pool.workers_by_zone());
            }
        }
    }

    /// Reads everything that lasts, and begins to follow it.
    async fn load(
        &self,
        epoch: u64,
        tasks: &mut JoinSet<()>,
        messages: &InboxSender,
        inbox: &mut Inbox,
        executors: &Arc<Executors<O>>,
    ) -> Option<(Pool, Arc<Writer<O>>)> {
        let row = &self.lease.row;
        let fence =
            Fence { holder: row.holder.clone(), incarnation: row.incarnation, epoch, beat: 0 };
        let versions = tokio::select! {
            versions = claim_fences(&self.outside, &self.health, &fence) => versions?,
            () = deposed(inbox) => return None,
        };
        let claimed = versions.iter().copied().max().unwrap_or(0).max(self.lease.version);
        let writer = Arc::new(Writer {
            outside: Arc::clone(&self.outside),
            health: Arc::clone(&self.health),
            fence,
            fence_versions: Mutex::new(versions),
            messages: messages.clone(),
        });
        let follower = Arc::new(Follower {
            outside: Arc::clone(&self.outside),
            health: Arc::clone(&self.health),
            messages: messages.clone(),
        });
        let all = async {
            tokio::join!(
                follower.workers_and_executors(executors),
                follower.read_since(Table::Jobs, claimed),
                follower.read_since(Table::Cancels, claimed),
                follower.read_since(Table::Progress, claimed),
            )
        };
        let (workers, jobs, cancels, progress) = tokio::select! {
            all = all => all,
            () = deposed(inbox) => return None,
        };
        let earlier_extends_ms = self.lease.row.earlier_extends_ms;
        let election = Election { epoch, earlier_extends_ms };
        let mut pool = Pool::new(election, self.limits, steady_ms(), unix_ms());
        let manifest = self.gateway.manifest().newest();
        let limits = customers(&manifest);
        pool.handle(steady_ms(), unix_ms(), Event::Customers { limits });
        tasks.spawn(forward_customers(
            Arc::clone(self.gateway.manifest()),
            manifest.version,
            messages.clone(),
        ));
        let mut done = std::collections::HashMap::new();
        for row in &progress.rows {
            if let Some((id, value)) = read_row::<Progress>(row) {
                done.insert(id, value);
            }
        }
        let (mut count, mut open) = (0, 0);
        let mut specs: Vec<(JobId, JobSpec)> = jobs.rows.iter().filter_map(read_row).collect();
        // What is within a customer's weight is reckoned in the order of arrival.
        specs.sort_by_key(|(_, spec)| spec.accepted_unix_ms);
        for (id, spec) in specs {
            let progress = done.get(&id);
            count += 1;
            open += usize::from(progress.is_none_or(|progress| progress.outcome.is_none()));
            pool.restore(id, Arc::new(spec), progress);
        }
        for row in &cancels.rows {
            if let Ok(job) = row.key.parse() {
                pool.handle(steady_ms(), unix_ms(), Event::Cancelled { job });
            }
        }
        let version = workers.version;
        tracing::info!(
            epoch,
            jobs = count,
            open,
            workers = workers.listed.len(),
            "state read back"
        );
        for listed in workers.listed {
            pool.handle(steady_ms(), unix_ms(), Event::Listed(listed));
        }
        tasks.spawn(Arc::clone(&follower).follow(Table::Jobs, jobs.version));
        tasks.spawn(Arc::clone(&follower).follow(Table::Cancels, cancels.version));
        tasks.spawn(Arc::clone(&follower).follow_workers(version));
        let leads = NodeCall::Leads { epoch, address: self.lease.row.address.clone() };
        let (advisors, executors) = (Arc::clone(&self.advisors), Arc::clone(executors));
        let gateway = Arc::clone(&self.gateway);
        tasks.spawn(follower.track_members(advisors, executors, gateway, leads));
        Some((pool, writer))
    }

    fn carry_out(
        &self,
        effect: Effect,
        pool: &Pool,
        executors: &Executors<O>,
        messages: &InboxSender,
        writer: &Arc<Writer<O>>,
        tasks: &mut JoinSet<()>,
    ) {
        let call = |call: WorkerCall| executors.call(pool.zone(call.worker()), call);
        match effect {
            Effect::Hold(hold) => call(WorkerCall::Hold(hold)),
            Effect::Start(start) => call(WorkerCall::Start(start)),
            Effect::Stop(stop) => call(WorkerCall::Stop(stop)),
            Effect::Pace(pace) => call(WorkerCall::Pace(pace)),
            Effect::Advise { step, workers, priority, cost_ms } => {
                let advisors = Arc::clone(&self.advisors);
                let messages = messages.clone();
                tasks.spawn(async move {
                    let granted = advisors.query(step, &workers, priority, cost_ms).await;
                    let came_ms = steady_ms();
                    let event = Event::Advised { step, asked: workers, cost_ms, granted, came_ms };
                    messages.notify(event);
                });
            }
            Effect::Commit { batch, writes } => {
                tasks.spawn(Arc::clone(writer).write(batch, writes));
            }
            Effect::StepDown | Effect::Answer { .. } => {}
        }
    }
}

/// Tells the scheduler of the customers of each newer manifest.
async fn forward_customers(
    in_force: Arc<ManifestInForce>,
    mut version: u64,
    messages: InboxSender,
) {
    loop {
        let manifest = in_force.newer_than(version).await;
        version = manifest.version;
        messages.notify(Event::Customers { limits: customers(&manifest) });
    }
}

fn customers(manifest: &Manifest) -> Vec<CustomerLimits> {
    let Some(directory) = &manifest.customers else { return Vec::new() };
    directory.customers().iter().map(CustomerLimits::of).collect()
}

async fn deposed(inbox: &mut Inbox) {
    while let Some(message) = inbox.recv_control().await {
        if matches!(message, Message::Deposed) {
            return;
        }
    }
}

async fn renew_lease_and_notify<O: Outside>(
    outside: Arc<O>,
    lease: HeldLease,
    health: Arc<StoreHealth>,
    messages: InboxSender,
    stop: tokio::sync::watch::Receiver<bool>,
    renewed_ms: Arc<AtomicU64>,
) {
    renew_lease(outside, lease, health, stop, renewed_ms).await;
    messages.depose();
}

/// Handles a message and those that wait behind it; `false` if another daemon leads now.
fn handle_all(
    pool: &mut Pool,
    submissions: &mut Submissions,
    first: Option<Message>,
    inbox: &mut Inbox,
    budget: &mut MessageBudget,
    fresh: bool,
) -> bool {
    let more = std::iter::from_fn(|| inbox.try_recv(budget));
    for message in first.into_iter().chain(more) {
        match message {
            Message::Deposed => return false,
            Message::Event(event) => {
                count(&event);
                pool.handle(steady_ms(), unix_ms(), event);
            }
            Message::Query(query) => answer(pool, submissions, query, fresh),
        }
    }
    true
}

/// Whether the duty was renewed of late. A scheduler that is cut off from the
/// store may have been replaced and not know it; it keeps its workers' leases
/// until it learns so, but does not tell how much work waits.
fn is_fresh(renewed_ms: &AtomicU64) -> bool {
    steady_ms().saturating_sub(renewed_ms.load(Ordering::Relaxed)) < LEADER_LEASE_MS
}

fn answer(pool: &mut Pool, submissions: &mut Submissions, query: Query, fresh: bool) {
    let asked = match query {
        Query::Submit(job, row, answer) => {
            submissions.hand_in(pool, job, &row, answer);
            true
        }
        Query::Accepted(job, row) => {
            match serde_json::from_slice(&row) {
                Ok(spec) => {
                    let event = Event::Accepted { job, spec: Arc::new(spec) };
                    pool.handle(steady_ms(), unix_ms(), event);
                }
                Err(error) => {
                    tracing::warn!(%job, %error, "a daemon's row of a job cannot be read");
                }
            }
            true
        }
        Query::Cancelled(job) => {
            pool.handle(steady_ms(), unix_ms(), Event::Cancelled { job });
            true
        }
        Query::State(job, answer) => answer.send(pool.view(job)).is_ok(),
        Query::Pending(_, _) if !fresh => true,
        Query::Pending(queue, answer) => answer.send(pool.pending(&queue) as u64).is_ok(),
        Query::Dump(answer) => answer.send(pool.dump()).is_ok(),
        Query::Explain(job, answer) => answer.send(pool.explain(job)).is_ok(),
    };
    if !asked {
        tracing::debug!("a question's caller left before the answer");
    }
}
