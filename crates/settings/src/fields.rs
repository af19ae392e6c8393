//! Schema of the settings: paths, bounds, defaults and meanings.

use stoatwell_model::code::Problem;
use stoatwell_schema::Field;
use stoatwell_schema::Kind;

use crate::Settings;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Schema of all settings.
pub const FIELDS: &[Field] = &[
    Field::required("daemon.name", Kind::Name, "the daemon's name, unique in the cell"),
    Field::required("daemon.zone", Kind::Name, "the availability zone it stands in"),
    Field::required("daemon.region", Kind::Name, "the region of that zone"),
    Field::optional(
        "listen.http_address",
        Kind::Address,
        r#""127.0.0.1:0""#,
        "IP and port for callers and operators; port 0 takes a free one",
    ),
    Field::optional(
        "listen.peer_address",
        Kind::Address,
        r#""127.0.0.1:0""#,
        "IP and port for other daemons; port 0 takes a free one",
    ),
    Field::required(
        "platform.store_address",
        Kind::Address,
        "IP and port of the platform's table, object store and instance list",
    ),
    Field::optional(
        "platform.store_timeout_ms",
        Kind::Number(10, 60_000),
        "2000",
        "milliseconds that a call to the store may take",
    ),
    Field::optional(
        "platform.worker_timeout_ms",
        Kind::Number(10, 60_000),
        "1000",
        "milliseconds that a call to a worker may take, beyond the time it is asked to wait",
    ),
    Field::optional(
        "platform.instances_interval_ms",
        Kind::Number(50, 600_000),
        "5000",
        "milliseconds between reads of the instance list",
    ),
    Field::optional(
        "security.open_access",
        Kind::Flag,
        "false",
        "whether everybody may do everything; for loopback only",
    ),
    Field::optional(
        "security.operator_token_sha256",
        Kind::Hashes,
        "[]",
        "SHA-256 of each operator's bearer token",
    ),
    Field::required(
        "security.peer_key",
        Kind::Text(256),
        "key that all daemons share, 16 bytes or more; a stranger's connection is refused",
    ),
    Field::optional(
        "leases.ttl_ms",
        Kind::Number(200, 600_000),
        "6000",
        "milliseconds that a lease on a worker runs",
    ),
    Field::optional(
        "leases.renew_wait_ms",
        Kind::Number(50, 300_000),
        "2000",
        "milliseconds that a renewal waits for news; below a third of leases.ttl_ms",
    ),
    Field::optional(
        "leases.moves_per_second",
        Kind::Number(1, 10_000),
        "5",
        "workers a second that a daemon gives up to a better placed one",
    ),
    Field::optional(
        "leases.orphan_ms",
        Kind::Number(1_000, DAY_MS),
        "30000",
        "milliseconds that exclusive work goes on when nobody holds its worker",
    ),
    Field::optional(
        "membership.heartbeat_ms",
        Kind::Number(20, 60_000),
        "500",
        "milliseconds between heartbeats inside a zone",
    ),
    Field::optional(
        "membership.relay_ms",
        Kind::Number(20, 600_000),
        "1000",
        "milliseconds between heartbeats of the relays of different zones",
    ),
    Field::optional(
        "membership.silent_after_ms",
        Kind::Number(100, 600_000),
        "3000",
        "milliseconds of silence after which a daemon counts as dead; above three heartbeats",
    ),
    Field::optional(
        "membership.peer_timeout_ms",
        Kind::Number(10, 60_000),
        "1000",
        "milliseconds that a call to another daemon may take",
    ),
    Field::optional(
        "ledger.rows_per_commit",
        Kind::Number(3, 10_000),
        "128",
        "rows in one transaction",
    ),
    Field::optional(
        "ledger.commits_per_second",
        Kind::Number(1, 1_000),
        "20",
        "transactions a second that this daemon may send, its share of what the table takes",
    ),
    Field::optional(
        "ledger.retention_ms",
        Kind::Number(1_000, 400 * DAY_MS),
        "86400000",
        "milliseconds that records of finished jobs stay",
    ),
    Field::optional(
        "ledger.sweep_ms",
        Kind::Number(50, 600_000),
        "5000",
        "milliseconds between looks for jobs that nobody runs",
    ),
    Field::optional(
        "ledger.inline_body_bytes",
        Kind::Number(0, 1_048_576),
        "16384",
        "bytes of the largest body kept in the table; larger ones go to the object store",
    ),
    Field::optional(
        "ledger.accept_timeout_ms",
        Kind::Number(50, 60_000),
        "3000",
        "milliseconds that a submission waits for its durable record",
    ),
    Field::optional(
        "catalogue.poll_ms",
        Kind::Number(20, 60_000),
        "1000",
        "milliseconds between reads of the catalogue's head",
    ),
    Field::optional(
        "queue.jobs",
        Kind::Number(1, 10_000_000),
        "100000",
        "unfinished jobs at this daemon",
    ),
    Field::optional(
        "queue.requests",
        Kind::Number(1, 1_000_000),
        "2000",
        "requests in work or waiting at this daemon",
    ),
    Field::optional(
        "queue.gang_reserve_ms",
        Kind::Number(100, DAY_MS),
        "60000",
        "milliseconds for which freed room is kept for a gang that waits",
    ),
    Field::optional(
        "routing.request_timeout_ms",
        Kind::Number(10, 600_000),
        "10000",
        "milliseconds that a request without a deadline may take",
    ),
    Field::optional(
        "routing.retry_permille",
        Kind::Number(0, 1_000),
        "100",
        "retries allowed for each thousand first tries",
    ),
    Field::optional(
        "routing.breaker_failures",
        Kind::Number(1, 1_000),
        "5",
        "failures in a row after which a minion is left alone",
    ),
    Field::optional(
        "routing.breaker_open_ms",
        Kind::Number(10, 600_000),
        "2000",
        "milliseconds for which it is left alone",
    ),
    Field::optional(
        "http.body_bytes_max",
        Kind::Number(1_024, 67_108_864),
        "1048576",
        "bytes of the largest body accepted",
    ),
    Field::optional(
        "http.wait_max_ms",
        Kind::Number(0, 600_000),
        "60000",
        "milliseconds of the longest wait in a long poll",
    ),
    Field::optional(
        "http.connections_max",
        Kind::Number(8, 100_000),
        "2000",
        "connections; at the limit, the one that has waited longest for its client is closed",
    ),
    Field::optional(
        "http.head_timeout_ms",
        Kind::Number(500, 600_000),
        "10000",
        "milliseconds from the first byte of a request to the end of its head",
    ),
    Field::optional(
        "http.body_timeout_ms",
        Kind::Number(500, 600_000),
        "30000",
        "milliseconds in which a body has to arrive",
    ),
    Field::optional(
        "http.body_bytes_total_max",
        Kind::Number(65_536, 17_179_869_184),
        "67108864",
        "bytes of all bodies whose requests have no answer yet; at least http.body_bytes_max",
    ),
    Field::optional(
        "http.write_timeout_ms",
        Kind::Number(500, 600_000),
        "30000",
        "milliseconds for which a client may read nothing of its answer",
    ),
    Field::optional(
        "log.format",
        Kind::Choice(&["json", "text"]),
        r#""text""#,
        "how log lines are written",
    ),
    Field::optional(
        "log.level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        r#""info""#,
        "least level written",
    ),
    Field::optional(
        "stop.deregister_ms",
        Kind::Number(0, 600_000),
        "2500",
        "milliseconds for which a stopping daemon still accepts connections, so that load balancers see that it is not ready",
    ),
    Field::optional(
        "stop.grace_ms",
        Kind::Number(0, 3_600_000),
        "15000",
        "milliseconds from the signal to the exit at the longest",
    ),
];

const PEER_KEY_BYTES_MIN: usize = 16;

/// Checks combinations of fields that are valid individually.
pub(crate) fn inconsistencies(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |path: &str, value: String, expected: &str, hint: &str| {
        problems.push(Problem {
            path: format!("$.{path}"),
            value,
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        });
    };
    let leases = &settings.leases;
    // If a renewal waits too long, the lease expires while the response is in flight,
    // and the worker refuses starts from its own holder.
    if leases.renew_wait_ms * 3 > leases.ttl_ms {
        report(
            "leases.renew_wait_ms",
            leases.renew_wait_ms.to_string(),
            "at most a third of leases.ttl_ms",
            "lower it, or raise leases.ttl_ms",
        );
    }
    let membership = &settings.membership;
    if membership.heartbeat_ms * 3 > membership.silent_after_ms {
        report(
            "membership.silent_after_ms",
            membership.silent_after_ms.to_string(),
            "at least three times membership.heartbeat_ms",
            "raise it, or one lost heartbeat makes a daemon look dead",
        );
    }
    if settings.security.peer_key.len() < PEER_KEY_BYTES_MIN {
        report(
            "security.peer_key",
            "(hidden)".to_owned(),
            "16 bytes or more",
            "use a long random text, the same on every daemon",
        );
    }
    let http = &settings.http;
    if http.body_bytes_total_max < http.body_bytes_max {
        report(
            "http.body_bytes_total_max",
            http.body_bytes_total_max.to_string(),
            "at least http.body_bytes_max",
            "raise it, or lower http.body_bytes_max",
        );
    }
    let stop = &settings.stop;
    if stop.deregister_ms > stop.grace_ms {
        report(
            "stop.deregister_ms",
            stop.deregister_ms.to_string(),
            "at most stop.grace_ms",
            "lower it, or raise stop.grace_ms",
        );
    }
    let http_ip = settings.listen.http_address.ip();
    if settings.security.open_access && !http_ip.is_loopback() {
        report(
            "security.open_access",
            "true".to_owned(),
            "false, unless listen.http_address is on loopback",
            "give operators and owners tokens instead",
        );
    }
    problems
}
