//! A bounded model checker for the protocol of leases, intents and takeovers.
//!
//! The model has two daemons, one worker and one task that may run at most once.
//! A daemon is paused if only the other one takes steps, and has crashed if it takes no
//! more steps. A start that was sent may arrive at any later time, twice or never. The
//! checker visits all states breadth first. In each broken variant one part of the protocol
//! is left out, to show that the checker finds the fault that this part prevents.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

const TOKENS: u8 = 4;
const EPOCHS: u8 = 4;
const ATTEMPTS: u8 = 3;

/// The part of the protocol that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Complete,
    /// The worker starts whatever arrives, without comparing fencing tokens.
    NoFence,
    /// A start is sent before its intent is durable.
    NoIntent,
    /// A holder reports "never started" while its own start is in flight.
    EarlyProof,
    /// A daemon that lost the job by a takeover can still write the outcome.
    NoEpoch,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// The fencing token that it believes to hold; 0 is none.
    token: u8,
    /// The epoch under which it believes to coordinate the job; 0 is none.
    epoch: u8,
    /// The attempt and token of an intent that it wrote and whose start it may send.
    may_send: Option<(u8, u8)>,
    /// Whether it has proof that the intent in the row never started.
    proof: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Open,
    NotRun,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The highest token that the worker granted; `held` is whether its lease is valid.
    token: u8,
    held: bool,
    started: [bool; ATTEMPTS as usize + 1],
    refused: [bool; ATTEMPTS as usize + 1],
    starts: u8,
    /// The job's row: this and the next three fields.
    epoch: u8,
    coordinator: usize,
    intent: Option<(u8, u8)>,
    outcome: Outcome,
    daemons: [Daemon; 2],
    /// Attempt and token of each start that was sent. Starts are never removed, because
    /// they may arrive twice.
    sent: Vec<(u8, u8)>,
}

impl State {
    fn first() -> Self {
        let mut daemons = [Daemon::default(); 2];
        daemons[0].epoch = 1;
        Self {
            token: 0,
            held: false,
            started: [false; ATTEMPTS as usize + 1],
            refused: [false; ATTEMPTS as usize + 1],
            starts: 0,
            epoch: 1,
            coordinator: 0,
            intent: None,
            outcome: Outcome::Open,
            daemons,
            sent: Vec::new(),
        }
    }

    fn violation(&self) -> Option<&'static str> {
        if self.starts > 1 {
            return Some("started twice");
        }
        (self.outcome == Outcome::NotRun && self.starts > 0)
            .then_some("reported as not run and started")
    }

    fn successors(&self, variant: Variant) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        let mut add = |name: String, state: Self| {
            if state != *self {
                successors.push((name, state));
            }
        };
        if self.held {
            add("the lease expires".to_owned(), Self { held: false, ..self.clone() });
        }
        for (attempt, token) in &self.sent {
            add(
                format!("start {attempt} under {token} arrives"),
                self.deliver(*attempt, *token, variant),
            );
        }
        for who in 0..2 {
            for (name, state) in self.steps_of(who, variant) {
                add(format!("daemon {who} {name}"), state);
            }
        }
        successors
    }

    fn steps_of(&self, who: usize, variant: Variant) -> Vec<(&'static str, Self)> {
        let mut steps = Vec::new();
        let me = self.daemons[who];
        if !self.held && self.token < TOKENS {
            steps.push(("acquires the worker", self.acquire(who)));
        }
        if self.epoch < EPOCHS && self.outcome == Outcome::Open {
            steps.push(("takes the job over", self.take_over(who)));
        }
        // A write is conditional on the row's version, which each takeover changes.
        let can_write = me.epoch == self.epoch && self.coordinator == who
            || variant == Variant::NoEpoch && me.epoch > 0;
        let no_attempt_may_run = self.intent.is_none() || me.proof;
        if can_write && self.outcome == Outcome::Open && no_attempt_may_run {
            steps.push((
                "writes that it did not run",
                Self { outcome: Outcome::NotRun, ..self.clone() },
            ));
            let attempt = self.intent.map_or(1, |(attempt, _)| attempt + 1);
            if me.token > 0 && attempt <= ATTEMPTS {
                steps.push(("writes an intent", self.write_intent(who, attempt)));
            }
        }
        if let Some(start) = me.may_send {
            steps.push(("sends its start", self.send(start)));
        }
        if variant == Variant::NoIntent && me.token > 0 && me.epoch > 0 {
            steps.push(("sends a start without an intent", self.send((1, me.token))));
        }
        if me.epoch > 0 {
            steps.extend(
                self.inquire(who, variant).map(|state| ("asks the worker's holder", state)),
            );
        }
        steps
    }

    fn acquire(&self, who: usize) -> Self {
        let mut state = self.clone();
        state.token += 1;
        state.held = true;
        state.refused = [false; ATTEMPTS as usize + 1];
        state.daemons[who].token = state.token;
        state
    }

    fn take_over(&self, who: usize) -> Self {
        let mut state = self.clone();
        state.epoch += 1;
        state.coordinator = who;
        state.daemons[who].epoch = state.epoch;
        state.daemons[who].proof = false;
        state.daemons[who].may_send = None;
        state
    }

    fn write_intent(&self, who: usize, attempt: u8) -> Self {
        let mut state = self.clone();
        let token = state.daemons[who].token;
        state.intent = Some((attempt, token));
        state.daemons[who].may_send = Some((attempt, token));
        state.daemons[who].proof = false;
        state
    }

    fn send(&self, start: (u8, u8)) -> Self {
        let mut state = self.clone();
        if !state.sent.contains(&start) {
            state.sent.push(start);
            state.sent.sort_unstable();
        }
        state
    }

    /// Fencing at the worker: a start is accepted only with the newest token, only while
    /// that token's lease is valid, and never if it was refused before under that token.
    fn deliver(&self, attempt: u8, token: u8, variant: Variant) -> Self {
        let mut state = self.clone();
        let index = usize::from(attempt);
        let current = token == state.token;
        if variant != Variant::NoFence && !(current && state.held) {
            state.refused[index] |= current;
            return state;
        }
        if !state.started[index] && !state.refused[index] {
            state.started[index] = true;
            state.starts += 1;
        }
        state
    }

    /// Inquires at the worker's holder about the attempt of the intent in the row. `None` if
    /// there is no intent, no holder or no answer yet.
    fn inquire(&self, who: usize, variant: Variant) -> Option<Self> {
        let (attempt, token) = self.intent?;
        let holder = (0..2).find(|other| self.held && self.daemons[*other].token == self.token)?;
        let mut state = self.clone();
        if state.started[usize::from(attempt)] {
            if state.daemons[who].epoch == state.epoch && state.coordinator == who {
                state.outcome = Outcome::Done;
            }
            return Some(state);
        }
        if self.token == token {
            let in_flight = self.sent.contains(&(attempt, token));
            if in_flight && variant != Variant::EarlyProof {
                return None;
            }
            // The holder will not send this start any more.
            if state.daemons[holder].may_send == Some((attempt, token)) {
                state.daemons[holder].may_send = None;
            }
        }
        state.daemons[who].proof = true;
        Some(state)
    }
}

/// Visits all states; returns their number, or the shortest trace to a violation.
fn explore(variant: Variant) -> Result<usize, Vec<String>> {
    let first = State::first();
    let mut seen = HashSet::from([first.clone()]);
    let mut predecessors: HashMap<State, (State, String)> = HashMap::new();
    let mut queue = VecDeque::from([first]);
    while let Some(state) = queue.pop_front() {
        if let Some(violation) = state.violation() {
            let mut trace = vec![violation.to_owned()];
            let mut current = &state;
            while let Some((previous, step)) = predecessors.get(current) {
                trace.push(step.clone());
                current = previous;
            }
            trace.reverse();
            return Err(trace);
        }
        for (step, next) in state.successors(variant) {
            if seen.insert(next.clone()) {
                predecessors.insert(next.clone(), (state.clone(), step));
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

/// A daemon is paused until its lease has expired. Another one acquires the lease and takes
/// the job over, and the first one resumes in the middle of a start. No order of these
/// steps and of late messages may start the task twice, or report "not run" for a task that
/// started.
#[test]
fn no_interleaving_breaks_a_guarantee() {
    let states = explore(Variant::Complete).expect("no violation");
    println!(
        "{states} states: 2 daemons, 1 worker, {TOKENS} tokens, {EPOCHS} epochs, {ATTEMPTS} attempts"
    );
    assert!(states > 10_000, "only {states} states: the bounds are too small");
}

/// Each part of the protocol is left out in turn, and the checker must find the
/// violation that this part prevents.
#[test]
fn every_protocol_part_is_needed() {
    for variant in [Variant::NoFence, Variant::NoIntent, Variant::EarlyProof, Variant::NoEpoch] {
        let trace = explore(variant).expect_err("the broken variant has a violation");
        println!("{variant:?}:\n  {}", trace.join("\n  "));
        assert!(trace.len() >= 4, "{variant:?} must break only after several steps");
    }
}
