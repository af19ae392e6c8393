//! What the leader makes durable: its lease, and the rows of jobs.
//!
//! The lease is one row that says who leads. The rows of jobs lie in many parts of the
//! store, each with a fence: a row that a new leader rewrites before it reads the part. Every
//! batch is written under the condition that the fence is as this leader left it, so nothing
//! of a former leader takes effect any more, whenever it arrives.

mod fences;
mod renew;
mod writer;

pub(crate) use crate::commit::fences::Fence;
pub(crate) use crate::commit::fences::claim_fences;
pub(crate) use crate::commit::renew::HeldLease;
pub(crate) use crate::commit::renew::LEADER_LEASE_KEY;
pub(crate) use crate::commit::renew::renew_lease;
pub(crate) use crate::commit::writer::Writer;

/// A row's value.
pub(crate) fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        // None of the row types holds anything that JSON cannot say.
        tracing::error!(%error, "a row cannot be written");
        Vec::new()
    })
}
