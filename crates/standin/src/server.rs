//! The HTTP server that plays platform, workers and minions on one port.

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
/// How often a waiting renewal looks again, at the longest.
const LOOK_AGAIN_MS: u64 = 250;

/// A running stand-in; it ends when this is dropped.
#[derive(Debug)]
pub struct Standin {
    /// IP and port where it answers.
    pub address: SocketAddr,
    world: Arc<World>,
    server: JoinHandle<()>,
}

/// What became of everything, for checks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Calls to the store.
    pub store: BTreeMap<String, u64>,
    /// Tasks started, by worker.
    pub starts: BTreeMap<String, u64>,
    /// The most that ran at once, by worker.
    pub peaks: BTreeMap<String, Resources>,
    /// Requests begun, by minion.
    pub requests: BTreeMap<String, u64>,
    /// The most requests at once, by minion.
    pub peak_busy: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct World {
    state: Mutex<Inner>,
    changed: Notify,
    started: Instant,
    instance_lag_ms: u64,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    writes: u64,
    faults: Faults,
    workers: HashMap<WorkerId, Worker>,
    minions: HashMap<MinionId, Minion>,
    minions_of: HashMap<WorkerId, Vec<MinionId>>,
    instances: Vec<(u64, Instance)>,
    connections: HashSet<SocketAddr>,
    silenced: HashSet<SocketAddr>,
}

impl Standin {
    /// Starts to answer.
    pub async fn start(config: Config) -> io::Result<Self> {
        let listener = TcpListener::bind(&config.listen).await?;
        let address = listener.local_addr()?;
        let world = Arc::new(World::new(&config, address));
        let router = router(Arc::clone(&world));
        let service = router.into_make_service_with_connect_info::<SocketAddr>();
        let server = tokio::spawn(async move {
            let result = axum::serve(listener, service).await;
            if let Err(error) = result {
                tracing::error!(%error, "stand-in ended");
            }
        });
        Ok(Self { address, world, server })
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.world.set_faults(faults);
    }

    /// Adds or replaces a line of the instance list.
    pub fn set_instance(&self, instance: Instance) {
        self.world.set_instance(instance);
    }

    /// What became of everything so far.
    pub fn record(&self) -> Record {
        self.world.lock().record()
    }

    /// Waits for the server, which ends only with the process.
    pub async fn run(mut self) {
        let result = (&mut self.server).await;
        if let Err(error) = result {
            tracing::error!(%error, "stand-in ended");
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl World {
    fn new(config: &Config, address: SocketAddr) -> Self {
        let mut inner = Inner {
            store: Store::default(),
            writes: 0,
            faults: Faults::default(),
            workers: HashMap::new(),
            minions: HashMap::new(),
            minions_of: HashMap::new(),
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
            inner.instances.push((0, instance));
        }
        for group in &config.workers {
            for number in 1..=group.count {
                inner.add_worker(group, number, address, config.usage_lag_ms);
            }
        }
        Self {
            state: Mutex::new(inner),
            changed: Notify::new(),
            started: Instant::now(),
            instance_lag_ms: config.instance_lag_ms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn set_faults(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.silenced =
            if faults.silence_connections { inner.connections.clone() } else { HashSet::new() };
        inner.faults = faults;
    }

    fn set_instance(&self, instance: Instance) {
        let visible_ms = self.now_ms() + self.instance_lag_ms;
        let mut inner = self.lock();
        inner.instances.push((visible_ms, instance));
    }

    /// Hangs for good on a connection that was silenced.
    async fn hear(&self, from: SocketAddr) {
        let silenced = {
            let mut inner = self.lock();
            inner.connections.insert(from);
            inner.silenced.contains(&from)
        };
        if silenced {
            pending::<()>().await;
        }
    }
}

impl Inner {
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
        self.minions_of.entry(worker).or_default().push(minion);
    }

    fn minions_on(&self, worker: &WorkerId) -> Vec<MinionState> {
        let mut states = Vec::new();
        for minion in self.minions_of.get(worker).into_iter().flatten() {
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
            let (starts, peak) = worker.record();
            record.starts.insert(id.to_string(), starts);
            record.peaks.insert(id.to_string(), peak);
        }
        for (id, minion) in &self.minions {
            let (runs, peak_busy) = minion.record();
            record.requests.insert(id.to_string(), runs);
            record.peak_busy.insert(id.to_string(), peak_busy);
        }
        record
    }
}

fn router(world: Arc<World>) -> Router {
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
        .with_state(world)
}

async fn store(
    State(world): State<Arc<World>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Json(call): Json<StoreCall>,
) -> Response {
    world.hear(from).await;
    let (down, delay_ms) = {
        let inner = world.lock();
        (inner.faults.store_down, inner.faults.store_delay_ms)
    };
    if down {
        return (StatusCode::SERVICE_UNAVAILABLE, "the store is down").into_response();
    }
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let now_ms = world.now_ms();
    let mut inner = world.lock();
    if let StoreCall::Instances { zone } = &call {
        let instances = inner.instances(now_ms, zone.as_ref());
        return Json(StoreReply::Instances { instances }).into_response();
    }
    let is_write = call.is_write();
    let reply = inner.store.call(call);
    inner.writes += u64::from(is_write);
    let lose_every = inner.faults.store_lose_every;
    if is_write && lose_every > 0 && inner.writes.is_multiple_of(lose_every) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost").into_response();
    }
    Json(reply).into_response()
}

async fn worker(
    State(world): State<Arc<World>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Path(worker): Path<String>,
    Json(call): Json<WorkerCall>,
) -> Response {
    world.hear(from).await;
    let arrived_ms = world.now_ms();
    loop {
        let notified = world.changed.notified();
        let wait_ms = match world.step(&worker, &call, arrived_ms) {
            Step::Answer(reply) => {
                if !matches!(call, WorkerCall::Renew { .. }) {
                    world.changed.notify_waiters();
                }
                return Json(reply).into_response();
            }
            Step::NoSuchWorker => return (StatusCode::NOT_FOUND, "no such worker").into_response(),
            Step::Never => pending().await,
            Step::Wait(wait_ms) => wait_ms,
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            () = notified => {}
        }
    }
}

/// What to do with a call to a worker now.
enum Step {
    Answer(WorkerReply),
    Wait(u64),
    Never,
    NoSuchWorker,
}

impl World {
    fn step(&self, worker: &str, call: &WorkerCall, arrived_ms: u64) -> Step {
        let now_ms = self.now_ms();
        let id = WorkerId::new(worker);
        let mut inner = self.lock();
        if inner.faults.dead_workers.iter().any(|dead| dead == worker) {
            return Step::Never;
        }
        let fails = inner.faults.failing_workers.iter().any(|failing| failing == worker);
        let minions = inner.minions_on(&id);
        let Some(found) = inner.workers.get_mut(&id) else {
            return Step::NoSuchWorker;
        };
        let reply = found.call(now_ms, arrived_ms, call, &minions, fails);
        let WorkerCall::Renew { wait_ms, since, .. } = call else {
            return Step::Answer(reply);
        };
        let renewed = matches!(reply, WorkerReply::Renewed { .. });
        let end_ms = arrived_ms + wait_ms;
        if !renewed || now_ms >= end_ms || found.has_changes_since(*since) {
            return Step::Answer(reply);
        }
        let look_ms = end_ms.min(now_ms + LOOK_AGAIN_MS);
        let next_ms = found.next_change_ms().unwrap_or(look_ms).min(look_ms);
        Step::Wait(next_ms.saturating_sub(now_ms).max(1))
    }
}

async fn foreign(
    State(world): State<Arc<World>>,
    Path(worker): Path<String>,
    Json(foreign): Json<Resources>,
) -> StatusCode {
    let mut inner = world.lock();
    let Some(found) = inner.workers.get_mut(&WorkerId::new(worker)) else {
        return StatusCode::NOT_FOUND;
    };
    found.set_foreign(foreign);
    StatusCode::NO_CONTENT
}

/// What a pretended request does; its body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Pretence {
    work_ms: u64,
    fail: Option<String>,
    answer_bytes: usize,
}

async fn request(
    State(world): State<Arc<World>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    Path(minion): Path<String>,
    headers: HeaderMap,
    body: String,
) -> Response {
    world.hear(from).await;
    let Some(attempt) = attempt_of(&headers) else {
        return (StatusCode::BAD_REQUEST, "no attempt id").into_response();
    };
    let id = MinionId::new(minion);
    let admission = {
        let mut inner = world.lock();
        match inner.minions.get_mut(&id) {
            Some(minion) => minion.begin(attempt),
            None => return (StatusCode::NOT_FOUND, "no such minion").into_response(),
        }
    };
    match admission {
        Admission::Begun => {}
        Admission::Busy => return marked(attempt, "busy", String::new()),
        Admission::Sealed => return marked(attempt, "never-started", String::new()),
        Admission::Seen(progress) => return told(attempt, progress),
    }
    // The work goes on when the caller hangs up, as on a real back end.
    let worked = tokio::spawn(async move {
        let pretence: Pretence = serde_json::from_str(&body).unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(pretence.work_ms)).await;
        let mut answer = format!("answer to {body}");
        while answer.len() < pretence.answer_bytes {
            answer.push_str(&body);
        }
        if let Some(minion) = world.lock().minions.get_mut(&id) {
            minion.finish(attempt, answer.clone());
        }
        (pretence.fail, answer)
    });
    match worked.await {
        Ok((None, answer)) => plain(attempt, answer),
        Ok((Some(reason), _)) => marked(attempt, "failed", reason),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn seal(
    State(world): State<Arc<World>>,
    Path(minion): Path<String>,
    headers: HeaderMap,
) -> Response {
    let Some(attempt) = attempt_of(&headers) else {
        return (StatusCode::BAD_REQUEST, "no attempt id").into_response();
    };
    let mut inner = world.lock();
    match inner.minions.get_mut(&MinionId::new(minion)) {
        Some(minion) => told(attempt, minion.seal(attempt)),
        None => (StatusCode::NOT_FOUND, "no such minion").into_response(),
    }
}

fn told(attempt: AttemptId, progress: Progress) -> Response {
    match progress {
        Progress::Running => marked(attempt, "running", String::new()),
        Progress::Sealed => marked(attempt, "never-started", String::new()),
        Progress::Answered(answer) => plain(attempt, answer),
    }
}

fn plain(attempt: AttemptId, body: String) -> Response {
    ([(ATTEMPT_HEADER, attempt.to_string())], body).into_response()
}

fn marked(attempt: AttemptId, reply: &'static str, body: String) -> Response {
    let headers = [(ATTEMPT_HEADER, attempt.to_string()), (REPLY_HEADER, reply.to_owned())];
    (headers, body).into_response()
}

fn attempt_of(headers: &HeaderMap) -> Option<AttemptId> {
    headers.get(ATTEMPT_HEADER)?.to_str().ok()?.parse().ok()
}

async fn set_faults(State(world): State<Arc<World>>, Json(faults): Json<Faults>) -> StatusCode {
    world.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn get_faults(State(world): State<Arc<World>>) -> Json<Faults> {
    Json(world.lock().faults.clone())
}

async fn set_instance(
    State(world): State<Arc<World>>,
    Json(instance): Json<Instance>,
) -> StatusCode {
    world.set_instance(instance);
    StatusCode::NO_CONTENT
}

async fn record(State(world): State<Arc<World>>) -> Json<Record> {
    Json(world.lock().record())
}
