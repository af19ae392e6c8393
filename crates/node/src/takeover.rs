//! Restores the pool of an earlier leader.
//!
//! A takeover takes hundreds of calls to the store, many of them one after another. In the queue
//! of an overloaded daemon's tasks each of them waits for the whole queue, and so does each pause
//! in the decoding of rows. So this work runs on a thread of its own, with its own connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use stoatwell_pool::CancelSource;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::Pool;
use stoatwell_pool::Progress;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::clock::unix_ms;
use crate::commit::Fence;
use crate::commit::claim_fences;
use crate::daemons::DaemonInfo;
use crate::health::StoreHealth;
use crate::inbox::InboxSender;
use crate::job_rows::read_cancellation;
use crate::job_rows::read_row;
use crate::platform::Platform;
use crate::platform::Table;
use crate::platform::WorkerChanges;
use crate::store_watcher::StoreWatcher;

/// Delay before partitions that are older than the claim are read again.
const STALE_REREAD_DELAY: Duration = Duration::from_millis(50);

/// What a takeover needs to know of the daemon that leads now.
#[derive(Debug)]
pub(crate) struct Takeover<P> {
    /// The store.
    pub platform: Arc<P>,
    /// Health of the store.
    pub health: Arc<StoreHealth>,
    /// The leader's inbox.
    pub inbox_sender: InboxSender,
    /// The fence of this leader.
    pub fence: Fence,
    /// The version of the lease's row as this daemon acquired it.
    pub lease_version: u64,
    /// How this daemon was elected.
    pub election: Election,
    /// Limits that the installation sets for the pool.
    pub limits: Limits,
    /// The customers of the newest manifest.
    pub customers: Vec<CustomerLimits>,
}

/// The lists that a takeover reads beside the rows of jobs.
#[derive(Debug)]
pub(crate) struct Lists {
    /// The workers.
    pub workers: WorkerChanges,
    /// The daemons of the pool.
    pub daemons: Vec<DaemonInfo>,
}

/// The state as the store has it once all partitions are fenced.
#[derive(Debug)]
pub(crate) struct Restored {
    /// The pool, without its workers.
    pub pool: Pool,
    /// The versions of the fences, by partition.
    pub fence_versions: Vec<u64>,
    /// The version from which to poll for changes to jobs.
    pub jobs_version: u64,
    /// The version from which to poll for changes to cancellations.
    pub cancels_version: u64,
    /// The number of jobs.
    pub jobs: usize,
    /// The number of jobs without a durable outcome.
    pub open: usize,
    /// How long the fences took.
    pub fences_ms: u64,
    /// How long the read of the tables took.
    pub read_ms: u64,
    /// How long the decoding of rows and the restoring of jobs took.
    pub restore_ms: u64,
}

impl<P: Platform> Takeover<P> {
    /// Fences the partitions and restores the pool, on another thread. `None` if a later leader
    /// has fenced a partition, or if the thread failed. The thread ends if this future is dropped.
    ///
    /// The lists of workers and daemons are sent as soon as they are read. No earlier leader
    /// writes them, so they need no fence.
    pub async fn run(self, lists_sender: oneshot::Sender<Lists>) -> Option<Restored> {
        let takeover = Self { platform: self.platform.with_own_connections(), ..self };
        let (mut restored_sender, restored) = oneshot::channel();
        let spawned = thread::Builder::new().name("takeover".to_owned()).spawn(move || {
            let runtime = match Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => {
                    tracing::error!(%error, "cannot restore the pool: no runtime");
                    return;
                }
            };
            let restored = runtime.block_on(async {
                tokio::select! {
                    biased;
                    () = restored_sender.closed() => None,
                    restored = takeover.restore(lists_sender) => restored,
                }
            });
            if restored_sender.send(restored).is_err() {
                tracing::debug!("the leadership ended before the pool was restored");
            }
        });
        if let Err(error) = spawned {
            tracing::error!(%error, "cannot restore the pool: no thread");
            return None;
        }
        restored.await.unwrap_or_else(|_closed| {
            tracing::error!("the thread that restores the pool ended early");
            None
        })
    }

    async fn restore(self, lists_sender: oneshot::Sender<Lists>) -> Option<Restored> {
        let store_watcher = StoreWatcher {
            platform: Arc::clone(&self.platform),
            health: Arc::clone(&self.health),
            inbox_sender: self.inbox_sender.clone(),
        };
        let send_lists = async {
            let (workers, daemons) = tokio::join!(store_watcher.workers(), store_watcher.daemons());
            if lists_sender.send(Lists { workers, daemons }).is_err() {
                tracing::debug!("the leadership ended before the lists of workers were read");
            }
        };
        tokio::join!(self.restore_pool(&store_watcher), send_lists).0
    }

    async fn restore_pool(&self, store_watcher: &StoreWatcher<P>) -> Option<Restored> {
        let started_ms = steady_ms();
        let fence_versions = claim_fences(&self.platform, &self.health, &self.fence).await?;
        let fenced_ms = steady_ms();
        let newest_fence = fence_versions.iter().copied().max().unwrap_or(0);
        let claimed_version = newest_fence.max(self.lease_version);
        let (jobs, cancels, progress) = tokio::join!(
            store_watcher.read_at_least(Table::Jobs, claimed_version, STALE_REREAD_DELAY),
            store_watcher.read_at_least(Table::Cancels, claimed_version, STALE_REREAD_DELAY),
            store_watcher.read_at_least(Table::Progress, claimed_version, STALE_REREAD_DELAY),
        );
        let read_ms = steady_ms();
        let mut pool = Pool::new(self.election.clone(), self.limits, steady_ms(), unix_ms());
        pool.handle(steady_ms(), unix_ms(), Event::Customers { limits: self.customers.clone() });
        let progress_by_job: HashMap<JobId, Progress> =
            progress.rows.iter().filter_map(read_row).collect();
        let mut specs: Vec<(JobId, JobSpec)> = jobs.rows.iter().filter_map(read_row).collect();
        // A customer's weight includes a rate of jobs. Which jobs exceed that rate depends on
        // their order of arrival.
        specs.sort_by_key(|(_, spec)| spec.accepted_unix_ms);
        let (job_count, mut open) = (specs.len(), 0);
        for (id, spec) in specs {
            let progress = progress_by_job.get(&id);
            open += usize::from(progress.is_none_or(|progress| progress.outcome.is_none()));
            pool.restore(id, Arc::new(spec), progress);
        }
        for (job, cancellation) in cancels.rows.iter().filter_map(read_cancellation) {
            let source = CancelSource::WholeRead;
            let event = Event::Cancelled { job, cancellation, source };
            pool.handle(steady_ms(), unix_ms(), event);
        }
        Some(Restored {
            pool,
            fence_versions,
            jobs_version: jobs.version,
            cancels_version: cancels.version,
            jobs: job_count,
            open,
            fences_ms: fenced_ms - started_ms,
            read_ms: read_ms - fenced_ms,
            restore_ms: steady_ms() - read_ms,
        })
    }
}
