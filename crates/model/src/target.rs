//! Targets: which owner may use a worker, and how a worker passes to another owner.
//!
//! A target's epoch increases with every change of its state. Both owners read the
//! same row, so at any time at most one of them may start work on the worker.

use serde::Deserialize;
use serde::Serialize;

use crate::id::OwnerName;
use crate::id::WorkerId;

/// Catalogue item that assigns a worker to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the worker.
    pub worker: WorkerId,
    /// The only owner whose work may run on the worker.
    pub owner: OwnerName,
    /// Whether work may start on the worker.
    pub state: TargetState,
    /// Owner to which the worker passes once it is empty; `None` if it stays with `owner`.
    #[serde(default)]
    pub next_owner: Option<OwnerName>,
    /// Increases with every change of the target.
    #[serde(default)]
    pub epoch: u64,
}

/// State of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// serving
    Serving,
    /// draining
    Draining,
    /// retired
    Retired,
}

/// Requested change of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetChange {
    /// Serve this owner. A target that serves another owner drains first.
    Start {
        /// Owner to serve.
        owner: OwnerName,
    },
    /// Start no new work and let running work finish.
    Drain,
    /// Drain, then leave the cell permanently.
    Retire,
    /// The lease holder found that no work of the old owner is left.
    Emptied,
}

impl Target {
    /// Whether work of this owner may start on the worker.
    pub fn serves(&self, owner: &OwnerName) -> bool {
        self.state == TargetState::Serving && self.owner == *owner
    }

    /// Applies `change`; returns `None` if it is not valid in the current state.
    ///
    /// `current` is `None` for a worker that is not in the catalogue yet.
    pub fn transition(
        current: Option<&Self>,
        worker: &WorkerId,
        change: &TargetChange,
    ) -> Option<Self> {
        let epoch = current.map_or(1, |target| target.epoch + 1);
        match (current, change) {
            (None, TargetChange::Start { owner }) => Some(Self {
                worker: worker.clone(),
                owner: owner.clone(),
                state: TargetState::Serving,
                next_owner: None,
                epoch,
            }),
            (None, _) => None,
            (Some(target), TargetChange::Start { owner }) => Some(target.start(owner, epoch)),
            (Some(target), TargetChange::Drain) => Some(Self {
                state: TargetState::Draining,
                next_owner: None,
                epoch,
                ..target.clone()
            }),
            (Some(target), TargetChange::Retire) => Some(Self {
                state: TargetState::Retired,
                next_owner: None,
                epoch,
                ..target.clone()
            }),
            (Some(target), TargetChange::Emptied) => target.hand_over(epoch),
        }
    }

    fn start(&self, owner: &OwnerName, epoch: u64) -> Self {
        if self.owner == *owner {
            return Self { state: TargetState::Serving, next_owner: None, epoch, ..self.clone() };
        }
        Self {
            state: TargetState::Draining,
            next_owner: Some(owner.clone()),
            epoch,
            ..self.clone()
        }
    }

    fn hand_over(&self, epoch: u64) -> Option<Self> {
        let owner = self.next_owner.clone()?;
        if self.state != TargetState::Draining {
            return None;
        }
        Some(Self {
            worker: self.worker.clone(),
            owner,
            state: TargetState::Serving,
            next_owner: None,
            epoch,
        })
    }
}
