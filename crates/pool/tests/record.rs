//! The durable row of a job.

use stoatwell_model::WorkerId;
use stoatwell_pool::Outcome;
use stoatwell_pool::Progress;
use stoatwell_pool::TaskProgress;

fn task(step_index: u32, index: u32) -> TaskProgress {
    TaskProgress {
        step_index,
        index,
        run: 2,
        failures: 1,
        failed_run: 1,
        ..TaskProgress::default()
    }
}

#[test]
fn a_row_survives_a_round_trip() {
    let placed = |worker: &str, incarnation| TaskProgress {
        worker: Some(WorkerId::new(worker)),
        address: "10.0.0.1:80".to_owned(),
        incarnation,
        checkpoint: "00ab".to_owned(),
        ..task(0, 1)
    };
    let done = TaskProgress { done: true, ..task(0, 0) };
    let progress = Progress {
        outcome: Some(Outcome::Failed),
        finished_unix_ms: 7,
        tasks: vec![done, placed("i-1", 3), placed("i-1", 4), placed("i-2", 3), task(1, 0)],
    };
    let text = serde_json::to_string(&progress).expect("written");
    assert_eq!(serde_json::from_str::<Progress>(&text).expect("read"), progress);
}

/// The row of a job of 25 running tasks is written some fifty times. Guards against a link
/// of the scheduler that is saturated by rows with 500 such jobs running: a row has to stay
/// under 1.8 KB, that of a finished job under 0.6 KB.
#[test]
fn rows_are_short() {
    let mut progress = Progress::default();
    for index in 0..25 {
        progress.tasks.push(TaskProgress {
            worker: Some(WorkerId::new(format!("i-22afcd81{index:02}"))),
            address: "10.128.0.19:8080".to_owned(),
            incarnation: 1_722_480_104_000,
            ..task(0, index)
        });
    }
    let running = serde_json::to_string(&progress).expect("written").len();
    for task_progress in &mut progress.tasks {
        *task_progress = TaskProgress { done: true, ..task(0, task_progress.index) };
    }
    let finished = serde_json::to_string(&progress).expect("written").len();
    assert!(running < 1_800 && finished < 600, "{running} and {finished} bytes");
}

/// Guards against a row that the store refuses as too long, because it has the checkpoints of all
/// tasks that ever ran: neither the job nor another one of its partition made progress then.
#[test]
fn a_row_of_many_tasks_with_checkpoints_is_bounded() {
    let mut progress = Progress::default();
    for index in 0..2_000 {
        let is_done = index < 1_900;
        let worker = Some(WorkerId::new(format!("i-22afcd81{:02}", index % 100)));
        progress.tasks.push(TaskProgress {
            done: is_done,
            worker: worker.filter(|_| !is_done),
            address: "10.128.0.19:8080".to_owned(),
            incarnation: 1_722_480_104_000,
            checkpoint: "c".repeat(400),
            ..task(0, index)
        });
    }
    let text = serde_json::to_string(&progress).expect("written");
    assert!(text.len() < 65_536, "{} bytes", text.len());
    let read: Progress = serde_json::from_str(&text).expect("read");
    let kept: Vec<u32> = read
        .tasks
        .iter()
        .filter(|task| !task.checkpoint.is_empty())
        .map(|task| task.index)
        .collect();
    assert_eq!(kept.first(), Some(&1_900), "checkpoints of running tasks are kept");
}
