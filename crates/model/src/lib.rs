//! Ids, units, catalogue entries, jobs and result codes shared by every crate.
//!
//! Nothing here decides anything: these are the nouns. Times are milliseconds
//! since the Unix epoch unless a name says otherwise, sizes are bytes, and
//! processors are counted in thousandths of a core.

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

/// Milliseconds since the Unix epoch, or since a test's start.
pub type UnixMs = u64;
