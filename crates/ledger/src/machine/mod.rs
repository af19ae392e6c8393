//! One job as the daemon that runs it sees it.
//!
//! A task waits, gets a worker, is perhaps recorded as an intent, is started,
//! runs and ends. For work that must not run twice the intent is durable
//! before the start is sent, and no second intent is made until the first is
//! proved dead: by the worker saying that it ended, or that it never started
//! and never will. "Not run" is only ever told with that proof.

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

/// Lines kept of what happened to a job.
const NOTES_MAX: usize = 12;
/// Workers named to a caller.
const WORKERS_SHOWN: usize = 8;

/// One job.
#[derive(Clone, Debug)]
pub struct JobMachine {
    /// What is kept of it.
    pub record: JobRecord,
    /// Version of its row; 0 before the first write.
    pub version: u64,
    attempts_max: u32,
    tasks: Vec<Task>,
    writing: bool,
    /// Whether the record changed since the write on its way was begun.
    dirty: bool,
    /// Whether the write on its way carries the outcome.
    writing_outcome: bool,
    restarting: bool,
    first_start_ms: Option<UnixMs>,
    /// Whether the outcome is durable. Told before that, a "not run" could be
    /// forgotten with this daemon, and the next one would run the job.
    outcome_written: bool,
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

/// What has to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEffect {
    /// Let these wait for a worker.
    Enqueue(Vec<AttemptId>),
    /// Send these starts.
    Start(Vec<AttemptId>),
    /// Stop these.
    Stop(Vec<AttemptId>),
    /// Take these out of the queue.
    Dequeue,
    /// The record changed and has to be written.
    Write,
    /// The outcome is final.
    Finished,
}

/// What became of a start that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker runs it.
    Started,
    /// The worker refused it and always will.
    Refused,
}

impl JobMachine {
    /// A job that was just accepted, or that is taken over from its record.
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
        let once = record.execution == Execution::AtMostOnce;
        let record_is_final = record.outcome.is_some();
        Self {
            record,
            version,
            outcome_written: record_is_final,
            former_zone: None,
            attempts_max: if once { 1 } else { attempts_max },
            tasks,
            writing: false,
            dirty: false,
            writing_outcome: false,
            restarting: false,
            first_start_ms: None,
            notes: VecDeque::new(),
        }
    }

    /// Attempts that wait for a worker.
    pub fn waiting(&self) -> Vec<AttemptId> {
        self.in_phase(Phase::Waiting)
    }

    /// Attempts whose worker has to be asked, with that worker.
    pub fn in_doubt(&self) -> Vec<(AttemptId, WorkerId)> {
        let mut found = Vec::new();
        for attempt in self.in_phase(Phase::InDoubt) {
            let worker = self.tasks[attempt.task as usize].worker.clone();
            found.extend(worker.map(|worker| (attempt, worker)));
        }
        found
    }

    /// Attempts that may run now, with their workers.
    pub fn active(&self) -> Vec<(AttemptId, WorkerId)> {
        let mut found = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase.may_run()
                && let Some(worker) = &task.worker
            {
                found.push((self.attempt(index), worker.clone()));
            }
        }
        found
    }

    /// The worker of this attempt, if it is its task's present one.
    pub fn worker_of(&self, attempt: AttemptId) -> Option<WorkerId> {
        let task = self.tasks.get(attempt.task as usize)?;
        if task.attempt == attempt.attempt { task.worker.clone() } else { None }
    }

    /// Whether this attempt is its task's present one.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| task.attempt == attempt.attempt)
    }

    /// Whether this attempt waits for a worker.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| task.attempt == attempt.attempt && task.phase == Phase::Waiting)
    }

    /// Whether this attempt has its worker and its start is yet to be answered.
    pub fn is_about_to_start(&self, attempt: AttemptId) -> bool {
        let task = self.tasks.get(attempt.task as usize);
        task.is_some_and(|task| {
            let phase = matches!(task.phase, Phase::Intended | Phase::Recording | Phase::Starting);
            task.attempt == attempt.attempt && phase
        })
    }

    /// The last attempt of each task that had a worker, with that worker.
    pub fn attempts_with_workers(&self) -> BTreeMap<AttemptId, WorkerId> {
        let mut found = BTreeMap::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if let Some(worker) = &task.worker {
                found.insert(self.attempt(index), worker.clone());
            }
        }
        found
    }

    /// A task of a job that was taken over was found on a worker, though no
    /// intent told of it: work that may be repeated goes on there.
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

    /// Tasks got workers. Work that may be repeated starts at once; for other
    /// work the intents are written first.
    pub fn on_placed(
        &mut self,
        now_ms: UnixMs,
        placed: &[(AttemptId, WorkerId, Token)],
    ) -> Vec<JobEffect> {
        let mut starts = Vec::new();
        for (attempt, worker, token) in placed {
            let needs_intent = self.record.execution.needs_intent();
            let Some(task) = self.task_mut(*attempt) else {
                continue;
            };
            if task.phase != Phase::Waiting {
                continue;
            }
            task.worker = Some(worker.clone());
            if needs_intent {
                task.phase = Phase::Intended;
                self.put_intent(*attempt, worker, *token, None);
            } else {
                task.phase = Phase::Starting;
                starts.push(*attempt);
            }
        }
        if starts.is_empty() {
            return self.write();
        }
        self.first_start_ms.get_or_insert(now_ms);
        vec![JobEffect::Start(starts)]
    }

    /// A request got a minion; its intent is written first.
    pub fn on_routed(&mut self, worker: &WorkerId, token: Token, minion: &str) -> Vec<JobEffect> {
        let attempt = self.attempt(0);
        if self.tasks[0].phase != Phase::Waiting {
            return Vec::new();
        }
        self.tasks[0].worker = Some(worker.clone());
        self.tasks[0].phase = Phase::Intended;
        self.put_intent(attempt, worker, token, Some(minion.to_owned()));
        self.write()
    }

    /// Begins a write; the record with its new write id is to be sent.
    pub fn begin_write(&mut self, write_id: u64) -> &JobRecord {
        self.writing = true;
        self.dirty = false;
        self.writing_outcome = self.record.outcome.is_some();
        self.record.write_id = write_id;
        for task in &mut self.tasks {
            if task.phase == Phase::Intended {
                task.phase = Phase::Recording;
            }
        }
        &self.record
    }

    /// The write took effect: recorded intents may be started.
    pub fn on_written(&mut self, now_ms: UnixMs, version: u64) -> Vec<JobEffect> {
        self.version = version;
        self.writing = false;
        self.former_zone = None;
        let mut effects = Vec::new();
        if self.writing_outcome {
            self.outcome_written = true;
            effects.push(JobEffect::Finished);
            return effects;
        }
        if self.record.outcome.is_some() {
            effects.push(JobEffect::Write);
            return effects;
        }
        let recorded = self.in_phase(Phase::Recording);
        if self.record.cancelled && !recorded.is_empty() {
            // The start was never sent, so it can still be told as not run.
            for attempt in recorded {
                self.tasks[attempt.task as usize].phase =
                    Phase::Dropped(Code::CancelledBeforeStart);
                self.drop_intent(attempt);
            }
            return self.settle_or_write(now_ms);
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

    /// The write surely had no effect and the record is as before.
    pub fn on_not_written(&mut self) -> Vec<JobEffect> {
        self.writing = false;
        let mut back = Vec::new();
        for attempt in self.in_phase(Phase::Recording) {
            self.tasks[attempt.task as usize].phase = Phase::Waiting;
            self.record.intents.retain(|intent| intent.task != attempt.task);
            back.push(attempt);
        }
        if back.is_empty() { Vec::new() } else { vec![JobEffect::Enqueue(back)] }
    }

    /// A worker answered a start.
    pub fn on_start(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        result: StartResult,
    ) -> Vec<JobEffect> {
        match result {
            StartResult::Started => {
                if let Some(task) = self.task_mut(attempt)
                    && matches!(task.phase, Phase::Starting | Phase::InDoubt)
                {
                    task.phase = Phase::Running;
                    self.record.started = true;
                }
                self.after_cancel_stop(attempt)
            }
            StartResult::Refused => self.on_never_started(now_ms, attempt),
        }
    }

    /// The worker told how a task is.
    pub fn on_report(
        &mut self,
        now_ms: UnixMs,
        attempt: AttemptId,
        state: &TaskState,
    ) -> Vec<JobEffect> {
        let Some(task) = self.task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_run() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        self.record.started = true;
        match state {
            TaskState::Running => {
                self.tasks[attempt.task as usize].phase = Phase::Running;
                self.after_cancel_stop(attempt)
            }
            TaskState::Done { answer } => self.on_done(now_ms, attempt, answer),
            TaskState::Failed { reason } => self.on_failed(now_ms, attempt, reason),
            TaskState::Stopped { .. } => self.on_stopped(now_ms, attempt),
        }
    }

    /// The worker proved that this attempt never started and never will.
    pub fn on_never_started(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let Some(task) = self.task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_run() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        if self.record.cancelled {
            self.tasks[attempt.task as usize].phase = Phase::Dropped(Code::CancelledBeforeStart);
            self.drop_intent(attempt);
            return self.settle(now_ms);
        }
        self.drop_intent(attempt);
        self.requeue(now_ms, attempt)
    }

    /// The worker is gone for good; nothing can tell whether this attempt ran.
    pub fn on_worker_lost(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let Some(task) = self.task_mut(attempt) else {
            return Vec::new();
        };
        if !task.phase.may_run() && task.phase != Phase::InDoubt {
            return Vec::new();
        }
        match self.record.execution {
            // A worker that is gone runs nothing any more, so both may run again.
            Execution::Idempotent | Execution::Exclusive => self.on_stopped(now_ms, attempt),
            Execution::AtMostOnce => {
                self.tasks[attempt.task as usize].phase = Phase::Lost;
                self.settle(now_ms)
            }
        }
    }

    /// The caller wants it no more.
    pub fn cancel(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        if self.record.cancelled || self.record.outcome.is_some() {
            return Vec::new();
        }
        self.record.cancelled = true;
        self.note("cancelled by its owner".to_owned());
        let mut effects = vec![JobEffect::Dequeue];
        for index in 0..self.tasks.len() {
            if matches!(self.tasks[index].phase, Phase::Waiting | Phase::Intended) {
                self.tasks[index].phase = Phase::Dropped(Code::CancelledBeforeStart);
                self.drop_intent(self.attempt(index));
            }
        }
        let active: Vec<AttemptId> =
            self.active().into_iter().map(|(attempt, _)| attempt).collect();
        if !active.is_empty() {
            effects.push(JobEffect::Stop(active));
        }
        effects.extend(self.settle_or_write(now_ms));
        effects
    }

    /// The deadline passed while these waited.
    pub fn expire(&mut self, now_ms: UnixMs, attempts: &[AttemptId]) -> Vec<JobEffect> {
        self.drop_waiting(now_ms, attempts, Code::DeadlinePassed)
    }

    /// These will never be started, for this reason.
    pub fn drop_waiting(
        &mut self,
        now_ms: UnixMs,
        attempts: &[AttemptId],
        code: Code,
    ) -> Vec<JobEffect> {
        for attempt in attempts {
            if let Some(task) = self.task_mut(*attempt)
                && task.phase == Phase::Waiting
            {
                task.phase = Phase::Dropped(code);
            }
        }
        self.settle(now_ms)
    }

    /// Another daemon runs it from now on, perhaps in another zone.
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

    /// The zone whose open row has to go with the next write.
    pub fn former_zone(&self) -> Option<&ZoneName> {
        self.former_zone.as_ref()
    }

    /// How many tasks are in each phase, for people.
    pub fn phases(&self) -> BTreeMap<&'static str, usize> {
        let mut phases = BTreeMap::new();
        for task in &self.tasks {
            *phases.entry(task.phase.name()).or_default() += 1;
        }
        phases
    }

    /// Whether a write is on its way.
    pub fn is_writing(&self) -> bool {
        self.writing
    }

    /// Whether any start may be on its way or any task running.
    pub fn is_active(&self) -> bool {
        self.tasks.iter().any(|task| task.phase.may_run() || task.phase == Phase::Recording)
    }

    /// Remembers a line for `explain`.
    pub fn note(&mut self, line: String) {
        if self.notes.len() == NOTES_MAX {
            self.notes.pop_front();
        }
        self.notes.push_back(line);
    }

    /// Where it stands.
    pub fn state(&self) -> JobState {
        if let Some(outcome) = self.outcome_if_written() {
            return outcome.state();
        }
        let runs =
            self.tasks.iter().any(|task| task.phase.may_run() || task.phase == Phase::InDoubt);
        if runs || self.tasks.iter().any(|task| task.phase == Phase::Done) {
            return JobState::Running;
        }
        JobState::Queued
    }

    /// What a caller is told; `waits` are the reasons why it waits.
    pub fn view(&self, waits: Vec<String>) -> JobView {
        let mut workers = Vec::new();
        let mut running = 0;
        let mut done = 0;
        for task in &self.tasks {
            running += u32::from(task.phase.may_run());
            done += u32::from(task.phase == Phase::Done);
            if let Some(worker) = &task.worker
                && workers.len() < WORKERS_SHOWN
                && !workers.contains(worker)
            {
                workers.push(worker.clone());
            }
        }
        let mut reasons: Vec<String> = self.notes.iter().cloned().collect();
        reasons.extend(waits);
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
            outcome: self.outcome_if_written().cloned(),
            reasons,
        }
    }

    fn on_done(&mut self, now_ms: UnixMs, attempt: AttemptId, answer: &str) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        if self.record.class == Class::Service && !self.record.cancelled {
            self.note(format!("task {} ended by itself and is replaced", attempt.task));
            return self.after_end(now_ms, attempt);
        }
        self.tasks[index].phase = Phase::Done;
        if self.restarting {
            return self.restart_gang(now_ms);
        }
        if self.record.tasks == 1 {
            self.record.outcome = Some(Outcome::Done { answer: answer.to_owned() });
            self.record.finished_ms = now_ms;
            return self.write();
        }
        self.settle(now_ms)
    }

    fn on_failed(&mut self, now_ms: UnixMs, attempt: AttemptId, reason: &str) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        self.note(format!("try {} of task {} failed: {reason}", attempt.attempt, attempt.task));
        self.tasks[index].failures += 1;
        let service = self.record.class == Class::Service;
        if self.record.cancelled || (!service && self.tasks[index].failures >= self.attempts_max) {
            self.tasks[index].phase = Phase::Over(Code::TaskFailed);
            if self.record.class == Class::Gang && !self.record.cancelled {
                return self.restart_gang(now_ms);
            }
            return self.settle(now_ms);
        }
        self.after_end(now_ms, attempt)
    }

    fn on_stopped(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        let index = attempt.task as usize;
        if self.record.cancelled {
            self.tasks[index].phase = Phase::Over(Code::CancelledAfterStart);
            return self.settle(now_ms);
        }
        if self.record.execution == Execution::AtMostOnce {
            self.tasks[index].phase = Phase::Over(Code::StoppedOverLimit);
            return self.settle(now_ms);
        }
        self.note(format!("try {} of task {} was stopped", attempt.attempt, attempt.task));
        self.after_end(now_ms, attempt)
    }

    fn write(&mut self) -> Vec<JobEffect> {
        if self.writing {
            self.dirty = true;
            return Vec::new();
        }
        vec![JobEffect::Write]
    }

    fn put_intent(
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

    fn drop_intent(&mut self, attempt: AttemptId) {
        self.record.intents.retain(|intent| intent.task != attempt.task);
    }

    fn in_phase(&self, phase: Phase) -> Vec<AttemptId> {
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

    /// The task, if this attempt is its present one.
    fn task_mut(&mut self, attempt: AttemptId) -> Option<&mut Task> {
        let task = self.tasks.get_mut(attempt.task as usize)?;
        (task.attempt == attempt.attempt).then_some(task)
    }
}
