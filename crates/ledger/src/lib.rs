//! Durable acceptance, intents and outcomes of jobs.
//!
//! [`machine`] is the state machine of one job at its coordinator. It knows which
//! starts may have been sent, which were certainly not sent, and which outcome is
//! correct. [`committer`] writes the records of many jobs in one transaction and
//! distinguishes lost responses from failed writes. [`rows`] defines the layout of the
//! records in the platform's table.

pub mod committer;
pub mod machine;
pub mod rows;

pub use committer::CommitResult;
pub use committer::Committer;
pub use committer::Write;
pub use machine::JobEffect;
pub use machine::JobMachine;
pub use machine::StartResult;
