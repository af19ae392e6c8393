//! Leader election: watches the leader lease in the store and claims it when it is free.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_peer::Peers;
use tokio::sync::mpsc;

use crate::NodeSettings;
use crate::advisor_dispatcher::AdvisorDispatcher;
use crate::announce::announce;
use crate::clock::steady_ms;
use crate::clock::unix_ms;
use crate::commit::HeldLease;
use crate::commit::LEADER_LEASE_KEY;
use crate::commit::encode;
use crate::election::Candidate;
use crate::election::LeaderLease;
use crate::election::LeaderLeaseView;
use crate::election::is_underprovisioned;
use crate::gateway::Gateway;
use crate::health::StoreHealth;
use crate::leader::Leader;
use crate::liveness::Liveness;
use crate::message::SchedulerRequest;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;

/// Maximum time that a poll of the lease row waits for a change.
const LEASE_POLL_WAIT_MS: u64 = 1_000;
/// Delay between polls of the lease row on a daemon that is unlikely to lead, while the
/// leader reports that it is healthy.
const LEASE_POLL_DELAY: Duration = Duration::from_secs(2);
/// Delay before a failed poll is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum requests queued for the scheduler.
const REQUEST_QUEUE_MAX: usize = 1_024;

/// Takes part in leader election for the lifetime of a daemon.
#[derive(Debug)]
pub struct LeaderElector<P> {
    /// This daemon's name, address and capacity.
    pub settings: NodeSettings,
    /// The store that holds the lease.
    pub platform: Arc<P>,
    /// Health of the store.
    pub health: Arc<StoreHealth>,
    /// Receives each change of leader.
    pub gateway: Arc<Gateway<P>>,
    /// Passed to the scheduler while this daemon leads.
    pub advisor_dispatcher: Arc<AdvisorDispatcher<P>>,
    /// Client for calls to other daemons.
    pub peers: Peers,
    /// Becomes true when the daemon stops.
    pub stop: tokio::sync::watch::Receiver<bool>,
    /// Publishes the channel for requests to the scheduler while this daemon leads, `None`
    /// otherwise.
    pub local_scheduler: tokio::sync::watch::Sender<Option<mpsc::Sender<SchedulerRequest>>>,
}

impl<P: Platform> LeaderElector<P> {
    /// Watches the lease, and leads whenever it is acquired, until the daemon stops.
    pub async fn run(self) {
        let mut stop = self.stop.clone();
        let incarnation = unix_ms();
        let announcement =
            tokio::spawn(announce(Arc::clone(&self.platform), self.settings.clone()));
        let mut view = LeaderLeaseView::new(steady_ms());
        let mut read_version = None;
        loop {
            if *stop.borrow() {
                break;
            }
            let polled = tokio::select! {
                polled = self.poll_lease(&mut view, &mut read_version) => polled,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            if !polled || steady_ms() < self.claim_due_ms(&view) {
                tokio::select! {
                    () = self.delay_next_poll(&view) => {}
                    _ = stop.wait_for(|stop| *stop) => break,
                }
                continue;
            }
            let held = match self.claim(&view, incarnation).await {
                Ok(held) => held,
                Err(StoreError::Conflict(_)) => continue,
                Err(_) => {
                    view.record_store_failure(steady_ms());
                    continue;
                }
            };
            self.lead(held).await;
            view = LeaderLeaseView::new(steady_ms());
            read_version = None;
        }
        announcement.abort();
        self.withdraw().await;
    }

    /// Removes this daemon's row, so that no more calls are sent through it.
    async fn withdraw(&self) {
        let remove = vec![(Table::Daemons, self.settings.name.clone())];
        let transaction = Transaction { remove, ..Transaction::default() };
        if let Err(error) = self.platform.transact(&transaction).await {
            tracing::warn!(%error, "removing this daemon's row failed; calls through it will fail");
        }
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            name: self.settings.name.clone(),
            cores: self.settings.cores,
            link_mbps: self.settings.link_mbps,
            store_latency_ms: self.health.latency_ms(),
        }
    }

    /// The earliest time at which this daemon may claim the lease.
    fn claim_due_ms(&self, view: &LeaderLeaseView) -> u64 {
        view.claim_due_ms(&self.candidate(), self.gateway.leader_liveness(view.epoch()))
    }

    /// Reads the lease row once, waiting for a change as long as no claim is due. `false` if
    /// the row was not read, or the liveness of the leader changed meanwhile.
    ///
    /// `read_version` is the store's version of the last read, after which changes are polled.
    /// It is `None` if the next read has to be a full one.
    async fn poll_lease(&self, view: &mut LeaderLeaseView, read_version: &mut Option<u64>) -> bool {
        let liveness = self.gateway.leader_liveness(view.epoch());
        let mut leader = self.gateway.subscribe_leader();
        let epoch = view.epoch();
        let result = match *read_version {
            None => self.health.track_read(self.read_lease(read_version)).await,
            Some(version) => tokio::select! {
                changes = self.health.track_read(self.poll_lease_changes(version, view, read_version)) => changes,
                // A claim may be due earlier now.
                _ = leader.wait_for(|view| view.liveness_of(epoch) != liveness) => return false,
            },
        };
        match result {
            Ok(None) => true,
            Ok(Some(row)) => {
                view.observe(row, steady_ms());
                self.publish_leader(view);
                true
            }
            Err(StoreError::HistoryLost) => {
                *read_version = None;
                false
            }
            Err(error) => {
                tracing::debug!(%error, "polling the leader lease failed; retrying");
                view.record_store_failure(steady_ms());
                tokio::time::sleep(RETRY_DELAY).await;
                false
            }
        }
    }

    /// Delays the next poll of the lease row if enough other daemons would notice the failure
    /// of its holder first. The row changes with each renewal, and polling it makes up most of
    /// the store's load from hundreds of daemons.
    async fn delay_next_poll(&self, view: &LeaderLeaseView) {
        let epoch = view.epoch();
        let is_healthy = |liveness| liveness == Liveness::Healthy;
        if !is_underprovisioned(self.settings.cores)
            || !self.gateway.has_enough_candidates()
            || !is_healthy(self.gateway.leader_liveness(epoch))
        {
            return;
        }
        let mut leader = self.gateway.subscribe_leader();
        let unhealthy = leader.wait_for(|view| !is_healthy(view.liveness_of(epoch)));
        tokio::select! {
            _ = unhealthy => {}
            () = tokio::time::sleep(LEASE_POLL_DELAY) => {}
        }
    }

    async fn read_lease(
        &self,
        read_version: &mut Option<u64>,
    ) -> Result<Option<Option<(LeaderLease, u64)>>, StoreError> {
        let sent_ms = steady_ms();
        let rows = self.platform.read_all(Table::Duty).await?;
        self.health.record_read_latency(steady_ms().saturating_sub(sent_ms));
        *read_version = Some(rows.version);
        Ok(Some(rows.rows.iter().find_map(parse_lease_row)))
    }

    async fn poll_lease_changes(
        &self,
        version: u64,
        view: &LeaderLeaseView,
        read_version: &mut Option<u64>,
    ) -> Result<Option<Option<(LeaderLease, u64)>>, StoreError> {
        let due_ms = self.claim_due_ms(view).saturating_sub(steady_ms());
        let wait_ms = due_ms.min(LEASE_POLL_WAIT_MS);
        let rows = self.platform.poll_changes(Table::Duty, version, wait_ms).await?;
        *read_version = Some(rows.version);
        let newest = rows.rows.iter().rev().find(|row| row.key == LEADER_LEASE_KEY);
        Ok(newest.map(parse_lease_row))
    }

    fn publish_leader(&self, view: &LeaderLeaseView) {
        let Some((row, _)) = &view.row else { return };
        let address = (!row.released).then(|| row.address.clone());
        self.gateway.observe_leader(row.epoch, address);
    }

    async fn claim(
        &self,
        view: &LeaderLeaseView,
        incarnation: u64,
    ) -> Result<HeldLease, StoreError> {
        let (version, epoch) = view.next_epoch();
        let row = LeaderLease {
            holder: self.settings.name.clone(),
            incarnation,
            address: self.settings.address.clone(),
            epoch,
            beat: 0,
            released: false,
            earlier_extends_ms: view.earlier_extends_ms(&self.settings.name, steady_ms()),
            // The times count from the claim on, since the age of the row is not known.
            silent_leases: view.silent_leases(),
        };
        let transaction = Transaction {
            expect: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), version)],
            put: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), encode(&row))],
            remove: Vec::new(),
        };
        match self.health.track_write(self.platform.transact(&transaction)).await {
            Ok(version) => {
                // The previous holder; the name is the key in the log line.
                let before = view.row.as_ref().map(|(row, _)| row.holder.as_str());
                let silent_ms = steady_ms().saturating_sub(view.changed_ms);
                let liveness = self.gateway.leader_liveness(view.epoch());
                let renewal_gap_ms = view.renewal_gap_ms;
                let earlier_extends_ms = row.earlier_extends_ms;
                let silent_workers = row.silent_leases.len();
                tracing::info!(
                    target: BELIEF_TARGET,
                    epoch,
                    before,
                    silent_ms,
                    %liveness,
                    renewal_gap_ms,
                    earlier_extends_ms,
                    silent_workers,
                    "duty taken over"
                );
                Ok(HeldLease { row, version, acquired_ms: steady_ms() })
            }
            Err(error) => {
                // A claim without response may still succeed; the next poll shows whether it did.
                tracing::info!(epoch, %error, "claim of the leader lease failed");
                Err(error)
            }
        }
    }

    async fn lead(&self, lease: HeldLease) {
        let epoch = lease.row.epoch;
        let (requests, received_requests) = mpsc::channel(REQUEST_QUEUE_MAX);
        self.gateway.observe_leader(epoch, Some(self.settings.address.clone()));
        self.gateway.set_local_leader(Some(requests.clone()));
        self.local_scheduler.send_replace(Some(requests));
        let leader = Leader {
            platform: Arc::clone(&self.platform),
            lease,
            limits: self.settings.limits,
            health: Arc::clone(&self.health),
            advisor_dispatcher: Arc::clone(&self.advisor_dispatcher),
            peers: self.peers.clone(),
            gateway: Arc::clone(&self.gateway),
            own_info: self.settings.own_info(),
            requests: received_requests,
            stop: self.stop.clone(),
        };
        leader.run().await;
        self.local_scheduler.send_replace(None);
        self.gateway.observe_leader(epoch, None);
        self.gateway.set_local_leader(None);
        tracing::info!(target: BELIEF_TARGET, epoch, "duty ended");
    }
}

fn parse_lease_row(row: &Row) -> Option<(LeaderLease, u64)> {
    let value = row.value.as_ref().filter(|_| row.key == LEADER_LEASE_KEY)?;
    match serde_json::from_slice(value) {
        Ok(lease) => Some((lease, row.version)),
        Err(error) => {
            tracing::warn!(%error, "leader lease row cannot be parsed; treating it as absent");
            None
        }
    }
}
