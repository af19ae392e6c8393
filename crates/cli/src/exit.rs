//! Errors and exit statuses; `docs/cli.md` lists them.

use std::process::ExitCode;

use stoatwell_model::Failure;
use stoatwell_model::JobState;

/// A daemon refused the call.
pub(crate) const REFUSED: u8 = 1;
/// No daemon could be reached. Status 2 is for wrong arguments.
pub(crate) const UNREACHABLE: u8 = 3;
/// The job ran and failed.
pub(crate) const JOB_FAILED: u8 = 4;
/// Nothing can tell whether the job ran.
pub(crate) const JOB_UNKNOWN: u8 = 5;
/// The job did not run.
pub(crate) const JOB_NOT_RUN: u8 = 6;
/// The wait was over before the job was.
pub(crate) const STILL_OPEN: u8 = 7;

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CliError {
    /// {0}
    Refused(Box<Failure>),
    /// no daemon can be reached: {0}
    Unreachable(String),
    /// {0}
    Local(String),
}

impl std::error::Error for CliError {}

impl CliError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(_) | Self::Local(_) => ExitCode::from(REFUSED),
            Self::Unreachable(_) => ExitCode::from(UNREACHABLE),
        }
    }
}

/// The exit status for a job in this state.
pub(crate) fn of_job(state: JobState, waited: bool) -> ExitCode {
    match state {
        JobState::Queued | JobState::Running if waited => ExitCode::from(STILL_OPEN),
        JobState::Queued | JobState::Running | JobState::Done => ExitCode::SUCCESS,
        JobState::Failed => ExitCode::from(JOB_FAILED),
        JobState::NotRun => ExitCode::from(JOB_NOT_RUN),
        JobState::Unknown => ExitCode::from(JOB_UNKNOWN),
    }
}
