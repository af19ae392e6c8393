//! Chooses the path of each call to the store: this daemon's own one, or one through another
//! daemon.
//!
//! A call is told apart by whether it is known not to have taken effect. Only then may it be sent
//! again, or be reported as refused. A write whose outcome is not known ends as such, whichever
//! path it took: the caller repeats it under the conditions that it needs.

use stoatwell_model::ZoneName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::daemons::DaemonInfo;
use crate::election::is_underprovisioned;

/// Consecutive failures on the own path after which it is suspect.
const FAILURES_MAX: u32 = 3;
/// Minimum time between the first and the last of these failures. The calls of one moment may all
/// meet the same rate limit.
const FAILURES_SPAN_MS: u64 = 50;
/// Failures that are further apart do not belong together.
const FAILURES_GAP_MS: u64 = 2_000;
/// A call that is pending for this long, with no other call answered meanwhile, makes the own path
/// suspect. A store that is fifty times slower than usual answers within 200 ms.
pub const SILENCE_MS: u64 = 250;
/// Answers in a row after which a failed path is used again.
const ANSWERS_TO_RETURN: u32 = 2;
/// Upper bound of that number, which doubles each time the path fails again soon.
const ANSWERS_TO_RETURN_MAX: u32 = 32;
/// A path that fails again within this time after its return has to answer twice as often.
const RELAPSE_MS: u64 = 5_000;
/// Attempts to reach the store through other daemons, for one call.
const RELAYS_PER_CALL: u32 = 3;
/// Calls in flight through one other daemon.
const RELAYED_CALLS_MAX: usize = 32;
/// Bytes of writes in flight through one other daemon.
const RELAYED_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Range of the time for which a daemon that did not relay a call is left alone; it doubles with
/// each further failure.
const RELAY_BACKOFF_MS: std::ops::RangeInclusive<u64> = 500..=8_000;
/// Range of the time between two searches for a daemon that relays; it doubles with each search
/// without a result, since nobody can relay while the store is down.
const SEARCH_INTERVAL_MS: std::ops::RangeInclusive<u64> = 10..=1_000;
/// Maximum time of one search. Other calls do not search meanwhile.
pub const PROBE_LIMIT_MS: u64 = 200;

/// The result of a call on the own path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnOutcome {
    /// The store answered.
    Answered,
    /// The store refused the call, or it was not sent.
    Refused,
    /// No answer came; the call may take effect, now or later.
    NoAnswer,
}

/// The result of a call through another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The store answered the other daemon.
    Answered,
    /// The store refused the other daemon's call.
    Refused,
    /// The store did not answer the other daemon.
    StoreSilent,
    /// The other daemon did not send the call.
    Declined,
    /// The call did not reach the other daemon.
    NotSent,
    /// The other daemon did not answer; it may have sent the call.
    NoAnswer,
}

/// What to do next for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make the call on the own path.
    Own,
    /// Make a small read through the daemon at this address, to learn whether it relays calls.
    Probe(String),
    /// Make the call through the daemon at this address.
    Relay(String),
    /// Return the last result.
    ReturnLast,
    /// Return that the store refused the call: it never takes effect.
    ReturnRefused,
    /// Return that the outcome is not known.
    ReturnNoAnswer,
}

/// A call to the store on its way.
#[derive(Clone, Debug)]
pub struct PathCall {
    is_write: bool,
    may_relay: bool,
    bytes: usize,
    relays: u32,
    used_own: bool,
    /// Whether an attempt that has ended may still take effect.
    in_doubt: bool,
}

impl PathCall {
    /// A call that writes this many bytes, or a read.
    pub fn new(is_write: bool, may_relay: bool, bytes: usize) -> Self {
        Self { is_write, may_relay, bytes, relays: 0, used_own: false, in_doubt: false }
    }

    /// The size of the call, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn end(&self) -> Step {
        if self.in_doubt { Step::ReturnNoAnswer } else { Step::ReturnRefused }
    }
}

/// State of the own path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnState {
    Works,
    /// A probe has to show whether it works.
    Suspect,
    Failed {
        since_ms: u64,
        answers: u32,
    },
}

/// A change of the own path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// It fails; calls are relayed from now on.
    Failed,
    /// It works again after this many milliseconds.
    Regained {
        /// How long it failed.
        failed_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Relay {
    address: String,
    rank: (bool, bool, u64),
    /// Whether the last call through it was answered.
    works: bool,
    retry_ms: u64,
    backoff_ms: u64,
    calls: usize,
    bytes: usize,
}

impl Relay {
    fn new(address: &str, rank: (bool, bool, u64)) -> Self {
        let address = address.to_owned();
        Self { address, rank, works: false, retry_ms: 0, backoff_ms: 0, calls: 0, bytes: 0 }
    }
}

/// The paths to the store that a daemon knows.
#[derive(Clone, Debug)]
pub struct StorePaths {
    name: String,
    address: String,
    zone: ZoneName,
    own: OwnState,
    failures: u32,
    first_failure_ms: u64,
    last_failure_ms: u64,
    last_answer_ms: u64,
    regained_ms: u64,
    answers_to_return: u32,
    relays: Vec<Relay>,
    next_search_ms: u64,
    search_interval_ms: u64,
}

impl StorePaths {
    /// The paths of a daemon that knows no other daemon yet.
    pub fn new(name: &str, address: &str, zone: ZoneName) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            zone,
            own: OwnState::Works,
            failures: 0,
            first_failure_ms: 0,
            last_failure_ms: 0,
            last_answer_ms: 0,
            regained_ms: 0,
            answers_to_return: ANSWERS_TO_RETURN,
            relays: Vec::new(),
            next_search_ms: 0,
            search_interval_ms: *SEARCH_INTERVAL_MS.start(),
        }
    }

    /// Replaces the list of daemons. Those in the same zone come first, then those with more
    /// processor time; equal ones are ordered differently for each daemon, so that many rejected
    /// daemons use many others.
    pub fn update_daemons(&mut self, daemons: &[DaemonInfo]) {
        let mut previous = std::mem::take(&mut self.relays);
        for daemon in daemons.iter().filter(|daemon| daemon.address != self.address) {
            let seed = xxh3_64_with_seed(self.name.as_bytes(), 0);
            let spread = xxh3_64_with_seed(daemon.address.as_bytes(), seed);
            let rank = (daemon.zone != self.zone, is_underprovisioned(daemon.cores), spread);
            let known = previous.iter().position(|relay| relay.address == daemon.address);
            self.relays.push(match known {
                Some(index) => Relay { rank, ..previous.swap_remove(index) },
                None => Relay::new(&daemon.address, rank),
            });
        }
        self.relays.sort_by_key(|relay| relay.rank);
    }

    /// Adds a daemon that is not in the list, as the last choice, until the list is read again.
    pub fn add_daemon(&mut self, address: &str) {
        if address != self.address && self.relays.iter().all(|relay| relay.address != address) {
            self.relays.push(Relay::new(address, (true, true, u64::MAX)));
        }
    }

    /// Whether the own path has failed.
    pub fn has_failed(&self) -> bool {
        matches!(self.own, OwnState::Failed { .. })
    }

    /// Whether the own path has to be probed.
    pub fn needs_probe(&self) -> bool {
        self.own != OwnState::Works
    }

    /// Whether to search a daemon that relays, ahead of the next call.
    pub fn needs_relay(&self, now_ms: u64) -> bool {
        let has_relay = self.relays.iter().any(|relay| relay.works);
        self.has_failed() && !has_relay && now_ms >= self.next_search_ms
    }

    /// Addresses of daemons that may be asked now whether the store answers them.
    pub fn witnesses(&self, now_ms: u64, count: usize) -> Vec<String> {
        let usable = self.relays.iter().filter(|relay| relay.works || relay.retry_ms <= now_ms);
        usable.take(count).map(|relay| relay.address.clone()).collect()
    }

    /// The first step of a call.
    pub fn begin(&mut self, call: &mut PathCall, now_ms: u64) -> Step {
        if self.has_failed() && call.may_relay {
            return self.next(call, now_ms);
        }
        call.used_own = true;
        Step::Own
    }

    /// The step after a call on the own path.
    pub fn after_own(&mut self, call: &mut PathCall, outcome: OwnOutcome, now_ms: u64) -> Step {
        self.record_own(outcome, now_ms);
        match outcome {
            OwnOutcome::Answered => return Step::ReturnLast,
            OwnOutcome::Refused => {}
            OwnOutcome::NoAnswer if call.is_write => return Step::ReturnNoAnswer,
            OwnOutcome::NoAnswer => call.in_doubt = true,
        }
        if self.has_failed() && call.may_relay { self.next(call, now_ms) } else { call.end() }
    }

    /// The step after a probe of another daemon.
    pub fn after_probe(
        &mut self,
        call: &mut PathCall,
        address: &str,
        outcome: RelayOutcome,
        now_ms: u64,
    ) -> Step {
        self.record_relay(address, outcome, now_ms);
        self.next(call, now_ms)
    }

    /// The step after a call through another daemon.
    pub fn after_relay(
        &mut self,
        call: &mut PathCall,
        address: &str,
        outcome: RelayOutcome,
        now_ms: u64,
    ) -> Step {
        self.record_relay(address, outcome, now_ms);
        match outcome {
            RelayOutcome::Answered => Step::ReturnLast,
            RelayOutcome::StoreSilent | RelayOutcome::NoAnswer if call.is_write => {
                Step::ReturnNoAnswer
            }
            RelayOutcome::StoreSilent | RelayOutcome::NoAnswer => {
                call.in_doubt = true;
                self.next(call, now_ms)
            }
            RelayOutcome::Refused | RelayOutcome::Declined | RelayOutcome::NotSent => {
                self.next(call, now_ms)
            }
        }
    }

    /// The next attempt of a call that is known not to have taken effect, or that is a read.
    fn next(&mut self, call: &mut PathCall, now_ms: u64) -> Step {
        if call.relays < RELAYS_PER_CALL {
            let free = self.relays.iter_mut().find(|relay| {
                let has_room = relay.calls == 0 || relay.bytes + call.bytes <= RELAYED_BYTES_MAX;
                relay.works && relay.calls < RELAYED_CALLS_MAX && has_room
            });
            if let Some(relay) = free {
                relay.calls += 1;
                relay.bytes += call.bytes;
                call.relays += 1;
                return Step::Relay(relay.address.clone());
            }
            if now_ms >= self.next_search_ms {
                let untested =
                    self.relays.iter().find(|relay| !relay.works && relay.retry_ms <= now_ms);
                if let Some(relay) = untested {
                    self.next_search_ms = now_ms + PROBE_LIMIT_MS;
                    call.relays += 1;
                    return Step::Probe(relay.address.clone());
                }
            }
        }
        if call.used_own {
            return call.end();
        }
        call.used_own = true;
        Step::Own
    }

    /// Frees the place of a call through another daemon, whether or not it has ended.
    pub fn release(&mut self, address: &str, bytes: usize) {
        if let Some(relay) = self.relays.iter_mut().find(|relay| relay.address == address) {
            relay.calls = relay.calls.saturating_sub(1);
            relay.bytes = relay.bytes.saturating_sub(bytes);
        }
    }

    /// Records whether another daemon relays calls.
    pub fn record_relay(&mut self, address: &str, outcome: RelayOutcome, now_ms: u64) {
        let works = outcome == RelayOutcome::Answered;
        if let Some(relay) = self.relays.iter_mut().find(|relay| relay.address == address) {
            relay.works = works;
            relay.backoff_ms = if works {
                0
            } else {
                (relay.backoff_ms * 2).clamp(*RELAY_BACKOFF_MS.start(), *RELAY_BACKOFF_MS.end())
            };
            relay.retry_ms = now_ms + relay.backoff_ms;
        }
        if works {
            self.search_interval_ms = *SEARCH_INTERVAL_MS.start();
            self.next_search_ms = now_ms;
        } else {
            self.next_search_ms = now_ms + self.search_interval_ms;
            self.search_interval_ms = (self.search_interval_ms * 2).min(*SEARCH_INTERVAL_MS.end());
        }
    }

    /// Records the result of a call on the own path.
    pub fn record_own(&mut self, outcome: OwnOutcome, now_ms: u64) {
        if outcome == OwnOutcome::Answered {
            self.failures = 0;
            self.last_answer_ms = now_ms;
            return;
        }
        if self.failures == 0 || now_ms.saturating_sub(self.last_failure_ms) > FAILURES_GAP_MS {
            self.failures = 0;
            self.first_failure_ms = now_ms;
        }
        self.failures += 1;
        self.last_failure_ms = now_ms;
        let span_ms = now_ms - self.first_failure_ms;
        if self.own == OwnState::Works
            && self.failures >= FAILURES_MAX
            && span_ms >= FAILURES_SPAN_MS
        {
            self.own = OwnState::Suspect;
        }
    }

    /// Records that a call is pending for [`SILENCE_MS`].
    pub fn record_overdue(&mut self, now_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.last_answer_ms);
        if self.own == OwnState::Works && silent_ms >= SILENCE_MS {
            self.own = OwnState::Suspect;
        }
    }

    /// Records a probe of the own path, a small read. If the store refuses it or closes the
    /// connection (`Some`), a suspect path has failed. If it only does not answer in time
    /// (`None`), the whole store may be slow, and the path has failed only if the store answered
    /// another daemon meanwhile.
    pub fn record_own_probe(
        &mut self,
        outcome: Option<OwnOutcome>,
        others_answered: bool,
        now_ms: u64,
    ) -> Option<PathChange> {
        let answered = outcome == Some(OwnOutcome::Answered);
        if let Some(outcome) = outcome {
            self.record_own(outcome, now_ms);
        }
        match &mut self.own {
            OwnState::Works => None,
            OwnState::Suspect if answered || (outcome.is_none() && !others_answered) => {
                self.own = OwnState::Works;
                self.failures = 0;
                None
            }
            OwnState::Suspect => {
                let is_relapse =
                    self.regained_ms > 0 && now_ms.saturating_sub(self.regained_ms) < RELAPSE_MS;
                self.answers_to_return = if is_relapse {
                    (self.answers_to_return * 2).min(ANSWERS_TO_RETURN_MAX)
                } else {
                    ANSWERS_TO_RETURN
                };
                self.own = OwnState::Failed { since_ms: now_ms, answers: 0 };
                Some(PathChange::Failed)
            }
            OwnState::Failed { answers, .. } if !answered => {
                *answers = 0;
                None
            }
            OwnState::Failed { since_ms, answers } => {
                *answers += 1;
                if *answers < self.answers_to_return {
                    return None;
                }
                let failed_ms = now_ms.saturating_sub(*since_ms);
                self.own = OwnState::Works;
                self.failures = 0;
                self.regained_ms = now_ms;
                // What was known of the others may be out of date when the path fails again.
                for relay in &mut self.relays {
                    relay.works = false;
                    relay.retry_ms = 0;
                    relay.backoff_ms = 0;
                }
                Some(PathChange::Regained { failed_ms })
            }
        }
    }
}

/// Maximum number of short calls in flight that a daemon makes for others.
const SERVED_CALLS_MAX: usize = 64;
/// Maximum number of long polls and reads of whole tables in flight for others: those of two
/// leaders, so that a new one does not wait for the polls of the last.
const SERVED_LONG_CALLS_MAX: usize = 16;
/// Maximum bytes of writes in flight for others.
const SERVED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Bounds the calls that a daemon makes for others.
#[derive(Clone, Debug, Default)]
pub struct ServedCalls {
    calls: usize,
    long_calls: usize,
    bytes: usize,
}

impl ServedCalls {
    /// Takes a place for a call; `false` if there is none.
    pub fn admit(&mut self, is_long: bool, bytes: usize) -> bool {
        let (calls, max) = if is_long {
            (&mut self.long_calls, SERVED_LONG_CALLS_MAX)
        } else {
            (&mut self.calls, SERVED_CALLS_MAX)
        };
        if *calls >= max || self.bytes + bytes > SERVED_BYTES_MAX {
            return false;
        }
        *calls += 1;
        self.bytes += bytes;
        true
    }

    /// Frees the place of a call.
    pub fn release(&mut self, is_long: bool, bytes: usize) {
        let calls = if is_long { &mut self.long_calls } else { &mut self.calls };
        *calls = calls.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
