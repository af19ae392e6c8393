//! Calls whose answers never reach the pool.

use std::sync::Arc;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_pool::CallError;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::Pool;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepSpec;
use stoatwell_pool::WorkerUpdate;

const LIMITS: Limits = Limits {
    lease_ms: 6_000,
    lease_max_ms: 6_000,
    job_retention_ms: 60_000,
    advice_workers_max: 100,
    batch_bytes_max: 600_000,
};

fn worker() -> WorkerUpdate {
    WorkerUpdate {
        worker: WorkerId::new("w"),
        address: "10.0.0.1:1".to_owned(),
        service: "s".to_owned(),
        zone: ZoneName::new("z"),
        capacity: Resources { cpu_millis: 4_000, ..Resources::ZERO },
        labels: Vec::new(),
        draining: false,
        remaining_ms: None,
        incarnation: 1,
    }
}

fn job() -> JobSpec {
    JobSpec {
        queue: QueueSpec {
            name: "q".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            attempts_max: 2,
            slack_factor: 2.0,
            target_ms: 400,
            advice: None,
        },
        customer: None,
        payload: "work".to_owned(),
        steps: vec![StepSpec { tasks: 1, ..StepSpec::default() }],
        repeat: None,
        accepted_unix_ms: 1,
    }
}

/// The answer to a start gets lost on its way to the pool, within the daemon. The task
/// would keep its room and its job for ever, with all workers free. After a time in
/// which every call has come to something the start is in doubt, like one that brought
/// no answer, and the task starts again once it is surely not there.
#[test]
fn a_start_without_any_answer_is_made_again() {
    let mut pool = Pool::new(Election { epoch: 1, earlier_extends_ms: 0 }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    pool.handle(1_000, 1_000, Event::Accepted { job: JobId(1), spec: Arc::new(job()) });
    let mut starts = 0;
    for now_ms in (1_000..12_000).step_by(10) {
        for effect in pool.poll_effects(now_ms, now_ms) {
            let event = match effect {
                Effect::Hold(call) => {
                    let reply = HoldReply { clock_ms: now_ms, life: 1, ..HoldReply::default() };
                    Event::Held { worker: call.to.worker, turn: call.turn, reply: Ok(reply) }
                }
                Effect::Commit { batch, writes } => {
                    let partition = writes[0].partition;
                    Event::Committed { batch, partition }
                }
                Effect::Start(_) => {
                    starts += 1;
                    continue;
                }
                Effect::Stop(call) => Event::Stopped {
                    task: call.task,
                    run: call.run,
                    worker: call.to.worker,
                    reply: Ok(()),
                },
                _ => continue,
            };
            pool.handle(now_ms, now_ms, event);
        }
    }
    assert!(starts > 1, "the task was started {starts} times");
}

/// A worker is replaced, and its successor has its address while the old entry is still
/// listed. Each hold of the old one tells that another one answers there. That is acted
/// on once; holds without end, each with a line in the log, would hide what matters from
/// those on call and cost calls.
#[test]
fn a_worker_whose_address_serves_another_is_asked_rarely() {
    let mut pool = Pool::new(Election { epoch: 1, earlier_extends_ms: 0 }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    let mut holds = 0;
    for now_ms in (1_000..11_000).step_by(10) {
        for effect in pool.poll_effects(now_ms, now_ms) {
            let Effect::Hold(call) = effect else { continue };
            holds += 1;
            let reply = Err(CallError::OtherLife);
            let event = Event::Held { worker: call.to.worker, turn: call.turn, reply };
            pool.handle(now_ms, now_ms, event);
        }
    }
    assert!(holds < 15, "{holds} holds");
}

/// Guards against batches that fill a narrow link for seconds, with the renewal of the
/// leader's lease behind them.
#[test]
fn a_batch_holds_no_more_than_the_link_carries_in_time() {
    let limits = Limits { batch_bytes_max: 1_000, ..LIMITS };
    let mut pool = Pool::new(Election { epoch: 1, earlier_extends_ms: 0 }, limits, 1_000, 1_000);
    let mut idle = job();
    idle.steps[0].tasks = 10;
    for number in 0..20 {
        let spec = Arc::new(idle.clone());
        pool.handle(1_000, 1_000, Event::Accepted { job: JobId(number), spec });
        pool.handle(1_000, 1_000, Event::Cancelled { job: JobId(number) });
    }
    let mut written = 0;
    let mut batches = 0;
    for turn in 1..200 {
        let now_ms = 1_000 + turn;
        for effect in pool.poll_effects(now_ms, now_ms) {
            let Effect::Commit { batch, writes } = effect else { continue };
            batches += 1;
            for write in writes {
                written += write.puts.len();
                pool.handle(now_ms, now_ms, Event::Committed { batch, partition: write.partition });
            }
        }
    }
    assert_eq!(written, 20);
    assert!(batches >= 2, "{batches} batches");
}
