//! The leader's view of the list of workers.
//!
//! Each worker rewrites its entry every few seconds, so nearly all changes that the store
//! reports are heartbeats. Only entries that changed otherwise are passed on, because the
//! scheduler handles changes of workers before everything else.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use stoatwell_model::WorkerId;
use stoatwell_pool::Event;
use stoatwell_pool::WorkerUpdate;

use crate::platform::WorkerChanges;

/// A worker that left the list is reported only after this time, in which it was absent and
/// the list was readable. After an outage, entries reappear late.
const UNLISTED_GRACE_MS: u64 = 2_500;

/// The list of workers, as far as the changes to it have been received.
#[derive(Debug)]
pub struct WorkerList {
    entries: HashMap<WorkerId, WorkerUpdate>,
    /// Workers that left the list and were not reported yet, with the time.
    unlisted_at_ms: BTreeMap<WorkerId, u64>,
    /// Since when the list can be read.
    readable_since_ms: u64,
    /// The list contains all changes that were made before this time.
    complete_as_of_ms: u64,
}

impl WorkerList {
    /// The list as it was read by a call that was sent at `sent_ms`.
    pub fn new(workers: &[WorkerUpdate], sent_ms: u64) -> Self {
        let entries =
            workers.iter().map(|worker| (worker.worker.clone(), worker.clone())).collect();
        Self {
            entries,
            unlisted_at_ms: BTreeMap::new(),
            readable_since_ms: sent_ms,
            complete_as_of_ms: sent_ms,
        }
    }

    /// Applies changes that a poll sent at `sent_ms` has returned; returns what the scheduler
    /// has to know.
    pub fn apply(&mut self, changes: WorkerChanges, sent_ms: u64, now_ms: u64) -> Vec<Event> {
        if !changes.has_more {
            self.complete_as_of_ms = sent_ms;
        }
        for worker in changes.unlisted {
            self.unlisted_at_ms.entry(worker).or_insert(now_ms);
        }
        let mut events = Vec::new();
        for listed in changes.listed {
            self.unlisted_at_ms.remove(&listed.worker);
            if self.entries.get(&listed.worker) == Some(&listed) {
                continue;
            }
            self.entries.insert(listed.worker.clone(), listed.clone());
            events.push(Event::Listed(listed));
        }
        events.extend(self.report_unlisted(now_ms));
        events
    }

    /// Replaces the list by one that was read as a whole, by a call that was sent at `sent_ms`;
    /// returns what the scheduler has to know.
    pub fn replace(&mut self, read: WorkerChanges, sent_ms: u64, now_ms: u64) -> Vec<Event> {
        let names: HashSet<&WorkerId> = read.listed.iter().map(|worker| &worker.worker).collect();
        let missing = self.entries.keys().filter(|worker| !names.contains(worker));
        let unlisted = missing.cloned().collect();
        self.apply(WorkerChanges { unlisted, has_more: false, ..read }, sent_ms, now_ms)
    }

    /// Records that the list could not be read.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.readable_since_ms = now_ms;
    }

    /// The age of the view: changes that were made in this time may be missing.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.complete_as_of_ms)
    }

    fn report_unlisted(&mut self, now_ms: u64) -> Vec<Event> {
        let readable_since_ms = self.readable_since_ms;
        let is_gone = |at_ms: &u64| now_ms > (*at_ms).max(readable_since_ms) + UNLISTED_GRACE_MS;
        let gone: Vec<WorkerId> = self
            .unlisted_at_ms
            .extract_if(.., |_, at_ms| is_gone(at_ms))
            .map(|(worker, _)| worker)
            .collect();
        for worker in &gone {
            // If it is listed again, the scheduler has to be told, whatever its entry says.
            self.entries.remove(worker);
        }
        gone.into_iter().map(|worker| Event::Unlisted { worker }).collect()
    }
}
