//! Watches the store for the leader: jobs, cancellations, workers and daemons.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Event;
use stoatwell_pool::JobSpec;

use crate::advisor_dispatcher::AdvisorDispatcher;
use crate::clock::steady_ms;
use crate::daemons::DaemonInfo;
use crate::daemons::parse_daemons;
use crate::election::is_underprovisioned;
use crate::executors::Executors;
use crate::gateway::Gateway;
use crate::health::StoreHealth;
use crate::hedge::hedge;
use crate::inbox::InboxSender;
use crate::job_rows::read_cancellation;
use crate::job_rows::read_row;
use crate::peers::DaemonCall;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Rows;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::WorkerChanges;
use crate::table_reader::TableReader;
use crate::worker_list::WorkerList;

/// How long the store holds a poll for changes open when there are none.
const POLL_WAIT_MS: u64 = 1_500;
/// Time after which a read of a list without an answer is made once more.
const HEDGE_AFTER: Duration = Duration::from_millis(500);
/// Delay before a failed read or poll is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay between two polls for changes to jobs. Daemons notify the leader of the jobs they
/// accept; the store's change feed only has to deliver those whose notification was lost,
/// and each call to it has a price.
const JOBS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a whole table of jobs is read because the store has no history of its changes.
const WHOLE_READ_DELAY: Duration = Duration::from_secs(1);
/// Delay between two polls for changes to the list of workers, which changes with each
/// worker heartbeat.
const WORKERS_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How often the leader reads the list of daemons.
const DAEMONS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Age of the view of the list of workers from which on it counts as out of date. A worker
/// that leaves announces it a few seconds before.
const WORKERS_AGE_MAX_MS: u64 = 2_000;

/// Reads the stored state and watches it for changes, for one leader.
#[derive(Debug)]
pub(crate) struct StoreWatcher<P> {
    /// The store that is watched.
    pub platform: Arc<P>,
    /// Health of the store.
    pub health: Arc<StoreHealth>,
    /// Sends the changes to the leader.
    pub inbox_sender: InboxSender,
}

impl<P: Platform> StoreWatcher<P> {
    /// Reads the list of workers, retrying until the store answers.
    pub async fn workers(&self) -> WorkerChanges {
        self.retry_until_ok(|| self.platform.workers()).await
    }

    /// Reads the list of daemons, retrying until the store answers.
    pub async fn daemons(&self) -> Vec<DaemonInfo> {
        parse_daemons(&self.retry_until_ok(|| self.platform.read_all(Table::Daemons)).await.rows)
    }

    /// Reads a table at a version or later.
    pub async fn read_at_least(&self, table: Table, version: u64, reread_delay: Duration) -> Rows {
        let reader = TableReader::new(&self.platform, &self.health, table);
        reader.read_at_least(version, reread_delay).await
    }

    /// Polls a table for changes after a version, and forwards each new row to the leader's
    /// inbox.
    pub async fn watch_table(self: Arc<Self>, table: Table, mut after: u64) {
        loop {
            let poll = self.platform.poll_changes(table, after, POLL_WAIT_MS);
            let (rows, source) = match self.health.track_read(poll).await {
                Ok(rows) => (rows, CancelSource::ChangeFeed),
                Err(StoreError::HistoryLost) => {
                    // The table has the jobs of some minutes, and a store that drops its history
                    // may do so again and again.
                    tracing::warn!(%table, after, "store no longer has the change history; reading the whole table");
                    tokio::time::sleep(WHOLE_READ_DELAY).await;
                    let rows = self.read_at_least(table, after, WHOLE_READ_DELAY).await;
                    tracing::info!(target: BELIEF_TARGET, %table, after, found = rows.version, "whole table read");
                    (rows, CancelSource::WholeRead)
                }
                Err(error) => {
                    tracing::warn!(%table, %error, "polling a table for changes failed; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            after = rows.version;
            for row in &rows.rows {
                self.forward_row(table, row, source);
            }
            if table == Table::Jobs {
                self.inbox_sender.notify(Event::JobsRead { version: after });
            }
            if !rows.has_more {
                tokio::time::sleep(JOBS_POLL_INTERVAL).await;
            }
        }
    }

    fn forward_row(&self, table: Table, row: &Row, source: CancelSource) {
        if row.value.is_none() {
            return;
        }
        match table {
            Table::Jobs => {
                let Some((job, spec)) = read_row::<JobSpec>(row) else { return };
                self.inbox_sender.notify(Event::Accepted { job, spec: Arc::new(spec) });
            }
            Table::Cancels => {
                let Some((job, cancellation)) = read_cancellation(row) else { return };
                self.inbox_sender.notify(Event::Cancelled { job, cancellation, source });
            }
            Table::Progress | Table::Duty | Table::Daemons | Table::Fences => {}
        }
    }

    /// Polls the list of workers for changes after a version, and forwards those that matter to
    /// the leader's inbox.
    ///
    /// With thousands of workers, one response cannot hold all changes of an interval. The next
    /// poll then follows at once, or the view of the list would fall further and further behind.
    pub async fn watch_workers(self: Arc<Self>, mut list: WorkerList, mut after: u64) {
        let mut is_out_of_date = false;
        loop {
            let sent_ms = steady_ms();
            let polled = self.health.track_read(self.platform.poll_worker_changes(after, 0)).await;
            let has_more = polled.as_ref().is_ok_and(|changes| changes.has_more);
            let events = match polled {
                Ok(changes) => {
                    after = changes.version;
                    list.apply(changes, sent_ms, steady_ms())
                }
                Err(StoreError::HistoryLost) => self.reread_workers(&mut list, &mut after).await,
                Err(error) => {
                    tracing::warn!(%error, "polling the list of workers failed; retrying");
                    list.record_failure(steady_ms());
                    Vec::new()
                }
            };
            for event in events {
                self.inbox_sender.notify(event);
            }
            let now_ms = steady_ms();
            let age_ms = list.age_ms(now_ms);
            self.inbox_sender.notify(Event::WorkersRead { as_of_ms: now_ms - age_ms });
            if is_out_of_date != (age_ms > WORKERS_AGE_MAX_MS) {
                is_out_of_date = !is_out_of_date;
                tracing::warn!(age_ms, is_out_of_date, "list of workers");
            }
            if !has_more {
                tokio::time::sleep(WORKERS_POLL_INTERVAL).await;
            }
        }
    }

    /// Reads the whole list of workers after the store dropped the history of its changes. A
    /// list that is older than what is known is not used: it would reopen workers that leave.
    async fn reread_workers(&self, list: &mut WorkerList, after: &mut u64) -> Vec<Event> {
        tracing::warn!(
            after,
            "store no longer has the history of the list of workers; reading the list"
        );
        let sent_ms = steady_ms();
        let read = self.workers().await;
        if read.version < *after {
            tracing::warn!(
                after,
                found = read.version,
                "store returned a stale list of workers; reading again"
            );
            list.record_failure(steady_ms());
            return Vec::new();
        }
        *after = read.version;
        list.replace(read, sent_ms, steady_ms())
    }

    /// Tracks the daemons of the pool: queries to the advisor go through them, and each new
    /// one is notified of this leader. A daemon that is cut off from the store would not
    /// learn of the leader otherwise, and could not serve its callers.
    pub async fn track_daemons(
        self: Arc<Self>,
        advisor_dispatcher: Arc<AdvisorDispatcher<P>>,
        executors: Arc<Executors<P>>,
        gateway: Arc<Gateway<P>>,
        leader_notice: DaemonCall,
    ) {
        let mut notified = BTreeSet::new();
        loop {
            match self.health.track_read(self.platform.read_all(Table::Daemons)).await {
                Ok(rows) => {
                    let daemons = parse_daemons(&rows.rows);
                    let addresses = advisor_dispatcher.update_daemons(&daemons);
                    let candidates =
                        daemons.iter().filter(|daemon| !is_underprovisioned(daemon.cores));
                    gateway.set_daemon_counts(addresses.len() as u32, candidates.count() as u32);
                    executors.update_daemons(daemons);
                    for address in addresses {
                        if notified.insert(address.clone()) {
                            advisor_dispatcher.notify(address, leader_notice.clone());
                        }
                    }
                }
                Err(error) => tracing::debug!(%error, "listing the daemons failed; retrying"),
            }
            tokio::time::sleep(DAEMONS_POLL_INTERVAL).await;
        }
    }

    /// Retries a read of a list until it succeeds; the store may be down while this daemon leads.
    async fn retry_until_ok<T, F>(&self, call: impl Fn() -> F) -> T
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        loop {
            match hedge(HEDGE_AFTER, || self.health.track_read(call())).await {
                Ok(value) => return value,
                Err(error) => {
                    tracing::warn!(%error, "reading state from the store failed; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
