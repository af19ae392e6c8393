//! Holding workers: leases, what the workers report, starts and stops.
//!
//! Each worker gets one start or stop at a time, stops first, so that work
//! which gives way has gone before the work it makes room for arrives. A start
//! without an answer is sent again under the same attempt, which a worker
//! starts once.

use std::collections::BTreeMap;

use stoatwell_membership::HoldAction;
use stoatwell_membership::HoldEvent;
use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Execution;
use stoatwell_model::Resources;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::StartReply;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskReport;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;
use stoatwell_model::worker::WorkerState;
use stoatwell_placement::Running;
use stoatwell_placement::TaskEnd;
use stoatwell_platform::CallError;
use stoatwell_platform::WorkerCall;
use stoatwell_platform::WorkerReply;

use crate::Engine;
use crate::held::Held;
use crate::held::Known;
use crate::message::Observation;
use crate::message::OpId;
use crate::ops::WorkerOp;

/// Starts in one call to a worker.
const STARTS_PER_CALL: usize = 64;
/// A gap between events after which leases are looked at before anything else.
const PAUSE_MS: u64 = 200;
/// Before a start or stop without an answer is sent again.
const RETRY_MS: u64 = 200;

impl Engine {
    /// A daemon that was paused past its leases finds out here, before it acts
    /// on anything it believed.
    pub(crate) fn check_leases(&mut self, tick: bool) {
        // Between ticks only a pause makes leases lapse unseen.
        if !tick && self.now_ms < self.leases_checked_ms + PAUSE_MS {
            return;
        }
        self.leases_checked_ms = self.now_ms;
        for worker in self.leases.lapsed(self.now_ms) {
            self.leases.drop_lease(&worker);
            self.drop_worker(&worker);
        }
    }

    pub(crate) fn renew_leases(&mut self) {
        self.renew(None);
    }

    fn renew(&mut self, only: Option<&WorkerId>) {
        let holders = self.members.holders(self.now_ms, self.stopping);
        let held = &self.held;
        let minions = &self.minions;
        let busy = |worker: &WorkerId| {
            let working = held.get(worker).is_some_and(|held| held.calling || held.has_work());
            working || minions.busy_on(worker) > 0
        };
        for action in self.leases.due(self.now_ms, &holders, only, busy) {
            self.send_lease_call(action);
        }
    }

    fn send_lease_call(&mut self, action: HoldAction) {
        let ttl_ms = self.leases.ttl_ms();
        match action {
            HoldAction::Acquire { worker, token } => {
                let call = WorkerCall::Acquire { holder: self.me.daemon.clone(), token, ttl_ms };
                self.call_worker(WorkerOp::Lease(worker.clone(), Vec::new()), &worker, call);
            }
            HoldAction::Renew { worker, token, since } => {
                let acknowledged =
                    self.held.get(&worker).map(|held| held.acks.clone()).unwrap_or_default();
                let call = WorkerCall::Renew {
                    token,
                    ttl_ms,
                    wait_ms: self.leases.wait_ms(),
                    since,
                    acknowledged: acknowledged.clone(),
                };
                self.call_worker(WorkerOp::Lease(worker.clone(), acknowledged), &worker, call);
            }
            HoldAction::Release { worker, token } => {
                // From here on nothing is placed on it, whatever the answer.
                self.drop_worker(&worker);
                let call = WorkerCall::Release { token };
                self.call_worker(WorkerOp::Lease(worker.clone(), Vec::new()), &worker, call);
            }
        }
    }

    pub(crate) fn on_worker_done(&mut self, op: OpId, reply: Result<WorkerReply, CallError>) {
        match self.ops.worker.remove(&op) {
            Some(WorkerOp::Lease(worker, acknowledged)) => {
                self.on_lease_reply(&worker, &acknowledged, reply.ok());
                self.renew(Some(&worker));
            }
            Some(WorkerOp::Start(worker, tasks)) => {
                self.worker_calls_due = true;
                self.on_start_reply(&worker, tasks, reply);
            }
            Some(WorkerOp::Stop(worker, attempts)) => {
                self.worker_calls_due = true;
                self.on_stop_reply(&worker, attempts, reply);
            }
            None => {}
        }
    }

    fn on_lease_reply(
        &mut self,
        worker: &WorkerId,
        acknowledged: &[AttemptId],
        reply: Option<WorkerReply>,
    ) {
        let event = self.leases.on_reply(self.now_ms, worker, reply.as_ref());
        match (event, reply) {
            (HoldEvent::Gained, Some(WorkerReply::Granted { state, .. })) => {
                self.gain_worker(&state);
            }
            (HoldEvent::Renewed, Some(WorkerReply::Renewed { changes, minions, foreign, .. })) => {
                self.minions.update(&minions);
                self.note_foreign(worker, foreign);
                if let Some(held) = self.held.get_mut(worker) {
                    held.acks.retain(|attempt| !acknowledged.contains(attempt));
                    for attempt in acknowledged {
                        held.tasks.remove(attempt);
                    }
                }
                for report in changes {
                    if !acknowledged.contains(&report.attempt) {
                        self.on_report(worker, &report);
                    }
                }
            }
            (HoldEvent::Lost, _) => self.drop_worker(worker),
            _ => {}
        }
    }

    /// Everything is known again from what the worker itself tells.
    fn gain_worker(&mut self, state: &WorkerState) {
        let worker = &state.worker;
        self.drop_worker(worker);
        self.held.insert(worker.clone(), Held::new(state.token));
        let target = self.catalogue.target(worker).cloned();
        self.scheduler.put_worker(self.now_ms, state, target.as_ref());
        self.minions.put_worker(worker, &state.minions);
        for report in &state.tasks {
            self.on_report(worker, report);
        }
        self.apply_target(worker);
        self.quota_shares_due = true;
        self.schedule_due = true;
    }

    /// The worker is not held any more, or its state is read anew.
    fn drop_worker(&mut self, worker: &WorkerId) {
        let Some(held) = self.held.remove(worker) else {
            return;
        };
        self.scheduler.remove_worker(worker);
        self.minions.remove_worker(worker);
        // What was never sent surely did not start. What was sent without an
        // answer is asked of the next holder.
        for start in held.starts {
            self.tell(start.attempt, worker, &start.coordinator, Observation::Absent);
        }
        self.quota_shares_due = true;
    }

    fn note_foreign(&mut self, worker: &WorkerId, foreign: Resources) {
        let Some(slot) = self.scheduler.cell.worker_info(worker) else {
            return;
        };
        if slot.foreign != foreign {
            let (rack, capacity) = (slot.rack.clone(), slot.capacity);
            self.scheduler.cell.put_worker(worker, &rack, capacity, foreign);
        }
    }

    fn on_report(&mut self, worker: &WorkerId, report: &TaskReport) {
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        let attempt = report.attempt;
        let known = held.tasks.entry(attempt).or_insert_with(|| Known {
            state: report.state.clone(),
            coordinator: report.coordinator.clone(),
            ended_ms: 0,
        });
        if !report.state.is_running() && known.ended_ms == 0 {
            known.ended_ms = self.now_ms;
        }
        known.state = report.state.clone();
        let coordinator = known.coordinator.clone();
        held.sent.remove(&attempt);
        if report.state.is_running() {
            self.count_running(worker, report);
        } else {
            self.count_ended(worker, attempt, &report.state);
        }
        self.tell(attempt, worker, &coordinator, Observation::State(report.state.clone()));
    }

    fn count_running(&mut self, worker: &WorkerId, report: &TaskReport) {
        let running = self.running_of(worker, report);
        // Room promised for the same attempt on another worker is not needed.
        self.remote.withdraw_promise(report.attempt);
        self.scheduler.adopt(report.attempt, running);
        let victims = self.scheduler.record_usage(self.now_ms, report.attempt, &report.usage);
        for victim in victims {
            self.stop_here(worker, victim, StopMode::Checkpoint);
        }
    }

    fn count_ended(&mut self, worker: &WorkerId, attempt: AttemptId, state: &TaskState) {
        let end = match state {
            TaskState::Done { .. } => TaskEnd::Succeeded,
            TaskState::Failed { .. } => TaskEnd::Failed,
            TaskState::Stopped { .. } | TaskState::Running => TaskEnd::Stopped,
        };
        self.scheduler.task_ended(self.now_ms, worker, attempt, end);
        self.schedule_due = true;
    }

    /// A task found on a worker, as the scheduler counts it. Of an entry that
    /// is not in the catalogue any more the strictest is assumed.
    fn running_of(&self, worker: &WorkerId, report: &TaskReport) -> Running {
        let name = stoatwell_model::EntryName::new(&report.entry);
        let entry = self.catalogue.work(&name);
        let target = self.catalogue.target(worker);
        let owner = entry.map(|entry| entry.owner.clone());
        let owner = owner.or_else(|| target.map(|target| target.owner.clone()));
        Running {
            worker: worker.clone(),
            owner: owner.unwrap_or_else(|| stoatwell_model::OwnerName::new("nobody")),
            entry: name,
            class: entry.map_or(Class::Batch, |entry| entry.class),
            execution: entry.map_or(Execution::AtMostOnce, |entry| entry.execution),
            urgency: entry.map_or(Urgency::Urgent, |entry| entry.urgency),
            declared: report.demand,
            demand: report.demand,
            used: report.usage,
            started_ms: self.now_ms,
            uses_claimed: false,
        }
    }

    /// Queues a start on a worker that is held here. Only what has room set
    /// aside starts: room that was given to urgent work meanwhile, or to nobody
    /// because the attempt was told as never to start, would be used twice.
    pub(crate) fn start_here(&mut self, worker: &WorkerId, start: StartTask) -> bool {
        let running = self.scheduler.cell.running(start.attempt);
        if running.is_none_or(|running| running.worker != *worker) {
            return false;
        }
        self.worker_calls_due = true;
        let Some(held) = self.held.get_mut(worker) else {
            return false;
        };
        // Room that was promised for this attempt is in use from now on.
        self.remote.withdraw_promise(start.attempt);
        if !held.knows(start.attempt) {
            held.starts.push(start);
        }
        true
    }

    /// Queues a stop on a worker that is held here.
    pub(crate) fn stop_here(
        &mut self,
        worker: &WorkerId,
        attempt: AttemptId,
        mode: StopMode,
    ) -> bool {
        self.worker_calls_due = true;
        let Some(held) = self.held.get_mut(worker) else {
            return false;
        };
        // Not sent yet, so it is simply left out.
        if let Some(index) = held.starts.iter().position(|start| start.attempt == attempt) {
            let start = held.starts.remove(index);
            self.not_started(attempt);
            self.tell(attempt, worker, &start.coordinator, Observation::Absent);
            return true;
        }
        let already = held.stops.iter().any(|(other, _)| *other == attempt);
        if !already && (held.tasks.contains_key(&attempt) || held.sent.contains_key(&attempt)) {
            held.stops.push((attempt, mode));
        }
        true
    }

    pub(crate) fn not_started(&mut self, attempt: AttemptId) {
        self.scheduler.release_unstarted(self.now_ms, attempt);
        self.schedule_due = true;
    }

    /// Sends what waits for each worker, one call at a time.
    pub(crate) fn call_workers(&mut self) {
        let mut ready = Vec::new();
        for (worker, held) in &self.held {
            if !held.calling && held.has_work() && held.not_before_ms <= self.now_ms {
                ready.push(worker.clone());
            }
        }
        for worker in ready {
            // The lease is looked at now, after any pause, not when the work was placed.
            if let Some(token) = self.leases.token(self.now_ms, &worker) {
                self.call_one(&worker, token);
            }
        }
    }

    fn call_one(&mut self, worker: &WorkerId, token: Token) {
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        held.calling = true;
        if !held.stops.is_empty() {
            let mode = held.stops[0].1;
            let (now, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut held.stops).into_iter().partition(|(_, other)| *other == mode);
            held.stops = later;
            let attempts: Vec<AttemptId> = now.into_iter().map(|(attempt, _)| attempt).collect();
            let call = WorkerCall::Stop { token, attempts: attempts.clone(), mode };
            self.call_worker(WorkerOp::Stop(worker.clone(), attempts), worker, call);
            return;
        }
        let mut tasks: Vec<StartTask> = held.sent.values().cloned().collect();
        let room = STARTS_PER_CALL.saturating_sub(tasks.len());
        let fresh: Vec<StartTask> = held.starts.drain(..room.min(held.starts.len())).collect();
        for start in &fresh {
            held.sent.insert(start.attempt, start.clone());
        }
        tasks.extend(fresh);
        let call = WorkerCall::Start { token, tasks: tasks.clone() };
        self.call_worker(WorkerOp::Start(worker.clone(), tasks), worker, call);
    }

    fn on_start_reply(
        &mut self,
        worker: &WorkerId,
        tasks: Vec<StartTask>,
        reply: Result<WorkerReply, CallError>,
    ) {
        if let Some(held) = self.held.get_mut(worker) {
            held.calling = false;
        }
        match reply {
            Ok(WorkerReply::Started { replies }) => {
                for (start, reply) in tasks.into_iter().zip(replies) {
                    self.on_one_started(worker, start, reply);
                }
            }
            Ok(WorkerReply::NotHolder { token, .. }) => {
                // Whether an earlier copy started is for the next holder to tell.
                if self.leases.on_fenced(worker, token) == HoldEvent::Lost {
                    self.drop_worker(worker);
                }
            }
            Ok(_) | Err(_) => {
                if let Some(held) = self.held.get_mut(worker) {
                    held.not_before_ms = self.now_ms + RETRY_MS;
                }
            }
        }
    }

    fn on_one_started(&mut self, worker: &WorkerId, start: StartTask, reply: StartReply) {
        let attempt = start.attempt;
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        if held.sent.remove(&attempt).is_none() {
            return;
        }
        match reply {
            StartReply::Started => {
                held.tasks.entry(attempt).or_insert_with(|| Known {
                    state: TaskState::Running,
                    coordinator: start.coordinator.clone(),
                    ended_ms: 0,
                });
                self.tell(
                    attempt,
                    worker,
                    &start.coordinator,
                    Observation::State(TaskState::Running),
                );
            }
            StartReply::Refused { .. } => {
                held.not_before_ms = self.now_ms + RETRY_MS;
                self.not_started(attempt);
                self.tell(attempt, worker, &start.coordinator, Observation::Absent);
            }
        }
    }

    fn on_stop_reply(
        &mut self,
        worker: &WorkerId,
        attempts: Vec<AttemptId>,
        reply: Result<WorkerReply, CallError>,
    ) {
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        held.calling = false;
        match reply {
            Ok(WorkerReply::Stopped) => {}
            Ok(WorkerReply::NotHolder { token, .. }) => {
                if self.leases.on_fenced(worker, token) == HoldEvent::Lost {
                    self.drop_worker(worker);
                }
            }
            Ok(_) | Err(_) => {
                held.not_before_ms = self.now_ms + RETRY_MS;
                held.stops
                    .extend(attempts.into_iter().map(|attempt| (attempt, StopMode::Checkpoint)));
            }
        }
    }

    /// Lets a worker forget attempts whose outcome is kept elsewhere.
    pub(crate) fn acknowledge(&mut self, attempts: &BTreeMap<AttemptId, WorkerId>) {
        for (attempt, worker) in attempts {
            if let Some(held) = self.held.get_mut(worker)
                && held.tasks.get(attempt).is_some_and(|known| !known.state.is_running())
                && !held.acks.contains(attempt)
            {
                held.acks.push(*attempt);
            }
        }
    }
}
