//! Placement of tasks: one cell of workers is shared by work of different classes.
//!
//! [`Scheduler`] combines the workers and their free resources ([`cell`]), the
//! waiting jobs ([`queue`]), estimates of actual usage ([`usage`]) and the failure
//! history of workers and entries ([`health`]). It is driven by events that carry
//! the current time, and never blocks. Only the daemon that holds a worker schedules
//! on it, so no two schedulers can allocate the same capacity.

pub mod cell;
pub mod health;
pub mod queue;
pub mod reservation;
pub mod scheduler;
pub mod tree;
pub mod usage;

pub use cell::Cell;
pub use cell::Running;
pub use queue::WaitingJob;
pub use scheduler::Decision;
pub use scheduler::Placed;
pub use scheduler::Policy;
pub use scheduler::Scheduler;
pub use scheduler::TaskEnd;
