//! Which workers have room for a task of a given demand.
//!
//! The demands of queued steps may all differ, so nothing is kept for a single demand. The
//! workers are kept in sets by how much of each resource they have free, in levels that are an
//! eighth of a power of two apart. A set of bits per level is compared a word at a time, and only
//! the workers whose level is the one of the demand are compared themselves. So neither a change of
//! a worker nor the question who has room costs more when more steps wait.

use stoatwell_model::Resources;

use crate::workers::worker::WorkerIndex;

/// Levels for each power of two, as an exponent of two.
const LEVEL_BITS: u32 = 3;
/// The unit of the levels of memory, a mebibyte, as an exponent of two.
const MEMORY_UNIT_BITS: u32 = 20;

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

    pub fn intersection(&self, other: &Self) -> Self {
        let words = self.words.iter().zip(&other.words).map(|(own, other)| own & other).collect();
        Self { words }
    }

    /// The members of one of two sets.
    pub fn symmetric_difference(&self, other: &Self) -> impl Iterator<Item = WorkerIndex> {
        let word = |set: &Self, position: usize| set.words.get(position).copied().unwrap_or(0);
        (0..self.words.len().max(other.words.len()))
            .flat_map(move |position| bits(position, word(self, position) ^ word(other, position)))
    }

    /// The members that are not in another set.
    pub fn without(&self, other: &Self) -> Self {
        let others = other.words.iter().copied().chain(std::iter::repeat(0));
        Self { words: self.words.iter().zip(others).map(|(own, other)| own & !other).collect() }
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

    /// The members from the word of an index on, then those before it.
    pub fn iter_from(&self, first: WorkerIndex) -> impl Iterator<Item = WorkerIndex> {
        let position = (first.0 / 64).min(self.words.len());
        let words = |range: std::ops::Range<usize>| {
            range.flat_map(|position| bits(position, self.words[position]))
        };
        words(position..self.words.len()).chain(words(0..position))
    }

    /// The members in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = WorkerIndex> {
        self.words.iter().enumerate().flat_map(|(position, word)| bits(position, *word))
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

/// The members of a set that are in the word at a position.
fn bits(position: usize, word: u64) -> impl Iterator<Item = WorkerIndex> {
    let mut rest = word;
    std::iter::from_fn(move || {
        if rest == 0 {
            return None;
        }
        let bit = rest.trailing_zeros() as usize;
        rest &= rest - 1;
        Some(WorkerIndex(position * 64 + bit))
    })
}

/// The levels of an amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandLevels([usize; 3]);

impl DemandLevels {
    pub fn of(amount: &Resources) -> Self {
        let memory_units = amount.memory_bytes >> MEMORY_UNIT_BITS;
        Self([level_of(amount.cpu_millis), level_of(memory_units), level_of(amount.accelerators)])
    }
}

/// The level of an amount: itself if it is small, else its highest bits. Never less than that of
/// a smaller amount.
fn level_of(amount: u64) -> usize {
    let shift = amount.checked_ilog2().unwrap_or(0).saturating_sub(LEVEL_BITS);
    ((shift as usize) << LEVEL_BITS) + (amount >> shift) as usize
}

/// The workers by the level of one resource that they have free.
#[derive(Debug, Default)]
struct Levels {
    /// The workers that have a level or a higher one, by level.
    at_least: Vec<WorkerSet>,
}

impl Levels {
    /// Moves a worker from one level to another; `None` if it is in no set.
    fn update(&mut self, index: WorkerIndex, from: Option<usize>, to: Option<usize>) {
        let (from, to) = (from.map_or(0, |level| level + 1), to.map_or(0, |level| level + 1));
        if to > self.at_least.len() {
            self.at_least.resize_with(to, WorkerSet::default);
        }
        for level in to..from {
            self.at_least[level].set(index, false);
        }
        for level in from..to {
            self.at_least[level].set(index, true);
        }
    }

    /// A word of the workers with a level or a higher one.
    fn word(&self, level: usize, position: usize) -> u64 {
        let word = self.at_least.get(level).and_then(|set| set.words.get(position));
        word.copied().unwrap_or(0)
    }
}

/// The open workers of each service by their free capacity.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    levels: [Levels; 3],
    /// The open workers by service.
    open: Vec<WorkerSet>,
    /// The service and the levels of each worker, by index; `None` for one that takes no tasks.
    workers: Vec<Option<(usize, DemandLevels)>>,
}

impl Rooms {
    /// Updates a worker: its service and free capacity, or `None` if it takes no tasks.
    pub fn update(&mut self, index: WorkerIndex, open: Option<(usize, &Resources)>) {
        if index.0 >= self.workers.len() {
            self.workers.resize(index.0 + 1, None);
        }
        let open = open.map(|(service, free)| (service, DemandLevels::of(free)));
        let before = std::mem::replace(&mut self.workers[index.0], open);
        if before == open {
            return;
        }
        let service_before = before.map(|(service, _)| service);
        let service = open.map(|(service, _)| service);
        if service != service_before {
            if let Some(service) = service_before {
                self.open[service].set(index, false);
            }
            if let Some(service) = service {
                if service >= self.open.len() {
                    self.open.resize_with(service + 1, WorkerSet::default);
                }
                self.open[service].set(index, true);
            }
        }
        for (resource, levels) in self.levels.iter_mut().enumerate() {
            let level = |state: Option<(usize, DemandLevels)>| state.map(|(_, of)| of.0[resource]);
            levels.update(index, level(before), level(open));
        }
    }

    /// The open workers of a service whose free capacity, as `holds` tells, is enough for a
    /// demand, and how many workers were compared with it.
    pub fn with_room(
        &self,
        service: usize,
        demand: &Resources,
        holds: impl Fn(WorkerIndex) -> bool,
    ) -> (WorkerSet, usize) {
        let levels = DemandLevels::of(demand);
        let needs_none =
            [demand.cpu_millis, demand.memory_bytes, demand.accelerators].map(|a| a == 0);
        let mut found = WorkerSet::default();
        let mut compared = 0;
        let Some(open) = self.open.get(service) else { return (found, compared) };
        found.words.reserve_exact(open.words.len());
        for (position, open) in open.words.iter().enumerate() {
            let may_hold = open & self.word_at_levels(&levels, position);
            let mut surely_holds = may_hold;
            for (resource, of_resource) in self.levels.iter().enumerate() {
                if !needs_none[resource] {
                    surely_holds &= of_resource.word(levels.0[resource] + 1, position);
                }
            }
            let mut word = surely_holds;
            for index in bits(position, may_hold & !surely_holds) {
                compared += 1;
                if holds(index) {
                    word |= 1 << (index.0 % 64);
                }
            }
            found.words.push(word);
        }
        (found, compared)
    }

    /// The number of open workers of a service whose free capacity has these levels or higher
    /// ones.
    pub fn count_at_levels(&self, service: usize, levels: &DemandLevels) -> usize {
        let Some(open) = self.open.get(service) else { return 0 };
        let words = open.words.iter().enumerate();
        let count = |(position, open): (usize, &u64)| {
            (open & self.word_at_levels(levels, position)).count_ones() as usize
        };
        words.map(count).sum()
    }

    /// A word of the workers whose free capacity has these levels or higher ones.
    fn word_at_levels(&self, levels: &DemandLevels, position: usize) -> u64 {
        let words = self.levels.iter().zip(levels.0);
        words
            .fold(u64::MAX, |found, (of_resource, level)| found & of_resource.word(level, position))
    }
}
