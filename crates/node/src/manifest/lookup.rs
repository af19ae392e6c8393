//! Finds the manifest for a request.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::steady_ms;
use crate::manifest::CurrentManifest;
use crate::manifest::Manifest;

/// How long a request waits for a newer manifest: some round trips between regions.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// The manifest has no queue for a request, and a newer one may have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated;

impl CurrentManifest {
    /// The manifest by which a request to this host and path is answered.
    ///
    /// That a queue does not exist is final for the caller. A daemon that was suspended, or
    /// that is cut off from the store and the leader, cannot tell: it asks the store first, and
    /// fails if there is no response.
    pub async fn for_request(&self, host: &str, path: &str) -> Result<Arc<Manifest>, Outdated> {
        let manifest = self.newest();
        if manifest.find(host, path).is_some() || self.is_current(steady_ms()) {
            return Ok(manifest);
        }
        let is_current = self.refresh(REFRESH_TIMEOUT).await;
        let manifest = self.newest();
        if is_current || manifest.find(host, path).is_some() {
            return Ok(manifest);
        }
        let (version, contact_age_ms) = (manifest.version, self.contact_age_ms(steady_ms()));
        tracing::info!(
            host,
            path,
            version,
            contact_age_ms,
            "request rejected: whether a queue has this host and path is not known"
        );
        Err(Outdated)
    }
}
