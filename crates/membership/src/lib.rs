//! Which daemons are alive and which of them holds each worker.
//!
//! The platform's instance list is late and only a hint; heartbeats say who is
//! alive ([`members`]). [`assign`] gives every worker of a zone to one living
//! daemon, so that all daemons with the same view agree without asking.
//! [`holding`] is one daemon's side of the leases that the workers grant: a
//! wrong view costs a refused call, never two holders that can act.

pub mod assign;
pub mod holding;
pub mod members;

pub use holding::HoldAction;
pub use holding::HoldEvent;
pub use holding::Holdings;
pub use members::Members;
