//! The time that the scheduler's work takes. Messages wait while it works, and calls are sent once
//! it is done.

use std::time::Duration;

use stoatwell_pool::Event;

use super::World;

/// The most messages that the scheduler handles before it decides.
const CYCLE_MESSAGES_MAX: usize = 256;

/// The time that each part of the scheduler's work takes.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// For each queued step in a cycle.
    pub step: Duration,
    /// For each step that a cycle visits.
    pub visit: Duration,
    /// For each message handled, and for each call made.
    pub message: Duration,
    /// For each job that a new scheduler restores.
    pub restore: Duration,
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
        let is_waiting = self.is_leader_busy() || !self.leader_time.inbox.is_empty();
        if self.charge.is_some() || is_waiting {
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
        let message = self.charge.map_or(Duration::ZERO, |charge| charge.message);
        self.spend(message * count as u32);
    }

    /// Charges a cycle that has just ended for the steps that it may have examined or has visited,
    /// and for its calls.
    pub(super) fn charge_cycle(&mut self, calls: usize, visited: u64) {
        let Some(charge) = self.charge else { return };
        let steps = self.pool.step_worker_pairs() / self.workers.len().max(1);
        let visits = charge.visit * visited as u32;
        self.spend(charge.step * steps as u32 + visits + charge.message * calls as u32);
    }

    /// Charges a new scheduler for the jobs that it has restored. Messages to the former one are
    /// lost; jobs are read from the store.
    pub(super) fn charge_restore(&mut self) {
        self.leader_time = LeaderTime::default();
        let Some(charge) = self.charge else { return };
        self.spend(charge.restore * self.jobs.len() as u32);
    }

    /// Stops the scheduler's process for a while. Messages to it wait.
    pub fn pause_leader(&mut self, for_ms: u64) {
        self.spend(Duration::from_millis(for_ms));
    }

    pub(super) fn is_leader_busy(&self) -> bool {
        self.leader_time.busy_until_us > self.now_ms * 1_000
    }

    /// How long the scheduler's present work goes on.
    pub(super) fn leader_remaining_ms(&self) -> u64 {
        (self.leader_time.busy_until_us / 1_000).saturating_sub(self.now_ms)
    }

    fn spend(&mut self, time: Duration) {
        let now_us = self.now_ms * 1_000;
        self.leader_time.busy_until_us =
            self.leader_time.busy_until_us.max(now_us) + time.as_micros() as u64;
    }
}
