//! The decision logic of a daemon: events and the current time in, effects out.
//!
//! [`Engine::handle`] takes one event and the current time and returns the calls
//! to make and the answers to send. It never blocks, reads no clock and uses no
//! random numbers, so tests can replay any schedule of failures by feeding it
//! the same events. The daemon executes the effects and feeds their results back.
//!
//! Each module covers one responsibility of a daemon: `worker_leases` keeps the leases on
//! workers, `deferred` keeps submissions until the workers of their owner are known, `jobs`
//! executes accepted work, `requests` serves requests through minions,
//! `seal` finds out what became of a request without an answer, `sweep` takes over the
//! jobs of dead daemons, `stranded` hands waiting jobs to zones with room, and `peers`
//! exchanges state with other daemons.
//!
//! These terms are used throughout:
//!
//! - An entry is an item of the catalogue that operators write. A work entry describes one
//!   kind of work: its owner, class, limits and the demand of a task.
//! - A target is the catalogue's assignment of a worker to an owner, which is a customer.
//!   Only the owner's work may run on the worker. While the target is draining, no new work
//!   starts there.
//! - A minion is a server process on a worker that answers requests. It has a number of
//!   slots, each for one request at a time, and belongs to a group of equal minions.
//! - The coordinator of a job is the daemon that schedules it and writes its record.
//! - The holder of a worker is the daemon that has the lease on it. Only the holder places
//!   and starts tasks there. The holder and a task's coordinator may be different daemons.

mod catalogue;
mod commit;
mod deferred;
mod dump;
mod gangs;
mod held_worker;
mod inquiry;
mod jobs;
mod lookup;
mod message;
mod observations;
mod ops;
mod peers;
mod remote;
mod requests;
mod seal;
mod shutdown;
mod stranded;
mod submit;
mod sweep;
mod worker_leases;
mod zone_relay;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use stoatwell_catalogue::Catalogue;
use stoatwell_catalogue::CatalogueWatcher;
use stoatwell_ledger::Committer;
use stoatwell_membership::LeaseTable;
use stoatwell_membership::Members;
use stoatwell_model::JobId;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::job::JobView;
use stoatwell_model::peer::Identity;
use stoatwell_placement::Policy;
use stoatwell_placement::Scheduler;
use stoatwell_routing::Minions;
use stoatwell_routing::RequestQueue;
use stoatwell_routing::RetryBudget;
use stoatwell_settings::Settings;
use xxhash_rust::xxh3::xxh3_64;

use crate::held_worker::HeldWorker;
use crate::jobs::Job;
use crate::ops::Ops;
use crate::peers::Announcements;
use crate::peers::ZoneState;
use crate::remote::Remote;
use crate::requests::Request;
use crate::submit::IncomingSubmission;
use crate::sweep::Sweep;

pub use crate::dump::Dump;
pub use crate::message::Answer;
pub use crate::message::Caller;
pub use crate::message::Effect;
pub use crate::message::Event;
pub use crate::message::JobMeta;
pub use crate::message::Observation;
pub use crate::message::OpId;
pub use crate::message::PeerCall;
pub use crate::message::PeerReply;
pub use crate::message::Reservation;
pub use crate::message::SubmitCall;
pub use crate::message::TaskReply;
pub use crate::message::Ticket;
pub use crate::message::ZoneUpdate;

/// Finished jobs whose views are kept in memory for callers that ask again.
const FINISHED_JOBS_MAX: usize = 4_096;
/// Consecutive failed store calls after which work that has to be recorded is rejected.
const STORE_FAILURES_MAX: u32 = 3;
/// Maximum number of tasks placed in one scheduling cycle.
const TASKS_PER_CYCLE: usize = 4_096;

/// The state of one daemon, advanced by events.
#[derive(Debug)]
pub struct Engine {
    me: Identity,
    settings: Settings,
    now_ms: UnixMs,
    effects: Vec<Effect>,
    ops: Ops,
    last_write_id: u64,

    catalogue: Catalogue,
    catalogue_watcher: CatalogueWatcher,
    applied_revision: u64,
    /// Whether the local shares of quotas and limits have to be recomputed.
    quota_shares_due: bool,
    handover_sent_ms: BTreeMap<WorkerId, UnixMs>,

    members: Members,
    zones: BTreeMap<ZoneName, ZoneState>,
    announcements: Announcements,
    next_heartbeat_ms: UnixMs,
    next_relay_ms: UnixMs,
    next_instance_list_ms: UnixMs,
    instance_list_pending: bool,
    instance_list_read_ms: UnixMs,
    worker_zones: HashMap<WorkerId, ZoneName>,
    missing_since: BTreeMap<WorkerId, UnixMs>,

    leases: LeaseTable,
    held: BTreeMap<WorkerId, HeldWorker>,
    remote: Remote,

    leases_checked_ms: UnixMs,
    worker_calls_due: bool,

    scheduler: Scheduler,
    schedule_due: bool,
    jobs: BTreeMap<JobId, Job>,
    finished_jobs: HashMap<JobId, JobView>,
    finished_order: VecDeque<JobId>,
    committer: Committer,
    /// Consecutive store calls that failed.
    store_failures: u32,
    sweep: Sweep,

    minions: Minions,
    retry_budget: RetryBudget,
    requests: BTreeMap<u64, Request>,
    request_queue: RequestQueue,
    next_request_id: u64,
    deferred: Vec<IncomingSubmission>,
    /// Since when waiting jobs have lacked room in this zone.
    stranded_since: BTreeMap<JobId, UnixMs>,

    stopping: bool,
    stopped: bool,
}

impl Engine {
    /// Creates the state of a daemon that has just started.
    pub fn new(me: Identity, settings: Settings, now_ms: UnixMs) -> Self {
        let policy = Policy { reserve_ms: settings.queue.gang_reserve_ms, ..Policy::default() };
        let lease_settings = &settings.leases;
        let leases = LeaseTable::new(
            me.daemon.clone(),
            lease_settings.ttl_ms,
            lease_settings.renew_wait_ms,
            lease_settings.moves_per_second,
        );
        let members = Members::new(me.clone(), settings.membership.silent_after_ms, now_ms);
        let seed = format!("{}/{}", me.daemon, me.incarnation);
        let routing = &settings.routing;
        Self {
            now_ms,
            effects: Vec::new(),
            ops: Ops::default(),
            last_write_id: xxh3_64(seed.as_bytes()),
            catalogue: Catalogue::default(),
            catalogue_watcher: CatalogueWatcher::new(settings.catalogue.poll_ms),
            applied_revision: 0,
            quota_shares_due: false,
            handover_sent_ms: BTreeMap::new(),
            members,
            zones: BTreeMap::new(),
            announcements: Announcements::default(),
            next_heartbeat_ms: 0,
            next_relay_ms: 0,
            next_instance_list_ms: 0,
            instance_list_pending: false,
            instance_list_read_ms: 0,
            worker_zones: HashMap::new(),
            missing_since: BTreeMap::new(),
            leases,
            held: BTreeMap::new(),
            remote: Remote::default(),
            scheduler: Scheduler::new(policy),
            leases_checked_ms: 0,
            worker_calls_due: false,
            schedule_due: false,
            jobs: BTreeMap::new(),
            finished_jobs: HashMap::new(),
            finished_order: VecDeque::new(),
            committer: Committer::new(
                settings.ledger.rows_per_commit,
                settings.ledger.commits_per_second,
            ),
            store_failures: 0,
            sweep: Sweep::default(),
            minions: Minions::new(routing.breaker_failures, routing.breaker_open_ms),
            retry_budget: RetryBudget::new(routing.retry_permille),
            requests: BTreeMap::new(),
            request_queue: RequestQueue::default(),
            next_request_id: 0,
            deferred: Vec::new(),
            stranded_since: BTreeMap::new(),
            stopping: false,
            stopped: false,
            me,
            settings,
        }
    }

    /// Processes one event and returns the effects that the caller has to execute.
    pub fn handle(&mut self, now_ms: UnixMs, event: Event) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        self.check_leases(matches!(event, Event::Tick));
        match event {
            Event::Tick => self.on_tick(),
            Event::Submit { ticket, caller, key, submission, wait_ms } => {
                let (received_ms, may_forward) = (self.now_ms, true);
                self.on_submit(IncomingSubmission {
                    ticket,
                    caller,
                    key,
                    submission,
                    received_ms,
                    wait_ms,
                    may_forward,
                });
            }
            Event::Status { ticket, caller, job, wait_ms } => {
                self.on_status(ticket, &caller, job, wait_ms);
            }
            Event::Cancel { ticket, caller, job } => self.on_cancel(ticket, &caller, job),
            Event::Edit { ticket, key, edit, expected, by } => {
                self.on_edit(ticket, key, edit, expected, by);
            }
            Event::Store { ticket, call } => self.on_store_query(ticket, call),
            Event::Peer { ticket, call } => self.on_peer_call(ticket, call),
            Event::StoreDone { op, reply } => self.on_store_done(op, reply),
            Event::WorkerDone { op, reply } => self.on_worker_done(op, reply),
            Event::MinionDone { op, reply } => self.on_minion_done(op, reply),
            Event::PeerDone { op, reply } => self.on_peer_done(op, reply),
            Event::Stop => self.on_stop(),
        }
        self.run_pending_work();
        std::mem::take(&mut self.effects)
    }

    /// Whether callers and operators can be served: the daemon is not stopping
    /// and has read the catalogue, even if the catalogue is still empty.
    pub fn is_ready(&self) -> bool {
        let known = self.catalogue.revision() > 0 || self.catalogue_watcher.confirmed_ms() > 0;
        !self.stopping && known
    }

    /// Whether the daemon is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.stopping
    }

    /// Whether the shutdown is complete, so that the process may exit.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The newest catalogue that this daemon has read.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The name, zone, region, peer address and incarnation of this daemon.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    fn on_tick(&mut self) {
        self.retry_deferred();
        self.poll_catalogue();
        self.send_heartbeats();
        self.read_instance_list();
        self.renew_leases();
        self.expire_waiters();
        self.expire_requests();
        self.resolve_in_doubt();
        self.hand_over_drained_targets();
        self.send_reports();
        self.sweep_tick();
        self.reserve_at_peers();
        self.advance_shutdown();
        self.schedule_due = true;
        self.worker_calls_due = true;
    }

    /// Runs after every event: applies a new catalogue, schedules, sends and commits.
    fn run_pending_work(&mut self) {
        self.apply_catalogue();
        self.apply_quota_shares();
        if self.schedule_due {
            self.schedule_due = false;
            self.schedule();
        }
        self.serve_waiting_requests();
        if self.worker_calls_due {
            self.worker_calls_due = false;
            self.send_worker_calls();
        }
        self.commit();
    }

    /// Whether work that has to be recorded is rejected at once, because the store has not
    /// responded for a while. If the callers waited for the store instead, they would only
    /// learn that it is unknown whether their work was accepted.
    fn rejects_recorded_work(&self) -> bool {
        self.committer.is_failing() || self.store_failures >= STORE_FAILURES_MAX
    }

    fn next_write_id(&mut self) -> u64 {
        self.last_write_id = self.last_write_id.wrapping_add(1);
        self.last_write_id
    }
}
