//! One pretended minion: slots, and answers that tell what was asked.

use std::collections::HashMap;

use stoatwell_model::AttemptId;
use stoatwell_model::worker::MinionState;

/// One minion.
#[derive(Debug)]
pub struct Minion {
    /// What its worker reports of it.
    pub state: MinionState,
    requests: HashMap<AttemptId, Progress>,
    peak_busy: u32,
    runs: u64,
}

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// In work.
    Running,
    /// Answered.
    Answered(String),
    /// It never came and may not come any more.
    Sealed,
}

/// Whether a request may be worked on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It holds a slot now.
    Begun,
    /// No slot is free.
    Busy,
    /// It was refused for good.
    Sealed,
    /// It has been here before.
    Seen(Progress),
}

impl Minion {
    /// An idle minion.
    pub fn new(state: MinionState) -> Self {
        Self { state, requests: HashMap::new(), peak_busy: 0, runs: 0 }
    }

    /// Takes a slot for a request.
    pub fn begin(&mut self, attempt: AttemptId) -> Admission {
        match self.requests.get(&attempt) {
            Some(Progress::Sealed) => return Admission::Sealed,
            Some(progress) => return Admission::Seen(progress.clone()),
            None => {}
        }
        if self.state.busy >= self.state.slots {
            return Admission::Busy;
        }
        self.state.busy += 1;
        self.peak_busy = self.peak_busy.max(self.state.busy);
        self.runs += 1;
        self.requests.insert(attempt, Progress::Running);
        Admission::Begun
    }

    /// Gives the slot back.
    pub fn finish(&mut self, attempt: AttemptId, answer: String) {
        self.state.busy = self.state.busy.saturating_sub(1);
        self.requests.insert(attempt, Progress::Answered(answer));
    }

    /// Tells what became of a request and forbids it where it never came.
    pub fn seal(&mut self, attempt: AttemptId) -> Progress {
        self.requests.entry(attempt).or_insert(Progress::Sealed).clone()
    }

    /// Requests begun, and the most at once.
    pub fn record(&self) -> (u64, u32) {
        (self.runs, self.peak_busy)
    }
}
