//! The metrics of one daemon; `docs/metrics.md` lists them.

use std::fmt;
use std::sync::Arc;

use metrics::counter;
use metrics::describe_counter;
use metrics::describe_gauge;
use metrics::gauge;
use metrics::with_local_recorder;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusRecorder;
use stoatwell_engine::Dump;
use stoatwell_peer::TrafficCounts;

/// Name and help text of every gauge.
pub const GAUGES: &[(&str, &str)] = &[
    ("stoatwell_ready", "1 while callers are served"),
    ("stoatwell_catalogue_revision", "revision of the catalogue in force"),
    (
        "stoatwell_catalogue_age_ms",
        "milliseconds since the catalogue was last seen to be the newest",
    ),
    ("stoatwell_workers_held", "workers held by this daemon"),
    ("stoatwell_workers_quarantined", "held workers that are left alone because they fail"),
    ("stoatwell_tasks_running", "tasks on held workers"),
    ("stoatwell_jobs_open", "jobs that this daemon runs"),
    ("stoatwell_jobs_queued", "jobs that wait for room"),
    ("stoatwell_requests", "requests in work or waiting"),
    ("stoatwell_requests_waiting", "requests that wait for a slot"),
    ("stoatwell_retries_left", "retries left in the budget"),
    ("stoatwell_store_backlog", "writes to the platform's table that are not finished"),
    ("stoatwell_store_refusing", "1 while work that needs the store is refused"),
    ("stoatwell_peers_heard", "other daemons heard of late"),
];

/// Name and help text of every counter.
pub const COUNTERS: &[(&str, &str)] = &[
    ("stoatwell_tasks_placed_total", "tasks that got a worker"),
    ("stoatwell_placements_refused_total", "searches for a worker that found none"),
    ("stoatwell_tasks_evicted_total", "tasks stopped for urgent work"),
    ("stoatwell_jobs_expired_total", "jobs whose deadline passed in the queue"),
    ("stoatwell_quarantines_total", "workers quarantined"),
    ("stoatwell_entries_held_back_total", "entries held back because they fail everywhere"),
    ("stoatwell_store_transactions_total", "transactions sent to the platform's table"),
    ("stoatwell_store_conflicts_total", "writes that met a conflict"),
    ("stoatwell_store_unanswered_total", "transactions without an answer"),
    ("stoatwell_store_recovered_total", "writes whose answer was lost and that had taken effect"),
    ("stoatwell_peer_sent_bytes_total", "bytes sent to other daemons"),
    ("stoatwell_peer_received_bytes_total", "bytes received from other daemons"),
    ("stoatwell_http_requests_total", "answers of the HTTP interface by status"),
    (
        "stoatwell_http_closed_total",
        "connections closed or refused and requests refused at a limit, by reason",
    ),
];

/// A daemon counts as heard recently if its last heartbeat is younger than this.
const RECENT_HEARTBEAT_MS: u64 = 3_000;

/// The recorder of one daemon. It is not global, as several daemons share a process
/// in tests.
#[derive(Clone)]
pub struct Metrics {
    recorder: Arc<PrometheusRecorder>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        with_local_recorder(&recorder, || {
            for (name, help) in GAUGES {
                describe_gauge!(*name, *help);
            }
            for (name, help) in COUNTERS {
                describe_counter!(*name, *help);
            }
        });
        Self { recorder: Arc::new(recorder) }
    }
}

impl Metrics {
    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.recorder.handle().render()
    }

    /// Counts one HTTP response by its status.
    pub fn count_http(&self, status: u16) {
        with_local_recorder(&*self.recorder, || {
            counter!("stoatwell_http_requests_total", "status" => status.to_string()).increment(1);
        });
    }

    /// Counts one connection or request that was closed or refused at a limit.
    pub fn count_http_closed(&self, reason: &'static str) {
        with_local_recorder(&*self.recorder, || {
            counter!("stoatwell_http_closed_total", "reason" => reason).increment(1);
        });
    }

    /// Sets all gauges and counters from a state dump and the traffic between daemons.
    pub fn observe(&self, dump: &Dump, traffic: TrafficCounts) {
        with_local_recorder(&*self.recorder, || {
            set_gauges(dump);
            set_counters(dump, traffic);
        });
    }
}

fn set_gauges(dump: &Dump) {
    let held = dump.workers.iter().filter(|worker| worker.lease_left_ms.is_some());
    let quarantined = dump.workers.iter().filter(|worker| worker.quarantined);
    let tasks: usize = dump.workers.iter().map(|worker| worker.tasks).sum();
    let heard = dump
        .peers
        .iter()
        .filter(|peer| peer.heard_ms_ago.is_some_and(|ago_ms| ago_ms < RECENT_HEARTBEAT_MS));
    let queued: usize = dump.queues.iter().map(|queue| queue.jobs).sum();
    let open: usize = dump.jobs.by_state.values().sum();
    gauge!("stoatwell_ready").set(f64::from(u8::from(dump.ready)));
    gauge!("stoatwell_catalogue_revision").set(dump.catalogue.revision as f64);
    gauge!("stoatwell_catalogue_age_ms").set(dump.catalogue.age_ms as f64);
    gauge!("stoatwell_workers_held").set(held.count() as f64);
    gauge!("stoatwell_workers_quarantined").set(quarantined.count() as f64);
    gauge!("stoatwell_tasks_running").set(tasks as f64);
    gauge!("stoatwell_jobs_open").set(open as f64);
    gauge!("stoatwell_jobs_queued").set(queued as f64);
    gauge!("stoatwell_requests").set(dump.requests.all as f64);
    gauge!("stoatwell_requests_waiting").set(dump.requests.waiting as f64);
    gauge!("stoatwell_retries_left").set(dump.requests.retries_left as f64);
    gauge!("stoatwell_store_backlog").set(dump.store.backlog as f64);
    gauge!("stoatwell_store_refusing").set(f64::from(u8::from(dump.store.refusing)));
    gauge!("stoatwell_peers_heard").set(heard.count() as f64);
}

fn set_counters(dump: &Dump, traffic: TrafficCounts) {
    let decisions = dump.decisions;
    let commits = dump.store.commits;
    counter!("stoatwell_tasks_placed_total").absolute(decisions.placed);
    counter!("stoatwell_placements_refused_total").absolute(decisions.refused);
    counter!("stoatwell_tasks_evicted_total").absolute(decisions.evicted);
    counter!("stoatwell_jobs_expired_total").absolute(decisions.expired);
    counter!("stoatwell_quarantines_total").absolute(decisions.quarantines);
    counter!("stoatwell_entries_held_back_total").absolute(decisions.held_back);
    counter!("stoatwell_store_transactions_total").absolute(commits.transactions);
    counter!("stoatwell_store_conflicts_total").absolute(commits.conflicts);
    counter!("stoatwell_store_unanswered_total").absolute(commits.unanswered);
    counter!("stoatwell_store_recovered_total").absolute(commits.recovered);
    counter!("stoatwell_peer_sent_bytes_total").absolute(traffic.sent_bytes);
    counter!("stoatwell_peer_received_bytes_total").absolute(traffic.received_bytes);
}
