//! The daemon that runs on every entry instance.
//!
//! A `kameo` actor ([`core`]) owns the engine and carries its effects out;
//! around it stand the HTTP interface ([`api`]), the listener for other
//! daemons, and the planned stop ([`run`]). All decisions are the engine's.

pub mod api;
pub mod clock;
pub mod core;
pub mod logs;
pub mod metrics;
pub mod run;

pub use run::Daemon;
