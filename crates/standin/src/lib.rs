//! A stand-in that simulates the platform, its workers and minions, for development and tests.
//!
//! It implements the server side of `docs/platform.md` without any scheduling:
//! an in-memory table and object store, an instance list with a delay, workers
//! that run simulated tasks under leases, and minions with slots. Faults are
//! set over HTTP. One process serves all of them on one port.

pub mod config;
pub mod faults;
pub mod minion;
pub mod server;
pub mod store;
pub mod worker;

pub use config::Config;
pub use faults::Faults;
pub use server::Standin;
