//! What the holder of one worker keeps of it.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;

/// One worker that is held.
#[derive(Debug)]
pub(crate) struct HeldWorker {
    /// The token under which it is held.
    pub(crate) token: Token,
    /// Tasks that the worker knows.
    pub(crate) tasks: BTreeMap<AttemptId, Known>,
    /// Starts that were never sent.
    pub(crate) starts: Vec<StartTask>,
    /// Starts that were sent without an answer yet.
    pub(crate) sent: BTreeMap<AttemptId, StartTask>,
    /// Stops to send.
    pub(crate) stops: Vec<(AttemptId, StopMode)>,
    /// Attempts that the worker may forget.
    pub(crate) acks: Vec<AttemptId>,
    /// Whether a start or a stop is on its way.
    pub(crate) calling: bool,
    /// No start or stop before this time.
    pub(crate) not_before_ms: UnixMs,
}

/// One task that the worker knows.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// How far it is.
    pub(crate) state: TaskState,
    /// Who hears of it.
    pub(crate) coordinator: DaemonId,
    /// When it was first seen to have ended; 0 while it runs.
    pub(crate) ended_ms: UnixMs,
}

impl HeldWorker {
    pub(crate) fn new(token: Token) -> Self {
        Self {
            token,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            sent: BTreeMap::new(),
            stops: Vec::new(),
            acks: Vec::new(),
            calling: false,
            not_before_ms: 0,
        }
    }

    /// Whether nothing runs or is about to.
    pub(crate) fn is_empty(&self) -> bool {
        let runs = self.tasks.values().any(|known| known.state.is_running());
        !runs && self.starts.is_empty() && self.sent.is_empty()
    }

    /// Whether a call is on its way or waits to be sent.
    pub(crate) fn has_work(&self) -> bool {
        !self.starts.is_empty() || !self.stops.is_empty() || !self.sent.is_empty()
    }

    /// Whether an attempt is known or on its way.
    pub(crate) fn knows(&self, attempt: AttemptId) -> bool {
        self.tasks.contains_key(&attempt)
            || self.sent.contains_key(&attempt)
            || self.starts.iter().any(|start| start.attempt == attempt)
    }
}
