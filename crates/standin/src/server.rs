//! The HTTP server that simulates platform, workers and minions on one port.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::AttemptId;
use stoatwell_model::MinionId;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::worker::MinionState;
use stoatwell_platform::Instance;
use stoatwell_platform::InstanceKind;
use stoatwell_platform::InstanceState;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::WorkerCall;
use stoatwell_platform::WorkerReply;
use stoatwell_platform::http::ATTEMPT_HEADER;
use stoatwell_platform::http::REPLY_HEADER;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::config::Config;
use crate::config::WorkerGroup;
use crate::faults::Faults;
use crate::minion::Admission;
use crate::minion::Minion;
use crate::minion::Progress;
use crate::store::Store;
use crate::store::StoreCounts;
use crate::worker::Worker;

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Longest interval between two checks for changes during a long-polled renewal.
const RECHECK_INTERVAL_MS: u64 = 250;

/// A running stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct Standin {
    /// IP and port where it listens.
    pub address: SocketAddr,
    simulator: Arc<Simulator>,
    server: JoinHandle<()>,
}

/// Statistics of everything that the stand-in did, for tests; the body of `/record`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Counters of the store, by name.
    pub store: BTreeMap<String, u64>,
    /// Number of started tasks, by worker.
    pub starts: BTreeMap<String, u64>,
    /// Peak of the resources that running tasks demanded at once, by worker.
    pub peaks: BTreeMap<String, Resources>,
    /// Number of admitted requests, by minion.
    pub requests: BTreeMap<String, u64>,
    /// Peak number of requests in progress, by minion.
    pub peak_busy: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct Simulator {
    state: Mutex<SimulatorState>,
    changed: Notify,
    started: Instant,
    instance_lag_ms: u64,
}

#[derive(Debug)]
struct SimulatorState {
    store: Store,
    writes: u64,
    faults: Faults,
    workers: HashMap<WorkerId, Worker>,
    minions: HashMap<MinionId, Minion>,
    minions_by_worker: HashMap<WorkerId, Vec<MinionId>>,
    instances: Vec<(u64, Instance)>,
    connections: HashSet<SocketAddr>,
    silenced: HashSet<SocketAddr>,
}

impl Standin {
    /// Binds the configured address and starts the server.
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let listener = TcpListener::bind(&config.listen).await?;
        let address = listener.local_addr()?;
        let simulator = Arc::new(Simulator::new(&config, address));
        let router = router(Arc::clone(&simulator));
        let service = router.into_make_service_with_connect_info::<SocketAddr>();
        let server = tokio::spawn(async move {
            let result = axum::serve(listener, service).await;
            if let Err(error) = result {
                tracing::error!(%error, "HTTP server of the stand-in failed; it stops answering");
            }
        });
        Ok(Self { address, simulator, server })
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.simulator.set_faults(faults);
    }

    /// Adds or replaces an entry of the instance list, which shows it after the configured delay.
    pub fn set_instance(&self, instance: Instance) {
        self.simulator.set_instance(instance);
    }

    /// Statistics since the start.
    pub fn record(&self) -> Record {
        self.simulator.lock().record()
    }

    /// Serves until the process ends or the server fails.
    pub async fn run(mut self) {
        let result = (&mut self.server).await;
        if let Err(error) = result {
            tracing::error!(%error, "HTTP server of the stand-in failed; it stops answering");
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Simulator {
    fn new(config: &Config, address: SocketAddr) -> Self {
        let mut state = SimulatorState {
            store: Store::default(),
            writes: 0,
            faults: Faults::default(),
            workers: HashMap::new(),
            minions: HashMap::new(),
            minions_by_worker: HashMap::new(),
            instances: Vec::new(),
            connections: HashSet::new(),
            silenced: HashSet::new(),
        };
        for entry in &config.entries {
            let instance = Instance {
                name: entry.name.clone(),
                kind: InstanceKind::Entry,
                zone: entry.zone.clone(),
                region: entry.region.clone(),
                address: entry.address.clone(),
                state: InstanceState::Live,
            };
            state.instances.push((0, instance));
        }
        for group in &config.workers {
            for number in 1..=group.count {
                state.add_worker(group, number, address, config.usage_lag_ms);
            }
        }
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            started: Instant::now(),
            instance_lag_ms: config.instance_lag_ms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, SimulatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.silenced =
            if faults.silence_connections { state.connections.clone() } else { HashSet::new() };
        state.faults = faults;
    }

    fn set_instance(&self, instance: Instance) {
        let visible_ms = self.now_ms() + self.instance_lag_ms;
        let mut state = self.lock();
        state.instances.push((visible_ms, instance));
    }

    /// Remembers the connection of a call; never returns if that connection was silenced.
    async fn track_connection(&self, from: SocketAddr) {
        let silenced = {
            let mut state = self.lock();
            state.connections.insert(from);
            state.silenced.contains(&from)
        };
        if silenced {
            pending::<()>().await;
        }
    }
}

impl SimulatorState {
    fn add_worker(&mut self, group: &WorkerGroup, number: u32, address: SocketAddr, lag_ms: u64) {
        let name = format!("{}{number}", group.prefix);
        let rack = format!("{}rack{}", group.prefix, (number - 1) / group.per_rack.max(1));
        let worker = WorkerId::new(&name);
        self.workers
            .insert(worker.clone(), Worker::new(worker.clone(), rack, group.capacity, lag_ms));
        let instance = Instance {
            name: name.clone(),
            kind: InstanceKind::Worker,
            zone: group.zone.clone(),
            region: group.region.clone(),
            address: address.to_string(),
            state: InstanceState::Live,
        };
        self.instances.push((0, instance));
        let Some(minion_group) = &group.minion_group else {
            return;
        };
        let minion = MinionId::new(format!("{name}-minion"));
        let state = MinionState {
            minion: minion.clone(),
            group: minion_group.clone(),
            address: address.to_string(),
            slots: group.minion_slots,
            connections: group.minion_connections,
            busy: 0,
        };
        self.minions.insert(minion.clone(), Minion::new(state));
        self.minions_by_worker.entry(worker).or_default().push(minion);
    }

    fn minions_on(&self, worker: &WorkerId) -> Vec<MinionState> {
        let mut states = Vec::new();
        for minion in self.minions_by_worker.get(worker).into_iter().flatten() {
            states.extend(self.minions.get(minion).map(|minion| minion.state.clone()));
        }
        states
    }

    fn instances(&self, now_ms: u64, zone: Option<&ZoneName>) -> Vec<Instance> {
        let mut latest = BTreeMap::new();
        for (visible_ms, instance) in &self.instances {
            let wanted = instance.kind == InstanceKind::Entry
                || zone.is_none_or(|zone| instance.zone == *zone);
            if *visible_ms <= now_ms && wanted {
                latest.insert(instance.name.clone(), instance.clone());
            }
        }
        latest.into_values().collect()
    }

    fn record(&self) -> Record {
        let StoreCounts { commits, conflicts, rows_written, reads, objects, rows } =
            self.store.counts();
        let counts = [
            ("commits", commits),
            ("conflicts", conflicts),
            ("rows_written", rows_written),
            ("reads", reads),
            ("objects", objects),
            ("rows", rows),
        ];
        let mut record = Record {
            store: counts.into_iter().map(|(name, count)| (name.to_owned(), count)).collect(),
            starts: BTreeMap::new(),
            peaks: BTreeMap::new(),
            requests: BTreeMap::new(),
            peak_busy: BTreeMap::new(),
        };
        for (id, worker) in &self.workers {
            let (starts, peak) = worker.stats();
            record.starts.insert(id.to_string(), starts);
            record.peaks.insert(id.to_string(), peak);
        }
        for (id, minion) in &self.minions {
            let (runs, peak_busy) = minion.stats();
            record.requests.insert(id.to_string(), runs);
            record.peak_busy.insert(id.to_string(), peak_busy);
        }
        record
    }
}

fn router(simulator: Arc<Simulator>) -> Router {
    Router::new()
        .route("/store", post(store))
        .route("/workers/{worker}", post(worker))
        .route("/workers/{worker}/foreign", post(foreign))
        .route("/minions/{minion}/requests", post(request))
        .route("/minions/{minion}/seal", post(seal))
        .route("/faults", post(set_faults).get(get_faults))
        .route("/instances", post(set_instance))
        .route("/record", get(record))
        .layer(DefaultBodyLimit::max(BODY_BYTES_MAX))
        .with_state(simulator)
}

async fn store(
    State(simulator): State<Arc<Simulator>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Json(call): Json<StoreCall>,
) -> Response {
    simulator.track_connection(from).await;
    let (down, delay_ms) = {
        let state = simulator.lock();
        (state.faults.store_down, state.faults.store_delay_ms)
    };
    if down {
        return (StatusCode::SERVICE_UNAVAILABLE, "the store is down").into_response();
    }
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let now_ms = simulator.now_ms();
    let mut state = simulator.lock();
    if let StoreCall::Instances { zone } = &call {
        let instances = state.instances(now_ms, zone.as_ref());
        return Json(StoreReply::Instances { instances }).into_response();
    }
    let is_write = call.is_write();
    let reply = state.store.call(call);
    state.writes += u64::from(is_write);
    let lose_every = state.faults.store_lose_every;
    if is_write && lose_every > 0 && state.writes.is_multiple_of(lose_every) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost").into_response();
    }
    Json(reply).into_response()
}

async fn worker(
    State(simulator): State<Arc<Simulator>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Path(worker): Path<String>,
    Json(call): Json<WorkerCall>,
) -> Response {
    simulator.track_connection(from).await;
    let arrived_ms = simulator.now_ms();
    loop {
        let notified = simulator.changed.notified();
        let wait_ms = match simulator.try_worker_call(&worker, &call, arrived_ms) {
            CallProgress::Reply(reply) => {
                if !matches!(call, WorkerCall::Renew { .. }) {
                    simulator.changed.notify_waiters();
                }
                return Json(reply).into_response();
            }
            CallProgress::NoSuchWorker => {
                return (StatusCode::NOT_FOUND, "no such worker").into_response();
            }
            CallProgress::NeverReply => pending().await,
            CallProgress::Wait(wait_ms) => wait_ms,
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            () = notified => {}
        }
    }
}

/// How to proceed with a call to a worker.
enum CallProgress {
    Reply(WorkerReply),
    /// Try again after this many milliseconds or when something changes.
    Wait(u64),
    NeverReply,
    NoSuchWorker,
}

impl Simulator {
    fn try_worker_call(&self, worker: &str, call: &WorkerCall, arrived_ms: u64) -> CallProgress {
        let now_ms = self.now_ms();
        let id = WorkerId::new(worker);
        let mut state = self.lock();
        if state.faults.dead_workers.iter().any(|dead| dead == worker) {
            return CallProgress::NeverReply;
        }
        let fail_all_tasks = state.faults.failing_workers.iter().any(|failing| failing == worker);
        let minions = state.minions_on(&id);
        let Some(found) = state.workers.get_mut(&id) else {
            return CallProgress::NoSuchWorker;
        };
        let reply = found.call(now_ms, arrived_ms, call, &minions, fail_all_tasks);
        let WorkerCall::Renew { wait_ms, since, .. } = call else {
            return CallProgress::Reply(reply);
        };
        let renewed = matches!(reply, WorkerReply::Renewed { .. });
        let end_ms = arrived_ms + wait_ms;
        if !renewed || now_ms >= end_ms || found.has_changes_since(*since) {
            return CallProgress::Reply(reply);
        }
        let recheck_ms = end_ms.min(now_ms + RECHECK_INTERVAL_MS);
        let next_ms = found.next_change_ms().unwrap_or(recheck_ms).min(recheck_ms);
        CallProgress::Wait(next_ms.saturating_sub(now_ms).max(1))
    }
}

async fn foreign(
    State(simulator): State<Arc<Simulator>>,
    Path(worker): Path<String>,
    Json(foreign): Json<Resources>,
) -> StatusCode {
    let mut state = simulator.lock();
    let Some(found) = state.workers.get_mut(&WorkerId::new(worker)) else {
        return StatusCode::NOT_FOUND;
    };
    found.set_foreign(foreign);
    StatusCode::NO_CONTENT
}

/// What a simulated request does, parsed from its body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestScript {
    work_ms: u64,
    fail: Option<String>,
    answer_bytes: usize,
}

async fn request(
    State(simulator): State<Arc<Simulator>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Path(minion): Path<String>,
    headers: HeaderMap,
    body: String,
) -> Response {
    simulator.track_connection(from).await;
    let Some(attempt) = attempt_of(&headers) else {
        return (StatusCode::BAD_REQUEST, "no attempt id").into_response();
    };
    let id = MinionId::new(minion);
    let admission = {
        let mut state = simulator.lock();
        match state.minions.get_mut(&id) {
            Some(minion) => minion.begin(attempt),
            None => return (StatusCode::NOT_FOUND, "no such minion").into_response(),
        }
    };
    match admission {
        Admission::Admitted => {}
        Admission::Busy => return reply_with_kind(attempt, "busy", String::new()),
        Admission::Sealed => return reply_with_kind(attempt, "never-started", String::new()),
        Admission::Duplicate(progress) => return progress_reply(attempt, progress),
    }
    // A task of its own, so that the work continues when the caller disconnects, as on a
    // real back end.
    let work = tokio::spawn(async move {
        let script: RequestScript = serde_json::from_str(&body).unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(script.work_ms)).await;
        let mut answer = format!("answer to {body}");
        while answer.len() < script.answer_bytes {
            answer.push_str(&body);
        }
        if let Some(minion) = simulator.lock().minions.get_mut(&id) {
            minion.finish(attempt, answer.clone());
        }
        (script.fail, answer)
    });
    match work.await {
        Ok((None, answer)) => answer_reply(attempt, answer),
        Ok((Some(reason), _)) => reply_with_kind(attempt, "failed", reason),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn seal(
    State(simulator): State<Arc<Simulator>>,
    Path(minion): Path<String>,
    headers: HeaderMap,
) -> Response {
    let Some(attempt) = attempt_of(&headers) else {
        return (StatusCode::BAD_REQUEST, "no attempt id").into_response();
    };
    let mut state = simulator.lock();
    match state.minions.get_mut(&MinionId::new(minion)) {
        Some(minion) => progress_reply(attempt, minion.seal(attempt)),
        None => (StatusCode::NOT_FOUND, "no such minion").into_response(),
    }
}

fn progress_reply(attempt: AttemptId, progress: Progress) -> Response {
    match progress {
        Progress::Running => reply_with_kind(attempt, "running", String::new()),
        Progress::Sealed => reply_with_kind(attempt, "never-started", String::new()),
        Progress::Answered(answer) => answer_reply(attempt, answer),
    }
}

fn answer_reply(attempt: AttemptId, body: String) -> Response {
    ([(ATTEMPT_HEADER, attempt.to_string())], body).into_response()
}

fn reply_with_kind(attempt: AttemptId, kind: &'static str, body: String) -> Response {
    let headers = [(ATTEMPT_HEADER, attempt.to_string()), (REPLY_HEADER, kind.to_owned())];
    (headers, body).into_response()
}

fn attempt_of(headers: &HeaderMap) -> Option<AttemptId> {
    headers.get(ATTEMPT_HEADER)?.to_str().ok()?.parse().ok()
}

async fn set_faults(
    State(simulator): State<Arc<Simulator>>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    simulator.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn get_faults(State(simulator): State<Arc<Simulator>>) -> Json<Faults> {
    Json(simulator.lock().faults.clone())
}

async fn set_instance(
    State(simulator): State<Arc<Simulator>>,
    Json(instance): Json<Instance>,
) -> StatusCode {
    simulator.set_instance(instance);
    StatusCode::NO_CONTENT
}

async fn record(State(simulator): State<Arc<Simulator>>) -> Json<Record> {
    Json(simulator.lock().record())
}
