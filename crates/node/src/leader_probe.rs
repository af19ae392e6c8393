//! Probes the liveness of the leader.
//!
//! The row of the leader lease names the leader. It changes only as often as it is
//! renewed, and says nothing while the store is unavailable. So the leader is also probed
//! directly, several times a second: the loss of a killed leader is noticed within a few
//! hundred milliseconds, and a live one is not replaced because the store was unavailable.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_peer::Peers;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::steady_ms;
use crate::gateway::Gateway;
use crate::leader_view::LeaderView;
use crate::liveness::LivenessDetector;
use crate::liveness::ProbeResult;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;

/// Time limit for the response to a probe: some round trips between regions, and a
/// scheduling cycle over a long queue.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Probe interval of a daemon that could lead itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probe interval of the other daemons, for each daemon of the pool. It is the mean time
/// between two probes that the leader gets from them.
const PROBE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// Maximum probe interval of any daemon.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Delay before the second probe, after the first one that did not reach the leader.
const REPROBE_DELAY: Duration = Duration::from_millis(30);

/// Probes the leader's liveness for as long as this daemon runs.
pub(crate) async fn probe_leader<P: Platform>(
    gateway: Arc<Gateway<P>>,
    peers: Peers,
    is_underprovisioned: bool,
) {
    let mut view = gateway.subscribe_leader();
    let mut probed = None;
    let mut detector = LivenessDetector::default();
    let mut interval = PROBE_INTERVAL;
    loop {
        let leader = view.borrow_and_update().remote_leader();
        if leader != probed {
            detector = LivenessDetector::default();
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
            let overdue_ms = sent_ms + (interval + PROBE_TIMEOUT).as_millis() as u64;
            gateway.manifest().expect_relayed_proof(overdue_ms);
        }
        let result = match &reply {
            Ok(DaemonReply::Alive { reaches_store, .. }) => {
                ProbeResult::Leads { reaches_store: *reaches_store }
            }
            Ok(_) => ProbeResult::DoesNotLead,
            Err(error) if error.is_refused() => ProbeResult::Refused,
            Err(_) => ProbeResult::NoAnswer,
        };
        let liveness = detector.record(result);
        if let Some(liveness) = liveness {
            gateway.record_liveness(epoch, liveness);
        }
        let delay = if detector.is_in_doubt() { REPROBE_DELAY } else { interval };
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
