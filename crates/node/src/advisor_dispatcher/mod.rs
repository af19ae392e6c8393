//! Distributes queries to the advisor over many daemons.
//!
//! The advisor is a service of the platform that decides which workers may run a step. For
//! each of them it grants a ticket, which a start on that worker has to carry.
//!
//! The advisor serves one query at a time for each daemon, and a query can take
//! most of a second. If the leader sent them all, the advisor would be its
//! bottleneck. So each daemon acts as a proxy of the advisor, and queries are sent
//! through the proxies in order of priority.
//!
//! A query that is not answered when it should be is *hedged*: it is sent through another proxy as
//! well, and the first answer counts. A daemon that stands still for a second delays its queries by
//! less than that, and its own answer is used if it comes first after all.

mod proxies;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::pending;
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
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use self::proxies::Attempt;
use self::proxies::Full;
use self::proxies::Outcome;
use self::proxies::Proxies;
use crate::clock::sleep_while_running;
use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;
use crate::tasks::log_panic;
use crate::tasks::reap;

/// How much longer than the advisor's own time a response may take before the query is overdue.
/// This covers queries that are ahead of it, and some round trips between regions.
const OVERDUE_MARGIN_MS: u64 = 300;
/// How much longer than the advisor's own time a daemon waits for the advisor.
const ADVISOR_MARGIN_MS: u64 = 1_500;
/// How much longer than the advisor's own time a response is awaited at all.
const RESPONSE_MARGIN_MS: u64 = 2_000;
/// Maximum attempts for one query that are pending together, and those after which a query whose
/// attempts have all failed is given up; more than a few daemons rarely stop together.
const ATTEMPTS_MAX: usize = 4;
/// Interval at which silent daemons are probed and usable ones counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit for a probe of a silent daemon.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of probes in flight.
const PROBES_MAX: usize = 64;
/// Time limit for the notification of another daemon.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of the proxies and of the queue, for metrics and the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounts {
    /// All daemons that queries may go through.
    pub proxies: usize,
    /// Those that get no queries for now: they do not reply, the advisor does not answer them, or a
    /// query through them is overdue.
    pub excluded_proxies: usize,
    /// Queries that wait for a proxy.
    pub queued: usize,
    /// How long the oldest of these has waited, in milliseconds.
    pub queue_age_ms: u64,
}

/// What queries to the advisor can be sent through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryCapacity {
    /// Daemons that get queries now or when their overdue ones have ended.
    pub daemons: usize,
    /// Long queries that are pending and take no time of these daemons.
    pub stuck_long_queries: usize,
}

/// The advisor's answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The workers that the step may run on, with their tickets.
    pub granted: Vec<Grant>,
    /// The time from which on the tickets are valid, by the monotonic clock. It is before the
    /// response arrived if a daemon or the network held it up.
    pub issued_ms: u64,
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
    proxies: Proxies,
    /// Queries that wait for a proxy, by priority and arrival.
    queue: BTreeMap<(u32, u64, Attempt), QueuedQuery>,
    arrivals: u64,
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
        let mut state = State::default();
        state.proxies.update(BTreeSet::from([own_address.clone()]));
        Self { platform, peers, own_address, state: Arc::new(Mutex::new(state)) }
    }

    /// The current totals.
    pub fn counts(&self) -> DispatcherCounts {
        let now_ms = steady_ms();
        let state = self.lock();
        let waiting = state.queue.values().filter(|queued| !queued.permit.is_closed());
        let enqueued_ms: Vec<u64> = waiting.map(|queued| queued.enqueued_ms).collect();
        let oldest_ms = enqueued_ms.iter().min().copied();
        DispatcherCounts {
            proxies: state.proxies.count(),
            excluded_proxies: state.proxies.count() - state.proxies.usable(now_ms),
            queued: enqueued_ms.len(),
            queue_age_ms: oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms)),
        }
    }

    /// Updates the list of daemons. Returns the addresses of all proxies, including daemons
    /// that have left but still have queries pending.
    pub fn update_daemons(&self, daemons: &[DaemonInfo]) -> Vec<String> {
        let mut addresses = BTreeSet::from([self.own_address.clone()]);
        addresses.extend(daemons.iter().map(|daemon| daemon.address.clone()));
        let mut state = self.lock();
        state.proxies.update(addresses);
        // Queued queries may find a proxy now.
        state.assign(&self.state);
        state.proxies.addresses()
    }

    /// Notifies another daemon without waiting for the reply; does nothing for this one.
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

    /// Probes silent daemons until they reply, for as long as this future is polled. Calls
    /// `on_change` whenever the capacity for queries changes.
    pub async fn watch_proxies(&self, on_change: impl Fn(QueryCapacity)) {
        let mut probes = JoinSet::new();
        let mut reported = None;
        loop {
            reap("probes of silent daemons", &mut probes);
            let now_ms = steady_ms();
            let (due, capacity) = {
                let mut state = self.lock();
                // A backoff may have ended.
                state.assign(&self.state);
                let due = state.proxies.take_due_probes(PROBES_MAX - probes.len(), now_ms);
                let daemons = state.proxies.answering(now_ms);
                let stuck_long_queries = state.proxies.stuck_long_queries();
                (due, QueryCapacity { daemons, stuck_long_queries })
            };
            for address in due {
                let (peers, state) = (self.peers.clone(), Arc::clone(&self.state));
                probes.spawn(async move {
                    let call = DaemonCall::Alive;
                    match peers.call::<DaemonReply>(&address, &call, PROBE_TIMEOUT).await {
                        Ok(_) => {
                            let mut locked = lock(&state);
                            locked.proxies.mark_alive(&address, steady_ms());
                            locked.assign(&state);
                        }
                        Err(error) => tracing::debug!(address, %error, "a daemon is silent"),
                    }
                });
            }
            if reported != Some(capacity) {
                reported = Some(capacity);
                on_change(capacity);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Asks the advisor which of these workers may run a step, once a proxy is free for the
    /// query. `None` if no answer came.
    pub async fn query(
        &self,
        step: StepId,
        workers: &[WorkerId],
        priority: u32,
        cost_ms: u64,
    ) -> Option<Advice> {
        let enqueued_ms = steady_ms();
        let arrival = self.lock().next_arrival();
        let _pending = PendingQuery { state: Arc::clone(&self.state), arrival };
        let mut queued = Some(self.enqueue((priority, arrival, Attempt::Sole), cost_ms));
        let mut sent = 0;
        let mut in_flight = JoinSet::new();
        // The newest attempt and when it is overdue.
        let mut newest: Option<(u64, Instant)> = None;
        // The step's tasks keep their workers until the query ends.
        let mut deadline = None;
        loop {
            tokio::select! {
                biased;
                Some(ended) = in_flight.join_next() => {
                    log_panic("query to the advisor", &ended);
                    if let Ok(Ended { sent_ms, through, answer: Ok(granted) }) = ended {
                        // The other attempts tell whether their daemons are alive.
                        in_flight.detach_all();
                        let received_ms = steady_ms();
                        let (waited_ms, took_ms) = (sent_ms - enqueued_ms, received_ms - sent_ms);
                        tracing::info!(
                            %step, through, asked = workers.len(), granted = granted.len(), cost_ms,
                            waited_ms, took_ms, attempts = sent, "advisor answered"
                        );
                        let issued_ms = received_ms.min(sent_ms + cost_ms);
                        return Some(Advice { granted, issued_ms });
                    }
                    if in_flight.is_empty() {
                        newest = None;
                        if sent >= ATTEMPTS_MAX {
                            return None;
                        }
                        // In place of a hedge that is queued.
                        queued = Some(self.enqueue((priority, arrival, Attempt::Sole), cost_ms));
                    }
                }
                Some(permit) = granted_permit(&mut queued) => {
                    queued = None;
                    sent += 1;
                    let limit = Duration::from_millis(2 * cost_ms + RESPONSE_MARGIN_MS);
                    deadline.get_or_insert_with(|| Instant::now() + limit);
                    let overdue_ms = cost_ms + OVERDUE_MARGIN_MS;
                    newest = Some((permit.id, Instant::now() + Duration::from_millis(overdue_ms)));
                    in_flight.spawn(self.attempt(permit, step, workers.to_vec(), cost_ms));
                }
                () = until(newest.map(|(_, overdue)| overdue)), if queued.is_none() => {
                    let Some((id, _)) = newest.take() else { continue };
                    self.lock().proxies.mark_overdue(id, steady_ms());
                    if in_flight.len() < ATTEMPTS_MAX {
                        queued = Some(self.enqueue((priority, arrival, Attempt::Hedge), cost_ms));
                    }
                }
                () = until(deadline) => {
                    in_flight.detach_all();
                    return None;
                }
            }
        }
    }

    /// Queues an attempt. Returns the receiver of its permit.
    fn enqueue(&self, key: (u32, u64, Attempt), cost_ms: u64) -> oneshot::Receiver<Permit> {
        let (permit, permit_receiver) = oneshot::channel();
        let queued = QueuedQuery { cost_ms, enqueued_ms: steady_ms(), permit };
        let mut state = self.lock();
        state.queue.insert(key, queued);
        state.assign(&self.state);
        permit_receiver
    }

    /// Sends a query through the proxy of its permit.
    fn attempt(
        &self,
        mut permit: Permit,
        step: StepId,
        workers: Vec<WorkerId>,
        cost_ms: u64,
    ) -> impl Future<Output = Ended> + Send + use<P> {
        let (platform, peers) = (Arc::clone(&self.platform), self.peers.clone());
        let is_own = permit.address == self.own_address;
        async move {
            let sent_ms = steady_ms();
            let limit_ms = cost_ms + ADVISOR_MARGIN_MS;
            let through = permit.address.clone();
            let asked = workers.len();
            let answer = if is_own {
                let granted = platform.advise(step, &workers, limit_ms).await;
                granted.ok_or(QueryError::NoAdvice)
            } else {
                let call = DaemonCall::Advise { step, workers, limit_ms };
                query_peer(&peers, &through, &call, cost_ms + RESPONSE_MARGIN_MS).await
            };
            permit.outcome = match &answer {
                Ok(_) => Outcome::Answered,
                Err(QueryError::NoAdvice) => Outcome::NoAdvice,
                Err(QueryError::NoReply(_)) => Outcome::NoReply,
            };
            drop(permit);
            if let Err(error) = &answer {
                let took_ms = steady_ms() - sent_ms;
                tracing::warn!(
                    %step, through, asked, cost_ms, took_ms, %error, "no answer from the advisor"
                );
                let reason = error.reason();
                metrics::counter!("stoatwell_advice_failures_total", "reason" => reason)
                    .increment(1);
            }
            Ended { sent_ms, through, answer }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for the permit of a queued attempt; forever if none is queued.
async fn granted_permit(queued: &mut Option<oneshot::Receiver<Permit>>) -> Option<Permit> {
    match queued {
        Some(permit) => permit.await.ok(),
        None => pending().await,
    }
}

/// Waits for a time; forever if there is none.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_while_running(time).await,
        None => pending().await,
    }
}

async fn query_peer(
    peers: &Peers,
    address: &str,
    call: &DaemonCall,
    limit_ms: u64,
) -> Result<Vec<Grant>, QueryError> {
    match peers.call::<DaemonReply>(address, call, Duration::from_millis(limit_ms)).await {
        Ok(DaemonReply::Advised(Some(granted))) => {
            let grant = |(worker, ticket)| Grant { worker, ticket };
            Ok(granted.into_iter().map(grant).collect())
        }
        Ok(_) => Err(QueryError::NoAdvice),
        Err(error) => Err(QueryError::NoReply(error)),
    }
}

/// An attempt that has ended.
#[derive(Debug)]
struct Ended {
    sent_ms: u64,
    through: String,
    answer: Result<Vec<Grant>, QueryError>,
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

/// Permission to send one query through a proxy.
///
/// It is released on drop, so also when a leader that lost its lease cancels the query. A
/// permit that was never released would count against the proxy for good, and after some of
/// them no long query, and so no gang, could ever be started.
#[derive(Debug)]
struct Permit {
    state: Arc<Mutex<State>>,
    id: u64,
    address: String,
    outcome: Outcome,
    /// Whether the query is included in the proxy's counts.
    is_counted: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let mut state = lock(&self.state);
        state.proxies.release(self.id, self.outcome, steady_ms());
        state.assign(&self.state);
    }
}

/// A query that waits for its answer, until it is dropped.
#[derive(Debug)]
struct PendingQuery {
    state: Arc<Mutex<State>>,
    arrival: u64,
}

impl Drop for PendingQuery {
    fn drop(&mut self) {
        lock(&self.state).proxies.end_query(self.arrival);
    }
}

impl State {
    fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    /// Assigns queued queries to proxies that have capacity for them.
    fn assign(&mut self, shared: &Arc<Mutex<Self>>) {
        let now_ms = steady_ms();
        let mut still_queued = BTreeMap::new();
        // Kinds of queries that no proxy takes. Each attempt to assign one examines all proxies.
        let mut full_kinds = BTreeSet::new();
        while let Some((key, queued)) = self.queue.pop_first() {
            if queued.permit.is_closed() {
                // The query was dropped or answered while this attempt was queued.
                continue;
            }
            let (_, arrival, attempt) = key;
            let kind = (attempt, queued.cost_ms >= LONG_QUERY_MS);
            if full_kinds.contains(&kind) {
                still_queued.insert(key, queued);
                continue;
            }
            match self.proxies.assign(arrival, queued.cost_ms, attempt, now_ms) {
                Ok((id, address)) => {
                    let permit = Permit {
                        state: Arc::clone(shared),
                        id,
                        address,
                        outcome: Outcome::Abandoned,
                        is_counted: true,
                    };
                    if let Err(mut permit) = queued.permit.send(permit) {
                        permit.is_counted = false;
                        self.proxies.release(id, Outcome::Abandoned, now_ms);
                    }
                }
                Err(Full::ForThisKind) => {
                    full_kinds.insert(kind);
                    still_queued.insert(key, queued);
                }
                Err(Full::ForAll) => {
                    still_queued.insert(key, queued);
                    break;
                }
            }
        }
        self.queue.append(&mut still_queued);
    }
}
