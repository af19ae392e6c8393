//! The scripts of this review, and two plays that its report names beside them (`cap`, `backlog`).
//! `cases NAME FOLDER` plays one and writes `FOLDER/record.txt`. The
//! exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

#[path = "cell-2.rs"]
mod cell;
#[path = "http-2.rs"]
mod http;
#[path = "json-2.rs"]
mod json;
#[path = "minion-2.rs"]
mod minion;
#[path = "record-2.rs"]
mod record;
#[path = "store-2.rs"]
mod store;

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cell::Cell;

/// `finish_s`, `harm_ms` and `contact_ms` of a small deployment.
const FINISH: Duration = Duration::from_secs(14);
const HARM: Duration = Duration::from_millis(4_000);
const CONTACT: Duration = Duration::from_millis(4_000);
/// The rule LOST: for so long a job has nothing running.
const NOTHING_RUNS: Duration = Duration::from_secs(3);
/// The rule LOST for a task that lasts: so long after its last run.
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(50);

/// Whether the rule was broken, or why the case could not run.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match name.as_str() {
        "again" => again(folder, trouble),
        "rows" => rows(folder, trouble),
        "gang" => gang(folder, trouble),
        "label" => label(folder, trouble),
        "pace" => pace(folder, trouble),
        "cap" => cap(folder, trouble),
        "backlog" => backlog(folder, trouble),
        _ => Err("no such case".to_owned()),
    };
    match verdict {
        Ok(true) => {
            println!("{name}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Err(why) => {
            println!("{name}: the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}

fn wait_until(limit: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_so() {
            return true;
        }
        std::thread::sleep(STEP);
    }
    false
}

/// How long something has been so on end.
#[derive(Default)]
struct Stretch(Option<Instant>);

impl Stretch {
    fn note(&mut self, is_so: bool) -> Duration {
        if !is_so {
            self.0 = None;
            return Duration::ZERO;
        }
        self.0.get_or_insert_with(Instant::now).elapsed()
    }
}

/// A task that lasts serves its users on one minion, and jobs that fill run beside it. One order
/// of pace is left without an answer and carried out 6 s later.
fn pace(folder: &str, trouble: bool) -> Verdict {
    const SERVING: &str = "5c0e7a21d94b36f8";
    const FILLING: &str = "6d1f8b32ea5c4709";
    let mut cell = Cell::start(folder, 48, 3)?;
    cell.wait_until_ready()?;
    let hooks = std::sync::Arc::clone(&cell.hooks);
    hooks.hurt_percent.store(5, Ordering::Relaxed);
    let serving = r#"{"count":1,"cpu":8000,"mem_mb":16384,"long_running":true,"image":"front","target_ms":50,"requirements":"r1-3"}"#;
    let filling = r#"{"count":2,"cpu":2000,"mem_mb":2048,"estimated_ms":100000,"fills":true,"image":"batch","requirements":"r1-3"}"#;
    if !cell.submit(0, SERVING, "cpu=8000,tail=20", serving)
        || !wait_until(Duration::from_secs(10), || cell.running(SERVING) == 1)
        || !cell.submit(2, FILLING, "work=100000,hurts=80", filling)
        || !wait_until(Duration::from_secs(10), || cell.running(FILLING) == 2)
    {
        return Err("the jobs did not start".to_owned());
    }
    let beside = |cell: &Cell| {
        let on = |prefix: &str| {
            cell.minions
                .iter()
                .filter(|minion| minion.running().iter().any(|task| task.starts_with(prefix)))
                .map(|minion| minion.id.clone())
                .collect::<Vec<_>>()
        };
        on(SERVING) == on(FILLING)
    };
    if !beside(&cell) {
        return Err("the tasks do not run beside each other".to_owned());
    }
    // The tasks that fill hurt; the scheduler paces them down. Then they hurt less for a while.
    hooks.hurt_percent.store(100, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(4));
    hooks.hurt_percent.store(5, Ordering::Relaxed);
    cell.record.line("the tasks that fill hurt little");
    hooks.late_ms.store(6_000, Ordering::Relaxed);
    if trouble {
        hooks.late_pace_from.store(60, Ordering::Relaxed);
        if !wait_until(Duration::from_secs(12), || hooks.late_pace_taken.load(Ordering::Relaxed)) {
            return Err("no order of pace came".to_owned());
        }
    } else {
        std::thread::sleep(Duration::from_millis(4_500));
    }
    std::thread::sleep(Duration::from_secs(2));
    hooks.hurt_percent.store(100, Ordering::Relaxed);
    cell.record.line("the tasks that fill hurt much");
    // The late order is carried out in 4 s; only what comes `contact_ms` after that counts.
    std::thread::sleep(Duration::from_secs(4) + CONTACT);
    cell.record.line("what is seen from now on counts");
    Ok(watch_tails(&cell, Duration::from_secs(20)))
}

/// Whether users of a serving task wait longer than 50 ms because of what fills beside it.
fn is_over(cell: &Cell) -> bool {
    let tails = cell.minions.iter().flat_map(|minion| minion.tails());
    tails.into_iter().any(|tail| tail.now_ms > 50.0 && tail.alone_ms <= 50.0)
}

/// Whether a serving task is over its target for `harm_ms` on end.
fn watch_tails(cell: &Cell, time: Duration) -> bool {
    let mut stretch = Stretch::default();
    let mut longest = Duration::ZERO;
    let end = Instant::now() + time;
    while Instant::now() < end {
        longest = longest.max(stretch.note(is_over(cell)));
        std::thread::sleep(STEP);
    }
    cell.record.line(&format!("longest time over the target: {} ms", longest.as_millis()));
    longest >= HARM
}

/// A job that lasts needs minions of one rack. Another job that needs them, too, fails whenever it
/// starts.
fn label(folder: &str, trouble: bool) -> Verdict {
    const SOUND: &str = "5c0e7a21d94b36f8";
    const HOPELESS: &str = "6d1f8b32ea5c4709";
    let mut cell = Cell::start(folder, 48, 3)?;
    cell.wait_until_ready()?;
    let sound = r#"{"count":8,"cpu":1000,"mem_mb":1024,"long_running":true,"requirements":"r1-3"}"#;
    let hopeless =
        r#"{"count":8,"cpu":1000,"mem_mb":1024,"long_running":true,"requirements":"r1-3"}"#;
    // Each task of the sound job fails once, the first one 12 s after its start.
    if !cell.submit(1, SOUND, "cpu=1000,fails=12000", sound)
        || !wait_until(Duration::from_secs(5), || cell.running(SOUND) == 8)
    {
        return Err("the sound job did not start".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    if trouble && !cell.submit(1, HOPELESS, "cpu=1000,work=300,end=failed", hopeless) {
        return Err("the hopeless job was not accepted".to_owned());
    }
    let mut broken: HashMap<String, Duration> = HashMap::new();
    let mut stretches: HashMap<String, Stretch> = HashMap::new();
    let end = Instant::now() + Duration::from_secs(45);
    while Instant::now() < end {
        for task in (0..8).map(|index| format!("{SOUND}.0.0.{index}")) {
            let since = cell.record.last_end(&task).map_or(Duration::ZERO, |end| end.elapsed());
            let rack = cell.minions.iter().filter(|minion| minion.labels[1] == "r1-3");
            let places: u64 = rack.map(|minion| minion.places(1_000)).sum();
            let is_lost = !cell.is_running(&task) && since >= AFTER_LAST_RUN && places >= 2;
            let lasted = stretches.entry(task.clone()).or_default().note(is_lost);
            if lasted >= NOTHING_RUNS {
                broken.insert(task, since);
            }
        }
        std::thread::sleep(STEP);
    }
    for (task, since) in &broken {
        cell.record.line(&format!(
            "{task} did not run for {} ms although minions of its rack had room",
            since.as_millis()
        ));
    }
    Ok(!broken.is_empty())
}

/// Half of the capacity is taken by a job that lasts and comes first. Then a large gang comes.
fn gang(folder: &str, trouble: bool) -> Verdict {
    const LASTING: &str = "5c0e7a21d94b36f8";
    const GANG: &str = "6d1f8b32ea5c4709";
    let mut cell = Cell::start(folder, 48, 3)?;
    cell.wait_until_ready()?;
    let lasting = r#"{"count":48,"cpu":7500,"mem_mb":1024,"long_running":true}"#;
    if !cell.submit(0, LASTING, "cpu=7500", lasting)
        || !wait_until(Duration::from_secs(10), || cell.running(LASTING) == 48)
    {
        return Err("the lasting job did not start".to_owned());
    }
    std::thread::sleep(Duration::from_secs(20));
    let members = if trouble { 24 } else { 4 };
    let steps = format!(
        r#"{{"count":{members},"cpu":6000,"mem_mb":1024,"estimated_ms":3000,"gang":true}}"#
    );
    if !cell.submit(2, GANG, &format!("work=3000,cpu=6000,gang={members}"), &steps) {
        return Err("the gang was not accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let mut stretch = Stretch::default();
    let end = Instant::now() + Duration::from_secs(40);
    let mut is_broken = false;
    while Instant::now() < end && !is_broken && cell.record.done(GANG) == 0 {
        let capacity: u64 = cell.minions.iter().map(|minion| minion.cpu).sum();
        let used: u64 = cell.minions.iter().map(|minion| minion.used()).sum();
        let places: u64 = cell.minions.iter().map(|minion| minion.places(6_000)).sum();
        let has_room = places >= 2 * members && used * 2 < capacity;
        is_broken = stretch.note(cell.running(GANG) == 0 && has_room) >= NOTHING_RUNS;
        std::thread::sleep(STEP);
    }
    if is_broken {
        cell.record
            .line("the gang has nothing running for 3 s although there is room for it twice over");
        cell.state(2, GANG);
    }
    Ok(is_broken)
}

/// A large job whose tasks save checkpoints, and small ones beside it, on as many minions as a
/// grown deployment has.
fn rows(folder: &str, trouble: bool) -> Verdict {
    const LARGE: &str = "5c0e7a21d94b36f8";
    let mut cell = Cell::start(folder, 350, 3)?;
    cell.wait_until_ready()?;
    let tasks = if trouble { 1_900 } else { 190 };
    let large = format!(
        r#"{{"count":{tasks},"cpu":2600,"mem_mb":256,"estimated_ms":8000,"checkpointing":true}},{{"count":20,"cpu":500,"mem_mb":64,"estimated_ms":500,"after":[0]}}"#
    );
    if !cell.submit(2, LARGE, "work=8000,saves=2000,cpu=2600;work=500,cpu=500", &large) {
        return Err("the large job was not accepted".to_owned());
    }
    // These end after the first tasks of the large job have ended.
    let small = r#"{"count":2,"cpu":500,"mem_mb":64,"estimated_ms":9000},{"count":2,"cpu":500,"mem_mb":64,"estimated_ms":300,"after":[0]}"#;
    let mut accepted = vec![(LARGE.to_owned(), tasks, 20)];
    for number in 0..96_u64 {
        let id = format!("{:016x}", number * 0x9e37_79b9_7f4a_7c15 % (1 << 62));
        if cell.submit(2, &id, "work=9000,cpu=500;work=300,cpu=500", small) {
            accepted.push((id, 2, 2));
        }
    }
    cell.record.line(&format!("{} jobs were accepted; the traffic ends", accepted.len()));
    std::thread::sleep(FINISH);
    let mut stretches: HashMap<String, Stretch> = HashMap::new();
    let mut lost = Vec::new();
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        for (id, first, second) in &accepted {
            let has_turn = cell.record.done(&format!("{id}.0.0.")) == *first
                && cell.record.done(&format!("{id}.0.1.")) < *second;
            let is_idle = has_turn && cell.running(id) == 0;
            if stretches.entry(id.clone()).or_default().note(is_idle) >= NOTHING_RUNS
                && !lost.contains(id)
            {
                lost.push(id.clone());
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let used: u64 = cell.minions.iter().map(|minion| minion.used()).sum();
    cell.record.line(&format!("{used} of 5600000 thousandths of a core are in use; transactions refused for a row of over 65536 bytes: {}", cell.store.too_long()));
    for id in &lost {
        cell.record
            .line(&format!("nothing of {id} runs, although the turn of its second step has come"));
    }
    if !cell.are_daemons_up() {
        cell.record.line("a daemon has ended");
    }
    Ok(!lost.is_empty())
}

/// A gang that takes all of its tenant's cap waits for the minions of a rack, on which another
/// tenant's tasks work. Another job of its tenant has one short step after the other.
fn cap(folder: &str, trouble: bool) -> Verdict {
    const OTHERS: &str = "5c0e7a21d94b36f8";
    const EARLIER: &str = "6d1f8b32ea5c4709";
    const GANG: &str = "7e209c43fb6d581a";
    const STEPS: &str = "8f31ad540c7e692b";
    let tenants = r#""tenants":[{"name":"tenant-1","api_keys":["key-1"],"weight":20.0,"cap":{"cpu":64000,"mem_mb":0,"gpu":0}},{"name":"tenant-2","api_keys":["key-2"],"weight":20.0,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}],"#;
    let mut cell = Cell::start_for(folder, 48, 3, tenants, cell::STATUS_S)?;
    cell.wait_until_ready()?;
    cell.key = "key-2".to_owned();
    let others =
        r#"{"count":8,"cpu":16000,"mem_mb":1024,"estimated_ms":110000,"requirements":"r1-3"}"#;
    if !cell.submit(1, OTHERS, "work=110000,cpu=16000", others)
        || !wait_until(Duration::from_secs(5), || cell.running(OTHERS) == 8)
    {
        return Err("the other tenant's job did not start".to_owned());
    }
    cell.key = "key-1".to_owned();
    let earlier = r#"{"count":4,"cpu":2000,"mem_mb":1024,"estimated_ms":3000}"#;
    if !cell.submit(1, EARLIER, "work=3000,cpu=2000", earlier)
        || !wait_until(Duration::from_secs(5), || cell.running(EARLIER) == 4)
    {
        return Err("the tenant's first job did not start".to_owned());
    }
    let gang = r#"{"count":8,"cpu":8000,"mem_mb":1024,"estimated_ms":40000,"gang":true,"requirements":"r1-3"}"#;
    if trouble && !cell.submit(1, GANG, "work=40000,cpu=8000,gang=8", gang) {
        return Err("the gang was not accepted".to_owned());
    }
    let count = 60;
    let steps: Vec<String> = (0..count)
        .map(|step| {
            let after =
                if step > 0 { format!(r#","after":[{}]"#, step - 1) } else { String::new() };
            format!(r#"{{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":1000{after}}}"#)
        })
        .collect();
    let spec = vec!["work=1000,cpu=1000"; count].join(";");
    if !cell.submit(1, STEPS, &spec, &steps.join(",")) {
        return Err("the job of short steps was not accepted".to_owned());
    }
    cell.record.line("the traffic ends");
    std::thread::sleep(FINISH);
    let mut stretch = Stretch::default();
    let mut is_broken = false;
    let end = Instant::now() + Duration::from_secs(70);
    while Instant::now() < end && !is_broken && cell.record.done(STEPS) < count {
        let places: u64 = cell.minions.iter().map(|minion| minion.places(1_000)).sum();
        let capacity: u64 = cell.minions.iter().map(|minion| minion.cpu).sum();
        let used: u64 = cell.minions.iter().map(|minion| minion.used()).sum();
        // The tenant's usage: nothing of its first job is left, and the gang does not run.
        let tenant_runs = cell.running(EARLIER) + cell.running(GANG) + cell.running(STEPS);
        let is_idle = tenant_runs == 0 && places >= 2 && used * 2 < capacity;
        is_broken = stretch.note(is_idle) >= NOTHING_RUNS;
        std::thread::sleep(STEP);
    }
    let done = cell.record.done(STEPS);
    cell.record
        .line(&format!("{done} of {count} steps are done; nothing ran for 3 s: {is_broken}"));
    Ok(is_broken)
}

/// Short jobs at the rate of the sheet, for longer than finished ones are remembered. Then the store
/// forgets its history once.
fn again(folder: &str, trouble: bool) -> Verdict {
    const STATUS_S: u64 = 60;
    const TRAFFIC: Duration = Duration::from_secs(98);
    const CLIENTS: u64 = 8;
    let cell = Cell::start_for(folder, 48, 3, "", STATUS_S)?;
    cell.wait_until_ready()?;
    let began = Instant::now();
    let callers = cell.callers();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, record) = (callers.clone(), std::sync::Arc::clone(&cell.record));
            std::thread::spawn(move || {
                let body = r#"{"spec":"work=200,cpu=1400","steps":[{"count":1,"cpu":1400,"mem_mb":2900,"estimated_ms":200}]}"#;
                for number in 0.. {
                    let due = Duration::from_millis(number * 1_000 * CLIENTS / 55);
                    if due > TRAFFIC {
                        return;
                    }
                    std::thread::sleep(due.saturating_sub(began.elapsed()));
                    let id = (number * CLIENTS + client + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    let path = format!("/q0/{id:016x}");
                    let address = callers[(number % callers.len() as u64) as usize];
                    let limit = Duration::from_secs(3);
                    let answer = http::call(&address, "POST", cell::HOST, &path, "", body, limit);
                    let status = answer.map(|(status, _)| status);
                    record.line(&format!("client: POST {path} -> {status:?}"));
                }
            })
        })
        .collect();
    // By then finished jobs are forgotten, as many in a second as come.
    std::thread::sleep(Duration::from_secs(STATUS_S + 14));
    if trouble {
        cell.record.line("the store forgets its history");
        cell.store.compact(Duration::from_millis(5_500), Duration::from_secs(12));
        cell.record.line("the store works as before");
    }
    for client in clients {
        if client.join().is_err() {
            return Err("a client failed".to_owned());
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let again = cell.record.again();
    cell.record.line(&format!(
        "{again} runs were started after their task had ended done and that was taken note of"
    ));
    Ok(again > 0)
}

/// A tenant sends many jobs that its cap lets through slowly. A job of another tenant comes behind them.
fn backlog(folder: &str, trouble: bool) -> Verdict {
    const OTHER: &str = "7e209c43fb6d581a";
    let tenants = r#""tenants":[{"name":"tenant-1","api_keys":["key-1"],"weight":2000.0,"cap":{"cpu":2000,"mem_mb":0,"gpu":0}},{"name":"tenant-2","api_keys":["key-2"],"weight":20.0,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}],"#;
    let mut cell = Cell::start_for(folder, 48, 3, tenants, cell::STATUS_S)?;
    cell.wait_until_ready()?;
    let jobs = if trouble { 1_300 } else { 400 };
    let callers = cell.callers();
    let clients: Vec<_> = (0..8_u64)
        .map(|client| {
            let callers = callers.clone();
            std::thread::spawn(move || {
                let body = r#"{"spec":"work=20000,cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":20000}]}"#;
                let mut accepted = 0;
                for number in (0..jobs).filter(|number| number % 8 == client) {
                    let id = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    let address = callers[(number / 8 % callers.len() as u64) as usize];
                    let answer = http::call(&address, "POST", cell::HOST, &format!("/q0/{id:016x}"), "key-1", body, Duration::from_secs(3));
                    accepted += u64::from(answer.is_some_and(|(status, _)| status == 200));
                }
                accepted
            })
        })
        .collect();
    let accepted: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    cell.record.line(&format!("{accepted} jobs of the first tenant were accepted"));
    cell.key = "key-2".to_owned();
    let steps = r#"{"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":1000}"#;
    if !cell.submit(2, OTHER, "work=1000,cpu=1000", steps) {
        return Err("the other tenant's job was not accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let mut stretch = Stretch::default();
    let mut is_broken = false;
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end && !is_broken && cell.record.done(OTHER) < 2 {
        is_broken = stretch.note(cell.running(OTHER) == 0) >= NOTHING_RUNS;
        std::thread::sleep(STEP);
    }
    let used: u64 = cell.minions.iter().map(|minion| minion.used()).sum();
    let state = cell.state(2, OTHER);
    cell.record.line(&format!(
        "broken: {is_broken}; {used} of 768000 thousandths of a core are in use; state {state}"
    ));
    Ok(is_broken)
}
