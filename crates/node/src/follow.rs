//! What the scheduler follows in the store: jobs, cancellations, workers, daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;

use crate::advisor_dispatcher::AdvisorDispatcher;
use crate::clock::steady_ms;
use crate::election::is_underprovisioned;
use crate::executors::Executors;
use crate::gateway::Gateway;
use crate::health::StoreHealth;
use crate::inbox::InboxSender;
use crate::members::read_members;
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::Rows;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::WorkerChanges;
use crate::peers::NodeCall;

/// How long a question for changes waits at the store.
const FOLLOW_WAIT_MS: u64 = 1_500;
/// After a question for changes that failed.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// Between two questions for changes to jobs. Daemons tell the scheduler of
/// what they accept; the store's feed brings what they could not tell, and its
/// calls are priced.
const JOBS_PAUSE: Duration = Duration::from_millis(250);
/// Between two questions for changes to the list of workers, which changes
/// with each of their heartbeats.
const WORKERS_PAUSE: Duration = Duration::from_millis(400);
/// How often the scheduler reads which daemons there are.
const DAEMONS_EVERY: Duration = Duration::from_secs(2);
/// Workers that are missing from the list are taken for gone only after the
/// list was readable for this long: entries come back late after an outage.
const MISSING_GRACE_MS: u64 = 2_500;

/// Reads and follows what lasts, for one scheduler.
#[derive(Debug)]
pub(crate) struct Follower<O> {
    /// The outside world.
    pub outside: Arc<O>,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// The scheduler's inbox.
    pub messages: InboxSender,
}

impl<O: Outside> Follower<O> {
    /// Reads the list of workers.
    pub async fn workers(&self) -> WorkerChanges {
        self.persist(|| self.outside.workers()).await
    }

    /// Reads the list of workers, and opens the way to those that the leader does not
    /// call by itself.
    pub async fn workers_and_executors(&self, executors: &Executors<O>) -> WorkerChanges {
        let daemons = self.persist(|| self.outside.read_all(Table::Daemons));
        let (workers, daemons) = tokio::join!(self.workers(), daemons);
        let mut zones = BTreeMap::new();
        for listed in &workers.listed {
            *zones.entry(listed.zone.clone()).or_default() += 1;
        }
        executors.update_members(read_members(&daemons.rows));
        executors.update_workers(zones);
        workers
    }

    /// Reads a table as it is at a version or later.
    ///
    /// A store that lags behind may answer with what was there before the duty was
    /// claimed. The former scheduler wrote until then; a start of its that is missing
    /// from what is read would be made again.
    pub async fn read_since(&self, table: Table, version: u64) -> Rows {
        loop {
            let rows = self.persist(|| self.outside.read_all(table)).await;
            if rows.version >= version {
                return rows;
            }
            tracing::warn!(%table, version, found = rows.version, "the store answers with an old state");
            tokio::time::sleep(FOLLOW_PAUSE).await;
        }
    }

    /// Tells the scheduler of each new row of a table.
    pub async fn follow(self: Arc<Self>, table: Table, mut after: u64) {
        loop {
            let changes = self.outside.follow(table, after, FOLLOW_WAIT_MS);
            let rows = match self.health.read(changes).await {
                Ok(rows) => rows,
                Err(StoreError::HistoryLost) => {
                    tracing::warn!(%table, after, "the store dropped the history, the table is read anew");
                    self.persist(|| self.outside.read_all(table)).await
                }
                Err(error) => {
                    tracing::warn!(%table, %error, "changes cannot be followed");
                    tokio::time::sleep(FOLLOW_PAUSE).await;
                    continue;
                }
            };
            after = rows.version;
            for row in &rows.rows {
                self.forward_row(table, row);
            }
            tokio::time::sleep(JOBS_PAUSE).await;
        }
    }

    fn forward_row(&self, table: Table, row: &Row) {
        if row.value.is_none() {
            return;
        }
        match table {
            Table::Jobs => {
                let Some((job, spec)) = read_row::<JobSpec>(row) else { return };
                self.messages.notify(Event::Accepted { job, spec: Arc::new(spec) });
            }
            Table::Cancels => {
                let Ok(job) = row.key.parse() else { return };
                self.messages.notify(Event::Cancelled { job });
            }
            Table::Progress | Table::Duty | Table::Daemons | Table::Fences => {}
        }
    }

    /// Tells the scheduler of each change to the list of workers.
    pub async fn follow_workers(self: Arc<Self>, mut after: u64) {
        let mut missing: BTreeMap<WorkerId, u64> = BTreeMap::new();
        let mut readable_since_ms = steady_ms();
        loop {
            let changes = match self.health.read(self.outside.follow_workers(after, 0)).await {
                Ok(changes) => changes,
                // What left meanwhile is not in the new reading; its silence tells.
                Err(StoreError::HistoryLost) => self.workers().await,
                Err(error) => {
                    tracing::warn!(%error, "the list of workers cannot be followed");
                    tokio::time::sleep(FOLLOW_PAUSE).await;
                    readable_since_ms = steady_ms();
                    continue;
                }
            };
            after = changes.version;
            self.take_changes(changes, &mut missing);
            let now_ms = steady_ms();
            let gone = |at: &u64| {
                let since_ms = (*at).max(readable_since_ms);
                now_ms > since_ms + MISSING_GRACE_MS
            };
            for worker in missing.extract_if(.., |_, at| gone(at)).map(|(worker, _)| worker) {
                self.messages.notify(Event::Unlisted { worker });
            }
            tokio::time::sleep(WORKERS_PAUSE).await;
        }
    }

    fn take_changes(&self, changes: WorkerChanges, missing: &mut BTreeMap<WorkerId, u64>) {
        for worker in changes.unlisted {
            missing.insert(worker, steady_ms());
        }
        for listed in changes.listed {
            missing.remove(&listed.worker);
            self.messages.notify(Event::Listed(listed));
        }
    }

    /// Keeps in mind which daemons there are: the advisor can be asked through them,
    /// and they are told who schedules. One that is cut off from the store would not
    /// learn it otherwise, and could answer its callers nothing.
    pub async fn track_members(
        self: Arc<Self>,
        advisors: Arc<AdvisorDispatcher<O>>,
        executors: Arc<Executors<O>>,
        gateway: Arc<Gateway<O>>,
        leads: NodeCall,
    ) {
        let mut told = BTreeSet::new();
        loop {
            match self.health.read(self.outside.read_all(Table::Daemons)).await {
                Ok(rows) => {
                    let members = read_members(&rows.rows);
                    let known = advisors.update_members(&members);
                    let fit = members.iter().filter(|one| !is_underprovisioned(one.cores));
                    gateway.set_daemons(known.len() as u32, fit.count() as u32);
                    executors.update_members(members);
                    self.messages.notify(Event::Advisors { count: known.len() });
                    for address in known {
                        if told.insert(address.clone()) {
                            advisors.notify(address, leads.clone());
                        }
                    }
                }
                Err(error) => tracing::debug!(%error, "the daemons cannot be listed"),
            }
            tokio::time::sleep(DAEMONS_EVERY).await;
        }
    }

    /// Tries until it succeeds; the store may be down while the duty is held.
    async fn persist<T, F>(&self, call: impl Fn() -> F) -> T
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        loop {
            match self.health.read(call()).await {
                Ok(value) => return value,
                Err(error) => {
                    tracing::warn!(%error, "state cannot be read back yet");
                    tokio::time::sleep(FOLLOW_PAUSE).await;
                }
            }
        }
    }
}

/// A row's job and value; what cannot be read is somebody else's and is left out.
pub(crate) fn read_row<T: serde::de::DeserializeOwned>(row: &Row) -> Option<(JobId, T)> {
    let value = row.value.as_ref()?;
    if let (Ok(id), Ok(value)) = (row.key.parse(), serde_json::from_slice(value)) {
        return Some((id, value));
    }
    tracing::warn!(key = row.key, version = row.version, "row cannot be read, left out");
    None
}
