//! Every order of refusal, relay, loss, late write and hand-over of a conditional write.
//!
//! A leader writes its row through [`StorePaths`] to a store that is one row with a version. Each
//! attempt may be refused, lost before or after it takes effect, or take effect late; another
//! daemon may take the row over at any time.

use stoatwell_model::ZoneName;
use stoatwell_node::DaemonInfo;
use stoatwell_node::relay::path::OwnOutcome;
use stoatwell_node::relay::path::PathCall;
use stoatwell_node::relay::path::RelayOutcome;
use stoatwell_node::relay::path::SILENCE_MS;
use stoatwell_node::relay::path::Step;
use stoatwell_node::relay::path::StorePaths;

/// A fault that the model has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A call that got lost on its way through another daemon counts as not sent.
    LostRelayIsRefused,
    /// A call that the other daemon's store did not answer counts as refused.
    SilentRelayIsRefused,
    /// The other daemon sends the write without its condition.
    ConditionIsDropped,
    /// A write without an answer on the own path is sent again.
    WriteInDoubtIsRepeated,
}

/// Source of the choices of one run.
trait Choices {
    /// A number below `count`.
    fn pick(&mut self, count: usize) -> usize;
}

/// Takes each combination of choices once.
#[derive(Default)]
struct AllChoices {
    tape: Vec<(usize, usize)>,
    next: usize,
}

impl AllChoices {
    /// Moves on to the next combination; `false` after the last one.
    fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((choice, count)) = self.tape.pop() {
            if choice + 1 < count {
                self.tape.push((choice + 1, count));
                return true;
            }
        }
        false
    }
}

impl Choices for AllChoices {
    fn pick(&mut self, count: usize) -> usize {
        if self.next == self.tape.len() {
            self.tape.push((0, count));
        }
        self.next += 1;
        self.tape[self.next - 1].0
    }
}

/// Takes pseudo-random choices.
struct RandomChoices(u64);

impl Choices for RandomChoices {
    fn pick(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as usize % count
    }
}

/// A write on its way: the call that it belongs to, and the version that it expects.
type Write = (usize, Option<u64>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The row has this version now.
    Done(u64),
    Conflict,
    Refused,
    Unknown,
}

/// The store and the writes that may still reach it.
struct Store {
    version: u64,
    taken_over: bool,
    late: Vec<Write>,
    /// The calls whose writes took effect.
    applied: Vec<usize>,
    violations: Vec<&'static str>,
}

impl Store {
    fn apply(&mut self, (call, expected): Write) -> Answer {
        if expected.is_some_and(|expected| expected != self.version) {
            return Answer::Conflict;
        }
        if self.taken_over {
            self.violations.push("a write took effect after the row was taken over");
        }
        self.version += 1;
        self.applied.push(call);
        Answer::Done(self.version)
    }

    /// Lets a late write arrive, or another daemon take the row over, or neither.
    fn interleave(&mut self, choices: &mut impl Choices) {
        let events = 1 + usize::from(!self.late.is_empty()) + usize::from(!self.taken_over);
        match choices.pick(events) {
            0 => {}
            1 if !self.late.is_empty() => {
                let write = self.late.remove(0);
                self.apply(write);
            }
            _ => {
                self.taken_over = true;
                self.version += 1;
            }
        }
    }

    /// Sends a write that the store executes, loses, or executes late. The answer is `None` if it
    /// is lost.
    fn send(&mut self, write: Write, choices: &mut impl Choices) -> Option<Answer> {
        match choices.pick(4) {
            0 => Some(self.apply(write)),
            1 => {
                self.apply(write);
                None
            }
            2 => {
                self.late.push(write);
                None
            }
            _ => None,
        }
    }
}

struct Model<'a, C> {
    store: Store,
    paths: StorePaths,
    now_ms: u64,
    fault: Fault,
    choices: &'a mut C,
}

impl<C: Choices> Model<'_, C> {
    /// Lets the own path fail, or work again, or stay as it is.
    fn change_own_path(&mut self) {
        if self.choices.pick(2) == 0 {
            return;
        }
        self.now_ms += SILENCE_MS;
        if self.paths.has_failed() {
            while self.paths.has_failed() {
                let answered = Some(OwnOutcome::Answered);
                self.paths.record_own_probe(answered, false, self.now_ms);
            }
        } else {
            self.paths.record_overdue(self.now_ms);
            self.paths.record_own_probe(None, true, self.now_ms);
        }
    }

    fn own_write(&mut self, write: Write) -> (OwnOutcome, Option<Answer>) {
        if self.choices.pick(2) == 0 {
            return (OwnOutcome::Refused, None);
        }
        match self.store.send(write, self.choices) {
            Some(answer) => (OwnOutcome::Answered, Some(answer)),
            None if self.fault == Fault::WriteInDoubtIsRepeated => (OwnOutcome::Refused, None),
            None => (OwnOutcome::NoAnswer, None),
        }
    }

    fn relayed_write(&mut self, (call, expected): Write) -> (RelayOutcome, Option<Answer>) {
        let kept = expected.filter(|_| self.fault != Fault::ConditionIsDropped);
        match self.choices.pick(5) {
            0 => (RelayOutcome::NotSent, None),
            1 => (RelayOutcome::Declined, None),
            2 => (RelayOutcome::Refused, None),
            // The link between the daemons loses the call or its answer.
            3 => {
                self.store.send((call, kept), self.choices);
                let is_refused = self.fault == Fault::LostRelayIsRefused;
                (if is_refused { RelayOutcome::NotSent } else { RelayOutcome::NoAnswer }, None)
            }
            _ => match self.store.send((call, kept), self.choices) {
                Some(answer) => (RelayOutcome::Answered, Some(answer)),
                None if self.fault == Fault::SilentRelayIsRefused => (RelayOutcome::Refused, None),
                None => (RelayOutcome::StoreSilent, None),
            },
        }
    }

    fn call(&mut self, write: Write) -> Answer {
        let mut call = PathCall::new(true, true, 100);
        let mut step = self.paths.begin(&mut call, self.now_ms);
        let mut last = Answer::Refused;
        loop {
            self.now_ms += 20;
            self.store.interleave(self.choices);
            step = match step {
                Step::Own => {
                    let (outcome, answer) = self.own_write(write);
                    last = answer.unwrap_or(last);
                    self.paths.after_own(&mut call, outcome, self.now_ms)
                }
                Step::Probe(address) => {
                    let outcomes = [RelayOutcome::Answered, RelayOutcome::NoAnswer];
                    let outcome = outcomes[self.choices.pick(2)];
                    self.paths.after_probe(&mut call, &address, outcome, self.now_ms)
                }
                Step::Relay(address) => {
                    let (outcome, answer) = self.relayed_write(write);
                    last = answer.unwrap_or(last);
                    self.paths.release(&address, call.bytes());
                    self.paths.after_relay(&mut call, &address, outcome, self.now_ms)
                }
                Step::ReturnLast => return last,
                Step::ReturnRefused => return Answer::Refused,
                Step::ReturnNoAnswer => return Answer::Unknown,
            };
        }
    }
}

fn info(address: &str) -> DaemonInfo {
    DaemonInfo {
        address: address.to_owned(),
        zone: ZoneName::new("z"),
        cores: 0.5,
        link_mbps: 10.0,
    }
}

/// Plays one leader that repeats its write as the renewal of the lease does; returns violations.
fn run(calls: usize, fault: Fault, choices: &mut impl Choices) -> Vec<&'static str> {
    let store = Store {
        version: 1,
        taken_over: false,
        late: Vec::new(),
        applied: Vec::new(),
        violations: Vec::new(),
    };
    let mut paths = StorePaths::new("a", "a:1", ZoneName::new("z"));
    paths.update_daemons(&[info("b:1"), info("c:1")]);
    let mut model = Model { store, paths, now_ms: 1_000, fault, choices };
    let mut expected = 1;
    let mut answers = Vec::new();
    for call in 0..calls {
        model.change_own_path();
        let answer = model.call((call, Some(expected)));
        answers.push(answer);
        match answer {
            // The row names its writer, so that the leader knows whether it wrote it.
            Answer::Conflict if model.store.taken_over => break,
            Answer::Conflict => expected = model.store.version,
            Answer::Done(version) => expected = version,
            Answer::Refused | Answer::Unknown => {}
        }
    }
    let mut store = model.store;
    for write in std::mem::take(&mut store.late) {
        store.apply(write);
    }
    for (call, answer) in answers.into_iter().enumerate() {
        let count = store.applied.iter().filter(|applied| **applied == call).count();
        match answer {
            Answer::Refused if count > 0 => store.violations.push("a refused write took effect"),
            Answer::Done(_) if count != 1 => store.violations.push("a write was not done once"),
            _ if count > 1 => store.violations.push("a write took effect twice"),
            _ => {}
        }
    }
    store.violations
}

fn explore(fault: Fault) -> (usize, Vec<&'static str>) {
    let mut choices = AllChoices::default();
    let mut runs = 0;
    loop {
        runs += 1;
        let violations = run(3, fault, &mut choices);
        if !violations.is_empty() {
            return (runs, violations);
        }
        if !choices.advance() {
            return (runs, Vec::new());
        }
    }
}

/// Guards against "refused" for a write that takes effect, and against a relayed write that
/// overwrites the row of a later leader.
#[test]
fn no_order_of_three_writes_breaks_a_guarantee() {
    let (runs, violations) = explore(Fault::None);
    println!("{runs} orders");
    assert_eq!(violations, Vec::<&str>::new(), "after {runs} orders");
    assert!(runs > 500_000, "only {runs} orders");
}

/// Guards against the same for more writes that are repeated while earlier ones are on their way.
#[test]
fn no_order_of_many_writes_breaks_a_guarantee() {
    for seed in 0..200_000 {
        let violations = run(4, Fault::None, &mut RandomChoices(seed));
        assert_eq!(violations, Vec::<&str>::new(), "seed {seed}");
    }
}

/// Guards against a model that would miss the faults that it is there for.
#[test]
fn broken_variants_are_detected() {
    for fault in [
        Fault::LostRelayIsRefused,
        Fault::SilentRelayIsRefused,
        Fault::ConditionIsDropped,
        Fault::WriteInDoubtIsRepeated,
    ] {
        let (runs, violations) = explore(fault);
        println!("{fault:?}: {violations:?} after {runs} orders");
        assert!(!violations.is_empty(), "{fault:?} was not detected in {runs} orders");
    }
}
