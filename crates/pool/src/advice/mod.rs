//! Queries to the advisor, which decides on which workers a step may run.

pub(crate) mod pending;
pub(crate) mod query;
pub(crate) mod selection;
