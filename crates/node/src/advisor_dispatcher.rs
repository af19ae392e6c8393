//! Asks the advisor through many daemons.
//!
//! The advisor serves one question at a time for each daemon that asks, and
//! one can take most of a second. Asked by the scheduler alone, it would be
//! its bottleneck; so questions go through all daemons, the most urgent first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_pool::Grant;
use stoatwell_pool::LONG_ASK_MS;
use stoatwell_pool::StepId;
use stoatwell_pool::long_questions_max;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::members::Member;
use crate::outside::Outside;
use crate::peers::NodeCall;
use crate::peers::NodeReply;

/// How much longer than the advisor's own time an answer may take: calls that
/// wait before it, and some round trips between regions.
const MARGIN_MS: u64 = 600;
/// A daemon that brought no answer is not asked again for this long at first;
/// doubled with each further one. A scheduler that is cut off from many daemons
/// would otherwise lose every call through them again and again.
const PAUSE_MS: u64 = 2_000;
/// ... this many times at most, which is half a minute.
const PAUSE_DOUBLINGS: u32 = 4;

/// A call that failed is tried through another daemon at once if no more than
/// this was lost with it: a daemon that is gone, or cut off, and a short call.
const QUICK_MS: u64 = 1_000;
/// ... this many times in all; more than a few daemons rarely stop together.
const TRIES_MAX: u32 = 4;
/// A daemon is given further calls while the advisor has less than this to do
/// for it: the way there and back between regions, which would be idle time.
const AHEAD_MS: u64 = 30;
/// How long a daemon that is told something may take.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Daemons that ask the advisor.
#[derive(Debug)]
pub struct AdvisorDispatcher<O> {
    outside: Arc<O>,
    peers: Peers,
    me: String,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    asking: BTreeMap<String, Asking>,
    /// Calls that wait for a daemon, by priority and arrival.
    waiting: BTreeMap<(u32, u64), Waiting>,
    arrivals: u64,
}

#[derive(Debug, Default)]
struct Asking {
    /// Time of the advisor that is asked for through it and not answered yet.
    busy_ms: u64,
    long_calls: usize,
    pause_until_ms: u64,
    /// Calls without answer in a row.
    failures: u32,
}

#[derive(Debug)]
struct Waiting {
    cost_ms: u64,
    turn: oneshot::Sender<Permit>,
}

impl<O: Outside> AdvisorDispatcher<O> {
    /// Only this daemon asks, until others are known.
    pub fn new(outside: Arc<O>, peers: Peers, me: String) -> Self {
        let asking = BTreeMap::from([(me.clone(), Asking::default())]);
        let state = State { asking, ..State::default() };
        Self { outside, peers, me, state: Arc::new(Mutex::new(state)) }
    }

    /// Updates which daemons there are; gives their addresses.
    pub fn update_members(&self, members: &[Member]) -> Vec<String> {
        let mut known = BTreeSet::from([self.me.clone()]);
        known.extend(members.iter().map(|member| member.address.clone()));
        let mut state = self.lock();
        state.asking.retain(|address, one| known.contains(address) || one.busy_ms > 0);
        for address in known {
            state.asking.entry(address).or_default();
        }
        // Calls that wait may find a daemon now.
        state.assign(&self.state);
        state.asking.keys().cloned().collect()
    }

    /// Tells another daemon something, without waiting for it.
    pub fn notify(&self, address: String, call: NodeCall) {
        if address == self.me {
            return;
        }
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Err(error) = peers.call::<NodeReply>(&address, &call, NOTIFY_TIMEOUT).await {
                tracing::debug!(address, %error, "a daemon could not be told");
            }
        });
    }

    /// Asks when it is this call's turn; `None` is no answer.
    pub async fn ask(
        &self,
        step: StepId,
        workers: &[WorkerId],
        priority: u32,
        cost_ms: u64,
    ) -> Option<Vec<Grant>> {
        let asked_ms = steady_ms();
        for _ in 0..TRIES_MAX {
            let mut turn = self.turn(priority, cost_ms).await?;
            let address = turn.address.clone();
            let sent_ms = steady_ms();
            let limit_ms = cost_ms + MARGIN_MS;
            let granted = if address == self.me {
                self.outside.advise(step, workers, limit_ms).await
            } else {
                self.ask_peer(&address, step, workers, limit_ms).await
            };
            turn.came_to = if granted.is_some() { CameTo::Answered } else { CameTo::Nothing };
            drop(turn);
            let asked = workers.len();
            let took_ms = steady_ms() - sent_ms;
            let Some(granted) = granted else {
                tracing::warn!(%step, through = address, asked, took_ms, "advisor brought no answer");
                if took_ms > QUICK_MS {
                    return None;
                }
                continue;
            };
            let waited_ms = sent_ms - asked_ms;
            tracing::info!(
                %step, through = address, asked, granted = granted.len(), cost_ms, waited_ms, took_ms,
                "advice came"
            );
            return Some(granted);
        }
        None
    }

    async fn turn(&self, priority: u32, cost_ms: u64) -> Option<Permit> {
        let (turn, my_turn) = oneshot::channel();
        self.lock().enqueue(&self.state, priority, Waiting { cost_ms, turn });
        my_turn.await.ok()
    }

    async fn ask_peer(
        &self,
        address: &str,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> Option<Vec<Grant>> {
        let call = NodeCall::Advise { step, workers: workers.to_vec(), limit_ms };
        let limit = Duration::from_millis(limit_ms);
        match self.peers.call::<NodeReply>(address, &call, limit).await {
            Ok(NodeReply::Advised(granted)) => {
                let grant = |(worker, ticket)| Grant { worker, ticket };
                Some(granted?.into_iter().map(grant).collect())
            }
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(address, %error, "a daemon did not ask the advisor");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What became of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CameTo {
    Answered,
    /// No answer came through the daemon.
    Nothing,
    /// It is no longer wanted; says nothing of the daemon.
    GivenUp,
}

/// A question's turn to go through a daemon.
///
/// It ends however the question does, also when a scheduler that lost its duty
/// drops it half-way: a turn that stayed taken would count against the daemon for
/// good, and after some of them no long question, and so no gang, would ever go.
#[derive(Debug)]
struct Permit {
    state: Arc<Mutex<State>>,
    address: String,
    cost_ms: u64,
    came_to: CameTo,
    /// Whether it counts against the daemon.
    taken: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.taken {
            return;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.release(&self.state, &self.address, self.cost_ms, self.came_to);
    }
}

impl State {
    fn enqueue(&mut self, shared: &Arc<Mutex<Self>>, priority: u32, call: Waiting) {
        self.waiting.insert((priority, self.arrivals), call);
        self.arrivals += 1;
        self.assign(shared);
    }

    /// Gives waiting calls to daemons that are free for them.
    fn assign(&mut self, shared: &Arc<Mutex<Self>>) {
        let now_ms = steady_ms();
        let long_max = long_questions_max(self.asking.len());
        let mut long_calls: usize = self.asking.values().map(|one| one.long_calls).sum();
        let mut later = BTreeMap::new();
        while let Some((key, call)) = self.waiting.pop_first() {
            let long = call.cost_ms >= LONG_ASK_MS;
            let all_pause = self.asking.values().all(|one| one.pause_until_ms > now_ms);
            let free = self.asking.iter_mut().filter(|(_, one)| {
                one.busy_ms < AHEAD_MS && (all_pause || one.pause_until_ms <= now_ms)
            });
            let best = free.min_by_key(|(_, one)| one.busy_ms);
            let Some((address, one)) = best.filter(|_| !long || long_calls < long_max) else {
                later.insert(key, call);
                if long {
                    continue;
                }
                break;
            };
            let turn = Permit {
                state: Arc::clone(shared),
                address: address.clone(),
                cost_ms: call.cost_ms,
                came_to: CameTo::GivenUp,
                taken: true,
            };
            if let Err(mut turn) = call.turn.send(turn) {
                // Nobody waits for it any more.
                turn.taken = false;
                continue;
            }
            one.busy_ms += call.cost_ms;
            one.long_calls += usize::from(long);
            long_calls += usize::from(long);
        }
        self.waiting.append(&mut later);
    }

    fn release(&mut self, shared: &Arc<Mutex<Self>>, address: &str, cost_ms: u64, came_to: CameTo) {
        if let Some(one) = self.asking.get_mut(address) {
            one.busy_ms = one.busy_ms.saturating_sub(cost_ms);
            one.long_calls = one.long_calls.saturating_sub(usize::from(cost_ms >= LONG_ASK_MS));
            match came_to {
                CameTo::Answered => one.failures = 0,
                CameTo::Nothing => {
                    let pause_ms = PAUSE_MS << one.failures.min(PAUSE_DOUBLINGS);
                    one.pause_until_ms = steady_ms() + pause_ms;
                    one.failures += 1;
                }
                CameTo::GivenUp => {}
            }
        }
        self.assign(shared);
    }
}
