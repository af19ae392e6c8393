//! The stand-in for the platform, its workers and minions, for development and tests.
//!
//! It answers the protocol of `docs/platform.md` and holds no scheduling: a
//! table and an object store in memory, an instance list that lags, workers
//! that run pretended tasks under leases, and minions with slots. Faults are
//! set over HTTP. One process plays all of them on one port.

pub mod config;
pub mod faults;
pub mod minion;
pub mod server;
pub mod store;
pub mod worker;

pub use config::Config;
pub use faults::Faults;
pub use server::Standin;
