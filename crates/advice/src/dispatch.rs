//! Which query is sent next, and through which daemon.

use std::collections::BTreeMap;

use crate::budget::LONG_QUERY_MS;
use crate::budget::long_queries_max;

/// Initial backoff of a daemon through which a query failed; doubled with each further
/// failure. Without a backoff, a leader that is cut off from many daemons would lose queries
/// through them again and again.
const BACKOFF_MS: u64 = 2_000;
/// Maximum number of doublings, which makes half a minute.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// A daemon is given further queries while the advisor has less work than this left for it.
/// This covers the round trip between regions, during which the advisor would be idle.
const PIPELINE_MS: u64 = 30;
/// Weight of the newest answer in the slowdown of a daemon, in percent.
const SLOWDOWN_WEIGHT_PERCENT: u64 = 40;
/// Bounds of a daemon's slowdown, in percent of the expected duration.
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<u64> = 100..=2_000;
/// Time that is taken off each measured duration: the network is no reason to count a daemon as
/// slow for long queries.
const ROUND_TRIP_MS: u64 = 100;
/// After this time without an answer, half of a daemon's slowdown is forgotten. A daemon that is
/// no longer slow would otherwise get no query that shows it.
const SLOWDOWN_HALF_LIFE_MS: u64 = 10_000;

/// Identifies a query of one [`DispatchPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(u64);

/// A query that waits for a daemon.
#[derive(Clone, Copy, Debug)]
pub struct QueuedQuery {
    /// The priority of the step; 0 is the most urgent.
    pub priority: u32,
    /// Whether free capacity is kept for its answer. Within a priority, these come first.
    pub holds_capacity: bool,
    /// When the answer is needed; the earlier ones come first.
    pub needed_by_ms: u64,
    /// The time that the advisor is expected to take.
    pub cost_ms: u64,
}

/// A daemon that can send queries.
#[derive(Clone, Debug)]
pub struct DaemonShare {
    /// Its address.
    pub address: String,
    /// Its processor capacity in thousandths of a core.
    pub cpu_millis: u64,
}

/// How a query ended that was sent through a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The advisor answered.
    Answered,
    /// No answer came through the daemon.
    NoAnswer,
    /// The query was dropped, which says nothing about the daemon.
    Abandoned,
}

/// A query that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The query.
    pub query: QueryId,
    /// The address of the daemon that sends it.
    pub address: String,
}

/// The queued queries and the daemons that send them.
#[derive(Debug, Default)]
pub struct DispatchPlan {
    daemons: BTreeMap<String, Daemon>,
    /// The cost of each query in milliseconds.
    queue: BTreeMap<QueueKey, u64>,
    last_id: u64,
}

/// Order of the queue: priority, whether no capacity is held, time and arrival.
type QueueKey = (u32, bool, u64, QueryId);

#[derive(Debug)]
struct Daemon {
    cpu_millis: u64,
    sent: BTreeMap<QueryId, Sent>,
    /// How long queries take compared with what was expected, in percent.
    slowdown_percent: u64,
    slowdown_as_of_ms: u64,
    backoff_until_ms: u64,
    /// Consecutive queries without an answer.
    failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    cost_ms: u64,
    sent_ms: u64,
}

impl DispatchPlan {
    /// Replaces the list of daemons. Returns the queries that were sent through daemons that are
    /// gone; they have to be queued again.
    pub fn update_daemons(&mut self, daemons: &[DaemonShare]) -> Vec<QueryId> {
        let mut lost = Vec::new();
        self.daemons.retain(|address, daemon| {
            let is_listed = daemons.iter().any(|listed| listed.address == *address);
            if !is_listed {
                lost.extend(daemon.sent.keys().copied());
            }
            is_listed
        });
        for listed in daemons {
            let daemon =
                self.daemons.entry(listed.address.clone()).or_insert_with(|| Daemon::new(0));
            daemon.cpu_millis = listed.cpu_millis;
        }
        lost
    }

    /// The addresses of all daemons.
    pub fn addresses(&self) -> impl Iterator<Item = &String> {
        self.daemons.keys()
    }

    /// Queues a query.
    pub fn enqueue(&mut self, query: QueuedQuery) -> QueryId {
        self.last_id += 1;
        let id = QueryId(self.last_id);
        let key = (query.priority, !query.holds_capacity, query.needed_by_ms, id);
        self.queue.insert(key, query.cost_ms);
        id
    }

    /// Removes a query from the queue. Returns whether it was still queued.
    pub fn withdraw(&mut self, id: QueryId) -> bool {
        let key = self.queue.keys().find(|(.., queued)| *queued == id).copied();
        key.is_some_and(|key| self.queue.remove(&key).is_some())
    }

    /// Number of queries that wait for a daemon.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Decides which queries are sent now, and counts them as sent.
    ///
    /// Each query goes through the daemon that is expected to answer it first. If that daemon has
    /// a query in progress, the next one stays queued here, where it can still be withdrawn or
    /// sent elsewhere.
    pub fn assign(&mut self, now_ms: u64) -> Vec<Assignment> {
        let all_in_backoff = self.daemons.values().all(|daemon| daemon.backoff_until_ms > now_ms);
        let mut long_queries = self.daemons.values().map(Daemon::long_queries).sum::<usize>();
        let long_max = long_queries_max(self.daemons.len());
        let mut assigned = Vec::new();
        // The daemons that may be used, with the time until they have answered what they were
        // given and what is planned for them.
        let mut planned: Vec<(u64, &String, &mut Daemon)> = self
            .daemons
            .iter_mut()
            .filter(|(_, daemon)| all_in_backoff || daemon.backoff_until_ms <= now_ms)
            .map(|(address, daemon)| (daemon.remaining_ms(now_ms), address, daemon))
            .collect();
        let mut free = planned.iter().filter(|(.., daemon)| daemon.is_free()).count();
        let mut taken = Vec::new();
        for (key, cost_ms) in &self.queue {
            if free == 0 {
                break;
            }
            let is_long = *cost_ms >= LONG_QUERY_MS;
            if is_long && long_queries >= long_max {
                continue;
            }
            let end_ms = |(wait_ms, _, daemon): &(u64, &String, &mut Daemon)| {
                wait_ms + daemon.expected_ms(*cost_ms, now_ms)
            };
            let best = planned
                .iter_mut()
                .min_by_key(|entry| (end_ms(entry), u64::MAX - entry.2.cpu_millis));
            let Some(best) = best else { break };
            let is_planned_only = best.0 > best.2.remaining_ms(now_ms);
            let sends = best.2.is_free() && !is_planned_only;
            best.0 += best.2.expected_ms(*cost_ms, now_ms);
            if !sends {
                continue;
            }
            best.2.sent.insert(key.3, Sent { cost_ms: *cost_ms, sent_ms: now_ms });
            best.0 = best.2.remaining_ms(now_ms);
            free -= usize::from(!best.2.is_free());
            long_queries += usize::from(is_long);
            taken.push(*key);
            assigned.push(Assignment { query: key.3, address: best.1.clone() });
        }
        for key in taken {
            self.queue.remove(&key);
        }
        assigned
    }

    /// Records how a query ended that was sent through a daemon.
    pub fn record(&mut self, address: &str, id: QueryId, outcome: Outcome, now_ms: u64) {
        let Some(daemon) = self.daemons.get_mut(address) else { return };
        let first = daemon.sent.first_key_value().map(|(first, _)| *first);
        let Some(sent) = daemon.sent.remove(&id) else { return };
        match outcome {
            Outcome::Answered => {
                daemon.failures = 0;
                // Those behind another query also waited for that one.
                if first == Some(id) {
                    daemon.measure(sent, now_ms);
                }
            }
            Outcome::NoAnswer => {
                let backoff_ms = BACKOFF_MS << daemon.failures.min(BACKOFF_DOUBLINGS_MAX);
                daemon.backoff_until_ms = now_ms + backoff_ms;
                daemon.failures += 1;
            }
            Outcome::Abandoned => {}
        }
    }
}

impl Daemon {
    fn new(cpu_millis: u64) -> Self {
        Self {
            cpu_millis,
            sent: BTreeMap::new(),
            slowdown_percent: 100,
            slowdown_as_of_ms: 0,
            backoff_until_ms: 0,
            failures: 0,
        }
    }

    fn long_queries(&self) -> usize {
        self.sent.values().filter(|sent| sent.cost_ms >= LONG_QUERY_MS).count()
    }

    /// Whether it can be given a query without making it wait for another one.
    fn is_free(&self) -> bool {
        self.sent.values().map(|sent| sent.cost_ms).sum::<u64>() < PIPELINE_MS
    }

    fn slowdown_percent(&self, now_ms: u64) -> u64 {
        let half_lives = now_ms.saturating_sub(self.slowdown_as_of_ms) / SLOWDOWN_HALF_LIFE_MS;
        100 + (self.slowdown_percent.saturating_sub(100) >> half_lives.min(10))
    }

    fn expected_ms(&self, cost_ms: u64, now_ms: u64) -> u64 {
        cost_ms * self.slowdown_percent(now_ms) / 100
    }

    /// The time until it has answered what it was given. A query that is overdue is assumed to
    /// take half of its expected time still.
    fn remaining_ms(&self, now_ms: u64) -> u64 {
        let Some(first) = self.sent.values().next() else { return 0 };
        let first_ms = self.expected_ms(first.cost_ms, now_ms);
        let elapsed_ms = now_ms.saturating_sub(first.sent_ms);
        let first_left_ms =
            if elapsed_ms < first_ms { first_ms - elapsed_ms } else { first_ms.div_ceil(2) };
        let others = self.sent.values().skip(1);
        first_left_ms + others.map(|sent| self.expected_ms(sent.cost_ms, now_ms)).sum::<u64>()
    }

    fn measure(&mut self, sent: Sent, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(sent.sent_ms).saturating_sub(ROUND_TRIP_MS);
        let sample = took_ms * 100 / sent.cost_ms.max(1);
        let sample = sample.clamp(*SLOWDOWN_PERCENT.start(), *SLOWDOWN_PERCENT.end());
        let known = self.slowdown_percent(now_ms);
        self.slowdown_percent =
            (known * (100 - SLOWDOWN_WEIGHT_PERCENT) + sample * SLOWDOWN_WEIGHT_PERCENT) / 100;
        self.slowdown_as_of_ms = now_ms;
    }
}
