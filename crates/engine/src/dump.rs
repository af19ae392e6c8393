//! A snapshot of a daemon's state for operators, without secrets.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_ledger::committer::CommitStats;
use stoatwell_membership::lease::LeaseState;
use stoatwell_model::DaemonId;
use stoatwell_model::JobState;
use stoatwell_model::Resources;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::GroupSummary;
use stoatwell_model::peer::Identity;
use stoatwell_placement::scheduler::Counters;
use stoatwell_settings::Settings;

use crate::Engine;

/// Maximum number of jobs listed individually.
const JOBS_SHOWN: usize = 50;

/// A snapshot of the state of one daemon.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The daemon's name, zone, region, peer address and incarnation.
    pub daemon: Identity,
    /// The daemon's clock.
    pub now_ms: u64,
    /// Whether it can serve callers and operators.
    pub ready: bool,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// The catalogue that it knows.
    pub catalogue: CatalogueDump,
    /// Workers of its zone, whichever daemon holds them.
    pub workers: Vec<WorkerDump>,
    /// The queue of each entry, with the reasons why its first job waits.
    pub queues: Vec<QueueDump>,
    /// Jobs that it coordinates.
    pub jobs: JobsDump,
    /// Slots of the minions on held workers, by minion group.
    pub minions: Vec<GroupSummary>,
    /// Requests without an outcome.
    pub requests: RequestsDump,
    /// Other daemons that it knows.
    pub peers: Vec<PeerDump>,
    /// Milliseconds since the last update from each other zone.
    pub zones_heard_ms: BTreeMap<ZoneName, u64>,
    /// Access to the platform's store.
    pub store: StoreDump,
    /// Counters of scheduling decisions since the daemon started.
    pub decisions: Counters,
    /// The settings, without secrets.
    pub settings: Settings,
}

/// The catalogue that a daemon knows.
#[derive(Debug, Serialize)]
pub struct CatalogueDump {
    /// The newest revision read from the store or from a peer.
    pub revision: u64,
    /// Milliseconds since the store last confirmed that this revision is the newest.
    pub age_ms: u64,
}

/// One worker of the daemon's zone.
#[derive(Debug, Serialize)]
pub struct WorkerDump {
    /// The worker's id.
    pub worker: WorkerId,
    /// Remaining time of this daemon's lease; `None` if it does not hold the worker.
    pub lease_left_ms: Option<u64>,
    /// The highest fencing token seen.
    pub token: u64,
    /// Total capacity.
    pub capacity: Resources,
    /// Capacity that is available to new work.
    pub free: Resources,
    /// Resources used by other software on the worker.
    pub foreign: Resources,
    /// Number of tasks placed on it.
    pub tasks: usize,
    /// Whether no new tasks are placed on it because of failures.
    pub quarantined: bool,
}

/// The queue of one entry and urgency.
#[derive(Debug, Serialize)]
pub struct QueueDump {
    /// The name of the entry.
    pub entry: String,
    /// The urgency of the queued jobs.
    pub urgency: Urgency,
    /// Number of queued jobs.
    pub jobs: usize,
    /// How long the first job has waited.
    pub front_waited_ms: u64,
    /// Why the first job waits.
    pub reasons: Vec<String>,
}

/// Jobs that a daemon coordinates.
#[derive(Debug, Serialize)]
pub struct JobsDump {
    /// Number of jobs in each state.
    pub by_state: BTreeMap<String, usize>,
    /// The first of them in the order of their ids.
    pub some: Vec<JobDump>,
}

/// One job that a daemon coordinates.
#[derive(Debug, Serialize)]
pub struct JobDump {
    /// The job's id.
    pub job: String,
    /// The name of its entry.
    pub entry: String,
    /// The state that callers see.
    pub state: JobState,
    /// Number of tasks in each phase.
    pub tasks: BTreeMap<&'static str, usize>,
}

/// Requests without an outcome.
#[derive(Debug, Serialize)]
pub struct RequestsDump {
    /// All requests, sent or waiting.
    pub all: usize,
    /// Requests that wait for a free slot.
    pub waiting: usize,
    /// Retries that the retry budget allows now.
    pub retries_left: u64,
}

/// What a daemon knows about another daemon.
#[derive(Debug, Serialize)]
pub struct PeerDump {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// IP and port for peer calls.
    pub address: String,
    /// Milliseconds since its last heartbeat; `None` if none was ever received.
    pub heard_ms_ago: Option<u64>,
    /// The catalogue revision in its last heartbeat.
    pub revision: u64,
    /// Whether its last heartbeat said that it is shutting down.
    pub stopping: bool,
}

/// A daemon's access to the platform's store.
#[derive(Debug, Serialize)]
pub struct StoreDump {
    /// Whether new work that has to be recorded is rejected.
    pub refusing: bool,
    /// Writes that are queued or in flight.
    pub backlog: usize,
    /// Counters of transactions and their results.
    pub commits: CommitStats,
    /// Milliseconds since the instance list was last read.
    pub listed_ms_ago: u64,
    /// Task reports that other daemons have not acknowledged yet.
    pub unreported: usize,
}

impl Engine {
    /// Takes a snapshot of the state of this daemon.
    pub fn dump(&mut self) -> Dump {
        let queues = self.dump_queues();
        let mut settings = self.settings.clone();
        "(hidden)".clone_into(&mut settings.security.peer_key);
        settings.security.operator_token_sha256.clear();
        Dump {
            daemon: self.me.clone(),
            now_ms: self.now_ms,
            ready: self.is_ready(),
            stopping: self.stopping,
            catalogue: CatalogueDump {
                revision: self.catalogue.revision(),
                age_ms: self.now_ms.saturating_sub(self.catalogue_watcher.confirmed_ms()),
            },
            workers: self.dump_workers(),
            queues,
            jobs: self.dump_jobs(),
            minions: self.minions.summary(self.now_ms),
            requests: RequestsDump {
                all: self.requests.len(),
                waiting: self.request_queue.len(),
                retries_left: self.retry_budget.left(),
            },
            peers: self.dump_peers(),
            zones_heard_ms: self.zones_heard(),
            store: StoreDump {
                refusing: self.rejects_recorded_work(),
                backlog: self.committer.backlog(),
                commits: self.committer.stats(),
                listed_ms_ago: self.now_ms.saturating_sub(self.instance_list_read_ms),
                unreported: self.remote.unreported(),
            },
            decisions: self.scheduler.counters,
            settings,
        }
    }

    fn dump_workers(&self) -> Vec<WorkerDump> {
        let mut workers = Vec::new();
        for (worker, lease) in self.leases.all() {
            let worker_info = self.scheduler.cell.worker_info(worker);
            let lease_left_ms = match lease.state {
                LeaseState::Mine { until_ms } => Some(until_ms.saturating_sub(self.now_ms)),
                LeaseState::Other => None,
            };
            workers.push(WorkerDump {
                worker: worker.clone(),
                lease_left_ms,
                token: lease.token,
                capacity: worker_info.map_or(Resources::ZERO, |worker_info| worker_info.capacity),
                free: worker_info
                    .map_or(Resources::ZERO, stoatwell_placement::cell::WorkerInfo::free),
                foreign: worker_info.map_or(Resources::ZERO, |worker_info| worker_info.foreign),
                tasks: worker_info.map_or(0, |worker_info| worker_info.tasks.len()),
                quarantined: worker_info
                    .is_some_and(stoatwell_placement::cell::WorkerInfo::is_quarantined),
            });
        }
        workers
    }

    fn dump_queues(&mut self) -> Vec<QueueDump> {
        let mut heads = Vec::new();
        for queue in self.scheduler.queue.entry_queues() {
            let waited_ms = self.now_ms.saturating_sub(queue.front_accepted_ms());
            let jobs = self.scheduler.queue.job_count(&queue.entry, queue.urgency);
            heads.push((
                queue.entry.clone(),
                queue.urgency,
                jobs,
                waited_ms,
                queue.front(1).next(),
            ));
        }
        let mut queues = Vec::new();
        for (entry, urgency, jobs, front_waited_ms, front) in heads {
            let reasons = front
                .map(|job| self.scheduler.pending_reasons(self.now_ms, job))
                .unwrap_or_default();
            queues.push(QueueDump {
                entry: entry.to_string(),
                urgency,
                jobs,
                front_waited_ms,
                reasons,
            });
        }
        queues
    }

    fn dump_jobs(&self) -> JobsDump {
        let mut by_state = BTreeMap::new();
        let mut some = Vec::new();
        for (id, job) in &self.jobs {
            let state = job.machine.state();
            *by_state.entry(state.to_string()).or_default() += 1;
            if some.len() < JOBS_SHOWN {
                some.push(JobDump {
                    job: id.to_string(),
                    entry: job.machine.record.entry.to_string(),
                    state,
                    tasks: job.machine.phases(),
                });
            }
        }
        JobsDump { by_state, some }
    }

    fn dump_peers(&self) -> Vec<PeerDump> {
        let mut peers = Vec::new();
        for member in self.members.all() {
            peers.push(PeerDump {
                daemon: member.identity.daemon.clone(),
                zone: member.identity.zone.clone(),
                address: member.identity.peer_address.clone(),
                heard_ms_ago: (member.last_heartbeat_ms > 0)
                    .then(|| self.now_ms.saturating_sub(member.last_heartbeat_ms)),
                revision: member.revision,
                stopping: member.stopping,
            });
        }
        peers
    }
}
