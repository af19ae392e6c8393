//! Targets: which owner may use a worker, and how it changes hands.
//!
//! A target's epoch rises with every change of its state. Both owners read
//! the same row, so at every moment exactly one of them may start work on it.

use serde::Deserialize;
use serde::Serialize;

use crate::id::OwnerName;
use crate::id::WorkerId;

/// A worker as the catalogue sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The worker.
    pub worker: WorkerId,
    /// The only owner whose work may run here.
    pub owner: OwnerName,
    /// What may happen here now.
    pub state: TargetState,
    /// The owner that gets it once it is empty.
    #[serde(default)]
    pub next_owner: Option<OwnerName>,
    /// Rises with every change.
    #[serde(default)]
    pub epoch: u64,
}

/// What may happen on a target.
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

/// What an operator asks of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetChange {
    /// Serve this owner; a target that serves another one drains first.
    Start {
        /// The owner to serve.
        owner: OwnerName,
    },
    /// Start nothing new and let what runs come to its end.
    Drain,
    /// Drain, then leave the cell for good.
    Retire,
    /// The holder saw that nothing of the old owner is left.
    Emptied,
}

impl Target {
    /// Whether work of this owner may start here now.
    pub fn serves(&self, owner: &OwnerName) -> bool {
        self.state == TargetState::Serving && self.owner == *owner
    }

    /// The target after `change`, or `None` where the change makes no sense.
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
            (Some(target), TargetChange::Start { owner }) => Some(target.started_for(owner, epoch)),
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
            (Some(target), TargetChange::Emptied) => target.emptied(epoch),
        }
    }

    fn started_for(&self, owner: &OwnerName, epoch: u64) -> Self {
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

    fn emptied(&self, epoch: u64) -> Option<Self> {
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
