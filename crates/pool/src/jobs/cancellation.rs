//! Who cancelled a job.
//!
//! A cancellation may become known before its job. Then nobody can tell yet who owns the job,
//! so the cancellation names the customers that asked for it, and takes effect only if the
//! owner is one of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;

use crate::id::JobId;

/// A durable cancellation of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancellation {
    /// The job's owner cancelled it, as was checked before the cancellation was written.
    ByOwner,
    /// These customers cancelled it before the job was known; `None` is a caller without a
    /// customer.
    By(BTreeSet<Option<CustomerName>>),
}

impl Cancellation {
    /// A cancellation by one caller, of a job that is not known.
    pub fn by(caller: Option<&CustomerName>) -> Self {
        Self::By(BTreeSet::from([caller.cloned()]))
    }

    /// Whether it cancels a job with this owner.
    pub fn applies_to(&self, owner: Option<&CustomerName>) -> bool {
        match self {
            Self::ByOwner => true,
            Self::By(customers) => customers.contains(&owner.cloned()),
        }
    }

    /// Adds another cancellation of the same job.
    pub fn merge(&mut self, other: Self) {
        match (&mut *self, other) {
            (Self::ByOwner, _) => {}
            (Self::By(customers), Self::By(others)) => customers.extend(others),
            (Self::By(_), Self::ByOwner) => *self = Self::ByOwner,
        }
    }
}

/// The known cancellations.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    /// Each with the Unix time at which it was first recorded.
    by_job: BTreeMap<JobId, (u64, Cancellation)>,
    by_time: BTreeSet<(u64, JobId)>,
}

impl Cancellations {
    /// Records the cancellation of a job.
    pub fn record(&mut self, job: JobId, cancellation: Cancellation, unix_ms: u64) {
        match self.by_job.entry(job) {
            Entry::Occupied(mut known) => known.get_mut().1.merge(cancellation),
            Entry::Vacant(unknown) => {
                unknown.insert((unix_ms, cancellation));
                self.by_time.insert((unix_ms, job));
            }
        }
    }

    /// The cancellation of a job.
    pub fn get(&self, job: JobId) -> Option<&Cancellation> {
        self.by_job.get(&job).map(|(_, cancellation)| cancellation)
    }

    /// Forgets the cancellation of a job.
    pub fn remove(&mut self, job: JobId) {
        if let Some((unix_ms, _)) = self.by_job.remove(&job) {
            self.by_time.remove(&(unix_ms, job));
        }
    }

    /// The jobs whose cancellations were recorded before this time.
    pub fn recorded_before(&self, unix_ms: u64) -> Vec<JobId> {
        self.by_time.range(..(unix_ms, JobId(0))).map(|(_, job)| *job).collect()
    }

    /// The number of known cancellations.
    pub fn len(&self) -> usize {
        self.by_job.len()
    }
}
