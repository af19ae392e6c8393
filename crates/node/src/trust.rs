//! How far other daemons are trusted with work, by how often they have failed lately.
//!
//! A daemon that answers once may be one whose connections fail each second. If it got its share
//! of the work at once, that share would be lost with each of its failures.

/// A link that has worked for this long since it last failed counts as one that never did.
const STEADY_MS: u64 = 10_000;
/// How long a link that has failed for the second time in a row gets no calls after it works
/// again. It is doubled with each further time, up to [`PROBATION_MAX_MS`].
const PROBATION_MIN_MS: u64 = 1_000;
/// Maximum of this time.
const PROBATION_MAX_MS: u64 = 4_000;

/// How far another daemon is trusted.
///
/// A single failure costs nothing once the link works again. After further ones it gets no calls
/// at first, and then a share that rises as slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    failures: u32,
    /// Since when the link works; `None` while it does not.
    works_since_ms: Option<u64>,
}

impl Trust {
    /// Notes that the link failed.
    pub fn note_failure(&mut self, now_ms: u64) {
        let works_since_ms = self.works_since_ms.take();
        if works_since_ms.is_some_and(|since_ms| now_ms >= since_ms + STEADY_MS) {
            self.failures = 0;
        }
        self.failures += 1;
    }

    /// Notes that the link works.
    pub fn note_success(&mut self, now_ms: u64) {
        self.works_since_ms.get_or_insert(now_ms);
    }

    /// The share of its calls that the daemon gets, in percent, if the link works.
    pub fn share_percent(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = self.works_since_ms else { return 100 };
        let Some(doublings) = self.failures.checked_sub(2) else { return 100 };
        let probation_ms = (PROBATION_MIN_MS << doublings.min(16)).min(PROBATION_MAX_MS);
        let rising_ms = now_ms.saturating_sub(since_ms + probation_ms);
        (rising_ms * 100 / probation_ms).min(100)
    }
}
