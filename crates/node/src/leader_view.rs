//! What a daemon knows about the current leader.

use stoatwell_model::BELIEF_TARGET;
use tokio::sync::mpsc;

use crate::liveness::Liveness;
use crate::message::SchedulerRequest;

/// How to reach the leader.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// No leader is known, or it does not answer.
    None,
    /// This daemon is the leader.
    Local(mpsc::Sender<SchedulerRequest>),
    /// The leader is the daemon at this address.
    Remote(String),
}

/// What a daemon knows about the current leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderView {
    /// The channel for requests to the scheduler, while this daemon leads.
    requests: Option<mpsc::Sender<SchedulerRequest>>,
    /// The highest epoch that was seen.
    epoch: u64,
    /// Address of that epoch's leader; `None` if it released the lease.
    address: Option<String>,
    /// Liveness of that epoch's leader.
    liveness: Liveness,
}

impl LeaderView {
    /// Records the leader of an epoch; an epoch older than the newest one is ignored.
    pub fn observe(&mut self, epoch: u64, address: Option<String>) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch || address != self.address {
            self.liveness = Liveness::Unknown;
        }
        self.epoch = epoch;
        self.address = address;
    }

    /// Sets the channel for requests to the scheduler while this daemon leads, `None` afterwards.
    pub fn set_local(&mut self, requests: Option<mpsc::Sender<SchedulerRequest>>) {
        self.requests = requests;
    }

    /// How to reach the leader.
    pub fn route(&self) -> Route {
        if let Some(requests) = &self.requests {
            return Route::Local(requests.clone());
        }
        match &self.address {
            Some(address) if self.is_responsive() => Route::Remote(address.clone()),
            _ => Route::None,
        }
    }

    /// Records the liveness of an epoch's leader; returns whether it changed.
    pub fn record_liveness(&mut self, epoch: u64, liveness: Liveness) -> bool {
        if epoch != self.epoch || liveness == self.liveness {
            return false;
        }
        tracing::info!(
            target: BELIEF_TARGET,
            epoch, address = self.address, before = %self.liveness, now = %liveness,
            "liveness of the leader changed"
        );
        self.liveness = liveness;
        true
    }

    /// The highest epoch that was seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The liveness of an epoch's leader; unknown for any but the newest epoch.
    pub fn liveness_of(&self, epoch: u64) -> Liveness {
        if epoch == self.epoch { self.liveness } else { Liveness::Unknown }
    }

    /// Whether the leader is alive and reaches the store.
    pub fn is_healthy(&self) -> bool {
        self.liveness == Liveness::Healthy
    }

    /// Whether there is no leader that could make anything durable.
    pub fn is_unavailable(&self) -> bool {
        let has_leader = self.requests.is_some() || self.address.is_some();
        !has_leader || !self.is_responsive() || self.liveness == Liveness::Isolated
    }

    fn is_responsive(&self) -> bool {
        !matches!(self.liveness, Liveness::Unresponsive | Liveness::Gone)
    }

    /// Epoch and address of the leader to probe; `None` if this daemon leads or none is known.
    pub fn remote_leader(&self) -> Option<(u64, String)> {
        let address = self.address.clone().filter(|_| self.requests.is_none())?;
        Some((self.epoch, address))
    }
}
