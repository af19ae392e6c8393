//! Until when a version of the manifest is known to have been the newest.
//!
//! Only the store knows which version is the newest. Its answer holds for some moment
//! between the question and the answer, so a proof counts from the moment at which the
//! question was sent. A daemon that cannot ask the store may get the proof of another
//! one: it comes with its age, and the whole exchange counts as age too, since nothing
//! tells when within it the other daemon worked the age out.

/// Clocks of machines may differ this much in rate, in thousandths.
const CLOCK_RATE_PERMILLE: u64 = 20;
/// Share of the time after which a key must not work any more, in hundredths, during
/// which a proof lets callers in.
const GOOD_PERCENT: u64 = 90;
/// Share of it after which a new proof is asked for.
const RENEW_PERCENT: u64 = 30;

/// The claim that no version newer than this one was acknowledged before a moment.
///
/// Moments are of one machine's steady clock, which has to go on while the machine is
/// suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The version.
    pub version: u64,
    /// The moment.
    pub as_of_ms: u64,
}

/// How old a proof may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Callers are let in by one that is younger.
    pub max_age_ms: u64,
    /// A new one is asked for when it is older.
    pub renew_age_ms: u64,
}

impl FreshnessLimits {
    /// The limits where a key must not work for longer than this after it was taken away.
    pub fn new(revoke_ms: u64) -> Self {
        Self {
            max_age_ms: revoke_ms * GOOD_PERCENT / 100,
            renew_age_ms: revoke_ms * RENEW_PERCENT / 100,
        }
    }
}

impl FreshnessProof {
    /// What the store's answer to a question proves that was sent at a moment.
    pub fn from_store(version: u64, sent_ms: u64) -> Self {
        Self { version, as_of_ms: sent_ms }
    }

    /// What the proof of another daemon proves here, if it was asked for at a moment and
    /// had this age by the other one's clock.
    pub fn from_peer(version: u64, age_ms: u64, sent_ms: u64) -> Self {
        let widened_ms = age_ms.saturating_add(age_ms * CLOCK_RATE_PERMILLE / 1_000 + 1);
        Self { version, as_of_ms: sent_ms.saturating_sub(widened_ms) }
    }

    /// What it says of a newer version: whatever held for this one holds for that.
    pub fn for_newer_version(self, version: u64) -> Self {
        Self { version: self.version.max(version), ..self }
    }

    /// This proof after another one was heard. One of a newer version says nothing of
    /// this one, except that it is not the newest any more.
    pub fn merge(self, other: Self) -> Self {
        if other.version > self.version {
            return self;
        }
        Self { as_of_ms: self.as_of_ms.max(other.as_of_ms), ..self }
    }

    /// How old it is.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Whether it lets callers in.
    pub fn is_valid(&self, now_ms: u64, limits: &FreshnessLimits) -> bool {
        self.version > 0 && self.age_ms(now_ms) < limits.max_age_ms
    }

    /// Whether a new one has to be asked for.
    pub fn needs_renewal(&self, now_ms: u64, limits: &FreshnessLimits) -> bool {
        self.version == 0 || self.age_ms(now_ms) >= limits.renew_age_ms
    }
}
