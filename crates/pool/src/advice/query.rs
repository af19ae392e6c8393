//! Queries to the advisor, which decides on which workers a step may run.
//!
//! In spite of its name, the advisor's decision is binding: if a queue has an advisor, a
//! worker starts a task only with a valid ticket. A ticket is the advisor's proof that the
//! step may run on that worker, and is valid for a limited time.
//!
//! The set of granted workers does not change over time; only the tickets expire. A
//! step therefore queries about enough workers once and keeps the result. Just before a
//! start it queries about the few chosen workers again if a ticket of theirs is too old.
//! The tasks keep their allocations on these workers until the answer arrives.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::Effect;
use crate::event::Grant;
use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::job::Phase;
use crate::jobs::job::Ticket;
use crate::jobs::spec::AdviceSpec;
use crate::jobs::spec::QueueSpec;

/// Part of a ticket's validity that is set aside for sending a start and for the
/// worker's answer to it.
const TICKET_MARGIN_MS: u64 = 200;
/// Upper bound of the part that is set aside including the store writes before the
/// start, in percent of the validity.
const TICKET_MARGIN_PERCENT: u64 = 85;
/// Time that the per-worker cost of a query may add to its fixed cost.
const PER_WORKER_BUDGET_MS: f64 = 200.0;
/// Pending queries per daemon above which queries are kept short. It exceeds the two
/// that a daemon needs: one in progress and the next one.
const PENDING_QUERIES_PER_DAEMON_MAX: usize = 4;
/// Expected duration from which on a query counts as long.
pub const LONG_QUERY_MS: u64 = 200;
/// One daemon in this many is reserved for short queries, which urgent work waits for.
const SHORT_ONLY_DIVISOR: usize = 5;
/// Minimum number of daemons reserved for short queries, but never more than half of
/// the daemons.
const SHORT_ONLY_MIN: usize = 8;
/// Lower bound of the limit on concurrent queries of one gang. It applies even if no more
/// long queries may be sent. Sent one after another, the queries of a gang would take most
/// of a second each, and other work would take the capacity meanwhile.
const GANG_QUERIES_MIN: usize = 2;
/// A gang may send one in this many of the long queries that may still be sent.
const GANG_QUERIES_DIVISOR: usize = 4;
/// A step has enough granted workers when their total capacity fits this many times
/// its tasks.
pub(crate) const SUFFICIENT_PLACES_FACTOR: u64 = 3;
/// Time that the per-worker cost may add to each query if many daemons are idle, in percent of
/// the fixed cost.
const SPLIT_PER_WORKER_PERCENT: f64 = 25.0;
/// A query is split only if its answer comes at least this much sooner.
const SPLIT_GAIN_MIN_MS: f64 = 50.0;
/// Minimum number of workers in a query, whatever the cost per worker.
const QUERY_WORKERS_MIN: usize = 8;
/// How much longer than the advisor's own time an answer may take before a gang is placed without
/// it, if the workers that are granted so far suffice.
const ANSWER_MARGIN_MS: u64 = 300;
/// Delay before the next query of a step after one that failed.
const RETRY_DELAY_MS: u64 = 150;

impl Pool {
    /// How many workers one query of a step may name: as many as fit the time budget,
    /// or as many as the step needs to have a choice, whichever is more. While queries
    /// queue up, only the latter counts: with few daemons left, long queries would let
    /// few jobs through.
    pub(crate) fn query_workers_max(
        &self,
        queue: &QueueSpec,
        tasks: u64,
        places_each: u64,
    ) -> usize {
        let each_ms = queue.advice.map_or(0.0, |rule| rule.each_ms);
        let overloaded = self.queries > self.advisor_daemons * PENDING_QUERIES_PER_DAEMON_MAX;
        let affordable = match each_ms {
            _ if overloaded => 0,
            each_ms if each_ms > 0.0 => (PER_WORKER_BUDGET_MS / each_ms) as usize,
            _ => usize::MAX,
        };
        let places_each = places_each.max(1) as f64 * self.estimates.granted_share(&queue.name);
        let needed = ((tasks * SUFFICIENT_PLACES_FACTOR) as f64 / places_each).ceil() as usize;
        affordable.max(needed).clamp(QUERY_WORKERS_MIN, self.limits.advice_workers_max)
    }

    /// Whether a query about this many workers may be sent now.
    pub(crate) fn may_query(&self, rule: AdviceSpec, workers: usize) -> bool {
        query_cost_ms(rule, workers) < LONG_QUERY_MS || self.free_long_queries() > 0
    }

    /// How many queries of one gang may be pending at the same time.
    pub(crate) fn gang_queries_max(&self) -> usize {
        (self.free_long_queries() / GANG_QUERIES_DIVISOR).max(GANG_QUERIES_MIN)
    }

    /// How many more long queries may be sent now.
    fn free_long_queries(&self) -> usize {
        let in_progress = self.long_queries.saturating_sub(self.stuck_long_queries);
        long_queries_max(self.advisor_daemons).saturating_sub(in_progress)
    }

    /// Into how many queries one about this many workers is split. Each daemon sends its queries
    /// one after another, so queries through idle daemons are answered at the same time.
    fn query_count(&self, rule: AdviceSpec, workers: usize) -> usize {
        let required = workers.div_ceil(self.limits.advice_workers_max).max(1);
        let per_worker_ms = rule.each_ms * workers as f64;
        let allowed_ms = (rule.decide_ms * SPLIT_PER_WORKER_PERCENT / 100.0).max(1.0);
        let wanted = (per_worker_ms / allowed_ms).ceil() as usize;
        let idle = self.free_long_queries().min(self.advisor_daemons.saturating_sub(self.queries));
        let count = wanted.min(idle / GANG_QUERIES_DIVISOR).clamp(required, workers.max(required));
        let gain_ms = per_worker_ms / required as f64 - per_worker_ms / count as f64;
        if gain_ms < SPLIT_GAIN_MIN_MS { required } else { count }
    }

    /// Queries the advisor about these workers, split into as many queries as needed.
    pub(crate) fn query_advisor(&mut self, step: StepId, workers: &[WorkerId]) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let Some(rule) = job.spec.queue.advice else { return };
        let priority = job.spec.queue.priority;
        let queries = self.query_count(rule, workers.len());
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        for chunk in workers.chunks(workers.len().div_ceil(queries).max(1)) {
            let cost_ms = query_cost_ms(rule, chunk.len());
            let advice = &mut job.step_states[step_index].advice;
            advice.queries += 1;
            advice.answers_due_ms = self.now_ms + cost_ms + ANSWER_MARGIN_MS;
            self.queries += 1;
            self.long_queries += usize::from(cost_ms >= LONG_QUERY_MS);
            let workers = chunk.to_vec();
            self.effects.push(Effect::Advise { step, workers, priority, cost_ms });
        }
    }

    pub(crate) fn on_advised(
        &mut self,
        step: StepId,
        queried: &[WorkerId],
        cost_ms: u64,
        granted: Option<Vec<Grant>>,
        issued_ms: u64,
    ) {
        let now_ms = self.now_ms;
        self.queries = self.queries.saturating_sub(1);
        if cost_ms >= LONG_QUERY_MS {
            self.long_queries = self.long_queries.saturating_sub(1);
        }
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(rule) = job.spec.queue.advice else { return };
        let Some(step_index) = job.step_index(step) else { return };
        job.step_states[step_index].retry_at_ms = 0;
        let advice = &mut job.step_states[step_index].advice;
        advice.queries = advice.queries.saturating_sub(1);
        advice.retry_at_ms = 0;
        if let Some(granted) = &granted {
            self.estimates.record_grants(&job.spec.queue.name, queried.len(), granted.len());
        }
        match granted {
            None => advice.pause_until_ms = now_ms + RETRY_DELAY_MS,
            Some(granted) => {
                tracing::debug!(%step, asked = queried.len(), granted = granted.len(), "advisor answered");
                let worker_index =
                    |name: &WorkerId| self.workers.get(name).map(|worker| worker.index);
                for index in queried.iter().filter_map(worker_index) {
                    advice.queried.set(index, true);
                }
                for grant in granted {
                    let Some(worker) = self.workers.get(&grant.worker) else { continue };
                    let expires_ms = issued_ms.min(now_ms) + rule.valid_ms;
                    let incarnation = worker.info.incarnation;
                    let ticket = Ticket { text: grant.ticket, incarnation, expires_ms };
                    advice.grant(worker.index, ticket);
                }
                self.answered.insert(step);
            }
        }
        self.start_reserved_tasks(step);
        self.cycle_due = true;
    }

    /// Starts the tasks that waited for tickets.
    ///
    /// Those without a fresh ticket, or whose worker takes no new tasks now, go back to
    /// the queue once all queries are answered. A gang starts all of these tasks or none.
    fn start_reserved_tasks(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(step_index) = job.step_index(step) else { return };
        let gang = job.step_spec(step_index).gang;
        let has_queries = job.step_states[step_index].advice.queries > 0;
        if gang && has_queries {
            return;
        }
        let mut ready = Vec::new();
        let mut denied = Vec::new();
        for (index, task) in job.step_states[step_index].tasks.iter().enumerate() {
            if task.phase != Phase::Reserved {
                continue;
            }
            let id = TaskId { step, index: index as u32 };
            let fresh = task.worker.as_ref().is_some_and(|name| {
                self.has_fresh_ticket(step, name)
                    && self.workers.get(name).is_some_and(|worker| worker.is_open(self.now_ms))
            });
            if fresh {
                ready.push(id);
            } else if !has_queries {
                denied.push(id);
            }
        }
        if gang && !denied.is_empty() {
            denied.append(&mut ready);
        }
        if let Some(first) = denied.first() {
            let tasks = denied.len();
            tracing::info!(%step, tasks, %first, "no valid tickets, or workers closed; the tasks are queued again");
        }
        if gang && !denied.is_empty() {
            self.reject_gang_attempt(step);
        }
        for id in denied {
            self.release(id);
            self.requeue(id);
        }
        self.record_starts(step, &ready);
    }

    /// Whether the step has a ticket for this worker that is still valid when a start
    /// recorded now would arrive.
    pub(crate) fn has_fresh_ticket(&self, step: StepId, name: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(step_index) = job.step_index(step) else { return false };
        let Some(worker) = self.workers.get(name) else { return false };
        let Some(ticket) = job.step_states[step_index].advice.granted.get(&worker.index) else {
            return false;
        };
        ticket.is_fresh(
            worker.info.incarnation,
            self.start_arrival_ms(step.job, job.spec.queue.advice),
        )
    }

    /// Estimates when a start that is recorded now arrives at its worker.
    ///
    /// The start waits for the batch that is being written and for its own batch. When
    /// the store takes half a second for each, tickets that are valid now have expired
    /// by then. Their starts would be refused and recorded again, which would keep the
    /// store busy for as long as it is slow.
    pub(crate) fn start_arrival_ms(&self, job: JobId, advice: Option<AdviceSpec>) -> u64 {
        let valid_ms = advice.map_or(0, |rule| rule.valid_ms);
        let writes_ms = self.commits.expected_batch_ms(job, self.now_ms) * 2;
        // Limited so that a new ticket still counts as fresh.
        let margin_ms = (TICKET_MARGIN_MS + writes_ms).min(valid_ms * TICKET_MARGIN_PERCENT / 100);
        self.now_ms + margin_ms
    }

    /// Expires a ticket that a worker refused, so that the next start queries a new one.
    pub(crate) fn invalidate_ticket(&mut self, id: TaskId, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else { return };
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        if let Some(ticket) = job.step_states[step_index].advice.granted.get_mut(&worker.index) {
            ticket.expires_ms = 0;
        }
    }
}

/// How many long queries may be pending with this many daemons. With more, queries
/// would wait for each other until the first tickets have expired again.
pub fn long_queries_max(daemons: usize) -> usize {
    daemons - (daemons / SHORT_ONLY_DIVISOR).max(SHORT_ONLY_MIN.min(daemons / 2))
}

/// Expected duration of a query at the advisor.
fn query_cost_ms(rule: AdviceSpec, workers: usize) -> u64 {
    (rule.decide_ms + rule.each_ms * workers as f64) as u64 + 1
}
