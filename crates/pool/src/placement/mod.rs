//! Placement of waiting tasks on workers.

pub(crate) mod candidates;
pub(crate) mod cycle_state;
pub(crate) mod due;
pub(crate) mod futile;
pub(crate) mod place;
pub(crate) mod reserve;
pub(crate) mod rooms;
pub(crate) mod waiting;
pub(crate) mod work;
