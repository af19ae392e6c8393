//! Attempts to run gangs some of whose members do not start, or are not known to.

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_pool::ActiveRun;
use stoatwell_pool::CallError;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::GangLimits;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::Limits;
use stoatwell_pool::Pool;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepSpec;
use stoatwell_pool::WorkerUpdate;

const LIMITS: Limits = Limits {
    lease_ms: 6_000,
    lease_max_ms: 6_000,
    job_retention_ms: 60_000,
    advice_workers_max: 100,
    batch_bytes_max: 600_000,
    gangs: GangLimits { wait_ms: GANG_WAIT_MS, stop_max_ms: STOP_MAX_MS },
};
/// How long members of a gang wait for each other.
const GANG_WAIT_MS: u64 = 3_000;
/// The longest time from the arrival of a stop to the end of a run.
const STOP_MAX_MS: u64 = 900;
const STEP_MS: u64 = 10;

/// What becomes of the start of the second member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondStart {
    /// It has no result, and its worker does not answer either.
    Silent,
    /// Its worker has ended a run with this number before, and answers nothing else.
    OldRun,
}

/// When the first member was started and when stops were sent for it, in an attempt to run a gang
/// of two that needs both workers.
struct Attempt {
    started_ms: u64,
    stops_ms: Vec<u64>,
}

fn worker(name: &str) -> WorkerUpdate {
    WorkerUpdate {
        worker: WorkerId::new(name),
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

fn gang_of_two() -> JobSpec {
    let demand = Resources { cpu_millis: 3_000, ..Resources::ZERO };
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
        steps: vec![StepSpec { tasks: 2, gang: true, demand, ..StepSpec::default() }],
        repeat: None,
        accepted_unix_ms: 1,
    }
}

/// Plays the first attempt for as long as its first member waits. Stops get no answer.
fn play(second: SecondStart) -> Attempt {
    let mut pool = Pool::new(Election { epoch: 1, ..Election::default() }, LIMITS, 1_000, 1_000);
    for name in ["w0", "w1"] {
        pool.handle(1_000, 1_000, Event::Listed(worker(name)));
    }
    pool.handle(1_000, 1_000, Event::Accepted { job: JobId(1), spec: Arc::new(gang_of_two()) });
    let mut active: BTreeMap<WorkerId, ActiveRun> = BTreeMap::new();
    let mut silent: Option<WorkerId> = None;
    let mut attempt = Attempt { started_ms: 0, stops_ms: Vec::new() };
    let mut now_ms = 1_000;
    while attempt.started_ms == 0 || now_ms < attempt.started_ms + GANG_WAIT_MS {
        now_ms += STEP_MS;
        assert!(now_ms < 10_000, "the first member was not started");
        for effect in pool.poll_effects(now_ms, now_ms) {
            let event = match effect {
                Effect::Hold(call) if silent.as_ref() == Some(&call.to.worker) => continue,
                Effect::Hold(call) => {
                    let active = active.get(&call.to.worker).cloned().into_iter().collect();
                    let reply =
                        HoldReply { clock_ms: now_ms, life: 1, active, ..HoldReply::default() };
                    Event::Held { worker: call.to.worker, turn: call.turn, reply: Ok(reply) }
                }
                Effect::Commit { batch, writes } => {
                    let partition = writes[0].partition;
                    Event::Committed { batch, partition, sent_ms: now_ms, version: batch }
                }
                Effect::Start(call) if call.task.index == 1 => {
                    silent = Some(call.to.worker.clone());
                    if second == SecondStart::Silent {
                        continue;
                    }
                    let reply = Ok(StartReply::OldRun);
                    Event::Started { task: call.task, run: call.run, worker: call.to.worker, reply }
                }
                Effect::Start(call) => {
                    attempt.started_ms = now_ms;
                    let (task, run) = (call.task, call.run);
                    let checkpoint = String::new();
                    let state = ActiveRun { task, run, checkpoint, percent: 0, load: 0 };
                    active.insert(call.to.worker.clone(), state);
                    let reply: Result<_, CallError> = Ok(StartReply::Started { clock_ms: now_ms });
                    Event::Started { task, run, worker: call.to.worker, reply }
                }
                Effect::Stop(call) => {
                    if call.task.index == 0 {
                        attempt.stops_ms.push(now_ms);
                    }
                    continue;
                }
                _ => continue,
            };
            pool.handle(now_ms, now_ms, event);
        }
    }
    attempt
}

/// Guards against members that wait in vain for one whose start has no result.
#[test]
fn members_are_stopped_before_they_give_up_if_the_gang_does_not_assemble() {
    let Attempt { started_ms, stops_ms } = play(SecondStart::Silent);
    let stopped_by_ms = started_ms + GANG_WAIT_MS - STOP_MAX_MS;
    assert!(
        stops_ms.first().is_some_and(|first_ms| *first_ms < stopped_by_ms),
        "started at {started_ms}, stopped at {stops_ms:?}"
    );
}

/// Guards against a single lost stop after which a member waits in vain.
#[test]
fn an_unanswered_stop_of_a_member_is_repeated_while_it_is_of_use() {
    let Attempt { started_ms, stops_ms } = play(SecondStart::Silent);
    let stopped_by_ms = started_ms + GANG_WAIT_MS - STOP_MAX_MS;
    let useful = stops_ms.iter().filter(|sent_ms| **sent_ms < stopped_by_ms).count();
    assert!(useful >= 2, "started at {started_ms}, stopped at {stops_ms:?}");
}

/// Guards against members that run on until the worker of another one has answered its stop.
#[test]
fn members_are_stopped_as_soon_as_one_of_them_is() {
    let Attempt { started_ms, stops_ms } = play(SecondStart::OldRun);
    assert!(
        stops_ms.first().is_some_and(|first_ms| *first_ms <= started_ms + 2 * STEP_MS),
        "started at {started_ms}, stopped at {stops_ms:?}"
    );
}
