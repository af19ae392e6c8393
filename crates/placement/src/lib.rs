//! Where work runs: one cell of workers shared by unlike classes.
//!
//! [`Scheduler`] is the whole of it: workers and their free resources
//! ([`cell`]), waiting jobs ([`queue`]), what entries really use
//! ([`learned`]) and who fails whom ([`health`]). It is driven by events with
//! the time given, never waits, and only the holder of a worker runs one over
//! that worker, so no two of them can promise the same room.

pub mod cell;
pub mod health;
pub mod learned;
pub mod queue;
pub mod reservation;
pub mod scheduler;
pub mod tree;

pub use cell::Cell;
pub use cell::Running;
pub use queue::WaitingJob;
pub use scheduler::Decision;
pub use scheduler::Placed;
pub use scheduler::Policy;
pub use scheduler::Scheduler;
pub use scheduler::TaskEnd;
