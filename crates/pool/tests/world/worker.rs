//! A simulated worker that follows the worker protocol.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_pool::ActiveRun;
use stoatwell_pool::CallError;
use stoatwell_pool::EndedRun;
use stoatwell_pool::Event;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PaceCall;
use stoatwell_pool::RunOutcome;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StepSpec;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;
use stoatwell_pool::WorkerUpdate;

/// How long a member of a gang waits for the other members to start.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// The response time of a latency-sensitive task per best-effort run at full pace on the
/// same worker.
pub const RESPONSE_MS_PER_TASK: u64 = 100;
/// The time from a stop call to the end of the run.
const STOP_DURATION_MS: u64 = 300;
/// The clock of every other incarnation, beginning with the first one, starts at this time, that
/// of the others at 0.
const CLOCK_START_MS: u64 = 500_000;

/// A call to a worker in flight.
pub enum Call {
    Hold(HoldCall),
    Start(StartCall),
    Stop(StopCall),
    Pace(PaceCall),
}

/// A worker's reply to a call; `Waiting` means that a hold has nothing to report yet.
pub enum Reply {
    Hold(HoldReply),
    Waiting,
    Started { clock_ms: u64 },
    Refused(StartReply),
    Stopped,
    Superseded,
}

/// An active run.
pub struct Run {
    pub demand: Resources,
    started_ms: u64,
    duration_ms: u64,
    will_fail: bool,
    gang: Option<u32>,
    worked_ms: u64,
    best_effort: bool,
    long_running: bool,
    checkpoints: bool,
    /// In percent.
    pace: u64,
    stop_due_ms: Option<u64>,
}

/// A worker and the network conditions in front of it.
pub struct Worker {
    pub name: WorkerId,
    pub address: String,
    pub up: bool,
    /// Whether it is unreachable for a while: calls to it are lost.
    pub isolated: bool,
    /// Whether something in front of it, such as a firewall, refuses connections.
    pub refuses_connections: bool,
    /// Whether it is unreachable for good.
    pub permanently_isolated: bool,
    /// Whether its tasks make no progress.
    pub hung: bool,
    pub capacity: Resources,
    pub rack: &'static str,
    /// Whether it has announced that it will leave.
    pub draining: bool,
    pub active: BTreeMap<(TaskId, u32), Run>,
    pub completed: BTreeSet<TaskId>,
    /// The gang runs that ended here in the present step of time, and whether as done.
    pub gang_ends: BTreeSet<(StepId, u32, bool)>,
    pub incarnation: u64,
    clock_slow_permille: u64,
    incarnation_start_ms: u64,
    token: u64,
    lease_end_ms: u64,
    /// The longest lease that it grants.
    lease_max_ms: u64,
    ended: Vec<EndedRun>,
    /// The most ends that the answer to a hold lists.
    pub ends_listed_max: usize,
    next_end: u64,
    /// Ends up to this number had been recorded when the lease expired; they no longer count
    /// as completions.
    void_up_to: u64,
    /// The highest run number of each task that was stopped or has ended; a start of that run
    /// or an earlier one is refused.
    closed_runs: BTreeMap<TaskId, u32>,
}

impl Run {
    /// The progress in percent. A long-running task is at 100 from its start on.
    fn percent(&self) -> u64 {
        if self.long_running { 100 } else { self.worked_ms * 100 / self.duration_ms.max(1) }
    }

    /// The saved checkpoint: the work done, rounded down to full 100 ms; empty if the step
    /// saves none.
    fn checkpoint(&self) -> String {
        if self.checkpoints { format!("{}", self.worked_ms / 100 * 100) } else { String::new() }
    }
}

impl Call {
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Hold(call) => &call.to.worker,
            Self::Start(call) => &call.to.worker,
            Self::Stop(call) => &call.to.worker,
            Self::Pace(call) => &call.to.worker,
        }
    }

    /// The same hold, with its remaining wait reduced.
    pub fn after_wait(self, ms: u64) -> Self {
        match self {
            Self::Hold(call) => {
                Self::Hold(HoldCall { wait_ms: call.wait_ms.saturating_sub(ms), ..call })
            }
            other => other,
        }
    }

    /// The event by which the scheduler gets the result of the call.
    pub fn to_event(&self, result: Result<Reply, CallError>) -> Event {
        match self {
            Self::Hold(call) => {
                let reply = match result {
                    Ok(Reply::Hold(reply)) => Ok(reply),
                    Ok(Reply::Superseded) => Err(CallError::Superseded),
                    Ok(_) => Err(CallError::NoAnswer),
                    Err(error) => Err(error),
                };
                Event::Held { worker: call.to.worker.clone(), turn: call.turn, reply }
            }
            Self::Start(call) => {
                let reply = match result {
                    Ok(Reply::Started { clock_ms }) => Ok(StartReply::Started { clock_ms }),
                    Ok(Reply::Refused(reply)) => Ok(reply),
                    Ok(_) => Err(CallError::NoAnswer),
                    Err(error) => Err(error),
                };
                let worker = call.to.worker.clone();
                Event::Started { task: call.task, run: call.run, worker, reply }
            }
            Self::Pace(call) => {
                let reply = match result {
                    Ok(Reply::Stopped) => Ok(()),
                    Ok(_) => Err(CallError::NoAnswer),
                    Err(error) => Err(error),
                };
                let worker = call.to.worker.clone();
                Event::Paced { task: call.task, run: call.run, worker, reply }
            }
            Self::Stop(call) => {
                let reply = match result {
                    Ok(Reply::Stopped) => Ok(()),
                    Ok(Reply::Superseded) => Err(CallError::Superseded),
                    Ok(_) => Err(CallError::NoAnswer),
                    Err(error) => Err(error),
                };
                let worker = call.to.worker.clone();
                Event::Stopped { task: call.task, run: call.run, worker, reply }
            }
        }
    }
}

impl Worker {
    pub fn new(name: WorkerId, clock_slow_permille: u64, lease_max_ms: u64) -> Self {
        Self {
            address: format!("at {name}"),
            name,
            up: true,
            isolated: false,
            refuses_connections: false,
            permanently_isolated: false,
            hung: false,
            capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 40, accelerators: 0 },
            rack: "r1",
            draining: false,
            active: BTreeMap::new(),
            completed: BTreeSet::new(),
            gang_ends: BTreeSet::new(),
            clock_slow_permille,
            incarnation: 1,
            incarnation_start_ms: 0,
            token: 0,
            lease_end_ms: 0,
            lease_max_ms,
            ended: Vec::new(),
            ends_listed_max: 500,
            next_end: 1,
            void_up_to: 0,
            closed_runs: BTreeMap::new(),
        }
    }

    pub fn update(&self) -> WorkerUpdate {
        WorkerUpdate {
            worker: self.name.clone(),
            address: self.address.clone(),
            service: "pool".to_owned(),
            zone: ZoneName::new("a"),
            capacity: self.capacity,
            labels: vec!["a".to_owned(), self.rack.to_owned()],
            draining: self.draining,
            remaining_ms: None,
            incarnation: self.incarnation,
        }
    }

    pub fn crash(&mut self, now_ms: u64) {
        let restarted = Self::new(self.name.clone(), self.clock_slow_permille, self.lease_max_ms);
        let completed = std::mem::take(&mut self.completed);
        *self = Self {
            up: false,
            isolated: self.isolated,
            refuses_connections: self.refuses_connections,
            rack: self.rack,
            ends_listed_max: self.ends_listed_max,
            permanently_isolated: self.permanently_isolated,
            incarnation: self.incarnation + 1,
            incarnation_start_ms: now_ms,
            completed,
            ..restarted
        };
    }

    /// The worker's own clock, which starts anew with each incarnation and may run slow by
    /// less than 2 %.
    fn clock(&self, now_ms: u64) -> u64 {
        let start_ms = if self.incarnation % 2 == 1 { CLOCK_START_MS } else { 0 };
        let passed_ms = now_ms - self.incarnation_start_ms;
        start_ms + passed_ms - passed_ms * self.clock_slow_permille / 1_000
    }

    /// Forgets the ends up to a number and returns those that complete a task. Does nothing
    /// for a fencing token below the highest one seen.
    pub fn forget(&mut self, up_to: u64, token: u64) -> Vec<EndedRun> {
        if token < self.token {
            return Vec::new();
        }
        let (acknowledged, remaining): (Vec<EndedRun>, Vec<EndedRun>) =
            self.ended.drain(..).partition(|ended| ended.number <= up_to);
        self.ended = remaining;
        let void_up_to = self.void_up_to;
        let is_completion =
            |ended: &EndedRun| ended.end == RunOutcome::Done && ended.number > void_up_to;
        acknowledged.into_iter().filter(is_completion).collect()
    }

    /// The ends of a task as done that are listed still, by their numbers.
    pub fn listed_completions(&self, task: TaskId) -> impl Iterator<Item = &EndedRun> {
        self.ended.iter().filter(move |ended| ended.task == task && ended.end == RunOutcome::Done)
    }

    pub fn handle(&mut self, call: &Call, now_ms: u64) -> Reply {
        let token = match call {
            Call::Hold(call) => call.to.token,
            Call::Start(call) => call.to.token,
            Call::Stop(call) => call.to.token,
            Call::Pace(call) => call.to.token,
        };
        if token < self.token {
            return match call {
                Call::Start(_) => Reply::Refused(StartReply::Superseded),
                _ => Reply::Superseded,
            };
        }
        self.token = token;
        match call {
            Call::Hold(call) => self.hold(call, now_ms),
            Call::Start(call) => self.start(call, now_ms),
            Call::Stop(call) => self.stop(call, now_ms),
            Call::Pace(call) => self.pace(call),
        }
    }

    fn hold(&mut self, call: &HoldCall, now_ms: u64) -> Reply {
        self.extend_lease(call.until_ms, now_ms);
        if call.wait_ms > 0 && self.ended.is_empty() {
            return Reply::Waiting;
        }
        // Response times grow with the pace of the best-effort runs on the worker.
        let best_effort_percent = self.best_effort_pace_percent();
        let active = |((task, run), running): (&(TaskId, u32), &Run)| ActiveRun {
            task: *task,
            run: *run,
            checkpoint: running.checkpoint(),
            percent: running.percent() as u32,
            load: if running.best_effort {
                0
            } else {
                best_effort_percent * RESPONSE_MS_PER_TASK / 100
            },
        };
        Reply::Hold(HoldReply {
            clock_ms: self.clock(now_ms),
            life: self.incarnation,
            active: self.active.iter().map(active).collect(),
            ended: self.ended.iter().take(self.ends_listed_max).cloned().collect(),
            may_have_more_ended: self.ended.len() >= self.ends_listed_max,
        })
    }

    fn extend_lease(&mut self, until_ms: Option<u64>, now_ms: u64) {
        let longest = self.clock(now_ms) + self.lease_max_ms;
        let until_ms = until_ms.unwrap_or(0).min(longest);
        self.lease_end_ms = self.lease_end_ms.max(until_ms);
    }

    fn start(&mut self, call: &StartCall, now_ms: u64) -> Reply {
        if self.active.contains_key(&(call.task, call.run)) {
            return Reply::Refused(StartReply::Started { clock_ms: self.clock(now_ms) });
        }
        if call.until_ms <= self.clock(now_ms) {
            return Reply::Refused(StartReply::TooLate);
        }
        self.extend_lease(Some(call.until_ms), now_ms);
        let newest = self.active.keys().filter(|(task, _)| *task == call.task).map(|(_, run)| *run);
        let newest = newest.chain(self.closed_runs.get(&call.task).copied()).max();
        if newest.is_some_and(|run| run >= call.run) {
            return Reply::Refused(StartReply::OldRun);
        }
        Reply::Started { clock_ms: self.clock(now_ms) }
    }

    /// Begins the run of a start that was accepted.
    pub fn start_run(
        &mut self,
        call: &StartCall,
        now_ms: u64,
        duration_ms: u64,
        will_fail: bool,
        gang: Option<u32>,
        step: &StepSpec,
    ) {
        let run = Run {
            demand: step.worker_demand(),
            started_ms: now_ms,
            duration_ms,
            will_fail,
            gang,
            worked_ms: call.checkpoint.parse().unwrap_or(0),
            best_effort: step.fills,
            long_running: step.long_running,
            checkpoints: step.checkpoints,
            pace: 100,
            stop_due_ms: None,
        };
        self.active.insert((call.task, call.run), run);
    }

    /// What its active runs leave of its capacity.
    pub fn free(&self) -> Resources {
        let used = self.active.values().map(|run| run.demand);
        used.fold(self.capacity, |free, demand| free.minus(&demand))
    }

    /// Whether it is reachable and will stay.
    pub fn takes_tasks(&self) -> bool {
        let is_cut_off = self.isolated || self.permanently_isolated || self.refuses_connections;
        self.up && !is_cut_off && !self.draining
    }

    /// The number of active tasks of a job.
    pub fn active_tasks_of(&self, job: u64) -> usize {
        self.active.keys().filter(|(task, _)| task.step.job.0 == job).count()
    }

    /// The progress of the most advanced run, in percent.
    pub fn furthest_percent(&self) -> u64 {
        self.active.values().map(Run::percent).max().unwrap_or(0)
    }

    /// The sum of the paces of the best-effort runs, in percent of one run at full pace.
    pub fn best_effort_pace_percent(&self) -> u64 {
        self.active.values().filter(|run| run.best_effort).map(|run| run.pace).sum()
    }

    fn pace(&mut self, call: &PaceCall) -> Reply {
        if let Some(run) = self.active.get_mut(&(call.task, call.run)) {
            run.pace = u64::from(call.percent);
        }
        Reply::Stopped
    }

    fn stop(&mut self, call: &StopCall, now_ms: u64) -> Reply {
        let highest = self.closed_runs.entry(call.task).or_insert(0);
        *highest = (*highest).max(call.run);
        if let Some(run) = self.active.get_mut(&(call.task, call.run)) {
            run.stop_due_ms.get_or_insert(now_ms + STOP_DURATION_MS);
        }
        Reply::Stopped
    }

    /// Advances the runs by 5 ms and ends those that are due. `running_members` counts the
    /// active runs of all workers by step and run number.
    pub fn advance(&mut self, now_ms: u64, running_members: &BTreeMap<(StepId, u32), u32>) {
        let lease_expired = self.clock(now_ms) > self.lease_end_ms;
        if lease_expired {
            self.void_up_to = self.next_end - 1;
        }
        let mut ends = Vec::new();
        for ((task, run), running) in &mut self.active {
            let members = running_members.get(&(task.step, *run)).copied().unwrap_or(0);
            let gang_is_complete = running.gang.is_none_or(|all| members >= all);
            if gang_is_complete && !self.hung {
                running.worked_ms += 5;
            }
            let gang_timed_out = !gang_is_complete
                && running.worked_ms == 0
                && running.started_ms + GANG_TIMEOUT_MS < now_ms;
            let is_finished = gang_is_complete && running.worked_ms >= running.duration_ms;
            let end = if lease_expired {
                RunOutcome::Lapsed
            } else if running.stop_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
                RunOutcome::Stopped
            } else if is_finished && running.will_fail {
                RunOutcome::Failed
            } else if is_finished {
                RunOutcome::Done
            } else if gang_timed_out {
                RunOutcome::Alone
            } else {
                continue;
            };
            ends.push((*task, *run, end));
        }
        for (task, run, end) in ends {
            self.end(task, run, end);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, end: RunOutcome) {
        let Some(running) = self.active.remove(&(task, run)) else { return };
        let checkpoint = running.checkpoint();
        if running.gang.is_some() {
            self.gang_ends.insert((task.step, run, end == RunOutcome::Done));
        }
        if end == RunOutcome::Done {
            self.completed.insert(task);
        }
        let highest = self.closed_runs.entry(task).or_insert(0);
        *highest = (*highest).max(run);
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(EndedRun { number, task, run, end, checkpoint });
    }

    /// Ends the local members of gangs that ended on any worker.
    pub fn break_gangs(&mut self, ended: &BTreeSet<(StepId, u32, bool)>) {
        let local_runs: Vec<(TaskId, u32)> = self.active.keys().copied().collect();
        for (task, run) in local_runs {
            if ended.contains(&(task.step, run, true)) {
                self.end(task, run, RunOutcome::Done);
            } else if ended.contains(&(task.step, run, false)) {
                self.end(task, run, RunOutcome::Broken);
            }
        }
        self.gang_ends.clear();
    }
}
