//! Ids of jobs, steps and tasks, as callers and workers use them.
//!
//! Human-readable formats carry them as text, binary formats as numbers.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The id of a job: the number that its caller chose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The number of partitions of the store over which jobs are spread.
///
/// The store processes the transactions of a partition one after the other, and takes
/// 180 ms for each when it is sixty times slower than usual. A new leader has to fence and
/// read every partition, so there are not many more than a burst needs in that case.
pub const PARTITIONS: usize = 32;

/// The id of one step of one occurrence of a job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The index of the occurrence, from 0; 0 if the job is not repeated.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
}

/// The id of one task of a step.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// The index of the task in the step, from 0.
    pub index: u32,
}

/// not the name of a job, step or task
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct IdError;

impl std::error::Error for IdError {}

impl JobId {
    /// The partition of the store that has the job's rows, below [`PARTITIONS`].
    pub fn partition(&self) -> usize {
        xxh3_64(self.to_string().as_bytes()) as usize % PARTITIONS
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    /// Accepts only the form that [`fmt::Display`] writes, so that a job has one spelling.
    fn from_str(text: &str) -> Result<Self, IdError> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(lower_hex) {
            return Err(IdError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_error| IdError)
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Debug for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for StepId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut segments = text.split('.');
        let job = segments.next().ok_or(IdError)?.parse()?;
        let occurrence = parse_number(segments.next())?;
        let step = parse_number(segments.next())?;
        if segments.next().is_some() {
            return Err(IdError);
        }
        Ok(Self { job, occurrence, step })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (step, index) = text.rsplit_once('.').ok_or(IdError)?;
        Ok(Self { step: step.parse()?, index: parse_number(Some(index))? })
    }
}

fn parse_number(segment: Option<&str>) -> Result<u32, IdError> {
    segment.ok_or(IdError)?.parse().map_err(|_error| IdError)
}

macro_rules! impl_id_serde {
    ($id:ty, $numbers:ty, $to:expr, $from:expr) => {
        impl Serialize for $id {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                let to: fn($id) -> $numbers = $to;
                to(*self).serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $id {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                    return text.parse().map_err(D::Error::custom);
                }
                let from: fn($numbers) -> $id = $from;
                <$numbers>::deserialize(deserializer).map(from)
            }
        }
    };
}

impl_id_serde!(JobId, u64, |id| id.0, JobId);
impl_id_serde!(StepId, (JobId, u32, u32), |id| (id.job, id.occurrence, id.step), |(
    job,
    occurrence,
    step,
)| StepId {
    job,
    occurrence,
    step
});
impl_id_serde!(TaskId, (StepId, u32), |id| (id.step, id.index), |(step, index)| TaskId {
    step,
    index
});
