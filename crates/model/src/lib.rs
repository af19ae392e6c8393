//! Identifiers, units, catalogue entries, jobs and result codes that all crates share.
//!
//! The crate holds data types only, no scheduling decisions. Unless a name says
//! otherwise, times are milliseconds since the Unix epoch, sizes are in bytes, and
//! CPU is counted in thousandths of a core.

pub mod code;
pub mod entry;
pub mod id;
pub mod job;
pub mod peer;
pub mod resources;
pub mod target;
pub mod worker;

pub use code::Code;
pub use code::Failure;
pub use entry::Class;
pub use entry::Execution;
pub use entry::OwnerEntry;
pub use entry::Urgency;
pub use entry::WorkEntry;
pub use id::AttemptId;
pub use id::CustomerName;
pub use id::DaemonId;
pub use id::EntryName;
pub use id::JobId;
pub use id::MinionId;
pub use id::OwnerName;
pub use id::RegionName;
pub use id::WorkerId;
pub use id::ZoneName;
pub use job::JobRecord;
pub use job::JobState;
pub use job::Outcome;
pub use resources::Resources;
pub use target::Target;
pub use target::TargetState;

/// Target of log lines about a change of what a daemon believes: who leads, whether a
/// dependency answers, which jobs are cancelled or given up. They are kept when others are
/// left out.
pub const BELIEF_TARGET: &str = "stoatwell::belief";

/// Milliseconds since the Unix epoch, or since the start of a test.
pub type UnixMs = u64;
