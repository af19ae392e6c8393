//! Which of the open workers a unit's tasks go to.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::spec::StepSpec;
use crate::spec::TASKS_MAX;
use crate::worker::Slot;
use crate::worker::Worker;

/// Room that other work leaves free for urgent work, in hundredths of what
/// urgent work takes at the time: enough for twice the usual arrivals to find
/// room at once while what runs ends.
const HEADROOM_PERCENT: u64 = 80;

/// The same for ranks between the first and its own, for work that could wait for
/// as long again as it takes: gangs need much room at one moment, which work that
/// is patient would otherwise nibble away.
const PATIENT_HEADROOM_PERCENT: u64 = 20;

/// The workers during one cycle.
#[derive(Debug, Default)]
pub(crate) struct Cycle {
    pub rooms: Vec<Room>,
    /// Places in `rooms` by the workers' slots.
    places: Vec<Option<u32>>,
    services: Vec<Service>,
    /// What each customer has, by its number.
    pub customers: Vec<Resources>,
}

/// A service during one cycle.
#[derive(Debug)]
struct Service {
    name: String,
    /// Free room of its open workers together.
    free: Resources,
}

/// A worker during one cycle.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub slot: Slot,
    /// Its service, as [`Cycle::service`] numbers it.
    pub service: usize,
    pub life: u64,
    /// Whether it failed or held up a run and did none well since.
    suspect: bool,
    pub free: Resources,
    pub capacity: Resources,
    /// The waiting gang that it is kept for. Only more urgent work may go here
    /// meanwhile, and what is over before the gang could start: gangs of the same rank
    /// that need less room would otherwise overtake a large one again and again.
    pub reserved_for: Option<Reservation>,
}

/// A waiting gang that a worker is kept for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub priority: u32,
    pub step: StepId,
    /// When the last of its places comes free; until then the room would be idle.
    pub until_ms: u64,
}

/// What a unit asks of the workers.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub step: StepId,
    pub service: usize,
    pub spec: &'a StepSpec,
    pub priority: u32,
    /// When its tasks will be over if they start now.
    pub over_ms: u64,
    /// What it has to leave free for urgent work.
    pub headroom: Resources,
}

/// A worker that may run a unit's tasks, with room or without.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowed {
    pub at: usize,
    /// Whether a start could show a ticket that is good, or needs none.
    pub fresh: bool,
}

/// A worker with room for a unit's tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    at: usize,
    /// Added to how much it leaves free; lower goes first.
    bias: f64,
    /// Tasks of the unit that it has already.
    mine: u32,
}

impl Room {
    /// Whether work of this unit may go here.
    pub fn is_for(&self, step: StepId, priority: u32) -> bool {
        self.reserved_for
            .is_none_or(|reserved| reserved.step == step || priority < reserved.priority)
    }

    /// Whether a task of this unit may go here now.
    fn takes(&self, ask: &Ask<'_>) -> bool {
        self.is_for(ask.step, ask.priority)
            || self.reserved_for.is_some_and(|reserved| ask.over_ms <= reserved.until_ms)
    }
}

impl Cycle {
    /// The number of a service, if any open worker is of it.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// The place of a worker in `rooms`, if it is open.
    pub fn at(&self, slot: Slot) -> Option<usize> {
        self.places.get(slot.0).copied().flatten().map(|at| at as usize)
    }

    fn take(&mut self, at: usize, room: &Resources) {
        self.rooms[at].free = self.rooms[at].free.minus(room);
        let sum = &mut self.services[self.rooms[at].service].free;
        *sum = sum.minus(room);
    }

    pub fn give_back(&mut self, at: usize, room: &Resources) {
        self.rooms[at].free = self.rooms[at].free.plus(room);
        let sum = &mut self.services[self.rooms[at].service].free;
        *sum = sum.plus(room);
    }

    /// Picks a worker for as many of the tasks as can be, and takes the room in
    /// this cycle's view. The tightest fit goes first, which leaves whole
    /// workers free for large tasks.
    pub fn choose(
        &mut self,
        ask: &Ask<'_>,
        waiting: &[u32],
        mut candidates: Vec<Candidate>,
    ) -> Vec<(u32, usize)> {
        let room = ask.spec.room();
        let most = ask.spec.per_worker_max;
        candidates.retain(|one| self.rooms[one.at].takes(ask));
        // A worker that is the tightest fit stays so until it is full.
        candidates.sort_by(|a, b| self.left_with(a, &room).total_cmp(&self.left_with(b, &room)));
        let mut chosen = Vec::new();
        let mut waiting = waiting.iter();
        for mut one in candidates {
            while self.rooms[one.at].free.holds(&room) && (most == 0 || one.mine < most) {
                if !self.leaves_headroom(ask, &room) {
                    return chosen;
                }
                let Some(index) = waiting.next() else { return chosen };
                one.mine += 1;
                self.take(one.at, &room);
                chosen.push((*index, one.at));
            }
        }
        chosen
    }

    /// How much a candidate would have left, with what speaks against it.
    fn left_with(&self, one: &Candidate, room: &Resources) -> f64 {
        let view = &self.rooms[one.at];
        view.free.minus(room).dominant_share(&view.capacity) + one.bias
    }

    fn leaves_headroom(&self, ask: &Ask<'_>, room: &Resources) -> bool {
        if ask.headroom.is_zero() {
            return true;
        }
        self.services[ask.service].free.holds(&room.plus(&ask.headroom))
    }
}

impl Pool {
    /// The open workers as they are now.
    pub(crate) fn begin_cycle(&self) -> Cycle {
        let mut cycle = Cycle { customers: self.customers_use(), ..Cycle::default() };
        cycle.rooms.reserve(self.workers.len());
        cycle.places.resize(self.names.len(), None);
        let blamed = self.blamed_services();
        for worker in self.workers.values() {
            let acquitted = worker.is_only_suspect(self.now_ms)
                && !blamed.contains(&worker.info.service.as_str());
            if !worker.is_open(self.now_ms) && !acquitted {
                continue;
            }
            let free = worker.free();
            let service = cycle.service(&worker.info.service).unwrap_or_else(|| {
                let name = worker.info.service.clone();
                cycle.services.push(Service { name, free: Resources::ZERO });
                cycle.services.len() - 1
            });
            let sum = &mut cycle.services[service].free;
            *sum = sum.plus(&free);
            cycle.places[worker.slot.0] = Some(cycle.rooms.len() as u32);
            cycle.rooms.push(Room {
                slot: worker.slot,
                service,
                life: worker.info.life,
                suspect: worker.is_suspect(),
                free,
                capacity: worker.info.capacity,
                reserved_for: None,
            });
        }
        cycle
    }

    /// The worker of a slot, if it is still known.
    pub(crate) fn worker_at(&self, slot: Slot) -> Option<&Worker> {
        self.workers.get(self.names.get(slot.0)?)
    }

    /// Services whose failed runs are their workers' fault, for all one knows.
    ///
    /// Runs that fail on most workers of a service are the tasks' own fault. With all
    /// of them left alone for it, nothing of the service would run at all.
    fn blamed_services(&self) -> Vec<&str> {
        // Service, open workers, suspect ones; there are few services.
        let mut counts: Vec<(&str, usize, usize)> = Vec::new();
        for worker in self.workers.values() {
            let service = worker.info.service.as_str();
            let known = counts.iter().position(|(name, ..)| *name == service);
            let at = known.unwrap_or_else(|| {
                counts.push((service, 0, 0));
                counts.len() - 1
            });
            let (_, open, suspect) = &mut counts[at];
            *open += usize::from(worker.is_open(self.now_ms));
            *suspect += usize::from(worker.is_only_suspect(self.now_ms));
        }
        let few = |(_, open, suspect): &(&str, usize, usize)| suspect <= open;
        counts.into_iter().filter(few).map(|(service, ..)| service).collect()
    }

    /// The workers that a unit may use, with what speaks for and against each:
    /// near the data, no failures of late, a ticket at hand.
    pub(crate) fn candidates(
        &self,
        step: StepId,
        unit: usize,
        spec: &StepSpec,
        allowed: &[Allowed],
        cycle: &Cycle,
    ) -> Vec<Candidate> {
        let room = spec.room();
        let mine = self.placed_counts(step, unit, spec);
        let mut candidates = Vec::with_capacity(allowed.len());
        for one in allowed {
            let view = &cycle.rooms[one.at];
            if !view.free.holds(&room) {
                continue;
            }
            let far = spec.near_rack.is_some()
                && spec.near_rack.as_deref() != self.worker_at(view.slot).and_then(Worker::rack);
            let last = far || view.suspect;
            let bias = f64::from(u8::from(last)) * 4.0 + f64::from(u8::from(!one.fresh));
            let mine = mine.get(&view.slot).copied().unwrap_or(0);
            candidates.push(Candidate { at: one.at, bias, mine });
        }
        candidates
    }

    /// Picks workers of one rack for tasks that take longer on several, if one rack
    /// has room for all that wait; else any workers.
    pub(crate) fn choose_in_one_rack(
        &self,
        ask: &Ask<'_>,
        unit: usize,
        waiting: &[u32],
        candidates: Vec<Candidate>,
        cycle: &mut Cycle,
    ) -> Vec<(u32, usize)> {
        let need = ask.spec.room();
        let used = self.rack_in_use(ask.step, unit);
        let mut racks: BTreeMap<&str, (u64, Vec<Candidate>)> = BTreeMap::new();
        for one in &candidates {
            let room = &cycle.rooms[one.at];
            let Some(rack) = self.worker_at(room.slot).and_then(Worker::rack) else {
                continue;
            };
            let (sum, members) = racks.entry(rack).or_default();
            *sum += places_in(&room.free, &need);
            members.push(*one);
        }
        let mut order: Vec<(&str, (u64, Vec<Candidate>))> = racks.into_iter().collect();
        order.retain(|(_, (places, _))| *places >= waiting.len() as u64);
        // Where the step is already, then where it leaves the most room whole.
        order.sort_by_key(|(rack, (places, _))| (Some(*rack) != used, *places));
        for (_, (_, members)) in order {
            let chosen = cycle.choose(ask, waiting, members);
            if chosen.len() == waiting.len() {
                return chosen;
            }
            for (_, at) in chosen {
                cycle.give_back(at, &need);
            }
        }
        cycle.choose(ask, waiting, candidates)
    }

    /// The rack on which a unit has a task.
    fn rack_in_use(&self, step: StepId, unit: usize) -> Option<&str> {
        let tasks = &self.jobs.get(&step.job)?.units[unit].tasks;
        let name = tasks.iter().find_map(|task| task.worker.as_ref())?;
        self.workers.get(name)?.rack()
    }

    /// What a unit has to leave free for more urgent work.
    pub(crate) fn headroom(&self, step: StepId, key: QueueKey) -> Resources {
        let Some(job) = self.jobs.get(&step.job).filter(|_| key.priority > 0) else {
            return Resources::ZERO;
        };
        let service = &job.spec.queue.service;
        let urgent = self.learned.usual_use(service, 0..1).share(HEADROOM_PERCENT, 100);
        if self.spare_ms(key, step) < self.needs_ms(step) as i64 {
            return urgent;
        }
        let between = self.learned.usual_use(service, 1..key.priority);
        urgent.plus(&between.share(PATIENT_HEADROOM_PERCENT, 100))
    }

    /// How many tasks of the unit each worker has already, where that is limited.
    fn placed_counts(&self, step: StepId, unit: usize, spec: &StepSpec) -> HashMap<Slot, u32> {
        let mut counts = HashMap::new();
        let Some(job) = self.jobs.get(&step.job) else { return counts };
        if spec.per_worker_max == 0 {
            return counts;
        }
        for task in &job.units[unit].tasks {
            let Some(worker) = task.worker.as_ref().and_then(|name| self.workers.get(name)) else {
                continue;
            };
            *counts.entry(worker.slot).or_default() += 1;
        }
        counts
    }
}

/// How many tasks of this need have room; never more than a job may have, since a
/// task that needs nothing has room without end.
pub(crate) fn places_in(free: &Resources, need: &Resources) -> u64 {
    free.fit_count(need).min(TASKS_MAX)
}
