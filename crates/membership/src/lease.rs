//! One daemon's side of the leases on workers.
//!
//! A worker grants a lease with an increasing fencing token and refuses every call with
//! an older token. The daemon relies on a lease only until it expires by the daemon's own
//! clock, counted from the time at which the call was sent. A daemon that was paused
//! finds its leases expired and acquires them again before it acts. If its clock is
//! wrong, the worker still refuses it because of the token.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::Token;
use stoatwell_platform::WorkerReply;

use crate::rendezvous;

/// Delay before the next call to a worker that did not respond or after a release, and
/// the maximum delay after a refusal.
const RETRY_MS: u64 = 500;

/// Leases of one daemon on the workers of its zone.
#[derive(Debug)]
pub struct LeaseTable {
    local_daemon: DaemonId,
    ttl_ms: u64,
    renew_wait_ms: u64,
    handovers_per_second: u64,
    workers: BTreeMap<WorkerId, WorkerLease>,
    handovers_left: u64,
    handover_window_ms: UnixMs,
}

/// A worker and the daemon's lease on it, if it has one.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerLease {
    /// IP and port of the worker.
    pub address: String,
    /// Highest token known for the worker.
    pub token: Token,
    /// Whether this daemon holds the lease.
    pub state: LeaseState,
    /// Sequence number of the last change that the worker reported.
    pub seq: u64,
    /// Whether the platform's latest list contains the worker.
    pub listed: bool,
    calling: bool,
    sent_ms: UnixMs,
    not_before_ms: UnixMs,
}

/// State of a lease from this daemon's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// Another daemon holds the lease, or no daemon does.
    Other,
    /// This daemon holds the lease.
    Mine {
        /// Time of expiry by this daemon's clock.
        until_ms: UnixMs,
    },
}

/// Call to a worker that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Request a new lease.
    Acquire {
        /// Worker to call.
        worker: WorkerId,
        /// New token, higher than any known one.
        token: Token,
    },
    /// Extend the lease and fetch the changes on the worker.
    Renew {
        /// Worker to call.
        worker: WorkerId,
        /// Token of the lease.
        token: Token,
        /// Sequence number of the last known change.
        since: u64,
    },
    /// Return the lease.
    Release {
        /// Worker to call.
        worker: WorkerId,
        /// Token of the lease.
        token: Token,
    },
}

/// Change of a lease that follows from a response or from local knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This daemon holds the lease from now on; the response contains the worker's state.
    Acquired,
    /// The lease was extended; the response contains the changes on the worker.
    Renewed,
    /// This daemon does not hold the lease any more.
    Lost,
    /// Nothing changed.
    Unchanged,
}

impl LeaseTable {
    /// Creates a table without any workers.
    ///
    /// `handovers_per_second` limits the leases given up to better placed daemons.
    pub fn new(
        local_daemon: DaemonId,
        ttl_ms: u64,
        renew_wait_ms: u64,
        handovers_per_second: u64,
    ) -> Self {
        Self {
            local_daemon,
            ttl_ms,
            renew_wait_ms,
            handovers_per_second,
            workers: BTreeMap::new(),
            handovers_left: 0,
            handover_window_ms: 0,
        }
    }

    /// Duration of a lease.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// How long a renewal waits at the worker for changes.
    pub fn wait_ms(&self) -> u64 {
        self.renew_wait_ms
    }

    /// Updates the workers of the zone from the platform's list.
    ///
    /// A worker on which this daemon holds the lease stays in the table until it stops
    /// responding, because the list is only a hint.
    pub fn update_workers(&mut self, listed: impl IntoIterator<Item = (WorkerId, String)>) {
        for lease in self.workers.values_mut() {
            lease.listed = false;
        }
        for (worker, address) in listed {
            let lease = self.workers.entry(worker).or_insert_with(|| WorkerLease {
                address: address.clone(),
                token: 0,
                state: LeaseState::Other,
                seq: 0,
                listed: true,
                calling: false,
                sent_ms: 0,
                not_before_ms: 0,
            });
            lease.listed = true;
            lease.address = address;
        }
        self.workers
            .retain(|_, lease| lease.listed || lease.calling || lease.state != LeaseState::Other);
    }

    /// Returns the calls that are due for the worker `only`, or for all workers.
    ///
    /// `holders` are the daemons that may hold workers of this zone. A lease on a worker
    /// for which `is_busy` is true is not released yet.
    pub fn due(
        &mut self,
        now_ms: UnixMs,
        holders: &[DaemonId],
        only: Option<&WorkerId>,
        is_busy: impl Fn(&WorkerId) -> bool,
    ) -> Vec<LeaseAction> {
        self.refill_handovers(now_ms);
        let is_excluded = !holders.contains(&self.local_daemon);
        let mut actions = Vec::new();
        let range = match only {
            Some(worker) => self.workers.range_mut::<WorkerId, _>(worker..=worker),
            None => self.workers.range_mut::<WorkerId, _>(..),
        };
        for (worker, lease) in range {
            if lease.calling || now_ms < lease.not_before_ms {
                continue;
            }
            let is_selected =
                rendezvous::select(worker.as_str(), holders) == Some(&self.local_daemon);
            let action = match lease.state {
                LeaseState::Other if is_selected && lease.listed => {
                    LeaseAction::Acquire { worker: worker.clone(), token: lease.token + 1 }
                }
                LeaseState::Other => continue,
                LeaseState::Mine { .. } => {
                    let may_hand_over = is_excluded || self.handovers_left > 0;
                    if !is_selected && !holders.is_empty() && may_hand_over && !is_busy(worker) {
                        self.handovers_left = self.handovers_left.saturating_sub(1);
                        LeaseAction::Release { worker: worker.clone(), token: lease.token }
                    } else {
                        LeaseAction::Renew {
                            worker: worker.clone(),
                            token: lease.token,
                            since: lease.seq,
                        }
                    }
                }
            };
            lease.calling = true;
            lease.sent_ms = now_ms;
            actions.push(action);
        }
        actions
    }

    /// Handles a worker's response to one of these calls; `None` means no response.
    pub fn on_reply(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        reply: Option<&WorkerReply>,
    ) -> LeaseEvent {
        let ttl_ms = self.ttl_ms;
        let Some(lease) = self.workers.get_mut(worker) else {
            return LeaseEvent::Unchanged;
        };
        lease.calling = false;
        let until_ms = lease.sent_ms + ttl_ms;
        match reply {
            Some(WorkerReply::Granted { state, seq }) => {
                lease.token = state.token;
                lease.seq = *seq;
                lease.state = LeaseState::Mine { until_ms };
                LeaseEvent::Acquired
            }
            // The lease was dropped here while the renewal was in flight. What runs on
            // the worker is not known, so the lease must be acquired again.
            Some(WorkerReply::Renewed { .. }) if lease.state == LeaseState::Other => {
                LeaseEvent::Unchanged
            }
            Some(WorkerReply::Renewed { seq, .. }) => {
                lease.seq = *seq;
                lease.state = LeaseState::Mine { until_ms };
                LeaseEvent::Renewed
            }
            Some(WorkerReply::NotHolder { token, expires_ms, .. }) => {
                lease.token = lease.token.max(*token);
                lease.not_before_ms = now_ms + (*expires_ms).clamp(1, RETRY_MS);
                lease.mark_lost()
            }
            Some(WorkerReply::Released) => {
                lease.not_before_ms = now_ms + RETRY_MS;
                lease.mark_lost()
            }
            Some(WorkerReply::Started { .. } | WorkerReply::Stopped) => LeaseEvent::Unchanged,
            None => {
                lease.not_before_ms = now_ms + RETRY_MS;
                // It is not known whether the acquisition took effect. The next one uses
                // a higher token, so that the worker cannot refuse it as outdated.
                if lease.state == LeaseState::Other {
                    lease.token += 1;
                }
                LeaseEvent::Unchanged
            }
        }
    }

    /// Handles a refused start, which shows that another daemon holds the worker.
    pub fn on_fenced(&mut self, worker: &WorkerId, token: Token) -> LeaseEvent {
        let Some(lease) = self.workers.get_mut(worker) else {
            return LeaseEvent::Unchanged;
        };
        lease.token = lease.token.max(token);
        lease.mark_lost()
    }

    /// Token with which this daemon may act on the worker; `None` without a valid lease.
    pub fn token(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<Token> {
        let lease = self.workers.get(worker)?;
        match lease.state {
            LeaseState::Mine { until_ms } if now_ms < until_ms => Some(lease.token),
            LeaseState::Mine { .. } | LeaseState::Other => None,
        }
    }

    /// Workers whose lease has expired without a renewal.
    ///
    /// A daemon that was paused finds out here that it must not act on them any more.
    pub fn expired(&self, now_ms: UnixMs) -> Vec<WorkerId> {
        let mut expired = Vec::new();
        for (worker, lease) in &self.workers {
            if matches!(lease.state, LeaseState::Mine { until_ms } if until_ms <= now_ms) {
                expired.push(worker.clone());
            }
        }
        expired
    }

    /// Gives up the lease on a worker without a call to the worker.
    pub fn drop_lease(&mut self, worker: &WorkerId) -> LeaseEvent {
        self.workers.get_mut(worker).map_or(LeaseEvent::Unchanged, WorkerLease::mark_lost)
    }

    /// State of the lease on a worker; `None` if the worker is not in the table.
    pub fn get(&self, worker: &WorkerId) -> Option<&WorkerLease> {
        self.workers.get(worker)
    }

    /// All workers of the zone, whether this daemon holds their lease or not.
    pub fn all(&self) -> impl Iterator<Item = (&WorkerId, &WorkerLease)> {
        self.workers.iter()
    }

    /// Number of workers whose lease this daemon holds, expired leases included.
    pub fn held(&self) -> usize {
        self.workers.values().filter(|lease| lease.state != LeaseState::Other).count()
    }

    /// Allows the full number of hand-overs again at most once per second.
    fn refill_handovers(&mut self, now_ms: UnixMs) {
        if now_ms >= self.handover_window_ms + 1_000 {
            self.handover_window_ms = now_ms;
            self.handovers_left = self.handovers_per_second;
        }
    }
}

impl WorkerLease {
    /// Marks the lease as not held by this daemon.
    fn mark_lost(&mut self) -> LeaseEvent {
        if self.state == LeaseState::Other {
            return LeaseEvent::Unchanged;
        }
        self.state = LeaseState::Other;
        LeaseEvent::Lost
    }
}
