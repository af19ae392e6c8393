//! Jobs: their specification, progress, owners and durations.

pub(crate) mod cancellation;
pub(crate) mod customers;
pub(crate) mod estimates;
pub(crate) mod index;
pub(crate) mod job;
pub(crate) mod lifecycle;
pub(crate) mod record;
pub(crate) mod removed;
pub(crate) mod spec;
pub(crate) mod submit;
