//! The version of the manifest that a daemon goes by, and since when it may be old.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::Proof;
use stoatwell_customers::ProofLimits;
use tokio::sync::watch;

use crate::manifest::Manifest;

/// The newest manifest that a daemon has seen. A version never goes back, also when a
/// store that lags behind answers with an older one.
#[derive(Debug)]
pub struct CurrentManifest {
    view: watch::Sender<View>,
    /// How old a proof may be; none where keys are not taken away by a deadline.
    limits: Option<ProofLimits>,
}

#[derive(Clone, Debug, Default)]
struct View {
    manifest: Arc<Manifest>,
    proof: Proof,
}

/// The proof of one daemon, as another one gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedProof {
    /// The version.
    pub version: u64,
    /// How old the proof was when it was passed on.
    pub age_ms: u64,
}

impl CurrentManifest {
    /// No manifest yet.
    pub fn new(limits: Option<ProofLimits>) -> Self {
        Self { view: watch::Sender::default(), limits }
    }

    /// The newest manifest; its version is 0 before there is one.
    pub fn newest(&self) -> Arc<Manifest> {
        Arc::clone(&self.view.borrow().manifest)
    }

    /// Takes a manifest, unless it is older than the one in force.
    pub fn replace_if_newer(&self, manifest: Manifest) {
        self.view.send_if_modified(|view| {
            if manifest.version <= view.manifest.version {
                return false;
            }
            let (version, queues) = (manifest.version, manifest.queues.len());
            let customers = manifest.customers.as_ref().map(|all| all.customers().len());
            tracing::info!(version, queues, customers, "manifest in force");
            view.proof = view.proof.for_newer(version);
            view.manifest = Arc::new(manifest);
            true
        });
    }

    /// Takes note of a proof.
    pub fn note_proof(&self, proof: Proof) {
        self.view.send_if_modified(|view| {
            view.proof = view.proof.learn(proof);
            // Nobody waits for proofs.
            false
        });
    }

    /// The proof to pass on.
    pub fn relayed_proof(&self, now_ms: u64) -> RelayedProof {
        let view = self.view.borrow();
        RelayedProof { version: view.manifest.version, age_ms: view.proof.age_ms(now_ms) }
    }

    /// Whether keys may be held against the manifest.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        let Some(limits) = self.limits else { return true };
        let view = self.view.borrow();
        view.manifest.customers.is_none() || view.proof.is_good(now_ms, &limits)
    }

    /// Whether a new proof is wanted.
    pub(crate) fn is_proof_due(&self, now_ms: u64) -> bool {
        let Some(limits) = self.limits else { return false };
        let view = self.view.borrow();
        view.manifest.customers.is_some() && view.proof.is_due(now_ms, &limits)
    }

    /// Waits for a newer manifest than this version.
    pub(crate) async fn wait_for_newer(&self, version: u64) -> Arc<Manifest> {
        let mut view = self.view.subscribe();
        let newer = view.wait_for(|view| view.manifest.version > version).await;
        // The sender is `self`, so it outlives the wait.
        newer.map_or_else(|_closed| Arc::default(), |view| Arc::clone(&view.manifest))
    }
}
