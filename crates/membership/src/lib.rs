//! Which daemons are alive and which of them holds each worker.
//!
//! The platform's instance list is late and only a hint; heartbeats say who is
//! alive ([`members`]). [`rendezvous`] gives every worker of a zone to one living
//! daemon, so that all daemons with the same view agree without asking.
//! [`lease`] is one daemon's side of the leases that the workers grant: a
//! wrong view costs a refused call, never two holders that can act.

pub mod lease;
pub mod members;
pub mod rendezvous;

pub use lease::LeaseAction;
pub use lease::LeaseEvent;
pub use lease::LeaseTable;
pub use members::Members;
