//! Which queued steps a scheduling cycle looks at.
//!
//! A queued step is due, or is parked until a time, or is parked until its service has room for
//! its demand. A cycle looks only at the steps that are due.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_model::Resources;

use crate::QueueKey;
use crate::id::StepId;
use crate::placement::candidates::Cycle;
use crate::placement::rooms::DemandLevels;

/// Time after which a step that waits for room is due in any case. It bounds the delay if the
/// room is dropped or a wake-up is missed.
const ROOM_WAIT_MAX_MS: u64 = 1_000;
/// Steps that are due when one worker has room for their demand. Some of them are kept from it by
/// a cap, by a reservation or because the advisor did not grant it.
const STEPS_PER_WORKER_WITH_ROOM: usize = 2;

/// What a parked step waits for.
#[derive(Clone, Copy, Debug)]
struct Parked {
    key: QueueKey,
    until_ms: u64,
    room: Option<RoomKey>,
}

/// A service and the levels of a demand. Demands of the same levels are nearly alike, and there
/// are few levels.
type RoomKey = (usize, DemandLevels);

/// The queued steps by what they wait for.
#[derive(Debug, Default)]
pub(crate) struct DueSteps {
    due: BTreeMap<QueueKey, StepId>,
    parked: HashMap<StepId, Parked>,
    timers: BTreeMap<(u64, QueueKey), StepId>,
    /// Steps that wait for room, in the order of the queue.
    by_room: BTreeMap<RoomKey, BTreeMap<QueueKey, StepId>>,
}

impl DueSteps {
    /// Adds a step that is due.
    pub fn insert(&mut self, key: QueueKey, step: StepId) {
        self.wake(step);
        self.due.insert(key, step);
    }

    /// Removes an entry that left the queue.
    ///
    /// A submission that was dropped and came again has an entry of each time for a while. The
    /// other entry becomes due, so that a cycle finds and removes it.
    pub fn remove(&mut self, key: QueueKey, step: StepId) {
        self.wake(step);
        self.due.remove(&key);
    }

    /// Parks a step until a time.
    pub fn park(&mut self, key: QueueKey, step: StepId, until_ms: u64) {
        self.park_for(step, Parked { key, until_ms, room: None });
    }

    /// Parks a step until its service has room for its demand.
    pub fn park_for_room(
        &mut self,
        key: QueueKey,
        step: StepId,
        (service, demand): (usize, &Resources),
        now_ms: u64,
    ) {
        let room = (service, DemandLevels::of(demand));
        let until_ms = now_ms + ROOM_WAIT_MAX_MS;
        self.park_for(step, Parked { key, until_ms, room: Some(room) });
    }

    fn park_for(&mut self, step: StepId, parked: Parked) {
        self.remove(parked.key, step);
        self.timers.insert((parked.until_ms, parked.key), step);
        if let Some(room) = parked.room {
            self.by_room.entry(room).or_default().insert(parked.key, step);
        }
        self.parked.insert(step, parked);
    }

    /// Makes a parked step due.
    pub fn wake(&mut self, step: StepId) {
        if let Some(key) = self.unpark(step) {
            self.due.insert(key, step);
        }
    }

    fn unpark(&mut self, step: StepId) -> Option<QueueKey> {
        let Parked { key, until_ms, room } = self.parked.remove(&step)?;
        self.timers.remove(&(until_ms, key));
        if let Some(room) = room
            && let Some(steps) = self.by_room.get_mut(&room)
        {
            steps.remove(&key);
            if steps.is_empty() {
                self.by_room.remove(&room);
            }
        }
        Some(key)
    }

    /// Makes the steps due whose time has come, and of those that wait for room the first ones
    /// in the order of the queue.
    ///
    /// One step of each such group is due even without room: it may have to query the advisor.
    pub fn wake_due(&mut self, cycle: &Cycle, now_ms: u64) {
        let timers = self.timers.range(..(now_ms + 1, QueueKey::FIRST));
        let mut woken: Vec<StepId> = timers.map(|(_, step)| *step).collect();
        for ((service, levels), steps) in &self.by_room {
            let workers = cycle.rooms.count_at_levels(*service, levels);
            let count = 1 + workers * STEPS_PER_WORKER_WITH_ROOM;
            woken.extend(steps.values().take(count));
        }
        for step in woken {
            self.wake(step);
        }
    }

    /// The steps that are due, in the order of the queue.
    pub fn iter(&self) -> impl Iterator<Item = (QueueKey, StepId)> {
        self.due.iter().map(|(key, step)| (*key, *step))
    }
}
