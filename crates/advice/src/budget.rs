//! How many queries may be pending, and how many workers one of them names.

/// How long a query may be expected to wait for a daemon. A quarter of the usual validity of a
/// ticket, so that most of the validity is left for the start.
pub const WAIT_MAX_MS: u64 = 500;
/// A queued query is withdrawn after this share of a ticket's validity, in percent: the capacity
/// that is allocated for it is of more use to other steps.
const WITHDRAW_PERCENT: u64 = 50;
/// Expected duration from which on a query counts as long.
pub const LONG_QUERY_MS: u64 = 200;
/// One daemon in this many is reserved for short queries, which urgent work waits for.
const SHORT_ONLY_DIVISOR: usize = 5;
/// Minimum number of daemons reserved for short queries, but never more than half of
/// the daemons.
const SHORT_ONLY_MIN: usize = 8;
/// Time that the per-worker cost may add to a query while daemons are idle.
const PER_WORKER_BUDGET_MS: f64 = 200.0;
/// Time that the per-worker cost may add to a query while no daemon is idle, in percent of the
/// fixed cost. A query about fewer workers costs little less and causes a further query sooner.
const BUSY_PER_WORKER_PERCENT: f64 = 100.0;
/// Time that workers which are named in reserve may add to a renewal, in percent of the fixed cost.
const RENEWAL_RESERVE_PERCENT: f64 = 30.0;

/// The expected duration of queries to an advisor.
#[derive(Clone, Copy, Debug)]
pub struct QueryCost {
    /// Time for each query.
    pub decide_ms: f64,
    /// Additional time for each worker that the query names.
    pub each_ms: f64,
}

/// Queries that are not answered yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Number of daemons that send queries.
    pub daemons: usize,
    /// Number of unanswered queries.
    pub queries: usize,
    /// Time of the daemons that the queries take which a new one would wait for, see
    /// [`busy_ms`].
    pub ahead_ms: u64,
}

impl QueryCost {
    /// The expected duration of a query about this many workers.
    pub fn of(&self, workers: usize) -> u64 {
        (self.decide_ms + self.each_ms * workers as f64) as u64 + 1
    }

    /// How many workers a query may name so that their cost stays in proportion. If the advisor is
    /// scarce, a query that would be short without them stays short.
    pub fn affordable_workers(&self, is_scarce: bool) -> usize {
        if !is_scarce {
            return self.workers_within(PER_WORKER_BUDGET_MS);
        }
        let budget_ms =
            (self.decide_ms * BUSY_PER_WORKER_PERCENT / 100.0).min(PER_WORKER_BUDGET_MS);
        let short_ms = LONG_QUERY_MS as f64 - 2.0 - self.decide_ms;
        self.workers_within(if short_ms > 0.0 { budget_ms.min(short_ms) } else { budget_ms })
    }

    /// How many workers a renewal may name besides those that are about to be used.
    pub fn renewal_reserve(&self) -> usize {
        self.workers_within(self.decide_ms * RENEWAL_RESERVE_PERCENT / 100.0)
    }

    fn workers_within(&self, budget_ms: f64) -> usize {
        if self.each_ms > 0.0 { (budget_ms / self.each_ms) as usize } else { usize::MAX }
    }
}

impl Load {
    /// Whether a daemon is expected to be without a query.
    pub fn has_idle_daemon(&self) -> bool {
        self.queries < self.daemons
    }

    /// Whether one more query is sent in time.
    pub fn admits(&self, cost_ms: u64) -> bool {
        self.has_idle_daemon()
            || self.ahead_ms + busy_ms(cost_ms) <= WAIT_MAX_MS * self.daemons as u64
    }
}

/// The part of a query's time that counts for those behind it. They wait for at most
/// [`WAIT_MAX_MS`], and a longer query keeps only its own daemon busy.
pub fn busy_ms(cost_ms: u64) -> u64 {
    cost_ms.min(WAIT_MAX_MS)
}

/// How long a query may wait for a daemon before it is withdrawn.
pub fn withdraw_after_ms(valid_ms: u64) -> u64 {
    valid_ms * WITHDRAW_PERCENT / 100
}

/// How many long queries may be pending with this many daemons. With more, queries
/// would wait for each other until the first tickets have expired again.
pub fn long_queries_max(daemons: usize) -> usize {
    daemons - (daemons / SHORT_ONLY_DIVISOR).max(SHORT_ONLY_MIN.min(daemons / 2))
}
