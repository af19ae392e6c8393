//! The manifest that a daemon currently applies, and the proof of how long ago it was the
//! newest.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::FreshnessLimits;
use stoatwell_customers::FreshnessProof;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::manifest::Manifest;

/// Where a daemon got a manifest from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ManifestSource {
    /// read
    Read,
    /// change feed
    Feed,
    /// confirmation
    Confirmation,
    /// leader
    Leader,
}

/// The newest manifest that a daemon has seen. The version never decreases, even if a store
/// that lags behind returns an older one.
#[derive(Debug)]
pub struct CurrentManifest {
    view: watch::Sender<View>,
    /// How old a proof may be; `None` if the time until a key is revoked is not bounded.
    limits: Option<FreshnessLimits>,
    /// The time in which a new manifest has to be in force.
    apply_ms: u64,
    /// Requests the newest manifest from the store.
    refresh: Notify,
}

#[derive(Clone, Debug, Default)]
struct View {
    manifest: Arc<Manifest>,
    proof: FreshnessProof,
    /// When the leader's next proof is overdue.
    relay_overdue_ms: u64,
    /// The last time at which the store or the leader was in contact, so that a newer manifest
    /// would have arrived.
    contact_ms: u64,
}

/// A daemon's proof that its manifest was the newest, as it is sent to another daemon. It
/// carries an age because the clocks of two machines are not comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedProof {
    /// The version of the manifest.
    pub version: u64,
    /// Age of the proof when it was sent.
    pub age_ms: u64,
}

impl CurrentManifest {
    /// Starts without a manifest; see [`Self::newest`]. Without limits, a manifest needs no
    /// proof. `apply_ms` is the time in which a new manifest has to be in force.
    pub fn new(limits: Option<FreshnessLimits>, apply_ms: u64) -> Self {
        Self { view: watch::Sender::default(), limits, apply_ms, refresh: Notify::new() }
    }

    /// The newest manifest; an empty one of version 0 before the first.
    pub fn newest(&self) -> Arc<Manifest> {
        Arc::clone(&self.view.borrow().manifest)
    }

    /// Makes a manifest the current one if its version is higher.
    pub fn replace_if_newer(&self, manifest: Manifest, source: ManifestSource) {
        self.view.send_if_modified(|view| {
            if manifest.version <= view.manifest.version {
                return false;
            }
            let (version, row_version) = (manifest.version, manifest.row_version);
            let queues = manifest.queues.len();
            let customers = manifest.customers.as_ref().map(|all| all.customers().len());
            tracing::info!(version, row_version, queues, customers, %source, "new manifest applied");
            metrics::gauge!("stoatwell_manifest_version").set(version as f64);
            metrics::counter!("stoatwell_manifests_applied_total", "source" => source.to_string())
                .increment(1);
            view.proof = view.proof.for_newer_version(version);
            view.manifest = Arc::new(manifest);
            true
        });
    }

    /// Merges a proof with the present one.
    pub fn record_proof(&self, proof: FreshnessProof) {
        self.view.send_if_modified(|view| {
            view.proof = view.proof.merge(proof);
            self.extend_contact(view, view.proof.as_of_ms)
        });
    }

    /// Records that the store answered a poll that was sent at `sent_ms`.
    pub fn record_contact(&self, sent_ms: u64) {
        self.view.send_if_modified(|view| self.extend_contact(view, sent_ms));
    }

    /// Records a contact; returns whether it ends a loss of contact, which requests wait for.
    fn extend_contact(&self, view: &mut View, at_ms: u64) -> bool {
        let was_in_contact = self.is_in_contact(view, steady_ms());
        view.contact_ms = view.contact_ms.max(at_ms);
        !was_in_contact
    }

    /// Whether a manifest would be known here that was written as long ago as a manifest may
    /// take to be in force.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.is_in_contact(&self.view.borrow(), now_ms)
    }

    fn is_in_contact(&self, view: &View, now_ms: u64) -> bool {
        view.manifest.version > 0 && now_ms < view.contact_ms.saturating_add(self.apply_ms)
    }

    /// How long ago the store or the leader was last in contact.
    pub fn contact_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.view.borrow().contact_ms)
    }

    /// Requests the newest manifest from the store, and waits until the manifest is current.
    /// Returns whether it is, after `limit` at the latest.
    pub(crate) async fn refresh(&self, limit: Duration) -> bool {
        self.refresh.notify_one();
        let mut view = self.view.subscribe();
        let current = view.wait_for(|view| self.is_in_contact(view, steady_ms()));
        matches!(timeout(limit, current).await, Ok(Ok(_)))
    }

    /// Waits until [`Self::refresh`] is called.
    pub(crate) async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// The proof to send to another daemon.
    pub fn relayed_proof(&self, now_ms: u64) -> RelayedProof {
        let view = self.view.borrow();
        RelayedProof { version: view.manifest.version, age_ms: view.proof.age_ms(now_ms) }
    }

    /// Whether the manifest is recent enough to authenticate callers with it.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        let Some(limits) = self.limits else { return true };
        let view = self.view.borrow();
        view.manifest.customers.is_none() || view.proof.is_valid(now_ms, &limits)
    }

    /// Records that the leader's next proof will have come by this time.
    pub(crate) fn expect_relayed_proof(&self, overdue_ms: u64) {
        self.view.send_if_modified(|view| {
            view.relay_overdue_ms = overdue_ms;
            false
        });
    }

    /// Whether a new proof has to be requested from the store. In a large fleet, that is not
    /// while the leader is about to send one: the store processes the requests of all daemons
    /// one after another.
    pub(crate) fn is_proof_due(&self, now_ms: u64) -> bool {
        let Some(limits) = self.limits else { return false };
        let view = self.view.borrow();
        if view.manifest.customers.is_none() || !view.proof.needs_renewal(now_ms, &limits) {
            return false;
        }
        now_ms >= view.relay_overdue_ms || view.proof.age_ms(now_ms) >= limits.late_age_ms
    }

    /// The age at which a proof has to be renewed; the maximum if proofs are not needed.
    pub(crate) fn renew_age_ms(&self) -> u64 {
        self.limits.map_or(u64::MAX, |limits| limits.renew_age_ms)
    }

    /// Waits for a manifest newer than this version.
    pub(crate) async fn wait_for_newer(&self, version: u64) -> Arc<Manifest> {
        let mut view = self.view.subscribe();
        let newer = view.wait_for(|view| view.manifest.version > version).await;
        // `self` owns the sender, so it is not dropped during the wait.
        newer.map_or_else(|_closed| Arc::default(), |view| Arc::clone(&view.manifest))
    }
}
