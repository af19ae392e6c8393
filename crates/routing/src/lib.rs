//! Requests to minions: slots, deadlines, circuit breakers and retry budgets.
//!
//! Only the daemon that holds a worker sends requests to the minions on it. The slots
//! that it counts ([`minions`]) are therefore all that are in use, and the daemons
//! together never exceed a minion's limit. [`request_queue`] orders the requests that
//! found no free slot, and [`budget`] keeps retries to a small share of the traffic.

pub mod budget;
pub mod minions;
pub mod request_queue;

pub use budget::RetryBudget;
pub use minions::Minions;
pub use minions::PickedMinion;
pub use request_queue::RequestQueue;
