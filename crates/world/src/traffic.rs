//! Traffic counters of one daemon, with sizes as the real codecs encode them.

use bincode::Options;
use serde::Serialize;
use stoatwell_engine::Event;
use stoatwell_platform::StoreCall;
use stoatwell_platform::WorkerCall;

/// Messages, calls and bytes of one daemon since the simulation began. Bytes are those of
/// the encoded messages alone; the overhead of the transports is measured on real connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    pub peer_messages: u64,
    pub peer_sent_bytes: u64,
    pub peer_received_bytes: u64,
    /// Peer messages sent to other regions; also part of `peer_messages`.
    pub cross_region_messages: u64,
    pub cross_region_sent_bytes: u64,
    pub worker_calls: u64,
    pub worker_sent_bytes: u64,
    pub worker_received_bytes: u64,
    pub store_reads: u64,
    pub store_writes: u64,
    pub store_bytes: u64,
}

impl TrafficCounts {
    pub(crate) fn peer_sent(&mut self, message: &impl Serialize, cross_region: bool) {
        let bytes = wire_bytes(message);
        self.peer_messages += 1;
        self.peer_sent_bytes += bytes;
        if cross_region {
            self.cross_region_messages += 1;
            self.cross_region_sent_bytes += bytes;
        }
    }

    pub(crate) fn peer_received(&mut self, message: &impl Serialize) {
        self.peer_received_bytes += wire_bytes(message);
    }

    pub(crate) fn worker_call(&mut self, call: &WorkerCall) {
        self.worker_calls += 1;
        self.worker_sent_bytes += json_bytes(call);
    }

    pub(crate) fn store_call(&mut self, call: &StoreCall) {
        if call.is_write() {
            self.store_writes += 1;
        } else {
            self.store_reads += 1;
        }
        self.store_bytes += json_bytes(call);
    }

    pub(crate) fn reply_received(&mut self, event: &Event) {
        match event {
            Event::WorkerDone { reply: Ok(reply), .. } => {
                self.worker_received_bytes += json_bytes(reply);
            }
            Event::StoreDone { reply: Ok(reply), .. } => self.store_bytes += json_bytes(reply),
            _ => {}
        }
    }

    /// Traffic since `earlier`, an older copy of these counters.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            peer_messages: self.peer_messages - earlier.peer_messages,
            peer_sent_bytes: self.peer_sent_bytes - earlier.peer_sent_bytes,
            peer_received_bytes: self.peer_received_bytes - earlier.peer_received_bytes,
            cross_region_messages: self.cross_region_messages - earlier.cross_region_messages,
            cross_region_sent_bytes: self.cross_region_sent_bytes - earlier.cross_region_sent_bytes,
            worker_calls: self.worker_calls - earlier.worker_calls,
            worker_sent_bytes: self.worker_sent_bytes - earlier.worker_sent_bytes,
            worker_received_bytes: self.worker_received_bytes - earlier.worker_received_bytes,
            store_reads: self.store_reads - earlier.store_reads,
            store_writes: self.store_writes - earlier.store_writes,
            store_bytes: self.store_bytes - earlier.store_bytes,
        }
    }
}

/// Encoded size in bytes of a message between daemons.
pub fn wire_bytes(message: &impl Serialize) -> u64 {
    // The codec between daemons uses these options.
    bincode::DefaultOptions::new().serialized_size(message).unwrap_or(0)
}

/// Encoded size in bytes of a call to the platform or a worker, or of its reply.
pub fn json_bytes(message: &impl Serialize) -> u64 {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
