//! Distributes queries to the advisor over many daemons.
//!
//! The advisor is a service of the platform that decides which workers may run a step. For
//! each of them it grants a ticket, which a start on that worker has to carry.
//!
//! The advisor serves one query at a time for each daemon, and a query can take
//! most of a second. If the leader sent them all, the advisor would be its
//! bottleneck. So each daemon acts as a proxy of the advisor. [`DispatchPlan`] decides
//! which query is sent next and through which proxy. Queries wait at the leader, so that those
//! that are not needed any more can be withdrawn.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_advice::DaemonShare;
use stoatwell_advice::DispatchPlan;
use stoatwell_advice::Outcome;
use stoatwell_advice::QueryId;
use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_pool::AdviseCall;
use stoatwell_pool::Grant;
use stoatwell_pool::StepId;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// How much longer a response may take than the advisor's own time for the query. This covers
/// queries that are ahead of it, and some round trips between regions.
const TIMEOUT_MARGIN_MS: u64 = 600;
/// A failed query is retried through another proxy at once if it took no longer than this,
/// as with a proxy that is down or unreachable, or a short query.
const RETRY_ELAPSED_MAX_MS: u64 = 1_000;
/// Maximum attempts for one query; more than a few daemons rarely stop together.
const ATTEMPTS_MAX: u32 = 4;
/// Time limit for the notification of another daemon.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

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
    plan: DispatchPlan,
    waiting: BTreeMap<QueryId, WaitingQuery>,
    /// Queries that were sent, each with what tells it that its proxy is gone.
    sent: BTreeMap<QueryId, oneshot::Sender<()>>,
}

#[derive(Debug)]
struct WaitingQuery {
    step: StepId,
    permit: oneshot::Sender<Permit>,
}

impl<P: Platform> AdvisorDispatcher<P> {
    /// A dispatcher that uses only this daemon, until others are known.
    pub fn new(platform: Arc<P>, peers: Peers, own_address: String) -> Self {
        let mut state = State::default();
        state.plan.update_daemons(&[DaemonShare { address: own_address.clone(), cpu_millis: 0 }]);
        Self { platform, peers, own_address, state: Arc::new(Mutex::new(state)) }
    }

    /// Updates the list of daemons. Queries through daemons that are gone are sent again through
    /// others. Returns the addresses of all daemons.
    pub fn update_daemons(&self, daemons: &[DaemonInfo]) -> Vec<String> {
        let mut shares: Vec<DaemonShare> = daemons
            .iter()
            .map(|daemon| DaemonShare {
                address: daemon.address.clone(),
                cpu_millis: (daemon.cores * 1_000.0) as u64,
            })
            .collect();
        if shares.iter().all(|daemon| daemon.address != self.own_address) {
            shares.push(DaemonShare { address: self.own_address.clone(), cpu_millis: 0 });
        }
        let mut state = self.lock();
        let lost = state.plan.update_daemons(&shares);
        if !lost.is_empty() {
            tracing::info!(queries = lost.len(), "daemons are gone; their queries are sent again");
        }
        for query in lost {
            // Its receiver is told by the drop of the sender.
            state.sent.remove(&query);
        }
        // Queued queries may find a proxy now.
        state.assign(&self.state);
        state.plan.addresses().cloned().collect()
    }

    /// Drops the queries of a step that were not sent yet.
    pub fn withdraw(&self, step: StepId) {
        let mut state = self.lock();
        let of_step = |(_, waiting): &(&QueryId, &WaitingQuery)| waiting.step == step;
        let ids: Vec<QueryId> = state.waiting.iter().filter(of_step).map(|(id, _)| *id).collect();
        for id in ids {
            state.waiting.remove(&id);
            state.plan.withdraw(id);
            count_withdrawn("not needed");
        }
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
    pub async fn query(&self, call: &AdviseCall) -> Option<Vec<Grant>> {
        let AdviseCall { step, workers, cost_ms, purpose, .. } = call;
        let (step, cost_ms) = (*step, *cost_ms);
        let mut waited_ms = 0;
        for _ in 0..ATTEMPTS_MAX {
            let enqueued_ms = steady_ms();
            let wait_ms = call.withdraw_after_ms.saturating_sub(waited_ms);
            let mut permit = self.acquire_permit(call, wait_ms).await?;
            let address = permit.address.clone();
            let sent_ms = steady_ms();
            waited_ms += sent_ms - enqueued_ms;
            metrics::histogram!("stoatwell_advice_wait_ms").record(waited_ms as f64);
            let limit_ms = cost_ms + TIMEOUT_MARGIN_MS;
            let answer = async {
                if address == self.own_address {
                    self.platform.advise(step, workers, limit_ms).await
                } else {
                    self.query_peer(&address, step, workers, limit_ms).await
                }
            };
            let mut is_proxy_gone = false;
            let granted = tokio::select! {
                granted = answer => granted,
                _ = &mut permit.revoked => {
                    is_proxy_gone = true;
                    None
                }
            };
            permit.outcome = if granted.is_some() { Outcome::Answered } else { Outcome::NoAnswer };
            drop(permit);
            let asked = workers.len();
            let took_ms = steady_ms() - sent_ms;
            let Some(granted) = granted else {
                tracing::warn!(
                    %step, through = address, asked, took_ms, is_proxy_gone,
                    "no answer from the advisor"
                );
                if took_ms > RETRY_ELAPSED_MAX_MS && !is_proxy_gone {
                    return None;
                }
                continue;
            };
            tracing::info!(
                %step, through = address, %purpose, asked, granted = granted.len(), cost_ms,
                waited_ms, took_ms,
                "advisor answered"
            );
            return Some(granted);
        }
        None
    }

    /// Waits until the query is to be sent; `None` if it is withdrawn before.
    async fn acquire_permit(&self, call: &AdviseCall, wait_ms: u64) -> Option<Permit> {
        let (permit, permit_receiver) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            let id = state.plan.enqueue(call.queued());
            state.waiting.insert(id, WaitingQuery { step: call.step, permit });
            state.assign(&self.state);
            id
        };
        let queue_place = QueuePlace { state: Arc::clone(&self.state), id };
        let limit = Duration::from_millis(wait_ms);
        let permit = tokio::time::timeout(limit, permit_receiver).await;
        if permit.is_err() {
            count_withdrawn("too late");
            tracing::info!(
                step = %call.step, purpose = %call.purpose, cost_ms = call.cost_ms, wait_ms,
                "query withdrawn: no daemon was free for it in time"
            );
        }
        drop(queue_place);
        permit.ok()?.ok()
    }

    async fn query_peer(
        &self,
        address: &str,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> Option<Vec<Grant>> {
        let call = DaemonCall::Advise { step, workers: workers.to_vec(), limit_ms };
        let limit = Duration::from_millis(limit_ms);
        match self.peers.call::<DaemonReply>(address, &call, limit).await {
            Ok(DaemonReply::Advised(granted)) => {
                let grant = |(worker, ticket)| Grant { worker, ticket };
                Some(granted?.into_iter().map(grant).collect())
            }
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(address, %error, "cannot query the advisor through a daemon");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_withdrawn(reason: &'static str) {
    metrics::counter!("stoatwell_advice_withdrawn_total", "reason" => reason).increment(1);
}

/// The place of a query in the queue. It is given up on drop, so also when a leader that lost its
/// lease cancels the query.
#[derive(Debug)]
struct QueuePlace {
    state: Arc<Mutex<State>>,
    id: QueryId,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.remove(&self.id);
        state.plan.withdraw(self.id);
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
    address: String,
    id: QueryId,
    outcome: Outcome,
    /// Ends when the proxy is gone.
    revoked: oneshot::Receiver<()>,
    is_released: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.release(self);
        state.assign(&self.state);
    }
}

impl State {
    /// Assigns queued queries to proxies that are free for them.
    fn assign(&mut self, shared: &Arc<Mutex<Self>>) {
        let mut is_any_dropped = false;
        for assignment in self.plan.assign(steady_ms()) {
            let id = assignment.query;
            let (proxy_known, revoked) = oneshot::channel();
            self.sent.insert(id, proxy_known);
            let permit = Permit {
                state: Arc::clone(shared),
                address: assignment.address,
                id,
                outcome: Outcome::Abandoned,
                revoked,
                is_released: false,
            };
            let sent = match self.waiting.remove(&id) {
                Some(waiting) => waiting.permit.send(permit),
                None => Err(permit),
            };
            if let Err(mut permit) = sent {
                // The query was dropped while it was queued. The lock is held, so the permit is
                // released here.
                permit.is_released = true;
                self.release(&permit);
                is_any_dropped = true;
            }
        }
        if is_any_dropped {
            self.assign(shared);
        }
    }

    fn release(&mut self, permit: &Permit) {
        self.sent.remove(&permit.id);
        self.plan.record(&permit.address, permit.id, permit.outcome, steady_ms());
    }
}
