//! Authentication of callers by their key.

use stoatwell_customers::Customer;

use crate::clock::steady_ms;
use crate::manifest::CurrentManifest;
use crate::manifest::Manifest;
use crate::manifest::Queue;

/// Why a caller is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Denied {
    /// the key is missing or unknown
    UnknownKey,
    /// whether the key is still good is not known here
    Unconfirmed,
}

impl CurrentManifest {
    /// Authenticates a caller of a queue. `Ok(None)` is an anonymous caller: the manifest has
    /// no customers, or the queue is open to callers without a known key.
    ///
    /// The age of the manifest's proof is checked at the present time, not at the time the
    /// request was sent, so a daemon that was suspended while it held a request does not
    /// admit it by an outdated proof.
    pub fn admit<'a>(
        &self,
        manifest: &'a Manifest,
        queue: &Queue,
        key: Option<&str>,
    ) -> Result<Option<&'a Customer>, Denied> {
        let Some(customers) = &manifest.customers else { return Ok(None) };
        let customer = key.and_then(|key| customers.find(key));
        if queue.anonymous {
            return Ok(customer);
        }
        if !self.is_confirmed(steady_ms()) {
            return Err(Denied::Unconfirmed);
        }
        customer.map(Some).ok_or(Denied::UnknownKey)
    }
}
