//! What callers ask of a daemon, whichever it is.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_customers::Proof;
use stoatwell_model::CustomerName;
use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::JobView;
use stoatwell_pool::Outcome;
use stoatwell_pool::Progress;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::accept::Acceptor;
use crate::accept::Item;
use crate::clock::steady_ms;
use crate::commit::encode;
use crate::executors;
use crate::executors::call::Batch;
use crate::executors::session::Executor;
use crate::follow::read_row;
use crate::health::StoreHealth;
use crate::leader_view::LeaderView;
use crate::leader_view::Liveness;
use crate::leader_view::Route;
use crate::manifest::Manifest;
use crate::manifest::ManifestInForce;
use crate::manifest::PassedProof;
use crate::message::Query;
use crate::outside::Outside;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::peers::NodeCall;
use crate::peers::NodeReply;

/// How long the scheduler may take to answer before the store is asked:
/// several round trips between regions.
const SCHEDULER_LIMIT: Duration = Duration::from_millis(400);

/// How long another daemon may take to make something durable.
const KEEP_LIMIT: Duration = Duration::from_millis(1_200);

/// How long a leader that seems well may take to make a submission durable before this
/// daemon tries by itself. With a slow store two writers of one row only hold each other up.
const LEADER_PATIENCE: Duration = Duration::from_secs(2);

/// Daemons fit to lead from which on the others leave it to them: some may be lost at once.
const FIT_DAEMONS_MIN: u32 = 4;

/// What the leader said of a submission.
#[derive(Clone, Copy, Debug)]
enum Told {
    /// What became of it.
    Outcome(Accepted),
    /// It was not handed in.
    Nothing,
    /// It was handed in, and what became of it is not known.
    Silent,
}

/// Answers callers.
#[derive(Debug)]
pub struct Gateway<O> {
    outside: Arc<O>,
    acceptor: Acceptor,
    peers: Peers,
    health: Arc<StoreHealth>,
    manifest: Arc<ManifestInForce>,
    scheduler: watch::Sender<LeaderView>,
    executor: Executor<O>,
    /// Daemons that this one knows of while it leads, and those among them that are fit to.
    daemons: AtomicU32,
    fit_daemons: AtomicU32,
}

/// What a caller learns of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It stands so.
    State(JobState),
    /// The caller has no such job.
    NoJob,
    /// Nothing could tell now.
    Unknown,
}

impl<O: Outside> Gateway<O> {
    /// A gateway that knows no scheduler yet.
    pub fn new(
        outside: Arc<O>,
        acceptor: Acceptor,
        peers: Peers,
        health: Arc<StoreHealth>,
        manifest: Arc<ManifestInForce>,
    ) -> Self {
        let executor = Executor::new(Arc::clone(&outside));
        let scheduler = watch::Sender::default();
        let daemons = AtomicU32::default();
        let fit_daemons = AtomicU32::default();
        Self {
            outside,
            acceptor,
            peers,
            health,
            manifest,
            scheduler,
            executor,
            daemons,
            fit_daemons,
        }
    }

    /// Takes note of who holds the duty.
    pub(crate) fn saw_scheduler(&self, epoch: u64, address: Option<String>) {
        self.scheduler.send_modify(|view| view.observe(epoch, address));
    }

    /// Takes note that this daemon schedules, or does no more.
    pub(crate) fn set_scheduler_here(&self, here: Option<mpsc::Sender<Query>>) {
        self.scheduler.send_modify(|view| view.set_local(here));
    }

    /// Takes note of whether a holder of the duty lives.
    pub(crate) fn note_liveness(&self, epoch: u64, liveness: Liveness) {
        self.scheduler.send_if_modified(|view| view.note_liveness(epoch, liveness));
    }

    /// Whether a holder of the duty lives.
    pub(crate) fn scheduler_liveness(&self, epoch: u64) -> Liveness {
        self.scheduler.borrow().liveness_of(epoch)
    }

    /// Tells of changes to what is known of the scheduler.
    pub(crate) fn watch_scheduler(&self) -> watch::Receiver<LeaderView> {
        self.scheduler.subscribe()
    }

    /// Updates how many daemons there are, and how many are fit to lead, as the leader
    /// knows.
    pub(crate) fn set_daemons(&self, count: u32, fit: u32) {
        self.daemons.store(count, Ordering::Relaxed);
        self.fit_daemons.store(fit, Ordering::Relaxed);
    }

    /// Whether several daemons are fit to lead, for all that is known.
    pub(crate) fn are_others_fit(&self) -> bool {
        self.fit_daemons.load(Ordering::Relaxed) >= FIT_DAEMONS_MIN
    }

    /// Whether the store answers others, so that a caller that is turned away here is
    /// served at once elsewhere.
    pub fn do_others_reach_store(&self) -> bool {
        self.scheduler.borrow().is_healthy()
    }

    /// Whether the store answers.
    pub fn is_store_up(&self) -> bool {
        !self.health.is_down()
    }

    /// Takes note of the leader's proof, and gets its manifest if that is newer.
    pub(crate) async fn note_proof(&self, leader: &str, passed: PassedProof, asked_ms: u64) {
        if passed.version <= self.manifest.newest().version {
            let proof = Proof::from_peer(passed.version, passed.age_ms, asked_ms);
            self.manifest.note_proof(proof);
            return;
        }
        let asked_ms = steady_ms();
        let reply = self.peers.call(leader, &NodeCall::Manifest, SCHEDULER_LIMIT).await;
        let Ok(NodeReply::Manifest { manifest, proof }) = reply else { return };
        let Some(manifest) = executors::call::decode::<Manifest>(&manifest) else { return };
        self.manifest.offer(manifest);
        self.manifest.note_proof(Proof::from_peer(proof.version, proof.age_ms, asked_ms));
    }

    /// The manifest that callers are held against.
    pub(crate) fn manifest(&self) -> &Arc<ManifestInForce> {
        &self.manifest
    }

    /// Makes a job durable.
    pub async fn submit(
        self: &Arc<Self>,
        job: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Accepted {
        let row = encode(spec);
        let accepted = self.make_durable(job, row, deadline).await;
        let customer = spec.customer.as_ref().map(|customer| customer.name.as_str());
        tracing::info!(%job, queue = spec.queue.name, customer, ?accepted, "submission answered");
        metrics::counter!("stoatwell_submissions_total", "outcome" => outcome_name(accepted))
            .increment(1);
        accepted
    }

    /// Makes a cancellation durable, if the caller has such a job.
    pub async fn cancel(
        self: &Arc<Self>,
        job: JobId,
        caller: Option<&CustomerName>,
        deadline: Instant,
    ) -> Option<Accepted> {
        let known = self.state(job, caller).await;
        if known == Known::NoJob {
            return None;
        }
        let accepted = match known {
            Known::State(JobState::Completed | JobState::Failed | JobState::Cancelled) => {
                Accepted::Yes
            }
            Known::Unknown => Accepted::Unknown,
            _ => self.keep_cancel(job, deadline).await,
        };
        if accepted == Accepted::Yes {
            self.notify_scheduler(NodeCall::Cancelled(job));
        }
        tracing::info!(%job, ?known, ?accepted, "cancellation answered");
        Some(accepted)
    }

    /// Makes a submission durable, if possible through the leader: it has the job placed
    /// meanwhile, and writes many in one call. While the leader is silent, this daemon
    /// writes the row itself; both writes are of the same row under the condition that it
    /// is not there.
    async fn make_durable(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> Accepted {
        let mut leader = pin!(self.submit_to_leader(job, row.clone(), deadline));
        let told = tokio::select! {
            biased;
            told = &mut leader => Some(told),
            () = self.leader_falls_silent() => None,
        };
        let mut here = pin!(self.accept_here(job, row, deadline));
        match told {
            Some(Told::Outcome(accepted)) => accepted,
            Some(Told::Nothing) => here.await,
            Some(Told::Silent) => in_doubt(here.await),
            None => tokio::select! {
                accepted = &mut here => match accepted {
                    Accepted::Yes | Accepted::Taken => accepted,
                    Accepted::No | Accepted::Unknown => match leader.await {
                        Told::Outcome(Accepted::No) | Told::Nothing => accepted,
                        Told::Outcome(accepted) => accepted,
                        Told::Silent => Accepted::Unknown,
                    },
                },
                told = &mut leader => match told {
                    Told::Outcome(Accepted::No) | Told::Nothing => here.await,
                    Told::Outcome(accepted) => accepted,
                    Told::Silent => in_doubt(here.await),
                },
            },
        }
    }

    /// Writes a job's row and tells the leader.
    async fn accept_here(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> Accepted {
        let accepted = self.acceptor.accept(Item::Submit(job, row.clone()), deadline).await;
        if accepted == Accepted::Yes {
            self.notify_scheduler(NodeCall::Accepted { job, row });
        }
        accepted
    }

    async fn submit_to_leader(&self, job: JobId, row: Vec<u8>, deadline: Instant) -> Told {
        let call = NodeCall::Submit { job, row };
        let address = match self.route() {
            Route::None => return Told::Nothing,
            Route::Local(_) if !self.is_store_up() => return Told::Nothing,
            Route::Local(queries) => {
                let asked = timeout_at(deadline, ask_here(&queries, call)).await;
                return match asked {
                    Ok(Some(NodeReply::Submitted(accepted))) => Told::Outcome(accepted),
                    Ok(_) | Err(_) => Told::Silent,
                };
            }
            Route::Remote(address) => address,
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.peers.call::<NodeReply>(&address, &call, limit).await {
            Ok(NodeReply::Submitted(accepted)) => Told::Outcome(accepted),
            Ok(_) | Err(PeerError::NotSent(_)) => Told::Nothing,
            Err(PeerError::NoAnswer(error)) => {
                tracing::debug!(%job, address, error, "the leader did not tell of a submission");
                Told::Silent
            }
        }
    }

    /// Waits until the leader has taken so long, or is so surely gone, that this daemon has
    /// to act by itself.
    async fn leader_falls_silent(&self) {
        let mut view = self.scheduler.subscribe();
        let gone = view.wait_for(LeaderView::is_unavailable);
        tokio::select! {
            _ = gone => {}
            () = tokio::time::sleep(LEADER_PATIENCE) => {}
        }
    }

    /// Makes a cancellation durable, here or, where the store turns this daemon away,
    /// through the scheduler's daemon, which reaches it or would not be that.
    async fn keep_cancel(&self, job: JobId, deadline: Instant) -> Accepted {
        let here = self.acceptor.accept(Item::Cancel(job), deadline).await;
        if here != Accepted::No {
            return here;
        }
        let Some(address) = self.scheduler_elsewhere() else { return here };
        let limit = KEEP_LIMIT.min(deadline.saturating_duration_since(Instant::now()));
        let call = NodeCall::Cancel { job, limit_ms: limit.as_millis() as u64 };
        match self.peers.call::<NodeReply>(&address, &call, limit).await {
            Ok(NodeReply::Submitted(kept)) => kept,
            Ok(_) | Err(PeerError::NotSent(_)) => Accepted::No,
            Err(PeerError::NoAnswer(error)) => {
                tracing::warn!(%job, address, error, "a daemon did not tell whether it kept a cancellation");
                Accepted::Unknown
            }
        }
    }

    /// Makes a cancellation durable for a daemon that the store turns away. If this one
    /// schedules, the scheduler hears of it before the other daemon's caller does: the
    /// store's feed is slower, and the other one cannot read the store.
    async fn keep_cancel_for_other(&self, job: JobId, limit_ms: u64) -> Accepted {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let kept = self.acceptor.accept(Item::Cancel(job), deadline).await;
        if let (Accepted::Yes, Route::Local(queries)) = (kept, self.route())
            && ask_here(&queries, NodeCall::Cancelled(job)).await.is_none()
        {
            tracing::debug!("the scheduler ended before it was told, the store's feed tells");
        }
        kept
    }

    fn scheduler_elsewhere(&self) -> Option<String> {
        match self.route() {
            Route::Remote(address) => Some(address),
            Route::Local(_) | Route::None => None,
        }
    }

    /// Tells the scheduler of something durable, without waiting for it. The
    /// store's feed tells it too, a quarter of a second later; with a slow store
    /// much later.
    fn notify_scheduler(self: &Arc<Self>, call: NodeCall) {
        let gateway = Arc::clone(self);
        tokio::spawn(async move {
            if gateway.ask(call).await.is_none() {
                tracing::debug!("the scheduler was not told, the store's feed will");
            }
        });
    }

    /// Where a job stands. One of another customer is to its caller as if it were not
    /// there, so that nothing is learned of it.
    pub async fn state(&self, job: JobId, caller: Option<&CustomerName>) -> Known {
        if let Some(NodeReply::State(Some(view))) = self.ask(NodeCall::State(job)).await {
            return seen_by(&view, caller);
        }
        // The scheduler is away, or has not heard of a job just accepted.
        match self.state_in_store(job).await {
            Ok(Some(view)) => seen_by(&view, caller),
            Ok(None) => Known::NoJob,
            Err(error) => {
                tracing::warn!(%job, %error, "state cannot be told");
                Known::Unknown
            }
        }
    }

    /// Jobs of a queue for which nothing has started; `None` when nothing can tell.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        match self.ask(NodeCall::Pending(queue.to_owned())).await {
            Some(NodeReply::Pending(count)) => Some(count),
            _ => None,
        }
    }

    async fn state_in_store(&self, job: JobId) -> Result<Option<JobView>, StoreError> {
        let key = job.to_string();
        let row = self.outside.read(Table::Jobs, &key).await?;
        let Some((_, spec)) = row.as_ref().and_then(read_row::<JobSpec>) else { return Ok(None) };
        let customer = spec.customer.map(|customer| customer.name);
        let view = |state| Some(JobView { state, customer });
        let progress = self.outside.read(Table::Progress, &key).await?;
        let progress = progress.as_ref().and_then(read_row::<Progress>);
        let progress = progress.map(|(_, progress)| progress).unwrap_or_default();
        if progress.outcome.is_none_or(|outcome| outcome == Outcome::Cancelled)
            && self.outside.read(Table::Cancels, &key).await?.is_some()
        {
            return Ok(view(JobState::Cancelled));
        }
        Ok(view(progress.state()))
    }

    fn route(&self) -> Route {
        self.scheduler.borrow().route()
    }

    /// Asks the scheduler, here or elsewhere.
    async fn ask(&self, call: NodeCall) -> Option<NodeReply> {
        match self.route() {
            Route::None => None,
            Route::Local(queries) => ask_here(&queries, call).await,
            Route::Remote(address) => {
                match self.peers.call::<NodeReply>(&address, &call, SCHEDULER_LIMIT).await {
                    Ok(NodeReply::NotScheduler) => None,
                    Ok(reply) => Some(reply),
                    Err(error) => {
                        tracing::debug!(address, %error, "the scheduler does not answer");
                        None
                    }
                }
            }
        }
    }

    /// Answers another daemon.
    pub async fn answer(&self, call: NodeCall) -> NodeReply {
        if let NodeCall::Advise { step, workers, limit_ms } = call {
            let granted = self.outside.advise(step, &workers, limit_ms).await;
            let row = |grant: stoatwell_pool::Grant| (grant.worker, grant.ticket);
            return NodeReply::Advised(granted.map(|all| all.into_iter().map(row).collect()));
        }
        if let NodeCall::Cancel { job, limit_ms } = call {
            return NodeReply::Submitted(self.keep_cancel_for_other(job, limit_ms).await);
        }
        if let NodeCall::Leads { epoch, address } = call {
            self.saw_scheduler(epoch, Some(address));
            return NodeReply::Noted;
        }
        if let NodeCall::Execute { session, batch } = call {
            let accepted = executors::call::decode::<Batch>(&batch)
                .is_some_and(|batch| self.executor.execute(session, batch));
            return if accepted { NodeReply::Noted } else { NodeReply::NotScheduler };
        }
        if let NodeCall::Collect { session, wait_ms } = call {
            let Some(replies) = self.executor.collect(session, wait_ms).await else {
                return NodeReply::NotScheduler;
            };
            let replies = executors::call::encode(&replies);
            return NodeReply::Collected { clock_ms: steady_ms(), replies };
        }
        if call == NodeCall::Manifest {
            let manifest = executors::call::encode(self.manifest.newest().as_ref());
            return NodeReply::Manifest {
                manifest,
                proof: self.manifest.passed_proof(steady_ms()),
            };
        }
        let Route::Local(queries) = self.route() else { return NodeReply::NotScheduler };
        if call == NodeCall::Alive {
            let daemons = self.daemons.load(Ordering::Relaxed);
            let fit = self.fit_daemons.load(Ordering::Relaxed);
            let manifest = self.manifest.passed_proof(steady_ms());
            return NodeReply::Alive { reaches_store: self.is_store_up(), daemons, fit, manifest };
        }
        if matches!(call, NodeCall::Submit { .. }) && !self.is_store_up() {
            // The caller's daemon may reach the store itself.
            return NodeReply::NotScheduler;
        }
        ask_here(&queries, call).await.unwrap_or(NodeReply::NotScheduler)
    }
}

/// What became of a submission that somebody else may still make durable.
fn in_doubt(accepted: Accepted) -> Accepted {
    if accepted == Accepted::No { Accepted::Unknown } else { accepted }
}

/// What a caller learns of a job.
fn seen_by(view: &JobView, caller: Option<&CustomerName>) -> Known {
    if view.customer.as_ref() == caller { Known::State(view.state) } else { Known::NoJob }
}

async fn ask_here(queries: &mpsc::Sender<Query>, call: NodeCall) -> Option<NodeReply> {
    match call {
        NodeCall::State(job) => {
            let (answer, answered) = oneshot::channel();
            queries.send(Query::State(job, answer)).await.ok()?;
            answered.await.ok().map(NodeReply::State)
        }
        NodeCall::Pending(queue) => {
            let (answer, answered) = oneshot::channel();
            queries.send(Query::Pending(queue, answer)).await.ok()?;
            answered.await.ok().map(NodeReply::Pending)
        }
        NodeCall::Submit { job, row } => {
            let (answer, answered) = oneshot::channel();
            queries.send(Query::Submit(job, row, answer)).await.ok()?;
            answered.await.ok().map(NodeReply::Submitted)
        }
        NodeCall::Accepted { job, row } => {
            queries.send(Query::Accepted(job, row)).await.ok()?;
            Some(NodeReply::Noted)
        }
        NodeCall::Cancelled(job) => {
            queries.send(Query::Cancelled(job)).await.ok()?;
            Some(NodeReply::Noted)
        }
        NodeCall::Cancel { .. }
        | NodeCall::Manifest
        | NodeCall::Advise { .. }
        | NodeCall::Alive
        | NodeCall::Leads { .. }
        | NodeCall::Execute { .. }
        | NodeCall::Collect { .. } => None,
    }
}

fn outcome_name(accepted: Accepted) -> &'static str {
    match accepted {
        Accepted::Yes => "accepted",
        Accepted::No => "refused",
        Accepted::Taken => "taken",
        Accepted::Unknown => "unknown",
    }
}
