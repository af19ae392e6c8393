//! A simulated worker: a lease with a fencing token, and tasks that end by themselves.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde::Deserialize;
use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::MinionState;
use stoatwell_model::worker::StartReply;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskReport;
use stoatwell_model::worker::TaskState;
use stoatwell_model::worker::Token;
use stoatwell_model::worker::WorkerState;
use stoatwell_platform::WorkerCall;
use stoatwell_platform::WorkerReply;

/// A simulated worker. The caller passes the current time, so no method sleeps or blocks.
#[derive(Debug)]
pub struct Worker {
    id: WorkerId,
    rack: String,
    capacity: Resources,
    foreign: Resources,
    usage_lag_ms: u64,
    holder: Option<DaemonId>,
    token: Token,
    lease_until_ms: u64,
    tasks: BTreeMap<AttemptId, Task>,
    /// Attempts refused under the current token. Without this set, a delayed
    /// duplicate of a refused start could run after the holder was told that
    /// the attempt would never start.
    refused: HashSet<AttemptId>,
    seq: u64,
    starts: u64,
    peak: Resources,
    allow_overcommit: bool,
}

#[derive(Debug)]
struct Task {
    report: TaskReport,
    changed_seq: u64,
    started_ms: u64,
    ends_ms: u64,
    end_state: TaskState,
    usage: Resources,
    orphan_ms: Option<u64>,
}

/// What a simulated task does, parsed from the payload of its start.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct TaskScript {
    run_ms: u64,
    forever: bool,
    fail: Option<String>,
    uses: Option<Resources>,
    answer: String,
}

impl Default for TaskScript {
    fn default() -> Self {
        Self { run_ms: 100, forever: false, fail: None, uses: None, answer: String::new() }
    }
}

impl Worker {
    /// Creates a worker without a lease.
    pub fn new(id: WorkerId, rack: String, capacity: Resources, usage_lag_ms: u64) -> Self {
        Self {
            id,
            rack,
            capacity,
            foreign: Resources::ZERO,
            usage_lag_ms,
            holder: None,
            token: 0,
            lease_until_ms: 0,
            tasks: BTreeMap::new(),
            refused: HashSet::new(),
            seq: 1,
            starts: 0,
            peak: Resources::ZERO,
            allow_overcommit: false,
        }
    }

    /// Disables the capacity check, so that a test can detect whether a lease
    /// holder ever starts more than fits.
    pub fn allow_overcommit(mut self) -> Self {
        self.allow_overcommit = true;
        self
    }

    /// Reports of the running attempts.
    pub fn running(&self) -> impl Iterator<Item = &TaskReport> {
        let reports = self.tasks.values().map(|task| &task.report);
        reports.filter(|report| report.state.is_running())
    }

    /// Executes a call that arrived at `arrived_ms`, now or earlier; `minions` are those on
    /// this worker. With `fail_all_tasks`, every task that starts now fails.
    pub fn call(
        &mut self,
        now_ms: u64,
        arrived_ms: u64,
        call: &WorkerCall,
        minions: &[MinionState],
        fail_all_tasks: bool,
    ) -> WorkerReply {
        self.advance(now_ms);
        match call {
            WorkerCall::Acquire { holder, token, ttl_ms } => {
                self.acquire(now_ms, holder, *token, *ttl_ms, minions)
            }
            WorkerCall::Renew { token, ttl_ms, since, acknowledged, .. } => {
                if *token != self.token || self.holder.is_none() {
                    return self.not_holder_reply(now_ms);
                }
                self.lease_until_ms = self.lease_until_ms.max(arrived_ms + ttl_ms);
                for attempt in acknowledged {
                    self.tasks.remove(attempt);
                }
                self.renewal_reply(*since, minions)
            }
            WorkerCall::Release { token } => {
                if *token != self.token {
                    return self.not_holder_reply(now_ms);
                }
                self.holder = None;
                self.lease_until_ms = now_ms;
                WorkerReply::Released
            }
            WorkerCall::Start { token, tasks } => {
                if *token != self.token {
                    return self.not_holder_reply(now_ms);
                }
                let mut replies = Vec::new();
                for task in tasks {
                    replies.push(self.start(now_ms, task, fail_all_tasks));
                }
                WorkerReply::Started { replies }
            }
            WorkerCall::Stop { token, attempts, mode } => {
                if *token != self.token {
                    return self.not_holder_reply(now_ms);
                }
                for attempt in attempts {
                    self.stop(*attempt, *mode);
                }
                WorkerReply::Stopped
            }
        }
    }

    /// Applies what is due by now: ends of tasks, stops of orphaned tasks, usage reports.
    pub fn advance(&mut self, now_ms: u64) {
        let without_lease_ms = now_ms.saturating_sub(self.lease_until_ms);
        for task in self.tasks.values_mut() {
            if !task.report.state.is_running() {
                continue;
            }
            let orphaned = task.orphan_ms.is_some_and(|limit_ms| without_lease_ms > limit_ms);
            if now_ms >= task.ends_ms {
                task.report.state = task.end_state.clone();
            } else if orphaned {
                task.report.state = TaskState::Stopped { checkpointed: false };
            } else if now_ms >= task.started_ms + self.usage_lag_ms
                && task.report.usage != task.usage
            {
                task.report.usage = task.usage;
            } else {
                continue;
            }
            self.seq += 1;
            task.changed_seq = self.seq;
        }
    }

    /// Whether anything changed after this sequence number.
    pub fn has_changes_since(&self, since: u64) -> bool {
        self.seq > since
    }

    /// When the next task ends by itself; `None` if nothing runs.
    pub fn next_change_ms(&self) -> Option<u64> {
        let running = self.tasks.values().filter(|task| task.report.state.is_running());
        running.map(|task| task.ends_ms).min()
    }

    /// Returns the number of started tasks and the peak of the resources they demanded at once.
    pub fn stats(&self) -> (u64, Resources) {
        (self.starts, self.peak)
    }

    /// Sets the resources that processes outside this system use on the worker.
    pub fn set_foreign(&mut self, foreign: Resources) {
        self.foreign = foreign;
        self.seq += 1;
    }

    fn acquire(
        &mut self,
        now_ms: u64,
        holder: &DaemonId,
        token: Token,
        ttl_ms: u64,
        minions: &[MinionState],
    ) -> WorkerReply {
        let held = self.holder.is_some() && now_ms < self.lease_until_ms;
        let held_by_other = held && self.holder.as_ref() != Some(holder);
        if held_by_other || token <= self.token {
            return self.not_holder_reply(now_ms);
        }
        self.holder = Some(holder.clone());
        self.token = token;
        self.lease_until_ms = now_ms + ttl_ms;
        self.refused.clear();
        let state = WorkerState {
            worker: self.id.clone(),
            capacity: self.capacity,
            rack: self.rack.clone(),
            token,
            tasks: self.tasks.values().map(|task| task.report.clone()).collect(),
            minions: minions.to_vec(),
            foreign: self.foreign,
        };
        WorkerReply::Granted { state, seq: self.seq }
    }

    fn renewal_reply(&self, since: u64, minions: &[MinionState]) -> WorkerReply {
        let mut changes = Vec::new();
        for task in self.tasks.values() {
            if task.changed_seq > since {
                changes.push(task.report.clone());
            }
        }
        WorkerReply::Renewed {
            changes,
            minions: minions.to_vec(),
            foreign: self.foreign,
            seq: self.seq,
        }
    }

    fn not_holder_reply(&self, now_ms: u64) -> WorkerReply {
        WorkerReply::NotHolder {
            holder: self.holder.clone(),
            token: self.token,
            expires_ms: self.lease_until_ms.saturating_sub(now_ms),
        }
    }

    fn start(&mut self, now_ms: u64, task: &StartTask, fail_all_tasks: bool) -> StartReply {
        if self.tasks.contains_key(&task.attempt) {
            return StartReply::Started;
        }
        let refusal = if self.refused.contains(&task.attempt) {
            Some("refused before")
        } else if now_ms >= self.lease_until_ms {
            Some("the lease has lapsed")
        } else if !self.allow_overcommit && !self.capacity.holds(&self.in_use().plus(&task.demand))
        {
            Some("no room")
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.refused.insert(task.attempt);
            return StartReply::Refused { reason: reason.to_owned() };
        }
        self.run_task(now_ms, task, fail_all_tasks);
        StartReply::Started
    }

    fn run_task(&mut self, now_ms: u64, task: &StartTask, fail_all_tasks: bool) {
        let script: TaskScript = serde_json::from_str(&task.payload).unwrap_or_default();
        let failure = script.fail.or(fail_all_tasks.then(|| "worker fault".to_owned()));
        let run_ms = if fail_all_tasks { 1 } else { script.run_ms };
        let ends_ms = if script.forever && failure.is_none() { u64::MAX } else { now_ms + run_ms };
        let end_state = match failure {
            Some(reason) => TaskState::Failed { reason },
            None => TaskState::Done { answer: script.answer },
        };
        let report = TaskReport {
            attempt: task.attempt,
            demand: task.demand,
            usage: Resources::ZERO,
            coordinator: task.coordinator.clone(),
            entry: task.entry.clone(),
            state: TaskState::Running,
        };
        self.seq += 1;
        let task = Task {
            report,
            changed_seq: self.seq,
            started_ms: now_ms,
            ends_ms,
            end_state,
            usage: script.uses.unwrap_or(task.demand),
            orphan_ms: task.orphan_ms,
        };
        self.tasks.insert(task.report.attempt, task);
        self.starts += 1;
        self.peak = self.peak.max(&self.in_use());
    }

    fn stop(&mut self, attempt: AttemptId, mode: StopMode) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            // The start of this attempt may still arrive; refuse it then.
            self.refused.insert(attempt);
            return;
        };
        if !task.report.state.is_running() {
            return;
        }
        match mode {
            StopMode::Stop => task.report.state = TaskState::Stopped { checkpointed: false },
            StopMode::Checkpoint => task.report.state = TaskState::Stopped { checkpointed: true },
            StopMode::Throttle { cpu_millis } => {
                task.usage.cpu_millis = task.usage.cpu_millis.min(cpu_millis);
            }
        }
        self.seq += 1;
        task.changed_seq = self.seq;
    }

    fn in_use(&self) -> Resources {
        let mut sum = Resources::ZERO;
        for task in self.tasks.values() {
            if task.report.state.is_running() {
                sum = sum.plus(&task.report.demand);
            }
        }
        sum
    }
}
