//! One worker as the scheduler sees it: its room, its lease, its lists.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_model::Resources;

use crate::customers::CustomerId;
use crate::event::WorkerUpdate;
use crate::id::TaskId;

/// A worker's clock may lose this much, in thousandths.
const SLOW_CLOCK_PERMILLE: u64 = 20;
/// Added before a lease counts as lapsed, for the time the worker takes to kill what ran.
const LAPSE_MARGIN_MS: u64 = 300;
/// A worker whose last answer is older gets no new task; two waiting holds fit in.
const ANSWER_AGE_MAX_MS: u64 = 2_500;
/// Failed runs in a row, without one that did well, after which a worker is
/// left alone. One run in twenty fails through its own fault, so two in a row
/// are the worker's with good odds.
const FAILURES_MAX: u32 = 2;
/// The pace of a task at its start, in hundredths.
pub(crate) const FULL_PACE: u32 = 100;
/// How long it is left alone at first; doubled each time up to eight times.
const QUARANTINE_MS: u64 = 2_500;

/// A worker's number, which no other worker of a pool ever gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Slot(pub usize);

/// What a task takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Taken {
    /// Of its worker's room.
    pub room: Resources,
    /// Of its customer's cap.
    pub demand: Resources,
    pub customer: Option<CustomerId>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub slot: Slot,
    pub info: WorkerUpdate,
    pub listed: bool,
    /// Counts lives; part of the token, so that orders for an earlier life are refused.
    pub lives: u64,
    /// Whether a hold under the present token was answered.
    pub held: bool,
    /// The turn in which the hold under way was made.
    pub hold_turn: Option<u64>,
    pub hold_sent_ms: u64,
    pub next_hold_ms: u64,
    /// Whether a hold that does not wait shall tell what a stop has left.
    pub probe_due: bool,
    /// When the present life was first known of; 0 for the first one.
    pub life_began_turn: u64,
    /// The worker's clock, and when the answer that told it came.
    pub clock: Option<(u64, u64)>,
    /// The latest moment on the worker's clock that was ever allowed.
    pub until_max: u64,
    /// When the lease of an earlier scheduler has lapsed for sure.
    pub earlier_lapse_ms: u64,
    /// Ends up to this number were taken in.
    pub taken_in: u64,
    /// Numbers of ends that are taken in and not durable yet.
    pub not_durable: BTreeSet<u64>,
    /// Tasks that have room here, with it.
    pub tasks: BTreeMap<TaskId, Taken>,
    /// Runs that are none of ours but take room.
    pub strangers: Vec<Taken>,
    pub used: Resources,
    /// What tasks of each customer take.
    pub by_customer: BTreeMap<CustomerId, Resources>,
    pub failures: u32,
    pub quarantines: u32,
    pub quarantine_until_ms: u64,
    /// Its speed against what its tasks were expected to take, as last judged.
    pub speed_percent: u64,
    /// When it last showed that it does what it is told.
    pub answered_ms: u64,
    /// Calls without answer in a row.
    pub silent: u32,
    /// The pace of tasks that fill here, in hundredths, and when it last changed.
    pub pace_percent: u32,
    pub pace_changed_ms: u64,
    /// Whether another one answers at its address, as the newest call told.
    pub lost: bool,
    /// Whether the newest connection to it was refused. That says nothing about
    /// what runs there: a firewall refuses as a host without the process does.
    pub refuses: bool,
}

impl Worker {
    pub fn new(slot: Slot, update: WorkerUpdate, earlier_lapse_ms: u64) -> Self {
        Self {
            slot,
            info: update,
            listed: true,
            lives: 0,
            held: false,
            hold_turn: None,
            hold_sent_ms: 0,
            next_hold_ms: 0,
            probe_due: false,
            life_began_turn: 0,
            clock: None,
            until_max: 0,
            earlier_lapse_ms,
            taken_in: 0,
            not_durable: BTreeSet::new(),
            tasks: BTreeMap::new(),
            strangers: Vec::new(),
            used: Resources::ZERO,
            by_customer: BTreeMap::new(),
            failures: 0,
            quarantines: 0,
            quarantine_until_ms: 0,
            speed_percent: 100,
            answered_ms: 0,
            silent: 0,
            pace_percent: FULL_PACE,
            pace_changed_ms: 0,
            lost: false,
            refuses: false,
        }
    }

    /// Forgets what belongs to an earlier life. Its tasks are the caller's to take away.
    /// Orders that were under way may still be carried out up to a moment.
    pub fn begin_life(&mut self, incarnation: u64, turn: u64, earlier_lapse_ms: u64) {
        self.life_began_turn = turn;
        self.earlier_lapse_ms = earlier_lapse_ms;
        self.info.incarnation = incarnation;
        self.lives += 1;
        self.lost = false;
        self.held = false;
        self.hold_turn = None;
        self.next_hold_ms = 0;
        self.clock = None;
        self.until_max = 0;
        self.taken_in = 0;
        self.not_durable.clear();
        self.strangers.clear();
        self.failures = 0;
        self.quarantine_until_ms = 0;
        self.pace_percent = FULL_PACE;
        self.add_up();
    }

    /// Whether new tasks may go here.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_reachable(now_ms) && self.quarantine_until_ms <= now_ms
    }

    /// Whether nothing but failed runs speaks against new tasks here.
    pub fn is_only_suspect(&self, now_ms: u64) -> bool {
        self.is_reachable(now_ms) && self.quarantine_until_ms > now_ms && self.is_suspect()
    }

    fn is_reachable(&self, now_ms: u64) -> bool {
        self.held
            && self.listed
            && !self.refuses
            && !self.info.draining
            && self.answered_ms + ANSWER_AGE_MAX_MS > now_ms
    }

    /// Whether it failed or held up a run and did none well since.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// What is free.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// Takes room for a task.
    pub fn take(&mut self, task: TaskId, taken: Taken) {
        self.tasks.insert(task, taken);
        self.used = self.used.plus(&taken.room);
        if let Some(customer) = taken.customer {
            let sum = self.by_customer.entry(customer).or_default();
            *sum = sum.plus(&taken.demand);
        }
    }

    /// Gives a task's room back.
    pub fn give_back(&mut self, task: TaskId) {
        if self.tasks.remove(&task).is_some() {
            self.add_up();
        }
    }

    /// Works the used room out anew.
    pub fn add_up(&mut self) {
        let mut used = Resources::ZERO;
        let mut by_customer: BTreeMap<CustomerId, Resources> = BTreeMap::new();
        for taken in self.tasks.values().chain(&self.strangers) {
            used = used.plus(&taken.room);
            if let Some(customer) = taken.customer {
                let sum = by_customer.entry(customer).or_default();
                *sum = sum.plus(&taken.demand);
            }
        }
        self.used = used;
        self.by_customer = by_customer;
    }

    /// A moment on the worker's clock, this long from now. The clock may be
    /// slower than ours, so the lease may end up a little longer, never shorter.
    pub fn until(&self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let (clock, at_ms) = self.clock?;
        Some(clock + now_ms.saturating_sub(at_ms) + lease_ms)
    }

    /// Whether everything that was ever allowed here has been killed for sure.
    pub fn is_lapsed(&self, now_ms: u64) -> bool {
        let Some((clock, at_ms)) = self.clock else { return now_ms > self.earlier_lapse_ms };
        let passed_ms = now_ms.saturating_sub(at_ms);
        let at_least = passed_ms - passed_ms * SLOW_CLOCK_PERMILLE / 1_000;
        clock + at_least > self.until_max + LAPSE_MARGIN_MS
    }

    /// Ends up to this number may be forgotten by the worker.
    pub fn forget(&self) -> u64 {
        self.not_durable.first().map_or(self.taken_in, |first| first - 1)
    }

    /// The rack, which is the last of the labels.
    pub fn rack(&self) -> Option<&str> {
        self.info.labels.get(1..)?.last().map(String::as_str)
    }

    /// Takes note of a run that did well.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
    }

    /// Takes note of a run that failed or stood still; tells whether the worker is left alone now.
    ///
    /// A worker that fails all it starts would otherwise be the emptiest one
    /// and use up the attempts of job after job.
    pub fn record_failure(&mut self, now_ms: u64, weight: u32) -> bool {
        self.failures += weight;
        if self.failures < FAILURES_MAX {
            return false;
        }
        self.failures = FAILURES_MAX - 1;
        self.quarantine_until_ms = now_ms + (QUARANTINE_MS << self.quarantines.min(3));
        self.quarantines += 1;
        true
    }
}
