//! A cell in one process: the platform stand-in and daemons, all on free ports.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::time::Duration;

use reqwest::Client;
use reqwest::Method;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;
use stoatwell_membership::rendezvous;
use stoatwell_model::DaemonId;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_platform::Instance;
use stoatwell_platform::InstanceKind;
use stoatwell_platform::InstanceState;
use stoatwell_settings::Settings;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;
use stoatwell_standin::config::WorkerGroup;
use stoatwelld::Daemon;

/// How often a condition is polled before the test fails.
const POLL_ATTEMPTS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const GIB: u64 = 1 << 30;

pub struct Cell {
    pub standin: Standin,
    pub daemons: Vec<Option<Daemon>>,
    pub http: Client,
    addresses: Vec<String>,
}

impl Cell {
    /// Starts one daemon for each of `zones`, and three workers with minions of the
    /// group `sahay` in each zone.
    pub async fn start(zones: &[&str]) -> Self {
        Self::start_with_settings(zones, |_| {}).await
    }

    pub async fn start_with_settings(
        zones: &[&str],
        adjust_settings: impl Fn(&mut Settings),
    ) -> Self {
        Self::start_with_minions(zones, "sahay", adjust_settings).await
    }

    /// As [`Self::start`], with minions of the group `minions`.
    pub async fn start_with_minions(
        zones: &[&str],
        minions: &str,
        adjust_settings: impl Fn(&mut Settings),
    ) -> Self {
        let mut workers = Vec::new();
        let mut names: Vec<&str> = zones.to_vec();
        names.dedup();
        for zone in &names {
            workers.push(WorkerGroup {
                prefix: format!("{zone}-worker-"),
                count: 3,
                per_rack: 2,
                zone: ZoneName::new(zone),
                region: RegionName::new("region"),
                capacity: Resources { cpu_millis: 16_000, memory_bytes: 64 * GIB, accelerators: 4 },
                minion_group: Some(minions.to_owned()),
                minion_slots: 8,
                minion_connections: 64,
            });
        }
        let standin = Standin::start(Config { workers, ..Config::default() })
            .await
            .expect("the stand-in starts");
        let mut cell = Self { standin, daemons: Vec::new(), http: client(), addresses: Vec::new() };
        for (index, zone) in zones.iter().enumerate() {
            cell.add_daemon(&format!("daemon-{index}"), zone, &adjust_settings).await;
        }
        cell
    }

    pub async fn add_daemon(
        &mut self,
        name: &str,
        zone: &str,
        adjust_settings: &impl Fn(&mut Settings),
    ) {
        let mut settings = stoatwell_settings::example(name);
        settings.daemon.zone = ZoneName::new(zone);
        settings.platform.store_address = self.standin.address;
        settings.platform.instances_interval_ms = 100;
        settings.catalogue.poll_ms = 100;
        settings.membership.heartbeat_ms = 100;
        settings.membership.silent_after_ms = 1_000;
        settings.ledger.sweep_ms = 200;
        settings.ledger.commits_per_second = 200;
        adjust_settings(&mut settings);
        let daemon = Daemon::start(settings).await.expect("the daemon starts");
        self.standin.set_instance(Instance {
            name: name.to_owned(),
            kind: InstanceKind::Entry,
            zone: ZoneName::new(zone),
            region: RegionName::new("region"),
            address: daemon.peer_address.to_string(),
            state: InstanceState::Live,
        });
        self.addresses.push(daemon.http_address.to_string());
        self.daemons.push(Some(daemon));
    }

    /// Applies the entries of an example and starts all targets for `owner`.
    pub async fn apply_example(&self, example: &str, owner: &str) {
        let path = format!("{}/../../examples/{example}.json", env!("CARGO_MANIFEST_DIR"));
        let document: Value =
            serde_json::from_str(&std::fs::read_to_string(path).expect("an example"))
                .expect("JSON");
        for entry in document["entries"].as_array().expect("entries") {
            let kind = entry["kind"].as_str().expect("a kind");
            let name = entry
                .get("name")
                .or_else(|| entry.get("owner"))
                .and_then(Value::as_str)
                .expect("a name");
            let response =
                self.call(0, Method::PUT, &format!("/v1/entries/{kind}/{name}"), Some(entry)).await;
            assert!(response.status().is_success(), "{name}: {}", response.status());
        }
        self.start_targets(owner).await;
    }

    pub async fn start_targets(&self, owner: &str) {
        for worker in self.workers() {
            let path = format!("/v1/targets/{worker}/start");
            let response =
                self.call(0, Method::POST, &path, Some(&json!({ "owner": owner }))).await;
            assert!(response.status().is_success(), "{worker}: {}", response.status());
        }
        self.wait_until_held().await;
    }

    /// Waits until every worker is held by the daemon that keeps it, and all daemons have the
    /// same catalogue revision.
    pub async fn wait_until_held(&self) {
        for _ in 0..POLL_ATTEMPTS {
            let mut states = Vec::new();
            for index in 0..self.daemons.len() {
                if self.daemons[index].is_some() {
                    states.push(self.state(index).await);
                }
            }
            let mut revisions: Vec<&Value> =
                states.iter().map(|state| &state["catalogue"]["revision"]).collect();
            revisions.dedup();
            if settled_workers(&states) == self.workers().len() && revisions.len() == 1 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("some workers are not where they stay, or the catalogue revisions differ");
    }

    pub fn workers(&self) -> Vec<String> {
        self.standin.record().starts.keys().cloned().collect()
    }

    pub async fn state(&self, index: usize) -> Value {
        self.call(index, Method::GET, "/v1/state", None).await.json().await.expect("a dump")
    }

    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.addresses[index])
    }

    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Response {
        let mut request = self.http.request(method, self.url(index, path));
        if let Some(body) = body {
            request = request.json(body);
        }
        request.send().await.expect("an answer")
    }

    pub async fn submit(
        &self,
        index: usize,
        key: &str,
        submission: &Value,
        wait_ms: u64,
    ) -> (u16, Value) {
        let url = self.url(index, &format!("/v1/jobs?wait_ms={wait_ms}"));
        let response =
            self.http.post(url).header("idempotency-key", key).json(submission).send().await;
        let response = response.expect("an answer");
        let status = response.status().as_u16();
        (status, response.json().await.expect("JSON"))
    }

    /// Submits and polls the job until it has ended; returns its last view.
    pub async fn run_to_end(&self, index: usize, key: &str, submission: &Value) -> Value {
        let (_, mut view) = self.submit(index, key, submission, 5_000).await;
        for _ in 0..POLL_ATTEMPTS {
            if !matches!(view["state"].as_str(), Some("queued" | "running")) {
                return view;
            }
            let job = view["job"].as_str().expect("a job").to_owned();
            let path = format!("/v1/jobs/{job}?wait_ms=5000");
            view = self.call(index, Method::GET, &path, None).await.json().await.expect("JSON");
        }
        panic!("job {key} did not end: {view}");
    }
}

/// The number of workers that are held by the daemon of their zone that rendezvous hashing
/// selects. Until then daemons give workers up to each other.
fn settled_workers(states: &[Value]) -> usize {
    let mut settled = 0;
    for state in states {
        let zone = &state["daemon"]["zone"];
        let mut holders = Vec::new();
        for other in states.iter().filter(|other| other["daemon"]["zone"] == *zone) {
            holders.push(DaemonId::new(other["daemon"]["daemon"].as_str().expect("a name")));
        }
        for worker in state["workers"].as_array().expect("workers") {
            let name = worker["worker"].as_str().expect("a name");
            let selected = rendezvous::select(name, &holders).map(DaemonId::as_str);
            let is_held = !worker["lease_left_ms"].is_null();
            settled += usize::from(is_held && selected == state["daemon"]["daemon"].as_str());
        }
    }
    settled
}

pub fn client() -> Client {
    Client::builder().no_proxy().build().expect("a client")
}
