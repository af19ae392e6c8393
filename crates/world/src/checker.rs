//! Invariants that must hold at every moment, checked from outside the engines.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use stoatwell_engine::Answer;
use stoatwell_model::AttemptId;
use stoatwell_model::Code;
use stoatwell_model::JobId;
use stoatwell_model::Outcome;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::TaskReport;
use stoatwell_standin::worker::Worker;

/// Records what happens in the simulation and panics when an invariant is violated.
#[derive(Default)]
pub struct Checker {
    /// Number of starts, by job and index of the task.
    starts: BTreeMap<(JobId, u32), u32>,
    requests: BTreeMap<JobId, u32>,
    not_run: HashSet<JobId>,
    /// Text that the answer to a ticket must contain.
    markers: HashMap<u64, String>,
    /// Workers on which nothing may start from this time on.
    no_starts_from_ms: HashMap<WorkerId, u64>,
    pub capacity: Option<Resources>,
    pub starts_seen: u64,
    pub requests_seen: u64,
    pub unknown_seen: u64,
}

impl Checker {
    /// Requires that the answer to this ticket contains this text.
    pub fn expect_marker(&mut self, ticket: u64, marker: &str) {
        self.markers.insert(ticket, marker.to_owned());
    }

    /// Requires that nothing starts on this worker from this time on.
    pub fn forbid_starts(&mut self, worker: &WorkerId, from_ms: u64) {
        self.no_starts_from_ms.insert(worker.clone(), from_ms);
    }

    pub fn allow_starts(&mut self, worker: &WorkerId) {
        self.no_starts_from_ms.remove(worker);
    }

    pub fn on_start(
        &mut self,
        now_ms: u64,
        worker: &WorkerId,
        report: &TaskReport,
        workers: &BTreeMap<WorkerId, Worker>,
        dead: &HashSet<WorkerId>,
    ) {
        self.starts_seen += 1;
        let attempt = report.attempt;
        let key = (attempt.job, attempt.task);
        let starts = self.starts.entry(key).or_default();
        *starts += 1;
        if report.entry == "route" {
            assert_eq!(*starts, 1, "a task that runs at most once was started twice: {attempt:?}");
        }
        if matches!(report.entry.as_str(), "route" | "packet" | "solo") {
            let running_on = running_on(attempt, workers, dead);
            assert!(
                running_on.len() <= 1,
                "an exclusive task runs on two workers: {attempt:?} on {running_on:?}"
            );
        }
        assert!(
            !self.not_run.contains(&attempt.job),
            "a job reported as not run was started: {attempt:?}"
        );
        if let Some(from_ms) = self.no_starts_from_ms.get(worker) {
            assert!(now_ms < *from_ms, "a task started on {worker}, which must get no more starts");
        }
        if let (Some(capacity), Some(found)) = (self.capacity, workers.get(worker)) {
            check_capacity(worker, found, &capacity);
        }
    }

    pub fn on_request(&mut self, attempt: AttemptId, busy: u32, slots: u32) {
        self.requests_seen += 1;
        assert!(busy <= slots, "a minion got more requests than it has slots");
        *self.requests.entry(attempt.job).or_default() += 1;
        assert!(
            !self.not_run.contains(&attempt.job),
            "a request reported as not run was started: {attempt:?}"
        );
    }

    /// Checks that bookings ran at most once, whatever happened to their callers.
    pub fn check_at_most_once(&self, bookings: &HashSet<JobId>) {
        for (job, count) in &self.requests {
            if bookings.contains(job) {
                assert!(*count <= 1, "a booking ran {count} times: {job:?}");
            }
        }
    }

    pub fn on_answer(&mut self, ticket: u64, answer: &Answer) {
        match answer {
            Answer::Job(Ok(view)) => match &view.outcome {
                Some(Outcome::NotRun { .. }) => self.on_not_run(view.job),
                Some(Outcome::Unknown { .. }) => self.unknown_seen += 1,
                Some(Outcome::Done { answer }) => {
                    if let Some(marker) = self.markers.get(&ticket) {
                        assert!(
                            answer.contains(marker.as_str()),
                            "a caller got the answer to another caller's job"
                        );
                    }
                }
                Some(Outcome::Failed { .. }) | None => {}
            },
            Answer::Job(Err(failure)) if failure.code == Code::AcceptanceUnknown => {
                self.unknown_seen += 1;
            }
            _ => {}
        }
    }

    /// Checks and records a durable outcome or an answer that says that a job did not run.
    pub fn on_not_run(&mut self, job: JobId) {
        self.not_run.insert(job);
        let tasks = self.starts.range((job, 0)..=(job, u32::MAX)).next();
        assert!(tasks.is_none(), "a job that was started is reported as not run: {job:?}");
        assert!(
            !self.requests.contains_key(&job),
            "a request that was started is reported as not run: {job:?}"
        );
    }

    /// Advances every live worker to this time and checks that its tasks fit its capacity.
    pub fn check_workers(
        &mut self,
        now_ms: u64,
        workers: &mut BTreeMap<WorkerId, Worker>,
        dead: &HashSet<WorkerId>,
    ) {
        for (id, worker) in workers.iter_mut() {
            if dead.contains(id) {
                continue;
            }
            worker.advance(now_ms);
            if let Some(capacity) = self.capacity {
                check_capacity(id, worker, &capacity);
            }
        }
    }

    pub fn start_count(&self, job: JobId) -> u32 {
        self.starts.range((job, 0)..=(job, u32::MAX)).map(|(_, count)| count).sum()
    }

    pub fn request_count(&self, job: JobId) -> u32 {
        self.requests.get(&job).copied().unwrap_or(0)
    }
}

fn running_on(
    attempt: AttemptId,
    workers: &BTreeMap<WorkerId, Worker>,
    dead: &HashSet<WorkerId>,
) -> Vec<WorkerId> {
    let mut running_on = Vec::new();
    for (id, worker) in workers {
        if dead.contains(id) {
            continue;
        }
        let matching = worker
            .running()
            .filter(|other| other.attempt.job == attempt.job && other.attempt.task == attempt.task);
        running_on.extend(matching.map(|_| id.clone()));
    }
    running_on
}

fn check_capacity(id: &WorkerId, worker: &Worker, capacity: &Resources) {
    let mut sum = Resources::ZERO;
    for report in worker.running() {
        sum = sum.plus(&report.demand);
    }
    let tasks: Vec<_> = worker
        .running()
        .map(|report| (&report.entry, report.attempt, &report.coordinator))
        .collect();
    assert!(capacity.holds(&sum), "tasks on {id} demand {sum:?} of {capacity:?}: {tasks:?}");
}
