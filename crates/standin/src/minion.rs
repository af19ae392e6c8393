//! A simulated minion: slots, and a record of the requests it has received.

use std::collections::HashMap;

use stoatwell_model::AttemptId;
use stoatwell_model::worker::MinionState;

/// A simulated minion.
#[derive(Debug)]
pub struct Minion {
    /// State as its worker reports it.
    pub state: MinionState,
    requests: HashMap<AttemptId, Progress>,
    peak_busy: u32,
    started: u64,
}

/// State of a request at the minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// In progress; it holds a slot.
    Running,
    /// Finished, with its answer.
    Answered(String),
    /// It had not arrived when it was sealed and is refused if it still arrives.
    Sealed,
}

/// Result of [`Minion::begin`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was admitted and holds a slot.
    Admitted,
    /// No slot is free; the request was not recorded.
    Busy,
    /// The request was sealed before it arrived and is refused.
    Sealed,
    /// The request arrived before; this is its state.
    Duplicate(Progress),
}

impl Minion {
    /// Creates a minion that has received no requests.
    pub fn new(state: MinionState) -> Self {
        Self { state, requests: HashMap::new(), peak_busy: 0, started: 0 }
    }

    /// Admits a request and takes a slot for it, unless it is a duplicate or was sealed.
    pub fn begin(&mut self, attempt: AttemptId) -> Admission {
        match self.requests.get(&attempt) {
            Some(Progress::Sealed) => return Admission::Sealed,
            Some(progress) => return Admission::Duplicate(progress.clone()),
            None => {}
        }
        if self.state.busy >= self.state.slots {
            return Admission::Busy;
        }
        self.state.busy += 1;
        self.peak_busy = self.peak_busy.max(self.state.busy);
        self.started += 1;
        self.requests.insert(attempt, Progress::Running);
        Admission::Admitted
    }

    /// Releases the slot of a request and records its answer.
    pub fn finish(&mut self, attempt: AttemptId, answer: String) {
        self.state.busy = self.state.busy.saturating_sub(1);
        self.requests.insert(attempt, Progress::Answered(answer));
    }

    /// Returns the state of a request. One that never arrived is refused from now on.
    pub fn seal(&mut self, attempt: AttemptId) -> Progress {
        self.requests.entry(attempt).or_insert(Progress::Sealed).clone()
    }

    /// Returns the number of admitted requests and the most that were in progress at once.
    pub fn stats(&self) -> (u64, u32) {
        (self.started, self.peak_busy)
    }
}
