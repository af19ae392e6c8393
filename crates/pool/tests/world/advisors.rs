//! A simulation of daemons that send queries to the advisor, which serves one query of each daemon
//! at a time.

use std::collections::BTreeMap;

use stoatwell_advice::DaemonShare;
use stoatwell_advice::DispatchPlan;
use stoatwell_advice::Outcome;
use stoatwell_advice::QueryId;
use stoatwell_pool::AdviseCall;
use stoatwell_pool::StepId;

/// How much longer than expected the leader waits for an answer, as the dispatcher of a daemon.
const TIMEOUT_MARGIN_MS: u64 = 600;

/// The daemons of a pool and their queries.
pub struct Advisors {
    plan: DispatchPlan,
    /// Each with the time at which it was queued.
    queued: BTreeMap<QueryId, (AdviseCall, u64)>,
    sent: BTreeMap<QueryId, Sent>,
    /// By daemon, when the advisor has served its queries so far.
    busy_until_ms: BTreeMap<String, u64>,
    /// By daemon, how many times longer its queries take.
    slowness: BTreeMap<String, u64>,
    /// How long each query waited at the leader.
    pub waits_ms: Vec<u64>,
    /// The advisor's time for all answered queries.
    pub spent_ms: u64,
}

struct Sent {
    call: AdviseCall,
    address: String,
    end_ms: u64,
    is_answered: bool,
}

impl Advisors {
    pub fn new(daemons: usize, slow: usize, slowness: u64) -> Self {
        let address = |number: usize| format!("daemon-{number:02}");
        let share = |number| DaemonShare { address: address(number), cpu_millis: 250 };
        let mut plan = DispatchPlan::default();
        plan.update_daemons(&(0..daemons).map(share).collect::<Vec<_>>());
        Self {
            plan,
            queued: BTreeMap::new(),
            sent: BTreeMap::new(),
            busy_until_ms: BTreeMap::new(),
            slowness: (0..slow).map(|number| (address(number), slowness)).collect(),
            waits_ms: Vec::new(),
            spent_ms: 0,
        }
    }

    pub fn enqueue(&mut self, call: AdviseCall, now_ms: u64) {
        self.queued.insert(self.plan.enqueue(call.queued()), (call, now_ms));
    }

    /// Withdraws the queued queries of a step and returns them.
    pub fn withdraw(&mut self, step: StepId) -> Vec<AdviseCall> {
        self.withdraw_if(|call, _| call.step == step)
    }

    fn withdraw_if(&mut self, is_unneeded: impl Fn(&AdviseCall, u64) -> bool) -> Vec<AdviseCall> {
        let withdrawn =
            self.queued.extract_if(.., |_, (call, since_ms)| is_unneeded(call, *since_ms));
        let withdraw = |(id, (call, _))| {
            self.plan.withdraw(id);
            call
        };
        withdrawn.map(withdraw).collect()
    }

    /// Advances to `now_ms`. Returns the queries that ended, each with whether it was answered.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(AdviseCall, bool)> {
        let mut ended = Vec::new();
        for (id, sent) in self.sent.extract_if(.., |_, sent| sent.end_ms <= now_ms) {
            let outcome = if sent.is_answered { Outcome::Answered } else { Outcome::NoAnswer };
            self.plan.record(&sent.address, id, outcome, now_ms);
            self.spent_ms += if sent.is_answered { sent.call.cost_ms } else { 0 };
            ended.push((sent.call, sent.is_answered));
        }
        let late = self.withdraw_if(|call, since_ms| now_ms >= since_ms + call.withdraw_after_ms);
        ended.extend(late.into_iter().map(|call| (call, false)));
        for assignment in self.plan.assign(now_ms) {
            let Some((call, since_ms)) = self.queued.remove(&assignment.query) else { continue };
            self.waits_ms.push(now_ms - since_ms);
            let slowness = self.slowness.get(&assignment.address).copied().unwrap_or(1);
            let busy_until_ms = self.busy_until_ms.entry(assignment.address.clone()).or_default();
            *busy_until_ms = (*busy_until_ms).max(now_ms) + call.cost_ms * slowness;
            let limit_ms = now_ms + call.cost_ms + TIMEOUT_MARGIN_MS;
            let (end_ms, is_answered) = (limit_ms.min(*busy_until_ms), *busy_until_ms <= limit_ms);
            let sent = Sent { call, address: assignment.address, end_ms, is_answered };
            self.sent.insert(assignment.query, sent);
        }
        ended
    }
}
