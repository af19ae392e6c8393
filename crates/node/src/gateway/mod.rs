//! Serves callers on every daemon, and answers calls from other daemons.
//!
//! [`submission`] makes jobs durable, [`cancellation`] cancels them, [`serve`] handles the calls
//! of other daemons, and [`local`] reaches the scheduler if it runs on this daemon.

mod cancellation;
mod local;
mod serve;
mod submission;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_customers::FreshnessProof;
use stoatwell_model::CustomerName;
use stoatwell_peer::Peers;
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
use crate::clock::steady_ms;
use crate::executors;
use crate::executors::session::Executor;
use crate::gateway::local::LocalReply;
use crate::gateway::local::call_local;
use crate::health::StoreHealth;
use crate::job_rows::read_cancellation;
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

/// How long a durable write is reported to leaders. A change of leader and the reading of its
/// state fit into it.
const NOTIFICATION_PERIOD: Duration = Duration::from_secs(10);
/// Half of the delay before the first repetition of a notification without an acknowledgement;
/// doubled with each further one.
const NOTIFICATION_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The notifications of a new leader are spread over this time.
const NOTIFICATION_SPREAD_MS: u64 = 500;

/// If at least this many daemons are fit to lead, the other daemons poll the lease of a healthy
/// leader less often. It is more than one because several may be lost at once.
const CANDIDATES_MIN: u32 = 4;

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
    /// Longest encoded submission, in bytes.
    submission_bytes_max: usize,
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
        submission_bytes_max: usize,
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
            submission_bytes_max,
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

    /// The epoch of the newest leader that this daemon knows of.
    pub fn leader_epoch(&self) -> u64 {
        self.leader.borrow().epoch()
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

    fn remote_leader(&self) -> Option<String> {
        match self.route() {
            Route::Remote(address) => Some(address),
            Route::Local(_) | Route::None => None,
        }
    }

    /// Notifies the leader of a durable write of a job. The receiver gets a message once a leader
    /// has acknowledged it. The store's change feed delivers the write too, but a quarter of a
    /// second later, and much later if the store is slow or has dropped its history.
    ///
    /// The notification is repeated until a leader acknowledges it, and for each leader that is
    /// elected soon after: one that was just elected may have read the job's rows before. A
    /// leader that is behind must not be kept so by repetitions, and a new one not by all
    /// notifications at one moment, so the delays grow and differ from job to job.
    fn notify_leader(self: &Arc<Self>, job: JobId, call: DaemonCall) -> oneshot::Receiver<()> {
        let gateway = Arc::clone(self);
        let (acknowledgement, acknowledged) = oneshot::channel();
        let mut acknowledgement = Some(acknowledgement);
        tokio::spawn(async move {
            let end = Instant::now() + NOTIFICATION_PERIOD;
            let spread = Duration::from_millis(job.0 % NOTIFICATION_SPREAD_MS);
            let mut is_notified = false;
            let mut retry_delay = NOTIFICATION_RETRY_DELAY;
            let mut view = gateway.leader.subscribe();
            while Instant::now() < end {
                let epoch = view.borrow_and_update().epoch();
                let next_try = if gateway.call_leader(call.clone()).await.is_some() {
                    is_notified = true;
                    let sender = acknowledgement.take();
                    if sender.is_some_and(|sender| sender.send(()).is_err()) {
                        tracing::trace!(%job, "nobody waits for a notification any more");
                    }
                    end
                } else {
                    retry_delay *= 2;
                    end.min(Instant::now() + retry_delay)
                };
                let elected = view.wait_for(|view| view.epoch() > epoch);
                if timeout_at(next_try, elected).await.is_ok() {
                    tokio::time::sleep(spread).await;
                }
            }
            if !is_notified {
                let is_cancellation =
                    matches!(call, DaemonCall::Cancelled(_) | DaemonCall::CancelledUnknown { .. });
                tracing::warn!(
                    %job, is_cancellation,
                    "no leader was notified of a durable write; the store's change feed will deliver it"
                );
            }
        });
        acknowledged
    }

    /// Looks up a job's state. A job of another customer is reported as absent, so that the
    /// caller learns nothing about it.
    pub async fn state(&self, job: JobId, caller: Option<&CustomerName>) -> JobLookup {
        if let Some(DaemonReply::State(Some(view))) = self.call_leader(DaemonCall::State(job)).await
        {
            return visible_state(&view, caller);
        }
        // The leader is unavailable, or has not received a job that was just accepted.
        let epoch = self.leader.borrow().epoch();
        match self.read_state(job).await {
            Ok(Some(view)) => {
                tracing::info!(%job, epoch, state = %view.state, "state read from the store");
                visible_state(&view, caller)
            }
            Ok(None) => {
                tracing::info!(%job, epoch, "the store has no such job");
                JobLookup::NoJob
            }
            Err(error) => {
                tracing::warn!(%job, %error, "reading a job's state from the store failed; reporting it as unknown");
                JobLookup::Unknown
            }
        }
    }

    /// Number of jobs of a queue for which nothing has started; `None` if no leader answers.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let asked_ms = steady_ms();
        let reply = self.call_leader(DaemonCall::Pending(queue.to_owned())).await;
        let count = match reply {
            Some(DaemonReply::Pending(count)) => Some(count),
            _ => None,
        };
        let view = self.leader.borrow();
        let (epoch, is_leader) = (view.epoch(), matches!(view.route(), Route::Local(_)));
        let took_ms = steady_ms() - asked_ms;
        tracing::info!(queue, count, epoch, is_leader, took_ms, "waiting jobs reported");
        count
    }

    async fn read_state(&self, job: JobId) -> Result<Option<JobView>, StoreError> {
        let key = job.to_string();
        let row = self.platform.read(Table::Jobs, &key).await?;
        let Some((_, spec)) = row.as_ref().and_then(read_row::<JobSpec>) else { return Ok(None) };
        let customer = spec.customer.map(|customer| customer.name);
        let view = |state| Some(JobView { state, customer: customer.clone() });
        let progress = self.platform.read(Table::Progress, &key).await?;
        let progress = progress.as_ref().and_then(read_row::<Progress>);
        let progress = progress.map(|(_, progress)| progress).unwrap_or_default();
        if progress.outcome.is_none_or(|outcome| outcome == Outcome::Cancelled) {
            let cancellation = self.platform.read(Table::Cancels, &key).await?;
            let cancellation = cancellation.as_ref().and_then(read_cancellation);
            if cancellation.is_some_and(|(_, it)| it.applies_to(customer.as_ref())) {
                return Ok(view(JobState::Cancelled));
            }
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
}

/// What a caller may see of a job.
fn visible_state(view: &JobView, caller: Option<&CustomerName>) -> JobLookup {
    if view.customer.as_ref() == caller { JobLookup::State(view.state) } else { JobLookup::NoJob }
}
