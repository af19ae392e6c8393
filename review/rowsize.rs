//! The record of one large job outgrows a row of the store. Not a case; the report tells of it.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Outcome;
use crate::cell::BATCH;
use crate::cell::Cell;
use crate::cell::Client;
use crate::cell::URGENT;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::minion::CAPACITY_CPU;
use crate::minion::Minions;
use crate::minion::Work;

const DAEMONS: usize = 3;
const MINIONS: usize = 8;
const LARGE_ID: &str = "1a1a0000000000a1";
const LARGE_STEPS: u64 = 3;
const LARGE_TASKS: u64 = 60;
const LARGE_TIMES: u64 = 4;
const LARGE_INTERVAL_MS: u64 = 4_500;
const LARGE_CPU: u64 = 300;
const LARGE_MS: u64 = 2_700;
const SAVE_MS: u64 = 2_000;
/// The pages set no limit to the length of a checkpoint.
const CHECKPOINT_CHARS: usize = 100;
const SMALL_JOBS: u64 = 240;
const SMALL_INTERVAL: Duration = Duration::from_millis(125);
const SMALL_TASKS: u64 = 2;
const SMALL_CPU: u64 = 1_400;
const SMALL_MS: u64 = 640;
/// How long after the end of the traffic jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running then.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let (minions, addresses) = Minions::start(MINIONS, |task| {
        if task.starts_with(LARGE_ID) {
            Work { work_ms: LARGE_MS, saves: Some((SAVE_MS, CHECKPOINT_CHARS)), cpu: LARGE_CPU }
        } else {
            Work { work_ms: SMALL_MS, saves: None, cpu: SMALL_CPU }
        }
    });
    let cell = Cell::start(DAEMONS, minions, addresses)?;
    cell.wait_until_ready()?;
    thread::sleep(Duration::from_secs(2));
    let client = Client { daemons: cell.callers() };
    let now_ms = || cell.minions.now_ms();
    let mut record = Vec::new();
    let mut ids: Vec<(String, &str)> = Vec::new();
    if has_trouble {
        let statuses = client.submit(0, BATCH, LARGE_ID, &large_job());
        record.push(format!("{} ms: POST of the large job {LARGE_ID}: {statuses:?}", now_ms()));
        if statuses.last() == Some(&200) {
            ids.push((LARGE_ID.to_owned(), BATCH));
        }
    }
    let mut waiting = Vec::new();
    for number in 0..SMALL_JOBS {
        let id = format!("{:016x}", 0x5a00_0000_0000_0000 + number * 0x9e37_79b9_7f4a);
        let (client, sent) = (client.clone(), id.clone());
        waiting.push((id, thread::spawn(move || client.submit(number as usize, URGENT, &sent, &small_job()))));
        thread::sleep(SMALL_INTERVAL);
    }
    for (id, submission) in waiting {
        let statuses = submission.join().map_err(|_| "a client failed")?;
        record.push(format!("POST of job {id}: {statuses:?}"));
        if statuses.last() == Some(&200) {
            ids.push((id, URGENT));
        }
    }
    record.push(format!("{} ms: end of the traffic", now_ms()));
    thread::sleep(FINISH);
    let asked_ms = now_ms();
    let mut most_used = 0;
    let mut running: BTreeSet<String> = BTreeSet::new();
    while now_ms() < asked_ms + IDLE.as_millis() as u64 {
        most_used = most_used.max(cell.minions.used_cpu().iter().sum::<u64>());
        let runs = cell.minions.records();
        let at_work = runs.iter().filter(|run| run.end.is_none_or(|(at_ms, ..)| at_ms > asked_ms));
        running.extend(at_work.map(|run| run.task[..16].to_owned()));
        thread::sleep(Duration::from_millis(50));
    }
    let share = most_used * 100 / (CAPACITY_CPU * MINIONS as u64);
    record.push(format!("from {asked_ms} ms to {} ms: at most {share} per cent of the processors in use", now_ms()));
    let mut breaches = Vec::new();
    for (number, (id, queue)) in ids.iter().enumerate() {
        let state = client.state(number, queue, id);
        if state == "completed" {
            continue;
        }
        let is_running = running.contains(id);
        record.push(format!("{} ms: GET of job {id}: {state}; has runs at work: {is_running}", now_ms()));
        if !is_running && share < 50 {
            breaches.push(format!("job {id}: accepted, {state}, and nothing of it ran from {asked_ms} ms on, with {share} per cent of the service in use"));
        }
    }
    for run in cell.minions.records() {
        let end = run.end.map_or("at work".to_owned(), |(at_ms, how, _)| format!("{how} at {at_ms} ms"));
        let noted = run.noted_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        record.push(format!("minion {}: {} run {} began at {} ms; {end}, taken note of: {noted}", run.minion, run.task, run.run, run.began_ms));
    }
    Ok(Outcome { breaches, record })
}

fn large_job() -> Json {
    let step = |number: u64| {
        let mut fields = vec![
            ("count", num(LARGE_TASKS)),
            ("cpu", num(LARGE_CPU)),
            ("mem_mb", num(256)),
            ("estimated_ms", num(LARGE_MS)),
            ("checkpointing", Json::Bool(true)),
        ];
        if number > 0 {
            fields.push(("after", Json::Arr(vec![num(number - 1)])));
        }
        obj(fields)
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    obj(vec![
        ("spec", text("cause lists of the week")),
        ("steps", Json::Arr((0..LARGE_STEPS).map(step).collect())),
        ("first_ms", num(now + 1_000)),
        ("interval_ms", num(LARGE_INTERVAL_MS)),
        ("repeats", num(LARGE_TIMES)),
    ])
}

fn small_job() -> Json {
    let step = |after: Vec<Json>| {
        obj(vec![
            ("count", num(SMALL_TASKS)),
            ("cpu", num(SMALL_CPU)),
            ("mem_mb", num(1_024)),
            ("estimated_ms", num(SMALL_MS)),
            ("after", Json::Arr(after)),
        ])
    };
    obj(vec![("spec", text("booking")), ("steps", Json::Arr(vec![step(vec![]), step(vec![num(0)])]))])
}
