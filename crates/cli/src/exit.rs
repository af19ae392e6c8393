//! Errors and exit statuses; `docs/cli.md` lists them.

use std::process::ExitCode;

use stoatwell_model::Failure;
use stoatwell_model::JobState;

/// A daemon rejected the request, or the command failed locally.
pub(crate) const REFUSED: u8 = 1;
/// No daemon could be reached. Status 2 is clap's for invalid arguments.
pub(crate) const UNREACHABLE: u8 = 3;
/// The job ran and failed.
pub(crate) const JOB_FAILED: u8 = 4;
/// It is unknown whether the job ran.
pub(crate) const JOB_UNKNOWN: u8 = 5;
/// The job did not run.
pub(crate) const JOB_NOT_RUN: u8 = 6;
/// The wait timed out before the job ended.
pub(crate) const WAIT_TIMED_OUT: u8 = 7;

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

/// The exit status for a job in `state`. A job that has not ended is a success unless
/// the command was to wait for it.
pub(crate) fn for_job(state: JobState, has_waited: bool) -> ExitCode {
    match state {
        JobState::Queued | JobState::Running if has_waited => ExitCode::from(WAIT_TIMED_OUT),
        JobState::Queued | JobState::Running | JobState::Done => ExitCode::SUCCESS,
        JobState::Failed => ExitCode::from(JOB_FAILED),
        JobState::NotRun => ExitCode::from(JOB_NOT_RUN),
        JobState::Unknown => ExitCode::from(JOB_UNKNOWN),
    }
}
