//! The fences of the parts that jobs lie in.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_pool::PARTITIONS;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::commit::encode;
use crate::health::StoreHealth;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;

/// Parts fenced at one time.
const AT_ONCE: usize = 16;
/// After a call that the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Who may write to a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fence {
    /// The daemon.
    pub holder: String,
    /// Its start.
    pub incarnation: u64,
    /// Rises with each leader.
    pub epoch: u64,
    /// Rises with each rewriting.
    pub beat: u64,
}

impl Fence {
    /// Whether it is of the same leader.
    pub fn is_of(&self, other: &Self) -> bool {
        self.holder == other.holder
            && self.incarnation == other.incarnation
            && self.epoch == other.epoch
    }
}

/// The fence in a row, and its version.
pub(crate) fn read_fence(row: &Row) -> Option<(Fence, u64)> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(fence) => Some((fence, row.version)),
        Err(error) => {
            tracing::warn!(%error, key = row.key, "a fence cannot be read");
            None
        }
    }
}

/// Puts this leader's fence on all parts; gives their versions, or `None` if a later
/// leader was there first.
pub(crate) async fn claim_fences<O: Platform>(
    outside: &Arc<O>,
    health: &Arc<StoreHealth>,
    mine: &Fence,
) -> Option<Vec<u64>> {
    let turns = Arc::new(Semaphore::new(AT_ONCE));
    let mut claims = JoinSet::new();
    for part in 0..PARTITIONS {
        let (outside, health) = (Arc::clone(outside), Arc::clone(health));
        let turns = Arc::clone(&turns);
        let mine = mine.clone();
        claims.spawn(async move {
            let _turn = turns.acquire().await;
            (part, claim(outside.as_ref(), &health, part, &mine).await)
        });
    }
    let mut versions = vec![0; PARTITIONS];
    while let Some(claimed) = claims.join_next().await {
        let Ok((part, version)) = claimed else {
            tracing::error!("a claim of a part ended early");
            return None;
        };
        versions[part] = version?;
    }
    Some(versions)
}

async fn claim(
    outside: &impl Platform,
    health: &StoreHealth,
    part: usize,
    mine: &Fence,
) -> Option<u64> {
    let key = part.to_string();
    let mut expected = 0;
    loop {
        let transaction = Transaction {
            expect: vec![(Table::Fences, key.clone(), expected)],
            put: vec![(Table::Fences, key.clone(), encode(mine))],
            remove: Vec::new(),
        };
        match health.track_write(outside.transact(&transaction)).await {
            Ok(version) => return Some(version),
            Err(StoreError::Conflict(rows)) => {
                let there = rows.iter().find(|(table, row)| {
                    *table == Table::Fences && row.key == key && row.version > 0
                });
                let Some((_, row)) = there else {
                    expected = 0;
                    continue;
                };
                let fence = read_fence(row);
                if let Some((fence, version)) = &fence {
                    if fence.is_of(mine) {
                        return Some(*version);
                    }
                    if fence.epoch >= mine.epoch {
                        tracing::warn!(part, epoch = fence.epoch, "a later leader has the part");
                        return None;
                    }
                }
                expected = row.version;
            }
            Err(error) => {
                tracing::warn!(part, %error, "a part cannot be fenced yet");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
