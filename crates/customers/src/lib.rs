//! Customers of a pool: who may call, what each may use, and how long that is known.
//!
//! A [`Directory`] holds the customers of one version of the manifest and finds the
//! one that a key belongs to. A [`Proof`] says up to which moment that version was the
//! newest: a key that was taken away must not go on working at a daemon that has not
//! heard of it, so a daemon whose proof is too old lets nobody in.

mod directory;
mod key;
mod proof;

pub use crate::directory::Customer;
pub use crate::directory::Directory;
pub use crate::directory::Mistake;
pub use crate::directory::Mistakes;
pub use crate::key::KeyHash;
pub use crate::key::KeyHashError;
pub use crate::key::bearer;
pub use crate::proof::Proof;
pub use crate::proof::ProofLimits;
