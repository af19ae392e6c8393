//! The time that the scheduler's work takes. Messages wait while it works, and calls are sent once
//! it is done.

use stoatwell_pool::Event;

use super::World;

/// The most messages that the scheduler handles before it decides.
const CYCLE_MESSAGES_MAX: usize = 256;

/// The time that each part of the scheduler's work takes, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// For each queued step in a cycle.
    pub step_us: u64,
    /// For each message handled, and for each call made.
    pub message_us: u64,
    /// For each job that a new scheduler restores.
    pub restore_us: u64,
}

/// How long the scheduler is busy, and what waits for it.
#[derive(Debug, Default)]
pub(super) struct LeaderTime {
    busy_until_us: u64,
    inbox: Vec<Event>,
}

impl World {
    /// Handles an event, or keeps it until the scheduler's present work is done.
    pub(super) fn receive(&mut self, event: Event) {
        if self.charge.is_some() {
            self.leader_time.inbox.push(event);
        } else {
            self.notify(event);
        }
    }

    /// Handles waiting events, as many as one cycle handles.
    pub(super) fn handle_inbox(&mut self) {
        let count = self.leader_time.inbox.len().min(CYCLE_MESSAGES_MAX);
        let events: Vec<Event> = self.leader_time.inbox.drain(..count).collect();
        for event in events {
            self.notify(event);
        }
        let message_us = self.charge.map_or(0, |charge| charge.message_us);
        self.charge_us(count as u64 * message_us);
    }

    /// Charges a cycle that has just ended for the steps that it may have examined, and for its
    /// calls.
    pub(super) fn charge_cycle(&mut self, calls: usize) {
        let Some(charge) = self.charge else { return };
        let steps = self.pool.step_worker_pairs() / self.workers.len().max(1);
        self.charge_us(steps as u64 * charge.step_us + calls as u64 * charge.message_us);
    }

    /// Charges a new scheduler for the jobs that it has restored. Messages to the former one are
    /// lost; jobs are read from the store.
    pub(super) fn charge_restore(&mut self) {
        self.leader_time = LeaderTime::default();
        let Some(charge) = self.charge else { return };
        self.charge_us(self.jobs.len() as u64 * charge.restore_us);
    }

    pub(super) fn is_leader_busy(&self) -> bool {
        self.leader_time.busy_until_us > self.now_ms * 1_000
    }

    /// How long the scheduler's present work goes on.
    pub(super) fn leader_remaining_ms(&self) -> u64 {
        (self.leader_time.busy_until_us / 1_000).saturating_sub(self.now_ms)
    }

    fn charge_us(&mut self, us: u64) {
        let now_us = self.now_ms * 1_000;
        self.leader_time.busy_until_us = self.leader_time.busy_until_us.max(now_us) + us;
    }
}
