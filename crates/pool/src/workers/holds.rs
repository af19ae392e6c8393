//! Liveness, leases and run reports of workers.
//!
//! The scheduler keeps one hold pending at every worker. A hold is a long poll: it
//! extends the lease of everything that runs on the worker, its answer reports the
//! active and ended runs and is sent at once when a run ends, and a missing answer
//! shows that the worker or the connection to it has failed.

use std::collections::HashMap;

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::commit::AfterCommit;
use crate::event::CallError;
use crate::event::Effect;
use crate::event::HoldCall;
use crate::event::HoldReply;
use crate::event::StopCall;
use crate::event::WorkerUpdate;
use crate::id::TaskId;
use crate::jobs::job::Phase;
use crate::jobs::job::Task;
use crate::runs::gangs::GangFailure;
use crate::runs::run::callee;
use crate::workers::worker::Worker;

/// How long a worker may delay the answer to a hold until a run ends. An idle worker costs
/// two calls a second. Each answer also reports the progress of the active runs, so tasks
/// that make none are noticed within a second.
const HOLD_WAIT_MS: u64 = 500;
/// Number of workers above which a hold waits twice as long. Holds that report nothing new
/// would take much of the scheduler's CPU time.
const LONG_WAIT_WORKERS: usize = 100;
/// Delay between a hold that fails and the next one, counted from when the failed one was sent.
const HOLD_RETRY_DELAY_MS: u64 = 200;
/// Delay between the holds of a worker that is lost and still listed.
const LOST_WORKER_HOLD_DELAY_MS: u64 = 1_000;
/// Time after which a hold counts as lost although neither an answer nor an error has
/// arrived. The caller's own timeout is well below this.
const HOLD_LOST_MS: u64 = 4_000;
/// How long after its last renewal of the leader lease a scheduler extends the leases of
/// workers.
///
/// After that, another scheduler may be the leader. Each of the two may reach workers that
/// the other one does not reach. If the former leader still extended leases then, its runs
/// would continue while the new leader starts the same tasks elsewhere.
///
/// When the store is down, the leader cannot renew its lease, but runs continue for this
/// time and then until the workers' leases expire. So an outage of up to ten seconds, which
/// is the sum of the two, costs no run.
pub const EXTENSION_WINDOW_MS: u64 = 4_000;
/// How long a call that extends a lease may be on its way: until an executor is to make it
/// ([`CALL_AGE_MAX_MS`]), and for a new connection to the worker.
pub(crate) const DELIVERY_MAX_MS: u64 = CALL_AGE_MAX_MS + 600;
/// Age from which on a call does not extend a lease and starts nothing any more, wherever it waits.
pub const CALL_AGE_MAX_MS: u64 = 700;
/// Time after which a request can no longer take effect on a worker, counted from when the
/// request was sent. Workers execute requests up to 12 s late. The bound matters for a worker
/// that has not answered a hold under its newest token yet; after that answer it refuses
/// earlier requests.
pub(crate) const LATE_REQUEST_MS: u64 = 13_000;

impl Pool {
    pub(crate) fn on_listed(&mut self, update: WorkerUpdate) {
        let name = update.worker.clone();
        let Some(worker) = self.workers.get_mut(&name) else {
            tracing::info!(worker = %name, address = update.address, "worker listed");
            self.add_worker(update, true);
            return;
        };
        if update.incarnation < worker.info.incarnation {
            return;
        }
        if update.incarnation > worker.info.incarnation {
            let incarnation = update.incarnation;
            worker.info = WorkerUpdate { incarnation: worker.info.incarnation, ..update };
            worker.listed = true;
            self.begin_incarnation(&name, incarnation);
            return;
        }
        if update.draining && !worker.info.draining {
            tracing::info!(worker = %name, remaining_ms = update.remaining_ms, "worker is draining");
        }
        if !worker.listed {
            tracing::info!(worker = %name, "worker listed again");
        }
        worker.listed = true;
        worker.info = update;
        self.cycle_due = true;
    }

    /// When every lease that an earlier scheduler granted has certainly expired. It may have called
    /// an incarnation that it did not know, which grants the longest lease then.
    pub(crate) fn earlier_lease_expiry_ms(&self) -> u64 {
        let lease_ms = max_local_duration_ms(self.limits.lease_max_ms) + DELIVERY_MAX_MS;
        self.started_ms + self.election.earlier_extends_ms + lease_ms
    }

    /// When everything that runs on a worker has certainly ended if the worker stays silent.
    pub(crate) fn runs_expiry_ms(&self, worker: &Worker) -> u64 {
        let expiry_ms = worker.lease_expiry_ms();
        if worker.tasks.keys().all(|id| self.is_on_known_clock(*id, worker)) {
            return expiry_ms;
        }
        expiry_ms.max(self.unnoticed_lease_expiry_ms(worker))
    }

    /// When every lease has certainly expired that a later incarnation of the worker, of which
    /// nothing is known, may have got from calls of this leader.
    fn unnoticed_lease_expiry_ms(&self, worker: &Worker) -> u64 {
        let lease_ms = max_local_duration_ms(self.limits.lease_max_ms) + DELIVERY_MAX_MS;
        worker.extended_ms.map_or(0, |extended_ms| extended_ms + lease_ms)
    }

    fn is_on_known_clock(&self, id: TaskId, worker: &Worker) -> bool {
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        task.is_none_or(|task| task.is_on_known_clock(worker.as_of_ms))
    }

    /// Handles a renewal of the leader lease at `renewed_ms`, by the monotonic clock. The
    /// leases of workers may be extended until [`EXTENSION_WINDOW_MS`] after it.
    pub fn on_leader_lease_renewed(&mut self, renewed_ms: u64) {
        self.leader_lease_renewed_ms = self.leader_lease_renewed_ms.max(renewed_ms);
    }

    pub(crate) fn on_unlisted(&mut self, name: &WorkerId) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.listed = false;
        tracing::info!(worker = %name, tasks = worker.tasks.len(), "worker no longer listed");
    }

    /// Handles a restart of a worker: no run that it reported before exists any more.
    /// `life` is the number of the new incarnation.
    ///
    /// A start that was in flight may have reached the new incarnation. The new incarnation
    /// accepts it, since it has not seen a higher token yet. If the scheduler treated such a
    /// run as lost, it would start the task a second time. So runs that the worker has not
    /// reported yet, and those of which another start may be in flight, are kept; the first hold
    /// under the new token tells which of them exist.
    pub(crate) fn begin_incarnation(&mut self, name: &WorkerId, life: u64) {
        let Some(worker) = self.workers.get(name) else { return };
        tracing::warn!(
            worker = %name, life, former_life = worker.info.incarnation,
            former_clock_ms = worker.estimated_clock_ms(self.now_ms),
            former_lease_end_ms = worker.lease_end_max, extended_ms_ago = worker.extension_age_ms(self.now_ms),
            "worker restarted"
        );
        let as_of_ms = worker.as_of_ms;
        let mut tasks: Vec<TaskId> = worker.tasks.keys().copied().collect();
        tasks.sort_unstable();
        for id in tasks {
            let task = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id));
            let Some(task) = task else { continue };
            let is_settled = task.is_settled(as_of_ms);
            if task.listed_by_worker && !is_settled {
                let starts_expire_in_ms = task.start_expires_ms.saturating_sub(self.now_ms);
                tracing::info!(task = %id, run = task.run, worker = %name, life, starts_expire_in_ms, "a start in flight may begin the run again; the worker is asked");
            }
            task.listed_by_worker = false;
            match task.phase {
                Phase::Sent
                | Phase::Unconfirmed { .. }
                | Phase::Running { .. }
                | Phase::Adopted
                    if !is_settled =>
                {
                    task.phase = Phase::Adopted;
                }
                Phase::Stopping { .. } if !is_settled => {
                    task.phase = Phase::Stopping { answered_turn: None, sent_ms: 0 };
                }
                _ => {
                    tracing::warn!(task = %id, worker = %name, "run lost with its worker");
                    self.lose_run(id);
                }
            }
        }
        let expiry_ms =
            self.now_ms + max_local_duration_ms(self.limits.lease_max_ms) + LATE_REQUEST_MS;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.begin_incarnation(life, self.turn, expiry_ms);
        }
    }

    /// Handles the loss of a worker for good, with all its runs.
    pub(crate) fn lose_worker(&mut self, name: &WorkerId, why: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if std::mem::replace(&mut worker.lost, true) && worker.tasks.is_empty() {
            // The worker list still has an entry for the lost worker, and something else
            // answers at its address. An immediate hold would only fail in the same way.
            worker.next_hold_ms = self.now_ms + LOST_WORKER_HOLD_DELAY_MS;
            return;
        }
        tracing::warn!(worker = %name, why, "worker lost");
        self.lose_tasks(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.held = false;
        worker.clock = None;
        worker.lease_end_max = 0;
        worker.earlier_lease_expiry_ms = 0;
        worker.unwanted_allocations.clear();
        worker.next_hold_ms = self.now_ms + HOLD_RETRY_DELAY_MS;
        worker.recompute_usage();
        if !worker.listed {
            self.remove_worker(name);
        }
    }

    /// Requeues all tasks of a worker on which certainly nothing runs any more.
    fn lose_tasks(&mut self, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else { return };
        let tasks = worker.tasks.keys().copied().collect();
        self.lose_runs(name, tasks);
    }

    fn lose_runs(&mut self, name: &WorkerId, mut tasks: Vec<TaskId>) {
        tasks.sort_unstable();
        for id in tasks {
            tracing::warn!(task = %id, worker = %name, "run lost with its worker");
            self.lose_run(id);
        }
    }

    /// Releases and requeues a task whose run certainly exists nowhere any more.
    pub(crate) fn lose_run(&mut self, id: TaskId) {
        self.release(id);
        // The row still names the worker, and the next leader would wait for its lease again.
        self.commits.mark_changed(id.step.job);
        self.stop_other_members(id, GangFailure::Lost);
        self.requeue(id);
    }

    pub(crate) fn on_held(
        &mut self,
        name: &WorkerId,
        turn: u64,
        reply: Result<HoldReply, CallError>,
    ) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let hold_forgets = if worker.hold_turn == Some(turn) { worker.hold_forgets } else { 0 };
        if worker.hold_turn == Some(turn) {
            worker.hold_turn = None;
        }
        let reply = match reply {
            Ok(reply) => reply,
            // A hold that was sent later has been answered meanwhile, by another way.
            Err(CallError::NoAnswer | CallError::NotSent) if turn < worker.answered_turn => return,
            // The higher token is the one of the present incarnation.
            Err(CallError::Superseded) if turn <= worker.incarnation_turn => return,
            Err(error) => {
                worker.next_hold_ms = worker.hold_sent_ms + HOLD_RETRY_DELAY_MS;
                self.on_hold_failed(name, error);
                return;
            }
        };
        // An answer to the token of an earlier incarnation says nothing about this one.
        if reply.life < worker.info.incarnation || turn <= worker.incarnation_turn {
            return;
        }
        if reply.life > worker.info.incarnation {
            self.begin_incarnation(name, reply.life);
            if let Some(worker) = self.workers.get_mut(name) {
                // The capacity of the new incarnation is unknown until it is listed.
                worker.listed = false;
            }
            // The answer was given to a token of the old incarnation.
            return;
        }
        // Answers by different ways overtake each other.
        if worker.clock.is_some_and(|(clock_ms, _)| reply.clock_ms < clock_ms) {
            return;
        }
        worker.as_of_ms = worker.latest_answer_ms(now_ms, reply.clock_ms);
        worker.answered_ms = now_ms;
        worker.answered_turn = worker.answered_turn.max(turn);
        worker.unanswered_calls = 0;
        worker.forgotten_end = worker.forgotten_end.max(hold_forgets);
        worker.lost = false;
        worker.refuses_connections = false;
        let is_first_answer = worker.clock.replace((reply.clock_ms, now_ms)).is_none();
        if is_first_answer {
            // Until this moment the incarnation may have taken calls of earlier leaders, and calls
            // whose lease ends at a time on the clock of an earlier incarnation.
            worker.lease_end_max = reply.clock_ms + self.limits.lease_max_ms;
        }
        if !worker.held {
            worker.held = true;
            tracing::info!(
                worker = %name, active = reply.active.len(), ended = reply.ended.len(),
                life = reply.life, clock_ms = reply.clock_ms, lease_end_ms = worker.lease_end_max,
                "hold established"
            );
        }
        worker.next_hold_ms = now_ms;
        self.handle_ended_runs(name, &reply);
        self.reconcile(name, turn, &reply);
        if !reply.may_have_more_ended {
            self.check_speed(name);
        }
        self.throttle_best_effort(name, &reply);
        self.cycle_due = true;
    }

    fn on_hold_failed(&mut self, name: &WorkerId, error: CallError) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.unanswered_calls += 1;
        if worker.unanswered_calls == 1 {
            tracing::warn!(
                worker = %name, %error, tasks = worker.tasks.len(), life = worker.info.incarnation,
                clock_ms = worker.estimated_clock_ms(self.now_ms), lease_end_ms = worker.lease_end_max,
                extended_ms_ago = worker.extension_age_ms(self.now_ms),
                expires_in_ms = worker.lease_expiry_ms().saturating_sub(self.now_ms),
                "hold failed"
            );
        }
        match error {
            CallError::Refused => worker.refuses_connections = true,
            CallError::OtherLife => {
                self.lose_worker(name, "another one answers at its address");
            }
            CallError::Superseded => {
                tracing::warn!(worker = %name, "worker has seen a higher fencing token; stepping down");
                self.superseded = true;
            }
            CallError::NoAnswer | CallError::NotSent | CallError::Unwell => {}
        }
    }

    /// Processes the reported ends that were not processed yet. The worker may forget an end
    /// once the row of its job is durable.
    fn handle_ended_runs(&mut self, name: &WorkerId, reply: &HoldReply) {
        for ended in &reply.ended {
            let Some(worker) = self.workers.get_mut(name) else { return };
            if ended.number <= worker.last_processed_end {
                continue;
            }
            worker.last_processed_end = ended.number;
            let incarnation = worker.info.incarnation;
            let job = ended.task.step.job;
            if self.jobs.contains_key(&job) {
                worker.non_durable_ends.insert(ended.number);
                let (worker, number) = (name.clone(), ended.number);
                let after = AfterCommit::Forget { job, worker, incarnation, number };
                self.commits.mark_dirty(job, after);
            }
            self.on_run_ended(ended.task, ended.run, name, ended.end, &ended.checkpoint);
        }
    }

    /// Reconciles the runs that a worker reports with the tasks that are placed there.
    fn reconcile(&mut self, name: &WorkerId, turn: u64, reply: &HoldReply) {
        let now_ms = self.now_ms;
        let this_turn = self.turn;
        let Some(worker) = self.workers.get(name) else { return };
        let placed: Vec<TaskId> = worker.tasks.keys().copied().collect();
        let mut reported: HashMap<(TaskId, u32), &crate::event::ActiveRun> = HashMap::new();
        for active in &reply.active {
            reported.insert((active.task, active.run), active);
        }
        let mut gone = Vec::new();
        let mut not_started = Vec::new();
        for id in placed {
            let Some(job) = self.jobs.get_mut(&id.step.job) else { continue };
            let waits_for_late_starts = job.waits_for_late_starts(id);
            let Some(task) = job.task_mut(id) else { continue };
            if let Some(active) = reported.remove(&(id, task.run)) {
                let was_confirmed = matches!(task.phase, Phase::Running { .. });
                update_running_task(task, active, now_ms, this_turn);
                task.incarnation = reply.life;
                self.mark_start_confirmed(id);
                if !was_confirmed {
                    self.log_assembled_gang(id);
                }
                continue;
            }
            // The worker may restart once more before the start arrives.
            let has_restarted = task.incarnation < reply.life;
            let is_kept = waits_for_late_starts
                && has_restarted
                && !task.is_done()
                && task.may_begin_later(now_ms);
            match task.phase {
                Phase::Unconfirmed { since_turn } if since_turn < turn => not_started.push(id),
                _ if is_surely_gone(task, turn) && !is_kept => gone.push(id),
                _ => {}
            }
        }
        gone.sort_unstable();
        if reply.may_have_more_ended {
            gone.append(&mut not_started);
            self.keep_unreported_runs(name, &gone, reply.ended.len());
            gone.clear();
        } else if let Some(worker) = self.workers.get_mut(name) {
            worker.unconfirmed_turn.take_if(|since_turn| *since_turn < turn);
        }
        for id in not_started {
            self.on_start_not_found(id, name);
        }
        for id in gone {
            tracing::warn!(task = %id, worker = %name, "run is missing from its worker's report");
            self.lose_run(id);
        }
        self.stop_unwanted_runs(name, reported.into_keys().collect());
    }

    /// Waits for the rest of a report that has no room for all ended runs. Until then nothing is
    /// known about the runs that are missing from it, neither their ends nor their progress.
    fn keep_unreported_runs(&mut self, name: &WorkerId, unreported: &[TaskId], listed: usize) {
        if unreported.is_empty() {
            return;
        }
        tracing::info!(
            worker = %name, runs = unreported.len(), listed,
            "runs are missing from an incomplete report; waiting for the rest of it"
        );
        for id in unreported {
            let task = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(*id));
            let Some(task) = task else { continue };
            task.last_progress_ms = self.now_ms;
        }
    }

    /// Stops reported runs that the scheduler does not want. They take capacity until they
    /// are gone, so the resources that their tasks need stay allocated until then.
    fn stop_unwanted_runs(&mut self, name: &WorkerId, mut unwanted: Vec<(TaskId, u32)>) {
        unwanted.sort_unstable();
        let mut allocations = Vec::new();
        for (id, run) in unwanted {
            let Some(job) = self.jobs.get(&id.step.job) else {
                self.stop_unwanted_run(name, id, run);
                continue;
            };
            if let Some(step_index) = job.step_index(id.step) {
                allocations.push(job.allocation(step_index));
            }
            self.stop_unwanted_run(name, id, run);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.unwanted_allocations = allocations;
        worker.recompute_usage();
    }

    fn stop_unwanted_run(&mut self, name: &WorkerId, task: TaskId, run: u32) {
        tracing::warn!(%task, run, worker = %name, "worker reports an unwanted run; stopping it");
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        self.effects.push(Effect::Stop(StopCall { to, task, run }));
    }

    /// Requests that a worker is examined for a due hold in this turn.
    pub(crate) fn mark_hold_changed(&mut self, name: &WorkerId) {
        if let Some(worker) = self.workers.get(name) {
            self.hold_timers.mark_changed(worker.index);
        }
    }

    /// Sends the holds that are due: of the workers that something happened to, of those whose
    /// delay is over, and after a sweep also those that only time makes due.
    pub(crate) fn send_due_holds(&mut self, is_sweep: bool) {
        let now_ms = self.now_ms;
        let lease_ms = self.limits.lease_ms;
        let turn = self.turn;
        let may_extend = now_ms < self.leader_lease_renewed_ms + EXTENSION_WINDOW_MS;
        let many_workers = self.workers.len() > LONG_WAIT_WORKERS;
        let wait_ms = if many_workers { HOLD_WAIT_MS * 2 } else { HOLD_WAIT_MS };
        let changed = self.hold_timers.take_due(now_ms);
        let examined: Vec<WorkerId> = if is_sweep {
            self.workers.keys().cloned().collect()
        } else {
            changed.iter().filter_map(|index| self.worker_names.get(index.0).cloned()).collect()
        };
        let mut due = Vec::new();
        for name in examined {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            // A probe is a hold that is sent at once, even if another hold is pending.
            let probe = worker.held && std::mem::take(&mut worker.probe_due);
            let lost = worker.hold_sent_ms + HOLD_LOST_MS < now_ms;
            let pending = worker.hold_turn.is_some() && !lost;
            if !probe && pending {
                continue;
            }
            if !probe && worker.next_hold_ms > now_ms {
                self.hold_timers.delay(worker.index, worker.next_hold_ms);
                continue;
            }
            // The worker would answer at once with the ends whose rows are not durable yet,
            // again and again; the commit of these rows makes the next hold due.
            if !probe
                && worker.held
                && !worker.non_durable_ends.is_empty()
                && !is_hold_overdue(worker, now_ms)
            {
                continue;
            }
            let forget = worker.forgettable_end(now_ms);
            if !pending {
                worker.hold_turn = Some(turn);
                worker.hold_sent_ms = now_ms;
                worker.hold_forgets = forget;
            }
            // The lease of a worker that does not answer is not extended: it has to expire
            // some day, or the tasks of the worker could never run elsewhere.
            let extends = worker.held
                && worker.unanswered_calls == 0
                && worker.silent.is_none()
                && may_extend;
            let until_ms = worker.lease_end(now_ms, lease_ms).filter(|_| extends);
            if let Some(until_ms) = until_ms {
                worker.record_extension(until_ms, now_ms);
            }
            let at_once = probe
                || !worker.held
                || !worker.non_durable_ends.is_empty()
                || worker.unanswered_calls > 0
                || worker.unconfirmed_turn.is_some();
            let wait_ms = if at_once { 0 } else { wait_ms };
            due.push((name, until_ms, forget, wait_ms));
        }
        for (name, until_ms, forget, wait_ms) in due {
            let Some(to) = callee(self.election.epoch, &self.workers, &name) else { continue };
            self.effects.push(Effect::Hold(HoldCall { to, until_ms, forget, wait_ms, turn }));
        }
    }

    /// Requeues the tasks of unreachable workers whose lease has certainly expired, and
    /// removes unreachable workers that are no longer listed and have no tasks.
    pub(crate) fn sweep_workers(&mut self) {
        let now_ms = self.now_ms;
        let mut expired = Vec::new();
        let mut removed = Vec::new();
        for (name, worker) in &self.workers {
            if worker.unanswered_calls > 0
                && !worker.tasks.is_empty()
                && worker.is_lease_expired(now_ms)
            {
                let is_unnoticed_expired = now_ms > self.unnoticed_lease_expiry_ms(worker);
                let tasks = worker.tasks.keys().copied();
                let tasks: Vec<TaskId> = tasks
                    .filter(|id| is_unnoticed_expired || self.is_on_known_clock(*id, worker))
                    .collect();
                let waiting = worker.tasks.len() - tasks.len();
                if !tasks.is_empty() {
                    expired.push((name.clone(), tasks, waiting));
                }
            }
            if !worker.listed && worker.tasks.is_empty() && worker.unanswered_calls > 0 {
                removed.push(name.clone());
            }
        }
        for (name, tasks, waiting) in expired {
            if let Some(worker) = self.workers.get(&name) {
                tracing::warn!(
                    worker = %name, life = worker.info.incarnation, tasks = tasks.len(), waiting,
                    clock_ms = worker.estimated_clock_ms(now_ms), lease_end_ms = worker.lease_end_max,
                    extended_ms_ago = worker.extension_age_ms(now_ms),
                    "lease of an unreachable worker expired"
                );
            }
            self.lose_runs(&name, tasks);
            if let Some(worker) = self.workers.get_mut(&name) {
                // Nothing is started here until a hold is answered: only its report shows
                // runs that the worker may still have from before, and these are stopped.
                worker.held = false;
            }
        }
        for name in removed {
            tracing::info!(worker = %name, "unlisted and unreachable worker removed");
            self.remove_worker(&name);
        }
    }
}

/// Upper bound, on the local clock, of a duration that a worker measures with its own clock.
/// The worker's clock may be slow, so the duration may take longer here.
fn max_local_duration_ms(duration_ms: u64) -> u64 {
    duration_ms * 1_025 / 1_000
}

/// Whether the last answer is so old that a hold has to be sent to extend the lease. Until
/// then no hold is sent while the worker has ended runs whose rows are not durable yet.
fn is_hold_overdue(worker: &Worker, now_ms: u64) -> bool {
    worker.answered_ms + HOLD_WAIT_MS * 2 < now_ms
}

/// Updates a task from the worker's report of its run.
fn update_running_task(task: &mut Task, active: &crate::event::ActiveRun, now_ms: u64, turn: u64) {
    if matches!(task.phase, Phase::Sent | Phase::Unconfirmed { .. } | Phase::Adopted) {
        task.phase = Phase::Running { since_turn: turn };
        task.last_progress_ms = now_ms;
        task.running_since_ms = now_ms;
    }
    task.listed_by_worker = true;
    if active.percent != task.percent {
        task.percent = active.percent;
        task.last_progress_ms = now_ms;
    }
    if !active.checkpoint.is_empty() {
        task.checkpoint.clone_from(&active.checkpoint);
    }
}

/// Whether a task's run certainly exists nowhere, given that its worker did not list the run
/// in the answer to a hold that was sent in `hold_turn`. If the run may have reached the
/// worker after that hold was sent, its absence proves nothing.
fn is_surely_gone(task: &Task, hold_turn: u64) -> bool {
    match task.phase {
        Phase::Adopted | Phase::Done => true,
        Phase::Running { since_turn } => since_turn < hold_turn,
        Phase::Stopping { answered_turn: Some(turn), .. } => turn < hold_turn,
        Phase::Stopping { answered_turn: None, .. }
        | Phase::Waiting
        | Phase::Reserved
        | Phase::Recorded
        | Phase::Sent
        | Phase::Unconfirmed { .. } => false,
    }
}
