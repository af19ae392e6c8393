//! Watches the duty, and takes it over when it is free.

use std::sync::Arc;
use std::time::Duration;

use stoatwell_peer::Peers;
use tokio::sync::mpsc;

use crate::NodeSettings;
use crate::advisor_dispatcher::AdvisorDispatcher;
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
use crate::leader_view::Liveness;
use crate::message::Query;
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::Transaction;

/// How long a look at the duty's row waits for a change.
const LOOK_WAIT_MS: u64 = 1_000;
/// How long a daemon that hardly ever leads leaves the duty's row alone while the leader
/// says that it is well.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// After a look that failed.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// How often a daemon tries to announce itself.
const ANNOUNCE_TRIES: u32 = 40;
/// Questions to the scheduler that wait at one time.
const QUERIES_MAX: usize = 1_024;

/// Follows the duty for the whole life of a daemon.
#[derive(Debug)]
pub struct Watch<O> {
    /// Who this daemon is.
    pub settings: NodeSettings,
    /// The outside world.
    pub outside: Arc<O>,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// Told who schedules.
    pub gateway: Arc<Gateway<O>>,
    /// Told which daemons there are.
    pub advisors: Arc<AdvisorDispatcher<O>>,
    /// The way to other daemons.
    pub peers: Peers,
    /// Fires when the daemon stops.
    pub stop: tokio::sync::watch::Receiver<bool>,
    /// Told whether this daemon schedules.
    pub leading: tokio::sync::watch::Sender<Option<mpsc::Sender<Query>>>,
}

impl<O: Outside> Watch<O> {
    /// Watches, and schedules whenever the duty is won, until the daemon stops.
    pub async fn run(self) {
        let mut stop = self.stop.clone();
        let incarnation = unix_ms();
        tokio::spawn(announce(
            Arc::clone(&self.outside),
            Arc::clone(&self.health),
            self.settings.clone(),
        ));
        let mut view = LeaderLeaseView::new(steady_ms());
        let mut after = None;
        loop {
            if *stop.borrow() {
                break;
            }
            let looked = tokio::select! {
                looked = self.look(&mut view, &mut after) => looked,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            if !looked || steady_ms() < self.claim_ms(&view) {
                tokio::select! {
                    () = self.rest(&view) => {}
                    _ = stop.wait_for(|stop| *stop) => break,
                }
                continue;
            }
            let held = match self.claim(&view, incarnation).await {
                Ok(held) => held,
                Err(StoreError::Conflict(_)) => continue,
                Err(_) => {
                    view.note_unwritable(steady_ms());
                    continue;
                }
            };
            self.lead(held).await;
            view = LeaderLeaseView::new(steady_ms());
            after = None;
        }
        self.withdraw().await;
    }

    /// Takes this daemon's row away; nothing is asked through it any more.
    async fn withdraw(&self) {
        let remove = vec![(Table::Daemons, self.settings.name.clone())];
        let transaction = Transaction { remove, ..Transaction::default() };
        if let Err(error) = self.outside.transact(&transaction).await {
            tracing::warn!(%error, "this daemon's row stays; calls through it will fail");
        }
    }

    fn fitness(&self) -> Candidate {
        Candidate {
            name: self.settings.name.clone(),
            cores: self.settings.cores,
            link_mbps: self.settings.link_mbps,
            store_answer_ms: self.health.answer_ms(),
        }
    }

    fn claim_ms(&self, view: &LeaderLeaseView) -> u64 {
        view.claim_ms(&self.fitness(), self.gateway.scheduler_liveness(view.epoch()))
    }

    /// Looks at the duty's row once, waiting for a change as long as no claim is due.
    async fn look(&self, view: &mut LeaderLeaseView, after: &mut Option<u64>) -> bool {
        let liveness = self.gateway.scheduler_liveness(view.epoch());
        let mut scheduler = self.gateway.watch_scheduler();
        let epoch = view.epoch();
        let result = match *after {
            None => self.health.read(self.read_duty(after)).await,
            Some(version) => tokio::select! {
                followed = self.health.read(self.follow_duty(version, view, after)) => followed,
                // A claim may be due sooner now.
                _ = scheduler.wait_for(|view| view.liveness_of(epoch) != liveness) => return false,
            },
        };
        match result {
            Ok(None) => true,
            Ok(Some(row)) => {
                view.observe(row, steady_ms());
                self.notify_gateway(view);
                true
            }
            Err(StoreError::HistoryLost) => {
                *after = None;
                false
            }
            Err(error) => {
                tracing::debug!(%error, "the duty cannot be looked at");
                view.note_unwritable(steady_ms());
                tokio::time::sleep(LOOK_PAUSE).await;
                false
            }
        }
    }

    /// Leaves the row alone for a while, if others are there to miss its holder first. The
    /// row changes with each renewal, and to follow it is most of what hundreds of daemons
    /// ask of the store.
    async fn rest(&self, view: &LeaderLeaseView) {
        let epoch = view.epoch();
        let well = |liveness| liveness == Liveness::Healthy;
        if !is_underprovisioned(self.settings.cores)
            || !self.gateway.are_others_fit()
            || !well(self.gateway.scheduler_liveness(epoch))
        {
            return;
        }
        let mut scheduler = self.gateway.watch_scheduler();
        let unwell = scheduler.wait_for(|view| !well(view.liveness_of(epoch)));
        tokio::select! {
            _ = unwell => {}
            () = tokio::time::sleep(LOOK_EVERY) => {}
        }
    }

    async fn read_duty(
        &self,
        after: &mut Option<u64>,
    ) -> Result<Option<Option<(LeaderLease, u64)>>, StoreError> {
        let rows = self.outside.read_all(Table::Duty).await?;
        *after = Some(rows.version);
        Ok(Some(rows.rows.iter().find_map(duty_row)))
    }

    async fn follow_duty(
        &self,
        version: u64,
        view: &LeaderLeaseView,
        after: &mut Option<u64>,
    ) -> Result<Option<Option<(LeaderLease, u64)>>, StoreError> {
        let due_ms = self.claim_ms(view).saturating_sub(steady_ms());
        let wait_ms = due_ms.min(LOOK_WAIT_MS);
        let rows = self.outside.follow(Table::Duty, version, wait_ms).await?;
        *after = Some(rows.version);
        let newest = rows.rows.iter().rev().find(|row| row.key == LEADER_LEASE_KEY);
        Ok(newest.map(duty_row))
    }

    fn notify_gateway(&self, view: &LeaderLeaseView) {
        let Some((row, _)) = &view.row else { return };
        let address = (!row.released).then(|| row.address.clone());
        self.gateway.saw_scheduler(row.epoch, address);
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
        };
        let transaction = Transaction {
            expect: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), version)],
            put: vec![(Table::Duty, LEADER_LEASE_KEY.to_owned(), encode(&row))],
            remove: Vec::new(),
        };
        match self.health.write(self.outside.transact(&transaction)).await {
            Ok(version) => {
                let before = view.row.as_ref().map(|(row, _)| row.holder.as_str());
                let silent_ms = steady_ms().saturating_sub(view.changed_ms);
                let earlier_extends_ms = row.earlier_extends_ms;
                tracing::info!(epoch, before, silent_ms, earlier_extends_ms, "duty taken over");
                Ok(HeldLease { row, version, acquired_ms: steady_ms() })
            }
            Err(error) => {
                // Without an answer the claim may still succeed; the next look tells.
                tracing::info!(epoch, %error, "duty not taken over");
                Err(error)
            }
        }
    }

    async fn lead(&self, lease: HeldLease) {
        let epoch = lease.row.epoch;
        let (queries, inbox) = mpsc::channel(QUERIES_MAX);
        self.gateway.saw_scheduler(epoch, Some(self.settings.address.clone()));
        self.gateway.set_scheduler_here(Some(queries.clone()));
        self.leading.send_replace(Some(queries));
        let lead = Leader {
            outside: Arc::clone(&self.outside),
            lease,
            limits: self.settings.limits,
            health: Arc::clone(&self.health),
            advisors: Arc::clone(&self.advisors),
            peers: self.peers.clone(),
            gateway: Arc::clone(&self.gateway),
            member: self.settings.member(),
            queries: inbox,
            stop: self.stop.clone(),
        };
        lead.run().await;
        self.leading.send_replace(None);
        self.gateway.saw_scheduler(epoch, None);
        self.gateway.set_scheduler_here(None);
        tracing::info!(epoch, "duty ended");
    }
}

/// Tells other daemons where this one is, so that the scheduler can ask the advisor
/// through it.
async fn announce<O: Outside>(outside: Arc<O>, health: Arc<StoreHealth>, settings: NodeSettings) {
    let put = vec![(Table::Daemons, settings.name.clone(), encode(&settings.member()))];
    let transaction = Transaction { put, ..Transaction::default() };
    for _ in 0..ANNOUNCE_TRIES {
        match health.write(outside.transact(&transaction)).await {
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "this daemon cannot be announced yet"),
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

fn duty_row(row: &Row) -> Option<(LeaderLease, u64)> {
    let value = row.value.as_ref().filter(|_| row.key == LEADER_LEASE_KEY)?;
    match serde_json::from_slice(value) {
        Ok(duty) => Some((duty, row.version)),
        Err(error) => {
            tracing::warn!(%error, "the duty's row cannot be read");
            None
        }
    }
}
