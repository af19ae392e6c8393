//! Makes calls to the store for other daemons.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::executors::call::decode;
use crate::executors::call::encode;
use crate::peers::DaemonReply;
use crate::platform::Platform;
use crate::platform::StoreError;
use crate::relay::RelayState;
use crate::relay::RelayedStore;
use crate::relay::StoreCall;
use crate::relay::StoreReply;
use crate::relay::call::own_outcome;
use crate::relay::lock;

/// Part of a call's time limit that is left for the way of the reply.
const REPLY_MARGIN_MS: u64 = 30;
/// Maximum length of a reply. A longer one would exceed the length of a frame, with whatever else
/// it contains, and close the connection.
const REPLY_BYTES_MAX: usize = 12 * 1024 * 1024;
/// If no call was made for others for this long, relaying has ended.
const QUIET_PERIOD: Duration = Duration::from_secs(5);

/// The place of a call that is made for another daemon.
struct ServedCall<'a> {
    state: &'a RelayState,
    is_long: bool,
    bytes: usize,
}

impl Drop for ServedCall<'_> {
    fn drop(&mut self) {
        lock(&self.state.served).release(self.is_long, self.bytes);
    }
}

impl<P: Platform> RelayedStore<P> {
    /// Makes a call for another daemon, on the own path only: a call that is relayed twice could
    /// run in a circle.
    pub(crate) async fn answer(&self, caller: &str, call: &[u8], limit_ms: u64) -> DaemonReply {
        let Some(call) = decode::<StoreCall>("store call", call) else {
            return DaemonReply::StoreDeclined;
        };
        let (is_long, bytes) = (call.is_long(), call.bytes());
        let is_admitted =
            !self.state.paths().has_failed() && lock(&self.state.served).admit(is_long, bytes);
        if !is_admitted {
            count("declined");
            return DaemonReply::StoreDeclined;
        }
        let _served = ServedCall { state: &self.state, is_long, bytes };
        self.record_served(caller);
        let limit = Duration::from_millis(limit_ms.saturating_sub(REPLY_MARGIN_MS));
        let made = timeout(limit, call.make(self.own.as_ref())).await;
        let result: Result<StoreReply, StoreError> = if let Ok(result) = made {
            self.state.record_own(own_outcome(&result));
            result
        } else {
            let mut paths = self.state.paths();
            paths.record_overdue(steady_ms());
            self.state.notify_if_suspect(&paths);
            Err(StoreError::NoAnswer)
        };
        count(match &result {
            Ok(_) => "done",
            Err(StoreError::Conflict(_)) => "conflict",
            Err(StoreError::HistoryLost) => "history lost",
            Err(StoreError::Invalid) => "invalid",
            Err(StoreError::Refused) => "refused",
            Err(StoreError::NoAnswer) => "no answer",
        });
        let reply = encode(&result);
        if reply.len() > REPLY_BYTES_MAX {
            tracing::warn!(caller, bytes = reply.len(), "the store's answer is too long to relay");
            return DaemonReply::Store(encode(&Err::<StoreReply, _>(StoreError::NoAnswer)));
        }
        DaemonReply::Store(reply)
    }

    /// The encoded list of daemons as this one last read it.
    pub(crate) fn known_daemons(&self) -> DaemonReply {
        DaemonReply::Daemons(encode(&*lock(&self.state.daemons)))
    }

    /// Records that the daemon at this address leads. A former leader without any path to the
    /// store learns through it that its lease is lost.
    pub(crate) fn record_leader(&self, address: &str) {
        self.state.paths().add_daemon(address);
    }

    /// Logs when this daemon begins to make calls for others, and when it ends.
    fn record_served(&self, caller: &str) {
        let begins = std::mem::replace(&mut *lock(&self.state.last_served_ms), steady_ms()) == 0;
        if !begins {
            return;
        }
        let began_ms = steady_ms();
        tracing::info!(target: BELIEF_TARGET, caller, "making calls to the store for other daemons");
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(QUIET_PERIOD).await;
                let mut last_ms = lock(&state.last_served_ms);
                if steady_ms().saturating_sub(*last_ms) >= QUIET_PERIOD.as_millis() as u64 {
                    let served_ms = last_ms.saturating_sub(began_ms);
                    *last_ms = 0;
                    tracing::info!(target: BELIEF_TARGET, served_ms, "no more calls to the store for other daemons");
                    return;
                }
            }
        });
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("stoatwell_store_relayed_for_total", "outcome" => outcome).increment(1);
}
