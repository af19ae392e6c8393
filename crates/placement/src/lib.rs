//! Placement of tasks of all classes on the workers that one daemon holds, its cell.
//!
//! [`Scheduler`] combines the workers and their free resources ([`cell`]), the
//! waiting jobs ([`queue`]), estimates of actual usage ([`usage`]) and the failure
//! history of workers and entries ([`health`]). An entry is the catalogue's description of
//! one kind of work; every job belongs to one. The scheduler is driven by events that carry
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
