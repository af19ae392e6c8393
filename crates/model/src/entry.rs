//! Catalogue entries, which operators write.
//!
//! A work entry names the owner, the class and the limits of one kind of work. An
//! owner entry contains a customer's quota and its scheduling preferences.

use serde::Deserialize;
use serde::Serialize;

use crate::id::EntryName;
use crate::id::OwnerName;
use crate::resources::Resources;

/// Scheduling class of an entry.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    displaydoc::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// request
    Request,
    /// service
    Service,
    /// gang
    Gang,
    /// batch
    Batch,
}

/// Guarantee about how often a task runs.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    displaydoc::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// at most once
    AtMostOnce,
    /// never in two places at once
    Exclusive,
    /// idempotent
    Idempotent,
}

impl Execution {
    /// Whether an intent must be durable before the start of a task is sent.
    pub fn needs_intent(self) -> bool {
        !matches!(self, Self::Idempotent)
    }
}

/// How soon work should start. The order of variants is descending urgency.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    displaydoc::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// urgent
    Urgent,
    /// normal
    Normal,
    /// patient
    Patient,
}

/// Catalogue entry of one kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Name that submissions refer to.
    pub name: EntryName,
    /// Customer to which the work belongs.
    pub owner: OwnerName,
    /// How jobs of the entry are scheduled.
    pub class: Class,
    /// Guarantee about how often a task runs.
    pub execution: Execution,
    /// How soon jobs of the entry should start.
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    /// Declared demand of one task.
    #[serde(default)]
    pub task: Resources,
    /// Upper bounds for the jobs of the entry.
    #[serde(default)]
    pub limits: Limits,
    /// Group of minions that answers the requests; set only for [`Class::Request`].
    #[serde(default)]
    pub minions: Option<String>,
    /// Share of submissions to accept, in thousandths. The rest stay with the old system.
    #[serde(default = "default_traffic_permille")]
    pub traffic_permille: u32,
}

/// Upper bounds for the jobs of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of tasks in one job.
    pub tasks_per_job: u32,
    /// Maximum number of jobs that wait at one daemon.
    pub queued_jobs: u32,
    /// Maximum number of tasks that run concurrently in the whole cell.
    pub running_tasks: u32,
    /// Time from acceptance until the answer is of no use any more; 0 means no limit.
    pub deadline_ms: u64,
    /// Maximum number of attempts for one task. Only work that may run again is retried.
    pub attempts: u32,
    /// Maximum size of a submission's body.
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tasks_per_job: 1_000,
            queued_jobs: 10_000,
            running_tasks: 50_000,
            deadline_ms: 0,
            attempts: 3,
            body_bytes: 262_144,
        }
    }
}

/// Catalogue entry of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Name of the customer.
    pub owner: OwnerName,
    /// Resources that all its running work may use together.
    pub quota: Resources,
    /// SHA-256 of its callers' bearer token in hexadecimal; `None` if it has no token.
    #[serde(default)]
    pub token_sha256: Option<String>,
    /// Scheduling preferences, relative to each other.
    #[serde(default)]
    pub weights: Weights,
}

/// Weights of an owner's scheduling preferences, relative to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Short waiting time.
    pub waiting: u32,
    /// High utilization of instances.
    pub packing: u32,
    /// Low control traffic.
    pub control: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { waiting: 1, packing: 1, control: 1 }
    }
}

/// An entry that an operator can apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Entry of one kind of work.
    Work(WorkEntry),
    /// Entry of one customer.
    Owner(OwnerEntry),
}

impl Entry {
    /// Name of the entry, or of the owner for [`Entry::Owner`].
    pub fn name(&self) -> &str {
        match self {
            Self::Work(work) => work.name.as_str(),
            Self::Owner(owner) => owner.owner.as_str(),
        }
    }
}

fn default_urgency() -> Urgency {
    Urgency::Normal
}

fn default_traffic_permille() -> u32 {
    1_000
}
