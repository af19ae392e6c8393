//! Plans the queries to the advisor, which decides on which workers a step may run.
//!
//! The advisor serves one query at a time for each daemon, and a query may take most of a second.
//! [`budget`] bounds what is pending, so that an answer comes while its tickets are of use.
//! [`DispatchPlan`] decides which query is sent next and through which daemon. Both are pure:
//! they do no I/O and read no clock.

pub mod budget;
mod dispatch;

pub use crate::dispatch::Assignment;
pub use crate::dispatch::DaemonShare;
pub use crate::dispatch::DispatchPlan;
pub use crate::dispatch::Outcome;
pub use crate::dispatch::QueryId;
pub use crate::dispatch::QueuedQuery;

/// Why the advisor is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Purpose {
    /// first
    First,
    /// further
    Further,
    /// renewal
    Renewal,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 3] = [Self::First, Self::Further, Self::Renewal];
}
