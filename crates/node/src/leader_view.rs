//! What a daemon knows about the current leader, and the probe of its liveness.
//!
//! The row of the leader lease names the leader. It changes only as often as it is
//! renewed, and says nothing while the store is unavailable. So the leader is also probed
//! directly, several times a second: the loss of a killed leader is noticed within a few
//! hundred milliseconds, and a live one is not replaced because the store was unavailable.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_peer::Peers;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::steady_ms;
use crate::gateway::Gateway;
use crate::message::SchedulerRequest;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// Time limit for the response to a probe: some round trips between regions, and a
/// scheduling cycle over a long queue.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive probes without a response after which the leader counts as gone. The first
/// one may have been sent over a dead connection to a live daemon.
const MISSES_MAX: u32 = 2;
/// Probe interval of a daemon that could lead itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probe interval of the other daemons, for each daemon of the pool. It is the mean time
/// between two probes that the leader gets from them.
const PROBE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// Maximum probe interval of any daemon.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Delay before the second probe, after the first one without a response.
const REPROBE_DELAY: Duration = Duration::from_millis(30);

/// How to reach the leader.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// No leader is known, or it is gone.
    None,
    /// This daemon is the leader.
    Local(mpsc::Sender<SchedulerRequest>),
    /// The leader is the daemon at this address.
    Remote(String),
}

/// Whether a leader is alive, and whether it reaches the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, displaydoc::Display)]
pub enum Liveness {
    /// not known
    #[default]
    Unknown,
    /// it lives and the store answers it
    Healthy,
    /// it lives and the store does not answer it
    Isolated,
    /// it does not answer, or schedules no more
    Gone,
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
            Some(address) if self.liveness != Liveness::Gone => Route::Remote(address.clone()),
            _ => Route::None,
        }
    }

    /// Records the liveness of an epoch's leader; returns whether it changed.
    pub fn record_liveness(&mut self, epoch: u64, liveness: Liveness) -> bool {
        if epoch != self.epoch || liveness == self.liveness {
            return false;
        }
        tracing::info!(
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
        !has_leader || matches!(self.liveness, Liveness::Gone | Liveness::Isolated)
    }

    /// Epoch and address of the leader to probe; `None` if this daemon leads or none is known.
    fn remote_leader(&self) -> Option<(u64, String)> {
        let address = self.address.clone().filter(|_| self.requests.is_none())?;
        Some((self.epoch, address))
    }
}

/// Probes the leader's liveness for as long as this daemon runs.
pub(crate) async fn probe_leader<P: Platform>(
    gateway: Arc<Gateway<P>>,
    peers: Peers,
    is_underprovisioned: bool,
) {
    let mut view = gateway.subscribe_leader();
    let mut probed = None;
    let mut misses = 0;
    let mut interval = PROBE_INTERVAL;
    loop {
        let leader = view.borrow_and_update().remote_leader();
        if leader != probed {
            misses = 0;
            probed.clone_from(&leader);
        }
        let Some((epoch, address)) = leader else {
            if view.changed().await.is_err() {
                return;
            }
            continue;
        };
        let sent_ms = steady_ms();
        let reply = peers.call::<DaemonReply>(&address, &DaemonCall::Alive, PROBE_TIMEOUT).await;
        if let Ok(DaemonReply::Alive { daemons, fit, manifest, .. }) = &reply {
            interval = probe_interval(is_underprovisioned, *daemons);
            gateway.set_daemon_counts(*daemons, *fit);
            gateway.record_proof(&address, *manifest, sent_ms).await;
        }
        let liveness = match reply {
            Ok(DaemonReply::Alive { reaches_store: true, .. }) => Some(Liveness::Healthy),
            Ok(DaemonReply::Alive { reaches_store: false, .. }) => Some(Liveness::Isolated),
            Ok(_) | Err(_) => None,
        };
        misses = if liveness.is_some() { 0 } else { misses + 1 };
        let liveness = liveness.or_else(|| (misses >= MISSES_MAX).then_some(Liveness::Gone));
        if let Some(liveness) = liveness {
            gateway.record_liveness(epoch, liveness);
        }
        let delay = if misses == 1 { REPROBE_DELAY } else { interval };
        wait_for_next_probe(&mut view, probed.as_ref(), delay).await;
    }
}

/// The interval between probes of the leader. Daemons that could lead probe it often.
/// Hundreds of others would keep the leader busy; the next leader notifies them that it leads.
pub fn probe_interval(is_underprovisioned: bool, daemons: u32) -> Duration {
    if is_underprovisioned {
        (PROBE_INTERVAL_PER_DAEMON * daemons).clamp(PROBE_INTERVAL, PROBE_INTERVAL_MAX)
    } else {
        PROBE_INTERVAL
    }
}

/// Waits for a delay, or until the leader to probe changes.
async fn wait_for_next_probe(
    view: &mut watch::Receiver<LeaderView>,
    probed: Option<&(u64, String)>,
    delay: Duration,
) {
    let leader_changed = view.wait_for(|view| view.remote_leader().as_ref() != probed);
    tokio::select! {
        _ = leader_changed => {}
        () = sleep(delay) => {}
    }
}
