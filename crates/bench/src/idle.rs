//! Traffic of an idle cell in virtual time: between daemons, to workers and to the
//! store.

use stoatwell_world::World;
use stoatwell_world::layout::Layout;
use stoatwell_world::traffic::TrafficCounts;

const SETTLE_MS: u64 = 20_000;
const MEASURE_MS: u64 = 60_000;

/// Mean rates of one daemon, per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    pub(crate) peer_messages: f64,
    pub(crate) peer_sent_bytes: f64,
    pub(crate) peer_received_bytes: f64,
    pub(crate) cross_region_sent_bytes: f64,
    pub(crate) worker_calls: f64,
    pub(crate) worker_bytes: f64,
    pub(crate) store_reads: f64,
    pub(crate) store_writes: f64,
    pub(crate) store_bytes: f64,
    /// Bytes that the busiest daemon exchanges with others, per second.
    pub(crate) peak_peer_bytes: f64,
}

/// Measures an idle cell of nine zones in four regions, after it has settled.
pub(crate) fn measure(daemons_per_zone: usize, workers_per_zone: u32) -> Rates {
    let layout = Layout::nine_zones(daemons_per_zone, workers_per_zone);
    let mut world = World::new(7, &layout);
    world.run_ms(SETTLE_MS);
    let before: Vec<TrafficCounts> = world.nodes.iter().map(|node| node.counts).collect();
    world.run_ms(MEASURE_MS);
    let mut rates = Rates::default();
    let seconds = MEASURE_MS as f64 / 1_000.0;
    let per_daemon_second = 1.0 / seconds / world.nodes.len() as f64;
    for (node, before) in world.nodes.iter().zip(&before) {
        let counts = node.counts.since(before);
        rates.peer_messages += counts.peer_messages as f64 * per_daemon_second;
        rates.peer_sent_bytes += counts.peer_sent_bytes as f64 * per_daemon_second;
        rates.peer_received_bytes += counts.peer_received_bytes as f64 * per_daemon_second;
        rates.cross_region_sent_bytes += counts.cross_region_sent_bytes as f64 * per_daemon_second;
        rates.worker_calls += counts.worker_calls as f64 * per_daemon_second;
        rates.worker_bytes +=
            (counts.worker_sent_bytes + counts.worker_received_bytes) as f64 * per_daemon_second;
        rates.store_reads += counts.store_reads as f64 * per_daemon_second;
        rates.store_writes += counts.store_writes as f64 * per_daemon_second;
        rates.store_bytes += counts.store_bytes as f64 * per_daemon_second;
        let peer_bytes_per_second =
            (counts.peer_sent_bytes + counts.peer_received_bytes) as f64 / seconds;
        rates.peak_peer_bytes = rates.peak_peer_bytes.max(peer_bytes_per_second);
    }
    rates
}
