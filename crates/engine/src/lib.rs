//! The whole decision logic of a daemon: events and time in, effects out.
//!
//! [`Engine::handle`] takes one event and the time and gives the calls to make
//! and the answers to send. It never waits, reads no clock and draws no random
//! numbers, so tests replay any schedule of failures by feeding it the same
//! events. A thin shell carries the effects out and feeds the results back.
//!
//! The modules follow the duties of a daemon: [`holders`](crate) keeps leases
//! on workers, `jobs` runs accepted work, `requests` answers through minions,
//! `sweep` takes over what dead daemons left, `peers` talks to the others.

mod adopt;
mod catalogue;
mod commit;
mod dump;
mod held;
mod holders;
mod jobs;
mod lookup;
mod message;
mod news;
mod ops;
mod peers;
mod remote;
mod requests;
mod seal;
mod seen;
mod stop;
mod submit;
mod sweep;
mod wide;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use stoatwell_catalogue::Catalogue;
use stoatwell_catalogue::Follow;
use stoatwell_ledger::Committer;
use stoatwell_membership::Holdings;
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

use crate::held::Held;
use crate::jobs::Job;
use crate::ops::Ops;
use crate::peers::Telling;
use crate::peers::ZoneState;
use crate::remote::Remote;
use crate::requests::Request;
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

/// Finished jobs whose views are kept for callers that ask again.
const FINISHED_JOBS_MAX: usize = 4_096;
/// Failed calls to the store in a row after which nothing new is written to it.
const STORE_FAILURES_MAX: u32 = 3;
/// Tasks placed in one pass.
const TASKS_PER_PASS: usize = 4_096;

/// The state of one daemon.
#[derive(Debug)]
pub struct Engine {
    me: Identity,
    settings: Settings,
    now_ms: UnixMs,
    effects: Vec<Effect>,
    ops: Ops,
    write_ids: u64,

    catalogue: Catalogue,
    catalogue_watcher: Follow,
    applied_revision: u64,
    /// Whether shares of quotas have to be worked out anew.
    quota_shares_due: bool,
    retargeting: BTreeMap<WorkerId, UnixMs>,

    members: Members,
    zones: BTreeMap<ZoneName, ZoneState>,
    telling: Telling,
    next_heartbeat_ms: UnixMs,
    next_relay_ms: UnixMs,
    next_instance_list_ms: UnixMs,
    instance_list_pending: bool,
    instance_list_read_ms: UnixMs,
    worker_zones: HashMap<WorkerId, ZoneName>,
    missing_since: BTreeMap<WorkerId, UnixMs>,

    leases: Holdings,
    held: BTreeMap<WorkerId, Held>,
    remote: Remote,

    leases_checked_ms: UnixMs,
    worker_calls_due: bool,

    scheduler: Scheduler,
    schedule_due: bool,
    jobs: BTreeMap<JobId, Job>,
    finished_jobs: HashMap<JobId, JobView>,
    finished_order: VecDeque<JobId>,
    committer: Committer,
    /// Calls to the store in a row that brought nothing.
    store_failures: u32,
    sweep: Sweep,

    minions: Minions,
    budget: RetryBudget,
    requests: BTreeMap<u64, Request>,
    waiting: RequestQueue,
    next_request: u64,

    stopping: bool,
    stopped: bool,
}

impl Engine {
    /// A daemon that has just started.
    pub fn new(me: Identity, settings: Settings, now_ms: UnixMs) -> Self {
        let policy = Policy { reserve_ms: settings.queue.gang_reserve_ms, ..Policy::default() };
        let lease_settings = &settings.leases;
        let leases = Holdings::new(
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
            write_ids: xxh3_64(seed.as_bytes()),
            catalogue: Catalogue::default(),
            catalogue_watcher: Follow::new(settings.catalogue.poll_ms),
            applied_revision: 0,
            quota_shares_due: false,
            retargeting: BTreeMap::new(),
            members,
            zones: BTreeMap::new(),
            telling: Telling::default(),
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
            budget: RetryBudget::new(routing.retry_permille),
            requests: BTreeMap::new(),
            waiting: RequestQueue::default(),
            next_request: 0,
            stopping: false,
            stopped: false,
            me,
            settings,
        }
    }

    /// Takes one event; gives what has to be done because of it.
    pub fn handle(&mut self, now_ms: UnixMs, event: Event) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        self.check_leases(matches!(event, Event::Tick));
        match event {
            Event::Tick => self.on_tick(),
            Event::Submit { ticket, caller, key, submission, wait_ms } => {
                self.on_submit(ticket, &caller, key, submission, wait_ms);
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
        self.pump();
        std::mem::take(&mut self.effects)
    }

    /// Whether callers and operators can be served: the catalogue is known, be
    /// it that there is none yet.
    pub fn is_ready(&self) -> bool {
        let known = self.catalogue.revision() > 0 || self.catalogue_watcher.confirmed_ms() > 0;
        !self.stopping && known
    }

    /// Whether everything was handed over and the process may end.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The catalogue in force.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Who this daemon is.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    fn on_tick(&mut self) {
        self.poll_catalogue();
        self.beat();
        self.read_list();
        self.renew_leases();
        self.expire_waiters();
        self.expire_requests();
        self.resolve_doubts();
        self.empty_targets();
        self.report_to_coordinators();
        self.sweep_tick();
        self.reach_out();
        self.advance_stop();
        self.schedule_due = true;
        self.worker_calls_due = true;
    }

    /// What follows from every event: placing, sending, committing.
    fn pump(&mut self) {
        self.apply_catalogue();
        self.apply_shares();
        if self.schedule_due {
            self.schedule_due = false;
            self.schedule();
        }
        self.serve_waiting_requests();
        if self.worker_calls_due {
            self.worker_calls_due = false;
            self.call_workers();
        }
        self.commit();
    }

    /// Whether work that has to be recorded is refused at once: the store has not
    /// answered for a while, so waiting for it would end in an unknown.
    fn refuses_records(&self) -> bool {
        self.committer.refuses() || self.store_failures >= STORE_FAILURES_MAX
    }

    fn next_write_id(&mut self) -> u64 {
        self.write_ids = self.write_ids.wrapping_add(1);
        self.write_ids
    }
}
