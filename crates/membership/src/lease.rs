//! One daemon's side of the leases on workers.
//!
//! The worker grants a lease under a rising token and refuses every call with
//! an older one. This side only counts on a lease while its own clock, read
//! when the call was sent, says that it runs; a daemon that was paused finds
//! its leases run out and asks again before it acts. Should its clock be
//! wrong, the worker's fence still refuses it.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::Token;
use stoatwell_platform::WorkerReply;

use crate::rendezvous;

/// Before another try at a worker that could not be reached.
const RETRY_MS: u64 = 500;

/// The leases of one daemon.
#[derive(Debug)]
pub struct LeaseTable {
    me: DaemonId,
    ttl_ms: u64,
    wait_ms: u64,
    moves_per_second: u64,
    workers: BTreeMap<WorkerId, WorkerLease>,
    moves_left: u64,
    moves_since_ms: UnixMs,
}

/// One worker as seen from here.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerLease {
    /// IP and port of the worker.
    pub address: String,
    /// The highest token seen.
    pub token: Token,
    /// Where the lease stands.
    pub state: LeaseState,
    /// The last change heard of.
    pub seq: u64,
    /// Whether the platform lists it still.
    pub listed: bool,
    calling: bool,
    sent_ms: UnixMs,
    not_before_ms: UnixMs,
}

/// Where a lease stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// Somebody else's, or nobody's.
    Other,
    /// Mine until this time.
    Mine {
        /// End of the lease by this daemon's clock.
        until_ms: UnixMs,
    },
}

/// A call that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask to hold.
    Acquire {
        /// The worker.
        worker: WorkerId,
        /// The new token.
        token: Token,
    },
    /// Prolong, and hear what changed.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// The token.
        token: Token,
        /// The last change heard of.
        since: u64,
    },
    /// Give back.
    Release {
        /// The worker.
        worker: WorkerId,
        /// The token.
        token: Token,
    },
}

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The worker is held from now on; its state is in the answer.
    Acquired,
    /// The lease goes on; news are in the answer.
    Renewed,
    /// The worker is not held any more.
    Lost,
    /// Nothing changed.
    Unchanged,
}

impl LeaseTable {
    /// Holds nothing yet.
    pub fn new(me: DaemonId, ttl_ms: u64, wait_ms: u64, moves_per_second: u64) -> Self {
        Self {
            me,
            ttl_ms,
            wait_ms,
            moves_per_second,
            workers: BTreeMap::new(),
            moves_left: 0,
            moves_since_ms: 0,
        }
    }

    /// How long a lease runs.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// How long a renewal waits for news.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Takes the zone's workers as the platform lists them. A worker that is
    /// held stays until it stops answering, since the list is only a hint.
    pub fn update_workers(&mut self, listed: impl IntoIterator<Item = (WorkerId, String)>) {
        for holding in self.workers.values_mut() {
            holding.listed = false;
        }
        for (worker, address) in listed {
            let holding = self.workers.entry(worker).or_insert_with(|| WorkerLease {
                address: address.clone(),
                token: 0,
                state: LeaseState::Other,
                seq: 0,
                listed: true,
                calling: false,
                sent_ms: 0,
                not_before_ms: 0,
            });
            holding.listed = true;
            holding.address = address;
        }
        self.workers.retain(|_, holding| {
            holding.listed || holding.calling || holding.state != LeaseState::Other
        });
    }

    /// The calls that are due, given who may hold workers of this zone; of one
    /// worker or of all. `busy` says which must not be given back yet.
    pub fn due(
        &mut self,
        now_ms: UnixMs,
        holders: &[DaemonId],
        only: Option<&WorkerId>,
        busy: impl Fn(&WorkerId) -> bool,
    ) -> Vec<LeaseAction> {
        self.refill_moves(now_ms);
        let alone = !holders.contains(&self.me);
        let mut actions = Vec::new();
        let range = match only {
            Some(worker) => self.workers.range_mut::<WorkerId, _>(worker..=worker),
            None => self.workers.range_mut::<WorkerId, _>(..),
        };
        for (worker, holding) in range {
            if holding.calling || now_ms < holding.not_before_ms {
                continue;
            }
            let mine = rendezvous::select(worker.as_str(), holders) == Some(&self.me);
            let action = match holding.state {
                LeaseState::Other if mine && holding.listed => {
                    LeaseAction::Acquire { worker: worker.clone(), token: holding.token + 1 }
                }
                LeaseState::Other => continue,
                LeaseState::Mine { .. } => {
                    let may_move = alone || self.moves_left > 0;
                    if !mine && !holders.is_empty() && may_move && !busy(worker) {
                        self.moves_left = self.moves_left.saturating_sub(1);
                        LeaseAction::Release { worker: worker.clone(), token: holding.token }
                    } else {
                        LeaseAction::Renew {
                            worker: worker.clone(),
                            token: holding.token,
                            since: holding.seq,
                        }
                    }
                }
            };
            holding.calling = true;
            holding.sent_ms = now_ms;
            actions.push(action);
        }
        actions
    }

    /// Takes a worker's answer to one of those calls; `None` where there was none.
    pub fn on_reply(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        reply: Option<&WorkerReply>,
    ) -> LeaseEvent {
        let ttl_ms = self.ttl_ms;
        let Some(holding) = self.workers.get_mut(worker) else {
            return LeaseEvent::Unchanged;
        };
        holding.calling = false;
        let until_ms = holding.sent_ms + ttl_ms;
        match reply {
            Some(WorkerReply::Granted { state, seq }) => {
                holding.token = state.token;
                holding.seq = *seq;
                holding.state = LeaseState::Mine { until_ms };
                LeaseEvent::Acquired
            }
            // The lease was given up here while the renewal was on its way, so
            // nothing is known of what runs there; it has to be acquired anew.
            Some(WorkerReply::Renewed { .. }) if holding.state == LeaseState::Other => {
                LeaseEvent::Unchanged
            }
            Some(WorkerReply::Renewed { seq, .. }) => {
                holding.seq = *seq;
                holding.state = LeaseState::Mine { until_ms };
                LeaseEvent::Renewed
            }
            Some(WorkerReply::NotHolder { token, expires_ms, .. }) => {
                holding.token = holding.token.max(*token);
                holding.not_before_ms = now_ms + (*expires_ms).clamp(1, RETRY_MS);
                holding.lose()
            }
            Some(WorkerReply::Released) => {
                holding.not_before_ms = now_ms + RETRY_MS;
                holding.lose()
            }
            Some(WorkerReply::Started { .. } | WorkerReply::Stopped) => LeaseEvent::Unchanged,
            None => {
                holding.not_before_ms = now_ms + RETRY_MS;
                // Whether an acquisition took effect is not known. The next one
                // uses a higher token, so it cannot be refused as old.
                if holding.state == LeaseState::Other {
                    holding.token += 1;
                }
                LeaseEvent::Unchanged
            }
        }
    }

    /// Takes from a refused start that somebody else holds the worker.
    pub fn on_fenced(&mut self, worker: &WorkerId, token: Token) -> LeaseEvent {
        let Some(holding) = self.workers.get_mut(worker) else {
            return LeaseEvent::Unchanged;
        };
        holding.token = holding.token.max(token);
        holding.lose()
    }

    /// The token under which this daemon may act on a worker now.
    pub fn token(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<Token> {
        let holding = self.workers.get(worker)?;
        match holding.state {
            LeaseState::Mine { until_ms } if now_ms < until_ms => Some(holding.token),
            LeaseState::Mine { .. } | LeaseState::Other => None,
        }
    }

    /// Leases that ran out while nobody renewed them. A paused daemon finds
    /// out here, when it wakes up, that it must not act any more.
    pub fn expired(&self, now_ms: UnixMs) -> Vec<WorkerId> {
        let mut lapsed = Vec::new();
        for (worker, holding) in &self.workers {
            if matches!(holding.state, LeaseState::Mine { until_ms } if until_ms <= now_ms) {
                lapsed.push(worker.clone());
            }
        }
        lapsed
    }

    /// Stops counting on a worker without telling it.
    pub fn drop_lease(&mut self, worker: &WorkerId) -> LeaseEvent {
        self.workers.get_mut(worker).map_or(LeaseEvent::Unchanged, WorkerLease::lose)
    }

    /// One worker.
    pub fn get(&self, worker: &WorkerId) -> Option<&WorkerLease> {
        self.workers.get(worker)
    }

    /// All workers of the zone.
    pub fn all(&self) -> impl Iterator<Item = (&WorkerId, &WorkerLease)> {
        self.workers.iter()
    }

    /// How many workers are held.
    pub fn held(&self) -> usize {
        self.workers.values().filter(|holding| holding.state != LeaseState::Other).count()
    }

    fn refill_moves(&mut self, now_ms: UnixMs) {
        if now_ms >= self.moves_since_ms + 1_000 {
            self.moves_since_ms = now_ms;
            self.moves_left = self.moves_per_second;
        }
    }
}

impl WorkerLease {
    fn lose(&mut self) -> LeaseEvent {
        if self.state == LeaseState::Other {
            return LeaseEvent::Unchanged;
        }
        self.state = LeaseState::Other;
        LeaseEvent::Lost
    }
}
