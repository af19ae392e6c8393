//! Requests that found no slot, earliest deadline first.

use std::collections::BTreeSet;
use std::collections::HashMap;

use stoatwell_model::UnixMs;

/// Waiting requests by group of minions.
#[derive(Debug, Default)]
pub struct RequestQueue {
    groups: HashMap<String, BTreeSet<(UnixMs, u64)>>,
    len: usize,
}

impl RequestQueue {
    /// Adds a request under its number.
    pub fn push(&mut self, group: &str, deadline_ms: UnixMs, request: u64) {
        let added = self.groups.entry(group.to_owned()).or_default().insert((deadline_ms, request));
        self.len += usize::from(added);
    }

    /// Takes the request with the earliest deadline.
    pub fn pop(&mut self, group: &str) -> Option<u64> {
        let (_, request) = self.groups.get_mut(group)?.pop_first()?;
        self.len -= 1;
        Some(request)
    }

    /// Takes requests whose deadline has passed. Working on them would cost a
    /// slot for an answer that nobody waits for.
    pub fn take_expired(&mut self, now_ms: UnixMs) -> Vec<u64> {
        let mut expired = Vec::new();
        for group in self.groups.values_mut() {
            while let Some((deadline_ms, request)) = group.first().copied() {
                if deadline_ms > now_ms {
                    break;
                }
                group.pop_first();
                expired.push(request);
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Groups for which something waits.
    pub fn groups(&self) -> Vec<String> {
        let waiting = self.groups.iter().filter(|(_, requests)| !requests.is_empty());
        waiting.map(|(group, _)| group.clone()).collect()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
