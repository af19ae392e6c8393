//! Catalogue entries: what operators write.
//!
//! A work entry names an owner, a class of work and the limits that the work
//! may consume. An owner entry gives a customer's quota and what it values.

use serde::Deserialize;
use serde::Serialize;

use crate::id::EntryName;
use crate::id::OwnerName;
use crate::resources::Resources;

/// How work of an entry is scheduled.
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

/// How often a task may run.
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
    /// Whether a start must be recorded before it is sent.
    pub fn needs_intent(self) -> bool {
        !matches!(self, Self::Idempotent)
    }
}

/// How soon work should start, most pressing first.
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

/// One kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// The entry's name.
    pub name: EntryName,
    /// Whose work it is.
    pub owner: OwnerName,
    /// How it is scheduled.
    pub class: Class,
    /// How often a task may run.
    pub execution: Execution,
    /// How soon it should start.
    #[serde(default = "normal")]
    pub urgency: Urgency,
    /// What one task needs, as declared.
    #[serde(default)]
    pub task: Resources,
    /// What the work may consume.
    #[serde(default)]
    pub limits: Limits,
    /// The minions that answer its requests; requests only.
    #[serde(default)]
    pub minions: Option<String>,
    /// Share of callers' submissions accepted, in thousandths; the rest stay with the old system.
    #[serde(default = "whole")]
    pub traffic_permille: u32,
}

/// What the work of one entry may consume.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Tasks of one job.
    pub tasks_per_job: u32,
    /// Jobs that wait at one daemon.
    pub queued_jobs: u32,
    /// Tasks that run at once, in the whole cell.
    pub running_tasks: u32,
    /// From acceptance to the last moment at which the answer is of use; 0 is no limit.
    pub deadline_ms: u64,
    /// Tries for one task; only work that may run again is tried again.
    pub attempts: u32,
    /// Body of a submission.
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

/// One customer: its quota and what it values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// The owner's name.
    pub owner: OwnerName,
    /// What all its running work may hold together.
    pub quota: Resources,
    /// SHA-256 of the bearer token its callers use, in hexadecimal.
    #[serde(default)]
    pub token_sha256: Option<String>,
    /// What the owner values, relative to each other.
    #[serde(default)]
    pub weights: Weights,
}

/// What an owner values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Starting soon.
    pub waiting: u32,
    /// Filling instances.
    pub packing: u32,
    /// Little control traffic.
    pub control: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { waiting: 1, packing: 1, control: 1 }
    }
}

/// Anything an operator can apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// One kind of work.
    Work(WorkEntry),
    /// One customer.
    Owner(OwnerEntry),
}

impl Entry {
    /// The name under which the catalogue keeps it.
    pub fn name(&self) -> &str {
        match self {
            Self::Work(work) => work.name.as_str(),
            Self::Owner(owner) => owner.owner.as_str(),
        }
    }
}

fn normal() -> Urgency {
    Urgency::Normal
}

fn whole() -> u32 {
    1_000
}
