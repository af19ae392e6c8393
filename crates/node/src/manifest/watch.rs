//! Follows the manifest, and proves again and again that it is the newest.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_customers::Proof;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::health::StoreHealth;
use crate::manifest::CurrentManifest;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::StoreError;

/// How long a question for a newer manifest waits. One that is lost costs nothing: the
/// leader's heartbeats tell of a newer version too.
const WAIT_MS: u64 = 5_000;
/// After one that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// How often the leader asks for a proof, which the other daemons get from it.
const LEADER_CONFIRM_EVERY: Duration = Duration::from_millis(500);
/// How often a daemon does whose proof has grown old.
const CONFIRM_EVERY: Duration = Duration::from_millis(200);
/// How long such a question waits; a slow store still answers in time.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the newest manifest, for the whole life of a daemon.
pub(crate) async fn watch<O: Platform>(
    outside: Arc<O>,
    health: Arc<StoreHealth>,
    in_force: Arc<CurrentManifest>,
) {
    let mut after = None;
    loop {
        let result = match after {
            None => outside.manifest().await,
            Some(version) => outside.poll_manifest(version, WAIT_MS).await,
        };
        health.record_result(&result);
        match result {
            Ok((manifest, version)) => {
                after = Some(version);
                if let Some(manifest) = manifest {
                    in_force.replace_if_newer(manifest);
                }
            }
            Err(StoreError::HistoryLost) => after = None,
            Err(error) => {
                tracing::debug!(%error, "the manifest cannot be followed");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Asks the store whether the manifest is the newest, for the whole life of a daemon.
///
/// Readings and feeds may lag behind while the store drops its history; a transaction
/// under the condition that the row is unchanged does not. Questions overlap, since one
/// that was sent into an outage is never answered.
pub(crate) async fn confirm<O: Platform>(
    outside: Arc<O>,
    in_force: Arc<CurrentManifest>,
    is_leader: impl Fn() -> bool,
) {
    let mut questions = JoinSet::new();
    let mut asked_ms = 0;
    loop {
        sleep(CONFIRM_EVERY).await;
        while questions.try_join_next().is_some() {}
        let now_ms = steady_ms();
        let age_ms = in_force.relayed_proof(now_ms).age_ms;
        metrics::gauge!("stoatwell_manifest_proof_age_ms").set(age_ms as f64);
        let leads_and_due =
            is_leader() && now_ms >= asked_ms + LEADER_CONFIRM_EVERY.as_millis() as u64;
        let manifest = in_force.newest();
        let wanted = manifest.version > 0 && leads_and_due;
        if !wanted && !in_force.is_proof_due(now_ms) {
            continue;
        }
        asked_ms = now_ms;
        let outside = Arc::clone(&outside);
        let in_force = Arc::clone(&in_force);
        questions.spawn(async move {
            let sent_ms = steady_ms();
            let asked = outside.confirm_manifest(manifest.row_version);
            match timeout(CONFIRM_TIMEOUT, asked).await {
                Ok(Ok(Confirmation::Newest)) => {
                    in_force.note_proof(Proof::from_store(manifest.version, sent_ms));
                }
                Ok(Ok(Confirmation::Replaced(Some(newer)))) => {
                    let version = newer.version;
                    in_force.replace_if_newer(newer);
                    in_force.note_proof(Proof::from_store(version, sent_ms));
                }
                Ok(Ok(Confirmation::Replaced(None))) => {
                    tracing::warn!(version = manifest.version, "a newer manifest cannot be read");
                }
                Ok(Err(error)) => tracing::debug!(%error, "the manifest cannot be confirmed"),
                Err(_) => tracing::debug!("no answer whether the manifest is the newest"),
            }
        });
    }
}
