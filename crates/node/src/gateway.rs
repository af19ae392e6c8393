//! Serves callers on every daemon, and answers calls from other daemons.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_customers::FreshnessProof;
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
use crate::accept::WriteRequest;
use crate::clock::steady_ms;
use crate::commit::encode;
use crate::executors;
use crate::executors::call::Batch;
use crate::executors::session::Executor;
use crate::health::StoreHealth;
use crate::job_rows::read_row;
use crate::leader_view::LeaderView;
use crate::leader_view::Route;
use crate::liveness::Liveness;
use crate::manifest::CurrentManifest;
use crate::manifest::Manifest;
use crate::manifest::ManifestSource;
use crate::manifest::RelayedProof;
use crate::message::SchedulerRequest;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::recent_submissions::RecentSubmissions;

/// Timeout of a call to the leader, after which the store is read instead: several round
/// trips between regions.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for another daemon to make a cancellation durable.
const PEER_CANCEL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How long a leader that appears healthy may take to make a submission durable before this
/// daemon writes it itself. With a slow store, two writers of the same row only delay each
/// other.
const LEADER_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// If at least this many daemons are fit to lead, the other daemons poll the lease of a healthy
/// leader less often. It is more than one because several may be lost at once.
const CANDIDATES_MIN: u32 = 4;

/// The leader's reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderReply {
    /// The leader reported the outcome.
    Outcome(Accepted),
    /// The submission did not reach a leader.
    NotSent,
    /// The submission was sent, and its outcome is unknown.
    NoAnswer,
}

/// The answer to a submission, and what it is based on.
#[derive(Clone, Copy, Debug)]
struct SubmissionAnswer {
    accepted: Accepted,
    /// The leader's part in it; `None` if it had not replied yet.
    leader: Option<LeaderReply>,
    /// The outcome of this daemon's own write; `None` if it made none.
    local: Option<Accepted>,
}

/// The result of a call to the scheduler on this daemon.
enum LocalReply {
    /// The scheduler replied.
    Reply(DaemonReply),
    /// The call did not reach the scheduler.
    NotTaken,
    /// The scheduler took the call and ended, or declined to reply.
    Dropped,
}

/// Serves callers.
#[derive(Debug)]
pub struct Gateway<P> {
    platform: Arc<P>,
    acceptor: Acceptor,
    /// Submissions that are durable or may be, through this daemon.
    recent_submissions: RecentSubmissions,
    peers: Peers,
    health: Arc<StoreHealth>,
    manifest: Arc<CurrentManifest>,
    leader: watch::Sender<LeaderView>,
    /// Makes calls to workers if another daemon leads and uses this one as an executor.
    executor: Executor<P>,
    /// Number of daemons in the pool, as last counted by the leader.
    daemon_count: AtomicU32,
    /// Number of daemons that are fit to lead, as last counted by the leader.
    candidate_count: AtomicU32,
}

/// The result of looking up a job for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The job's state.
    State(JobState),
    /// The caller has no such job.
    NoJob,
    /// The state could not be determined now.
    Unknown,
}

impl<P: Platform> Gateway<P> {
    /// Creates a gateway that does not know the leader yet.
    pub fn new(
        platform: Arc<P>,
        acceptor: Acceptor,
        peers: Peers,
        health: Arc<StoreHealth>,
        manifest: Arc<CurrentManifest>,
    ) -> Self {
        let executor = Executor::new(Arc::clone(&platform));
        let leader = watch::Sender::default();
        let daemon_count = AtomicU32::default();
        let candidate_count = AtomicU32::default();
        Self {
            platform,
            acceptor,
            recent_submissions: RecentSubmissions::default(),
            peers,
            health,
            manifest,
            leader,
            executor,
            daemon_count,
            candidate_count,
        }
    }

    /// Records who holds the leader lease; `None` as the address if it was released.
    pub(crate) fn observe_leader(&self, epoch: u64, address: Option<String>) {
        self.leader.send_modify(|view| view.observe(epoch, address));
    }

    /// Records the channel for requests to the scheduler on this daemon; `None` if this daemon
    /// no longer leads.
    pub(crate) fn set_local_leader(&self, requests: Option<mpsc::Sender<SchedulerRequest>>) {
        self.leader.send_modify(|view| view.set_local(requests));
    }

    /// Records the liveness of the leader of an epoch.
    pub(crate) fn record_liveness(&self, epoch: u64, liveness: Liveness) {
        self.leader.send_if_modified(|view| view.record_liveness(epoch, liveness));
    }

    /// The liveness of the leader of an epoch.
    pub(crate) fn leader_liveness(&self, epoch: u64) -> Liveness {
        self.leader.borrow().liveness_of(epoch)
    }

    /// Subscribes to changes of what this daemon knows about the leader.
    pub(crate) fn subscribe_leader(&self) -> watch::Receiver<LeaderView> {
        self.leader.subscribe()
    }

    /// Sets the number of daemons and the number of them that are fit to lead, as the leader
    /// counted them.
    pub(crate) fn set_daemon_counts(&self, daemons: u32, candidates: u32) {
        self.daemon_count.store(daemons, Ordering::Relaxed);
        self.candidate_count.store(candidates, Ordering::Relaxed);
    }

    /// Whether enough daemons are fit to lead, by the last counts from the leader.
    pub(crate) fn has_enough_candidates(&self) -> bool {
        self.candidate_count.load(Ordering::Relaxed) >= CANDIDATES_MIN
    }

    /// Whether the leader reported, when it was last probed, that the store responds to it. If
    /// so, a caller that is rejected here is served by another daemon without delay.
    pub fn leader_reaches_store(&self) -> bool {
        self.leader.borrow().is_healthy()
    }

    /// Whether the store responds to this daemon.
    pub fn reaches_store(&self) -> bool {
        !self.health.is_down()
    }

    /// Records the leader's proof that the manifest is current, and fetches the leader's
    /// manifest if it is newer. `requested_ms` is when the proof was requested from the leader.
    pub(crate) async fn record_proof(
        &self,
        leader: &str,
        relayed: RelayedProof,
        requested_ms: u64,
    ) {
        if relayed.version <= self.manifest.newest().version {
            let proof = FreshnessProof::from_peer(relayed.version, relayed.age_ms, requested_ms);
            self.manifest.record_proof(proof);
            return;
        }
        let requested_ms = steady_ms();
        let reply = self.peers.call(leader, &DaemonCall::Manifest, LEADER_TIMEOUT).await;
        let Ok(DaemonReply::Manifest { manifest, proof }) = reply else {
            let version = relayed.version;
            tracing::warn!(
                leader,
                version,
                ?reply,
                "cannot fetch a newer manifest from the leader"
            );
            return;
        };
        let Some(manifest) = executors::call::decode::<Manifest>("manifest", &manifest) else {
            return;
        };
        self.manifest.replace_if_newer(manifest, ManifestSource::Leader);
        self.manifest.record_proof(FreshnessProof::from_peer(
            proof.version,
            proof.age_ms,
            requested_ms,
        ));
    }

    /// The manifest that callers are authenticated against.
    pub(crate) fn manifest(&self) -> &Arc<CurrentManifest> {
        &self.manifest
    }

    /// Submits a job and makes it durable. [`Accepted::Unknown`] if the outcome could not be
    /// learned in time.
    pub async fn submit(
        self: &Arc<Self>,
        job: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Accepted {
        let row = encode(spec);
        let answer = self.make_submission_durable(job, row, deadline).await;
        let accepted = self.account_for_earlier_tries(job, answer.accepted);
        let customer = spec.customer.as_ref().map(|customer| customer.name.as_str());
        let epoch = self.leader.borrow().epoch();
        let SubmissionAnswer { leader, local, .. } = answer;
        tracing::info!(
            %job, queue = spec.queue.name, customer, ?accepted, epoch, ?leader, ?local,
            "submission answered"
        );
        metrics::counter!("stoatwell_submissions_total", "outcome" => outcome_name(accepted))
            .increment(1);
        accepted
    }

    /// Cancels a job and makes the cancellation durable. The outcome is [`Accepted::Yes`] also
    /// for a job that has ended already, and `None` if the caller has no such job.
    pub async fn cancel(
        self: &Arc<Self>,
        job: JobId,
        caller: Option<&CustomerName>,
        deadline: Instant,
    ) -> Option<Accepted> {
        let known = self.state(job, caller).await;
        if known == JobLookup::NoJob {
            return None;
        }
        let accepted = match known {
            JobLookup::State(JobState::Completed | JobState::Failed | JobState::Cancelled) => {
                Accepted::Yes
            }
            JobLookup::Unknown => Accepted::Unknown,
            _ => self.make_cancel_durable(job, deadline).await,
        };
        if accepted == Accepted::Yes {
            self.notify_leader(DaemonCall::Cancelled(job));
        }
        tracing::info!(%job, ?known, ?accepted, "cancellation answered");
        Some(accepted)
    }

    /// Remembers a submission that is durable or may be. The caller of one that was remembered
    /// before is not told "not accepted": a write for an earlier try may have taken effect, or
    /// may do so later.
    fn account_for_earlier_tries(&self, job: JobId, accepted: Accepted) -> Accepted {
        match accepted {
            Accepted::Yes | Accepted::Unknown => self.recent_submissions.record(job, steady_ms()),
            Accepted::No | Accepted::Overloaded { .. }
                if self.recent_submissions.contains(job, steady_ms()) =>
            {
                return Accepted::Unknown;
            }
            Accepted::No | Accepted::Taken | Accepted::Overloaded { .. } => {}
        }
        accepted
    }

    /// Makes a submission durable, through the leader if possible: the leader places the job
    /// meanwhile and batches many submissions into one write. If the leader does not respond,
    /// this daemon writes the row itself. Both writes are of the same row and conditional on
    /// its absence.
    async fn make_submission_durable(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> SubmissionAnswer {
        let mut through_leader = pin!(self.submit_through_leader(job, row.clone(), deadline));
        let leader_reply = tokio::select! {
            biased;
            reply = &mut through_leader => Some(reply),
            () = self.wait_until_leader_fails() => None,
        };
        let mut local = pin!(self.accept_locally(job, row, deadline));
        if let Some(reply) = leader_reply {
            if let LeaderReply::Outcome(accepted) = reply {
                return SubmissionAnswer { accepted, leader: Some(reply), local: None };
            }
            return combine(Some(reply), Some(local.await));
        }
        tokio::select! {
            accepted = &mut local => {
                if matches!(accepted, Accepted::Yes | Accepted::Taken) {
                    return combine(None, Some(accepted));
                }
                combine(Some(through_leader.await), Some(accepted))
            }
            reply = &mut through_leader => match reply {
                LeaderReply::Outcome(Accepted::No) | LeaderReply::NotSent | LeaderReply::NoAnswer => {
                    combine(Some(reply), Some(local.await))
                }
                LeaderReply::Outcome(_) => combine(Some(reply), None),
            },
        }
    }

    /// Writes a job's row from this daemon and notifies the leader.
    async fn accept_locally(
        self: &Arc<Self>,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> Accepted {
        let accepted = self.acceptor.accept(WriteRequest::Submit(job, row.clone()), deadline).await;
        if accepted == Accepted::Yes {
            self.notify_leader(DaemonCall::Accepted { job, row });
        }
        accepted
    }

    async fn submit_through_leader(
        &self,
        job: JobId,
        row: Vec<u8>,
        deadline: Instant,
    ) -> LeaderReply {
        let call = DaemonCall::Submit { job, row };
        let address = match self.route() {
            Route::None => return LeaderReply::NotSent,
            Route::Local(_) if !self.reaches_store() => return LeaderReply::NotSent,
            Route::Local(requests) => {
                let reply = timeout_at(deadline, call_local(&requests, call)).await;
                return match reply {
                    Ok(LocalReply::Reply(DaemonReply::Submitted(accepted))) => {
                        LeaderReply::Outcome(accepted)
                    }
                    Ok(LocalReply::NotTaken) => LeaderReply::NotSent,
                    Ok(LocalReply::Reply(_) | LocalReply::Dropped) | Err(_) => {
                        LeaderReply::NoAnswer
                    }
                };
            }
            Route::Remote(address) => address,
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.peers.call::<DaemonReply>(&address, &call, limit).await {
            Ok(DaemonReply::Submitted(accepted)) => LeaderReply::Outcome(accepted),
            Ok(DaemonReply::NotScheduler) | Err(PeerError::NotSent(_)) => LeaderReply::NotSent,
            Ok(reply) => {
                tracing::debug!(%job, address, ?reply, "leader ended before the outcome of a submission was known");
                LeaderReply::NoAnswer
            }
            Err(PeerError::NoAnswer(error)) => {
                tracing::debug!(%job, address, error, "leader did not answer a submission; its outcome is unknown");
                LeaderReply::NoAnswer
            }
        }
    }

    /// Waits until the leader is known to be unavailable, or has taken so long that this
    /// daemon has to write the submission itself.
    async fn wait_until_leader_fails(&self) {
        let mut view = self.leader.subscribe();
        let unavailable = view.wait_for(LeaderView::is_unavailable);
        tokio::select! {
            _ = unavailable => {}
            () = tokio::time::sleep(LEADER_SUBMIT_TIMEOUT) => {}
        }
    }

    /// Makes a cancellation durable from this daemon or, if the store rejects this daemon,
    /// through the leader, which could not lead without reaching the store.
    async fn make_cancel_durable(&self, job: JobId, deadline: Instant) -> Accepted {
        let local = self.acceptor.accept(WriteRequest::Cancel(job), deadline).await;
        if local != Accepted::No {
            return local;
        }
        let Some(address) = self.remote_leader() else { return local };
        let limit = PEER_CANCEL_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let call = DaemonCall::Cancel { job, limit_ms: limit.as_millis() as u64 };
        match self.peers.call::<DaemonReply>(&address, &call, limit).await {
            Ok(DaemonReply::Submitted(accepted)) => accepted,
            Ok(_) | Err(PeerError::NotSent(_)) => Accepted::No,
            Err(PeerError::NoAnswer(error)) => {
                tracing::warn!(%job, address, error, "leader did not answer a cancellation; its outcome is unknown");
                Accepted::Unknown
            }
        }
    }

    /// Makes a cancellation durable for a daemon that the store rejects. If this daemon
    /// leads, its scheduler is notified before the other daemon replies to its caller: the
    /// store's change feed is slower, and the other daemon cannot read the store.
    async fn cancel_for_peer(&self, job: JobId, limit_ms: u64) -> Accepted {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let accepted = self.acceptor.accept(WriteRequest::Cancel(job), deadline).await;
        if let (Accepted::Yes, Route::Local(requests)) = (accepted, self.route())
            && !matches!(
                call_local(&requests, DaemonCall::Cancelled(job)).await,
                LocalReply::Reply(_)
            )
        {
            tracing::debug!(
                "scheduler stopped before it was notified of a cancellation; the store's change feed will deliver it"
            );
        }
        accepted
    }

    fn remote_leader(&self) -> Option<String> {
        match self.route() {
            Route::Remote(address) => Some(address),
            Route::Local(_) | Route::None => None,
        }
    }

    /// Notifies the leader of a durable write without waiting for its reply. The store's
    /// change feed delivers the write too, but a quarter of a second later, and much later if
    /// the store is slow.
    fn notify_leader(self: &Arc<Self>, call: DaemonCall) {
        let gateway = Arc::clone(self);
        tokio::spawn(async move {
            if gateway.call_leader(call).await.is_none() {
                tracing::debug!(
                    "leader was not notified of a durable write; the store's change feed will deliver it"
                );
            }
        });
    }

    /// Looks up a job's state. A job of another customer is reported as absent, so that the
    /// caller learns nothing about it.
    pub async fn state(&self, job: JobId, caller: Option<&CustomerName>) -> JobLookup {
        if let Some(DaemonReply::State(Some(view))) = self.call_leader(DaemonCall::State(job)).await
        {
            return visible_state(&view, caller);
        }
        // The leader is unavailable, or has not received a job that was just accepted.
        match self.read_state(job).await {
            Ok(Some(view)) => visible_state(&view, caller),
            Ok(None) => JobLookup::NoJob,
            Err(error) => {
                tracing::warn!(%job, %error, "reading a job's state from the store failed; reporting it as unknown");
                JobLookup::Unknown
            }
        }
    }

    /// Number of jobs of a queue for which nothing has started; `None` if no leader answers.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        match self.call_leader(DaemonCall::Pending(queue.to_owned())).await {
            Some(DaemonReply::Pending(count)) => Some(count),
            _ => None,
        }
    }

    async fn read_state(&self, job: JobId) -> Result<Option<JobView>, StoreError> {
        let key = job.to_string();
        let row = self.platform.read(Table::Jobs, &key).await?;
        let Some((_, spec)) = row.as_ref().and_then(read_row::<JobSpec>) else { return Ok(None) };
        let customer = spec.customer.map(|customer| customer.name);
        let view = |state| Some(JobView { state, customer });
        let progress = self.platform.read(Table::Progress, &key).await?;
        let progress = progress.as_ref().and_then(read_row::<Progress>);
        let progress = progress.map(|(_, progress)| progress).unwrap_or_default();
        if progress.outcome.is_none_or(|outcome| outcome == Outcome::Cancelled)
            && self.platform.read(Table::Cancels, &key).await?.is_some()
        {
            return Ok(view(JobState::Cancelled));
        }
        Ok(view(progress.state()))
    }

    fn route(&self) -> Route {
        self.leader.borrow().route()
    }

    /// Sends a call to the leader, on this daemon or another; `None` if no leader answers.
    async fn call_leader(&self, call: DaemonCall) -> Option<DaemonReply> {
        match self.route() {
            Route::None => None,
            Route::Local(requests) => match call_local(&requests, call).await {
                LocalReply::Reply(reply) => Some(reply),
                LocalReply::NotTaken | LocalReply::Dropped => None,
            },
            Route::Remote(address) => {
                match self.peers.call::<DaemonReply>(&address, &call, LEADER_TIMEOUT).await {
                    Ok(DaemonReply::NotScheduler) => None,
                    Ok(reply) => Some(reply),
                    Err(error) => {
                        tracing::debug!(address, %error, "call to the leader failed");
                        None
                    }
                }
            }
        }
    }

    /// Handles a call from another daemon.
    pub async fn answer(&self, call: DaemonCall) -> DaemonReply {
        if let DaemonCall::Advise { step, workers, limit_ms } = call {
            let granted = self.platform.advise(step, &workers, limit_ms).await;
            let to_pair = |grant: stoatwell_pool::Grant| (grant.worker, grant.ticket);
            return DaemonReply::Advised(
                granted.map(|grants| grants.into_iter().map(to_pair).collect()),
            );
        }
        if let DaemonCall::Cancel { job, limit_ms } = call {
            return DaemonReply::Submitted(self.cancel_for_peer(job, limit_ms).await);
        }
        if let DaemonCall::Leads { epoch, address } = call {
            self.observe_leader(epoch, Some(address));
            return DaemonReply::Noted;
        }
        if let DaemonCall::Execute { session, batch } = call {
            let accepted = executors::call::decode::<Batch>("batch", &batch)
                .is_some_and(|batch| self.executor.execute(session, batch));
            return if accepted { DaemonReply::Noted } else { DaemonReply::NotScheduler };
        }
        if let DaemonCall::Collect { session, wait_ms } = call {
            let Some(replies) = self.executor.collect(session, wait_ms).await else {
                return DaemonReply::NotScheduler;
            };
            let replies = executors::call::encode(&replies);
            return DaemonReply::Collected { clock_ms: steady_ms(), replies };
        }
        if call == DaemonCall::Manifest {
            let manifest = executors::call::encode(self.manifest.newest().as_ref());
            return DaemonReply::Manifest {
                manifest,
                proof: self.manifest.relayed_proof(steady_ms()),
            };
        }
        let Route::Local(requests) = self.route() else { return DaemonReply::NotScheduler };
        if call == DaemonCall::Alive {
            let daemons = self.daemon_count.load(Ordering::Relaxed);
            let fit = self.candidate_count.load(Ordering::Relaxed);
            let manifest = self.manifest.relayed_proof(steady_ms());
            return DaemonReply::Alive {
                reaches_store: self.reaches_store(),
                daemons,
                fit,
                manifest,
            };
        }
        if let DaemonCall::Submit { job, .. } = call {
            return self.submit_for_peer(&requests, job, call).await;
        }
        match call_local(&requests, call).await {
            LocalReply::Reply(reply) => reply,
            LocalReply::NotTaken | LocalReply::Dropped => DaemonReply::NotScheduler,
        }
    }

    /// Submits a job to the scheduler on this daemon for a caller of another daemon.
    ///
    /// A scheduler that ends may have sent the write already. That is told apart from a
    /// submission that it never took, which the other daemon may report as "not run".
    async fn submit_for_peer(
        &self,
        requests: &mpsc::Sender<SchedulerRequest>,
        job: JobId,
        call: DaemonCall,
    ) -> DaemonReply {
        if !self.reaches_store() {
            // The calling daemon may reach the store itself.
            return DaemonReply::NotScheduler;
        }
        match call_local(requests, call).await {
            LocalReply::Reply(DaemonReply::Submitted(accepted)) => {
                DaemonReply::Submitted(self.account_for_earlier_tries(job, accepted))
            }
            LocalReply::Reply(reply) => reply,
            LocalReply::NotTaken => DaemonReply::NotScheduler,
            LocalReply::Dropped => {
                self.recent_submissions.record(job, steady_ms());
                DaemonReply::SubmissionInDoubt
            }
        }
    }
}

/// Combines the leader's reply to a submission with the outcome of this daemon's own write.
/// Each of the two is `None` if it does not matter any more.
fn combine(leader: Option<LeaderReply>, local: Option<Accepted>) -> SubmissionAnswer {
    let accepted = match (leader, local) {
        (_, Some(Accepted::Yes | Accepted::Taken)) | (None | Some(LeaderReply::NotSent), _) => {
            local.unwrap_or(Accepted::Unknown)
        }
        (Some(LeaderReply::Outcome(Accepted::No)), _) => local.unwrap_or(Accepted::No),
        (Some(LeaderReply::Outcome(accepted)), _) => accepted,
        // The leader may still make the submission durable.
        (Some(LeaderReply::NoAnswer), _) => Accepted::Unknown,
    };
    SubmissionAnswer { accepted, leader, local }
}

/// What a caller may see of a job.
fn visible_state(view: &JobView, caller: Option<&CustomerName>) -> JobLookup {
    if view.customer.as_ref() == caller { JobLookup::State(view.state) } else { JobLookup::NoJob }
}

async fn call_local(requests: &mpsc::Sender<SchedulerRequest>, call: DaemonCall) -> LocalReply {
    match call {
        DaemonCall::State(job) => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::State(job, reply_sender);
            request_reply(requests, request, reply, DaemonReply::State).await
        }
        DaemonCall::Pending(queue) => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::Pending(queue, reply_sender);
            request_reply(requests, request, reply, DaemonReply::Pending).await
        }
        DaemonCall::Submit { job, row } => {
            let (reply_sender, reply) = oneshot::channel();
            let request = SchedulerRequest::Submit(job, row, reply_sender);
            request_reply(requests, request, reply, DaemonReply::Submitted).await
        }
        DaemonCall::Accepted { job, row } => {
            notify(requests, SchedulerRequest::Accepted(job, row)).await
        }
        DaemonCall::Cancelled(job) => notify(requests, SchedulerRequest::Cancelled(job)).await,
        DaemonCall::Cancel { .. }
        | DaemonCall::Manifest
        | DaemonCall::Advise { .. }
        | DaemonCall::Alive
        | DaemonCall::Leads { .. }
        | DaemonCall::Execute { .. }
        | DaemonCall::Collect { .. } => LocalReply::NotTaken,
    }
}

async fn request_reply<T>(
    requests: &mpsc::Sender<SchedulerRequest>,
    request: SchedulerRequest,
    reply: oneshot::Receiver<T>,
    into_reply: impl FnOnce(T) -> DaemonReply,
) -> LocalReply {
    if requests.send(request).await.is_err() {
        return LocalReply::NotTaken;
    }
    match reply.await {
        Ok(value) => LocalReply::Reply(into_reply(value)),
        Err(_) => LocalReply::Dropped,
    }
}

async fn notify(
    requests: &mpsc::Sender<SchedulerRequest>,
    notification: SchedulerRequest,
) -> LocalReply {
    match requests.send(notification).await {
        Ok(()) => LocalReply::Reply(DaemonReply::Noted),
        Err(_) => LocalReply::NotTaken,
    }
}

fn outcome_name(accepted: Accepted) -> &'static str {
    match accepted {
        Accepted::Yes => "accepted",
        Accepted::No => "refused",
        Accepted::Taken => "taken",
        Accepted::Overloaded { .. } => "overloaded",
        Accepted::Unknown => "unknown",
    }
}
