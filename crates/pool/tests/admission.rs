//! Twenty customers of equal weight, two of which send many times their usual number of jobs for
//! a while, one of them with twice the batches.

mod world;

use std::collections::BTreeMap;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_pool::Accepted;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

const CUSTOMERS: usize = 20;
/// The customers of lower numbers flood.
const FLOODING: usize = 2;
const FLOOD_FACTOR: u64 = 8;
const WEIGHT: f64 = 2.0;
const CAP: Resources = Resources { cpu_millis: 120_000, ..Resources::ZERO };
const TICK_MS: u64 = 50;
/// Usual intervals of a customer's urgent jobs, gangs and batches, in ticks.
const INTERVALS_TICKS: [u64; 3] = [20, 120, 60];
const FLOOD_TICKS: std::ops::Range<u64> = 200..360;
const ARRIVALS_TICKS: u64 = 560;
const DAY_TICKS: u64 = 2_160;
const TRIES_MAX: u32 = 5;

struct Submission {
    customer: usize,
    spec: JobSpec,
    tries: u32,
    next_try_ms: Option<u64>,
    is_refused: bool,
    ended_ms: Option<u64>,
}

impl Submission {
    /// A late job is worth a fifth of one in time.
    fn value(&self) -> f64 {
        let late_ms = self.spec.accepted_unix_ms + self.spec.allowed_ms();
        self.ended_ms.map_or(0.0, |ended_ms| if ended_ms <= late_ms { 1.0 } else { 0.2 })
    }
}

fn submission(customer: usize, priority: u32, now_ms: u64) -> Submission {
    let limits = CustomerLimits { name: name(customer), weight: WEIGHT, cap: CAP };
    let work = [step(1, 2_500, 850), step(6, 2_000, 1_500), step(5, 1_700, 1_900)];
    let mut step = work[priority as usize].clone();
    step.gang = priority == 1;
    let mut spec = JobSpec { customer: Some(limits), ..job(queue(priority), vec![step]) };
    spec.accepted_unix_ms = now_ms;
    let next_try_ms = Some(now_ms);
    Submission { customer, spec, tries: 0, next_try_ms, is_refused: false, ended_ms: None }
}

fn name(customer: usize) -> CustomerName {
    CustomerName::new(format!("c{customer:02}"))
}

/// Simulates a flood and the time after it. `with_weights` is whether the scheduler learns the
/// manifest's weights; it knows the caps from the jobs.
fn simulate(seed: u64, with_weights: bool) -> Vec<Submission> {
    let mut world = World::new(seed, 24, Faults::default());
    world.run(100);
    for customer in 0..CUSTOMERS {
        if with_weights {
            world.set_cap(&name(customer), WEIGHT, CAP);
        }
    }
    let mut all: BTreeMap<u64, Submission> = BTreeMap::new();
    for tick in 0..DAY_TICKS {
        for customer in (0..CUSTOMERS).filter(|_| tick < ARRIVALS_TICKS) {
            let floods = customer < FLOODING && FLOOD_TICKS.contains(&tick);
            for (priority, interval) in (0..).zip(INTERVALS_TICKS) {
                let batches = if customer == 1 && priority == 2 { 2 } else { 1 };
                let count = if floods { FLOOD_FACTOR * batches } else { 1 };
                // The jobs of a flood are spread over the usual interval.
                let is_due =
                    |index: &u64| (tick + customer as u64) % interval == index * interval / count;
                for _ in (0..count).filter(is_due) {
                    let number = all.len() as u64 + 1;
                    all.insert(number, submission(customer, priority, world.now_ms));
                }
            }
        }
        for (number, it) in &mut all {
            if it.next_try_ms.is_some_and(|try_ms| try_ms <= world.now_ms) {
                it.tries += 1;
                world.submit_via_scheduler(*number, it.spec.clone());
                it.next_try_ms = match world.submission_result(*number) {
                    Some(Accepted::Overloaded { retry_after_s }) if it.tries < TRIES_MAX => {
                        Some(world.now_ms + u64::from(retry_after_s) * 1_000)
                    }
                    result => {
                        it.is_refused = matches!(result, Some(Accepted::Overloaded { .. }));
                        None
                    }
                };
            }
            if it.ended_ms.is_none() && world.state(*number) == Some(JobState::Completed) {
                it.ended_ms = Some(world.now_ms);
            }
        }
        world.run(TICK_MS);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
    all.into_values().collect()
}

/// Guards against customers within their weight that pay for others beyond theirs, by refusals
/// or by lateness, and against accepted jobs that never run. Prints the mean value and the share
/// in time without and with weights.
#[test]
fn customers_within_their_weight_are_served_beside_floods() {
    let days = [false, true].map(|with_weights| {
        let days = (1..5).map(|seed| simulate(seed, with_weights));
        days.flatten().collect::<Vec<Submission>>()
    });
    let is_within = |it: &&Submission| it.customer >= FLOODING;
    let summary = |day: &[Submission], within: bool, priorities: std::ops::Range<u32>| {
        let is_chosen = |it: &&Submission| {
            is_within(it) == within && priorities.contains(&it.spec.queue.priority)
        };
        let values: Vec<f64> = day.iter().filter(is_chosen).map(Submission::value).collect();
        let in_time = values.iter().filter(|value| **value > 0.9).count();
        (values.iter().sum::<f64>() / values.len() as f64, in_time as f64 / values.len() as f64)
    };
    for (day, with_weights) in days.iter().zip([false, true]) {
        for priorities in [0..3, 0..1, 1..2, 2..3] {
            let within = summary(day, true, priorities.clone());
            let flooding = summary(day, false, priorities.clone());
            println!("weights {with_weights}, {priorities:?}: {within:.3?} {flooding:.3?}");
        }
        let is_lost = |it: &&Submission| !it.is_refused && it.ended_ms.is_none();
        assert_eq!(day.iter().filter(is_lost).count(), 0);
    }
    let [before, after] = &days;
    assert!(before.iter().all(|it| it.tries == 1));
    assert!(after.iter().filter(is_within).all(|it| it.tries == 1));
    let refusals: u32 = after.iter().map(|it| it.tries - 1).sum();
    let refused = after.iter().filter(|it| it.is_refused).count();
    println!("{refusals} refusals, {refused} jobs refused for good");
    assert!(refusals > 0);
    assert!(summary(after, true, 0..1).1 > 0.99);
    assert!(summary(after, true, 0..3).0 > summary(before, true, 0..3).0);
}
