//! Builders for the jobs that tests submit.

use stoatwell_model::Resources;
use stoatwell_pool::JobSpec;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepSpec;

/// A queue whose tasks need no tickets from the advisor.
pub fn queue(priority: u32) -> QueueSpec {
    QueueSpec {
        name: format!("q{priority}"),
        service: "pool".to_owned(),
        priority,
        attempts_max: 3,
        slack_factor: 2.0,
        target_ms: 1_000,
        advice: None,
    }
}

/// A job without a customer that runs once.
pub fn job(queue: QueueSpec, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue,
        customer: None,
        payload: "work".to_owned(),
        steps,
        repeat: None,
        accepted_unix_ms: 1_000,
    }
}

/// A step of independent tasks with 1 MiB of memory each.
pub fn step(tasks: u32, cpu_millis: u64, estimate_ms: u64) -> StepSpec {
    let demand = Resources { cpu_millis, memory_bytes: 1 << 20, accelerators: 0 };
    StepSpec { tasks, demand, estimate_ms, ..StepSpec::default() }
}
