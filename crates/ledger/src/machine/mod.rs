//! State machine of one job at its coordinator, the daemon that schedules it.
//!
//! A task waits, is placed on a worker, has its intent recorded if necessary, starts,
//! runs and ends. An intent names the attempt that is about to start and its worker. For
//! work that must not run twice, the intent is durable before the start is sent. No second
//! intent is written until the worker proves that the first attempt is over: it ended, or
//! it never started and never will. The outcome "not run" is only ever reported with that
//! proof.

mod gang;
mod outcome;
mod phase;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::DaemonId;
use stoatwell_model::Execution;
use stoatwell_model::JobRecord;
use stoatwell_model::JobState;
use stoatwell_model::Outcome;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::job::Intent;
use stoatwell_model::job::JobView;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;

use crate::machine::phase::Phase;
use crate::machine::phase::first_attempt;

/// Maximum number of notes to keep about the history of a job.
const NOTES_MAX: usize = 12;
/// Maximum number of workers in the view of a job.
const WORKERS_SHOWN: usize = 8;

/// State machine of one job.
#[derive(Clone, Debug)]
pub struct JobMachine {
    /// Record to be stored, including changes that are not written yet.
    pub record: JobRecord,
    /// Version of the record's row; 0 before the first write.
    pub version: u64,
    attempts_max: u32,
    tasks: Vec<Task>,
    write_in_flight: bool,
    /// Whether the record changed after the write in flight began.
    dirty: bool,
    /// Whether the write in flight contains the outcome.
    outcome_in_flight: bool,
    gang_restarting: bool,
    first_start_ms: Option<UnixMs>,
    /// Whether the outcome is durable. Callers must not see it earlier: a "not run" could
    /// be lost with this daemon, and the next coordinator would run the job.
    outcome_durable: bool,
    former_zone: Option<ZoneName>,
    notes: VecDeque<String>,
}

#[derive(Clone, Debug)]
struct Task {
    attempt: u32,
    failures: u32,
    phase: Phase,
    worker: Option<WorkerId>,
}

/// Action that the caller of the [`JobMachine`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEffect {
    /// Put these attempts into the scheduler's queue.
    Enqueue(Vec<AttemptId>),
    /// Send the starts of these attempts.
    Start(Vec<AttemptId>),
    /// Stop these attempts on their workers.
    Stop(Vec<AttemptId>),
    /// Remove the job from the scheduler's queue.
    Dequeue,
    /// Write the changed record.
    Write,
    /// The outcome is final and durable.
    Finished,
}

/// Response of a worker to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker runs the task.
    Started,
    /// The worker refused the attempt and always will.
    Refused,
}

impl JobMachine {
    /// Creates the state machine of a newly accepted job, or of one that is taken over.
    ///
    /// Tasks with an intent in the record are in doubt until their worker is queried.
    /// At-most-once work gets one attempt, whatever `attempts_max` is.
    pub fn new(record: JobRecord, version: u64, attempts_max: u32) -> Self {
        let mut tasks = Vec::new();
        let attempt = first_attempt(record.epoch);
        for _ in 0..record.tasks {
            tasks.push(Task { attempt, failures: 0, phase: Phase::Waiting, worker: None });
        }
        for intent in &record.intents {
            if let Some(task) = tasks.get_mut(intent.task as usize) {
                task.attempt = intent.attempt;
                task.phase = Phase::InDoubt;
                task.worker = Some(intent.worker.clone());
            }
        }
        let at_most_once = record.execution == Execution::AtMostOnce;
        let record_is_final = record.outcome.is_some();
        Self {
            record,
            version,
            outcome_durable: record_is_final,
            former_zone: None,
            attempts_max: if at_most_once { 1 } else { attempts_max },
            tasks,
            write_in_flight: false,
            dirty: false,
            outcome_in_flight: false,
            gang_restarting: false,
            first_start_ms: None,
            notes: VecDeque::new(),
        }
    }

    /// Attempts that wait to be placed on a worker.
    pub fn waiting(&self) -> Vec<AttemptId> {
        self.attempts_in_phase(Phase::Waiting)
    }

    /// Attempts whose worker must be queried, with that worker.
    pub fn in_doubt(&self) -> Vec<(AttemptId, WorkerId)> {
        let mut found = Vec::new();
        for attempt in self.attempts_in_phase(Phase::InDoubt) {
            let worker = self.tasks[attempt.task as usize].worker.clone();
            found.extend(worker.map(|worker| (attempt, worker)));
        }
        found
    }

    /// Attempts whose start may have been sent and that are not known to have ended, with
    /// their workers.
    pub fn possibly_running(&self) -> Vec<(AttemptId, WorkerId)> {
        let mut found = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase.may_be_running()
                && let Some(worker) = &task.worker
            {
                found.push((self.attempt(index), worker.clone()));
            }
        }
        found
    }

    /// Worker of the attempt; `None` if the attempt is not current or has no worker.
    pub fn worker_of(&self, attempt: AttemptId) -> Option<WorkerId> {
        let task = self.tasks.get(attempt.task as usize)?;
        if task.attempt == attempt.attempt { task.worker.clone() } else { None }
    }

    /// Whether the attempt is the current one of its task.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| task.attempt == attempt.attempt)
    }

    /// Whether the attempt waits to be placed on a worker.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| task.attempt == attempt.attempt && task.phase == Phase::Waiting)
    }

    /// Whether the attempt has been placed and the worker has not responded to its start.
    pub fn is_about_to_start(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| {
            let is_unanswered =
                matches!(task.phase, Phase::IntentPending | Phase::WritingIntent | Phase::Starting);
            task.attempt == attempt.attempt && is_unanswered
        })
    }

    /// Current attempt of each task that was placed, with the last worker of the task.
    pub fn attempts_with_workers(&self) -> BTreeMap<AttemptId, WorkerId> {
        let mut found = BTreeMap::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if let Some(worker) = &task.worker {
                found.insert(self.attempt(index), worker.clone());
            }
        }
        found
    }

    /// Handles a report about a task of a taken-over job that has no intent.
    ///
    /// Idempotent work starts without an intent. It continues on the worker on which it
    /// was found.
    pub fn on_discovered(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        worker: &WorkerId,
        state: &TaskState,
    ) -> Vec<JobEffect> {
        let Some(task) = self.tasks.get_mut(attempt.task as usize) else {
            return Vec::new();
        };
        if task.phase == Phase::Waiting {
            task.attempt = attempt.attempt;
            task.phase = Phase::InDoubt;
            task.worker = Some(worker.clone());
        }
        self.on_report(now_ms, attempt, state)
    }

    /// Handles the placement of tasks on workers.
    ///
    /// Idempotent work starts immediately. For other work, the intents are written first.
    pub fn on_placed(
        &mut self,
        now_ms: UnixMs,
        placed: &[(AttemptId, WorkerId, Token)],
    ) -> Vec<JobEffect> {
        let mut starts = Vec::new();
        for (attempt, worker, token) in placed {
            let needs_intent = self.record.execution.needs_intent();
            let Some(task) = self.current_task_mut(*attempt) else {
                continue;
            };
            if task.phase != Phase::Waiting {
                continue;
            }
            task.worker = Some(worker.clone());
            if needs_intent {
                task.phase = Phase::IntentPending;
                self.record_intent(*attempt, worker, *token, None);
            } else {
                task.phase = Phase::Starting;
                starts.push(*attempt);
            }
        }
        if starts.is_empty() {
            return self.request_write();
        }
        self.first_start_ms.get_or_insert(now_ms);
        vec![JobEffect::Start(starts)]
    }

    /// Handles the assignment of a request to a minion, the server process that answers it.
    /// The intent is written before the request is sent.
    pub fn on_routed(&mut self, worker: &WorkerId, token: Token, minion: &str) -> Vec<JobEffect> {
        let attempt = self.attempt(0);
        if self.tasks[0].phase != Phase::Waiting {
            return Vec::new();
        }
        self.tasks[0].worker = Some(worker.clone());
        self.tasks[0].phase = Phase::IntentPending;
        self.record_intent(attempt, worker, token, Some(minion.to_owned()));
        self.request_write()
    }

    /// Begins a write and returns the record to be written, with its new write id.
    pub fn begin_write(&mut self, write_id: u64) -> &JobRecord {
        self.write_in_flight = true;
        self.dirty = false;
        self.outcome_in_flight = self.record.outcome.is_some();
        self.record.write_id = write_id;
        for task in &mut self.tasks {
            if task.phase == Phase::IntentPending {
                task.phase = Phase::WritingIntent;
            }
        }
        &self.record
    }

    /// Handles a write that took effect; attempts whose intents it contained may start.
    pub fn on_written(&mut self, now_ms: UnixMs, version: u64) -> Vec<JobEffect> {
        self.version = version;
        self.write_in_flight = false;
        self.former_zone = None;
        let mut effects = Vec::new();
        if self.outcome_in_flight {
            self.outcome_durable = true;
            effects.push(JobEffect::Finished);
            return effects;
        }
        if self.record.outcome.is_some() {
            effects.push(JobEffect::Write);
            return effects;
        }
        let recorded = self.attempts_in_phase(Phase::WritingIntent);
        if self.record.cancelled && !recorded.is_empty() {
            // The starts were never sent, so "not run" is still a correct outcome.
            for attempt in recorded {
                self.tasks[attempt.task as usize].phase =
                    Phase::NeverStarted(Code::CancelledBeforeStart);
                self.remove_intent(attempt);
            }
            return self.finish_or_write(now_ms);
        }
        if !recorded.is_empty() {
            for attempt in &recorded {
                self.tasks[attempt.task as usize].phase = Phase::Starting;
            }
            self.first_start_ms.get_or_insert(now_ms);
            effects.push(JobEffect::Start(recorded));
        }
        if self.dirty {
            effects.push(JobEffect::Write);
        }
        effects
    }

    /// Handles a write that certainly had no effect.
    ///
    /// The intents that it contained are removed from the record, and their tasks wait
    /// again.
    pub fn on_not_written(&mut self) -> Vec<JobEffect> {
        self.write_in_flight = false;
        let mut unsent = Vec::new();
        for attempt in self.attempts_in_phase(Phase::WritingIntent) {
            self.tasks[attempt.task as usize].phase = Phase::Waiting;
            self.record.intents.retain(|intent| intent.task != attempt.task);
            unsent.push(attempt);
        }
        if unsent.is_empty() { Vec::new() } else { vec![JobEffect::Enqueue(unsent)] }
    }

    /// Handles the response of a worker to a start.
    pub fn on_start(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        result: StartResult,
    ) -> Vec<JobEffect> {
        match result {
            StartResult::Started => {
                if let Some(task) = self.current_task_mut(attempt)
                    && matches!(task.phase, Phase::Starting | Phase::InDoubt)
                {
                    task.phase = Phase::Running;
                    self.record.started = true;
                }
                self.stop_if_unwanted(attempt)
            }
            StartResult::Refused => self.on_never_started(now_ms, attempt),
        }
    }

    /// Handles a worker's report about the state of a task.
    pub fn on_report(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        state: &TaskState,
    ) -> Vec<JobEffect> {
        let Some(task) = self.current_task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_be_running() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        self.record.started = true;
        match state {
            TaskState::Running => {
                self.tasks[attempt.task as usize].phase = Phase::Running;
                self.stop_if_unwanted(attempt)
            }
            TaskState::Done { answer } => self.on_done(now_ms, attempt, answer),
            TaskState::Failed { reason } => self.on_failed(now_ms, attempt, reason),
            TaskState::Stopped { .. } => self.on_stopped(now_ms, attempt),
        }
    }

    /// Handles the proof by the worker that the attempt never started and never will.
    pub fn on_never_started(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let Some(task) = self.current_task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_be_running() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        if self.record.cancelled {
            self.tasks[attempt.task as usize].phase =
                Phase::NeverStarted(Code::CancelledBeforeStart);
            self.remove_intent(attempt);
            return self.finish_if_complete(now_ms);
        }
        self.remove_intent(attempt);
        self.requeue(now_ms, attempt)
    }

    /// Handles the permanent loss of the worker; whether the attempt ran is not known.
    pub fn on_worker_lost(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let Some(task) = self.current_task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_be_running() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        match self.record.execution {
            // A lost worker runs nothing any more, so work of both kinds may run again.
            Execution::Idempotent | Execution::Exclusive => self.on_stopped(now_ms, attempt),
            Execution::AtMostOnce => {
                self.tasks[attempt.task as usize].phase = Phase::Lost;
                self.finish_if_complete(now_ms)
            }
        }
    }

    /// Cancels the job at the request of its owner.
    pub fn cancel(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        if self.record.cancelled || self.record.outcome.is_some() {
            return Vec::new();
        }
        self.record.cancelled = true;
        self.note("cancelled by its owner".to_owned());
        let mut effects = vec![JobEffect::Dequeue];
        for index in 0..self.tasks.len() {
            if matches!(self.tasks[index].phase, Phase::Waiting | Phase::IntentPending) {
                self.tasks[index].phase = Phase::NeverStarted(Code::CancelledBeforeStart);
                self.remove_intent(self.attempt(index));
            }
        }
        let active: Vec<AttemptId> =
            self.possibly_running().into_iter().map(|(attempt, _)| attempt).collect();
        if !active.is_empty() {
            effects.push(JobEffect::Stop(active));
        }
        effects.extend(self.finish_or_write(now_ms));
        effects
    }

    /// Drops waiting attempts because the deadline passed.
    pub fn expire(&mut self, now_ms: UnixMs, attempts: &[AttemptId]) -> Vec<JobEffect> {
        self.drop_waiting(now_ms, attempts, Code::DeadlinePassed)
    }

    /// Drops waiting attempts for the reason `code`; they will never start.
    pub fn drop_waiting(
        &mut self,
        now_ms: UnixMs,
        attempts: &[AttemptId],
        code: Code,
    ) -> Vec<JobEffect> {
        for attempt in attempts {
            if let Some(task) = self.current_task_mut(*attempt)
                && task.phase == Phase::Waiting
            {
                task.phase = Phase::NeverStarted(code);
            }
        }
        self.finish_if_complete(now_ms)
    }

    /// Assigns the job to another coordinator, possibly in another zone.
    pub fn reassign(&mut self, coordinator: &DaemonId, zone: &ZoneName) {
        if self.record.zone != *zone {
            self.former_zone = Some(std::mem::replace(&mut self.record.zone, zone.clone()));
        }
        self.record.coordinator = coordinator.clone();
        self.record.epoch += 1;
        let attempt = first_attempt(self.record.epoch);
        for task in &mut self.tasks {
            if task.phase == Phase::Waiting {
                task.attempt = attempt;
            }
        }
    }

    /// Zone whose open row the next write must remove; `None` if the job did not move.
    pub fn former_zone(&self) -> Option<&ZoneName> {
        self.former_zone.as_ref()
    }

    /// Number of tasks in each phase, shown to operators.
    pub fn phases(&self) -> BTreeMap<&'static str, usize> {
        let mut phases = BTreeMap::new();
        for task in &self.tasks {
            *phases.entry(task.phase.name()).or_default() += 1;
        }
        phases
    }

    /// Whether a write of the record is in flight.
    pub fn is_writing(&self) -> bool {
        self.write_in_flight
    }

    /// Whether any task may be running, or may start once the write in flight took effect.
    pub fn is_active(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.phase.may_be_running() || task.phase == Phase::WritingIntent)
    }

    /// Adds a line to the history that `explain` shows; the oldest line may be dropped.
    pub fn note(&mut self, line: String) {
        if self.notes.len() == NOTES_MAX {
            self.notes.pop_front();
        }
        self.notes.push_back(line);
    }

    /// State of the job as callers see it; an outcome counts once it is durable.
    pub fn state(&self) -> JobState {
        if let Some(outcome) = self.durable_outcome() {
            return outcome.state();
        }
        let has_running_task = self
            .tasks
            .iter()
            .any(|task| task.phase.may_be_running() || task.phase == Phase::InDoubt);
        if has_running_task || self.tasks.iter().any(|task| task.phase == Phase::Done) {
            return JobState::Running;
        }
        JobState::Queued
    }

    /// Returns the view for callers; `pending_reasons` explain why the job waits.
    pub fn view(&self, pending_reasons: Vec<String>) -> JobView {
        let mut workers = Vec::new();
        let mut running = 0;
        let mut done = 0;
        for task in &self.tasks {
            running += u32::from(task.phase.may_be_running());
            done += u32::from(task.phase == Phase::Done);
            if let Some(worker) = &task.worker
                && workers.len() < WORKERS_SHOWN
                && !workers.contains(worker)
            {
                workers.push(worker.clone());
            }
        }
        let mut reasons: Vec<String> = self.notes.iter().cloned().collect();
        reasons.extend(pending_reasons);
        JobView {
            job: self.record.job,
            owner: self.record.owner.clone(),
            entry: self.record.entry.clone(),
            class: self.record.class,
            state: self.state(),
            tasks: self.record.tasks,
            running,
            done,
            workers,
            coordinator: self.record.coordinator.clone(),
            zone: self.record.zone.clone(),
            accepted_ms: self.record.accepted_ms,
            waited_ms: self
                .first_start_ms
                .map(|start_ms| start_ms.saturating_sub(self.record.accepted_ms)),
            outcome: self.durable_outcome().cloned(),
            reasons,
        }
    }

    fn on_done(&mut self, now_ms: UnixMs, attempt: AttemptId, answer: &str) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        if self.record.class == Class::Service && !self.record.cancelled {
            self.note(format!("task {} ended by itself and is replaced", attempt.task));
            return self.retry_after_end(now_ms, attempt);
        }
        self.tasks[index].phase = Phase::Done;
        if self.gang_restarting {
            return self.restart_gang(now_ms);
        }
        if self.record.tasks == 1 {
            self.record.outcome = Some(Outcome::Done { answer: answer.to_owned() });
            self.record.finished_ms = now_ms;
            return self.request_write();
        }
        self.finish_if_complete(now_ms)
    }

    fn on_failed(&mut self, now_ms: UnixMs, attempt: AttemptId, reason: &str) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        self.note(format!("try {} of task {} failed: {reason}", attempt.attempt, attempt.task));
        self.tasks[index].failures += 1;
        let is_service = self.record.class == Class::Service;
        if self.record.cancelled || (!is_service && self.tasks[index].failures >= self.attempts_max)
        {
            self.tasks[index].phase = Phase::Failed(Code::TaskFailed);
            if self.record.class == Class::Gang && !self.record.cancelled {
                return self.restart_gang(now_ms);
            }
            return self.finish_if_complete(now_ms);
        }
        self.retry_after_end(now_ms, attempt)
    }

    fn on_stopped(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        if self.record.cancelled {
            self.tasks[index].phase = Phase::Failed(Code::CancelledAfterStart);
            return self.finish_if_complete(now_ms);
        }
        if self.record.execution == Execution::AtMostOnce {
            self.tasks[index].phase = Phase::Failed(Code::StoppedOverLimit);
            return self.finish_if_complete(now_ms);
        }
        self.note(format!("try {} of task {} was stopped", attempt.attempt, attempt.task));
        self.retry_after_end(now_ms, attempt)
    }

    /// Requests a write, or marks the record as dirty while another write is in flight.
    fn request_write(&mut self) -> Vec<JobEffect> {
        if self.write_in_flight {
            self.dirty = true;
            return Vec::new();
        }
        vec![JobEffect::Write]
    }

    fn record_intent(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        token: Token,
        minion: Option<String>,
    ) {
        self.record.intents.retain(|intent| intent.task != attempt.task);
        self.record.intents.push(Intent {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: worker.clone(),
            token,
            minion,
        });
    }

    fn remove_intent(&mut self, attempt: AttemptId) {
        self.record.intents.retain(|intent| intent.task != attempt.task);
    }

    fn attempts_in_phase(&self, phase: Phase) -> Vec<AttemptId> {
        let mut found = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase == phase {
                found.push(self.attempt(index));
            }
        }
        found
    }

    fn attempt(&self, index: usize) -> AttemptId {
        AttemptId { job: self.record.job, task: index as u32, attempt: self.tasks[index].attempt }
    }

    /// The task of the attempt, if the attempt is its current one.
    fn current_task_mut(&mut self, attempt: AttemptId) -> Option<&mut Task> {
        let task = self.tasks.get_mut(attempt.task as usize)?;
        (task.attempt == attempt.attempt).then_some(task)
    }
}
