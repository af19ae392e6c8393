//! The settings of a daemon and the checks that every JSON document passes first.
//!
//! [`parse`] finds all mistakes before anything starts. The table in
//! [`fields`] is the one source of defaults, bounds and the documented page.

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

/// Everything that a daemon is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Who the daemon is.
    pub daemon: DaemonSettings,
    /// Where it listens.
    pub listen: Listen,
    /// How it reaches the platform.
    pub platform: PlatformSettings,
    /// Who may act.
    pub security: Security,
    /// Leases on workers.
    pub leases: Leases,
    /// Signs of life.
    pub membership: Membership,
    /// Records of jobs.
    pub ledger: Ledger,
    /// Following the catalogue.
    pub catalogue: CatalogueSettings,
    /// Queues.
    pub queue: Queue,
    /// Requests to minions.
    pub routing: Routing,
    /// The HTTP interface.
    pub http: Http,
    /// Logs.
    pub log: Log,
    /// Planned stops.
    pub stop: Stop,
}

/// Who the daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// Its name.
    pub name: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// For callers and operators.
    pub http_address: SocketAddr,
    /// For other daemons.
    pub peer_address: SocketAddr,
}

/// How the daemon reaches the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformSettings {
    /// The table, the object store and the instance list.
    pub store_address: SocketAddr,
    /// Time limit of a call to them.
    pub store_timeout_ms: u64,
    /// Time limit of a call to a worker.
    pub worker_timeout_ms: u64,
    /// How often the instance list is read.
    pub instances_interval_ms: u64,
}

/// Who may act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Security {
    /// Whether everybody may do everything.
    pub open_access: bool,
    /// Hashes of operators' tokens.
    pub operator_token_sha256: Vec<String>,
    /// Key that daemons share.
    pub peer_key: String,
}

/// Leases on workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    /// How long one runs.
    pub ttl_ms: u64,
    /// How long a renewal waits for news.
    pub renew_wait_ms: u64,
    /// Workers given up to a better placed daemon, a second.
    pub moves_per_second: u64,
    /// How long exclusive work goes on when nobody holds its worker.
    pub orphan_ms: u64,
}

/// Signs of life between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Between heartbeats inside a zone.
    pub heartbeat_ms: u64,
    /// Between heartbeats of the relays of different zones.
    pub relay_ms: u64,
    /// Silence after which a daemon counts as dead.
    pub silent_after_ms: u64,
    /// Time limit of a call to a peer.
    pub peer_timeout_ms: u64,
}

/// Records of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Rows in one transaction.
    pub rows_per_commit: u64,
    /// Transactions a second.
    pub commits_per_second: u64,
    /// How long records of finished jobs stay.
    pub retention_ms: u64,
    /// Between looks for jobs that nobody runs.
    pub sweep_ms: u64,
    /// Largest body kept in the table.
    pub inline_body_bytes: u64,
    /// How long a submission waits for its durable record.
    pub accept_timeout_ms: u64,
}

/// Following the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueSettings {
    /// Between reads of its head.
    pub poll_ms: u64,
}

/// Queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Jobs that are not finished, at one daemon.
    pub jobs: u64,
    /// Requests in work or waiting, at one daemon.
    pub requests: u64,
    /// How long a gang's reservation keeps others away.
    pub gang_reserve_ms: u64,
}

/// Requests to minions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// Time limit of a request without a deadline.
    pub request_timeout_ms: u64,
    /// Retries for each thousand first tries.
    pub retry_permille: u64,
    /// Failures in a row after which a minion is left alone.
    pub breaker_failures: u64,
    /// How long it is left alone.
    pub breaker_open_ms: u64,
}

/// The HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Http {
    /// Largest body.
    pub body_bytes_max: u64,
    /// Longest wait in a long poll.
    pub wait_max_ms: u64,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// How lines are written.
    pub format: LogFormat,
    /// Least level written.
    pub level: String,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Text,
}

/// Planned stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Longest time from the signal to the exit.
    pub grace_ms: u64,
}

/// Reads settings from JSON text, or says all that is wrong with it.
pub fn parse(text: &str) -> Result<Settings, Failure> {
    let document = serde_json::from_str(text)
        .map_err(|error| Failure::with_detail(Code::InvalidSettings, error))?;
    let checked = stoatwell_schema::check(FIELDS, &document)
        .map_err(|problems| Failure::new(Code::InvalidSettings).with_problems(problems))?;
    let settings: Settings = serde_json::from_value(checked)
        .map_err(|error| Failure::with_detail(Code::InvalidSettings, error))?;
    let problems = fields::disagreements(&settings);
    if !problems.is_empty() {
        return Err(Failure::new(Code::InvalidSettings).with_problems(problems));
    }
    Ok(settings)
}

/// The settings that `given` fields and the defaults make, as pretty JSON.
pub fn defaults() -> String {
    let settings = example("daemon-1");
    serde_json::to_string_pretty(&settings).unwrap_or_default()
}

/// Default settings for a daemon of this name on loopback, open to everybody.
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

/// The page that documents every field.
pub fn markdown_table() -> String {
    stoatwell_schema::markdown_table(FIELDS)
}
