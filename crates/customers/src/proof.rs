//! Bounds the staleness of the manifest that a daemon uses.
//!
//! Only the store knows which version is the newest. Its answer is true for some moment
//! between the request and the response, so the age of a proof counts from the moment at
//! which the request was sent. A daemon that cannot reach the store may get the proof of
//! another daemon. That proof comes with its age, and the whole round trip is added to it,
//! because nothing tells at which moment of the round trip the other daemon computed it.

/// Maximum difference between the rates of two machines' clocks, in thousandths.
const CLOCK_RATE_PERMILLE: u64 = 20;
/// Maximum age of a proof that admits callers, in hundredths of the time limit for
/// revocations.
const VALID_PERCENT: u64 = 90;
/// Age at which a new proof is requested, in hundredths of the same limit.
const RENEW_PERCENT: u64 = 30;
/// Age at which a new proof is requested although another daemon is about to send one, in
/// hundredths of the same limit.
const LATE_PERCENT: u64 = 60;

/// Evidence that no version newer than this one had been acknowledged at a point in time.
///
/// Times are readings of this machine's monotonic clock, which must keep running while the
/// machine is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The version of the manifest; 0 before there is one.
    pub version: u64,
    /// The time at which the version was still the newest.
    pub as_of_ms: u64,
}

/// Age limits of proofs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// A proof admits callers while it is younger than this.
    pub max_age_ms: u64,
    /// A new proof is requested when the current one reaches this age.
    pub renew_age_ms: u64,
    /// A new proof is requested at this age even if another daemon is about to send one.
    pub late_age_ms: u64,
}

impl FreshnessLimits {
    /// Limits under which a key stops working at most `revoke_ms` after it was revoked.
    pub fn new(revoke_ms: u64) -> Self {
        Self {
            max_age_ms: revoke_ms * VALID_PERCENT / 100,
            renew_age_ms: revoke_ms * RENEW_PERCENT / 100,
            late_age_ms: revoke_ms * LATE_PERCENT / 100,
        }
    }
}

impl FreshnessProof {
    /// The proof that results from the store's response to a request sent at `sent_ms`.
    pub fn from_store(version: u64, sent_ms: u64) -> Self {
        Self { version, as_of_ms: sent_ms }
    }

    /// The proof that results from another daemon's proof, which was requested at `sent_ms`
    /// and had the age `age_ms` by that daemon's clock.
    pub fn from_peer(version: u64, age_ms: u64, sent_ms: u64) -> Self {
        let widened_ms = age_ms.saturating_add(age_ms * CLOCK_RATE_PERMILLE / 1_000 + 1);
        Self { version, as_of_ms: sent_ms.saturating_sub(widened_ms) }
    }

    /// The proof for a newer version: no later version had been acknowledged before
    /// `as_of_ms` either.
    pub fn for_newer_version(self, version: u64) -> Self {
        Self { version: self.version.max(version), ..self }
    }

    /// Combines two proofs for this proof's version. A proof of a newer version is
    /// ignored: it only says that this version is no longer the newest.
    pub fn merge(self, other: Self) -> Self {
        if other.version > self.version {
            return self;
        }
        Self { as_of_ms: self.as_of_ms.max(other.as_of_ms), ..self }
    }

    /// Age of the proof at `now_ms`.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Whether the proof is recent enough to admit callers; never for version 0.
    pub fn is_valid(&self, now_ms: u64, limits: &FreshnessLimits) -> bool {
        self.version > 0 && self.age_ms(now_ms) < limits.max_age_ms
    }

    /// Whether a new proof must be requested.
    pub fn needs_renewal(&self, now_ms: u64, limits: &FreshnessLimits) -> bool {
        self.version == 0 || self.age_ms(now_ms) >= limits.renew_age_ms
    }
}
