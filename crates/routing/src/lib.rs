//! Requests to minions: slots, deadlines, breakers and retry budgets.
//!
//! Only the holder of a worker sends requests to the minions on it, so the
//! slots it counts ([`minions`]) are all that are in use and no limit is ever
//! passed by the sum of all entry instances. [`request_queue`] orders requests that
//! found no slot, and [`budget`] keeps retries a small share of the traffic.

pub mod budget;
pub mod minions;
pub mod request_queue;

pub use budget::RetryBudget;
pub use minions::Minions;
pub use minions::PickedMinion;
pub use request_queue::RequestQueue;
