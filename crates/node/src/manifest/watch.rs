//! Watches the store for new manifests, and confirms regularly that the current one is the
//! newest.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_customers::FreshnessProof;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::health::StoreHealth;
use crate::manifest::CurrentManifest;
use crate::manifest::ManifestSource;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::StoreError;

/// How long the store holds a poll for a newer manifest open. A lost poll does no harm: the
/// leader's replies to liveness probes announce a newer version too.
const POLL_WAIT_MS: u64 = 5_000;
/// Delay before a failed poll is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How often the leader asks the store for a proof, which it relays to the other daemons.
const LEADER_CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// How often a daemon whose proof needs renewal asks for one.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a confirmation; a slow store still responds in time.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the current manifest up to date for the lifetime of the daemon.
pub(crate) async fn watch<P: Platform>(
    platform: Arc<P>,
    health: Arc<StoreHealth>,
    current: Arc<CurrentManifest>,
) {
    let mut read_version = None;
    let mut failures = 0;
    loop {
        let sent_ms = steady_ms();
        let (source, result) = match read_version {
            None => (ManifestSource::Read, platform.manifest().await),
            Some(version) => {
                (ManifestSource::Feed, platform.poll_manifest(version, POLL_WAIT_MS).await)
            }
        };
        health.record_result(&result);
        let waited_ms = steady_ms().saturating_sub(sent_ms);
        match result {
            Ok((manifest, version)) => {
                if failures > 0 {
                    tracing::info!(failures, version, %source, "watching the manifest works again");
                    failures = 0;
                }
                read_version = Some(version);
                if let Some(manifest) = manifest {
                    current.replace_if_newer(manifest, source);
                }
            }
            Err(StoreError::HistoryLost) => {
                tracing::info!(
                    after = read_version,
                    "store no longer has the manifest's change history; reading the manifest"
                );
                read_version = None;
            }
            Err(error) => {
                failures += 1;
                metrics::counter!("stoatwell_manifest_watch_failures_total").increment(1);
                // Only the first of a series, or one that cost much time: an outage causes several a second.
                if failures == 1 || waited_ms >= POLL_WAIT_MS {
                    tracing::warn!(%error, %source, after = read_version, waited_ms, "watching the manifest failed; retrying");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Asks the store regularly whether the current manifest is the newest, for the lifetime of
/// the daemon.
///
/// Reads and change feeds may lag behind while the store drops its history; a transaction
/// that is conditional on the row being unchanged does not. Confirmations overlap, because
/// one that was sent during an outage gets no response.
pub(crate) async fn confirm<P: Platform>(
    platform: Arc<P>,
    current: Arc<CurrentManifest>,
    is_leader: impl Fn() -> bool,
) {
    let mut confirmations = JoinSet::new();
    let mut requested_ms = 0;
    loop {
        sleep(CONFIRM_INTERVAL).await;
        while confirmations.try_join_next().is_some() {}
        let now_ms = steady_ms();
        let age_ms = current.relayed_proof(now_ms).age_ms;
        metrics::gauge!("stoatwell_manifest_proof_age_ms").set(age_ms as f64);
        let is_leader_due =
            is_leader() && now_ms >= requested_ms + LEADER_CONFIRM_INTERVAL.as_millis() as u64;
        let manifest = current.newest();
        let confirm_as_leader = manifest.version > 0 && is_leader_due;
        if !confirm_as_leader && !current.is_proof_due(now_ms) {
            continue;
        }
        requested_ms = now_ms;
        let platform = Arc::clone(&platform);
        let current = Arc::clone(&current);
        confirmations.spawn(async move {
            let sent_ms = steady_ms();
            let confirmation = platform.confirm_manifest(manifest.row_version);
            match timeout(CONFIRM_TIMEOUT, confirmation).await {
                Ok(Ok(Confirmation::Newest)) => {
                    current.record_proof(FreshnessProof::from_store(manifest.version, sent_ms));
                }
                Ok(Ok(Confirmation::Replaced(Some(newer)))) => {
                    let version = newer.version;
                    current.replace_if_newer(newer, ManifestSource::Confirmation);
                    current.record_proof(FreshnessProof::from_store(version, sent_ms));
                }
                Ok(Ok(Confirmation::Replaced(None))) => {
                    tracing::warn!(
                        version = manifest.version,
                        "a newer manifest cannot be parsed; keeping the current one"
                    );
                }
                Ok(Err(error)) => tracing::debug!(%error, "confirming the manifest failed"),
                Err(_) => tracing::debug!("confirming the manifest timed out"),
            }
        });
    }
}
