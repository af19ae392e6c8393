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
use crate::manifest::Manifest;
use crate::manifest::ManifestSource;
use crate::manifest::pace::ConfirmationPace;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::StoreError;
use crate::tasks::reap;

/// Number of polls in the time in which a new manifest has to be in force. If the response to
/// one of them is lost, the next one still brings the manifest in time.
pub(crate) const POLLS_PER_APPLY_TIME: u64 = 4;
/// How long the response to a poll may be overdue before another poll is sent.
const OVERDUE_MIN_MS: u64 = 200;
/// The same time as a multiple of the store's latency.
const OVERDUE_LATENCY_FACTOR: u64 = 3;
/// A poll that is requested while another one is pending is sent at the earliest this long
/// after it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed poll is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How often the leader asks the store for a proof, which it relays to the other daemons.
const LEADER_CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// How often a daemon checks whether its proof needs renewal.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a confirmation. A store that lets transactions wait for up to a second before it
/// refuses any still responds in time.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A read or poll of the manifest, with its result.
struct Poll {
    source: ManifestSource,
    /// The version after which changes were polled; `None` if the manifest was read.
    after: Option<u64>,
    sent_ms: u64,
    result: Result<(Option<Manifest>, u64), StoreError>,
}

impl Poll {
    /// Reads the manifest, or polls for one after a version.
    async fn run<P: Platform>(platform: Arc<P>, after: Option<u64>, wait_ms: u64) -> Self {
        let sent_ms = steady_ms();
        let (source, result) = match after {
            None => (ManifestSource::Read, platform.manifest().await),
            Some(version) => (ManifestSource::Feed, platform.poll_manifest(version, wait_ms).await),
        };
        Self { source, after, sent_ms, result }
    }
}

/// Keeps the current manifest up to date for the lifetime of the daemon. The store holds a
/// poll open for up to `wait_ms`.
///
/// A poll whose response is lost does not end before its timeout, so polls overlap: when a
/// response is overdue, another poll is sent.
pub(crate) async fn watch<P: Platform>(
    platform: Arc<P>,
    health: Arc<StoreHealth>,
    current: Arc<CurrentManifest>,
    wait_ms: u64,
) {
    let mut polls = JoinSet::new();
    let mut read_version = None;
    let mut failures = 0;
    loop {
        // After a loss of contact, the store responds at once whether there is a newer manifest.
        let is_outdated = current.newest().version > 0 && !current.is_current(steady_ms());
        let wait_ms = if is_outdated { 0 } else { wait_ms };
        polls.spawn(Poll::run(Arc::clone(&platform), read_version, wait_ms));
        let overdue_ms = OVERDUE_MIN_MS.max(health.latency_ms() * OVERDUE_LATENCY_FACTOR);
        let limit = Duration::from_millis(wait_ms + overdue_ms);
        let refresh_requested = async {
            sleep(REFRESH_INTERVAL).await;
            current.refresh_requested().await;
        };
        let answered = tokio::select! {
            answered = first_answer(&mut polls, &health, &mut failures) => answered,
            () = sleep(limit) => continue,
            () = refresh_requested => continue,
        };
        let Some(Poll { source, sent_ms, result, .. }) = answered else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        // Responses to earlier polls would tell nothing new.
        polls = JoinSet::new();
        let Ok((manifest, version)) = result else {
            tracing::info!(
                after = read_version,
                "store no longer has the manifest's change history; reading the manifest"
            );
            read_version = None;
            continue;
        };
        if failures > 0 {
            tracing::info!(failures, version, %source, "watching the manifest works again");
            failures = 0;
        }
        read_version = Some(version);
        if let Some(manifest) = manifest {
            current.replace_if_newer(manifest, source);
        }
        current.record_contact(sent_ms);
    }
}

/// Waits for the first poll that the store answers, and counts those that failed before;
/// `None` if all failed.
async fn first_answer(
    polls: &mut JoinSet<Poll>,
    health: &StoreHealth,
    failures: &mut u64,
) -> Option<Poll> {
    while let Some(finished) = polls.join_next().await {
        let poll = match finished {
            Ok(poll) => poll,
            Err(error) => {
                tracing::error!(%error, "a poll of the manifest ended without a result");
                continue;
            }
        };
        health.record_result(&poll.result);
        let error = match &poll.result {
            Ok(_) | Err(StoreError::HistoryLost) => return Some(poll),
            Err(error) => error,
        };
        *failures += 1;
        metrics::counter!("stoatwell_manifest_watch_failures_total").increment(1);
        // An outage fails several polls a second; the first one tells of it.
        if *failures == 1 {
            let Poll { source, after, sent_ms, .. } = &poll;
            let waited_ms = steady_ms().saturating_sub(*sent_ms);
            tracing::warn!(%error, %source, after, waited_ms, "watching the manifest failed; retrying");
        }
    }
    None
}

/// Asks the store regularly whether the current manifest is the newest, for the lifetime of
/// the daemon.
///
/// Reads and change feeds may lag behind while the store drops its history; a transaction
/// that is conditional on the row being unchanged does not. Confirmations overlap, because
/// one that was sent during an outage gets no response; [`ConfirmationPace`] bounds how many.
pub(crate) async fn confirm<P: Platform>(
    platform: Arc<P>,
    current: Arc<CurrentManifest>,
    is_leader: impl Fn() -> bool,
) {
    let mut confirmations = JoinSet::new();
    let pace = Arc::new(ConfirmationPace::new(current.renew_age_ms()));
    let mut requested_ms = 0;
    loop {
        sleep(CONFIRM_INTERVAL).await;
        reap("confirmation of the manifest", &mut confirmations);
        let now_ms = steady_ms();
        let age_ms = current.relayed_proof(now_ms).age_ms;
        metrics::gauge!("stoatwell_manifest_proof_age_ms").set(age_ms as f64);
        let contact_age_ms = current.contact_age_ms(now_ms);
        metrics::gauge!("stoatwell_manifest_contact_age_ms").set(contact_age_ms as f64);
        let manifest = current.newest();
        let is_due = if is_leader() {
            let due_ms = requested_ms + LEADER_CONFIRM_INTERVAL.as_millis() as u64;
            manifest.version > 0 && now_ms >= due_ms
        } else {
            current.is_proof_due(now_ms) && pace.may_send(now_ms)
        };
        if !is_due {
            continue;
        }
        requested_ms = now_ms;
        pace.record_sent(now_ms);
        let pace = Arc::clone(&pace);
        let platform = Arc::clone(&platform);
        let current = Arc::clone(&current);
        confirmations.spawn(async move {
            let sent_ms = steady_ms();
            let confirmation = platform.confirm_manifest(manifest.row_version);
            let confirmed = timeout(CONFIRM_TIMEOUT, confirmation).await;
            if let Ok(Ok(_)) = &confirmed {
                pace.record_answered(sent_ms, steady_ms());
            }
            match confirmed {
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
