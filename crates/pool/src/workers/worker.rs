//! The scheduler's view of one worker: its capacity, lease and reported runs.
//!
//! An incarnation of a worker is one start of its process. A worker that has restarted has
//! lost all runs of its earlier incarnations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_model::Resources;

use crate::event::WorkerUpdate;
use crate::id::TaskId;
use crate::jobs::customers::CustomerId;
use crate::workers::silent::SilentMark;

/// The largest rate at which a worker's clock may fall behind.
const SLOW_CLOCK_PERMILLE: u64 = 20;
/// Margin before a lease counts as expired, for the time that the worker takes to kill its
/// runs.
const LEASE_EXPIRY_MARGIN_MS: u64 = 300;
/// The part of that margin that an answer may spend on its way without looking like the answer of
/// another clock.
const ANSWER_DELAY_MAX_MS: u64 = LEASE_EXPIRY_MARGIN_MS / 2;
/// Age of the last answer above which a worker gets no new tasks. Two holds that both wait
/// as long as they may fit into it.
const ANSWER_AGE_MAX_MS: u64 = 2_500;
/// Age of the last answer up to which a worker is let forget ended runs. It has to be shorter
/// than the time in which a worker restarts and a run of the new incarnation ends.
const FORGET_WINDOW_MS: u64 = 250;
/// Consecutive failed runs after which a worker is put into quarantine. One run in twenty
/// fails through its own fault, so two in a row are probably the worker's fault.
const FAILURES_MAX: u32 = 2;
/// The pace of a task that is not throttled, in percent.
pub(crate) const FULL_PACE: u32 = 100;
/// The duration of the first quarantine. It doubles with each further one, up to eight
/// times this value.
const QUARANTINE_MS: u64 = 2_500;

/// A dense index of the workers of a pool; never reused for another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerIndex(pub usize);

/// The resources that a run takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allocation {
    /// Taken from the worker's capacity.
    pub worker_demand: Resources,
    /// Counted towards the customer's cap.
    pub demand: Resources,
    pub customer: Option<CustomerId>,
    /// The priority of the task's queue.
    pub priority: u32,
    /// Whether the run ends only when its job is cancelled.
    pub is_long_running: bool,
}

/// Resources in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub total: Resources,
    /// The part that long-running tasks take.
    pub long_running: Resources,
}

impl Usage {
    fn add(&mut self, demand: &Resources, is_long_running: bool) {
        self.total = self.total.plus(demand);
        if is_long_running {
            self.long_running = self.long_running.plus(demand);
        }
    }

    pub fn plus(&self, other: &Self) -> Self {
        Self {
            total: self.total.plus(&other.total),
            long_running: self.long_running.plus(&other.long_running),
        }
    }

    pub fn minus(&self, other: &Self) -> Self {
        Self {
            total: self.total.minus(&other.total),
            long_running: self.long_running.minus(&other.long_running),
        }
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub index: WorkerIndex,
    pub info: WorkerUpdate,
    /// Whether the list of workers has an entry for the worker.
    pub listed: bool,
    /// Counts the restarts seen. It is part of the fencing token, so that requests meant for
    /// an earlier incarnation are refused.
    pub restarts_seen: u64,
    /// Whether the worker has answered a hold under the current token, so that it refuses
    /// calls with a lower one. Nothing is started on a worker before that.
    pub held: bool,
    /// The turn in which the pending hold was sent; `None` if none is pending.
    pub hold_turn: Option<u64>,
    pub hold_sent_ms: u64,
    /// Up to which end the pending hold lets the worker forget; 0 for none.
    pub hold_forgets: u64,
    pub next_hold_ms: u64,
    /// Whether to send a probe: a hold that is sent and answered without delay, to learn
    /// whether a stopped run is gone.
    pub probe_due: bool,
    /// The latest turn in which a start here got no answer; `None` once the answer to a hold
    /// that was sent later has told what became of it. Until then holds are answered at once.
    pub unconfirmed_turn: Option<u64>,
    /// The latest turn of a hold that was answered in the current incarnation.
    pub answered_turn: u64,
    /// The turn in which the current incarnation was discovered; 0 for the first one.
    pub incarnation_turn: u64,
    /// The time on the worker's clock and the local time of the answer that reported it;
    /// `None` until a hold of the current incarnation has been answered.
    pub clock: Option<(u64, u64)>,
    /// The latest lease end that was ever granted, on the worker's clock.
    pub lease_end_max: u64,
    /// When this leader last sent a call that extends the lease; `None` if it has sent none.
    pub extended_ms: Option<u64>,
    /// When every lease of an earlier scheduler, and every request that was in flight during
    /// a restart, has certainly expired. Used while [`Self::clock`] is unknown.
    pub earlier_lease_expiry_ms: u64,
    /// The number of the last ended run that was processed.
    pub last_processed_end: u64,
    /// Numbers of processed ends whose rows are not durable yet.
    pub non_durable_ends: BTreeSet<u64>,
    /// The highest end that the worker was let forget by a hold that it has answered.
    pub forgotten_end: u64,
    /// Tasks placed on this worker.
    pub tasks: BTreeMap<TaskId, Allocation>,
    /// The resources of runs that the worker reported and the scheduler does not want.
    pub unwanted_allocations: Vec<Allocation>,
    pub used: Usage,
    /// What the tasks of each priority take.
    pub by_priority: Vec<(u32, Resources)>,
    /// What the runs of each customer count towards its cap.
    pub by_customer: BTreeMap<CustomerId, Usage>,
    /// Failed or stalled runs since the last successful one; see [`Self::record_failure`].
    pub failures: u32,
    /// Quarantines since the last successful run.
    pub quarantines: u32,
    pub quarantine_until_ms: u64,
    /// The measured speed in percent of the one expected from the estimates of its tasks.
    pub speed_percent: u64,
    /// When it last answered a hold.
    pub answered_ms: u64,
    /// The latest time at which it can have given that answer, by the local clock. The answer may
    /// have waited since, as while this process stood still.
    pub as_of_ms: u64,
    /// Consecutive calls without an answer.
    pub unanswered_calls: u32,
    /// The pace (speed limit) of the best-effort tasks on this worker, in percent of their
    /// full speed.
    pub pace_percent: u32,
    pub pace_changed_ms: u64,
    /// Set while the leader lease names the worker as silent, or may do so. Its lease is not
    /// extended then, and nothing is started on it.
    pub silent: Option<SilentMark>,
    /// Whether another worker or incarnation answered the latest call to its address, so that
    /// all runs of this incarnation are lost.
    pub lost: bool,
    /// Whether the latest connection attempt was refused. That says nothing about the runs
    /// on the worker: a firewall refuses connections just like a host without the process.
    pub refuses_connections: bool,
}

/// Lower bound, on a worker's clock, of a duration on the local clock.
fn min_remote_duration_ms(duration_ms: u64) -> u64 {
    duration_ms - duration_ms * SLOW_CLOCK_PERMILLE / 1_000
}

fn add_by_priority(by_priority: &mut Vec<(u32, Resources)>, allocation: &Allocation) {
    let priority = allocation.priority;
    if let Some((_, sum)) = by_priority.iter_mut().find(|(other, _)| *other == priority) {
        *sum = sum.plus(&allocation.worker_demand);
    } else {
        by_priority.push((priority, allocation.worker_demand));
    }
}

impl Worker {
    pub fn new(index: WorkerIndex, update: WorkerUpdate, earlier_lease_expiry_ms: u64) -> Self {
        Self {
            index,
            info: update,
            listed: true,
            restarts_seen: 0,
            held: false,
            hold_turn: None,
            hold_sent_ms: 0,
            hold_forgets: 0,
            next_hold_ms: 0,
            probe_due: false,
            unconfirmed_turn: None,
            answered_turn: 0,
            incarnation_turn: 0,
            clock: None,
            lease_end_max: 0,
            extended_ms: None,
            earlier_lease_expiry_ms,
            last_processed_end: 0,
            non_durable_ends: BTreeSet::new(),
            forgotten_end: 0,
            tasks: BTreeMap::new(),
            unwanted_allocations: Vec::new(),
            used: Usage::default(),
            by_priority: Vec::new(),
            by_customer: BTreeMap::new(),
            failures: 0,
            quarantines: 0,
            quarantine_until_ms: 0,
            speed_percent: 100,
            answered_ms: 0,
            as_of_ms: 0,
            unanswered_calls: 0,
            pace_percent: FULL_PACE,
            pace_changed_ms: 0,
            silent: None,
            lost: false,
            refuses_connections: false,
        }
    }

    /// Resets the state of the earlier incarnation. The caller requeues the tasks of its
    /// runs. Requests in flight may still take effect until `earlier_lease_expiry_ms`.
    pub fn begin_incarnation(&mut self, incarnation: u64, turn: u64, earlier_lease_expiry_ms: u64) {
        self.incarnation_turn = turn;
        self.answered_turn = 0;
        self.earlier_lease_expiry_ms = earlier_lease_expiry_ms;
        self.info.incarnation = incarnation;
        self.restarts_seen += 1;
        self.lost = false;
        self.held = false;
        self.hold_turn = None;
        self.next_hold_ms = 0;
        self.unconfirmed_turn = None;
        self.clock = None;
        self.lease_end_max = 0;
        self.last_processed_end = 0;
        self.forgotten_end = 0;
        self.non_durable_ends.clear();
        self.unwanted_allocations.clear();
        self.failures = 0;
        self.quarantine_until_ms = 0;
        self.pace_percent = FULL_PACE;
        self.recompute_usage();
    }

    /// Whether the worker may get new tasks.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_reachable(now_ms) && self.quarantine_until_ms <= now_ms
    }

    /// Whether the worker may get no new tasks for the only reason that it is in quarantine
    /// and a run has failed or stalled here.
    pub fn is_quarantined_for_failures(&self, now_ms: u64) -> bool {
        self.is_reachable(now_ms) && self.quarantine_until_ms > now_ms && self.has_recent_failures()
    }

    fn is_reachable(&self, now_ms: u64) -> bool {
        self.held
            && self.listed
            && self.silent.is_none()
            && !self.refuses_connections
            && !self.info.draining
            && self.answered_ms + ANSWER_AGE_MAX_MS > now_ms
    }

    /// When time alone may next change whether the worker is open.
    pub fn open_until_ms(&self, now_ms: u64) -> u64 {
        let answer_too_old_ms = self.answered_ms + ANSWER_AGE_MAX_MS;
        let changes_ms = [answer_too_old_ms, self.quarantine_until_ms];
        changes_ms.into_iter().filter(|at_ms| *at_ms > now_ms).min().unwrap_or(u64::MAX)
    }

    /// Whether a run has failed or stalled here since the last successful one.
    pub fn has_recent_failures(&self) -> bool {
        self.failures > 0
    }

    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used.total)
    }

    pub fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        self.tasks.insert(task, allocation);
        self.used.add(&allocation.worker_demand, allocation.is_long_running);
        add_by_priority(&mut self.by_priority, &allocation);
        if let Some(customer) = allocation.customer {
            let sum = self.by_customer.entry(customer).or_default();
            sum.add(&allocation.demand, allocation.is_long_running);
        }
    }

    pub fn deallocate(&mut self, task: TaskId) {
        if self.tasks.remove(&task).is_some() {
            self.recompute_usage();
        }
    }

    /// Sums up all allocations again.
    pub fn recompute_usage(&mut self) {
        let mut used = Usage::default();
        let mut by_customer: BTreeMap<CustomerId, Usage> = BTreeMap::new();
        for allocation in self.tasks.values().chain(&self.unwanted_allocations) {
            used.add(&allocation.worker_demand, allocation.is_long_running);
            if let Some(customer) = allocation.customer {
                let sum = by_customer.entry(customer).or_default();
                sum.add(&allocation.demand, allocation.is_long_running);
            }
        }
        self.by_priority.clear();
        for allocation in self.tasks.values() {
            add_by_priority(&mut self.by_priority, allocation);
        }
        self.used = used;
        self.by_customer = by_customer;
    }

    /// The end of a lease of this length from now, on the worker's clock; `None` if that clock
    /// is unknown. The clock may be slower than the local one, so the lease may last a little
    /// longer, never shorter.
    pub fn lease_end(&self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let (clock_ms, reported_ms) = self.clock?;
        Some(clock_ms + now_ms.saturating_sub(reported_ms) + lease_ms)
    }

    /// Records that a call is sent now that extends the lease until `until_ms` on the worker's clock.
    pub fn record_extension(&mut self, until_ms: u64, now_ms: u64) {
        self.lease_end_max = self.lease_end_max.max(until_ms);
        self.extended_ms = Some(now_ms);
    }

    /// The time on the worker's clock if that runs as fast as the local one; `None` if it is unknown.
    pub fn estimated_clock_ms(&self, now_ms: u64) -> Option<u64> {
        self.lease_end(now_ms, 0)
    }

    /// Whether a lease whose end is counted on the known clock is over in time on this one as well.
    pub fn is_known_clock(&self, clock_ms: u64, now_ms: u64) -> bool {
        let Some((known_ms, reported_ms)) = self.clock else { return false };
        let elapsed_ms = now_ms.saturating_sub(reported_ms);
        let behind_ms = (known_ms + min_remote_duration_ms(elapsed_ms)).saturating_sub(clock_ms);
        behind_ms <= ANSWER_DELAY_MAX_MS
    }

    /// How long ago a call was sent that extends the lease; `None` if this leader has sent none.
    pub fn extension_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.extended_ms.map(|extended_ms| now_ms.saturating_sub(extended_ms))
    }

    /// The latest local time at which the worker can have given an answer that is handled now and
    /// has this time of the worker's clock.
    pub fn latest_answer_ms(&self, now_ms: u64, clock_ms: u64) -> u64 {
        let Some((earlier_clock_ms, _)) = self.clock else { return now_ms };
        let passed_ms = clock_ms.saturating_sub(earlier_clock_ms);
        let passed_max_ms = passed_ms * 1_000 / (1_000 - SLOW_CLOCK_PERMILLE) + 1;
        now_ms.min(self.as_of_ms + passed_max_ms)
    }

    /// The local time after which every lease ever granted here has certainly expired.
    pub fn lease_expiry_ms(&self) -> u64 {
        let Some((clock_ms, reported_ms)) = self.clock else { return self.earlier_lease_expiry_ms };
        let remaining_ms = (self.lease_end_max + LEASE_EXPIRY_MARGIN_MS).saturating_sub(clock_ms);
        reported_ms + remaining_ms * 1_000 / (1_000 - SLOW_CLOCK_PERMILLE) + 1
    }

    /// Whether every lease ever granted here has certainly expired and its runs are killed.
    pub fn is_lease_expired(&self, now_ms: u64) -> bool {
        let Some((clock_ms, reported_ms)) = self.clock else {
            return now_ms > self.earlier_lease_expiry_ms;
        };
        let elapsed_ms = now_ms.saturating_sub(reported_ms);
        clock_ms + min_remote_duration_ms(elapsed_ms) > self.lease_end_max + LEASE_EXPIRY_MARGIN_MS
    }

    /// The number up to which a hold that is sent now lets the worker forget ended runs; 0 for
    /// none.
    ///
    /// Each incarnation numbers its ends anew, and a restart is noticed only by the next answer.
    /// A number of the earlier incarnation would make the new one forget ends that were not
    /// read. So a number is sent no more than once, and only shortly after an answer.
    pub fn forgettable_end(&self, now_ms: u64) -> u64 {
        let durable_end =
            self.non_durable_ends.first().map_or(self.last_processed_end, |first| first - 1);
        let is_confirmed =
            self.unanswered_calls == 0 && self.answered_ms + FORGET_WINDOW_MS >= now_ms;
        if is_confirmed && durable_end > self.forgotten_end { durable_end } else { 0 }
    }

    /// The rack, which is the last label; `None` if there is no label but the first one,
    /// the kind.
    pub fn rack(&self) -> Option<&str> {
        self.info.labels.get(1..)?.last().map(String::as_str)
    }

    /// Records a successful run: the worker is no longer avoided for earlier failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
    }

    /// Records a failed or stalled run. Returns whether the worker is in quarantine now.
    ///
    /// Without quarantine a worker on which all runs fail would be the emptiest one and use
    /// up the attempts of job after job.
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
