//! Probes the own path to the store, from when it is suspect until it works again.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::clock::steady_ms;
use crate::commit::LEADER_LEASE_KEY;
use crate::daemons::DaemonInfo;
use crate::executors::call::decode;
use crate::leader_view::LeaderView;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Platform;
use crate::platform::Table;
use crate::relay::RelayedStore;
use crate::relay::call::own_outcome;
use crate::relay::path::OwnOutcome;
use crate::relay::path::PROBE_LIMIT_MS;
use crate::relay::path::PathChange;
use crate::relay::path::RelayOutcome;

/// Delay between two probes of the own path.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe. A store that is fifty times slower than usual still answers in time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time that the own path has for the answer after the store answered another daemon.
const GRACE_MIN: Duration = Duration::from_millis(50);
/// The same time as a multiple of that daemon's response time.
const GRACE_FACTOR: u32 = 2;
/// How often a daemon that does not lead reads the list of daemons from the leader, while its own
/// path is suspect or has failed.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Daemons that are asked whether the store answers them.
const WITNESSES: usize = 3;

/// Probes the own path whenever it is suspect or has failed, for the lifetime of the daemon.
pub(crate) async fn watch_own_path<P: Platform>(
    store: Arc<RelayedStore<P>>,
    leader: watch::Receiver<LeaderView>,
) {
    metrics::gauge!("stoatwell_store_relaying").set(0.0);
    let mut listed: Option<Instant> = None;
    loop {
        store.state.suspected.notified().await;
        loop {
            let (needs_probe, has_failed) = {
                let paths = store.state.paths();
                (paths.needs_probe(), paths.has_failed())
            };
            if !needs_probe {
                break;
            }
            if listed.is_none_or(|listed| listed.elapsed() >= LIST_INTERVAL) {
                listed = Some(Instant::now());
                fetch_daemons(&store, &leader).await;
            }
            let (outcome, others_answered) = probe(&store, has_failed).await;
            let change =
                store.state.paths().record_own_probe(outcome, others_answered, steady_ms());
            if let Some(change) = change {
                report(&store, change, outcome);
            }
            if store.state.paths().needs_relay(steady_ms()) {
                store_answers_others(&store).await;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Reads the list of daemons from the leader, unless this daemon leads: only the leader reads it
/// from the store.
async fn fetch_daemons<P: Platform>(store: &RelayedStore<P>, leader: &watch::Receiver<LeaderView>) {
    let Some((_, address)) = leader.borrow().remote_leader() else { return };
    let limit = Duration::from_millis(PROBE_LIMIT_MS);
    match store.peers.call::<DaemonReply>(&address, &DaemonCall::Daemons, limit).await {
        Ok(DaemonReply::Daemons(daemons)) => {
            if let Some(daemons) = decode::<Vec<DaemonInfo>>("list of daemons", &daemons) {
                store.state.set_daemons(daemons);
            }
        }
        reply => tracing::debug!(address, ?reply, "cannot fetch the list of daemons"),
    }
}

/// Probes the own path. Returns the outcome, `None` if no answer came in time, and whether the
/// store answered another daemon meanwhile.
async fn probe<P: Platform>(
    store: &Arc<RelayedStore<P>>,
    has_failed: bool,
) -> (Option<OwnOutcome>, bool) {
    let began = Instant::now();
    let read = async { own_outcome(&store.own.read(Table::Duty, LEADER_LEASE_KEY).await) };
    let mut own = pin!(timeout(PROBE_TIMEOUT, read));
    if has_failed {
        return (own.await.ok(), false);
    }
    let others_answered = tokio::select! {
        biased;
        outcome = &mut own => return (outcome.ok(), false),
        others_answered = store_answers_others(store) => others_answered,
    };
    if !others_answered {
        return (own.await.ok(), false);
    }
    let grace = GRACE_MIN.max(began.elapsed() * GRACE_FACTOR);
    match timeout(grace, own).await {
        Ok(Ok(outcome)) => (Some(outcome), true),
        Ok(Err(_)) | Err(_) => (None, true),
    }
}

/// Asks some daemons whether the store answers them, and records which of them relay calls. Returns
/// whether one of them does, as soon as that is known.
async fn store_answers_others<P: Platform>(store: &Arc<RelayedStore<P>>) -> bool {
    let addresses = store.state.paths().witnesses(steady_ms(), WITNESSES);
    let mut probes = JoinSet::new();
    for address in addresses {
        let store = Arc::clone(store);
        probes.spawn(async move {
            let outcome = store.probe_relay(&address).await;
            store.state.paths().record_relay(&address, outcome, steady_ms());
            outcome
        });
    }
    while let Some(outcome) = probes.join_next().await {
        if matches!(outcome, Ok(RelayOutcome::Answered)) {
            // The others may relay calls as well, and take part of them if there are many.
            probes.detach_all();
            return true;
        }
    }
    false
}

fn report<P: Platform>(store: &RelayedStore<P>, change: PathChange, outcome: Option<OwnOutcome>) {
    let leads = store.state.leads();
    match change {
        PathChange::Failed => {
            if outcome.is_none() {
                store.state.silences.send_modify(|count| *count += 1);
            }
            let outcome = outcome.map_or("silent", |outcome| match outcome {
                OwnOutcome::Answered => "answered",
                OwnOutcome::Refused => "refused",
                OwnOutcome::NoAnswer => "reset",
            });
            tracing::warn!(
                target: BELIEF_TARGET,
                leads, outcome,
                "own path to the store lost: calls go through other daemons"
            );
            metrics::gauge!("stoatwell_store_relaying").set(1.0);
        }
        PathChange::Regained { failed_ms } => {
            tracing::info!(target: BELIEF_TARGET, leads, failed_ms, "own path to the store regained");
            metrics::gauge!("stoatwell_store_relaying").set(0.0);
        }
    }
}
