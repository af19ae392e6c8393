//! Who may call.

use stoatwell_customers::Customer;

use crate::clock::steady_ms;
use crate::manifest::CurrentManifest;
use crate::manifest::Manifest;
use crate::manifest::Queue;

/// Why a caller is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Denied {
    /// the key is missing or unknown
    UnknownKey,
    /// whether the key is still good is not known here
    Unconfirmed,
}

impl CurrentManifest {
    /// The customer that calls; none on a queue that is open to anybody.
    ///
    /// The proof is held against the present moment, which is later than the one at which
    /// the request was sent, so a daemon that slept over a request does not let it in.
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
