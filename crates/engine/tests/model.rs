//! Every interleaving of the lease, intent and take-over protocol, within bounds.
//!
//! Two daemons, one worker and one task that may run at most once. Pauses are
//! any other daemon's steps in between, crashes are daemons that never step
//! again, and a start that was sent may arrive at any later time, twice or
//! never. The explorer visits all states breadth first; the broken variants
//! show that it finds what each part of the protocol is there to prevent.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

const TOKENS: u8 = 4;
const EPOCHS: u8 = 4;
const ATTEMPTS: u8 = 3;

/// Which part of the protocol is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Whole,
    /// The worker starts whatever arrives.
    NoFence,
    /// A start is sent before its intent is durable.
    NoIntent,
    /// A holder tells "never started" while its own start is on the way.
    HastyProof,
    /// A daemon that lost the job writes the outcome all the same.
    NoEpoch,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// The token it believes to hold; 0 is none.
    token: u8,
    /// The epoch under which it believes to run the job; 0 is none.
    epoch: u8,
    /// An intent that it wrote and whose start it may send, with its token.
    may_send: Option<(u8, u8)>,
    /// Whether it has the proof that the row's intent never started.
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
    /// The highest token that the worker granted, and whether its lease runs.
    token: u8,
    held: bool,
    started: [bool; ATTEMPTS as usize + 1],
    refused: [bool; ATTEMPTS as usize + 1],
    starts: u8,
    /// The job's row.
    epoch: u8,
    coordinator: usize,
    intent: Option<(u8, u8)>,
    outcome: Outcome,
    daemons: [Daemon; 2],
    /// Starts that were sent: attempt and token. They stay, since they may arrive twice.
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

    fn broken(&self) -> Option<&'static str> {
        if self.starts > 1 {
            return Some("started twice");
        }
        (self.outcome == Outcome::NotRun && self.starts > 0)
            .then_some("told as not run and started")
    }

    fn next(&self, variant: Variant) -> Vec<(String, Self)> {
        let mut all = Vec::new();
        let mut add = |name: String, state: Self| {
            if state != *self {
                all.push((name, state));
            }
        };
        if self.held {
            add("the lease lapses".to_owned(), Self { held: false, ..self.clone() });
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
        all
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
        // Writes are compared with the row's version, which each epoch changes.
        let writes = me.epoch == self.epoch && self.coordinator == who
            || variant == Variant::NoEpoch && me.epoch > 0;
        let free = self.intent.is_none() || me.proof;
        if writes && self.outcome == Outcome::Open && free {
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
            steps.extend(self.ask(who, variant).map(|state| ("asks the worker's holder", state)));
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

    /// The fence: only the newest token, only while its lease runs, and never
    /// what was refused before under it.
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

    /// The holder of the worker tells what became of the row's intent.
    fn ask(&self, who: usize, variant: Variant) -> Option<Self> {
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
            let on_the_way = self.sent.contains(&(attempt, token));
            if on_the_way && variant != Variant::HastyProof {
                return None;
            }
            // From here on this holder will not send it.
            if state.daemons[holder].may_send == Some((attempt, token)) {
                state.daemons[holder].may_send = None;
            }
        }
        state.daemons[who].proof = true;
        Some(state)
    }
}

/// Visits all states; gives their number or the shortest way to a broken one.
fn explore(variant: Variant) -> Result<usize, Vec<String>> {
    let first = State::first();
    let mut seen = HashSet::from([first.clone()]);
    let mut came_from: HashMap<State, (State, String)> = HashMap::new();
    let mut queue = VecDeque::from([first]);
    while let Some(state) = queue.pop_front() {
        if let Some(problem) = state.broken() {
            let mut way = vec![problem.to_owned()];
            let mut at = &state;
            while let Some((before, step)) = came_from.get(at) {
                way.push(step.clone());
                at = before;
            }
            way.reverse();
            return Err(way);
        }
        for (step, next) in state.next(variant) {
            if seen.insert(next.clone()) {
                came_from.insert(next.clone(), (state.clone(), step));
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

/// A daemon pauses past its lease, another takes over its worker and its job,
/// and the first one wakes up in the middle of a start. No order of these and
/// of late messages may start a booking's work twice or make "not run" a lie.
#[test]
fn no_interleaving_breaks_a_promise() {
    let states = explore(Variant::Whole).expect("no broken state");
    println!(
        "{states} states: 2 daemons, 1 worker, {TOKENS} tokens, {EPOCHS} epochs, {ATTEMPTS} attempts"
    );
    assert!(states > 10_000, "only {states} states, the bounds prove little");
}

/// Each part of the protocol is left out in turn, and the explorer must find
/// the accident that this part prevents.
#[test]
fn every_part_is_needed() {
    for variant in [Variant::NoFence, Variant::NoIntent, Variant::HastyProof, Variant::NoEpoch] {
        let way = explore(variant).expect_err("the broken variant is found out");
        println!("{variant:?}:\n  {}", way.join("\n  "));
        assert!(way.len() >= 4, "{variant:?} breaks only after several steps");
    }
}
