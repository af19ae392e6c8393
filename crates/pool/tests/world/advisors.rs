//! A simulation of daemons that send queries to the advisor, which serves one query of each daemon
//! at a time.

use std::collections::BTreeMap;

use stoatwell_advice::DaemonShare;
use stoatwell_advice::DispatchPlan;
use stoatwell_advice::Outcome;
use stoatwell_advice::Purpose;
use stoatwell_advice::QueryId;
use stoatwell_advice::QueuedQuery;
use stoatwell_model::WorkerId;
use stoatwell_pool::StepId;

/// How much longer than expected the leader waits for an answer, as the dispatcher of a daemon.
const TIMEOUT_MARGIN_MS: u64 = 600;

/// A query on its way to the advisor.
#[derive(Clone)]
pub struct Query {
    pub step: StepId,
    pub workers: Vec<WorkerId>,
    pub priority: u32,
    pub cost_ms: u64,
    pub purpose: Purpose,
    pub needed_by_ms: u64,
    pub withdraw_after_ms: u64,
}

/// The daemons of a pool and their queries.
pub struct Advisors {
    plan: DispatchPlan,
    queued: BTreeMap<QueryId, (Query, u64)>,
    sent: BTreeMap<QueryId, Sent>,
    /// By daemon, when the advisor has served its queries so far.
    busy_until_ms: BTreeMap<String, u64>,
    /// By daemon, how many times longer its queries take.
    slowness: BTreeMap<String, u64>,
    /// How long each query waited at the leader.
    pub waits_ms: Vec<u64>,
    /// The advisor's time for all answered queries.
    pub spent_ms: u64,
    pub withdrawn: usize,
    pub unanswered: usize,
}

struct Sent {
    query: Query,
    address: String,
    answer_ms: u64,
    is_answered: bool,
}

impl Advisors {
    pub fn new(daemons: usize, slow: usize, slowness: u64) -> Self {
        let address = |number: usize| format!("daemon-{number:02}");
        let shares: Vec<DaemonShare> = (0..daemons)
            .map(|number| DaemonShare { address: address(number), cpu_millis: 250 })
            .collect();
        let mut plan = DispatchPlan::default();
        plan.update_daemons(&shares);
        Self {
            plan,
            queued: BTreeMap::new(),
            sent: BTreeMap::new(),
            busy_until_ms: BTreeMap::new(),
            slowness: (0..slow).map(|number| (address(number), slowness)).collect(),
            waits_ms: Vec::new(),
            spent_ms: 0,
            withdrawn: 0,
            unanswered: 0,
        }
    }

    pub fn enqueue(&mut self, query: Query, now_ms: u64) {
        let id = self.plan.enqueue(QueuedQuery {
            priority: query.priority,
            holds_capacity: query.purpose == Purpose::Renewal,
            needed_by_ms: query.needed_by_ms,
            cost_ms: query.cost_ms,
        });
        self.queued.insert(id, (query, now_ms));
    }

    /// Withdraws the queued queries of a step and returns them.
    pub fn withdraw(&mut self, step: StepId) -> Vec<Query> {
        self.withdraw_if(|query, _| query.step == step)
    }

    fn withdraw_if(&mut self, is_unneeded: impl Fn(&Query, u64) -> bool) -> Vec<Query> {
        let unneeded =
            |(_, (query, since_ms)): &(&QueryId, &(Query, u64))| is_unneeded(query, *since_ms);
        let ids: Vec<QueryId> = self.queued.iter().filter(unneeded).map(|(id, _)| *id).collect();
        self.withdrawn += ids.len();
        let mut queries = Vec::new();
        for id in ids {
            self.plan.withdraw(id);
            queries.extend(self.queued.remove(&id).map(|(query, _)| query));
        }
        queries
    }

    /// Advances to `now_ms`. Returns the queries that ended, each with whether it was answered.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(Query, bool)> {
        let due = |(_, sent): &(&QueryId, &Sent)| sent.answer_ms <= now_ms;
        let ids: Vec<QueryId> = self.sent.iter().filter(due).map(|(id, _)| *id).collect();
        let mut ended = Vec::new();
        for id in ids {
            let Some(sent) = self.sent.remove(&id) else { continue };
            let outcome = if sent.is_answered { Outcome::Answered } else { Outcome::NoAnswer };
            self.plan.record(&sent.address, id, outcome, now_ms);
            if sent.is_answered {
                self.spent_ms += sent.query.cost_ms;
            } else {
                self.unanswered += 1;
            }
            ended.push((sent.query, sent.is_answered));
        }
        let late = self.withdraw_if(|query, since_ms| now_ms >= since_ms + query.withdraw_after_ms);
        ended.extend(late.into_iter().map(|query| (query, false)));
        for assignment in self.plan.assign(now_ms) {
            let Some((query, since_ms)) = self.queued.remove(&assignment.query) else { continue };
            self.waits_ms.push(now_ms - since_ms);
            let slowness = self.slowness.get(&assignment.address).copied().unwrap_or(1);
            let busy_until_ms = self.busy_until_ms.entry(assignment.address.clone()).or_default();
            *busy_until_ms = (*busy_until_ms).max(now_ms) + query.cost_ms * slowness;
            let limit_ms = now_ms + query.cost_ms + TIMEOUT_MARGIN_MS;
            let sent = Sent {
                address: assignment.address,
                answer_ms: limit_ms.min(*busy_until_ms),
                is_answered: *busy_until_ms <= limit_ms,
                query,
            };
            self.sent.insert(assignment.query, sent);
        }
        ended
    }
}
