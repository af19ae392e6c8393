//! Asking the advisor which workers may run a step.
//!
//! What it grants does not change, only the ticket ages. So a step asks once
//! about enough workers and keeps the set; just before a start it asks again
//! for the few workers that were chosen and whose ticket is old. Their room is
//! kept meanwhile.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::Effect;
use crate::event::Grant;
use crate::id::JobId;
use crate::id::StepId;
use crate::id::TaskId;
use crate::job::Phase;
use crate::job::Ticket;
use crate::spec::AdviceSpec;
use crate::spec::QueueSpec;

/// Reservation of a ticket's time for the way of a start and its worker's answer.
const TICKET_MARGIN_MS: u64 = 200;
/// The most that is kept of it with the writes in between, in hundredths.
const TICKET_MARGIN_PERCENT: u64 = 85;
/// What a question may cost beyond the advisor's own time for it.
const EACH_BUDGET_MS: f64 = 200.0;
/// Questions under way for each daemon above which they are kept short: some more
/// than one that is asked and one that is next.
const QUESTIONS_EACH_MAX: usize = 4;
/// A question that takes at least this is a long one.
pub const LONG_ASK_MS: u64 = 200;
/// Daemons kept for short questions, which urgent work waits for: one in this many ...
const SHORT_ONLY_SHARE: usize = 5;
/// ... and at least this many, as far as that is no more than half of them.
const SHORT_ONLY_MIN: usize = 8;
/// Questions about one gang at one time, if no more long ones can be asked through idle
/// daemons. One after the other they would take most of a second each, while the room
/// goes to others.
const GANG_QUESTIONS_MIN: usize = 2;
/// A gang takes one part in this many of the long questions that can still be asked.
const IDLE_SHARE: usize = 4;
/// A step has enough workers to choose from when they hold this many times its
/// tasks while empty.
pub(crate) const PLACES_FACTOR: u64 = 3;
/// Fewest workers asked about at once, however long each takes.
const ASKED_MIN: usize = 8;
/// After a question without answer the next one waits this long.
const ADVICE_PAUSE_MS: u64 = 150;

impl Pool {
    /// How many workers one question about a step names: as many as cost little
    /// beside the decision, or as the step needs to have a choice. While questions
    /// queue up it is what the step needs: with few daemons left, long questions
    /// would let few jobs through.
    pub(crate) fn asked_max(&self, queue: &QueueSpec, tasks: u64, places_each: u64) -> usize {
        let each_ms = queue.advice.map_or(0.0, |rule| rule.each_ms);
        let crowded = self.queries > self.advisor_daemons * QUESTIONS_EACH_MAX;
        let affordable = match each_ms {
            _ if crowded => 0,
            each_ms if each_ms > 0.0 => (EACH_BUDGET_MS / each_ms) as usize,
            _ => usize::MAX,
        };
        let places_each = places_each.max(1) as f64 * self.estimates.granted_share(&queue.name);
        let needed = ((tasks * PLACES_FACTOR) as f64 / places_each).ceil() as usize;
        affordable.max(needed).clamp(ASKED_MIN, self.limits.advice_workers_max)
    }

    /// Whether a question about this many workers may be asked now.
    pub(crate) fn may_ask(&self, rule: AdviceSpec, workers: usize) -> bool {
        cost_ms(rule, workers) < LONG_ASK_MS || self.long_questions_left() > 0
    }

    /// How many questions about one gang may be asked at one time.
    pub(crate) fn gang_questions_max(&self) -> usize {
        (self.long_questions_left() / IDLE_SHARE).max(GANG_QUESTIONS_MIN)
    }

    /// How many more long questions may be under way.
    fn long_questions_left(&self) -> usize {
        long_questions_max(self.advisor_daemons).saturating_sub(self.long_queries)
    }

    /// Asks the advisor about these workers, in as many questions as it takes.
    pub(crate) fn ask(&mut self, step: StepId, workers: &[WorkerId]) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(unit) = job.unit_of(step) else { return };
        let Some(rule) = job.spec.queue.advice else { return };
        let priority = job.spec.queue.priority;
        let questions = workers.len().div_ceil(self.limits.advice_workers_max).max(1);
        for some in workers.chunks(workers.len().div_ceil(questions).max(1)) {
            let cost_ms = cost_ms(rule, some.len());
            job.units[unit].advice.queries += 1;
            self.queries += 1;
            self.long_queries += usize::from(cost_ms >= LONG_ASK_MS);
            let workers = some.to_vec();
            self.effects.push(Effect::Advise { step, workers, priority, cost_ms });
        }
    }

    pub(crate) fn on_advised(
        &mut self,
        step: StepId,
        asked: &[WorkerId],
        cost_ms: u64,
        granted: Option<Vec<Grant>>,
        received_ms: u64,
    ) {
        let now_ms = self.now_ms;
        self.queries = self.queries.saturating_sub(1);
        if cost_ms >= LONG_ASK_MS {
            self.long_queries = self.long_queries.saturating_sub(1);
        }
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(rule) = job.spec.queue.advice else { return };
        let Some(unit) = job.unit_of(step) else { return };
        job.units[unit].retry_at_ms = 0;
        let advice = &mut job.units[unit].advice;
        advice.queries = advice.queries.saturating_sub(1);
        advice.retry_at_ms = 0;
        if let Some(granted) = &granted {
            self.estimates.advised(&job.spec.queue.name, asked.len(), granted.len());
        }
        match granted {
            None => advice.pause_until_ms = now_ms + ADVICE_PAUSE_MS,
            Some(granted) => {
                tracing::debug!(%step, asked = asked.len(), granted = granted.len(), "advice came");
                let slot = |name: &WorkerId| self.workers.get(name).map(|worker| worker.slot);
                advice.asked.extend(asked.iter().filter_map(slot));
                for grant in granted {
                    let Some(worker) = self.workers.get(&grant.worker) else { continue };
                    let expires_ms = received_ms.min(now_ms) + rule.valid_ms;
                    let incarnation = worker.info.incarnation;
                    let ticket = Ticket { text: grant.ticket, incarnation, expires_ms };
                    advice.granted.insert(worker.slot, ticket);
                }
            }
        }
        self.start_reserved(step);
        self.cycle_due = true;
    }

    /// Starts the tasks that waited for tickets, or frees their room.
    fn start_reserved(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(unit) = job.unit_of(step) else { return };
        let gang = job.step(unit).gang;
        let mut ready = Vec::new();
        let mut denied = Vec::new();
        for (index, task) in job.units[unit].tasks.iter().enumerate() {
            if task.phase != Phase::Reserved {
                continue;
            }
            let id = TaskId { step, index: index as u32 };
            let fresh = task.worker.as_ref().is_some_and(|name| {
                self.has_fresh_ticket(step, name)
                    && self.workers.get(name).is_some_and(|worker| worker.is_open(self.now_ms))
            });
            if fresh { ready.push(id) } else { denied.push(id) }
        }
        if gang && !denied.is_empty() {
            denied.append(&mut ready);
        }
        for id in denied {
            self.release(id);
            self.requeue(id);
        }
        self.record_starts(step, &ready);
    }

    /// Whether a start on this worker could show a ticket that is good.
    pub(crate) fn has_fresh_ticket(&self, step: StepId, name: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(unit) = job.unit_of(step) else { return false };
        let Some(worker) = self.workers.get(name) else { return false };
        let Some(ticket) = job.units[unit].advice.granted.get(&worker.slot) else { return false };
        ticket.is_fresh(worker.info.incarnation, self.sent_ms(step.job, job.spec.queue.advice))
    }

    /// About when a start that is recorded now will be sent and arrive.
    ///
    /// It waits for the batch under way and for its own. With a store that takes
    /// half a second for each, tickets that are good now are not any more then, and
    /// the refused starts would keep the store busy for as long as it is slow.
    pub(crate) fn sent_ms(&self, job: JobId, advice: Option<AdviceSpec>) -> u64 {
        let valid_ms = advice.map_or(0, |rule| rule.valid_ms);
        let writes_ms = self.commits.expected_batch_ms(job, self.now_ms) * 2;
        // Never so long that a ticket could not be fresh at all.
        let margin_ms = (TICKET_MARGIN_MS + writes_ms).min(valid_ms * TICKET_MARGIN_PERCENT / 100);
        self.now_ms + margin_ms
    }

    /// A worker refused a ticket; the next start asks for a new one.
    pub(crate) fn drop_ticket(&mut self, id: TaskId, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else { return };
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        if let Some(ticket) = job.units[unit].advice.granted.get_mut(&worker.slot) {
            ticket.expires_ms = 0;
        }
    }
}

/// How many long questions may be under way through this many daemons. More would wait
/// for each other until the tickets that came first are old again.
pub fn long_questions_max(daemons: usize) -> usize {
    daemons - (daemons / SHORT_ONLY_SHARE).max(SHORT_ONLY_MIN.min(daemons / 2))
}

/// What the advisor takes for a question.
fn cost_ms(rule: AdviceSpec, workers: usize) -> u64 {
    (rule.decide_ms + rule.each_ms * workers as f64) as u64 + 1
}
