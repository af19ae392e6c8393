//! Submissions whose callers wait until the leader has made them durable.

use std::collections::HashMap;
use std::sync::Arc;

use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Pool;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::clock::unix_ms;

/// The callers that wait for one leader, by job.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    waiting: HashMap<JobId, Vec<oneshot::Sender<Accepted>>>,
}

impl Submissions {
    /// Submits a job to the pool, and replies as soon as the outcome is known.
    pub fn submit(
        &mut self,
        pool: &mut Pool,
        job: JobId,
        row: &[u8],
        caller: oneshot::Sender<Accepted>,
    ) {
        let spec: JobSpec = match serde_json::from_slice(row) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::warn!(%job, %error, "rejecting a submission that cannot be parsed");
                return reply(job, caller, Accepted::No);
            }
        };
        let result = pool.submit(steady_ms(), unix_ms(), job, Arc::new(spec));
        metrics::counter!("stoatwell_admissions_total", "outcome" => admission_outcome(result))
            .increment(1);
        match result {
            Some(accepted) => reply(job, caller, accepted),
            None => self.waiting.entry(job).or_default().push(caller),
        }
    }

    /// Replies to all callers that wait for a submission.
    pub fn resolve(&mut self, job: JobId, accepted: Accepted) {
        if accepted.is_refusal() {
            metrics::counter!("stoatwell_submissions_given_up_total").increment(1);
        }
        for caller in self.waiting.remove(&job).unwrap_or_default() {
            reply(job, caller, accepted);
        }
    }
}

/// What the pool decided about a submission when it arrived.
fn admission_outcome(result: Option<Accepted>) -> &'static str {
    match result {
        None => "admitted",
        Some(Accepted::Overloaded { .. }) => "too late",
        Some(Accepted::Yes) => "known",
        Some(Accepted::No | Accepted::Taken | Accepted::Unknown) => "not taken",
    }
}

fn reply(job: JobId, caller: oneshot::Sender<Accepted>, accepted: Accepted) {
    if caller.send(accepted).is_err() {
        tracing::debug!(%job, ?accepted, "caller disconnected before its submission was resolved");
    }
}
