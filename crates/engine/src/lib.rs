//! The whole decision logic of a daemon: events and time in, effects out.
//!
//! [`Engine::handle`] takes one event and the time and gives the calls to make
//! and the answers to send. It never waits, reads no clock and draws no random
//! numbers, so tests replay any schedule of failures by feeding it the same
//! events. A thin shell carries the effects out and feeds the results back.
//!
//! The modules follow the duties of a daemon: [`worker_leases`](crate) keeps leases
//! on workers, `jobs` runs accepted work, `requests` answers through minions,
//! `sweep` takes over what dead daemons left, `peers` talks to the others.

mod catalogue;
mod commit;
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
use crate::sweep::Sweep;

pub use crate::dump::Dump;
pub use crate::message::Answer;
pub use crate::message::Caller;
pub use crate::message::Effect;
pub use crate::message::Event;
pub use crate::message::JobMeta;
pub use crate::message::OpId;
pub use crate::message::PeerCall;
pub use crate::message::PeerReply;
pub use crate::message::Reservation;
pub use crate::message::Seen;
pub use crate::message::SubmitCall;
pub use crate::message::TaskReply;
pub use crate::message::Ticket;
pub use crate::message::ZoneNews;

/// Finished jobs whose views are kept for callers that ask again.
const RECENT_MAX: usize = 4_096;
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
    follow: CatalogueWatcher,
    applied_revision: u64,
    /// Whether shares of quotas have to be worked out anew.
    shares_due: bool,
    retargeting: BTreeMap<WorkerId, UnixMs>,

    members: Members,
    zones: BTreeMap<ZoneName, ZoneState>,
    telling: Announcements,
    next_heartbeat_ms: UnixMs,
    next_relay_ms: UnixMs,
    next_list_ms: UnixMs,
    listing: bool,
    listed_ms: UnixMs,
    worker_zones: HashMap<WorkerId, ZoneName>,
    gone: BTreeMap<WorkerId, UnixMs>,

    holdings: LeaseTable,
    held: BTreeMap<WorkerId, HeldWorker>,
    remote: Remote,

    leases_checked_ms: UnixMs,
    calls_due: bool,

    scheduler: Scheduler,
    schedule_due: bool,
    jobs: BTreeMap<JobId, Job>,
    recent: HashMap<JobId, JobView>,
    recent_order: VecDeque<JobId>,
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
        let leases = &settings.leases;
        let holdings = LeaseTable::new(
            me.daemon.clone(),
            leases.ttl_ms,
            leases.renew_wait_ms,
            leases.moves_per_second,
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
            follow: CatalogueWatcher::new(settings.catalogue.poll_ms),
            applied_revision: 0,
            shares_due: false,
            retargeting: BTreeMap::new(),
            members,
            zones: BTreeMap::new(),
            telling: Announcements::default(),
            next_heartbeat_ms: 0,
            next_relay_ms: 0,
            next_list_ms: 0,
            listing: false,
            listed_ms: 0,
            worker_zones: HashMap::new(),
            gone: BTreeMap::new(),
            holdings,
            held: BTreeMap::new(),
            remote: Remote::default(),
            scheduler: Scheduler::new(policy),
            leases_checked_ms: 0,
            calls_due: false,
            schedule_due: false,
            jobs: BTreeMap::new(),
            recent: HashMap::new(),
            recent_order: VecDeque::new(),
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
            Event::Store { ticket, call } => self.on_store_question(ticket, call),
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
        let known = self.catalogue.revision() > 0 || self.follow.confirmed_ms() > 0;
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
        self.send_heartbeats();
        self.read_instance_list();
        self.renew_leases();
        self.expire_waiters();
        self.expire_requests();
        self.resolve_in_doubt();
        self.empty_targets();
        self.send_reports();
        self.sweep_tick();
        self.reserve_at_peers();
        self.advance_shutdown();
        self.schedule_due = true;
        self.calls_due = true;
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
        if self.calls_due {
            self.calls_due = false;
            self.send_worker_calls();
        }
        self.commit();
    }

    /// Whether work that has to be recorded is refused at once: the store has not
    /// answered for a while, so waiting for it would end in an unknown.
    fn refuses_records(&self) -> bool {
        self.committer.is_failing() || self.store_failures >= STORE_FAILURES_MAX
    }

    fn next_write_id(&mut self) -> u64 {
        self.write_ids = self.write_ids.wrapping_add(1);
        self.write_ids
    }
}
