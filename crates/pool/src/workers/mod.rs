//! Workers: what they run, their leases, and the holds that renew them.

pub(crate) mod hold_timers;
pub(crate) mod holds;
pub(crate) mod map;
pub(crate) mod pace;
pub(crate) mod silent;
pub(crate) mod speed;
pub(crate) mod worker;
