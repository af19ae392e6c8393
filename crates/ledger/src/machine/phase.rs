//! How far a task is.

use stoatwell_model::Code;

/// Attempts under one epoch have these many low bits for themselves.
const EPOCH_SHIFT: u32 = 12;

/// How far a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No start of this attempt was ever sent.
    Waiting,
    /// The intent is to be written.
    Intended,
    /// The intent is being written.
    Recording,
    /// A start was sent or may have been.
    Starting,
    /// The worker said that it runs.
    Running,
    /// Taken over from another daemon; the worker has to be asked.
    InDoubt,
    /// Ended well.
    Done,
    /// Ended for good without success.
    Over(Code),
    /// Will never start.
    Dropped(Code),
    /// The worker is gone for good; nothing can tell whether it ran.
    Lost,
}

/// The first attempt under an epoch. Two daemons that ran a job one after the
/// other must not give the same id to starts on different workers, for what
/// one worker reports would be taken for the other's.
pub(super) fn first_attempt(epoch: u64) -> u32 {
    ((epoch.saturating_sub(1) as u32) << EPOCH_SHIFT) + 1
}

impl Phase {
    pub(super) fn may_run(self) -> bool {
        matches!(self, Self::Starting | Self::Running)
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Intended => "intent to be written",
            Self::Recording => "intent being written",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::InDoubt => "in doubt",
            Self::Done => "done",
            Self::Over(_) => "failed",
            Self::Dropped(_) => "never to start",
            Self::Lost => "lost",
        }
    }

    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Done | Self::Over(_) | Self::Dropped(_) | Self::Lost)
    }
}
