//! Queue of requests that found no free slot, earliest deadline first.

use std::collections::BTreeSet;
use std::collections::HashMap;

use stoatwell_model::UnixMs;

/// Waiting requests by minion group.
#[derive(Debug, Default)]
pub struct RequestQueue {
    groups: HashMap<String, BTreeSet<(UnixMs, u64)>>,
    len: usize,
}

impl RequestQueue {
    /// Adds a request by its number; adding it again with the same deadline has no effect.
    pub fn push(&mut self, group: &str, deadline_ms: UnixMs, request: u64) {
        let added = self.groups.entry(group.to_owned()).or_default().insert((deadline_ms, request));
        self.len += usize::from(added);
    }

    /// Removes the request with the earliest deadline from a group's queue.
    pub fn pop(&mut self, group: &str) -> Option<u64> {
        let (_, request) = self.groups.get_mut(group)?.pop_first()?;
        self.len -= 1;
        Some(request)
    }

    /// Removes the requests whose deadline has passed. Sending them would use a slot for
    /// an answer that nobody is waiting for.
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

    /// Minion groups with waiting requests.
    pub fn groups(&self) -> Vec<String> {
        let waiting = self.groups.iter().filter(|(_, requests)| !requests.is_empty());
        waiting.map(|(group, _)| group.clone()).collect()
    }

    /// Number of waiting requests over all groups.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
