//! Whether an arriving job is admitted, and when a refused one may return.

use std::collections::BTreeMap;

use crate::service::CustomerId;
use crate::service::Service;
use crate::service::Waiting;

/// Time after the first sample in which nothing is refused: the usage is averaged over some
/// seconds, and a new leader does not know it.
const MEASURED_MS: u64 = 5_000;
/// Expected end, in percent of the time that its caller allows, from which on a job is
/// refused. Estimates of durations are off by up to 0.9, and a late job is still worth a part.
const TOO_LATE_PERCENT: u64 = 200;
/// How long ago other customers may have waited for capacity that a refused job would take.
const OTHERS_WAITED_MS: u64 = 2_000;
/// Longest time after which a caller is asked to return, before it is spread.
const RETRY_AFTER_MAX_MS: u64 = 30_000;
/// How much earlier or later than it was asked to a caller may return and is admitted.
const RETRY_TOLERANCE_MS: u64 = 1_000;
const RETRY_KEPT_MS: u64 = 30_000;

/// An arriving job.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The job's number, which is the same if it is submitted again.
    pub job: u64,
    /// The service whose workers it needs.
    pub service: &'a str,
    /// The customer that submits it.
    pub customer: CustomerId,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// All its tasks.
    pub waiting: Waiting,
    /// The CPU of those of its tasks that could start now.
    pub first_cpu_millis: u64,
    /// How long it is expected to run without any wait.
    pub duration_ms: u64,
    /// The time until it is late.
    pub allowed_ms: u64,
    /// Whether the customer has submitted more jobs than its weight allows.
    pub exceeds_rate: bool,
}

/// The answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is admitted.
    Admit,
    /// The job is refused.
    Refuse(Refusal),
}

/// Why a job is refused, and when its caller may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the job may be submitted again, from now.
    pub retry_after_s: u32,
    /// When it would have ended, from now.
    pub expected_end_ms: u64,
    /// The waiting work of its customer that would be served before it.
    pub own_backlog_core_ms: u64,
    /// All waiting work of its priority and of more urgent ones.
    pub backlog_core_ms: u64,
    /// The CPU that becomes free for its customer's work of this priority, per unit of time.
    pub own_rate_millis: u64,
    /// The CPU that becomes free on all workers for work of this priority, per unit of time.
    pub drain_rate_millis: u64,
    /// The CPU to which the customer is entitled.
    pub entitled_millis: u64,
}

/// When refused callers were asked to return.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// When the next refused job of each customer can be served after the earlier ones.
    next_ms: BTreeMap<CustomerId, u64>,
    /// When each refused job was asked to return.
    due_ms: BTreeMap<u64, u64>,
}

impl Retries {
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.due_ms.retain(|_, due_ms| *due_ms + RETRY_KEPT_MS > now_ms);
        self.next_ms.retain(|_, next_ms| *next_ms > now_ms);
    }
}

impl Service {
    pub fn judge(&mut self, now_ms: u64, arrival: &Arrival<'_>) -> Verdict {
        if !arrival.exceeds_rate || now_ms < self.started_ms + MEASURED_MS || !self.is_full() {
            return Verdict::Admit;
        }
        let returned_ms = now_ms + RETRY_TOLERANCE_MS;
        if self.retries.due_ms.get(&arrival.job).is_some_and(|due_ms| *due_ms <= returned_ms) {
            self.retries.due_ms.remove(&arrival.job);
            return Verdict::Admit;
        }
        let (own, all) = self.waiting_before(arrival);
        let share = self.shares.get(arrival.customer.0).copied().unwrap_or_default();
        let cap_millis = if share.cap_millis == 0 { u64::MAX } else { share.cap_millis };
        let used_millis = self.mean_used_millis(arrival.customer, arrival.priority);
        let entitled_millis =
            self.entitled_millis.get(&arrival.customer).copied().unwrap_or_default();
        let has_room = self.usable_millis(arrival.priority)
            >= all.cpu_millis + arrival.first_cpu_millis
            && used_millis + own.cpu_millis + arrival.first_cpu_millis <= cap_millis;
        if has_room || !self.displaces_others(now_ms, arrival.customer) {
            return Verdict::Admit;
        }
        // More urgent work that arrives later is served first, so the capacity that it uses does
        // not count. The customer gets the rest of its share, or what it uses now if that is
        // more. In a pool that is not fair at the moment, its job is still served once all work
        // before it is.
        let urgent_millis = self.mean_more_urgent_millis(Some(arrival.customer), arrival.priority);
        let own_rate_millis =
            used_millis.max(entitled_millis).min(cap_millis).saturating_sub(urgent_millis).max(1);
        let urgent_millis = self.mean_more_urgent_millis(None, arrival.priority);
        let drain_rate_millis = (self.used_millis as u64)
            .max(self.latest.used_millis)
            .saturating_sub(urgent_millis)
            .max(1);
        let own_wait_ms = own.work_core_ms * 1_000 / own_rate_millis;
        let pool_wait_ms = all.work_core_ms * 1_000 / drain_rate_millis;
        let wait_ms = own_wait_ms.min(pool_wait_ms);
        let expected_end_ms = wait_ms + arrival.duration_ms;
        if expected_end_ms * 100 <= arrival.allowed_ms * TOO_LATE_PERCENT {
            return Verdict::Admit;
        }
        let in_time_ms = expected_end_ms.saturating_sub(arrival.allowed_ms);
        let own_work_ms = arrival.waiting.work_core_ms * 1_000 / own_rate_millis;
        let retry_after_ms = self.plan_retry(now_ms, arrival, in_time_ms, own_work_ms);
        Verdict::Refuse(Refusal {
            retry_after_s: retry_after_ms.div_ceil(1_000).max(1) as u32,
            expected_end_ms,
            own_backlog_core_ms: own.work_core_ms,
            backlog_core_ms: all.work_core_ms,
            own_rate_millis,
            drain_rate_millis,
            entitled_millis,
        })
    }

    /// The waiting tasks of the customer, and those of all, that have the arrival's priority
    /// or a more urgent one.
    fn waiting_before(&self, arrival: &Arrival<'_>) -> (Waiting, Waiting) {
        let (mut own, mut all) = (Waiting::default(), Waiting::default());
        for ((customer, priority), waiting) in &self.latest.waiting {
            if *priority > arrival.priority {
                continue;
            }
            all.add(*waiting);
            if *customer == arrival.customer {
                own.add(*waiting);
            }
        }
        for waiting in self.latest.waiting_others.range(..=arrival.priority) {
            all.add(*waiting.1);
        }
        (own, all)
    }

    /// Whether work that a customer places beyond its weight takes capacity from other
    /// customers within theirs, or from work without a customer.
    fn displaces_others(&self, now_ms: u64, customer: CustomerId) -> bool {
        let waits = |(other, at_ms): (&CustomerId, &u64)| {
            *other != customer && *at_ms + OTHERS_WAITED_MS > now_ms && !self.has_beyond(*other)
        };
        !self.latest.waiting_others.is_empty() || self.waiting_ms.iter().any(waits)
    }

    /// Plans the return of a refused job: once it could be in time, and after the jobs of its
    /// customer that were refused before. Returns the time until then.
    fn plan_retry(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        in_time_ms: u64,
        own_work_ms: u64,
    ) -> u64 {
        let next_ms = self.retries.next_ms.entry(arrival.customer).or_default();
        let due_ms = (*next_ms).max(now_ms + in_time_ms);
        *next_ms = due_ms + own_work_ms;
        let mut after_ms = due_ms - now_ms;
        if after_ms > RETRY_AFTER_MAX_MS {
            after_ms = RETRY_AFTER_MAX_MS + arrival.job % RETRY_AFTER_MAX_MS;
        }
        self.retries.due_ms.insert(arrival.job, now_ms + after_ms);
        after_ms
    }
}
