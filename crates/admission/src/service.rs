//! Usage, backlog and shares of one service's workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::promotion::Promotion;

/// Time over which usage is averaged: some runs of a task, so that a share is not exceeded only
/// because a few tasks started at the same moment.
const USAGE_WINDOW_MS: f64 = 3_000.0;
/// How long a customer without usage or backlog still counts when shares are divided.
const ACTIVE_MS: u64 = 5_000;
/// Usage, in percent of the share, from which on a customer is beyond it, and up to which it
/// remains so. The gap keeps the order of the queue from changing with each sample.
const BEYOND_PERCENT: u64 = 110;
const WITHIN_PERCENT: u64 = 100;

/// The index of a customer, given by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub usize);

/// What a customer is entitled to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerShare {
    /// The part of a full pool relative to other customers.
    pub weight: f64,
    /// The CPU that its tasks may use; 0 means no limit.
    pub cap_millis: u64,
}

/// Tasks that wait for a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Their expected work.
    pub work_core_ms: u64,
    /// The CPU that they use together once they run; 0 if they wait for a customer's cap instead
    /// of for capacity.
    pub cpu_millis: u64,
}

impl Waiting {
    /// Adds further tasks.
    pub fn add(&mut self, other: Self) {
        self.work_core_ms += other.work_core_ms;
        self.cpu_millis += other.cpu_millis;
    }
}

/// The state of one service's workers at one moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// The CPU of all workers that accept tasks.
    pub capacity_millis: u64,
    /// The part of it that is not allocated.
    pub free_millis: u64,
    /// The CPU that work below the highest priority leaves free.
    pub headroom_millis: u64,
    /// The allocated CPU of all tasks, also of those without a customer.
    pub used_millis: u64,
    /// The allocated CPU by customer and priority.
    pub used: BTreeMap<(CustomerId, u32), u64>,
    /// The tasks that could start if there were capacity, by customer and priority.
    pub waiting: BTreeMap<(CustomerId, u32), Waiting>,
    /// Those without a customer, by priority.
    pub waiting_others: BTreeMap<u32, Waiting>,
}

/// The accounts of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(super) started_ms: u64,
    sampled_ms: u64,
    pub(super) latest: Sample,
    /// Mean of the used CPU, which is the rate at which capacity becomes free.
    pub(super) used_millis: f64,
    /// Means of the used CPU by customer and priority.
    used: BTreeMap<(CustomerId, u32), f64>,
    /// When a customer last had usage or a backlog.
    active_ms: BTreeMap<CustomerId, u64>,
    /// When a customer last had a backlog.
    pub(super) waiting_ms: BTreeMap<CustomerId, u64>,
    /// The CPU to which each active customer is entitled.
    pub(super) entitled_millis: BTreeMap<CustomerId, u64>,
    beyond: BTreeSet<(CustomerId, u32)>,
    pub(super) shares: Vec<CustomerShare>,
    pub(super) promotion: Promotion,
    pub(super) retries: crate::verdict::Retries,
}

impl Service {
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            sampled_ms: now_ms,
            latest: Sample::default(),
            used_millis: 0.0,
            used: BTreeMap::new(),
            active_ms: BTreeMap::new(),
            waiting_ms: BTreeMap::new(),
            entitled_millis: BTreeMap::new(),
            beyond: BTreeSet::new(),
            shares: Vec::new(),
            promotion: Promotion::default(),
            retries: crate::verdict::Retries::default(),
        }
    }

    pub fn record(&mut self, now_ms: u64, sample: Sample, shares: &[CustomerShare]) {
        let elapsed_ms = now_ms.saturating_sub(self.sampled_ms);
        self.sampled_ms = now_ms;
        self.shares = shares.to_vec();
        let part = (elapsed_ms as f64 / USAGE_WINDOW_MS).min(1.0);
        self.used_millis += (sample.used_millis as f64 - self.used_millis) * part;
        for key in sample.used.keys() {
            self.used.entry(*key).or_default();
        }
        for (key, mean) in &mut self.used {
            let used_millis = sample.used.get(key).copied().unwrap_or_default();
            *mean += (used_millis as f64 - *mean) * part;
        }
        for ((customer, _), waiting) in &sample.waiting {
            if waiting.cpu_millis > 0 {
                self.waiting_ms.insert(*customer, now_ms);
            }
        }
        for (customer, _) in sample.used.keys().chain(sample.waiting.keys()) {
            self.active_ms.insert(*customer, now_ms);
        }
        self.active_ms.retain(|_, at_ms| *at_ms + ACTIVE_MS > now_ms);
        self.promotion.refill(elapsed_ms, sample.used_millis);
        self.retries.remove_expired(now_ms);
        self.latest = sample;
        self.divide();
    }

    /// Divides the capacity among the active customers by weight, and finds who uses more.
    fn divide(&mut self) {
        let weight = |customer: &CustomerId| {
            self.shares.get(customer.0).map_or(0.0, |share| share.weight.max(0.0))
        };
        let total: f64 = self.active_ms.keys().map(weight).sum();
        let capacity = self.latest.capacity_millis as f64;
        let entitled = |customer: &CustomerId| {
            let part = if total > 0.0 { weight(customer) / total } else { 0.0 };
            (*customer, (capacity * part) as u64)
        };
        self.entitled_millis = self.active_ms.keys().map(entitled).collect();
        let mut beyond = BTreeSet::new();
        let mut last: Option<(CustomerId, f64)> = None;
        // The keys are ordered by customer and then by priority, the most urgent first.
        for ((customer, priority), mean) in &self.used {
            let sum = match last {
                Some((other, sum)) if other == *customer => sum + mean,
                _ => *mean,
            };
            last = Some((*customer, sum));
            let entitled = self.entitled_millis.get(customer).copied().unwrap_or(u64::MAX);
            let was_beyond = self.beyond.contains(&(*customer, *priority));
            let percent = if was_beyond { WITHIN_PERCENT } else { BEYOND_PERCENT };
            if sum * 100.0 > entitled as f64 * percent as f64 {
                beyond.insert((*customer, *priority));
            }
        }
        self.beyond = beyond;
    }

    /// The free CPU that work of this priority may use.
    pub fn usable_millis(&self, priority: u32) -> u64 {
        let headroom_millis = if priority == 0 { 0 } else { self.latest.headroom_millis };
        self.latest.free_millis.saturating_sub(headroom_millis)
    }

    /// Whether more CPU is waited for than may be used.
    pub fn is_full(&self) -> bool {
        let with_customer =
            self.latest.waiting.iter().map(|((_, priority), waiting)| (*priority, waiting));
        let others = self.latest.waiting_others.iter().map(|(priority, it)| (*priority, it));
        let (mut urgent_millis, mut all_millis) = (0, 0);
        for (priority, waiting) in with_customer.chain(others) {
            all_millis += waiting.cpu_millis;
            urgent_millis += if priority == 0 { waiting.cpu_millis } else { 0 };
        }
        urgent_millis > self.usable_millis(0)
            || (all_millis > urgent_millis && all_millis > self.usable_millis(1))
    }

    pub fn is_beyond(&self, customer: CustomerId, priority: u32) -> bool {
        self.beyond.contains(&(customer, priority))
    }

    /// The part, in percent, of the CPU that a customer's work of this priority uses which is
    /// within its share.
    pub fn part_within_share(&self, customer: CustomerId, priority: u32) -> u64 {
        if !self.is_beyond(customer, priority) {
            return 100;
        }
        let used_millis = self.mean_used_millis(customer, priority).max(1);
        let entitled_millis = self.entitled_millis.get(&customer).copied().unwrap_or_default();
        (entitled_millis * 100 / used_millis).min(100)
    }

    /// Whether any work of the customer is beyond its share.
    pub fn has_beyond(&self, customer: CustomerId) -> bool {
        self.beyond.range((customer, 0)..=(customer, u32::MAX)).next().is_some()
    }

    pub fn add_waiting(&mut self, customer: CustomerId, priority: u32, waiting: Waiting) {
        self.latest.waiting.entry((customer, priority)).or_default().add(waiting);
    }

    /// The mean CPU that a customer's work of this priority and of more urgent ones uses.
    pub fn mean_used_millis(&self, customer: CustomerId, priority: u32) -> u64 {
        let used = self.used.range((customer, 0)..=(customer, priority));
        used.map(|(_, mean)| *mean).sum::<f64>() as u64
    }

    /// The mean CPU that more urgent work of a customer uses, or that of all customers.
    pub fn mean_more_urgent_millis(&self, customer: Option<CustomerId>, priority: u32) -> u64 {
        let is_more_urgent = |((other, other_priority), _): &(&(CustomerId, u32), &f64)| {
            *other_priority < priority && customer.is_none_or(|customer| customer == *other)
        };
        self.used.iter().filter(is_more_urgent).map(|(_, mean)| *mean).sum::<f64>() as u64
    }
}
