//! A worker by the rules of its protocol.

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

/// How long a gang's member waits for the others.
const GANG_MS: u64 = 3_000;
/// Response time of a serving task for each filler at full pace beside it.
pub const RESPONSE_MS: u64 = 100;
/// How long a stop takes.
const STOP_MS: u64 = 300;

/// A call under way.
pub enum Call {
    Hold(HoldCall),
    Start(StartCall),
    Stop(StopCall),
    Pace(PaceCall),
}

/// What a worker says.
pub enum Reply {
    Lists(HoldReply),
    Waits,
    Started,
    Refused(StartReply),
    Stopped,
    Superseded,
}

/// A run at work.
pub struct Run {
    pub room: Resources,
    begun_ms: u64,
    takes_ms: u64,
    fails: bool,
    gang: Option<u32>,
    worked_ms: u64,
    fills: bool,
    saves: bool,
    /// In hundredths.
    pace: u64,
    stops_ms: Option<u64>,
}

/// A worker.
pub struct Worker {
    pub name: WorkerId,
    pub up: bool,
    pub cut: bool,
    /// Cut off by something that refuses connections in its place.
    pub refuses: bool,
    /// Cut off for good.
    pub dark: bool,
    /// Tasks make no progress.
    pub hangs: bool,
    pub capacity: Resources,
    pub rack: &'static str,
    /// Whether it leaves soon.
    pub draining: bool,
    pub active: BTreeMap<(TaskId, u32), Run>,
    pub was_done: BTreeSet<TaskId>,
    pub gang_ends: BTreeSet<(StepId, u32, bool)>,
    pub incarnation: u64,
    slow_permille: u64,
    began_ms: u64,
    token: u64,
    until_ms: u64,
    ended: Vec<EndedRun>,
    next_end: u64,
    /// Ends up to this number were listed when the lease lapsed; they count for nothing.
    void_up_to: u64,
    stopped: BTreeMap<TaskId, u32>,
}

impl Run {
    /// What it has saved: the work it had done at the last full tenth of a second.
    fn checkpoint(&self) -> String {
        if self.saves { format!("{}", self.worked_ms / 100 * 100) } else { String::new() }
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

    /// The same hold, with less time left to wait.
    pub fn waited(self, ms: u64) -> Self {
        match self {
            Self::Hold(call) => {
                Self::Hold(HoldCall { wait_ms: call.wait_ms.saturating_sub(ms), ..call })
            }
            other => other,
        }
    }

    /// The news that the scheduler gets.
    pub fn event(&self, result: Result<Reply, CallError>) -> Event {
        match self {
            Self::Hold(call) => {
                let reply = match result {
                    Ok(Reply::Lists(lists)) => Ok(lists),
                    Ok(Reply::Superseded) => Err(CallError::Superseded),
                    Ok(_) => Err(CallError::NoAnswer),
                    Err(error) => Err(error),
                };
                Event::Held { worker: call.to.worker.clone(), turn: call.turn, reply }
            }
            Self::Start(call) => {
                let reply = match result {
                    Ok(Reply::Started) => Ok(StartReply::Started),
                    Ok(Reply::Refused(why)) => Ok(why),
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
    pub fn new(name: WorkerId, slow_permille: u64) -> Self {
        Self {
            name,
            up: true,
            cut: false,
            refuses: false,
            dark: false,
            hangs: false,
            capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 40, accelerators: 0 },
            rack: "r1",
            draining: false,
            active: BTreeMap::new(),
            was_done: BTreeSet::new(),
            gang_ends: BTreeSet::new(),
            slow_permille,
            incarnation: 1,
            began_ms: 0,
            token: 0,
            until_ms: 0,
            ended: Vec::new(),
            next_end: 1,
            void_up_to: 0,
            stopped: BTreeMap::new(),
        }
    }

    pub fn update(&self) -> WorkerUpdate {
        WorkerUpdate {
            worker: self.name.clone(),
            address: format!("at {}", self.name),
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
        let fresh = Self::new(self.name.clone(), self.slow_permille);
        let was_done = std::mem::take(&mut self.was_done);
        *self = Self {
            up: false,
            cut: self.cut,
            refuses: self.refuses,
            rack: self.rack,
            dark: self.dark,
            incarnation: self.incarnation + 1,
            began_ms: now_ms,
            was_done,
            ..fresh
        };
    }

    fn clock(&self, now_ms: u64) -> u64 {
        let passed_ms = now_ms - self.began_ms;
        passed_ms - passed_ms * self.slow_permille / 1_000
    }

    /// Forgets ends; gives the tasks that were done by them.
    pub fn forget(&mut self, up_to: u64, token: u64) -> Vec<TaskId> {
        if token < self.token {
            return Vec::new();
        }
        let (gone, rest): (Vec<EndedRun>, Vec<EndedRun>) =
            self.ended.drain(..).partition(|ended| ended.number <= up_to);
        self.ended = rest;
        let void_up_to = self.void_up_to;
        let counts = |ended: &EndedRun| ended.end == RunOutcome::Done && ended.number > void_up_to;
        gone.into_iter().filter(counts).map(|ended| ended.task).collect()
    }

    pub fn answer(&mut self, call: &Call, now_ms: u64) -> Reply {
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
        self.extend(call.until_ms, now_ms);
        if call.wait_ms > 0 && self.ended.is_empty() {
            return Reply::Waits;
        }
        // Response times grow with the pace of what fills beside.
        let filling = self.filling_percent();
        let active = |((task, run), at_work): (&(TaskId, u32), &Run)| ActiveRun {
            task: *task,
            run: *run,
            checkpoint: at_work.checkpoint(),
            percent: (at_work.worked_ms * 100 / at_work.takes_ms.max(1)) as u32,
            load: if at_work.fills { 0 } else { filling * RESPONSE_MS / 100 },
        };
        Reply::Lists(HoldReply {
            clock_ms: self.clock(now_ms),
            life: self.incarnation,
            active: self.active.iter().map(active).collect(),
            ended: self.ended.clone(),
        })
    }

    fn extend(&mut self, until_ms: Option<u64>, now_ms: u64) {
        let longest = self.clock(now_ms) + super::LEASE_MS;
        let until_ms = until_ms.unwrap_or(0).min(longest);
        self.until_ms = self.until_ms.max(until_ms);
    }

    fn start(&mut self, call: &StartCall, now_ms: u64) -> Reply {
        if self.active.contains_key(&(call.task, call.run)) {
            return Reply::Refused(StartReply::Started);
        }
        if call.until_ms <= self.clock(now_ms) {
            return Reply::Refused(StartReply::TooLate);
        }
        self.extend(Some(call.until_ms), now_ms);
        let newest = self.active.keys().filter(|(task, _)| *task == call.task).map(|(_, run)| *run);
        let newest = newest.chain(self.stopped.get(&call.task).copied()).max();
        if newest.is_some_and(|run| run >= call.run) {
            return Reply::Refused(StartReply::OldRun);
        }
        Reply::Started
    }

    /// The run that a start has just begun.
    pub fn begin(
        &mut self,
        call: &StartCall,
        now_ms: u64,
        takes_ms: u64,
        fails: bool,
        gang: Option<u32>,
        step: &StepSpec,
    ) {
        let run = Run {
            room: step.worker_demand(),
            begun_ms: now_ms,
            takes_ms,
            fails,
            gang,
            worked_ms: call.checkpoint.parse().unwrap_or(0),
            fills: step.fills,
            saves: step.checkpoints,
            pace: 100,
            stops_ms: None,
        };
        self.active.insert((call.task, call.run), run);
    }

    /// How far the run is that is nearest to its end, in hundredths.
    pub fn furthest_percent(&self) -> u64 {
        let percent = |run: &Run| run.worked_ms * 100 / run.takes_ms.max(1);
        self.active.values().map(percent).max().unwrap_or(0)
    }

    /// The pace of all that fills here together, in hundredths.
    pub fn filling_percent(&self) -> u64 {
        self.active.values().filter(|run| run.fills).map(|run| run.pace).sum()
    }

    fn pace(&mut self, call: &PaceCall) -> Reply {
        if let Some(run) = self.active.get_mut(&(call.task, call.run)) {
            run.pace = u64::from(call.percent);
        }
        Reply::Stopped
    }

    fn stop(&mut self, call: &StopCall, now_ms: u64) -> Reply {
        let highest = self.stopped.entry(call.task).or_insert(0);
        *highest = (*highest).max(call.run);
        if let Some(run) = self.active.get_mut(&(call.task, call.run)) {
            run.stops_ms.get_or_insert(now_ms + STOP_MS);
        }
        Reply::Stopped
    }

    /// Five milliseconds of work.
    pub fn work(&mut self, now_ms: u64, present: &BTreeMap<(StepId, u32), u32>) {
        let lapsed = self.clock(now_ms) > self.until_ms;
        if lapsed {
            self.void_up_to = self.next_end - 1;
        }
        let mut ends = Vec::new();
        for ((task, run), at_work) in &mut self.active {
            let members = present.get(&(task.step, *run)).copied().unwrap_or(0);
            let whole = at_work.gang.is_none_or(|all| members >= all);
            if whole && !self.hangs {
                at_work.worked_ms += 5;
            }
            let alone = !whole && at_work.worked_ms == 0 && at_work.begun_ms + GANG_MS < now_ms;
            let over = at_work.worked_ms >= at_work.takes_ms;
            let end = if lapsed {
                RunOutcome::Lapsed
            } else if at_work.stops_ms.is_some_and(|at| at <= now_ms) {
                RunOutcome::Stopped
            } else if over && at_work.fails {
                RunOutcome::Failed
            } else if over {
                RunOutcome::Done
            } else if alone {
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
        let Some(at_work) = self.active.remove(&(task, run)) else { return };
        let checkpoint = at_work.checkpoint();
        if at_work.gang.is_some() {
            self.gang_ends.insert((task.step, run, end == RunOutcome::Done));
        }
        if end == RunOutcome::Done {
            self.was_done.insert(task);
        }
        let highest = self.stopped.entry(task).or_insert(0);
        *highest = (*highest).max(run);
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(EndedRun { number, task, run, end, checkpoint });
    }

    /// Ends the members here of gangs that ended elsewhere.
    pub fn break_gangs(&mut self, ended: &BTreeSet<(StepId, u32, bool)>) {
        let mine: Vec<(TaskId, u32)> = self.active.keys().copied().collect();
        for (task, run) in mine {
            if ended.contains(&(task.step, run, true)) {
                self.end(task, run, RunOutcome::Done);
            } else if ended.contains(&(task.step, run, false)) {
                self.end(task, run, RunOutcome::Broken);
            }
        }
        self.gang_ends.clear();
    }
}
