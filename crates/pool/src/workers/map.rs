//! The workers of a pool, with a record of which of them may have changed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Deref;

use stoatwell_model::WorkerId;

use crate::workers::worker::Worker;
use crate::workers::worker::WorkerIndex;

/// The workers by name. Every mutable access to a worker marks it as changed, so that a
/// scheduling cycle reads only the changed ones again and no caller has to report a change.
#[derive(Debug, Default)]
pub(crate) struct WorkerMap {
    workers: BTreeMap<WorkerId, Worker>,
    changed: BTreeSet<WorkerIndex>,
}

impl WorkerMap {
    pub fn get_mut(&mut self, name: &WorkerId) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(name)?;
        self.changed.insert(worker.index);
        Some(worker)
    }

    pub fn insert(&mut self, name: WorkerId, worker: Worker) {
        self.changed.insert(worker.index);
        let replaced = self.workers.insert(name, worker);
        self.changed.extend(replaced.map(|worker| worker.index));
    }

    pub fn remove(&mut self, name: &WorkerId) {
        let removed = self.workers.remove(name);
        self.changed.extend(removed.map(|worker| worker.index));
    }

    /// The workers that may have changed, or were added or removed, since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<WorkerIndex> {
        std::mem::take(&mut self.changed)
    }

    /// Whether a worker may have changed since the last call of [`Self::take_changed`].
    pub fn has_changed(&self, index: WorkerIndex) -> bool {
        self.changed.contains(&index)
    }
}

impl Deref for WorkerMap {
    type Target = BTreeMap<WorkerId, Worker>;

    fn deref(&self) -> &Self::Target {
        &self.workers
    }
}

impl<'a> IntoIterator for &'a WorkerMap {
    type Item = (&'a WorkerId, &'a Worker);
    type IntoIter = std::collections::btree_map::Iter<'a, WorkerId, Worker>;

    fn into_iter(self) -> Self::IntoIter {
        self.workers.iter()
    }
}
