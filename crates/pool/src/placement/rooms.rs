//! Which workers have room for a task of a given demand.
//!
//! Many waiting steps have the same demand. The workers with room for it are kept as a set of
//! bits, so that a step compares them with the workers that were granted to it a word at a time.

use stoatwell_model::Resources;

use crate::workers::worker::WorkerIndex;

/// Maximum demands for which rooms are kept. Each change of a worker updates all of them.
const ROOMS_MAX: usize = 32;
/// Rooms that were not used for this long are dropped once there are too many.
const UNUSED_ROOM_MS: u64 = 1_000;

/// A set of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerSet {
    words: Vec<u64>,
}

impl WorkerSet {
    pub fn set(&mut self, index: WorkerIndex, is_member: bool) {
        let (word, bit) = (index.0 / 64, 1 << (index.0 % 64));
        if word >= self.words.len() {
            if !is_member {
                return;
            }
            self.words.resize(word + 1, 0);
        }
        if is_member {
            self.words[word] |= bit;
        } else {
            self.words[word] &= !bit;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// The number of members.
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub fn intersects(&self, other: &Self) -> bool {
        self.words.iter().zip(&other.words).any(|(own, other)| own & other != 0)
    }

    /// The number of members that are not in another set.
    pub fn count_without(&self, other: &Self) -> usize {
        let others = other.words.iter().copied().chain(std::iter::repeat(0));
        self.words.iter().zip(others).map(|(own, other)| (own & !other).count_ones() as usize).sum()
    }

    pub fn contains(&self, index: WorkerIndex) -> bool {
        self.words.get(index.0 / 64).is_some_and(|word| word & (1 << (index.0 % 64)) != 0)
    }

    /// The members in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = WorkerIndex> {
        self.words.iter().enumerate().flat_map(|(position, word)| {
            let mut rest = *word;
            std::iter::from_fn(move || {
                if rest == 0 {
                    return None;
                }
                let bit = rest.trailing_zeros() as usize;
                rest &= rest - 1;
                Some(WorkerIndex(position * 64 + bit))
            })
        })
    }
}

impl FromIterator<WorkerIndex> for WorkerSet {
    fn from_iter<I: IntoIterator<Item = WorkerIndex>>(iter: I) -> Self {
        let mut set = Self::default();
        for index in iter {
            set.set(index, true);
        }
        set
    }
}

/// The open workers of a service that have room for a task of one demand.
#[derive(Debug)]
struct Room {
    service: usize,
    demand: Resources,
    workers: WorkerSet,
    used_ms: u64,
}

/// The workers with room, by service and demand.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    rooms: Vec<Room>,
}

impl Rooms {
    /// Updates a worker: its service and free capacity, or `None` if it takes no tasks.
    pub fn update(&mut self, index: WorkerIndex, open: Option<(usize, &Resources)>) {
        for room in &mut self.rooms {
            let has_room = open
                .is_some_and(|(service, free)| service == room.service && free.holds(&room.demand));
            room.workers.set(index, has_room);
        }
    }

    /// The workers of a service with room for this demand; `None` if they are not kept.
    pub fn get(&self, service: usize, demand: &Resources) -> Option<&WorkerSet> {
        let room = self.rooms.iter().find(|room| room.service == service && room.demand == *demand);
        room.map(|room| &room.workers)
    }

    /// Marks a room as used; `false` if it is not kept.
    pub fn mark_used(&mut self, service: usize, demand: &Resources, now_ms: u64) -> bool {
        let mut rooms = self.rooms.iter_mut();
        let room = rooms.find(|room| room.service == service && room.demand == *demand);
        room.map(|room| room.used_ms = now_ms).is_some()
    }

    /// Adds a room with its workers; `false` if there are too many in use.
    pub fn add(
        &mut self,
        service: usize,
        demand: Resources,
        workers: WorkerSet,
        now_ms: u64,
    ) -> bool {
        if self.rooms.len() >= ROOMS_MAX {
            self.rooms.retain(|room| room.used_ms + UNUSED_ROOM_MS > now_ms);
        }
        let may_add = self.rooms.len() < ROOMS_MAX;
        if may_add {
            self.rooms.push(Room { service, demand, workers, used_ms: now_ms });
        }
        may_add
    }

    /// All rooms: service, demand and workers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Resources, &WorkerSet)> {
        self.rooms.iter().map(|room| (room.service, &room.demand, &room.workers))
    }
}
