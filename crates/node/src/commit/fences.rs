//! Fencing of the store's partitions that hold the rows of jobs. In log lines, `part` is the
//! index of a partition.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_pool::PARTITIONS;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::commit::encode;
use crate::health::StoreHealth;
use crate::hedge::hedge;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;

/// Number of partitions that are fenced concurrently.
const CONCURRENT_CLAIMS_MAX: usize = 16;
/// Delay before a call that the store refused or did not answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a write without an answer is made once more. A repeated write finds the fence
/// of the first one.
const HEDGE_AFTER: Duration = Duration::from_millis(500);

/// The leader that may write to a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fence {
    /// Name of the leader's daemon.
    pub holder: String,
    /// When the leader's process started, in Unix milliseconds.
    pub incarnation: u64,
    /// Rises with each change of leader.
    pub epoch: u64,
    /// Rises each time the same leader rewrites the fence; its rows differ in nothing else.
    pub beat: u64,
}

impl Fence {
    /// Whether both fences were written by the same leader.
    pub fn is_same_leader(&self, other: &Self) -> bool {
        self.holder == other.holder
            && self.incarnation == other.incarnation
            && self.epoch == other.epoch
    }
}

/// Decodes a fence; returns it with the version of its row.
pub(crate) fn read_fence(row: &Row) -> Option<(Fence, u64)> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(fence) => Some((fence, row.version)),
        Err(error) => {
            tracing::warn!(%error, key = row.key, "cannot decode the fence of a partition");
            None
        }
    }
}

/// Writes this leader's fence to all partitions. Returns the versions of the fences by
/// partition, or `None` if a later leader has fenced a partition already.
pub(crate) async fn claim_fences<P: Platform>(
    platform: &Arc<P>,
    health: &Arc<StoreHealth>,
    own_fence: &Fence,
) -> Option<Vec<u64>> {
    let permits = Arc::new(Semaphore::new(CONCURRENT_CLAIMS_MAX));
    let mut claims = JoinSet::new();
    for partition in 0..PARTITIONS {
        let (platform, health) = (Arc::clone(platform), Arc::clone(health));
        let permits = Arc::clone(&permits);
        let own_fence = own_fence.clone();
        claims.spawn(async move {
            let _permit = permits.acquire().await;
            (partition, claim(platform.as_ref(), &health, partition, &own_fence).await)
        });
    }
    let mut versions = vec![0; PARTITIONS];
    while let Some(claimed) = claims.join_next().await {
        let Ok((partition, version)) = claimed else {
            tracing::error!("a task that fences a partition ended early; the claim is given up");
            return None;
        };
        versions[partition] = version?;
    }
    Some(versions)
}

async fn claim(
    platform: &impl Platform,
    health: &StoreHealth,
    part: usize,
    own_fence: &Fence,
) -> Option<u64> {
    let key = part.to_string();
    let mut expected = 0;
    loop {
        let transaction = Transaction {
            expect: vec![(Table::Fences, key.clone(), expected)],
            put: vec![(Table::Fences, key.clone(), encode(own_fence))],
            remove: Vec::new(),
        };
        let write = || health.track_write(platform.transact(&transaction));
        match hedge(HEDGE_AFTER, write).await {
            Ok(version) => return Some(version),
            Err(StoreError::Conflict(rows)) => {
                let current_row = rows.iter().find(|(table, row)| {
                    *table == Table::Fences && row.key == key && row.version > 0
                });
                let Some((_, row)) = current_row else {
                    expected = 0;
                    continue;
                };
                let fence = read_fence(row);
                if let Some((fence, version)) = &fence {
                    if fence.is_same_leader(own_fence) {
                        return Some(*version);
                    }
                    if fence.epoch >= own_fence.epoch {
                        tracing::warn!(
                            part,
                            epoch = fence.epoch,
                            "a later leader has fenced the partition; the claim is given up"
                        );
                        return None;
                    }
                }
                expected = row.version;
            }
            Err(error) => {
                tracing::warn!(part, %error, "cannot fence a partition; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
