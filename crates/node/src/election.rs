//! Leader election by a lease on one row of the store.
//!
//! The leader rewrites the row several times a second. A daemon that has seen
//! it unchanged for [`LEADER_LEASE_MS`] may claim it, on condition that the row
//! still has the version that it saw; the store lets only one of several claims
//! succeed. Each candidate waits for a further delay, which is shortest for a
//! daemon near the store with a strong processor, so no vote is needed to elect
//! a suitable leader.
//!
//! The table of the row is called `duty`, as are the log messages about taking over, giving
//! up and ending leadership.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::WorkerId;
use stoatwell_pool::EXTENSION_WINDOW_MS;
use xxhash_rust::xxh3::xxh3_64;

use crate::liveness::Liveness;

/// How often the leader renews its lease: about a third of its duration, so that
/// two lost writes in a row do not cost the leader its lease.
pub const RENEW_INTERVAL_MS: u64 = 500;
/// A leader whose row is unchanged for this long has lost its lease. Renewals still
/// arrive in time while the store answers fifty times slower than usual.
pub const LEADER_LEASE_MS: u64 = 1_600;
/// Replaces [`LEADER_LEASE_MS`] for a leader whose process is gone, or which reports that it
/// cannot reach the store. It is longer than the renewal interval, since a leader that only
/// seems to be so still renews its row.
pub const FAILED_LEADER_TIMEOUT_MS: u64 = RENEW_INTERVAL_MS + 100;
/// Multiple of the store's usual response time that is added to [`FAILED_LEADER_TIMEOUT_MS`].
const FAILED_LEADER_LATENCY_FACTOR: u64 = 2;
/// A leader that does not answer probes is replaced once its row is unchanged for this multiple of
/// the longest time that a renewal took lately, so that one late or lost renewal does not cost a
/// busy leader its lease.
const UNRESPONSIVE_LEADER_GAPS: u64 = 2;
/// The longest time between renewals falls by one over this share of its distance to each shorter
/// one.
const RENEWAL_GAP_SMOOTHING: u64 = 8;
/// Other daemons may see a renewal before the leader gets the response to its write. This is
/// the longest time in between: several response times of a slow store.
const RENEWAL_LAG_MS: u64 = 400;
/// A store that answers within this is near and costs no delay.
const NEAR_STORE_LATENCY_MS: u64 = 12;
/// Claim delay for each millisecond of response time beyond [`NEAR_STORE_LATENCY_MS`]. Daemons in
/// other regions have some 24 ms more and so wait about 240 ms, long enough to see
/// the claim of a nearer daemon.
const DISTANCE_DELAY_FACTOR: u64 = 10;
/// Longest claim delay because of the distance to the store.
const DISTANCE_DELAY_MAX_MS: u64 = 400;
/// Claim delay of a machine with a quarter of a core. The delay is a linear function of the
/// cores and falls to 0 at half a core.
const FEW_CORES_DELAY_MS: f64 = 40.0;
/// Claim delay of a machine below [`LEADER_CORES_MIN`]. Scheduling 350 workers takes a
/// quarter of a core, and a leader that cannot keep up looks alive while nothing runs.
const UNDERPROVISIONED_DELAY_MS: u64 = 700;
/// A machine with fewer cores is underprovisioned.
const LEADER_CORES_MIN: f64 = 0.2;
/// Claim delay of a machine with a slow link: calls to 350 workers, and the row
/// writes that follow from them, take some 10 Mbit/s.
const SLOW_LINK_DELAY_MS: u64 = 150;
/// A link with less bandwidth is slow.
const SLOW_LINK_MBPS: f64 = 60.0;
/// Otherwise equal candidates spread their claims over this time.
const JITTER_MS: u64 = 60;

/// The row of the leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderLease {
    /// Name of the leader's daemon.
    pub holder: String,
    /// When the leader's process started, in Unix milliseconds; distinguishes a
    /// restarted daemon from its previous process.
    pub incarnation: u64,
    /// Address at which other daemons reach the leader.
    pub address: String,
    /// Rises with each change of leader.
    pub epoch: u64,
    /// Rises with each renewal by the same leader.
    pub beat: u64,
    /// Whether the leader has released the lease.
    pub released: bool,
    /// For how long after this write an earlier leader may keep extending the
    /// leases of workers.
    #[serde(default)]
    pub earlier_extends_ms: u64,
    /// Workers that do not answer the leader, each with the time from this write after which its
    /// leases have certainly expired.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub silent_leases: BTreeMap<WorkerId, u64>,
}

/// What a daemon knows about the leader lease.
#[derive(Clone, Debug)]
pub struct LeaderLeaseView {
    /// The row and its version; `None` if there is no row or it was not read yet.
    pub row: Option<(LeaderLease, u64)>,
    /// When the row was last seen to change.
    pub changed_ms: u64,
    /// The longest time that the holder took lately for one renewal.
    pub renewal_gap_ms: u64,
    /// Since when the row can be read and written, as far as this daemon knows. While the row
    /// cannot be written, the holder of the lease cannot renew the lease.
    pub store_available_since_ms: u64,
}

/// The properties of a daemon that determine how soon it may claim the leader lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the daemon.
    pub name: String,
    /// Its share of a core, multiplied by the core's speed.
    pub cores: f64,
    /// Bandwidth of its machine's network link, in Mbit/s.
    pub link_mbps: f64,
    /// The store's usual response time.
    pub store_latency_ms: u64,
}

impl Candidate {
    /// How long this daemon waits, once the lease is free, for more suitable ones to claim it.
    pub fn claim_delay_ms(&self) -> u64 {
        let excess_ms = self.store_latency_ms.saturating_sub(NEAR_STORE_LATENCY_MS);
        let distance_ms = (excess_ms * DISTANCE_DELAY_FACTOR).min(DISTANCE_DELAY_MAX_MS);
        let few_cores_ms = (FEW_CORES_DELAY_MS * (0.5 - self.cores) / 0.25).max(0.0) as u64;
        let slow_link_ms = if self.link_mbps < SLOW_LINK_MBPS { SLOW_LINK_DELAY_MS } else { 0 };
        let jitter_ms = xxh3_64(self.name.as_bytes()) % JITTER_MS;
        let underprovisioned_ms =
            if is_underprovisioned(self.cores) { UNDERPROVISIONED_DELAY_MS } else { 0 };
        distance_ms + few_cores_ms + underprovisioned_ms + slow_link_ms + jitter_ms
    }
}

/// Whether a machine has too little processor time to lead a pool of many workers.
pub fn is_underprovisioned(cores: f64) -> bool {
    cores < LEADER_CORES_MIN
}

impl LeaderLeaseView {
    /// The view of a daemon that has not read the row yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            row: None,
            changed_ms: now_ms,
            renewal_gap_ms: RENEW_INTERVAL_MS,
            store_available_since_ms: now_ms,
        }
    }

    /// Records that the store failed: the row could not be read, or a claim could not be
    /// written.
    pub fn record_store_failure(&mut self, now_ms: u64) {
        self.store_available_since_ms = now_ms;
    }

    /// Records the row as it was read; an unchanged version does not count as a change.
    pub fn observe(&mut self, row: Option<(LeaderLease, u64)>, now_ms: u64) {
        let version = |row: &Option<(LeaderLease, u64)>| row.as_ref().map(|(_, version)| *version);
        if version(&row) == version(&self.row) {
            return;
        }
        self.observe_renewal_gap(row.as_ref().map(|(row, _)| row), now_ms);
        self.row = row;
        self.changed_ms = now_ms;
    }

    fn observe_renewal_gap(&mut self, renewed: Option<&LeaderLease>, now_ms: u64) {
        let previous = self.row.as_ref().map(|(row, _)| row);
        let (Some(renewed), Some(previous)) = (renewed, previous) else { return };
        if renewed.epoch != previous.epoch {
            self.renewal_gap_ms = RENEW_INTERVAL_MS;
            return;
        }
        if self.store_available_since_ms > self.changed_ms {
            return;
        }
        // A daemon that polls rarely misses some renewals.
        let renewals = renewed.beat.saturating_sub(previous.beat).max(1);
        let gap_ms = now_ms.saturating_sub(self.changed_ms) / renewals;
        let excess_ms = self.renewal_gap_ms.saturating_sub(gap_ms);
        self.renewal_gap_ms = gap_ms + excess_ms - excess_ms.div_ceil(RENEWAL_GAP_SMOOTHING);
        self.renewal_gap_ms = self.renewal_gap_ms.max(RENEW_INTERVAL_MS);
    }

    /// The earliest time at which this daemon may claim the lease, if the row stays unchanged.
    pub fn claim_due_ms(&self, candidate: &Candidate, holder: Liveness) -> u64 {
        let is_free = self.row.as_ref().is_none_or(|(row, _)| row.released);
        // The row was written by a previous process of this daemon, which has ended.
        let is_own = self.row.as_ref().is_some_and(|(row, _)| row.holder == candidate.name);
        let since_ms = self.changed_ms.max(self.store_available_since_ms);
        if is_own {
            // No other daemon may claim the row yet. To wait until another one may would cost
            // more time than a more suitable leader could make up for.
            return since_ms;
        }
        if is_free {
            return since_ms + candidate.claim_delay_ms();
        }
        let failed_ms =
            FAILED_LEADER_TIMEOUT_MS + candidate.store_latency_ms * FAILED_LEADER_LATENCY_FACTOR;
        let timeout_ms = match holder {
            Liveness::Gone | Liveness::Isolated => failed_ms,
            Liveness::Unresponsive => failed_ms.max(self.renewal_gap_ms * UNRESPONSIVE_LEADER_GAPS),
            Liveness::Healthy | Liveness::Unknown => LEADER_LEASE_MS,
        };
        since_ms + timeout_ms.min(LEADER_LEASE_MS) + candidate.claim_delay_ms()
    }

    /// The epoch in the row; 0 if there is no row.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(row, _)| row.epoch)
    }

    /// For how long an earlier leader may keep extending the leases of workers, if this
    /// daemon claims the leader lease now.
    ///
    /// The holder in the row extends no more leases if it released the leader lease, or if it
    /// was a previous process of this daemon. Any other holder possibly does not know that it
    /// has been replaced. It extends leases until [`EXTENSION_WINDOW_MS`] after its last
    /// renewal. The leaders before it may do so for as long as the row says.
    pub fn earlier_extends_ms(&self, own_name: &str, now_ms: u64) -> u64 {
        let Some((row, _)) = &self.row else { return 0 };
        let unchanged_ms = now_ms.saturating_sub(self.changed_ms);
        let has_ended = row.released || row.holder == own_name;
        let holder_may_extend_ms = if has_ended { 0 } else { EXTENSION_WINDOW_MS + RENEWAL_LAG_MS };
        holder_may_extend_ms.max(row.earlier_extends_ms).saturating_sub(unchanged_ms)
    }

    /// The leases of workers that did not answer the last leader.
    pub fn silent_leases(&self) -> BTreeMap<WorkerId, u64> {
        self.row.as_ref().map(|(row, _)| row.silent_leases.clone()).unwrap_or_default()
    }

    /// The version that a claim expects the row to have, and the epoch of the claim.
    pub fn next_epoch(&self) -> (u64, u64) {
        self.row.as_ref().map_or((0, 1), |(row, version)| (*version, row.epoch + 1))
    }
}
