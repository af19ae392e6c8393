//! Who schedules the pool: one row of the store, held for a time.
//!
//! The holder rewrites the row several times a second. A daemon that has seen
//! it unchanged for [`LEADER_LEASE_MS`] may claim it under the version that it saw;
//! the store lets one of several win. How long a daemon waits beyond that is
//! its fitness: near the store and with a strong processor goes first, so no
//! vote is needed to end up with a good one.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_pool::EXTEND_MS;
use xxhash_rust::xxh3::xxh3_64;

use crate::leader_view::Liveness;

/// How often the holder rewrites the row; a third of the lease, so that two
/// lost writes in a row do not cost the duty.
pub const RENEW_INTERVAL_MS: u64 = 500;
/// A row that is unchanged for this long has lost its holder; a store that answers
/// fifty times slower than usual still lets a renewal through in time.
pub const LEADER_LEASE_MS: u64 = 1_600;
/// A holder that is gone, or cut off from the store by its own word, is replaced when
/// the row is unchanged for this long: one that others do not reach still renews it.
pub const FAILED_LEADER_TIMEOUT_MS: u64 = RENEW_INTERVAL_MS + 100;
/// The same in usual answer times of the store, on top of it.
const QUIET_ANSWERS: u64 = 2;
/// A renewal may be seen this long before its holder hears of it: some answers of
/// a slow store.
const RENEWAL_LAG_MS: u64 = 400;
/// A store that answers within this is near.
const NEAR_ANSWER_MS: u64 = 12;
/// What a millisecond of the store's answer time beyond that costs a candidate:
/// daemons of other regions are some 24 ms farther away and stand back about 240 ms,
/// long enough for a claim from nearby to be seen.
const DELAY_PER_ANSWER_MS: u64 = 10;
/// The most that distance costs a candidate.
const DISTANCE_DELAY_MAX_MS: u64 = 400;
/// What a machine with a quarter of a core is kept back, against one with half a core.
const WEAK_DELAY_MS: f64 = 40.0;
/// What a machine below [`LEADER_CORES_MIN`] is kept back: 350 workers take a quarter of
/// a core, and a scheduler that cannot keep up looks alive while nothing runs.
const UNDERPROVISIONED_DELAY_MS: u64 = 700;
/// A machine with less is underprovisioned.
const LEADER_CORES_MIN: f64 = 0.2;
/// What a narrow link costs a candidate: calls to 350 workers and the rows that
/// follow take some 10 Mbit/s.
const NARROW_DELAY_MS: u64 = 150;
/// A link below this is narrow.
const NARROW_MBPS: f64 = 60.0;
/// Candidates that are alike are spread over this.
const SPREAD_MS: u64 = 60;

/// The row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderLease {
    /// The daemon that schedules.
    pub holder: String,
    /// Its start, so that a daemon that was restarted is not taken for its former self.
    pub incarnation: u64,
    /// Where other daemons reach it.
    pub address: String,
    /// Rises with each holder.
    pub epoch: u64,
    /// Rises with each renewal.
    pub beat: u64,
    /// Whether the holder has given the duty up.
    pub released: bool,
    /// For how long after this was written a scheduler before the holder may go
    /// on extending leases.
    #[serde(default)]
    pub earlier_extends_ms: u64,
}

/// What a daemon knows of the row.
#[derive(Clone, Debug)]
pub struct LeaderLeaseView {
    /// The row and its version, if there is one.
    pub row: Option<(LeaderLease, u64)>,
    /// When it was last seen to change.
    pub changed_ms: u64,
    /// Since when it can be read and written, for all that is known; while it cannot,
    /// neither can its holder renew it.
    pub writable_since_ms: u64,
}

/// What makes a daemon a good or a bad scheduler.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Its share of a core times the core's speed.
    pub cores: f64,
    /// What its machine's link carries.
    pub link_mbps: f64,
    /// The store's usual answer time.
    pub store_answer_ms: u64,
}

impl Candidate {
    /// How long this daemon stands back for better ones.
    pub fn delay_ms(&self) -> u64 {
        let beyond_ms = self.store_answer_ms.saturating_sub(NEAR_ANSWER_MS);
        let distance_ms = (beyond_ms * DELAY_PER_ANSWER_MS).min(DISTANCE_DELAY_MAX_MS);
        let weak_ms = (WEAK_DELAY_MS * (0.5 - self.cores) / 0.25).max(0.0) as u64;
        let narrow_ms = if self.link_mbps < NARROW_MBPS { NARROW_DELAY_MS } else { 0 };
        let spread_ms = xxh3_64(self.name.as_bytes()) % SPREAD_MS;
        let underprovisioned_ms =
            if is_underprovisioned(self.cores) { UNDERPROVISIONED_DELAY_MS } else { 0 };
        distance_ms + weak_ms + underprovisioned_ms + narrow_ms + spread_ms
    }
}

/// Whether a machine is too weak to lead many workers.
pub fn is_underprovisioned(cores: f64) -> bool {
    cores < LEADER_CORES_MIN
}

impl LeaderLeaseView {
    /// A daemon that has not read the row yet.
    pub fn new(now_ms: u64) -> Self {
        Self { row: None, changed_ms: now_ms, writable_since_ms: now_ms }
    }

    /// Takes note that the row cannot be read, or a claim cannot be written, now.
    pub fn note_unwritable(&mut self, now_ms: u64) {
        self.writable_since_ms = now_ms;
    }

    /// Takes note of the row as it was read.
    pub fn observe(&mut self, row: Option<(LeaderLease, u64)>, now_ms: u64) {
        let version = |row: &Option<(LeaderLease, u64)>| row.as_ref().map(|(_, version)| *version);
        if version(&row) == version(&self.row) {
            return;
        }
        self.row = row;
        self.changed_ms = now_ms;
    }

    /// When this daemon may claim the duty, if nothing changes.
    pub fn claim_ms(&self, fitness: &Candidate, holder: Liveness) -> u64 {
        let free = self.row.as_ref().is_none_or(|(row, _)| row.released);
        // A row of this daemon's former self has surely lost its holder.
        let mine = self.row.as_ref().is_some_and(|(row, _)| row.holder == fitness.name);
        let since_ms = self.changed_ms.max(self.writable_since_ms);
        if mine {
            // Nobody else may claim it for longer than any fitness makes up for.
            return since_ms;
        }
        if free {
            return since_ms + fitness.delay_ms();
        }
        let quiet_ms = match holder {
            Liveness::Gone | Liveness::Isolated => {
                FAILED_LEADER_TIMEOUT_MS + fitness.store_answer_ms * QUIET_ANSWERS
            }
            Liveness::Healthy | Liveness::Unknown => LEADER_LEASE_MS,
        };
        since_ms + quiet_ms.min(LEADER_LEASE_MS) + fitness.delay_ms()
    }

    /// Which holder of the duty the row names.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(row, _)| row.epoch)
    }

    /// For how long an earlier scheduler may go on extending leases, if this daemon
    /// claims the duty now.
    ///
    /// One that gave the duty up does not, nor a former process of this daemon. Any
    /// other may not know that its row is taken, and does until [`EXTEND_MS`] after
    /// its last renewal.
    pub fn earlier_extends_ms(&self, me: &str, now_ms: u64) -> u64 {
        let Some((row, _)) = &self.row else { return 0 };
        let silent_ms = now_ms.saturating_sub(self.changed_ms);
        let ended = row.released || row.holder == me;
        let holder_ms = if ended { 0 } else { EXTEND_MS + RENEWAL_LAG_MS };
        holder_ms.max(row.earlier_extends_ms).saturating_sub(silent_ms)
    }

    /// The version under which a claim is made, and the claim's epoch.
    pub fn next_epoch(&self) -> (u64, u64) {
        self.row.as_ref().map_or((0, 1), |(row, version)| (*version, row.epoch + 1))
    }
}
