//! Minions that run tasks under leases, and the record of all that they ran.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;

/// Longest lease (`hold_max_ms`).
pub const HOLD_MAX_MS: u64 = 6_000;
/// Time from the stop of a run to its end; at most `stop_ms`.
const STOP_MS: u64 = 100;
/// Most ends in one answer to a hold.
const ENDS_PER_ANSWER: usize = 500;
const TICK: Duration = Duration::from_millis(10);
pub const CAPACITY_CPU: u64 = 16_000;
pub const CAPACITY_MEM_MB: u64 = 65_536;

/// What a task does, as the case sets it.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// `u64::MAX` for a task that lasts.
    pub work_ms: u64,
    /// With `checkpointing`, the work between two checkpoints (`save_s`) and the length of a
    /// checkpoint in characters.
    pub saves: Option<(u64, usize)>,
    pub cpu: u64,
}

/// One run that a minion began.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    pub minion: usize,
    pub began_ms: u64,
    /// When it ended, how, and its number in the minion's list of ends.
    pub end: Option<(u64, &'static str, u64)>,
    /// When `ack_cursor` reached the end, if the minion's lease had not lapsed in between.
    pub noted_ms: Option<u64>,
    /// Whether the lease of the minion lapsed after the end and before it was taken note of.
    pub is_void: bool,
}

struct Active {
    record: usize,
    work: Work,
    began_ms: u64,
    stop_due_ms: Option<u64>,
}

struct Minion {
    id: String,
    /// When its process began; its clock counts from there.
    born_ms: u64,
    is_down: bool,
    fence: u64,
    until_ms: u64,
    active: BTreeMap<(String, u64), Active>,
    /// Number and index of the record, of the ends that were not forgotten.
    ends: BTreeMap<u64, usize>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
}

struct State {
    minions: Vec<Minion>,
    records: Vec<RunRecord>,
}

/// All minions.
pub struct Minions {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    started_unix_ms: u64,
    work_of: Box<dyn Fn(&str) -> Work + Send + Sync>,
}

impl Minions {
    /// Starts this many minions; returns their ids and addresses. `work_of` tells what a task
    /// does.
    pub fn start(
        count: usize,
        work_of: impl Fn(&str) -> Work + Send + Sync + 'static,
    ) -> (Arc<Self>, Vec<(String, SocketAddr)>) {
        let minion = |number: usize| Minion {
            ..Minion::new(format!("i-{:08x}", 0x51ab_0000 + number * 7919), 0)
        };
        let minions: Vec<Minion> = (0..count).map(minion).collect();
        let ids: Vec<String> = minions.iter().map(|minion| minion.id.clone()).collect();
        let all = Arc::new(Self {
            state: Mutex::new(State { minions, records: Vec::new() }),
            changed: Condvar::new(),
            started: Instant::now(),
            started_unix_ms: SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
                as u64,
            work_of: Box::new(work_of),
        });
        let mut addresses = Vec::new();
        for (number, id) in ids.into_iter().enumerate() {
            let serving = Arc::clone(&all);
            addresses.push((id, http::serve(move |request| serving.answer(number, request))));
        }
        let ticking = Arc::clone(&all);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        (all, addresses)
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A minion's entry in the store; `None` while it is down.
    pub fn entry(&self, number: usize, address: SocketAddr, zone: &str, sequence: u64) -> Option<Json> {
        let state = self.state.lock().expect("no panic");
        let minion = &state.minions[number];
        if minion.is_down {
            return None;
        }
        Some(obj(vec![
            ("service", text("sahay")),
            ("address", text(address.to_string())),
            ("zone", text(zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("cold_left_ms", num(0)),
            (
                "capacity",
                obj(vec![("cpu", num(CAPACITY_CPU)), ("mem_mb", num(CAPACITY_MEM_MB)), ("gpu", num(0))]),
            ),
            ("labels", Json::Arr(vec![text("a"), text(format!("r1-{}", number / 8))])),
            ("clock_ms", num(self.now_ms() - minion.born_ms)),
            ("sequence", num(sequence)),
            ("born", num(self.started_unix_ms + minion.born_ms)),
        ]))
    }

    /// Crashes a minion: it loses all that it runs and knows, and answers nothing until it is
    /// started again.
    pub fn crash(&self, number: usize) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().expect("no panic");
        let State { minions, records } = &mut *state;
        for active in minions[number].active.values() {
            records[active.record].end = Some((now_ms, "lost with its minion", 0));
        }
        let id = minions[number].id.clone();
        minions[number] = Minion { is_down: true, ..Minion::new(id, now_ms) };
        self.changed.notify_all();
    }

    /// Starts a crashed minion again, under the id that it had.
    pub fn restart(&self, number: usize) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().expect("no panic");
        let id = state.minions[number].id.clone();
        state.minions[number] = Minion::new(id, now_ms);
    }

    /// For each minion the processor time in thousandths of a core that its runs use.
    pub fn used_cpu(&self) -> Vec<u64> {
        let state = self.state.lock().expect("no panic");
        let used = |minion: &Minion| minion.active.values().map(|run| run.work.cpu).sum();
        state.minions.iter().map(used).collect()
    }

    /// All runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.lock().expect("no panic").records.clone()
    }

    /// The most ends that a minion lists and that were not taken note of.
    pub fn most_unnoted_ends(&self) -> usize {
        let state = self.state.lock().expect("no panic");
        state.minions.iter().map(|minion| minion.ends.len()).max().unwrap_or(0)
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        let body = request.json();
        let mut state = self.state.lock().expect("no panic");
        if state.minions[number].is_down {
            return Reply::Close;
        }
        if request.header("x-expect-instance").is_some_and(|id| id != state.minions[number].id) {
            return Reply::Answer(421, Json::Null);
        }
        if request.path == "/healthz" {
            return Reply::Answer(200, Json::Null);
        }
        let now_ms = self.now_ms();
        let born_ms = state.minions[number].born_ms;
        let clock_ms = now_ms - born_ms;
        let refuse = |reason: &str| {
            Reply::Answer(409, obj(vec![("clock_ms", num(clock_ms)), ("reason", text(reason))]))
        };
        let done = || Reply::Answer(200, obj(vec![("clock_ms", num(clock_ms))]));
        let token = body.get("fencing_token").u64();
        if token < state.minions[number].fence {
            return refuse("fence");
        }
        state.minions[number].fence = token;
        let (task, run) = (body.get("task").str().to_owned(), body.get("run_id").u64());
        match request.path.as_str() {
            "/run-start" => {
                let State { minions, records } = &mut *state;
                let minion = &mut minions[number];
                if minion.active.contains_key(&(task.clone(), run)) {
                    return done();
                }
                let until_ms = body.get("until_ms").u64();
                if until_ms <= clock_ms {
                    return refuse("late");
                }
                minion.extend(until_ms, clock_ms);
                let newest = minion.active.keys().filter(|(other, _)| *other == task).map(|(_, run)| *run);
                let newest = newest.chain(minion.highest.get(&task).copied()).max();
                if newest.is_some_and(|newest| newest >= run) {
                    return refuse("old");
                }
                let work = (self.work_of)(&task);
                let record = RunRecord {
                    task: task.clone(),
                    run,
                    minion: number,
                    began_ms: now_ms,
                    end: None,
                    noted_ms: None,
                    is_void: false,
                };
                records.push(record);
                let active =
                    Active { record: records.len() - 1, work, began_ms: now_ms, stop_due_ms: None };
                minion.active.insert((task, run), active);
                done()
            }
            "/run-stop" => {
                let minion = &mut state.minions[number];
                let highest = minion.highest.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(run);
                if let Some(active) = minion.active.get_mut(&(task, run)) {
                    active.stop_due_ms.get_or_insert(now_ms + STOP_MS);
                }
                done()
            }
            "/pace" => done(),
            "/hold" => {
                if let Some(until_ms) = body.get("until_ms").opt_u64() {
                    state.minions[number].extend(until_ms, clock_ms);
                }
                state.forget_ends(number, body.get("ack_cursor").u64(), now_ms);
                let end = Instant::now() + Duration::from_millis(body.get("wait_ms").u64().min(2_000));
                while state.minions[number].ends.is_empty() {
                    let now = Instant::now();
                    if now >= end {
                        break;
                    }
                    state = self.changed.wait_timeout(state, end - now).expect("no panic").0;
                    if state.minions[number].born_ms != born_ms {
                        // The process that took the call is gone.
                        return Reply::Close;
                    }
                }
                Reply::Answer(200, state.lists(number, self.now_ms(), self.started_unix_ms))
            }
            _ => Reply::Answer(404, Json::Null),
        }
    }

    fn tick(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().expect("no panic");
        let State { minions, records } = &mut *state;
        let mut has_ended = false;
        for minion in minions {
            let has_lapsed = now_ms - minion.born_ms > minion.until_ms;
            if has_lapsed {
                for record in minion.ends.values() {
                    records[*record].is_void = true;
                }
            }
            let mut ended = Vec::new();
            for (key, active) in &minion.active {
                let is_stopped = active.stop_due_ms.is_some_and(|due_ms| due_ms <= now_ms);
                let how = match () {
                    () if has_lapsed => "lapsed",
                    () if is_stopped => "stopped",
                    () if now_ms - active.began_ms >= active.work.work_ms => "done",
                    () => continue,
                };
                ended.push((key.clone(), how));
            }
            for (key, how) in ended {
                let Some(active) = minion.active.remove(&key) else { continue };
                let number = minion.next_end;
                minion.next_end += 1;
                minion.ends.insert(number, active.record);
                records[active.record].end = Some((now_ms, how, number));
                let highest = minion.highest.entry(key.0).or_insert(0);
                *highest = (*highest).max(key.1);
                has_ended = true;
            }
        }
        if has_ended {
            self.changed.notify_all();
        }
    }
}

impl Minion {
    fn new(id: String, born_ms: u64) -> Self {
        Self {
            id,
            born_ms,
            is_down: false,
            fence: 0,
            until_ms: 0,
            active: BTreeMap::new(),
            ends: BTreeMap::new(),
            next_end: 1,
            highest: HashMap::new(),
        }
    }

    fn extend(&mut self, until_ms: u64, clock_ms: u64) {
        self.until_ms = self.until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
    }
}

impl State {
    fn forget_ends(&mut self, number: usize, cursor: u64, now_ms: u64) {
        let left = self.minions[number].ends.split_off(&(cursor + 1));
        let forgotten = std::mem::replace(&mut self.minions[number].ends, left);
        for record in forgotten.into_values() {
            let record = &mut self.records[record];
            if !record.is_void {
                record.noted_ms = Some(now_ms);
            }
        }
    }

    /// The answer to a hold: all active runs, and at most 500 ends.
    fn lists(&self, number: usize, now_ms: u64, started_unix_ms: u64) -> Json {
        let minion = &self.minions[number];
        let active = minion.active.iter().map(|((task, run), active)| {
            let worked_ms = now_ms - active.began_ms;
            let is_lasting = active.work.work_ms == u64::MAX;
            let percent =
                if is_lasting { 100 } else { (worked_ms * 100 / active.work.work_ms.max(1)).min(99) };
            Json::Arr(vec![
                text(task),
                num(*run),
                text(checkpoint(task, &active.work, worked_ms)),
                num(percent),
                num(active.work.cpu),
            ])
        });
        let ends = minion.ends.iter().take(ENDS_PER_ANSWER).map(|(end, record)| {
            let record = &self.records[*record];
            let (_, how, _) = record.end.unwrap_or_default();
            Json::Arr(vec![
                num(*end),
                text(&record.task),
                num(record.run),
                text(how),
                text(""),
            ])
        });
        obj(vec![
            ("clock_ms", num(now_ms - minion.born_ms)),
            ("born", num(started_unix_ms + minion.born_ms)),
            ("active", Json::Arr(active.collect())),
            ("ended_at", Json::Arr(ends.collect())),
        ])
    }
}

/// The newest checkpoint of a run; empty if there is none.
fn checkpoint(task: &str, work: &Work, worked_ms: u64) -> String {
    let Some((_, chars)) = work.saves.filter(|(ms, _)| *ms > 0 && worked_ms >= *ms) else {
        return String::new();
    };
    let saves = worked_ms / work.saves.map_or(1, |(ms, _)| ms);
    let text = format!("{saves:08x}{}", &task[..8]);
    text.repeat(chars.div_ceil(text.len())).get(..chars).unwrap_or_default().to_owned()
}
