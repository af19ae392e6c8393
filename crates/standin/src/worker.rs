//! One pretended worker: a lease, a fence, and tasks that end by themselves.

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

/// One worker. Every method takes the time, so nothing here waits.
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
    /// Attempts refused under the present token. A delayed copy of a refused
    /// start would otherwise run after its holder was told that it never will.
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
    ending: TaskState,
    usage: Resources,
    orphan_ms: Option<u64>,
}

/// What a pretended task does; the payload of a start.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct Pretence {
    run_ms: u64,
    forever: bool,
    fail: Option<String>,
    uses: Option<Resources>,
    answer: String,
}

impl Default for Pretence {
    fn default() -> Self {
        Self { run_ms: 100, forever: false, fail: None, uses: None, answer: String::new() }
    }
}

impl Worker {
    /// A worker that nobody holds.
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

    /// Lets it start more than it holds, so that a check can see whether its
    /// holder would ever ask for that.
    pub fn allow_overcommit(mut self) -> Self {
        self.allow_overcommit = true;
        self
    }

    /// Attempts that run now.
    pub fn running(&self) -> impl Iterator<Item = &TaskReport> {
        let reports = self.tasks.values().map(|task| &task.report);
        reports.filter(|report| report.state.is_running())
    }

    /// Carries out a call that arrived earlier or now; `minions` are those on this worker.
    pub fn call(
        &mut self,
        now_ms: u64,
        arrived_ms: u64,
        call: &WorkerCall,
        minions: &[MinionState],
        fails_everything: bool,
    ) -> WorkerReply {
        self.advance(now_ms);
        match call {
            WorkerCall::Acquire { holder, token, ttl_ms } => {
                self.acquire(now_ms, holder, *token, *ttl_ms, minions)
            }
            WorkerCall::Renew { token, ttl_ms, since, acknowledged, .. } => {
                if *token != self.token || self.holder.is_none() {
                    return self.not_holder(now_ms);
                }
                self.lease_until_ms = self.lease_until_ms.max(arrived_ms + ttl_ms);
                for attempt in acknowledged {
                    self.tasks.remove(attempt);
                }
                self.renewed(*since, minions)
            }
            WorkerCall::Release { token } => {
                if *token != self.token {
                    return self.not_holder(now_ms);
                }
                self.holder = None;
                self.lease_until_ms = now_ms;
                WorkerReply::Released
            }
            WorkerCall::Start { token, tasks } => {
                if *token != self.token {
                    return self.not_holder(now_ms);
                }
                let mut replies = Vec::new();
                for task in tasks {
                    replies.push(self.start(now_ms, task, fails_everything));
                }
                WorkerReply::Started { replies }
            }
            WorkerCall::Stop { token, attempts, mode } => {
                if *token != self.token {
                    return self.not_holder(now_ms);
                }
                for attempt in attempts {
                    self.stop(*attempt, *mode);
                }
                WorkerReply::Stopped
            }
        }
    }

    /// Ends what is due.
    pub fn advance(&mut self, now_ms: u64) {
        let unheld_ms = now_ms.saturating_sub(self.lease_until_ms);
        for task in self.tasks.values_mut() {
            if !task.report.state.is_running() {
                continue;
            }
            let orphaned = task.orphan_ms.is_some_and(|limit| unheld_ms > limit);
            if now_ms >= task.ends_ms {
                task.report.state = task.ending.clone();
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

    /// Whether something changed after `since`.
    pub fn has_changes_since(&self, since: u64) -> bool {
        self.seq > since
    }

    /// When something will change by itself.
    pub fn next_change_ms(&self) -> Option<u64> {
        let running = self.tasks.values().filter(|task| task.report.state.is_running());
        running.map(|task| task.ends_ms).min()
    }

    /// Starts that took effect, and the most that ran at once.
    pub fn record(&self) -> (u64, Resources) {
        (self.starts, self.peak)
    }

    /// Sets what something else uses.
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
            return self.not_holder(now_ms);
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

    fn renewed(&self, since: u64, minions: &[MinionState]) -> WorkerReply {
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

    fn not_holder(&self, now_ms: u64) -> WorkerReply {
        WorkerReply::NotHolder {
            holder: self.holder.clone(),
            token: self.token,
            expires_ms: self.lease_until_ms.saturating_sub(now_ms),
        }
    }

    fn start(&mut self, now_ms: u64, task: &StartTask, fails_everything: bool) -> StartReply {
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
        self.admit(now_ms, task, fails_everything);
        StartReply::Started
    }

    fn admit(&mut self, now_ms: u64, task: &StartTask, fails_everything: bool) {
        let pretence: Pretence = serde_json::from_str(&task.payload).unwrap_or_default();
        let failure = pretence.fail.or(fails_everything.then(|| "worker fault".to_owned()));
        let run_ms = if fails_everything { 1 } else { pretence.run_ms };
        let ends_ms =
            if pretence.forever && failure.is_none() { u64::MAX } else { now_ms + run_ms };
        let ending = match failure {
            Some(reason) => TaskState::Failed { reason },
            None => TaskState::Done { answer: pretence.answer },
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
            ending,
            usage: pretence.uses.unwrap_or(task.demand),
            orphan_ms: task.orphan_ms,
        };
        self.tasks.insert(task.report.attempt, task);
        self.starts += 1;
        self.peak = self.peak.max(&self.in_use());
    }

    fn stop(&mut self, attempt: AttemptId, mode: StopMode) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            // Its start may still be on the way.
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
