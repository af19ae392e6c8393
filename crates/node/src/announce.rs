//! Announces a daemon in the store's list of daemons.
//!
//! After a loss of power all daemons start at once, and the store writes a few hundred rows of
//! a partition a second and refuses what would wait longer. So daemons spread their
//! announcements. A refused one says nothing about the health of the store as a whole.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::NodeSettings;
use crate::commit::encode;
use crate::election::is_underprovisioned;
use crate::platform::Platform;
use crate::platform::Table;
use crate::platform::Transaction;

/// Maximum attempts of a daemon to announce itself.
const ATTEMPTS_MAX: u32 = 40;
/// Period over which weak daemons spread their first attempts. The others, which lead and make
/// calls for the leader, do not wait.
const SPREAD_MS: u64 = 2_000;
/// Upper bound of the delay before the second attempt; it doubles with each further one.
const RETRY_DELAY_MS: u64 = 800;
/// Upper bound of the delay before any attempt.
const RETRY_DELAY_MAX_MS: u64 = 3_200;

/// Writes this daemon's address to the store, so that the leader can make calls through it.
pub(crate) async fn announce<P: Platform>(platform: Arc<P>, settings: NodeSettings) {
    let put = vec![(Table::Daemons, settings.name.clone(), encode(&settings.own_info()))];
    let transaction = Transaction { put, ..Transaction::default() };
    let is_weak = is_underprovisioned(settings.cores);
    for attempt in 0..ATTEMPTS_MAX {
        tokio::time::sleep(announce_delay(&settings.name, is_weak, attempt)).await;
        match platform.transact(&transaction).await {
            Ok(_) => return,
            Err(error) => {
                tracing::warn!(attempt, %error, "announcing this daemon in the store failed");
            }
        }
    }
}

/// The delay before an attempt of a daemon to announce itself; the first one is attempt 0.
pub fn announce_delay(name: &str, is_weak: bool, attempt: u32) -> Duration {
    let bound_ms = match attempt {
        0 if is_weak => SPREAD_MS,
        0 => return Duration::ZERO,
        _ => RETRY_DELAY_MAX_MS.min(RETRY_DELAY_MS << (attempt - 1).min(16)),
    };
    let random = xxh3_64_with_seed(name.as_bytes(), u64::from(attempt));
    Duration::from_millis(random % bound_ms)
}
