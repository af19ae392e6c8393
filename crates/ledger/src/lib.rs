//! Durable acceptance, intents and outcomes of jobs.
//!
//! [`machine`] is one job as the daemon that runs it sees it: which start may
//! have been sent, which surely was not, and what outcome is truthful.
//! [`committer`] writes many jobs' records in one transaction and tells lost
//! answers apart from failed writes. [`rows`] says how records lie in the
//! platform's table.

pub mod committer;
pub mod machine;
pub mod rows;

pub use committer::CommitResult;
pub use committer::Committer;
pub use committer::Write;
pub use machine::JobEffect;
pub use machine::JobMachine;
pub use machine::StartResult;
