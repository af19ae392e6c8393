//! Calls to workers through other daemons, the executors.
//!
//! One leader decides for the whole pool. With many workers the calls cost it far more
//! than the decisions, while other daemons are idle. So it sends its calls in batches to
//! executors. An executor is a daemon in the workers' zone; it makes the calls and returns
//! the replies in batches. It runs no tasks, and it decides nothing: calls carry the
//! leader's fencing token, and a call whose executor is lost counts as unanswered, whatever
//! became of it.
//!
//! The leader has a *link* to each of its executors. Over a link it opens one *session*
//! after another. A call to the executor that fails is repeated, and nothing is lost: replies stay
//! at the executor until the leader acknowledges them, and a batch that arrives again is not
//! executed again. A session ends if the executor has lost its state or is silent for too long.

pub mod call;
pub mod direct;
mod link;
pub mod plan;
pub mod session;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::ZoneName;
use stoatwell_peer::Peers;
use stoatwell_pool::CallError;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::call::PendingCall;
use self::call::WorkerCall;
use self::call::WorkerReply;
use self::direct::DirectWorkers;
use self::direct::Way;
use self::link::Link;
use self::plan::executor_candidates;
use self::plan::executors_wanted;
use self::plan::is_busy;
use self::plan::needs_executors;
use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::inbox::InboxSender;
use crate::platform::Platform;
use crate::tasks::reap;

/// How long a new leader waits for its executors before it starts to make calls, directly
/// where there is no executor.
const OPEN_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a daemon whose link was given up comes after others in the choice of executors.
const FAILED_LATELY_MS: u64 = 30_000;

/// The way of a direct call, in the log.
const DIRECTLY: &str = "the leader itself";

/// Makes the leader's calls to workers, directly or through executors.
#[derive(Debug)]
pub struct Executors<P> {
    platform: Arc<P>,
    peers: Peers,
    epoch: u64,
    inbox_sender: InboxSender,
    state: Arc<Mutex<State>>,
    /// Direct calls and the tasks of links; all are aborted when this is dropped.
    tasks: Mutex<JoinSet<()>>,
    /// Notified when a link opens or fails.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    leader: DaemonInfo,
    daemons: Vec<DaemonInfo>,
    workers: BTreeMap<ZoneName, usize>,
    links: BTreeMap<ZoneName, Vec<Arc<Link>>>,
    /// Whether the leader's decisions take up most of its processor time.
    busy: bool,
    /// Workers that the leader calls directly since a call through their executor failed.
    direct_workers: DirectWorkers,
    last_session: u64,
    /// When links to daemons were given up, by address.
    given_up_ms: HashMap<String, u64>,
}

impl<P: Platform> Executors<P> {
    /// Starts without executors. The leader makes all calls directly until other daemons are
    /// known.
    pub fn new(
        platform: Arc<P>,
        peers: Peers,
        leader: DaemonInfo,
        epoch: u64,
        inbox_sender: InboxSender,
    ) -> Self {
        let state = State {
            leader,
            daemons: Vec::new(),
            workers: BTreeMap::new(),
            links: BTreeMap::new(),
            busy: false,
            direct_workers: DirectWorkers::default(),
            last_session: 0,
            given_up_ms: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let tasks = Mutex::default();
        Self {
            platform,
            peers,
            epoch,
            inbox_sender,
            state,
            tasks,
            changed: watch::Sender::default(),
        }
    }

    /// Updates the list of daemons that can be executors.
    pub fn update_daemons(&self, daemons: Vec<DaemonInfo>) {
        self.lock().daemons = daemons;
        self.open_links();
    }

    /// Updates the number of workers in each zone.
    pub fn update_workers(&self, workers: BTreeMap<ZoneName, usize>) {
        self.lock().workers = workers;
        self.open_links();
    }

    /// Updates how much time of a period the leader spent on decisions.
    pub fn update_load(&self, deciding_ms: u64, period_ms: u64) {
        let mut state = self.lock();
        let busy = is_busy(deciding_ms, period_ms, &state.leader, state.busy);
        if busy != state.busy {
            tracing::info!(
                busy,
                deciding_ms,
                period_ms,
                "load of the leader changed; executors make its calls while it is busy"
            );
        }
        state.busy = busy;
        let direct_workers = if state.uses_executors() { state.direct_workers.count() } else { 0 };
        metrics::gauge!("stoatwell_direct_workers").set(direct_workers as f64);
        drop(state);
        self.open_links();
    }

    /// Waits briefly until each zone that needs an executor has one.
    pub async fn wait_until_open(&self) {
        let mut changes = self.changed.subscribe();
        let all_open = async { while !self.is_open() && changes.changed().await.is_ok() {} };
        if timeout(OPEN_TIMEOUT, all_open).await.is_err() {
            tracing::info!(
                epoch = self.epoch,
                "some zones have no executor yet; calls to their workers are made directly"
            );
        }
    }

    /// Makes a call to a worker, through an executor of its zone if there is one.
    pub fn call(&self, zone: Option<&ZoneName>, call: WorkerCall) {
        let link = {
            let mut state = self.lock();
            zone.and_then(|zone| state.route(zone, &call))
        };
        let Some(link) = link else { return self.call_directly(call) };
        if let Some(call) = link.enqueue(call) {
            self.lock().direct_workers.note_loss(call.worker(), steady_ms());
            self.call_directly(call);
        }
    }

    fn call_directly(&self, call: WorkerCall) {
        let platform = Arc::clone(&self.platform);
        let inbox_sender = self.inbox_sender.clone();
        let state = Arc::clone(&self.state);
        let pending = call.pending();
        let epoch = self.epoch;
        self.spawn(async move {
            let began_ms = steady_ms();
            let void_ms = call.void_ms();
            let reply = if void_ms.is_some_and(|void_ms| began_ms >= void_ms) {
                WorkerReply::Failed(CallError::NotSent)
            } else {
                call.perform(&*platform).await
            };
            call.log_outcome(&reply, epoch, began_ms, void_ms);
            pending.log_answer(DIRECTLY, steady_ms().saturating_sub(began_ms), &reply);
            if reply.is_unanswered() {
                lock(&state).direct_workers.remove(pending.worker());
            }
            inbox_sender.notify(pending.into_event(reply));
        });
    }

    /// The number of workers that are called directly since a call through an executor failed.
    pub fn direct_workers(&self) -> usize {
        self.lock().direct_workers.count()
    }

    /// Opens links to further executors in zones that have too few usable ones, and gives up
    /// those that failed where there are enough open ones.
    fn open_links(&self) {
        let mut state = self.lock();
        if !state.uses_executors() {
            return;
        }
        for (zone, workers) in state.workers.clone() {
            let wanted = executors_wanted(workers);
            state.give_up_replaced(&zone, wanted);
            let mut candidates = executor_candidates(&zone, &state.daemons, &state.leader);
            candidates.sort_by_key(|daemon| state.has_failed_lately(&daemon.address));
            for daemon in candidates {
                let links = state.links.entry(zone.clone()).or_default();
                if links.iter().filter(|link| link.is_usable()).count() >= wanted {
                    break;
                }
                if links.iter().any(|link| link.address == daemon.address) {
                    continue;
                }
                let link = Arc::new(Link::new(daemon.address.clone()));
                links.push(Arc::clone(&link));
                self.run_link(link);
            }
        }
    }

    /// Addresses of the daemons with which sessions are open or are being opened.
    pub fn addresses(&self) -> Vec<String> {
        let state = self.lock();
        state.links.values().flatten().map(|link| link.address.clone()).collect()
    }

    /// Keeps a session open with an executor for as long as this daemon leads.
    fn run_link(&self, link: Arc<Link>) {
        let peers = self.peers.clone();
        let inbox_sender = self.inbox_sender.clone();
        let shared = Arc::clone(&self.state);
        let changed = self.changed.clone();
        let epoch = self.epoch;
        let on_reply = move |pending: PendingCall, reply: WorkerReply| {
            note_reply(&mut lock(&shared).direct_workers, &pending, &reply);
            inbox_sender.notify(pending.into_event(reply));
        };
        let next_session = {
            let shared = Arc::clone(&self.state);
            move || {
                let mut state = lock(&shared);
                state.last_session += 1;
                session::SessionId { epoch, number: state.last_session }
            }
        };
        self.spawn(async move {
            let on_change = || {
                changed.send_replace(());
            };
            link.run(&peers, next_session, on_reply, on_change).await;
        });
    }

    /// Replaces executors that failed, for as long as this daemon leads.
    pub async fn replace_failed(&self) {
        let mut changes = self.changed.subscribe();
        while changes.changed().await.is_ok() {
            self.open_links();
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        reap("calls to workers", &mut tasks);
        tasks.spawn(task);
    }

    fn is_open(&self) -> bool {
        let state = self.lock();
        let has_open_link = |zone: &ZoneName| {
            state.links.get(zone).is_some_and(|links| links.iter().any(|link| link.is_open()))
        };
        !state.uses_executors() || state.workers.keys().all(has_open_link)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Notes what the outcome of a call through an executor tells of its worker.
fn note_reply(direct_workers: &mut DirectWorkers, pending: &PendingCall, reply: &WorkerReply) {
    let worker = pending.worker();
    match reply {
        WorkerReply::Failed(_) => direct_workers.note_loss(worker, steady_ms()),
        _ if reply.is_unanswered() => direct_workers.note_failure(worker, steady_ms()),
        WorkerReply::Held(_) => direct_workers.note_answer(worker),
        WorkerReply::Started(_) | WorkerReply::Done(_) => {}
    }
}

impl State {
    /// Whether calls currently go through executors.
    fn uses_executors(&self) -> bool {
        self.busy || needs_executors(self.workers.values().sum(), &self.leader)
    }

    /// Gives up the failed links of a zone that has enough open ones.
    fn give_up_replaced(&mut self, zone: &ZoneName, wanted: usize) {
        let Some(links) = self.links.get_mut(zone) else { return };
        if links.iter().filter(|link| link.is_open()).count() < wanted {
            return;
        }
        let given_up = links.extract_if(.., |link| link.give_up());
        self.given_up_ms.extend(given_up.map(|link| (link.address.clone(), steady_ms())));
    }

    /// Whether the link to a daemon was given up so lately that others come first.
    fn has_failed_lately(&self, address: &str) -> bool {
        let given_up_ms = self.given_up_ms.get(address);
        given_up_ms.is_some_and(|given_up_ms| steady_ms() < given_up_ms + FAILED_LATELY_MS)
    }

    /// The link to the executor for a worker: always the same one while it is open, so that
    /// connections to the worker are reused. `None` if the worker is called directly.
    fn route(&mut self, zone: &ZoneName, call: &WorkerCall) -> Option<Arc<Link>> {
        if !self.uses_executors() {
            return None;
        }
        let worker = call.worker();
        let open = self.links.get(zone)?.iter().filter(|link| link.is_open());
        let chosen =
            open.max_by_key(|link| xxh3_64_with_seed(worker.as_str().as_bytes(), link.seed))?;
        let is_hold = matches!(call, WorkerCall::Hold(_));
        match self.direct_workers.way(worker, is_hold, chosen.open_since_ms(), steady_ms()) {
            Way::Executor => Some(Arc::clone(chosen)),
            Way::Direct => None,
        }
    }
}
