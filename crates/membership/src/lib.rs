//! Which daemons are alive, and which of them holds the lease on each worker.
//!
//! The platform's instance list lags behind and is only a hint; heartbeats show which
//! daemons are alive ([`members`]). [`rendezvous`] assigns every worker of a zone to one
//! live daemon, so that all daemons with the same view agree without communication.
//! [`lease`] is one daemon's side of the leases that workers grant. A wrong view costs a
//! refused call, and never leads to two holders that can act.

pub mod lease;
pub mod members;
pub mod rendezvous;

pub use lease::LeaseAction;
pub use lease::LeaseEvent;
pub use lease::LeaseTable;
pub use members::Members;
