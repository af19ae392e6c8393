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
use stoatwell_pool::CALL_AGE_MAX_MS;
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
use self::link::Outcome;
use self::link::Record;
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

/// Maximum number of links of a zone for each executor that it should have. Further ones than that
/// are opened while executors are not trusted with all calls.
const LINKS_PER_EXECUTOR_MAX: usize = 2;
/// The way of a direct call, in the log.
const DIRECTLY: &str = "the leader itself";

/// Makes the leader's calls to workers, directly or through executors.
#[derive(Debug)]
pub struct Executors<P> {
    peers: Peers,
    direct: Arc<DirectCalls<P>>,
    state: Arc<Mutex<State>>,
    /// The tasks of links; all are aborted when this is dropped.
    tasks: Mutex<JoinSet<()>>,
    /// Notified when a link opens or fails.
    changed: watch::Sender<()>,
}

/// Makes calls from the leader itself.
#[derive(Debug)]
struct DirectCalls<P> {
    platform: Arc<P>,
    epoch: u64,
    inbox_sender: InboxSender,
    state: Arc<Mutex<State>>,
    /// Calls in progress; all are aborted when this is dropped.
    tasks: Mutex<JoinSet<()>>,
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
    /// How links that were given up had worked, by address.
    records: HashMap<String, Record>,
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
            records: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let direct = Arc::new(DirectCalls {
            platform,
            epoch,
            inbox_sender,
            state: Arc::clone(&state),
            tasks: Mutex::default(),
        });
        let tasks = Mutex::default();
        Self { peers, direct, state, tasks, changed: watch::Sender::default() }
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
                epoch = self.direct.epoch,
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
        let Some(link) = link else { return self.direct.call(call) };
        if let Some(call) = link.enqueue(call) {
            self.direct.take_over(call);
        }
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
            let now_ms = steady_ms();
            candidates.sort_by_key(|daemon| state.fails_lately(&daemon.address, now_ms));
            for daemon in candidates {
                let record = state.records.get(&daemon.address).copied().unwrap_or_default();
                let links = state.links.entry(zone.clone()).or_default();
                let dependable = links.iter().filter(|link| link.is_dependable(now_ms)).count();
                let working = links.iter().filter(|link| link.is_working()).count();
                if dependable >= wanted || working >= LINKS_PER_EXECUTOR_MAX * wanted {
                    break;
                }
                if links.iter().any(|link| link.address == daemon.address) {
                    continue;
                }
                let link = Arc::new(Link::new(daemon.address.clone(), record));
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
        let direct = Arc::clone(&self.direct);
        let changed = self.changed.clone();
        let epoch = self.direct.epoch;
        let on_outcome = move |outcome: Outcome| match outcome {
            Outcome::Ended(pending, reply) => {
                note_reply(&mut lock(&direct.state).direct_workers, &pending, &reply);
                direct.inbox_sender.notify(pending.into_event(reply));
            }
            Outcome::Overdue(pending) => {
                metrics::counter!("stoatwell_overdue_answers_total", "call" => pending.kind())
                    .increment(1);
                if pending.is_about_run() {
                    let mut state = lock(&direct.state);
                    state.direct_workers.note_overdue(pending.worker(), steady_ms());
                }
                if let Some(event) = pending.overdue_event() {
                    direct.inbox_sender.notify(event);
                }
            }
            Outcome::Returned(call) => direct.take_over(call.without_extension()),
        };
        let next_session = {
            let shared = Arc::clone(&self.state);
            move || {
                let mut state = lock(&shared);
                state.last_session += 1;
                session::SessionId { epoch, number: state.last_session }
            }
        };
        spawn(&self.tasks, async move {
            let on_change = || {
                changed.send_replace(());
            };
            link.run(&peers, next_session, on_outcome, on_change).await;
        });
    }

    /// Replaces executors that failed, for as long as this daemon leads.
    pub async fn replace_failed(&self) {
        let mut changes = self.changed.subscribe();
        while changes.changed().await.is_ok() {
            self.open_links();
        }
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
    if pending.is_about_run() {
        match reply {
            WorkerReply::Failed(CallError::NoAnswer) => {
                direct_workers.note_overdue(worker, steady_ms());
            }
            _ => direct_workers.end_follow_up(worker),
        }
    }
    match reply {
        WorkerReply::Failed(_) => direct_workers.note_loss(worker, steady_ms()),
        _ if reply.is_unanswered() => direct_workers.note_failure(worker, steady_ms()),
        WorkerReply::Held(_) => direct_workers.note_answer(worker),
        WorkerReply::Started(_) | WorkerReply::Done(_) => {}
    }
}

impl<P: Platform> DirectCalls<P> {
    /// Makes a call.
    fn call(&self, call: WorkerCall) {
        let platform = Arc::clone(&self.platform);
        let inbox_sender = self.inbox_sender.clone();
        let state = Arc::clone(&self.state);
        let pending = call.pending();
        let epoch = self.epoch;
        let asked_ms = steady_ms();
        let call = async move {
            let began_ms = steady_ms();
            // This process may have stood still.
            let is_old = began_ms > asked_ms + CALL_AGE_MAX_MS;
            let call = if is_old { call.without_extension() } else { call };
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
        };
        spawn(&self.tasks, call);
    }

    /// Makes a call that an executor did not get.
    fn take_over(&self, call: WorkerCall) {
        lock(&self.state).direct_workers.note_loss(call.worker(), steady_ms());
        self.call(call);
    }
}

fn spawn(tasks: &Mutex<JoinSet<()>>, task: impl Future<Output = ()> + Send + 'static) {
    let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
    reap("calls to workers", &mut tasks);
    tasks.spawn(task);
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
        self.records.extend(given_up.map(|link| (link.address.clone(), link.record())));
    }

    /// Whether the link to a daemon was given up so lately that others come first.
    fn fails_lately(&self, address: &str, now_ms: u64) -> bool {
        self.records.get(address).is_some_and(|record| record.fails_lately(now_ms))
    }

    /// The link to the executor for a worker: always the same one while it is open, so that
    /// connections to the worker are reused. `None` if the worker is called directly.
    fn route(&mut self, zone: &ZoneName, call: &WorkerCall) -> Option<Arc<Link>> {
        if !self.uses_executors() {
            return None;
        }
        let worker = call.worker();
        let now_ms = steady_ms();
        let serving = self.links.get(zone)?.iter().filter(|link| link.serves(worker, now_ms));
        let chosen =
            serving.max_by_key(|link| xxh3_64_with_seed(worker.as_str().as_bytes(), link.seed))?;
        let is_overdue =
            || chosen.is_overdue(worker) || self.direct_workers.is_followed_up(worker, now_ms);
        if call.is_follow_up() && is_overdue() {
            return None;
        }
        let is_hold = matches!(call, WorkerCall::Hold(_));
        match self.direct_workers.way(worker, is_hold, chosen.open_since_ms(), now_ms) {
            Way::Executor => Some(Arc::clone(chosen)),
            Way::Direct => None,
        }
    }
}
