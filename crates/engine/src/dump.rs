//! What a daemon knows, for people who look into it.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_ledger::committer::CommitStats;
use stoatwell_membership::holding::HoldState;
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

/// Jobs named one by one.
const JOBS_SHOWN: usize = 50;

/// The state of one daemon.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Who it is.
    pub daemon: Identity,
    /// Its clock.
    pub now_ms: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// The catalogue in force.
    pub catalogue: CatalogueDump,
    /// Workers of its zone.
    pub workers: Vec<WorkerDump>,
    /// Waiting work by entry, with the reasons of the first job.
    pub queues: Vec<QueueDump>,
    /// Jobs by state, and the first few of them.
    pub jobs: JobsDump,
    /// Minions by group.
    pub minions: Vec<GroupSummary>,
    /// Requests in work and waiting.
    pub requests: RequestsDump,
    /// Other daemons.
    pub peers: Vec<PeerDump>,
    /// Milliseconds since other zones were heard.
    pub zones_heard_ms: BTreeMap<ZoneName, u64>,
    /// The platform's store as seen from here.
    pub store: StoreDump,
    /// Decisions so far.
    pub decisions: Counters,
    /// The settings in force, without secrets.
    pub settings: Settings,
}

/// The catalogue in force.
#[derive(Debug, Serialize)]
pub struct CatalogueDump {
    /// Its revision.
    pub revision: u64,
    /// Milliseconds since it was last seen to be the newest.
    pub age_ms: u64,
}

/// One worker of the zone.
#[derive(Debug, Serialize)]
pub struct WorkerDump {
    /// The worker.
    pub worker: WorkerId,
    /// Whether this daemon holds it, and for how long still.
    pub lease_left_ms: Option<u64>,
    /// The highest token seen.
    pub token: u64,
    /// What it holds in all.
    pub capacity: Resources,
    /// What new work can have.
    pub free: Resources,
    /// What something else uses.
    pub foreign: Resources,
    /// Tasks on it.
    pub tasks: usize,
    /// Whether it is left alone because it fails.
    pub quarantined: bool,
}

/// Waiting work of one entry.
#[derive(Debug, Serialize)]
pub struct QueueDump {
    /// The entry.
    pub entry: String,
    /// Its urgency.
    pub urgency: Urgency,
    /// Jobs that wait.
    pub jobs: usize,
    /// How long the first one has waited.
    pub front_waited_ms: u64,
    /// Why the first one waits.
    pub reasons: Vec<String>,
}

/// Jobs that run here.
#[derive(Debug, Serialize)]
pub struct JobsDump {
    /// How many are in each state.
    pub by_state: BTreeMap<String, usize>,
    /// The first few.
    pub some: Vec<JobLine>,
}

/// One job.
#[derive(Debug, Serialize)]
pub struct JobLine {
    /// The job.
    pub job: String,
    /// Its entry.
    pub entry: String,
    /// Where it stands.
    pub state: JobState,
    /// Tasks by phase.
    pub tasks: BTreeMap<&'static str, usize>,
}

/// Requests in line.
#[derive(Debug, Serialize)]
pub struct RequestsDump {
    /// In work or waiting.
    pub all: usize,
    /// Waiting for a slot.
    pub waiting: usize,
    /// Retries left in the budget.
    pub retries_left: u64,
}

/// Another daemon.
#[derive(Debug, Serialize)]
pub struct PeerDump {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: String,
    /// Milliseconds since its last word; none where it was never heard.
    pub heard_ms_ago: Option<u64>,
    /// The catalogue revision it last told.
    pub revision: u64,
    /// Whether it is about to stop.
    pub stopping: bool,
}

/// The platform's store as seen from here.
#[derive(Debug, Serialize)]
pub struct StoreDump {
    /// Whether new work that needs it is refused.
    pub refusing: bool,
    /// Writes that are not finished.
    pub backlog: usize,
    /// Counters.
    pub commits: CommitStats,
    /// Milliseconds since the instance list was read.
    pub listed_ms_ago: u64,
    /// Reports that other daemons have not taken.
    pub unreported: usize,
}

impl Engine {
    /// All that this daemon knows, without secrets.
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
                waiting: self.waiting.len(),
                retries_left: self.budget.left(),
            },
            peers: self.dump_peers(),
            zones_heard_ms: self.zones_heard(),
            store: StoreDump {
                refusing: self.refuses_records(),
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
        for (worker, holding) in self.leases.all() {
            let slot = self.scheduler.cell.worker_info(worker);
            let lease_left_ms = match holding.state {
                HoldState::Mine { until_ms } => Some(until_ms.saturating_sub(self.now_ms)),
                HoldState::Other => None,
            };
            workers.push(WorkerDump {
                worker: worker.clone(),
                lease_left_ms,
                token: holding.token,
                capacity: slot.map_or(Resources::ZERO, |slot| slot.capacity),
                free: slot.map_or(Resources::ZERO, stoatwell_placement::cell::WorkerInfo::free),
                foreign: slot.map_or(Resources::ZERO, |slot| slot.foreign),
                tasks: slot.map_or(0, |slot| slot.tasks.len()),
                quarantined: slot
                    .is_some_and(stoatwell_placement::cell::WorkerInfo::is_quarantined),
            });
        }
        workers
    }

    fn dump_queues(&mut self) -> Vec<QueueDump> {
        let mut fronts = Vec::new();
        for line in self.scheduler.queue.entry_queues() {
            let waited_ms = self.now_ms.saturating_sub(line.front_accepted_ms());
            let jobs = self.scheduler.queue.job_count(&line.entry, line.urgency);
            fronts.push((line.entry.clone(), line.urgency, jobs, waited_ms, line.front(1).next()));
        }
        let mut queues = Vec::new();
        for (entry, urgency, jobs, front_waited_ms, front) in fronts {
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
                some.push(JobLine {
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
                heard_ms_ago: (member.heard_ms > 0)
                    .then(|| self.now_ms.saturating_sub(member.heard_ms)),
                revision: member.revision,
                stopping: member.stopping,
            });
        }
        peers
    }
}
