//! Runs: attempts to execute tasks on workers.

pub(crate) mod gangs;
pub(crate) mod run;
pub(crate) mod stalled;
pub(crate) mod wakeup;
