//! Customers of a pool: who may call, what each may use, and how fresh that data is.
//!
//! A [`Directory`] holds the customers of one version of the manifest and finds the
//! customer to which a key belongs. A [`FreshnessProof`] states at which time that
//! version was still the newest. A revoked key must not go on working at a daemon that
//! has not heard of the revocation, so a daemon whose proof is too old admits no callers.

mod directory;
mod key;
mod proof;

pub use crate::directory::Customer;
pub use crate::directory::Directory;
pub use crate::directory::DirectoryError;
pub use crate::directory::DirectoryErrors;
pub use crate::key::KeyHash;
pub use crate::key::KeyHashError;
pub use crate::key::bearer_key;
pub use crate::proof::FreshnessLimits;
pub use crate::proof::FreshnessProof;
