//! Callers that wait for the leader to make their submissions durable.

use std::collections::HashMap;
use std::sync::Arc;

use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Pool;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::clock::unix_ms;

/// The waiting callers of one leader.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    waiting: HashMap<JobId, Vec<oneshot::Sender<Accepted>>>,
}

impl Submissions {
    /// Hands a submission to the pool.
    pub fn hand_in(
        &mut self,
        pool: &mut Pool,
        job: JobId,
        row: &[u8],
        answer: oneshot::Sender<Accepted>,
    ) {
        let spec: JobSpec = match serde_json::from_slice(row) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::warn!(%job, %error, "a daemon's submission cannot be read");
                return;
            }
        };
        match pool.submit(steady_ms(), unix_ms(), job, Arc::new(spec)) {
            Some(accepted) => tell(job, answer, accepted),
            None => self.waiting.entry(job).or_default().push(answer),
        }
    }

    /// Tells the callers that wait for a submission what became of it.
    pub fn settle(&mut self, job: JobId, accepted: Accepted) {
        for answer in self.waiting.remove(&job).unwrap_or_default() {
            tell(job, answer, accepted);
        }
    }
}

fn tell(job: JobId, answer: oneshot::Sender<Accepted>, accepted: Accepted) {
    if answer.send(accepted).is_err() {
        tracing::debug!(%job, ?accepted, "the caller left before its submission was settled");
    }
}
