//! Distributes queries to the advisor over many daemons.
//!
//! The advisor is a service of the platform that decides which workers may run a step. For
//! each of them it grants a ticket, which a start on that worker has to carry.
//!
//! The advisor serves one query at a time for each daemon, and a query can take
//! most of a second. If the leader sent them all, the advisor would be its
//! bottleneck. So each daemon acts as a proxy of the advisor, and queries are sent
//! through the proxies in order of priority.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::Grant;
use stoatwell_pool::LONG_QUERY_MS;
use stoatwell_pool::StepId;
use stoatwell_pool::long_queries_max;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// How much longer a response may take than the advisor's own time for the query. This covers
/// queries that are ahead of it, and some round trips between regions.
const TIMEOUT_MARGIN_MS: u64 = 600;
/// Initial backoff of a proxy through which a query failed; doubled with each further
/// failure. Without a backoff, a leader that is cut off from many daemons would lose queries
/// through them again and again.
const BACKOFF_MS: u64 = 2_000;
/// Maximum number of doublings, which makes half a minute.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// A failed query is retried through another proxy at once if it took no longer than this,
/// as with a proxy that is down or unreachable, or a short query.
const RETRY_ELAPSED_MAX_MS: u64 = 1_000;
/// Maximum attempts for one query; more than a few daemons rarely stop together.
const ATTEMPTS_MAX: u32 = 4;
/// A proxy is given further queries while the advisor has less work than this left for it.
/// This covers the round trip between regions, during which the advisor would be idle.
const PIPELINE_MS: u64 = 30;
/// Time limit for the notification of another daemon.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of the proxies and of the queue, for metrics and the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// Daemons that queries can be sent through.
    pub proxies: usize,
    /// Those that get no queries for now because one through them failed.
    pub excluded_proxies: usize,
    /// Queries that wait for a proxy.
    pub queued: usize,
    /// How long the oldest of these has waited, in milliseconds.
    pub queue_age_ms: u64,
}

/// Sends queries to the advisor through this daemon and others.
#[derive(Debug)]
pub struct AdvisorDispatcher<P> {
    platform: Arc<P>,
    peers: Peers,
    own_address: String,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    proxies: BTreeMap<String, Proxy>,
    /// Queries that wait for a proxy, by priority and arrival.
    queue: BTreeMap<(u32, u64), QueuedQuery>,
    arrivals: u64,
}

#[derive(Debug, Default)]
struct Proxy {
    /// The advisor's expected time for all unanswered queries through this proxy.
    pending_ms: u64,
    long_queries: usize,
    backoff_until_ms: u64,
    /// Consecutive queries without an answer.
    failures: u32,
}

#[derive(Debug)]
struct QueuedQuery {
    cost_ms: u64,
    enqueued_ms: u64,
    permit: oneshot::Sender<Permit>,
}

impl<P: Platform> AdvisorDispatcher<P> {
    /// A dispatcher that uses only this daemon, until others are known.
    pub fn new(platform: Arc<P>, peers: Peers, own_address: String) -> Self {
        let proxies = BTreeMap::from([(own_address.clone(), Proxy::default())]);
        let state = State { proxies, ..State::default() };
        Self { platform, peers, own_address, state: Arc::new(Mutex::new(state)) }
    }

    /// The current totals.
    pub fn counts(&self) -> DispatcherCounts {
        let now_ms = steady_ms();
        let state = self.lock();
        let oldest_ms = state.queue.values().map(|queued| queued.enqueued_ms).min();
        DispatcherCounts {
            proxies: state.proxies.len(),
            excluded_proxies: state
                .proxies
                .values()
                .filter(|proxy| proxy.backoff_until_ms > now_ms)
                .count(),
            queued: state.queue.len(),
            queue_age_ms: oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms)),
        }
    }

    /// Updates the list of daemons. Returns the addresses of all proxies, including daemons
    /// that have left but still have queries pending.
    pub fn update_daemons(&self, daemons: &[DaemonInfo]) -> Vec<String> {
        let mut addresses = BTreeSet::from([self.own_address.clone()]);
        addresses.extend(daemons.iter().map(|daemon| daemon.address.clone()));
        let mut state = self.lock();
        state.proxies.retain(|address, proxy| addresses.contains(address) || proxy.pending_ms > 0);
        for address in addresses {
            state.proxies.entry(address).or_default();
        }
        // Queued queries may find a proxy now.
        state.assign(&self.state);
        state.proxies.keys().cloned().collect()
    }

    /// Sends a call to another daemon without waiting for the reply; does nothing for this one.
    pub fn notify(&self, address: String, call: DaemonCall) {
        if address == self.own_address {
            return;
        }
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Err(error) = peers.call::<DaemonReply>(&address, &call, NOTIFY_TIMEOUT).await {
                tracing::debug!(address, %error, "cannot notify a daemon");
            }
        });
    }

    /// Asks the advisor which of these workers may run a step, once a proxy is free for the
    /// query. Returns the workers that it allows, with their tickets; `None` if no answer came.
    pub async fn query(
        &self,
        step: StepId,
        workers: &[WorkerId],
        priority: u32,
        cost_ms: u64,
    ) -> Option<Vec<Grant>> {
        let enqueued_ms = steady_ms();
        for _ in 0..ATTEMPTS_MAX {
            let mut permit = self.acquire_permit(priority, cost_ms).await?;
            let address = permit.address.clone();
            let sent_ms = steady_ms();
            let limit_ms = cost_ms + TIMEOUT_MARGIN_MS;
            let answer = if address == self.own_address {
                let granted = self.platform.advise(step, workers, limit_ms).await;
                granted.ok_or(QueryError::NoAdvice)
            } else {
                self.query_peer(&address, step, workers, limit_ms).await
            };
            permit.outcome =
                if answer.is_ok() { QueryOutcome::Answered } else { QueryOutcome::NoAnswer };
            drop(permit);
            let asked = workers.len();
            let took_ms = steady_ms() - sent_ms;
            let granted = match answer {
                Ok(granted) => granted,
                Err(error) => {
                    tracing::warn!(
                        %step, through = address, asked, cost_ms, took_ms, %error,
                        "no answer from the advisor"
                    );
                    let reason = error.reason();
                    metrics::counter!("stoatwell_advice_failures_total", "reason" => reason)
                        .increment(1);
                    if took_ms > RETRY_ELAPSED_MAX_MS {
                        return None;
                    }
                    continue;
                }
            };
            let waited_ms = sent_ms - enqueued_ms;
            tracing::info!(
                %step, through = address, asked, granted = granted.len(), cost_ms, waited_ms, took_ms,
                "advisor answered"
            );
            return Some(granted);
        }
        None
    }

    async fn acquire_permit(&self, priority: u32, cost_ms: u64) -> Option<Permit> {
        let (permit, permit_receiver) = oneshot::channel();
        let queued = QueuedQuery { cost_ms, enqueued_ms: steady_ms(), permit };
        self.lock().enqueue(&self.state, priority, queued);
        permit_receiver.await.ok()
    }

    async fn query_peer(
        &self,
        address: &str,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> Result<Vec<Grant>, QueryError> {
        let call = DaemonCall::Advise { step, workers: workers.to_vec(), limit_ms };
        let limit = Duration::from_millis(limit_ms);
        match self.peers.call::<DaemonReply>(address, &call, limit).await {
            Ok(DaemonReply::Advised(Some(granted))) => {
                let grant = |(worker, ticket)| Grant { worker, ticket };
                Ok(granted.into_iter().map(grant).collect())
            }
            Ok(_) => Err(QueryError::NoAdvice),
            Err(error) => Err(QueryError::NoReply(error)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a query has no answer.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
enum QueryError {
    /// the daemon has no answer of the advisor
    NoAdvice,
    /// the daemon did not reply: {0}
    NoReply(PeerError),
}

impl QueryError {
    /// The label of the metric.
    fn reason(&self) -> &'static str {
        match self {
            Self::NoAdvice => "no advice",
            Self::NoReply(PeerError::NotSent(_)) => "not sent",
            Self::NoReply(PeerError::NoAnswer(_)) => "no reply",
        }
    }
}

/// The outcome of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryOutcome {
    Answered,
    /// No answer came through the proxy.
    NoAnswer,
    /// The query was dropped, which says nothing about the proxy.
    Abandoned,
}

/// Permission to send one query through a proxy.
///
/// It is released on drop, so also when a leader that lost its lease cancels the query. A
/// permit that was never released would count against the proxy for good, and after some of
/// them no long query, and so no gang, could ever be started.
#[derive(Debug)]
struct Permit {
    state: Arc<Mutex<State>>,
    address: String,
    cost_ms: u64,
    outcome: QueryOutcome,
    /// Whether the query is included in the proxy's counts.
    is_counted: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.release(&self.state, &self.address, self.cost_ms, self.outcome);
    }
}

impl State {
    fn enqueue(&mut self, shared: &Arc<Mutex<Self>>, priority: u32, queued: QueuedQuery) {
        self.queue.insert((priority, self.arrivals), queued);
        self.arrivals += 1;
        self.assign(shared);
    }

    /// Assigns queued queries to proxies that have capacity for them.
    fn assign(&mut self, shared: &Arc<Mutex<Self>>) {
        let now_ms = steady_ms();
        let long_queries_max = long_queries_max(self.proxies.len());
        let mut long_queries: usize = self.proxies.values().map(|proxy| proxy.long_queries).sum();
        let mut still_queued = BTreeMap::new();
        while let Some((key, queued)) = self.queue.pop_first() {
            let is_long = queued.cost_ms >= LONG_QUERY_MS;
            let all_in_backoff = self.proxies.values().all(|proxy| proxy.backoff_until_ms > now_ms);
            let available = self.proxies.iter_mut().filter(|(_, proxy)| {
                proxy.pending_ms < PIPELINE_MS
                    && (all_in_backoff || proxy.backoff_until_ms <= now_ms)
            });
            let best = available.min_by_key(|(_, proxy)| proxy.pending_ms);
            let Some((address, proxy)) =
                best.filter(|_| !is_long || long_queries < long_queries_max)
            else {
                still_queued.insert(key, queued);
                if is_long {
                    continue;
                }
                break;
            };
            let permit = Permit {
                state: Arc::clone(shared),
                address: address.clone(),
                cost_ms: queued.cost_ms,
                outcome: QueryOutcome::Abandoned,
                is_counted: true,
            };
            if let Err(mut permit) = queued.permit.send(permit) {
                // The query was dropped while it was queued.
                permit.is_counted = false;
                continue;
            }
            proxy.pending_ms += queued.cost_ms;
            proxy.long_queries += usize::from(is_long);
            long_queries += usize::from(is_long);
        }
        self.queue.append(&mut still_queued);
    }

    fn release(
        &mut self,
        shared: &Arc<Mutex<Self>>,
        address: &str,
        cost_ms: u64,
        outcome: QueryOutcome,
    ) {
        if let Some(proxy) = self.proxies.get_mut(address) {
            proxy.pending_ms = proxy.pending_ms.saturating_sub(cost_ms);
            proxy.long_queries =
                proxy.long_queries.saturating_sub(usize::from(cost_ms >= LONG_QUERY_MS));
            match outcome {
                QueryOutcome::Answered => proxy.failures = 0,
                QueryOutcome::NoAnswer => {
                    let backoff_ms = BACKOFF_MS << proxy.failures.min(BACKOFF_DOUBLINGS_MAX);
                    proxy.backoff_until_ms = steady_ms() + backoff_ms;
                    proxy.failures += 1;
                }
                QueryOutcome::Abandoned => {}
            }
        }
        self.assign(shared);
    }
}
