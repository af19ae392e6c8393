//! Counts of the work that scheduling cycles do.
//!
//! A busy machine makes wall time useless as a measure, so tests and operators compare counts.

use std::cell::Cell;

/// The work of all scheduling cycles since the scheduler began to lead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CycleWork {
    /// Scheduling cycles.
    pub cycles: u64,
    /// Cycles whose time was up before all steps that were due had been visited.
    pub limited: u64,
    /// Workers whose state was read at the start of a cycle.
    pub workers_read: u64,
    /// Queued steps that a cycle looked at.
    pub steps_visited: u64,
    /// Attempts to place a step.
    pub attempts: u64,
    /// Pairs of a step and a worker that were compared.
    pub pairs: Pairs,
}

/// Pairs of a step and a worker that were compared, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pairs {
    /// To place the tasks of the step.
    pub placement: u64,
    /// To find the workers with room for a demand.
    pub room: u64,
    /// To sum up the capacity of the workers that were granted to the step.
    pub granted_capacity: u64,
    /// To select workers for a query to the advisor.
    pub selection: u64,
    /// To reserve workers for a gang, or to find out whether it can start at all.
    pub reservation: u64,
}

impl Pairs {
    /// All pairs.
    pub fn total(&self) -> u64 {
        self.placement + self.room + self.granted_capacity + self.selection + self.reservation
    }
}

impl CycleWork {
    /// The work since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        let (pairs, before) = (self.pairs, earlier.pairs);
        Self {
            cycles: self.cycles - earlier.cycles,
            limited: self.limited - earlier.limited,
            workers_read: self.workers_read - earlier.workers_read,
            steps_visited: self.steps_visited - earlier.steps_visited,
            attempts: self.attempts - earlier.attempts,
            pairs: Pairs {
                placement: pairs.placement - before.placement,
                room: pairs.room - before.room,
                granted_capacity: pairs.granted_capacity - before.granted_capacity,
                selection: pairs.selection - before.selection,
                reservation: pairs.reservation - before.reservation,
            },
        }
    }

    /// All that was read or compared.
    pub fn total(&self) -> u64 {
        self.workers_read + self.steps_visited + self.pairs.total()
    }
}

/// What a step and a worker are compared for; see [`Pairs`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Placement,
    Room,
    GrantedCapacity,
    Selection,
    Reservation,
}

/// Counts pairs where only a shared reference to the pool is at hand.
#[derive(Debug, Default)]
pub(crate) struct PairCount {
    placement: Cell<u64>,
    room: Cell<u64>,
    granted_capacity: Cell<u64>,
    selection: Cell<u64>,
    reservation: Cell<u64>,
}

impl PairCount {
    pub fn add(&self, purpose: Purpose, pairs: usize) {
        let count = match purpose {
            Purpose::Placement => &self.placement,
            Purpose::Room => &self.room,
            Purpose::GrantedCapacity => &self.granted_capacity,
            Purpose::Selection => &self.selection,
            Purpose::Reservation => &self.reservation,
        };
        count.set(count.get() + pairs as u64);
    }

    pub fn get(&self) -> Pairs {
        Pairs {
            placement: self.placement.get(),
            room: self.room.get(),
            granted_capacity: self.granted_capacity.get(),
            selection: self.selection.get(),
            reservation: self.reservation.get(),
        }
    }
}
