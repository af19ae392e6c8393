//! Phases of a task.

use stoatwell_model::Code;

/// Number of low bits of an attempt number that count attempts within one epoch.
const ATTEMPT_BITS: u32 = 12;

/// Progress of the current attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No start of this attempt was sent.
    Waiting,
    /// The intent is in the record and its write has not begun.
    IntentPending,
    /// The write of the intent is in flight.
    WritingIntent,
    /// A start was sent or may have been sent.
    Starting,
    /// The worker reported that the task runs.
    Running,
    /// The job was taken over from another daemon, and the worker must be queried.
    InDoubt,
    /// The task succeeded.
    Done,
    /// The task ended without success and is not retried.
    Failed(Code),
    /// The task was not started and never will be.
    NeverStarted(Code),
    /// The worker is permanently lost, and there is no way to find out whether the task ran.
    Lost,
}

/// Number of the first attempt within an epoch.
///
/// Each epoch has its own range of numbers, so that two successive coordinators never use
/// the same number for starts on different workers. Otherwise a report of one worker would
/// be taken for a report of the other.
pub(super) fn first_attempt(epoch: u64) -> u32 {
    ((epoch.saturating_sub(1) as u32) << ATTEMPT_BITS) + 1
}

impl Phase {
    /// Whether a start may have been sent and the end of the task is not known.
    pub(super) fn may_be_running(self) -> bool {
        matches!(self, Self::Starting | Self::Running)
    }

    /// Name of the phase in dumps, shown to operators.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::IntentPending => "intent to be written",
            Self::WritingIntent => "intent being written",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::InDoubt => "in doubt",
            Self::Done => "done",
            Self::Failed(_) => "failed",
            Self::NeverStarted(_) => "never to start",
            Self::Lost => "lost",
        }
    }

    /// Whether the task has a result that counts towards the outcome of the job.
    pub(super) fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed(_) | Self::NeverStarted(_) | Self::Lost)
    }
}
