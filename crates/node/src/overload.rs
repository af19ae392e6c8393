//! Decides when a leader that is behind refuses new work.
//!
//! Answers to callers wait in the leader's inbox behind everything that arrived before. A
//! submission that cannot be answered within its caller's time limit would only lengthen the
//! queue, and its caller would not learn what became of it.

use std::time::Duration;

use stoatwell_pool::JobId;

/// Delay of the inbox from which on submissions are refused: half of the time that most callers
/// wait, since an answer passes through the inbox once the job's row is written.
const DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Longest time after which a caller is asked to return, before it is spread.
const RETRY_AFTER_MAX_S: u32 = 8;

/// When the caller of a submission may try again, given how long messages wait in the inbox;
/// `None` if the submission is taken now.
///
/// The delay is the time that the queue needs to drain. Callers that are refused at the same time
/// return spread over as long again.
pub fn retry_after_s(inbox_delay: Duration, job: JobId) -> Option<u32> {
    if inbox_delay <= DELAY_MAX {
        return None;
    }
    let drained_s = (inbox_delay.as_secs() as u32 + 1).min(RETRY_AFTER_MAX_S);
    Some(drained_s + (job.0 % u64::from(drained_s + 1)) as u32)
}
