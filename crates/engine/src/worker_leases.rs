//! Leases on workers, the reports of held workers, and start and stop calls.
//!
//! A daemon holds a worker while it has the lease on it.
//! Each worker receives one start or stop call at a time, stops first, so that
//! evicted tasks are stopped before the tasks that replace them start. A start
//! without a reply is sent again with the same attempt; a worker starts an attempt
//! only once.

use std::collections::BTreeMap;

use stoatwell_membership::LeaseAction;
use stoatwell_membership::LeaseEvent;
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
use crate::held_worker::HeldWorker;
use crate::held_worker::TrackedTask;
use crate::message::Observation;
use crate::message::OpId;
use crate::ops::WorkerOp;

/// Maximum number of starts in one call to a worker.
const STARTS_PER_CALL: usize = 64;
/// Gap between two events that counts as a pause of the process; leases are checked
/// before the next event is handled.
const MIN_PAUSE_MS: u64 = 200;
/// Delay before the next start or stop call to a worker after a failed or refused one.
const CALL_RETRY_MS: u64 = 200;

impl Engine {
    /// Drops expired leases. A daemon that was paused beyond the end of its leases
    /// detects this here, before it acts on outdated state.
    pub(crate) fn check_leases(&mut self, is_tick: bool) {
        // Between ticks, a lease can expire unnoticed only during a pause.
        if !is_tick && self.now_ms < self.leases_checked_ms + MIN_PAUSE_MS {
            return;
        }
        self.leases_checked_ms = self.now_ms;
        for worker in self.leases.expired(self.now_ms) {
            self.leases.drop_lease(&worker);
            self.remove_held_worker(&worker);
        }
    }

    pub(crate) fn renew_leases(&mut self) {
        self.renew_due_leases(None);
    }

    /// Sends the lease calls that are due, for one worker or for all.
    fn renew_due_leases(&mut self, only: Option<&WorkerId>) {
        let holders = self.members.holders(self.now_ms, self.stopping);
        let held = &self.held;
        let minions = &self.minions;
        let busy = |worker: &WorkerId| {
            let has_calls = held
                .get(worker)
                .is_some_and(|held| held.call_in_flight || held.has_pending_calls());
            has_calls || minions.busy_on(worker) > 0
        };
        for action in self.leases.due(self.now_ms, &holders, only, busy) {
            self.send_lease_call(action);
        }
    }

    fn send_lease_call(&mut self, action: LeaseAction) {
        let ttl_ms = self.leases.ttl_ms();
        match action {
            LeaseAction::Acquire { worker, token } => {
                let call = WorkerCall::Acquire { holder: self.me.daemon.clone(), token, ttl_ms };
                self.call_worker(WorkerOp::Lease(worker.clone(), Vec::new()), &worker, call);
            }
            LeaseAction::Renew { worker, token, since } => {
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
            LeaseAction::Release { worker, token } => {
                // Nothing is placed on the worker from now on, whatever it replies.
                self.remove_held_worker(&worker);
                let call = WorkerCall::Release { token };
                self.call_worker(WorkerOp::Lease(worker.clone(), Vec::new()), &worker, call);
            }
        }
    }

    pub(crate) fn on_worker_done(&mut self, op: OpId, reply: Result<WorkerReply, CallError>) {
        match self.ops.worker.remove(&op) {
            Some(WorkerOp::Lease(worker, acknowledged)) => {
                self.on_lease_reply(&worker, &acknowledged, reply.ok());
                self.renew_due_leases(Some(&worker));
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
            (LeaseEvent::Acquired, Some(WorkerReply::Granted { state, .. })) => {
                self.on_lease_gained(&state);
            }
            (LeaseEvent::Renewed, Some(WorkerReply::Renewed { changes, minions, foreign, .. })) => {
                self.minions.update(&minions);
                self.update_foreign_usage(worker, foreign);
                if let Some(held) = self.held.get_mut(worker) {
                    held.acks.retain(|attempt| !acknowledged.contains(attempt));
                    for attempt in acknowledged {
                        held.tasks.remove(attempt);
                    }
                }
                for report in changes {
                    if !acknowledged.contains(&report.attempt) {
                        self.on_task_report(worker, &report);
                    }
                }
            }
            (LeaseEvent::Lost, _) => self.remove_held_worker(worker),
            _ => {}
        }
    }

    /// Rebuilds all state about a worker from what the worker itself reports.
    fn on_lease_gained(&mut self, state: &WorkerState) {
        let worker = &state.worker;
        self.remove_held_worker(worker);
        self.held.insert(worker.clone(), HeldWorker::new(state.token));
        let target = self.catalogue.target(worker).cloned();
        self.scheduler.put_worker(self.now_ms, state, target.as_ref());
        self.minions.put_worker(worker, &state.minions);
        for report in &state.tasks {
            self.on_task_report(worker, report);
        }
        self.apply_target(worker);
        self.quota_shares_due = true;
        self.schedule_due = true;
    }

    /// Removes the state of a worker that is no longer held or whose state is about
    /// to be rebuilt.
    fn remove_held_worker(&mut self, worker: &WorkerId) {
        let Some(held) = self.held.remove(worker) else {
            return;
        };
        self.scheduler.remove_worker(worker);
        self.minions.remove_worker(worker);
        // A start that was not sent cannot have taken effect. What became of a start that
        // was sent and not answered, the coordinator learns from the worker's next holder.
        for start in held.unsent_starts {
            self.notify_coordinator(start.attempt, worker, &start.coordinator, Observation::Absent);
        }
        self.quota_shares_due = true;
    }

    fn update_foreign_usage(&mut self, worker: &WorkerId, foreign: Resources) {
        let Some(worker_info) = self.scheduler.cell.worker_info(worker) else {
            return;
        };
        if worker_info.foreign != foreign {
            let (rack, capacity) = (worker_info.rack.clone(), worker_info.capacity);
            self.scheduler.cell.put_worker(worker, &rack, capacity, foreign);
        }
    }

    fn on_task_report(&mut self, worker: &WorkerId, report: &TaskReport) {
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        let attempt = report.attempt;
        let task = held.tasks.entry(attempt).or_insert_with(|| TrackedTask {
            state: report.state.clone(),
            coordinator: report.coordinator.clone(),
            ended_ms: 0,
        });
        if !report.state.is_running() && task.ended_ms == 0 {
            task.ended_ms = self.now_ms;
        }
        task.state = report.state.clone();
        let coordinator = task.coordinator.clone();
        held.unanswered_starts.remove(&attempt);
        if report.state.is_running() {
            self.record_running(worker, report);
        } else {
            self.record_ended(worker, attempt, &report.state);
        }
        self.notify_coordinator(
            attempt,
            worker,
            &coordinator,
            Observation::State(report.state.clone()),
        );
    }

    fn record_running(&mut self, worker: &WorkerId, report: &TaskReport) {
        let running = self.running_task(worker, report);
        // The attempt runs, so a reservation for it is no longer needed.
        self.remote.remove_reservation_for_peer(report.attempt);
        self.scheduler.add_running(report.attempt, running);
        let victims = self.scheduler.record_usage(self.now_ms, report.attempt, &report.usage);
        for victim in victims {
            self.queue_stop(worker, victim, StopMode::Checkpoint);
        }
    }

    fn record_ended(&mut self, worker: &WorkerId, attempt: AttemptId, state: &TaskState) {
        let end = match state {
            TaskState::Done { .. } => TaskEnd::Succeeded,
            TaskState::Failed { .. } => TaskEnd::Failed,
            TaskState::Stopped { .. } | TaskState::Running => TaskEnd::Stopped,
        };
        self.scheduler.task_ended(self.now_ms, worker, attempt, end);
        self.schedule_due = true;
    }

    /// The scheduler's record of a task that a worker reports. If the task's work entry is
    /// no longer in the catalogue, the values are assumed that protect the task best: it is
    /// urgent and may run at most once, so it is never evicted.
    fn running_task(&self, worker: &WorkerId, report: &TaskReport) -> Running {
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
            peak_usage: report.usage,
            started_ms: self.now_ms,
            uses_reserved: false,
        }
    }

    /// Queues a start on a worker that is held here. Returns `false` if the worker isn't
    /// held, or if the attempt has no capacity allocated on it. The capacity may have been
    /// given to urgent work since the attempt was placed, or released because the attempt
    /// was reported as never started. Starting the attempt would then use the capacity
    /// twice.
    pub(crate) fn queue_start(&mut self, worker: &WorkerId, start: StartTask) -> bool {
        let running = self.scheduler.cell.running(start.attempt);
        if running.is_none_or(|running| running.worker != *worker) {
            return false;
        }
        self.worker_calls_due = true;
        let Some(held) = self.held.get_mut(worker) else {
            return false;
        };
        // The capacity that a peer reserved for this attempt is in use from now on.
        self.remote.remove_reservation_for_peer(start.attempt);
        if !held.has_attempt(start.attempt) {
            held.unsent_starts.push(start);
        }
        true
    }

    /// Queues a stop on a worker that is held here; returns `false` if it is not held.
    pub(crate) fn queue_stop(
        &mut self,
        worker: &WorkerId,
        attempt: AttemptId,
        mode: StopMode,
    ) -> bool {
        self.worker_calls_due = true;
        let Some(held) = self.held.get_mut(worker) else {
            return false;
        };
        // The start has not been sent yet, so removing it is enough.
        if let Some(index) = held.unsent_starts.iter().position(|start| start.attempt == attempt) {
            let start = held.unsent_starts.remove(index);
            self.release_unstarted(attempt);
            self.notify_coordinator(attempt, worker, &start.coordinator, Observation::Absent);
            return true;
        }
        let already_queued = held.stops.iter().any(|(other, _)| *other == attempt);
        if !already_queued
            && (held.tasks.contains_key(&attempt) || held.unanswered_starts.contains_key(&attempt))
        {
            held.stops.push((attempt, mode));
        }
        true
    }

    /// Releases the capacity of an attempt that never started, and schedules again.
    pub(crate) fn release_unstarted(&mut self, attempt: AttemptId) {
        self.scheduler.release_unstarted(self.now_ms, attempt);
        self.schedule_due = true;
    }

    /// Sends the next start or stop call to each worker that has no call in flight.
    pub(crate) fn send_worker_calls(&mut self) {
        let mut ready = Vec::new();
        for (worker, held) in &self.held {
            if !held.call_in_flight && held.has_pending_calls() && held.not_before_ms <= self.now_ms
            {
                ready.push(worker.clone());
            }
        }
        for worker in ready {
            // The process may have paused since placement, so the lease is checked again.
            if let Some(token) = self.leases.token(self.now_ms, &worker) {
                self.send_worker_call(&worker, token);
            }
        }
    }

    fn send_worker_call(&mut self, worker: &WorkerId, token: Token) {
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        held.call_in_flight = true;
        if !held.stops.is_empty() {
            let mode = held.stops[0].1;
            let (same_mode, other_mode): (Vec<_>, Vec<_>) =
                std::mem::take(&mut held.stops).into_iter().partition(|(_, other)| *other == mode);
            held.stops = other_mode;
            let attempts: Vec<AttemptId> =
                same_mode.into_iter().map(|(attempt, _)| attempt).collect();
            let call = WorkerCall::Stop { token, attempts: attempts.clone(), mode };
            self.call_worker(WorkerOp::Stop(worker.clone(), attempts), worker, call);
            return;
        }
        let mut tasks: Vec<StartTask> = held.unanswered_starts.values().cloned().collect();
        let free_places = STARTS_PER_CALL.saturating_sub(tasks.len());
        let new_starts: Vec<StartTask> =
            held.unsent_starts.drain(..free_places.min(held.unsent_starts.len())).collect();
        for start in &new_starts {
            held.unanswered_starts.insert(start.attempt, start.clone());
        }
        tasks.extend(new_starts);
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
            held.call_in_flight = false;
        }
        match reply {
            Ok(WorkerReply::Started { replies }) => {
                for (start, reply) in tasks.into_iter().zip(replies) {
                    self.on_start_result(worker, start, reply);
                }
            }
            Ok(WorkerReply::NotHolder { token, .. }) => {
                // An earlier copy of the start may have taken effect. Only the worker's next
                // holder can find out.
                if self.leases.on_fenced(worker, token) == LeaseEvent::Lost {
                    self.remove_held_worker(worker);
                }
            }
            Ok(_) | Err(_) => {
                if let Some(held) = self.held.get_mut(worker) {
                    held.not_before_ms = self.now_ms + CALL_RETRY_MS;
                }
            }
        }
    }

    fn on_start_result(&mut self, worker: &WorkerId, start: StartTask, reply: StartReply) {
        let attempt = start.attempt;
        let Some(held) = self.held.get_mut(worker) else {
            return;
        };
        if held.unanswered_starts.remove(&attempt).is_none() {
            return;
        }
        match reply {
            StartReply::Started => {
                held.tasks.entry(attempt).or_insert_with(|| TrackedTask {
                    state: TaskState::Running,
                    coordinator: start.coordinator.clone(),
                    ended_ms: 0,
                });
                self.notify_coordinator(
                    attempt,
                    worker,
                    &start.coordinator,
                    Observation::State(TaskState::Running),
                );
            }
            StartReply::Refused { .. } => {
                held.not_before_ms = self.now_ms + CALL_RETRY_MS;
                self.release_unstarted(attempt);
                self.notify_coordinator(attempt, worker, &start.coordinator, Observation::Absent);
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
        held.call_in_flight = false;
        match reply {
            Ok(WorkerReply::Stopped) => {}
            Ok(WorkerReply::NotHolder { token, .. }) => {
                if self.leases.on_fenced(worker, token) == LeaseEvent::Lost {
                    self.remove_held_worker(worker);
                }
            }
            Ok(_) | Err(_) => {
                held.not_before_ms = self.now_ms + CALL_RETRY_MS;
                held.stops
                    .extend(attempts.into_iter().map(|attempt| (attempt, StopMode::Checkpoint)));
            }
        }
    }

    /// Allows the workers to forget ended attempts whose outcome is stored elsewhere.
    pub(crate) fn acknowledge(&mut self, attempts: &BTreeMap<AttemptId, WorkerId>) {
        for (attempt, worker) in attempts {
            if let Some(held) = self.held.get_mut(worker)
                && held.tasks.get(attempt).is_some_and(|task| !task.state.is_running())
                && !held.acks.contains(attempt)
            {
                held.acks.push(*attempt);
            }
        }
    }
}
