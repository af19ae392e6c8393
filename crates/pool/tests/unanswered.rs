//! Calls to workers whose answers never reach the pool or name another worker.

mod world;

use std::sync::Arc;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_pool::ActiveRun;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CallError;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Cancellation;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::GangLimits;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Limits;
use stoatwell_pool::OverdueCall;
use stoatwell_pool::Pool;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepId;
use stoatwell_pool::StepSpec;
use stoatwell_pool::TaskId;
use stoatwell_pool::WorkerUpdate;

use self::world::Faults;
use self::world::World;
use self::world::queue;
use self::world::step;

const LIMITS: Limits = Limits {
    lease_ms: 6_000,
    lease_max_ms: 6_000,
    job_retention_ms: 60_000,
    advice_workers_max: 100,
    batch_bytes_max: 600_000,
    gangs: GangLimits { wait_ms: 3_000, stop_max_ms: 900 },
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

/// The result of a start is lost within the daemon, on its way to the pool. Guards against a
/// task that keeps its capacity and never runs: after a time in which every call has had a
/// result, the start counts as one without an answer, and the task starts again once it is
/// certain that the worker does not run it.
#[test]
fn a_start_without_any_result_is_repeated() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
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
                    Event::Committed { batch, partition, sent_ms: now_ms, version: batch }
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

/// A worker is replaced by another one at the same address while its entry is still listed,
/// and each of its holds is answered by the other one. Guards against a stream of holds,
/// each with a log line that hides others from operators: the pool has to hold it rarely.
#[test]
fn a_worker_whose_address_another_one_uses_is_held_rarely() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
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

/// Guards against batches that occupy a slow link for seconds and delay the renewal of the
/// leader lease, which is sent after them.
#[test]
fn the_size_of_a_batch_is_limited() {
    let limits = Limits { batch_bytes_max: 1_000, ..LIMITS };
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, limits, 1_000, 1_000);
    let mut spec = job();
    spec.steps[0].tasks = 10;
    for number in 0..20 {
        let spec = Arc::new(spec.clone());
        pool.handle(1_000, 1_000, Event::Accepted { job: JobId(number), spec });
        let (cancellation, source) = (Cancellation::ByOwner, CancelSource::Notification);
        pool.handle(1_000, 1_000, Event::Cancelled { job: JobId(number), cancellation, source });
    }
    let mut written_rows = 0;
    let mut batches = 0;
    for elapsed_ms in 1..200 {
        let now_ms = 1_000 + elapsed_ms;
        for effect in pool.poll_effects(now_ms, now_ms) {
            let Effect::Commit { batch, writes } = effect else { continue };
            batches += 1;
            for write in writes {
                written_rows += write.puts.len();
                let partition = write.partition;
                let event = Event::Committed { batch, partition, sent_ms: now_ms, version: batch };
                pool.handle(now_ms, now_ms, event);
            }
        }
    }
    assert_eq!(written_rows, 20);
    assert!(batches >= 2, "{batches} batches");
}

/// A world in which so many of the starts of job 1 have reached their workers.
fn world_with_starts_sent(spec: JobSpec, arrived: u64) -> World {
    let mut world = World::new(7, 12, Faults::default());
    world.run(600);
    world.submit(1, spec);
    while world.starts < arrived {
        world.run(5);
    }
    world
}

/// Runs until job 1 has completed, and asserts how many starts, stops and milliseconds that takes.
fn assert_completes(world: &mut World, starts: u64, stops: u64, within_ms: u64) {
    let began_ms = world.now_ms;
    while world.state(1) != Some(JobState::Completed) && world.now_ms < began_ms + 20_000 {
        world.run(5);
    }
    let took_ms = world.now_ms - began_ms;
    assert_eq!((world.starts, world.stops), (starts, stops), "starts and stops; {took_ms} ms");
    assert!(took_ms <= within_ms, "{took_ms} ms; {}", world.explain(JobId(1)));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against work that is thrown away because the answers to many starts are lost at one
/// moment: the runs go on.
#[test]
fn runs_whose_starts_were_not_answered_go_on() {
    let mut world = world_with_starts_sent(world::job(queue(1), vec![step(24, 2_000, 1_000)]), 24);
    world.reset_connections();
    assert_completes(&mut world, 24, 0, 2_100);
}

/// Guards against a gang that ends because some of its starts are lost on their way: these are sent
/// again while their rows are fresh.
#[test]
fn a_gang_some_of_whose_starts_were_lost_goes_on() {
    let mut spec = world::job(queue(1), vec![step(24, 2_000, 1_000)]);
    spec.steps[0].gang = true;
    let mut world = World::new(7, 12, Faults::default());
    world.run(600);
    world.submit(1, spec);
    world.run(10);
    world.faults.lost_calls = 300;
    world.run(50);
    world.faults.lost_calls = 0;
    let arrived = world.starts;
    assert!(arrived > 0 && arrived < 24, "{arrived} starts arrived");
    assert_completes(&mut world, 24, 0, 3_200);
}

/// A connection is reset while starts are on their way, and the workers list their runs before they
/// carry these out. Guards against runs that are stopped, and against two runs of a task.
#[test]
fn starts_that_arrive_after_their_worker_was_asked_are_carried_out_once() {
    let spec = world::job(queue(1), vec![step(24, 2_000, 1_000)]);
    let mut world = world_with_starts_sent(spec, 1);
    world.reset_connections();
    assert_completes(&mut world, 24, 0, 2_100);
}

/// The same for a gang, all of whose members would end.
#[test]
fn a_gang_whose_starts_were_not_answered_goes_on() {
    let mut spec = world::job(queue(1), vec![step(24, 2_000, 1_000)]);
    spec.steps[0].gang = true;
    let mut world = world_with_starts_sent(spec, 24);
    world.reset_connections();
    assert_completes(&mut world, 24, 0, 2_100);
}

/// Guards against workers whose leases are not extended, and whose ends are noticed late, for a
/// second after a moment at which calls failed.
#[test]
fn workers_answer_soon_after_their_holds_failed() {
    let mut world = World::new(7, 120, Faults::default());
    world.run(1_400);
    world.reset_connections();
    world.run(5);
    let silent_workers = world.counts().silent_workers;
    assert!(silent_workers > 90, "{silent_workers} workers do not answer");
    world.run(245);
    let silent_workers = world.counts().silent_workers;
    assert!(silent_workers < 20, "{silent_workers} workers do not answer");
}

/// Returns the hold that the pool sends next.
fn next_hold(pool: &mut Pool, now_ms: &mut u64) -> HoldCall {
    for _ in 0..1_000 {
        *now_ms += 10;
        for effect in pool.poll_effects(*now_ms, *now_ms) {
            if let Effect::Hold(call) = effect {
                return call;
            }
        }
    }
    panic!("no hold is sent");
}

/// Guards against a hold that waits for the way that failed while nobody asks another way, and
/// against a worker whose lease is not extended because such a hold fails after a later one was
/// answered.
#[test]
fn an_overdue_hold_is_sent_again_and_its_late_failure_says_nothing() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    let mut now_ms = 1_000;
    let name = worker().worker;
    let answer = |pool: &mut Pool, turn, now_ms, reply| {
        pool.handle(now_ms, now_ms, Event::Held { worker: worker().worker, turn, reply });
    };
    let answered = |now_ms| Ok(HoldReply { clock_ms: now_ms, life: 1, ..HoldReply::default() });
    let established = next_hold(&mut pool, &mut now_ms);
    answer(&mut pool, established.turn, now_ms, answered(now_ms));
    let overdue = next_hold(&mut pool, &mut now_ms);
    now_ms += 700;
    let sent_ms = now_ms;
    let call = OverdueCall::Hold { turn: overdue.turn };
    pool.handle(now_ms, now_ms, Event::Overdue { worker: name, call });
    let repeated = next_hold(&mut pool, &mut now_ms);
    assert!(now_ms <= sent_ms + 20, "sent again after {} ms", now_ms - sent_ms);
    answer(&mut pool, repeated.turn, now_ms, answered(now_ms));
    answer(&mut pool, overdue.turn, now_ms, Err(CallError::NoAnswer));
    let next = next_hold(&mut pool, &mut now_ms);
    assert!(next.until_ms.is_some(), "the lease is not extended");
}

/// Guards against a report that arrives after a later one and lists runs that have ended since: they
/// would be stopped, and their capacity counted as used.
#[test]
fn a_report_that_a_later_one_has_overtaken_is_ignored() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    let mut now_ms = 1_000;
    let established = next_hold(&mut pool, &mut now_ms);
    let task = TaskId { step: StepId { job: JobId(1), occurrence: 0, step: 0 }, index: 0 };
    let run = ActiveRun { task, run: 1, checkpoint: String::new(), percent: 0, load: 0 };
    let mut stops_after = |clock_ms, active| {
        let reply = HoldReply { clock_ms, life: 1, active, ..HoldReply::default() };
        let event =
            Event::Held { worker: worker().worker, turn: established.turn, reply: Ok(reply) };
        now_ms += 10;
        pool.handle(now_ms, now_ms, event);
        now_ms += 10;
        let effects = pool.poll_effects(now_ms, now_ms);
        effects.iter().filter(|effect| matches!(effect, Effect::Stop(_))).count()
    };
    assert_eq!(stops_after(500, Vec::new()), 0);
    assert_eq!(stops_after(499, vec![run.clone()]), 0, "stops of a run that has ended");
    assert_eq!(stops_after(501, vec![run]), 1, "stops of a run that nobody wants");
}

/// Guards against a gang that waits for a query whose way has failed although the workers that other
/// queries granted have room for it.
#[test]
fn a_gang_does_not_wait_for_a_query_that_is_overdue() {
    const WORKERS: usize = 40;
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Advisors { count: 40 });
    for number in 0..WORKERS {
        let name = WorkerId::new(format!("w{number}"));
        pool.handle(1_000, 1_000, Event::Listed(WorkerUpdate { worker: name, ..worker() }));
    }
    let mut spec = job();
    spec.queue.advice = Some(AdviceSpec { decide_ms: 100.0, each_ms: 10.0, valid_ms: 2_000 });
    spec.steps = vec![StepSpec { tasks: 2, gang: true, ..StepSpec::default() }];
    pool.handle(1_000, 1_000, Event::Accepted { job: JobId(1), spec: Arc::new(spec) });
    let (mut unanswered, mut due_ms, mut started_ms) = (None, 0, None);
    for now_ms in (1_000..5_000).step_by(10) {
        for effect in pool.poll_effects(now_ms, now_ms) {
            let event = match effect {
                Effect::Hold(call) => {
                    let reply = HoldReply { clock_ms: now_ms, life: 1, ..HoldReply::default() };
                    Event::Held { worker: call.to.worker, turn: call.turn, reply: Ok(reply) }
                }
                Effect::Advise { workers, cost_ms, .. } if unanswered.is_none() => {
                    unanswered = Some(workers);
                    due_ms = now_ms + cost_ms;
                    continue;
                }
                Effect::Advise { step, workers, cost_ms, .. } => {
                    let grant = |worker| Grant { worker, ticket: "ticket".to_owned() };
                    let granted = Some(workers.iter().cloned().map(grant).collect());
                    Event::Advised { step, asked: workers, cost_ms, granted, issued_ms: now_ms }
                }
                Effect::Commit { batch, writes } => {
                    let partition = writes[0].partition;
                    Event::Committed { batch, partition, sent_ms: now_ms, version: batch }
                }
                Effect::Start(_) => {
                    started_ms.get_or_insert(now_ms);
                    continue;
                }
                _ => continue,
            };
            pool.handle(now_ms, now_ms, event);
        }
    }
    let asked = unanswered.expect("a query").len();
    assert!(asked < WORKERS, "one query names all workers");
    let started_ms = started_ms.expect("the gang starts");
    assert!(started_ms < due_ms + 500, "an answer was due at {due_ms}, started at {started_ms}");
}

/// Guards against steps that nobody asks the advisor about, since queries through daemons that can
/// not be reached keep all places for long ones.
#[test]
fn a_stuck_query_keeps_no_place_of_the_others() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    // Two daemons send one long query at a time.
    pool.handle(1_000, 1_000, Event::Advisors { count: 2 });
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    let mut spec = job();
    spec.queue.advice = Some(AdviceSpec { decide_ms: 300.0, each_ms: 1.0, valid_ms: 2_000 });
    let spec = Arc::new(spec);
    for number in 1..=2 {
        let event = Event::Accepted { job: JobId(number), spec: Arc::clone(&spec) };
        pool.handle(1_000, 1_000, event);
    }
    let queries_until = |from_ms: u64, until_ms: u64, pool: &mut Pool| {
        let mut queries = 0;
        for now_ms in (from_ms..until_ms).step_by(10) {
            for effect in pool.poll_effects(now_ms, now_ms) {
                match effect {
                    Effect::Advise { .. } => queries += 1,
                    Effect::Hold(HoldCall { to, turn, .. }) => {
                        let reply = HoldReply { clock_ms: now_ms, life: 1, ..HoldReply::default() };
                        let event = Event::Held { worker: to.worker, turn, reply: Ok(reply) };
                        pool.handle(now_ms, now_ms, event);
                    }
                    _ => {}
                }
            }
        }
        queries
    };
    assert_eq!(queries_until(1_000, 2_500, &mut pool), 1, "queries while none is stuck");
    pool.handle(2_500, 2_500, Event::StuckQueries { count: 1 });
    assert_eq!(queries_until(2_500, 3_500, &mut pool), 1, "queries while one is stuck");
}

/// Guards against a run that is given up because an answer of its worker's former incarnation, which
/// does not list it, arrives after the restart is known.
#[test]
fn an_answer_of_a_former_incarnation_settles_nothing() {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    pool.handle(1_000, 1_000, Event::Listed(worker()));
    pool.handle(1_000, 1_000, Event::Accepted { job: JobId(1), spec: Arc::new(job()) });
    let mut runs = Vec::new();
    for now_ms in (1_000..3_000).step_by(10) {
        if now_ms == 2_000 {
            pool.handle(now_ms, now_ms, Event::Listed(WorkerUpdate { incarnation: 2, ..worker() }));
        }
        for effect in pool.poll_effects(now_ms, now_ms) {
            let event = match effect {
                Effect::Hold(call) => {
                    let reply = HoldReply { clock_ms: now_ms, life: 1, ..HoldReply::default() };
                    Event::Held { worker: call.to.worker, turn: call.turn, reply: Ok(reply) }
                }
                Effect::Commit { batch, writes } => {
                    let partition = writes[0].partition;
                    Event::Committed { batch, partition, sent_ms: now_ms, version: batch }
                }
                Effect::Start(call) => {
                    runs.push(call.run);
                    continue;
                }
                _ => continue,
            };
            pool.handle(now_ms, now_ms, event);
        }
    }
    assert_eq!(runs, [1]);
}
