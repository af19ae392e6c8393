//! Refusals, returns of refused callers, and steps that were passed over.

use std::collections::BTreeMap;

use stoatwell_admission::Admission;
use stoatwell_admission::Arrival;
use stoatwell_admission::CustomerId;
use stoatwell_admission::CustomerShare;
use stoatwell_admission::Sample;
use stoatwell_admission::Verdict;
use stoatwell_admission::Waiting;

const SERVICE: &str = "pool";
const FLOODING: CustomerId = CustomerId(0);
const OTHER: CustomerId = CustomerId(1);
const BATCH: u32 = 2;

fn waiting(cores: u64, seconds: u64) -> Waiting {
    Waiting { work_core_ms: cores * seconds * 1_000, cpu_millis: cores * 1_000 }
}

/// A full pool of 100 cores in which the first customer uses 80.
fn flooded() -> Sample {
    Sample {
        capacity_millis: 100_000,
        used_millis: 100_000,
        used: BTreeMap::from([((FLOODING, BATCH), 80_000), ((OTHER, BATCH), 20_000)]),
        waiting: BTreeMap::from([
            ((FLOODING, BATCH), waiting(500, 4)),
            ((OTHER, BATCH), waiting(10, 4)),
        ]),
        ..Sample::default()
    }
}

/// The accounts after `for_ms` in which each sample was the same.
fn accounts(sample: &Sample, for_ms: u64) -> Admission {
    let shares = [CustomerShare { weight: 1.0, cap_millis: 0 }; 2];
    let mut admission = Admission::default();
    for now_ms in (0..=for_ms).step_by(200) {
        admission.record(now_ms, SERVICE, sample.clone(), &shares);
    }
    admission
}

/// A batch of 10 tasks of 4 s that may take 8 s.
fn arrival(job: u64, customer: CustomerId) -> Arrival<'static> {
    Arrival {
        job,
        service: SERVICE,
        customer,
        priority: BATCH,
        waiting: waiting(10, 4),
        first_cpu_millis: 10_000,
        duration_ms: 4_000,
        allowed_ms: 8_000,
        exceeds_rate: customer == FLOODING,
    }
}

fn retry_after_s(verdict: Verdict) -> Option<u32> {
    if let Verdict::Refuse(refusal) = verdict { Some(refusal.retry_after_s) } else { None }
}

/// Guards against hopeless work that is taken, and against a refusal whose inputs do not explain
/// it: 2,000 core-seconds wait before the job at 80 and 100 cores.
#[test]
fn work_beyond_a_weight_that_ends_far_too_late_is_refused() {
    let mut admission = accounts(&flooded(), 10_000);
    let Verdict::Refuse(refusal) = admission.judge(10_000, &arrival(1, FLOODING)) else {
        panic!("the job is admitted");
    };
    assert!((20_000..26_000).contains(&refusal.expected_end_ms), "{refusal:?}");
    assert_eq!((refusal.own_backlog_core_ms, refusal.entitled_millis), (2_000_000, 50_000));
}

/// Guards against refusals without a reason for one: of a customer within its weight, by a new
/// leader, of work that may still be in time, of work that has room, and of work that takes
/// nothing from other customers.
#[test]
fn in_doubt_work_is_admitted() {
    let admits = |sample: &Sample, for_ms: u64, arrival: &Arrival<'_>| {
        accounts(sample, for_ms).judge(for_ms, arrival) == Verdict::Admit
    };
    let job = arrival(1, FLOODING);
    assert!(!admits(&flooded(), 10_000, &job));
    assert!(admits(&flooded(), 10_000, &arrival(1, OTHER)));
    assert!(admits(&flooded(), 4_000, &job));
    assert!(admits(&flooded(), 10_000, &Arrival { allowed_ms: 15_000, ..job }));
    assert!(admits(&Sample { free_millis: 520_000, ..flooded() }, 10_000, &job));
    // Capacity that is kept free for urgent work is room only for that.
    let headroom = Sample { free_millis: 520_000, headroom_millis: 520_000, ..flooded() };
    assert!(!admits(&headroom, 10_000, &job));
    assert!(admits(&headroom, 10_000, &Arrival { priority: 0, ..job }));
    let mut alone = flooded();
    alone.waiting.remove(&(OTHER, BATCH));
    assert!(admits(&alone, 10_000, &job));
    assert_eq!(Admission::default().judge(10_000, &job), Verdict::Admit);
}

/// Guards against callers that all return at the same moment, or out of order, and against one
/// that is refused again when it returns as it was asked to.
#[test]
fn refused_callers_return_in_the_order_of_arrival_and_are_admitted() {
    let mut admission = accounts(&flooded(), 10_000);
    let times: Vec<u32> = (1..=10)
        .filter_map(|job| retry_after_s(admission.judge(10_000, &arrival(job, FLOODING))))
        .collect();
    assert!(times.len() == 10 && times.is_sorted() && times[0] < times[9], "{times:?}");
    let early_ms = 10_000 + u64::from(times[0] - 4) * 1_000;
    let shares = [CustomerShare { weight: 1.0, cap_millis: 0 }; 2];
    admission.record(early_ms, SERVICE, flooded(), &shares);
    assert!(retry_after_s(admission.judge(early_ms, &arrival(10, FLOODING))).is_some());
    let due_ms = 10_000 + u64::from(times[0]) * 1_000;
    assert_eq!(admission.judge(due_ms, &arrival(1, FLOODING)), Verdict::Admit);
}

/// Guards against an order that changes across priorities for urgent work within the share, for
/// others, or in a pool that is not full.
#[test]
fn only_work_beyond_a_share_of_a_full_pool_waits() {
    let mut sample = flooded();
    sample.used.insert((FLOODING, 0), 20_000);
    let admission = accounts(&sample, 10_000);
    assert!(admission.is_beyond_share(SERVICE, FLOODING, BATCH));
    assert!(!admission.is_beyond_share(SERVICE, FLOODING, 0));
    assert!(!admission.is_beyond_share(SERVICE, OTHER, BATCH));
    let roomy = accounts(&Sample { free_millis: 520_000, ..sample }, 10_000);
    assert!(!roomy.is_beyond_share(SERVICE, FLOODING, BATCH));
}

/// Guards against accepted work that is passed over without a bound, and against late work that
/// takes more than its part of the capacity by going first.
#[test]
fn work_passed_over_for_long_goes_first_within_a_part_of_the_capacity() {
    let mut admission = accounts(&flooded(), 10_000);
    assert!(!admission.promote(SERVICE, 19_000, 1_000));
    assert!(admission.promote(SERVICE, 20_000, 60_000));
    assert!(!admission.promote(SERVICE, 30_000, 1_000));
    admission.record(13_000, SERVICE, flooded(), &[]);
    assert!(admission.promote(SERVICE, 30_000, 1_000));
}
