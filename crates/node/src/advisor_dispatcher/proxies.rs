//! Which daemons queries to the advisor are sent through.
//!
//! A daemon gets no queries for as long as there is evidence against it, and no longer. One that
//! lost a query is *silent* until it replies to a probe, which is sent at once, so a lost
//! connection costs a round trip, and a daemon that is down costs no further query. One that
//! replied that the advisor gives it no answer *backs off*. One with an overdue query, which may
//! stand still, gets no other until that query ends, or until it replies to a probe: then the query
//! is *written off*, once until the advisor answers it again.
//!
//! Of the daemons without evidence against them, those come first that have not lost queries again
//! and again lately.
//!
//! The evidence is about one daemon. If the leader itself stood still or lost its network, all
//! daemons are silent at one moment, and all are usable again after the round trip of a probe.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_pool::LONG_QUERY_MS;
use stoatwell_pool::long_queries_max;

use crate::trust::Trust;

/// A proxy is given further queries while the advisor has less work than this left for it.
/// This covers the round trip between regions, during which the advisor would be idle.
const PIPELINE_MS: u64 = 30;
/// Initial backoff of a daemon that the advisor did not answer; doubled with each further time.
const BACKOFF_MS: u64 = 1_000;
/// Maximum number of doublings of the backoff.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;
/// Delay before the second probe of a silent daemon; doubled with each further one.
const PROBE_DELAY_MIN_MS: u64 = 50;
/// Maximum delay between two probes.
const PROBE_DELAY_MAX_MS: u64 = 800;
/// One hedge may be in flight for this many usable daemons.
const DAEMONS_PER_HEDGE: usize = 4;

/// What a query is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Attempt {
    /// No other one is in flight for the same query.
    Sole,
    /// The one before is overdue and may still be answered.
    Hedge,
}

/// The result of a query through a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The advisor answered.
    Answered,
    /// The daemon replied that it got no answer of the advisor.
    NoAdvice,
    /// The daemon did not reply.
    NoReply,
    /// The query was dropped, which says nothing about the daemon.
    Abandoned,
}

/// The proxies and the queries that are in flight through them.
#[derive(Debug, Default)]
pub struct Proxies {
    by_address: BTreeMap<String, Proxy>,
    in_flight: BTreeMap<u64, InFlight>,
    last_id: u64,
    hedges: usize,
}

#[derive(Debug, Default)]
struct Proxy {
    health: Health,
    /// The advisor's expected time for all unanswered queries through this proxy.
    pending_ms: u64,
    /// Long queries that are in flight and not overdue.
    long_queries: usize,
    /// Queries that are overdue and not written off.
    overdue: usize,
    /// Whether a query was written off since the advisor last answered.
    has_written_off: bool,
    /// The probes of this proxy, while it is silent or has overdue queries.
    probes: Probes,
    /// Consecutive queries that the advisor did not answer.
    unadvised: u32,
    /// How often it lost a query, or stood still, lately.
    trust: Trust,
}

/// How often a proxy was probed without a reply, and when it is probed next.
#[derive(Clone, Copy, Debug, Default)]
struct Probes {
    sent: u32,
    next_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
enum Health {
    #[default]
    Good,
    /// It lost a query and has replied to nothing since.
    Silent,
    /// The advisor does not answer it.
    BackingOff { until_ms: u64 },
}

#[derive(Debug)]
struct InFlight {
    /// Number of the query, which may have several attempts; `None` once it has ended.
    query: Option<u64>,
    address: String,
    cost_ms: u64,
    attempt: Attempt,
    progress: Progress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Expected,
    Overdue,
    /// It counts no longer against its proxy.
    WrittenOff,
}

impl InFlight {
    fn is_long(&self) -> bool {
        self.cost_ms >= LONG_QUERY_MS
    }
}

impl Proxy {
    fn is_usable(&self, now_ms: u64) -> bool {
        self.overdue == 0 && self.is_answering(now_ms)
    }

    fn is_answering(&self, now_ms: u64) -> bool {
        match self.health {
            Health::Good => true,
            Health::Silent => false,
            Health::BackingOff { until_ms } => until_ms <= now_ms,
        }
    }

    /// Whether a reply to a probe would make it usable.
    fn needs_probe(&self) -> bool {
        match self.health {
            Health::Silent => true,
            Health::Good => self.overdue > 0 && !self.has_written_off,
            Health::BackingOff { .. } => false,
        }
    }
}

impl Proxies {
    /// Proxies that are these daemons and those that still have queries in flight.
    pub fn update(&mut self, addresses: BTreeSet<String>) {
        self.by_address
            .retain(|address, proxy| addresses.contains(address) || proxy.pending_ms > 0);
        for address in addresses {
            self.by_address.entry(address).or_default();
        }
    }

    /// The addresses of all proxies.
    pub fn addresses(&self) -> Vec<String> {
        self.by_address.keys().cloned().collect()
    }

    /// The number of proxies.
    pub fn count(&self) -> usize {
        self.by_address.len()
    }

    /// The number of proxies that get queries now.
    pub fn usable(&self, now_ms: u64) -> usize {
        self.by_address.values().filter(|proxy| proxy.is_usable(now_ms)).count()
    }

    /// The number of proxies that get queries now or when their overdue ones have ended.
    pub fn answering(&self, now_ms: u64) -> usize {
        self.by_address.values().filter(|proxy| proxy.is_answering(now_ms)).count()
    }

    /// The number of long queries all of whose attempts in flight are overdue. They take no time of
    /// a proxy that is usable.
    pub fn stuck_long_queries(&self) -> usize {
        let mut is_stuck: BTreeMap<u64, bool> = BTreeMap::new();
        for attempt in self.in_flight.values().filter(|attempt| attempt.is_long()) {
            let Some(query) = attempt.query else { continue };
            let is_overdue = attempt.progress != Progress::Expected;
            *is_stuck.entry(query).or_insert(true) &= is_overdue;
        }
        is_stuck.into_values().filter(|is_stuck| *is_stuck).count()
    }

    /// Assigns a query to the usable proxy with the least work. Returns the number of the query and
    /// the address of the proxy, or which queries have to wait.
    ///
    /// If no proxy is usable, those that back off are used nevertheless: nobody else could answer.
    pub fn assign(
        &mut self,
        query: u64,
        cost_ms: u64,
        attempt: Attempt,
        now_ms: u64,
    ) -> Result<(u64, String), Full> {
        let usable = self.usable(now_ms);
        if attempt == Attempt::Hedge && self.hedges >= (usable / DAEMONS_PER_HEDGE).max(1) {
            return Err(Full::ForThisKind);
        }
        let long_queries: usize = self.by_address.values().map(|proxy| proxy.long_queries).sum();
        if cost_ms >= LONG_QUERY_MS && long_queries >= long_queries_max(usable.max(1)) {
            return Err(Full::ForThisKind);
        }
        let available = self.by_address.iter_mut().filter(|(_, proxy)| {
            let is_permitted = proxy.is_usable(now_ms)
                || (usable == 0 && matches!(proxy.health, Health::BackingOff { .. }));
            is_permitted && proxy.pending_ms < PIPELINE_MS
        });
        let order = |proxy: &Proxy| (Reverse(proxy.trust.share_percent(now_ms)), proxy.pending_ms);
        let Some((address, proxy)) = available.min_by_key(|(_, proxy)| order(proxy)) else {
            return Err(Full::ForAll);
        };
        let progress = Progress::Expected;
        let in_flight =
            InFlight { query: Some(query), address: address.clone(), cost_ms, attempt, progress };
        proxy.pending_ms += cost_ms;
        proxy.long_queries += usize::from(in_flight.is_long());
        self.hedges += usize::from(attempt == Attempt::Hedge);
        self.last_id += 1;
        self.in_flight.insert(self.last_id, in_flight);
        Ok((self.last_id, address.clone()))
    }

    /// Records that a query has ended. Attempts that are still in flight tell only whether their
    /// daemons are alive.
    pub fn end_query(&mut self, query: u64) {
        for attempt in self.in_flight.values_mut() {
            attempt.query.take_if(|number| *number == query);
        }
    }

    /// Records that a query should have been answered by now.
    pub fn mark_overdue(&mut self, id: u64, now_ms: u64) {
        let Some(query) = self.in_flight.get_mut(&id) else { return };
        if query.progress != Progress::Expected {
            return;
        }
        query.progress = Progress::Overdue;
        let Some(proxy) = self.by_address.get_mut(&query.address) else { return };
        proxy.overdue += 1;
        proxy.trust.note_failure(now_ms);
        proxy.long_queries = proxy.long_queries.saturating_sub(usize::from(query.is_long()));
    }

    /// Records the end of a query.
    pub fn release(&mut self, id: u64, outcome: Outcome, now_ms: u64) {
        let Some(query) = self.in_flight.remove(&id) else { return };
        self.hedges -= usize::from(query.attempt == Attempt::Hedge);
        let Some(proxy) = self.by_address.get_mut(&query.address) else { return };
        match query.progress {
            Progress::Expected => {
                proxy.pending_ms = proxy.pending_ms.saturating_sub(query.cost_ms);
                proxy.long_queries =
                    proxy.long_queries.saturating_sub(usize::from(query.is_long()));
            }
            Progress::Overdue => {
                proxy.pending_ms = proxy.pending_ms.saturating_sub(query.cost_ms);
                proxy.overdue = proxy.overdue.saturating_sub(1);
            }
            Progress::WrittenOff => {}
        }
        match outcome {
            Outcome::Answered => {
                proxy.trust.note_success(now_ms);
                proxy.unadvised = 0;
                proxy.has_written_off = false;
                proxy.health = Health::Good;
            }
            Outcome::NoAdvice => {
                let backoff_ms = BACKOFF_MS << proxy.unadvised.min(BACKOFF_DOUBLINGS_MAX);
                proxy.unadvised += 1;
                proxy.health = Health::BackingOff { until_ms: now_ms + backoff_ms };
            }
            Outcome::NoReply => {
                // A failure that was noted when the query was overdue counts once.
                if query.progress == Progress::Expected {
                    proxy.trust.note_failure(now_ms);
                }
                proxy.health = Health::Silent;
            }
            Outcome::Abandoned => {}
        }
    }

    /// The proxies to probe now, at most `count_max`. Each is probed again later if it does not
    /// reply.
    pub fn take_due_probes(&mut self, count_max: usize, now_ms: u64) -> Vec<String> {
        let mut due = Vec::new();
        for (address, proxy) in &mut self.by_address {
            if due.len() == count_max {
                break;
            }
            if !proxy.needs_probe() {
                proxy.probes = Probes::default();
                continue;
            }
            if proxy.probes.next_ms > now_ms {
                continue;
            }
            let delay_ms = PROBE_DELAY_MIN_MS.saturating_mul(1 << proxy.probes.sent.min(16));
            proxy.probes.next_ms = now_ms + delay_ms.min(PROBE_DELAY_MAX_MS);
            proxy.probes.sent += 1;
            due.push(address.clone());
        }
        due
    }

    /// Records that a daemon replied to a probe.
    pub fn mark_alive(&mut self, address: &str, now_ms: u64) {
        let Some(proxy) = self.by_address.get_mut(address) else { return };
        if !proxy.needs_probe() {
            return;
        }
        proxy.health = Health::Good;
        proxy.trust.note_success(now_ms);
        proxy.probes = Probes::default();
        for query in self.in_flight.values_mut() {
            if query.address != address || query.progress != Progress::Overdue {
                continue;
            }
            query.progress = Progress::WrittenOff;
            proxy.has_written_off = true;
            proxy.pending_ms = proxy.pending_ms.saturating_sub(query.cost_ms);
            proxy.overdue = proxy.overdue.saturating_sub(1);
        }
    }
}

/// What has no proxy now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Hedges, or long queries.
    ForThisKind,
    /// All queries.
    ForAll,
}
