//! A small deployment: the store, minions, and the daemons as processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, spawn};
use crate::json::Json;
use crate::minion::{Hooks, Minion, run_tasks};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "nony24.example";
const SERVICE: &str = "sahay";
const ZONES: [&str; 3] = ["ahmedabad-a", "surat-a", "rajkot-a"];
pub const STATUS_S: u64 = 120;
const ROW_BYTES: usize = 65_536;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

pub struct Cell {
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub record: Arc<Record>,
    pub hooks: Arc<Hooks>,
    daemons: Vec<(Child, SocketAddr, SocketAddr)>,
    folder: PathBuf,
    next: usize,
    /// The key of the client that calls.
    pub key: String,
}

impl Cell {
    /// Starts the store, the minions and the daemons.
    pub fn start(folder: &str, minions: usize, daemons: usize) -> Result<Self, String> {
        Self::start_for(folder, minions, daemons, "", STATUS_S)
    }

    /// The same with these tenants in the manifest.
    pub fn start_for(
        folder: &str,
        minions: usize,
        daemons: usize,
        tenants: &str,
        status_s: u64,
    ) -> Result<Self, String> {
        let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
        let hooks = Arc::new(Hooks::default());
        let (store, store_address) = Store::start(ROW_BYTES);
        // The queues: r-0 comes first, r-2 last.
        let routes: Vec<String> = (0..3)
            .map(|priority| {
                format!(
                    r#"{{"name":"r-{priority}","host":"{HOST}","path_prefix":"/q{priority}/","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":1200,"priority":{priority},"service":"{SERVICE}","max_attempts":4,"slack_factor":2.2}}"#
                )
            })
            .collect();
        let revoke_ms = if tenants.is_empty() { "null" } else { "5000" };
        let manifest = format!(
            r#"{{"version":7,{tenants}"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":64,"admission_check":false}}],"limits":{{"max_body_bytes":262144}}}}"#,
            routes.join(",")
        );
        store.write("op", "config", Some(&manifest));
        let minions: Vec<Arc<Minion>> = (0..minions)
            .map(|number| {
                let kind = if number % 2 == 0 { "a" } else { "b" };
                let labels = [kind.to_owned(), format!("r1-{}", number / 8)];
                let zone = ZONES[number % ZONES.len()];
                Minion::start(number, zone, labels, 16_000, &record, &hooks)
            })
            .collect();
        run_tasks(minions.clone());
        let (beating, registry) = (minions.clone(), Arc::clone(&store));
        spawn(move || {
            for sequence in 1.. {
                for minion in &beating {
                    registry.write("servers", &minion.id, Some(&minion.entry(SERVICE, sequence)));
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let mut cell = Self {
            store,
            minions,
            record,
            hooks,
            daemons: Vec::new(),
            folder: temporary,
            next: 0,
            key: String::new(),
        };
        for number in 0..daemons {
            cell.start_daemon(number, store_address, revoke_ms, status_s)?;
        }
        Ok(cell)
    }

    fn start_daemon(
        &mut self,
        number: usize,
        store: SocketAddr,
        revoke_ms: &str,
        status_s: u64,
    ) -> Result<(), String> {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("edge-{zone}-{}", 1 + number / ZONES.len());
        let (callers, ready) = (free_address(), free_address());
        let inner_port = free_pair();
        // The template of the deploy file, filled in for a small deployment.
        let settings = format!(
            r#"{{"name":"{name}","ip":"127.0.0.1","zone":"{zone}","callers":"{callers}","ready":"{ready}","inner_port":{inner_port},"store":"{store}","advisor":null,"core_share":0.25,"core_speed":1,"link_mbps":1000.0,"memory_mb":260,"lease_max_ms":6000,"remember_s":{status_s},"manifest_apply_ms":2500,"revoke_ms":{revoke_ms},"gang_wait_ms":3000,"stop_max_ms":900,"stop_grace_s":6}}"#
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/stoatwell-fleet");
        command.arg("run").env("STOATWELL_NODE_FILE", &path);
        command.stdout(log.try_clone().map_err(|error| error.to_string())?).stderr(log);
        // The daemons end with this program, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        self.daemons.push((child, callers, ready));
        Ok(())
    }

    /// The daemons' addresses for clients.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|(_, callers, _)| *callers).collect()
    }

    /// Waits until all daemons are ready and one of them leads.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        let is_ready = |address: &SocketAddr| {
            let answer = http::call(address, "GET", "x", "/readyz", "", "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < end {
            let all_ready = self.daemons.iter().all(|(_, _, ready)| is_ready(ready));
            if all_ready && self.store.leader().is_some() {
                std::thread::sleep(Duration::from_secs(1));
                self.record.line("all daemons are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the daemons did not become ready".to_owned())
    }

    /// Makes a client's call, through one daemon after the other, until it is answered with 200 or
    /// its tries are over.
    pub fn call(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut last = None;
        for _ in 0..5 {
            self.next += 1;
            let address = self.daemons[self.next % self.daemons.len()].1;
            last =
                http::call(&address, method, HOST, path, &self.key, body, Duration::from_secs(3));
            let short: String = body.chars().take(300).collect();
            self.record.line(&format!("client: {method} {path} {short} -> {last:?}"));
            if last.as_ref().is_some_and(|(status, _)| *status == 200) {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Hands a job in; whether it was accepted.
    pub fn submit(&mut self, queue: usize, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!(r#"{{"spec":"{spec}","steps":[{steps}]}}"#);
        self.call("POST", &format!("/q{queue}/{id}"), &body)
            .is_some_and(|(status, _)| status == 200)
    }

    /// A job's state as a client sees it.
    pub fn state(&mut self, queue: usize, id: &str) -> String {
        let answer = self.call("GET", &format!("/q{queue}/{id}"), "");
        let body = answer.map(|(_, body)| body).unwrap_or_default();
        Json::parse(&body).map_or(String::new(), |body| body.get("state").text().to_owned())
    }

    /// Whether a minion runs the task.
    pub fn is_running(&self, task: &str) -> bool {
        self.minions.iter().any(|minion| minion.running().iter().any(|name| name == task))
    }

    /// How many tasks of a job or a step run, by the beginning of their names.
    pub fn running(&self, prefix: &str) -> usize {
        let count = |minion: &Arc<Minion>| {
            minion.running().iter().filter(|name| name.starts_with(prefix)).count()
        };
        self.minions.iter().map(count).sum()
    }

    /// Whether all daemons still run.
    pub fn are_daemons_up(&mut self) -> bool {
        self.daemons.iter_mut().all(|(child, ..)| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for (child, ..) in &mut self.daemons {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A port at which nothing listens, below the range from which the system takes the ports of
/// outgoing connections.
fn free_port(is_free: impl Fn(u16) -> bool) -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id() * 61;
    loop {
        let number = first + NEXT.fetch_add(2, Ordering::Relaxed);
        let port = 10_000 + (number % 20_000) as u16;
        if is_free(port) {
            return port;
        }
    }
}

fn free_address() -> SocketAddr {
    let port = free_port(|port| TcpListener::bind(("127.0.0.1", port)).is_ok());
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The first of two free ports in a row.
fn free_pair() -> u16 {
    let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
    free_port(|port| is_free(port) && is_free(port + 1))
}
