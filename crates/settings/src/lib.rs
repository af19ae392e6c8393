//! Settings of a daemon.
//!
//! [`parse`] reports all errors before anything starts. The schema in [`fields`] is the
//! single source of defaults, bounds and the documentation.

mod fields;

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::Code;
use stoatwell_model::DaemonId;
use stoatwell_model::Failure;
use stoatwell_model::RegionName;
use stoatwell_model::ZoneName;

pub use fields::FIELDS;

/// All settings of a daemon, after defaults are filled in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Name and location of the daemon.
    pub daemon: DaemonSettings,
    /// Addresses on which the daemon listens.
    pub listen: Listen,
    /// Addresses and timeouts of the platform.
    pub platform: PlatformSettings,
    /// Authentication of callers, operators and peers.
    pub security: Security,
    /// Leases on workers.
    pub leases: Leases,
    /// Heartbeats between daemons.
    pub membership: Membership,
    /// Durable records of jobs.
    pub ledger: Ledger,
    /// Polling of the catalogue.
    pub catalogue: CatalogueSettings,
    /// Limits of queues.
    pub queue: Queue,
    /// Routing of requests to minions.
    pub routing: Routing,
    /// Limits of the HTTP interface.
    pub http: Http,
    /// Log output.
    pub log: Log,
    /// Graceful shutdown.
    pub stop: Stop,
}

/// Name and location of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// Name, unique in the cell.
    pub name: DaemonId,
    /// Availability zone in which it runs.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// Address for callers and operators; port 0 selects a free port.
    pub http_address: SocketAddr,
    /// Address for other daemons; port 0 selects a free port.
    pub peer_address: SocketAddr,
}

/// Addresses and timeouts of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformSettings {
    /// Address of the table, the object store and the instance list.
    pub store_address: SocketAddr,
    /// Timeout of a call to the store.
    pub store_timeout_ms: u64,
    /// Timeout of a call to a worker, beyond the time that the call asks it to wait.
    pub worker_timeout_ms: u64,
    /// Interval between reads of the instance list.
    pub instances_interval_ms: u64,
}

/// Authentication of callers, operators and peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Security {
    /// Whether all callers have all permissions; for loopback only.
    pub open_access: bool,
    /// SHA-256 of each operator's bearer token, in hexadecimal.
    pub operator_token_sha256: Vec<String>,
    /// Secret of 16 bytes or more that all daemons share.
    pub peer_key: String,
}

/// Leases on workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    /// Duration of a lease.
    pub ttl_ms: u64,
    /// How long a renewal waits at the worker for changes.
    pub renew_wait_ms: u64,
    /// Maximum number of workers per second to hand over to better placed daemons.
    pub moves_per_second: u64,
    /// How long exclusive work continues while no daemon holds its worker.
    pub orphan_ms: u64,
}

/// Heartbeats between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Interval between heartbeats within a zone.
    pub heartbeat_ms: u64,
    /// Interval between heartbeats of the relays of different zones.
    pub relay_ms: u64,
    /// Time without a heartbeat after which a daemon counts as dead.
    pub silent_after_ms: u64,
    /// Timeout of a call to another daemon.
    pub peer_timeout_ms: u64,
}

/// Durable records of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Maximum number of rows in one transaction.
    pub rows_per_commit: u64,
    /// Maximum number of transactions per second from this daemon.
    pub commits_per_second: u64,
    /// How long records of finished jobs are kept.
    pub retention_ms: u64,
    /// Interval between scans for jobs without a live coordinator.
    pub sweep_ms: u64,
    /// Maximum size of a body in the table; larger ones go to the object store.
    pub inline_body_bytes: u64,
    /// How long a submission waits for its durable record.
    pub accept_timeout_ms: u64,
}

/// Polling of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueSettings {
    /// Interval between reads of the catalogue's head.
    pub poll_ms: u64,
}

/// Limits of queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Maximum number of unfinished jobs at one daemon.
    pub jobs: u64,
    /// Maximum number of requests in progress or waiting at one daemon.
    pub requests: u64,
    /// How long freed capacity is reserved for a waiting gang.
    pub gang_reserve_ms: u64,
}

/// Routing of requests to minions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// Timeout of a request without a deadline.
    pub request_timeout_ms: u64,
    /// Retries allowed per thousand first attempts.
    pub retry_permille: u64,
    /// Consecutive failures that open the circuit breaker of a minion.
    pub breaker_failures: u64,
    /// How long the circuit breaker of a minion stays open.
    pub breaker_open_ms: u64,
}

/// Limits of the HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Http {
    /// Maximum size of a request's body.
    pub body_bytes_max: u64,
    /// Maximum waiting time of a long poll.
    pub wait_max_ms: u64,
    /// Maximum number of connections.
    pub connections_max: u64,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout_ms: u64,
    /// Time in which a request's body has to arrive.
    pub body_timeout_ms: u64,
    /// Maximum size of all bodies together that wait for their request's response.
    pub body_bytes_total_max: u64,
    /// Time for which a client may read nothing of its response.
    pub write_timeout_ms: u64,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level to log: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text for people.
    Text,
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// How long a stopping daemon still accepts connections, while its readiness check fails.
    pub deregister_ms: u64,
    /// Maximum time from the signal to the exit of the process.
    pub grace_ms: u64,
}

/// Parses settings from JSON, or returns all errors in it.
pub fn parse(text: &str) -> Result<Settings, Failure> {
    let document = serde_json::from_str(text)
        .map_err(|error| Failure::with_detail(Code::InvalidSettings, error))?;
    let checked = stoatwell_schema::check(FIELDS, &document)
        .map_err(|problems| Failure::new(Code::InvalidSettings).with_problems(problems))?;
    let settings: Settings = serde_json::from_value(checked)
        .map_err(|error| Failure::with_detail(Code::InvalidSettings, error))?;
    let problems = fields::inconsistencies(&settings);
    if !problems.is_empty() {
        return Err(Failure::new(Code::InvalidSettings).with_problems(problems));
    }
    Ok(settings)
}

/// Returns the settings of [`example`] with all defaults, as pretty-printed JSON.
pub fn defaults() -> String {
    let settings = example("daemon-1");
    serde_json::to_string_pretty(&settings).unwrap_or_default()
}

/// Returns default settings for a daemon with this name on loopback, with open access.
pub fn example(name: &str) -> Settings {
    let text = serde_json::json!({
        "daemon": { "name": name, "zone": "zone-a", "region": "region-1" },
        "platform": { "store_address": "127.0.0.1:7000" },
        "security": { "open_access": true, "peer_key": "loopback-example-key" },
    });
    match parse(&text.to_string()) {
        Ok(settings) => settings,
        Err(failure) => unreachable!("defaults are valid: {failure:?}"),
    }
}

/// Renders all settings as a Markdown table for the documentation.
pub fn markdown_table() -> String {
    stoatwell_schema::markdown_table(FIELDS)
}
