//! A cell: the platform's stand-ins, and daemons as separate processes.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::minion::HOLD_MAX_MS;
use crate::minion::Minions;
use crate::store::Store;

/// The `run` command of the deploy file.
const PROGRAM: &str = "target/release/stoatwell-fleet";
const ZONES: [&str; 3] = ["ahmedabad-a", "surat-a", "rajkot-a"];
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// An entry is removed after this many heartbeats of silence.
const SILENT_HEARTBEATS: u32 = 3;
pub const HOST: &str = "nony24.example";
/// The queue of priority 0.
pub const URGENT: &str = "/pule252/";
/// The queue of priority 1.
pub const HEAVY: &str = "/lohu930/";
/// The queue of priority 2.
pub const BATCH: &str = "/pufi791/";
/// How long a client waits for an answer.
pub const TIME_LIMIT: Duration = Duration::from_secs(3);

/// A daemon and the address for its callers.
struct Daemon {
    process: Child,
    callers: SocketAddr,
    ready: SocketAddr,
}

/// Ends its processes when it is dropped.
pub struct Cell {
    daemons: Vec<Daemon>,
    folder: PathBuf,
    pub store: Arc<Store>,
    pub minions: Arc<Minions>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cell {
    /// Starts the stand-ins and the daemons. An error tells why the case cannot run.
    pub fn start(
        daemons: usize,
        minions: Arc<Minions>,
        addresses: Vec<(String, SocketAddr)>,
    ) -> Result<Self, String> {
        let (store, store_address) = Store::start();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("temporary folder: {error}"))?;
        let mut cell =
            Self { daemons: Vec::new(), folder, store: Arc::clone(&store), minions: Arc::clone(&minions) };
        store.write("op", "config", Some(&manifest()));
        thread::spawn(move || {
            let mut missed = vec![0; addresses.len()];
            for sequence in 1.. {
                for (number, (id, address)) in addresses.iter().enumerate() {
                    let zone = ZONES[number % ZONES.len()];
                    if let Some(entry) = minions.entry(number, *address, zone, sequence) {
                        store.write("servers", id, Some(&entry));
                        missed[number] = 0;
                        continue;
                    }
                    missed[number] += 1;
                    if missed[number] == SILENT_HEARTBEATS {
                        store.write("servers", id, None);
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        for number in 0..daemons {
            let daemon = cell.start_daemon(number, store_address)?;
            cell.daemons.push(daemon);
        }
        Ok(cell)
    }

    fn start_daemon(&self, number: usize, store: SocketAddr) -> Result<Daemon, String> {
        let (callers, ready) = (free_address(), free_address());
        let name = format!("edge-{}-{number}", ZONES[number % ZONES.len()]);
        let settings = obj(vec![
            ("name", text(&name)),
            ("ip", text("127.0.0.1")),
            ("zone", text(ZONES[number % ZONES.len()])),
            ("callers", text(callers.to_string())),
            ("ready", text(ready.to_string())),
            ("inner_port", num(u64::from(free_ports()))),
            ("store", text(store.to_string())),
            ("advisor", Json::Null),
            ("core_share", Json::Num(0.25)),
            ("core_speed", num(1)),
            ("link_mbps", Json::Num(1000.0)),
            ("memory_mb", num(260)),
            ("lease_max_ms", num(HOLD_MAX_MS)),
            ("remember_s", num(120)),
            ("manifest_apply_ms", num(2_500)),
            ("revoke_ms", Json::Null),
            ("stop_grace_s", num(6)),
        ]);
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).map_err(|error| format!("settings: {error}"))?;
        let log = File::create(self.folder.join(format!("{name}.log")))
            .map_err(|error| format!("log: {error}"))?;
        let process = Command::new(PROGRAM)
            .arg("run")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("STOATWELL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        Ok(Daemon { process, callers, ready })
    }

    /// Waits until all daemons are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        for daemon in &self.daemons {
            let is_ready = || {
                let answer =
                    http::call(daemon.ready, "GET", "/readyz", "x", None, Duration::from_secs(1));
                answer.is_some_and(|answer| answer.status == 200)
            };
            while !is_ready() {
                if Instant::now() > end {
                    return Err("a daemon does not get ready".to_owned());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// The addresses of the daemons for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }
}

/// A client that retries at the next daemon.
#[derive(Clone)]
pub struct Client {
    pub daemons: Vec<SocketAddr>,
}

impl Client {
    /// Hands a job in, with up to four retries. Returns the statuses of the attempts, 0 for no
    /// answer; the job is accepted if the last one is 2xx.
    pub fn submit(&self, first: usize, queue: &str, id: &str, job: &Json) -> Vec<u16> {
        let mut statuses = Vec::new();
        for attempt in 0..5 {
            let daemon = self.daemons[(first + attempt) % self.daemons.len()];
            let path = format!("{queue}{id}");
            let answer = http::call(daemon, "POST", &path, HOST, Some(job), TIME_LIMIT);
            statuses.push(answer.as_ref().map_or(0, |answer| answer.status));
            if answer.as_ref().is_some_and(|answer| (200..300).contains(&answer.status)) {
                break;
            }
            let after_s = answer.and_then(|answer| answer.retry_after_s).unwrap_or(0);
            thread::sleep(Duration::from_millis(after_s * 1_000 + 200));
        }
        statuses
    }

    /// The state that a daemon shows, "410", or "-" without an answer.
    pub fn state(&self, at: usize, queue: &str, id: &str) -> String {
        let daemon = self.daemons[at % self.daemons.len()];
        match http::call(daemon, "GET", &format!("{queue}{id}"), HOST, None, TIME_LIMIT) {
            Some(answer) if answer.status == 200 => answer.body.get("state").str().to_owned(),
            Some(answer) => answer.status.to_string(),
            None => "-".to_owned(),
        }
    }
}

fn manifest() -> Json {
    let route = |name: &str, prefix: &str, target_ms: u64, priority: u64, attempts: u64, slack: f64| {
        obj(vec![
            ("name", text(name)),
            ("host", text(HOST)),
            ("path_prefix", text(prefix)),
            ("kind", text("non_idempotent")),
            ("timeout_ms", num(3_000)),
            ("target_duration_ms", num(target_ms)),
            ("priority", num(priority)),
            ("service", text("sahay")),
            ("max_attempts", num(attempts)),
            ("slack_factor", Json::Num(slack)),
        ])
    };
    let routes = vec![
        route("r-9n73hh2", URGENT, 400, 0, 2, 1.5),
        route("r-3hwrr6x", HEAVY, 1_200, 1, 2, 2.2),
        route("r-73d3zji", BATCH, 3_000, 2, 4, 4.0),
    ];
    let service = obj(vec![
        ("name", text("sahay")),
        ("health_path", text("/healthz")),
        ("max_conns", num(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("admission_check", Json::Bool(false)),
        ("standby", Json::Bool(false)),
    ]);
    obj(vec![
        ("version", num(7)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(vec![service])),
        ("limits", obj(vec![("max_body_bytes", num(262_144))])),
    ])
}

/// A free port below those that outgoing connections get, so that none of these takes it before
/// the daemon listens.
fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_ports()))
}

/// The first of two neighbouring ports that are both free.
fn free_ports() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 600) as u16 * 30;
    loop {
        let step = NEXT.fetch_add(2, Ordering::Relaxed);
        let port = 12_000 + (offset + step) % 18_000;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return port;
        }
    }
}
