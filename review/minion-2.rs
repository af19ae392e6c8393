//! Minions. What a task does stands in its job's `spec`, one part for each step: `;` separates the
//! parts, `,` the fields of a part.
//!
//! - `work=MS`: how long it works at full pace; without it, the task lasts.
//! - `end=HOW`: how it ends then (`done`).
//! - `fails=MS`: the first run of the step's first task fails after this time, that of the next one
//!   [`FAILS_APART_MS`] later, and so on.
//! - `saves=MS`: the time between two checkpoints.
//! - `cpu=N`: what it takes of the minion, for the check.
//! - `gang=N`: it works only while N members of the same run are there.
//! - `tail=MS`: it serves users; their response time with nothing beside it.
//! - `hurts=MS`: what it adds to that time of the serving tasks beside it at full pace.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, serve, spawn};
use crate::json::{Json, quoted};
use crate::record::Record;

const TICK: Duration = Duration::from_millis(20);
/// The report of a load is the mean of so many ticks: half a second.
const LOAD_TICKS: usize = 25;
const ENDS_MAX: usize = 500;
const PACE_DELAY: Duration = Duration::from_millis(100);
const FAILS_APART_MS: f64 = 2_500.0;
const RESTORE_MS: f64 = 250.0;

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: [String; 2],
    pub cpu: u64,
    began: Instant,
    born_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    hooks: Arc<Hooks>,
}

/// The disruptions that the minions play.
#[derive(Default)]
pub struct Hooks {
    /// The next order that sets this pace or a higher one is left without an answer.
    pub late_pace_from: AtomicU64,
    /// Whether such an order was received.
    pub late_pace_taken: AtomicBool,
    /// How much later it is carried out.
    pub late_ms: AtomicU64,
    /// How much tasks that fill hurt now, in percent of `hurts`.
    pub hurt_percent: AtomicU64,
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    active: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
}

struct Run {
    task: String,
    number: u64,
    does: Behaviour,
    worked_ms: f64,
    saved: String,
    pace: u64,
    next_pace: Option<(Instant, u64)>,
    loads: VecDeque<f64>,
    tail: f64,
}

#[derive(Clone, Default)]
struct Behaviour {
    work_ms: Option<f64>,
    end: String,
    fails_ms: Option<f64>,
    saves_ms: Option<f64>,
    cpu: u64,
    gang: usize,
    tail_ms: Option<f64>,
    hurts_ms: f64,
}

/// What a serving task's users see.
pub struct Tail {
    /// The response time now.
    pub now_ms: f64,
    /// The same without the tasks that fill beside it.
    pub alone_ms: f64,
}

impl Minion {
    pub fn start(
        number: usize,
        zone: &str,
        labels: [String; 2],
        cpu: u64,
        record: &Arc<Record>,
        hooks: &Arc<Hooks>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let minion = Arc::new(Self {
            id: format!("i-{:08x}", 0x7f3a_0000 + number * 257),
            address: listener.local_addr().expect("bound"),
            zone: zone.to_owned(),
            labels,
            cpu,
            began: Instant::now(),
            born_ms: since_1970.as_millis() as u64,
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            hooks: Arc::clone(hooks),
        });
        let served = Arc::clone(&minion);
        serve(listener, move |request| served.answer(&request));
        minion
    }

    /// The minion's entry in the store.
    pub fn entry(&self, service: &str, sequence: u64) -> String {
        let [kind, rack] = [&self.labels[0], &self.labels[1]].map(|label| quoted(label));
        format!(
            r#"{{"service":{},"address":"{}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{},"mem_mb":65536,"gpu":0}},"labels":[{kind},{rack}],"clock_ms":{},"sequence":{sequence},"born":{}}}"#,
            quoted(service),
            self.address,
            self.zone,
            self.cpu,
            self.clock_ms(),
            self.born_ms
        )
    }

    /// How many more tasks of this demand the minion has room for.
    pub fn places(&self, cpu: u64) -> u64 {
        let used: u64 = self.lock().active.iter().map(|run| run.does.cpu).sum();
        self.cpu.saturating_sub(used) / cpu.max(1)
    }

    /// What the tasks on it take together.
    pub fn used(&self) -> u64 {
        self.lock().active.iter().map(|run| run.does.cpu).sum()
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.lock().active.iter().map(|run| run.task.clone()).collect()
    }

    /// What the users of the serving tasks here see.
    pub fn tails(&self) -> Vec<Tail> {
        let state = self.lock();
        let serving = state.active.iter().filter_map(|run| Some((run, run.does.tail_ms?)));
        serving.map(|(run, alone_ms)| Tail { now_ms: run.tail, alone_ms }).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        if request.path == "/healthz" {
            return Some((200, "{}".into()));
        }
        if request.header("x-expect-instance") != self.id {
            return Some((421, "{}".into()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".into())) };
        let token = body.get("fencing_token").number().unwrap_or(0);
        {
            let mut state = self.lock();
            if token < state.fence {
                return self.refusal("fence");
            }
            state.fence = token;
        }
        match request.path.as_str() {
            "/hold" => self.hold(&body),
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/pace" => self.pace(&body),
            _ => Some((404, "{}".into())),
        }
    }

    fn simple(&self) -> Answer {
        Some((200, format!(r#"{{"clock_ms":{},"born":{}}}"#, self.clock_ms(), self.born_ms)))
    }

    fn refusal(&self, reason: &str) -> Answer {
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        Some((409, format!(r#"{{"clock_ms":{clock_ms},"born":{born_ms},"reason":"{reason}"}}"#)))
    }

    fn hold(&self, body: &Json) -> Answer {
        let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        let mut state = self.lock();
        state.until_ms = state.until_ms.max(body.get("until_ms").number().unwrap_or(0));
        let is_noted = |(number, ..): &&(u64, _, _, _, _)| *number <= cursor;
        for (number, task, run, how, _) in state.ended.iter().filter(is_noted) {
            self.record.note_taken(task, how);
            self.record
                .line(&format!("{} end {number} of {task} run {run} is taken note of", self.id));
        }
        state.ended.retain(|(number, ..)| *number > cursor);
        while state.ended.is_empty() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
        let active: Vec<String> = state
            .active
            .iter()
            .map(|run| {
                let load = run.loads.iter().sum::<f64>() / run.loads.len().max(1) as f64;
                let (task, number) = (&run.task, run.number);
                let (saved, percent) = (quoted(&run.saved), run.percent());
                format!(r#"["{task}",{number},{saved},{percent},{}]"#, load as u64)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(ENDS_MAX)
            .map(|(number, task, run, how, saved)| {
                format!(r#"[{number},"{task}",{run},"{how}",{}]"#, quoted(saved))
            })
            .collect();
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        let (active, ended) = (active.join(","), ended.join(","));
        Some((
            200,
            format!(
                r#"{{"clock_ms":{clock_ms},"born":{born_ms},"active":[{active}],"ended_at":[{ended}]}}"#
            ),
        ))
    }

    fn start_run(&self, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let number = body.get("run_id").number().unwrap_or(0);
        let until_ms = body.get("until_ms").number().unwrap_or(0);
        let mut state = self.lock();
        if state.active.iter().any(|run| run.task == task && run.number == number) {
            return self.simple();
        }
        state.until_ms = state.until_ms.max(until_ms);
        if state.barred.get(&task).is_some_and(|barred| number <= *barred) {
            return self.refusal("old");
        }
        if until_ms <= self.clock_ms() {
            return self.refusal("late");
        }
        let saved = body.get("checkpoint").text().to_owned();
        self.record.note_start(&self.id, &task, number);
        let does = Behaviour::of(body.get("spec").text(), &task, number);
        let worked_ms = match saved.strip_prefix("at-") {
            Some(worked_ms) => worked_ms.parse::<f64>().unwrap_or(0.0) - RESTORE_MS,
            None => 0.0,
        };
        state.active.push(Run {
            task,
            number,
            does,
            worked_ms,
            saved,
            pace: 100,
            next_pace: None,
            loads: VecDeque::new(),
            tail: 0.0,
        });
        self.simple()
    }

    fn stop_run(&self, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let number = body.get("run_id").number().unwrap_or(0);
        let mut state = self.lock();
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = number.max(*barred);
        let found = state.active.iter().position(|run| run.task == task && run.number == number);
        if let Some(index) = found {
            self.end_run(&mut state, index, "stopped");
        }
        self.simple()
    }

    fn pace(self: &Arc<Self>, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let number = body.get("run_id").number().unwrap_or(0);
        let percent = body.get("percent").number().unwrap_or(100);
        let from = self.hooks.late_pace_from.load(Ordering::Relaxed);
        let is_late = from > 0
            && percent >= from
            && !self.hooks.late_pace_taken.swap(true, Ordering::Relaxed);
        if is_late {
            let late_ms = self.hooks.late_ms.load(Ordering::Relaxed);
            self.record.line(&format!(
                "{} leaves the order of pace {percent} for {task} run {number} without an answer",
                self.id
            ));
            let minion = Arc::clone(self);
            spawn(move || {
                std::thread::sleep(Duration::from_millis(late_ms));
                minion.set_pace(&task, number, percent, " late");
            });
            return None;
        }
        if !self.set_pace(&task, number, percent, "") {
            return self.refusal("old");
        }
        self.simple()
    }

    fn set_pace(&self, task: &str, number: u64, percent: u64, how: &str) -> bool {
        let mut state = self.lock();
        let found = state.active.iter_mut().find(|run| run.task == task && run.number == number);
        let Some(run) = found else { return false };
        run.next_pace = Some((Instant::now() + PACE_DELAY, percent));
        self.record
            .line(&format!("{} sets the pace of {task} run {number} to {percent}{how}", self.id));
        true
    }

    fn end_run(&self, state: &mut State, index: usize, how: &'static str) {
        let run = state.active.remove(index);
        state.last_end += 1;
        let barred = state.barred.entry(run.task.clone()).or_default();
        *barred = run.number.max(*barred);
        self.record.line(&format!("{} {} run {} ends {how}", self.id, run.task, run.number));
        self.record.note_end(&run.task, how);
        state.ended.push((state.last_end, run.task, run.number, how, run.saved));
        self.changed.notify_all();
    }

    /// Lets the tasks work for a while. `gangs` has the number of members of each run of a gang.
    fn work(&self, passed_ms: f64, gangs: &BTreeMap<(String, u64), usize>, now: Instant) {
        let mut state = self.lock();
        if state.until_ms <= self.clock_ms() {
            while !state.active.is_empty() {
                self.end_run(&mut state, 0, "lapsed");
            }
        }
        let hurt_percent = self.hooks.hurt_percent.load(Ordering::Relaxed) as f64 / 100.0;
        let hurt: f64 = state
            .active
            .iter()
            .map(|run| run.does.hurts_ms * hurt_percent * run.pace as f64 / 100.0)
            .sum();
        let mut ends = Vec::new();
        for (index, run) in state.active.iter_mut().enumerate() {
            if let Some((due, pace)) = run.next_pace
                && due <= now
            {
                run.pace = pace;
                run.next_pace = None;
            }
            run.tail = run.does.tail_ms.map_or(0.0, |tail_ms| tail_ms + hurt);
            let load = if run.does.tail_ms.is_some() { run.tail } else { run.does.cpu as f64 };
            run.loads.push_back(load);
            if run.loads.len() > LOAD_TICKS {
                run.loads.pop_front();
            }
            let members = gangs.get(&run.gang_key()).copied().unwrap_or(1);
            if members >= run.does.gang {
                run.worked_ms += passed_ms * run.pace as f64 / 100.0;
            }
            if let Some(saves_ms) = run.does.saves_ms {
                let saves = (run.worked_ms / saves_ms).floor();
                if saves >= 1.0 {
                    run.saved = format!("at-{:013.0}", saves * saves_ms);
                }
            }
            if run.does.fails_ms.is_some_and(|fails_ms| run.worked_ms >= fails_ms) {
                ends.push((index, "failed"));
            } else if run.does.work_ms.is_some_and(|work_ms| run.worked_ms >= work_ms) {
                ends.push((index, if run.does.end == "failed" { "failed" } else { "done" }));
            }
        }
        for (index, how) in ends.into_iter().rev() {
            self.end_run(&mut state, index, how);
        }
    }
}

impl Run {
    fn percent(&self) -> u64 {
        let work_ms = self.does.work_ms.unwrap_or(1.0);
        (self.worked_ms * 100.0 / work_ms).clamp(0.0, 100.0) as u64
    }

    fn gang_key(&self) -> (String, u64) {
        let step = self.task.rsplit_once('.').map_or("", |(step, _)| step);
        (step.to_owned(), self.number)
    }
}

impl Behaviour {
    fn of(spec: &str, task: &str, run: u64) -> Self {
        let words: Vec<&str> = task.split('.').collect();
        let step: usize = words.get(2).and_then(|word| word.parse().ok()).unwrap_or(0);
        let part = spec.split(';').nth(step).unwrap_or("");
        let mut does = Self::default();
        for field in part.split(',') {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            let number: Option<f64> = value.parse().ok();
            match name {
                "work" => does.work_ms = number,
                "end" => does.end = value.to_owned(),
                "fails" if run == 1 => {
                    let index: f64 = words.last().and_then(|word| word.parse().ok()).unwrap_or(0.0);
                    does.fails_ms = number.map(|number| number + index * FAILS_APART_MS);
                }
                "saves" => does.saves_ms = number,
                "cpu" => does.cpu = number.unwrap_or(0.0) as u64,
                "gang" => does.gang = number.unwrap_or(0.0) as usize,
                "tail" => does.tail_ms = number,
                "hurts" => does.hurts_ms = number.unwrap_or(0.0),
                _ => {}
            }
        }
        does
    }
}

/// Lets the tasks on all minions work for as long as the program runs.
pub fn run_tasks(minions: Vec<Arc<Minion>>) {
    spawn(move || {
        let mut last = Instant::now();
        loop {
            std::thread::sleep(TICK);
            let now = Instant::now();
            let passed_ms = (now - last).as_secs_f64() * 1_000.0;
            last = now;
            let mut gangs = BTreeMap::new();
            for minion in &minions {
                for run in minion.lock().active.iter().filter(|run| run.does.gang > 0) {
                    *gangs.entry(run.gang_key()).or_insert(0) += 1;
                }
            }
            for minion in &minions {
                minion.work(passed_ms, &gangs, now);
            }
        }
    });
}
