//! The daemon that runs on every entry instance.
//!
//! A `kameo` actor ([`engine_actor`]) owns the engine and executes its effects.
//! The HTTP API ([`api`]) and the listener for other daemons pass events to it, and
//! [`run`] starts all of this and shuts it down gracefully. All decisions are made
//! by the engine.

pub mod api;
pub mod clock;
pub mod engine_actor;
pub mod logs;
pub mod metrics;
pub mod run;

pub use run::Daemon;
