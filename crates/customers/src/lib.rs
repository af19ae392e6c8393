//! Customers of a pool: who may call, what each may use, and how long that is known.
//!
//! A [`Directory`] holds the customers of one version of the manifest and finds the
//! one that a key belongs to. A [`FreshnessProof`] says up to which moment that version was the
//! newest: a key that was taken away must not go on working at a daemon that has not
//! heard of it, so a daemon whose proof is too old lets nobody in.

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
