//! A gang that needs all minions comes after one of them is lost for good.

use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::cell::BATCH;
use crate::cell::Cell;
use crate::cell::Client;
use crate::cell::HEAVY;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::minion::CAPACITY_CPU;
use crate::minion::Minions;
use crate::minion::Work;

const DAEMONS: usize = 3;
const MINIONS: usize = 8;
/// The minion that is lost.
const LOST: usize = 3;
const GANG_ID: &str = "6a6a0000000000a6";
/// Two tasks of the gang fit on a minion.
const GANG_TASKS: u64 = 2 * MINIONS as u64;
const GANG_CPU: u64 = 7_500;
const GANG_STEPS: u64 = 3;
const GANG_MS: u64 = 5_000;
const BATCH_JOBS: u64 = 20;
const BATCH_TASKS: u64 = 10;
const BATCH_CPU: u64 = 980;
const BATCH_MS: u64 = 2_700;
/// The time between two batch jobs.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// How long after the end of the traffic jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running then.
const IDLE: Duration = Duration::from_secs(3);
/// How much later it is looked once more, when all jobs, the gang too, are late.
const ONCE_MORE: Duration = Duration::from_secs(25);

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let (minions, addresses) = Minions::start(MINIONS, |task| {
        if task.starts_with(GANG_ID) {
            Work { work_ms: GANG_MS, saves: None, cpu: GANG_CPU }
        } else {
            Work { work_ms: BATCH_MS, saves: None, cpu: BATCH_CPU }
        }
    });
    let cell = Cell::start(DAEMONS, minions, addresses)?;
    cell.wait_until_ready()?;
    thread::sleep(Duration::from_secs(2));
    let client = Client { daemons: cell.callers() };
    let now_ms = || cell.minions.now_ms();
    let mut record = Vec::new();
    if has_trouble {
        cell.minions.crash(LOST);
        record.push(format!("{} ms: minion {LOST} is lost for good", now_ms()));
    }
    thread::sleep(Duration::from_secs(5));
    let statuses = client.submit(0, HEAVY, GANG_ID, &gang_job());
    record.push(format!("{} ms: POST of the gang job {GANG_ID}: {statuses:?}", now_ms()));
    thread::sleep(BATCH_INTERVAL);
    let mut ids = Vec::new();
    for number in 0..BATCH_JOBS {
        let id = format!("{:016x}", 0xba00_0000_0000_0000 + number * 0x9e37_79b9);
        let statuses = client.submit(number as usize, BATCH, &id, &batch_job());
        record.push(format!("{} ms: POST of batch job {id}: {statuses:?}", now_ms()));
        if statuses.last() == Some(&200) {
            ids.push(id);
        }
        thread::sleep(BATCH_INTERVAL);
    }
    record.push(format!("{} ms: end of the traffic", now_ms()));
    thread::sleep(FINISH);
    let mut most_used = 0;
    let asked_ms = now_ms();
    let mut began: Vec<bool> = Vec::new();
    while now_ms() < asked_ms + IDLE.as_millis() as u64 {
        most_used = most_used.max(cell.minions.used_cpu().iter().sum());
        let runs = cell.minions.records();
        began = ids.iter().map(|id| runs.iter().any(|run| run.task.starts_with(id.as_str()))).collect();
        thread::sleep(Duration::from_millis(50));
    }
    let minions_left = if has_trouble { MINIONS - 1 } else { MINIONS };
    let share = most_used * 100 / (CAPACITY_CPU * minions_left as u64);
    record.push(format!(
        "from {asked_ms} ms to {} ms: at most {share} per cent of the processors of {minions_left} minions in use",
        now_ms()
    ));
    let mut breaches = Vec::new();
    for (number, (id, began)) in ids.iter().zip(began).enumerate() {
        let state = client.state(number, BATCH, id);
        record.push(format!("{} ms: GET of batch job {id}: {state}; has begun: {began}", now_ms()));
        let is_open = state == "queued" || state == "running";
        if is_open && !began && share < 50 {
            breaches.push(format!(
                "batch job {id}: {state} and not begun at {} ms, {share} per cent of the service in use",
                now_ms()
            ));
        } else if !is_open && state != "completed" {
            breaches.push(format!("batch job {id}: {state}"));
        }
    }
    record.push(format!("{} ms: GET of the gang job: {}", now_ms(), client.state(0, HEAVY, GANG_ID)));
    if !breaches.is_empty() {
        thread::sleep(ONCE_MORE);
        let states: Vec<String> =
            ids.iter().enumerate().map(|(number, id)| client.state(number, BATCH, id)).collect();
        let queued = states.iter().filter(|state| *state == "queued").count();
        let runs = cell.minions.records();
        let at_work = runs.iter().filter(|run| run.end.is_none()).count();
        record.push(format!("{} ms: {queued} of the batch jobs still queued, {at_work} runs at work", now_ms()));
    }
    for run in cell.minions.records() {
        let end = run.end.map_or("at work".to_owned(), |(at_ms, how, _)| format!("{how} at {at_ms} ms"));
        record.push(format!("minion {}: {} run {} began at {} ms; {end}", run.minion, run.task, run.run, run.began_ms));
    }
    Ok(Outcome { breaches, record })
}

fn gang_job() -> Json {
    let step = |number: u64| {
        let mut fields = vec![
            ("count", num(GANG_TASKS)),
            ("cpu", num(GANG_CPU)),
            ("mem_mb", num(17_000)),
            ("estimated_ms", num(GANG_MS)),
            ("gang", Json::Bool(true)),
        ];
        if number > 0 {
            fields.push(("after", Json::Arr(vec![num(number - 1)])));
        }
        obj(fields)
    };
    obj(vec![("spec", text("packet")), ("steps", Json::Arr((0..GANG_STEPS).map(step).collect()))])
}

fn batch_job() -> Json {
    let step = obj(vec![
        ("count", num(BATCH_TASKS)),
        ("cpu", num(BATCH_CPU)),
        ("mem_mb", num(3_600)),
        ("estimated_ms", num(BATCH_MS)),
    ]);
    obj(vec![("spec", text("cause list")), ("steps", Json::Arr(vec![step]))])
}
