//! Checks of submitted jobs.

use stoatwell_model::Resources;
use stoatwell_pool::JobSpec;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::Repeat;
use stoatwell_pool::SpecError;
use stoatwell_pool::StepSpec;

fn job(step: StepSpec, repeat: Option<Repeat>) -> JobSpec {
    let queue = QueueSpec {
        name: "queue".to_owned(),
        service: "pool".to_owned(),
        priority: 0,
        attempts_max: 3,
        slack_factor: 2.0,
        target_ms: 1_000,
        advice: None,
    };
    let payload = "work".to_owned();
    JobSpec { queue, customer: None, payload, steps: vec![step], repeat, accepted_unix_ms: 1_000 }
}

fn step() -> StepSpec {
    let demand = Resources { cpu_millis: 1_000, memory_bytes: 1 << 20, accelerators: 0 };
    StepSpec { tasks: 1, demand, estimate_ms: 100, ..StepSpec::default() }
}

/// Guards against numbers of callers that overflow in sums over tasks and times.
#[test]
fn jobs_with_numbers_out_of_range_are_rejected() {
    assert!(job(step(), None).check().is_ok());
    let demands = [
        Resources { cpu_millis: u64::MAX, ..Resources::ZERO },
        Resources { memory_bytes: u64::MAX, ..Resources::ZERO },
        Resources { accelerators: u64::MAX, ..Resources::ZERO },
    ];
    for demand in demands {
        let check = job(StepSpec { demand, ..step() }, None).check();
        assert!(matches!(check, Err(SpecError::StepOutOfRange(0))), "{check:?}");
    }
    let check = job(StepSpec { estimate_ms: u64::MAX, ..step() }, None).check();
    assert!(matches!(check, Err(SpecError::StepOutOfRange(0))), "{check:?}");
    for (first_unix_ms, interval_ms) in [(u64::MAX, 1), (1_000, u64::MAX)] {
        let check = job(step(), Some(Repeat { first_unix_ms, interval_ms, times: 3 })).check();
        assert!(matches!(check, Err(SpecError::RepeatOutOfRange)), "{check:?}");
    }
}
