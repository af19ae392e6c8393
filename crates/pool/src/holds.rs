//! Workers: who is listed, who is held, and what their lists tell.
//!
//! A waiting hold is kept at every worker. It extends the lease on everything
//! there, tells at once when a run ends, and shows by its silence that the
//! worker or the way to it is gone.

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
use crate::job::Phase;
use crate::job::Task;
use crate::runs::callee;
use crate::worker::Worker;

/// How long a hold waits for an end: long enough that idle workers cost two
/// calls a second, short enough to show within a second that tasks stand still.
const HOLD_WAIT_MS: u64 = 500;
/// With more workers than this a hold waits twice as long: polls that bring nothing would
/// take much of the scheduler's processor time.
const WORKERS_MANY: usize = 100;
/// After a hold without answer the next one waits this long.
const HOLD_PAUSE_MS: u64 = 200;
/// After a hold of a worker that was lost and is still listed.
const LOST_PAUSE_MS: u64 = 1_000;
/// A hold whose answer never comes is given up by the caller well before this.
const HOLD_LOST_MS: u64 = 4_000;
/// How long after it last renewed the duty a scheduler extends leases. Another one
/// may hold the duty by then and reach some workers that this one does not, and
/// the other way round; tasks would run twice if both counted on their worker. Store
/// outages of this and a lease, ten seconds, cycle without a run being lost.
pub const EXTEND_MS: u64 = 4_000;
/// Added to the lease that an earlier scheduler may have granted, for calls that
/// were under way.
const EARLIER_MARGIN_MS: u64 = 500;
/// How long after it was sent an order may still be carried out by a worker that
/// was not held since; workers do so up to 12 s late.
const LATE_ORDER_MS: u64 = 13_000;

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
            self.begin_life(&name, incarnation);
            return;
        }
        if update.draining && !worker.info.draining {
            tracing::info!(worker = %name, remaining_ms = update.remaining_ms, "worker drains");
        }
        if !worker.listed {
            tracing::info!(worker = %name, "worker listed again");
        }
        worker.listed = true;
        worker.info = update;
        self.cycle_due = true;
    }

    /// When whatever an earlier scheduler allowed has lapsed for sure.
    pub(crate) fn earlier_lapse_ms(&self) -> u64 {
        let lease_ms = by_slow_clock(self.limits.lease_ms) + EARLIER_MARGIN_MS;
        self.started_ms + self.election.earlier_extends_ms + lease_ms
    }

    /// Takes note that the duty was renewed at a moment, so that leases may be
    /// extended for [`EXTEND_MS`] more.
    pub fn note_renewal(&mut self, at_ms: u64) {
        self.leader_lease_renewed_ms = self.leader_lease_renewed_ms.max(at_ms);
    }

    pub(crate) fn on_unlisted(&mut self, name: &WorkerId) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.listed = false;
        tracing::info!(worker = %name, tasks = worker.tasks.len(), "worker no longer listed");
    }

    /// A worker started anew: nothing that it listed before runs on it.
    ///
    /// Starts that were under way may have reached the new life, under a token
    /// that it had no reason to refuse. Taken for lost they would run twice; the
    /// first hold under the new token tells which are there.
    pub(crate) fn begin_life(&mut self, name: &WorkerId, life: u64) {
        tracing::warn!(worker = %name, life, "worker began a new life");
        let Some(worker) = self.workers.get(name) else { return };
        let mut tasks: Vec<TaskId> = worker.tasks.keys().copied().collect();
        tasks.sort_unstable();
        for id in tasks {
            let task = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id));
            let Some(task) = task else { continue };
            match task.phase {
                Phase::Sent | Phase::Running { .. } | Phase::Adopted if !task.listed_by_worker => {
                    task.phase = Phase::Adopted;
                }
                Phase::Stopping { .. } if !task.listed_by_worker => {
                    task.phase = Phase::Stopping { answered_turn: None, sent_ms: 0 };
                }
                _ => {
                    tracing::warn!(task = %id, worker = %name, "run lost with its worker");
                    self.lose_run(id);
                }
            }
        }
        let lapse_ms = self.now_ms + by_slow_clock(self.limits.lease_max_ms) + LATE_ORDER_MS;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.begin_life(life, self.turn, lapse_ms);
        }
    }

    /// A worker is gone for good, with all that ran on it.
    pub(crate) fn lose_worker(&mut self, name: &WorkerId, why: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if std::mem::replace(&mut worker.lost, true) && worker.tasks.is_empty() {
            // Its entry outlives it; each hold would tell the same again.
            worker.next_hold_ms = self.now_ms + LOST_PAUSE_MS;
            return;
        }
        tracing::warn!(worker = %name, why, "worker lost");
        self.lose_tasks(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.held = false;
        worker.clock = None;
        worker.until_max = 0;
        worker.earlier_lapse_ms = 0;
        worker.strangers.clear();
        worker.next_hold_ms = self.now_ms + HOLD_PAUSE_MS;
        worker.add_up();
        if !worker.listed {
            self.workers.remove(name);
        }
    }

    /// Takes all tasks away from a worker on which nothing runs any more.
    fn lose_tasks(&mut self, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut tasks: Vec<TaskId> = worker.tasks.keys().copied().collect();
        tasks.sort_unstable();
        for id in tasks {
            tracing::warn!(task = %id, worker = %name, "run lost with its worker");
            self.lose_run(id);
        }
    }

    /// A run is known to be nowhere.
    pub(crate) fn lose_run(&mut self, id: TaskId) {
        self.release(id);
        self.stop_other_members(id);
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
        if worker.hold_turn == Some(turn) {
            worker.hold_turn = None;
        }
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                worker.next_hold_ms = now_ms + HOLD_PAUSE_MS;
                self.on_hold_failed(name, error);
                return;
            }
        };
        // An answer to an earlier life's token says nothing of the present one.
        if reply.life < worker.info.incarnation || turn <= worker.life_began_turn {
            return;
        }
        if reply.life > worker.info.incarnation {
            self.begin_life(name, reply.life);
            if let Some(worker) = self.workers.get_mut(name) {
                // What this life holds is not known before the list tells it.
                worker.listed = false;
            }
            // The answer was given to a token that counts for the old life.
            return;
        }
        worker.answered_ms = now_ms;
        worker.silent = 0;
        worker.lost = false;
        worker.refuses = false;
        worker.clock = Some((reply.clock_ms, now_ms));
        if !worker.held {
            tracing::info!(worker = %name, active = reply.active.len(), ended = reply.ended.len(), "worker held");
            worker.held = true;
        }
        worker.next_hold_ms = now_ms;
        self.take_in_ends(name, &reply);
        self.compare(name, turn, &reply);
        self.judge_speed(name);
        self.pace_fillers(name, &reply);
        self.cycle_due = true;
    }

    fn on_hold_failed(&mut self, name: &WorkerId, error: CallError) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.silent += 1;
        if worker.silent == 1 {
            tracing::warn!(worker = %name, %error, tasks = worker.tasks.len(), "hold not answered");
        }
        match error {
            CallError::Refused => worker.refuses = true,
            CallError::OtherLife => self.lose_worker(name, "another one answers at its address"),
            CallError::Superseded => {
                tracing::warn!(worker = %name, "worker follows a higher token");
                self.superseded = true;
            }
            CallError::NoAnswer | CallError::NotSent | CallError::Unwell => {}
        }
    }

    fn take_in_ends(&mut self, name: &WorkerId, reply: &HoldReply) {
        for ended in &reply.ended {
            let Some(worker) = self.workers.get_mut(name) else { return };
            if ended.number <= worker.taken_in {
                continue;
            }
            worker.taken_in = ended.number;
            let incarnation = worker.info.incarnation;
            let job = ended.task.step.job;
            if self.jobs.contains_key(&job) {
                worker.not_durable.insert(ended.number);
                let after =
                    AfterCommit::Forget { worker: name.clone(), incarnation, number: ended.number };
                self.commits.mark_dirty(job, after);
            }
            self.on_run_ended(ended.task, ended.run, name, ended.end, &ended.checkpoint);
        }
    }

    /// Holds what a worker lists against what is believed to be there.
    fn compare(&mut self, name: &WorkerId, turn: u64, reply: &HoldReply) {
        let now_ms = self.now_ms;
        let this_turn = self.turn;
        let Some(worker) = self.workers.get(name) else { return };
        let here: Vec<TaskId> = worker.tasks.keys().copied().collect();
        let mut listed: HashMap<(TaskId, u32), &crate::event::ActiveRun> = HashMap::new();
        for active in &reply.active {
            listed.insert((active.task, active.run), active);
        }
        let mut gone = Vec::new();
        for id in here {
            let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id))
            else {
                continue;
            };
            if let Some(active) = listed.remove(&(id, task.run)) {
                note_active(task, active, now_ms, this_turn);
                self.mark_begun(id);
                continue;
            }
            if is_gone(task, turn) {
                gone.push(id);
            }
        }
        gone.sort_unstable();
        for id in gone {
            tracing::warn!(task = %id, worker = %name, "run is not on its worker");
            self.lose_run(id);
        }
        self.stop_strangers(name, listed.into_keys().collect());
    }

    /// Runs that nothing here asks for are stopped; until they are gone they
    /// take the room that they were started with.
    fn stop_strangers(&mut self, name: &WorkerId, mut strangers: Vec<(TaskId, u32)>) {
        strangers.sort_unstable();
        let mut rooms = Vec::new();
        for (id, run) in strangers {
            let Some(job) = self.jobs.get(&id.step.job) else {
                self.stop_stranger(name, id, run);
                continue;
            };
            if let Some(unit) = job.unit_of(id.step) {
                rooms.push(job.allocation(unit));
            }
            self.stop_stranger(name, id, run);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.strangers = rooms;
        worker.add_up();
    }

    fn stop_stranger(&mut self, name: &WorkerId, task: TaskId, run: u32) {
        tracing::warn!(%task, run, worker = %name, "run that is not wanted, stopped");
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        self.effects.push(Effect::Stop(StopCall { to, task, run }));
    }

    /// Sends the holds that are due.
    pub(crate) fn call_workers(&mut self) {
        let now_ms = self.now_ms;
        let lease_ms = self.limits.lease_ms;
        let turn = self.turn;
        let renewed = now_ms < self.leader_lease_renewed_ms + EXTEND_MS;
        let many = self.workers.len() > WORKERS_MANY;
        let wait_ms = if many { HOLD_WAIT_MS * 2 } else { HOLD_WAIT_MS };
        let mut due = Vec::new();
        for (name, worker) in &mut self.workers {
            let probe = worker.held && std::mem::take(&mut worker.probe_due);
            let lost = worker.hold_sent_ms + HOLD_LOST_MS < now_ms;
            let waits = worker.hold_turn.is_some() && !lost;
            if !probe && (waits || worker.next_hold_ms > now_ms) {
                continue;
            }
            // Ends whose rows are not durable yet would be returned at once,
            // again and again; their commit makes the next hold due.
            if !probe && worker.held && !worker.not_durable.is_empty() && !near_end(worker, now_ms)
            {
                continue;
            }
            if !waits {
                worker.hold_turn = Some(turn);
                worker.hold_sent_ms = now_ms;
            }
            // A worker that is silent gets no longer lease: whatever was allowed
            // before has to lapse some day, or its tasks could never go elsewhere.
            let extends = worker.held && worker.silent == 0 && renewed;
            let until_ms = worker.until(now_ms, lease_ms).filter(|_| extends);
            worker.until_max = worker.until_max.max(until_ms.unwrap_or(0));
            let at_once = probe || !worker.held || !worker.not_durable.is_empty();
            let wait_ms = if at_once { 0 } else { wait_ms };
            due.push((name.clone(), until_ms, worker.forget(), wait_ms));
        }
        for (name, until_ms, forget, wait_ms) in due {
            let Some(to) = callee(self.election.epoch, &self.workers, &name) else { continue };
            self.effects.push(Effect::Hold(HoldCall { to, until_ms, forget, wait_ms, turn }));
        }
    }

    /// Takes tasks away from workers whose lease has lapsed for sure.
    pub(crate) fn sweep_workers(&mut self) {
        let now_ms = self.now_ms;
        let mut lapsed = Vec::new();
        let mut gone = Vec::new();
        for (name, worker) in &self.workers {
            if worker.silent > 0 && !worker.tasks.is_empty() && worker.is_lapsed(now_ms) {
                lapsed.push(name.clone());
            }
            if !worker.listed && worker.tasks.is_empty() && worker.silent > 0 {
                gone.push(name.clone());
            }
        }
        for name in lapsed {
            tracing::warn!(worker = %name, "lease of a silent worker has lapsed");
            self.lose_tasks(&name);
            if let Some(worker) = self.workers.get_mut(&name) {
                // What it may still list of before is refused by a new hold only.
                worker.held = false;
            }
        }
        for name in gone {
            tracing::info!(worker = %name, "worker forgotten");
            self.workers.remove(&name);
        }
    }
}

/// How long a worker's clock may take for a time.
fn by_slow_clock(time_ms: u64) -> u64 {
    time_ms * 1_025 / 1_000
}

/// Whether the lease needs a call soon, whatever else holds it up.
fn near_end(worker: &Worker, now_ms: u64) -> bool {
    worker.answered_ms + HOLD_WAIT_MS * 2 < now_ms
}

fn note_active(task: &mut Task, active: &crate::event::ActiveRun, now_ms: u64, turn: u64) {
    if matches!(task.phase, Phase::Sent | Phase::Adopted) {
        task.phase = Phase::Running { since_turn: turn };
        task.last_progress_ms = now_ms;
        task.began_ms = now_ms;
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

/// Whether a task that its worker does not list is nowhere for sure.
fn is_gone(task: &Task, hold_turn: u64) -> bool {
    match task.phase {
        Phase::Adopted | Phase::Done => true,
        Phase::Running { since_turn } => since_turn < hold_turn,
        Phase::Stopping { answered_turn: Some(turn), .. } => turn < hold_turn,
        Phase::Stopping { answered_turn: None, .. }
        | Phase::Waiting
        | Phase::Reserved
        | Phase::Recorded
        | Phase::Sent => false,
    }
}
