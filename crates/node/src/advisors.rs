//! Asks the advisor through many daemons.
//!
//! The advisor serves one question at a time for each daemon that asks, and
//! one can take most of a second. Asked by the scheduler alone, it would be
//! its bottleneck; so each question goes through the daemon with the least to
//! wait for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_pool::Grant;
use stoatwell_pool::StepId;

use crate::clock::steady_ms;
use crate::outside::Outside;
use crate::outside::Row;
use crate::peers::NodeCall;
use crate::peers::NodeReply;

/// The longest that an answer may take: the slowest queues need about a second
/// for a hundred workers, and some may wait before it.
const LIMIT_MS: u64 = 2_500;
/// A daemon that brought no answer is not asked again for this long.
const PAUSE_MS: u64 = 2_000;

/// Daemons that ask the advisor.
#[derive(Debug)]
pub struct Advisors<O> {
    outside: Arc<O>,
    peers: Peers,
    me: String,
    asking: Mutex<BTreeMap<String, Asking>>,
}

#[derive(Clone, Debug, Default)]
struct Asking {
    workers: usize,
    pause_until_ms: u64,
}

impl<O: Outside> Advisors<O> {
    /// Only this daemon asks, until others are known.
    pub fn new(outside: Arc<O>, peers: Peers, me: String) -> Self {
        let asking = BTreeMap::from([(me.clone(), Asking::default())]);
        Self { outside, peers, me, asking: Mutex::new(asking) }
    }

    /// Takes note of the daemons there are, by the rows that they wrote.
    pub fn know(&self, rows: &[Row]) {
        let mut asking = self.asking.lock().unwrap_or_else(PoisonError::into_inner);
        for row in rows {
            let address = row.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
            match address {
                Some(address) => {
                    asking.entry(address.to_owned()).or_default();
                }
                None => tracing::debug!(key = row.key, "a daemon's row cannot be read"),
            }
        }
    }

    /// Asks; `None` is no answer.
    pub async fn ask(&self, step: StepId, workers: &[WorkerId]) -> Option<Vec<Grant>> {
        let address = self.least_busy(workers.len());
        let granted = if address == self.me {
            self.outside.advise(step, workers, LIMIT_MS).await
        } else {
            self.ask_peer(&address, step, workers).await
        };
        let mut asking = self.asking.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(one) = asking.get_mut(&address) {
            one.workers = one.workers.saturating_sub(workers.len() + 1);
            if granted.is_none() {
                one.pause_until_ms = steady_ms() + PAUSE_MS;
            }
        }
        if granted.is_none() {
            tracing::warn!(%step, through = address, "advisor brought no answer");
        }
        granted
    }

    async fn ask_peer(
        &self,
        address: &str,
        step: StepId,
        workers: &[WorkerId],
    ) -> Option<Vec<Grant>> {
        let call = NodeCall::Advise { step, workers: workers.to_vec(), limit_ms: LIMIT_MS };
        let limit = Duration::from_millis(LIMIT_MS);
        match self.peers.call::<NodeReply>(address, &call, limit).await {
            Ok(NodeReply::Advised(granted)) => {
                let grant = |(worker, ticket)| Grant { worker, ticket };
                Some(granted?.into_iter().map(grant).collect())
            }
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(address, %error, "a daemon did not ask the advisor");
                None
            }
        }
    }

    fn least_busy(&self, workers: usize) -> String {
        let now_ms = steady_ms();
        let mut asking = self.asking.lock().unwrap_or_else(PoisonError::into_inner);
        let best = asking
            .iter_mut()
            .min_by_key(|(_, one)| (one.pause_until_ms > now_ms, one.workers));
        match best {
            Some((address, one)) => {
                one.workers += workers + 1;
                address.clone()
            }
            None => self.me.clone(),
        }
    }
}
