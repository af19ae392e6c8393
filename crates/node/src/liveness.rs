//! Whether a leader is alive, as the probes of it show.
//!
//! Only some results of a probe are evidence that a leader is gone: its machine refuses the
//! connection, or its daemon answers that it does not lead. A probe without an answer is none. A
//! leader that is overloaded, and one that is probed from an overloaded daemon or over a slow
//! link, is alive. Whether a silent leader is dead is for its lease to show.

/// Consecutive probes that did not reach a leader after which its liveness changes. The first one
/// may have been sent over a dead connection to a live daemon, or to a daemon that is about to
/// lead.
const MISSES_MAX: u32 = 2;

/// Whether a leader is alive, and whether it reaches the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, displaydoc::Display)]
pub enum Liveness {
    /// not known
    #[default]
    Unknown,
    /// it lives and the store answers it
    Healthy,
    /// it lives and the store does not answer it
    Isolated,
    /// it does not answer
    Unresponsive,
    /// its process has ended, or schedules no more
    Gone,
}

/// The result of one probe of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It leads.
    Leads {
        /// Whether the store responds to it.
        reaches_store: bool,
    },
    /// The daemon at its address does not lead.
    DoesNotLead,
    /// Nothing listens at its address.
    Refused,
    /// No answer came in time.
    NoAnswer,
}

/// Derives the liveness of one leader from the probes of it.
#[derive(Clone, Debug, Default)]
pub struct LivenessDetector {
    misses: u32,
}

impl LivenessDetector {
    /// Records a probe; returns the liveness if the probes so far show it.
    pub fn record(&mut self, result: ProbeResult) -> Option<Liveness> {
        if let ProbeResult::Leads { reaches_store } = result {
            self.misses = 0;
            return Some(if reaches_store { Liveness::Healthy } else { Liveness::Isolated });
        }
        self.misses += 1;
        if self.misses < MISSES_MAX {
            return None;
        }
        match result {
            ProbeResult::DoesNotLead | ProbeResult::Refused => Some(Liveness::Gone),
            ProbeResult::NoAnswer | ProbeResult::Leads { .. } => Some(Liveness::Unresponsive),
        }
    }

    /// Whether the last probe was the first one that did not reach the leader.
    pub fn is_in_doubt(&self) -> bool {
        self.misses == 1
    }
}
