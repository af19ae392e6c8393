//! The leader's durable writes: its lease, and the rows of jobs.
//!
//! The lease is a single row that names the leader. The rows of jobs are spread over many
//! partitions of the store. Each partition has a fence, a row that a new leader rewrites
//! before it reads the partition. Every batch is written on condition that the fence is as
//! this leader left it, so no write of an earlier leader takes effect any more, whenever it
//! arrives.

mod fences;
mod renew;
mod writer;

pub(crate) use crate::commit::fences::Fence;
pub(crate) use crate::commit::fences::claim_fences;
pub(crate) use crate::commit::renew::HeldLease;
pub(crate) use crate::commit::renew::LEADER_LEASE_KEY;
pub(crate) use crate::commit::renew::RenewalState;
pub(crate) use crate::commit::renew::renew_lease;
pub(crate) use crate::commit::writer::Writer;

/// Encodes the value of a row as JSON.
pub(crate) fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        // None of the row types holds anything that JSON cannot represent.
        tracing::error!(%error, "cannot encode a row as JSON; its value is left empty");
        Vec::new()
    })
}
