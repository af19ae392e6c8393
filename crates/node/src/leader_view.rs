//! Who schedules, as far as one daemon knows, and whether it lives.
//!
//! The duty's row tells who. It changes only as often as it is renewed, and says
//! nothing while the store is away. So the scheduler is also asked directly, several
//! times a second: a daemon that was killed is missed within a few hundred
//! milliseconds, and one that lives is not replaced because the store was away.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_peer::Peers;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::steady_ms;
use crate::gateway::Gateway;
use crate::message::Query;
use crate::outside::Outside;
use crate::peers::NodeCall;
use crate::peers::NodeReply;

/// How long the scheduler may take to say that it lives: some round trips between
/// regions, and a cycle over a long queue.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Questions without answer in a row after which it counts as gone. The first one may
/// have gone into a connection that is dead while the daemon lives.
const MISSES_MAX: u32 = 2;
/// How often a daemon that could lead asks whether the scheduler lives.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Of the other daemons, one asks in this time ...
const PROBE_INTERVAL_EACH: Duration = Duration::from_millis(10);
/// ... and each of them at least once in this.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// After the first question without answer.
const MISSED_PAUSE: Duration = Duration::from_millis(30);

/// The way to the scheduler.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// None is known, or it is gone.
    None,
    /// This daemon.
    Local(mpsc::Sender<Query>),
    /// The daemon at this address.
    Remote(String),
}

/// Whether a scheduler lives.
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

/// What a daemon knows of who schedules.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderView {
    /// The way to it, while it is this daemon.
    here: Option<mpsc::Sender<Query>>,
    /// The newest holder of the duty that was heard of.
    epoch: u64,
    /// Where it is; none if it gave the duty up.
    address: Option<String>,
    /// Whether it lives.
    liveness: Liveness,
}

impl LeaderView {
    /// Takes note of a holder of the duty; one that was replaced is left out.
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

    /// This daemon schedules now, or does no more.
    pub fn set_local(&mut self, here: Option<mpsc::Sender<Query>>) {
        self.here = here;
    }

    /// The way to the scheduler.
    pub fn route(&self) -> Route {
        if let Some(here) = &self.here {
            return Route::Local(here.clone());
        }
        match &self.address {
            Some(address) if self.liveness != Liveness::Gone => Route::Remote(address.clone()),
            _ => Route::None,
        }
    }

    /// Takes note of whether a holder of the duty lives; tells whether that is news.
    pub fn note_liveness(&mut self, epoch: u64, liveness: Liveness) -> bool {
        if epoch != self.epoch || liveness == self.liveness {
            return false;
        }
        tracing::info!(epoch, address = self.address, before = %self.liveness, now = %liveness, "scheduler");
        self.liveness = liveness;
        true
    }

    /// Whether a holder of the duty lives.
    pub fn liveness_of(&self, epoch: u64) -> Liveness {
        if epoch == self.epoch { self.liveness } else { Liveness::Unknown }
    }

    /// Whether the store answers the scheduler.
    pub fn is_healthy(&self) -> bool {
        self.liveness == Liveness::Healthy
    }

    /// Whether there is no leader, or none that could make anything durable.
    pub fn is_unavailable(&self) -> bool {
        let known = self.here.is_some() || self.address.is_some();
        !known || matches!(self.liveness, Liveness::Gone | Liveness::Isolated)
    }

    /// The daemon to be asked whether it lives.
    fn remote(&self) -> Option<(u64, String)> {
        let address = self.address.clone().filter(|_| self.here.is_none())?;
        Some((self.epoch, address))
    }
}

/// Asks the scheduler again and again whether it lives, for the whole liveness of a daemon.
pub(crate) async fn check_liveness<O: Outside>(
    gateway: Arc<Gateway<O>>,
    peers: Peers,
    is_underprovisioned: bool,
) {
    let mut view = gateway.watch_scheduler();
    let mut asked = None;
    let mut misses = 0;
    let mut every = PROBE_INTERVAL;
    loop {
        let target = view.borrow_and_update().remote();
        if target != asked {
            misses = 0;
            asked.clone_from(&target);
        }
        let Some((epoch, address)) = target else {
            if view.changed().await.is_err() {
                return;
            }
            continue;
        };
        let asked_ms = steady_ms();
        let reply = peers.call::<NodeReply>(&address, &NodeCall::Alive, PROBE_TIMEOUT).await;
        if let Ok(NodeReply::Alive { daemons, fit, manifest, .. }) = &reply {
            every = probe_interval(is_underprovisioned, *daemons);
            gateway.set_daemons(*daemons, *fit);
            gateway.note_proof(&address, *manifest, asked_ms).await;
        }
        let liveness = match reply {
            Ok(NodeReply::Alive { reaches_store: true, .. }) => Some(Liveness::Healthy),
            Ok(NodeReply::Alive { reaches_store: false, .. }) => Some(Liveness::Isolated),
            Ok(_) | Err(_) => None,
        };
        misses = if liveness.is_some() { 0 } else { misses + 1 };
        let liveness = liveness.or_else(|| (misses >= MISSES_MAX).then_some(Liveness::Gone));
        if let Some(liveness) = liveness {
            gateway.note_liveness(epoch, liveness);
        }
        let pause = if misses == 1 { MISSED_PAUSE } else { every };
        wait(&mut view, asked.as_ref(), pause).await;
    }
}

/// How often a daemon asks. Those that could lead ask often; hundreds of others would keep
/// the leader busy, and are told by the next one that it leads.
pub fn probe_interval(is_underprovisioned: bool, daemons: u32) -> Duration {
    if is_underprovisioned {
        (PROBE_INTERVAL_EACH * daemons).clamp(PROBE_INTERVAL, PROBE_INTERVAL_MAX)
    } else {
        PROBE_INTERVAL
    }
}

/// Waits for a time, or until another daemon schedules.
async fn wait(
    view: &mut watch::Receiver<LeaderView>,
    asked: Option<&(u64, String)>,
    pause: Duration,
) {
    let another = view.wait_for(|view| view.remote().as_ref() != asked);
    tokio::select! {
        _ = another => {}
        () = sleep(pause) => {}
    }
}
