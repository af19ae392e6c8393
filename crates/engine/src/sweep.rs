//! Periodic cleanup of jobs and tasks.
//!
//! A job without a live coordinator is taken over: this daemon writes itself into the
//! job's record as its new coordinator. A task on a held worker is orphaned if no
//! coordinator knows its job; the task is stopped if the job has finished. The records of
//! finished jobs are removed after their retention time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use stoatwell_ledger::JobMachine;
use stoatwell_ledger::Write;
use stoatwell_ledger::rows;
use stoatwell_membership::rendezvous;
use stoatwell_model::AttemptId;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::worker::StopMode;
use stoatwell_platform::CallError;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;

use crate::Engine;
use crate::jobs::Job;
use crate::ops::StoreOp;
use crate::submit::view_of_record;

/// Maximum number of open rows read in one scan.
const OPEN_ROWS_PER_SCAN: u32 = 500;
/// Maximum number of job records read at once, for takeovers and for orphaned tasks. The
/// others are read in later sweeps.
const TAKEOVER_BATCH: usize = 64;
/// Maximum number of finished jobs removed at once.
const REMOVAL_BATCH: u32 = 32;
/// Time after the end of a task, or after the last check, at which the record of its job is
/// checked, if another daemon coordinates the job.
const ENDED_TASK_CHECK_MS: UnixMs = 30_000;
/// A zone is dead if no daemon of it showed a sign of life for this long. The relays of
/// other zones then take over its jobs.
const ZONE_DEAD_MS: UnixMs = 60_000;

/// State of the cleanup.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    /// Job writes that await their result, by write id.
    pub(crate) writes: BTreeMap<u64, JobId>,
    next_scan_ms: UnixMs,
    next_removal_ms: UnixMs,
    scanning: bool,
    reading: bool,
    removing: bool,
    /// Key of the last open row read; empty if the next scan starts at the first row.
    cursor: String,
    /// Zone of the latest scan.
    zone: Option<ZoneName>,
    /// Jobs to take over.
    takeovers: BTreeSet<JobId>,
    /// Attempts on held workers whose coordinator doesn't know the job.
    orphans: BTreeSet<AttemptId>,
}

/// All attempts that a job can have.
pub(crate) fn attempts_of(job: JobId) -> RangeInclusive<AttemptId> {
    let first = AttemptId { job, task: 0, attempt: 0 };
    let last = AttemptId { job, task: u32::MAX, attempt: u32::MAX };
    first..=last
}

impl Sweep {
    /// Queues jobs for takeover.
    pub(crate) fn queue_takeovers(&mut self, jobs: Vec<JobId>) {
        self.takeovers.extend(jobs);
    }

    /// Records an attempt whose coordinator doesn't know its job.
    pub(crate) fn add_orphan(&mut self, attempt: AttemptId) {
        self.orphans.insert(attempt);
    }
}

impl Engine {
    pub(crate) fn sweep_tick(&mut self) {
        let now_ms = self.now_ms;
        if self.stopping || !self.is_ready() || !self.members.is_warmed_up(now_ms) {
            return;
        }
        self.read_takeovers();
        if now_ms >= self.sweep.next_scan_ms && !self.sweep.scanning {
            self.sweep.next_scan_ms = now_ms + self.settings.ledger.sweep_ms;
            self.scan_open_jobs();
            self.find_orphans();
            self.move_stranded_jobs();
        }
        // Of the daemons of a zone, only the relay removes records.
        let due = now_ms >= self.sweep.next_removal_ms && !self.sweep.removing;
        if due && self.members.is_relay(now_ms) {
            self.sweep.next_removal_ms = now_ms + self.settings.ledger.sweep_ms;
            self.sweep.removing = true;
            let (prefix, after) = (rows::DONE.to_owned(), String::new());
            self.call_store(
                StoreOp::SweepFinished,
                StoreCall::Scan { prefix, after, limit: REMOVAL_BATCH },
            );
        }
    }

    fn scan_open_jobs(&mut self) {
        let zone = self.zone_to_scan();
        if self.sweep.zone.as_ref() != Some(&zone) {
            self.sweep.cursor.clear();
        }
        let prefix = rows::open_prefix(&zone);
        self.sweep.zone = Some(zone);
        self.sweep.scanning = true;
        let after = self.sweep.cursor.clone();
        self.call_store(
            StoreOp::SweepOpen,
            StoreCall::Scan { prefix, after, limit: OPEN_ROWS_PER_SCAN },
        );
    }

    /// The zone whose open jobs are scanned next. This is the daemon's own zone, but every
    /// second scan of the relay is of a dead zone, if there is one.
    fn zone_to_scan(&self) -> ZoneName {
        let own = self.me.zone.clone();
        let now_ms = self.now_ms;
        if !self.members.is_relay(now_ms) || !self.sweep.cursor.is_empty() {
            return own;
        }
        let is_dead = |zone: &&ZoneName| {
            let heard_ms = self.zones.get(*zone).map_or(0, |state| state.heard_ms);
            let silent = now_ms >= heard_ms + ZONE_DEAD_MS;
            silent && self.members.live_in_zone(now_ms, zone).next().is_none()
        };
        let is_even_sweep = (now_ms / self.settings.ledger.sweep_ms.max(1)).is_multiple_of(2);
        let zones = self.members.other_zones();
        let dead_zone = zones.keys().copied().find(is_dead);
        match dead_zone {
            Some(zone) if is_even_sweep => zone.clone(),
            _ => own,
        }
    }

    pub(crate) fn on_open_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.scanning = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        let is_full = found.len() as u32 == OPEN_ROWS_PER_SCAN;
        let last = found.last().map(|row| row.key.clone()).unwrap_or_default();
        self.sweep.cursor = if is_full { last } else { String::new() };
        let holders = self.members.holders(self.now_ms, self.stopping);
        // In its own zone, a daemon takes over only the jobs that are assigned to it. Another
        // zone is scanned by the relay alone, which therefore takes over all of its jobs.
        let in_other_zone = self.sweep.zone.as_ref().is_some_and(|zone| *zone != self.me.zone);
        for row in found {
            let Ok(open) = serde_json::from_str::<rows::OpenRow>(&row.value) else {
                continue;
            };
            let is_own = open.coordinator == self.me.daemon;
            let is_coordinated_here = self.jobs.contains_key(&open.job);
            // A row that names this daemon but an unknown job was written before the daemon
            // restarted.
            let is_abandoned =
                if is_own { !is_coordinated_here } else { !self.is_live(&open.coordinator) };
            let is_assigned = in_other_zone
                || rendezvous::select(&open.job.to_string(), &holders) == Some(&self.me.daemon);
            // If the job is still coordinated here but its row names another daemon, that
            // daemon has taken it over.
            let taken_over = is_coordinated_here && !is_own;
            if taken_over || (is_abandoned && !is_coordinated_here && (is_own || is_assigned)) {
                self.sweep.takeovers.insert(open.job);
            }
        }
    }

    fn read_takeovers(&mut self) {
        if self.sweep.reading || self.sweep.takeovers.is_empty() {
            return;
        }
        let jobs: Vec<JobId> = self.sweep.takeovers.iter().take(TAKEOVER_BATCH).copied().collect();
        for job in &jobs {
            self.sweep.takeovers.remove(job);
        }
        self.sweep.reading = true;
        let keys = jobs.into_iter().map(rows::job_key).collect();
        self.call_store(StoreOp::SweepTakeovers, StoreCall::Read { keys });
    }

    pub(crate) fn on_takeover_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.reading = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        for row in found {
            self.take_over(&row);
        }
    }

    /// Makes this daemon the coordinator of a job. The write fails if the record changed
    /// since it was read: another daemon took the job over first, or the previous
    /// coordinator is alive and has written.
    fn take_over(&mut self, row: &Row) {
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else {
            return;
        };
        let id = record.job;
        if let Some(job) = self.jobs.get(&id) {
            if job.accepted && job.machine.record.epoch < record.epoch {
                self.abandon_job(id, &row.value);
            }
            return;
        }
        if record.outcome.is_some() {
            return;
        }
        let is_foreign = record.coordinator != self.me.daemon;
        if is_foreign && self.is_live(&record.coordinator) && !self.is_stopping(&record.coordinator)
        {
            return;
        }
        let attempts_max =
            self.catalogue.work(&record.entry).map_or(1, |entry| entry.limits.attempts);
        let body = record.body.clone();
        let object = record.body_object.clone();
        let mut machine = JobMachine::new(record, row.version, attempts_max);
        let former = machine.record.coordinator.clone();
        machine.reassign(&self.me.daemon, &self.me.zone);
        machine.note(format!("taken over from daemon {former}"));
        let mut job = Job::new(machine, body);
        // The new holders of the dead daemon's workers need this long to learn what
        // runs on them.
        let settled_ms = self.now_ms + self.leases.ttl_ms();
        job.discovery_due_ms = Some(settled_ms);
        job.inquire_not_before_ms = settled_ms;
        job.accept_until_ms = UnixMs::MAX / 2;
        self.jobs.insert(id, job);
        match object {
            Some(key) => self.call_store(StoreOp::LoadBody(id), StoreCall::GetObject { key }),
            None => self.write_job(id),
        }
    }

    fn is_stopping(&self, daemon: &stoatwell_model::DaemonId) -> bool {
        self.members.get(daemon).is_some_and(|member| member.stopping)
    }

    pub(crate) fn on_body_loaded(&mut self, id: JobId, reply: Result<StoreReply, CallError>) {
        let Ok(StoreReply::Object { body: Some(body) }) = reply else {
            // The next scan finds the job again.
            self.jobs.remove(&id);
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.body = body;
        }
        self.write_job(id);
    }

    /// Finds tasks on held workers that may be orphaned, and reads the records of their
    /// jobs. The job is not coordinated by this daemon, and one of these holds: the task
    /// names this daemon as its coordinator, the coordinator replied that it doesn't know
    /// the job, or the task ended, or was last checked, at least [`ENDED_TASK_CHECK_MS`] ago.
    fn find_orphans(&mut self) {
        let mut jobs = BTreeSet::new();
        for held in self.held.values() {
            for (attempt, task) in &held.tasks {
                if self.jobs.contains_key(&attempt.job) {
                    continue;
                }
                let is_own = task.coordinator == self.me.daemon;
                let ended_ms = task.ended_ms;
                let is_stale = ended_ms > 0 && self.now_ms >= ended_ms + ENDED_TASK_CHECK_MS;
                if is_own || is_stale || self.sweep.orphans.contains(attempt) {
                    jobs.insert(attempt.job);
                }
            }
        }
        self.sweep.orphans.clear();
        if jobs.is_empty() {
            return;
        }
        let jobs: Vec<JobId> = jobs.into_iter().take(TAKEOVER_BATCH).collect();
        let keys = jobs.iter().map(|job| rows::job_key(*job)).collect();
        self.call_store(StoreOp::SweepOrphans(jobs), StoreCall::Read { keys });
    }

    pub(crate) fn on_orphan_rows(&mut self, jobs: &[JobId], reply: Result<StoreReply, CallError>) {
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        for (job, row) in jobs.iter().zip(found) {
            let record: Option<JobRecord> = serde_json::from_str(&row.value).ok();
            match record {
                // The job is open, so its coordinator may still inquire about the tasks. They
                // are kept for it.
                Some(record) if record.outcome.is_none() => self.postpone_check(*job),
                Some(record) => {
                    self.remember_finished(view_of_record(record, Vec::new()));
                    self.clean_up_job_tasks(*job);
                }
                None => self.clean_up_job_tasks(*job),
            }
        }
    }

    /// Postpones the next check of an open job's ended tasks by [`ENDED_TASK_CHECK_MS`].
    fn postpone_check(&mut self, job: JobId) {
        let now_ms = self.now_ms;
        for held in self.held.values_mut() {
            for (_, task) in held.tasks.range_mut(attempts_of(job)) {
                task.ended_ms = if task.ended_ms > 0 { now_ms } else { 0 };
            }
        }
    }

    /// Allows the workers held here to forget a job's ended tasks, and stops its running
    /// ones.
    pub(crate) fn clean_up_job_tasks(&mut self, job: JobId) {
        let mut ended: BTreeMap<AttemptId, WorkerId> = BTreeMap::new();
        let mut running = Vec::new();
        for (worker, held) in &self.held {
            for (attempt, task) in held.tasks.range(attempts_of(job)) {
                if task.state.is_running() {
                    running.push((worker.clone(), *attempt));
                } else {
                    ended.insert(*attempt, worker.clone());
                }
            }
        }
        for (worker, attempt) in running {
            self.queue_stop(&worker, attempt, StopMode::Stop);
        }
        self.acknowledge(&ended);
    }

    pub(crate) fn on_finished_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.removing = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        let kept_from =
            rows::first_done_key(self.now_ms.saturating_sub(self.settings.ledger.retention_ms));
        let mut deletes = Vec::new();
        for row in &found {
            // The key contains the hour in which the job finished. Rows are removed only if
            // the retention time is over for the whole hour.
            if row.key >= kept_from {
                break;
            }
            deletes.push(row.key.clone());
            if let Some(job) = rows::job_of_done_key(&row.key) {
                deletes.push(rows::job_key(job));
                let key = format!("body/{job}");
                self.call_store(StoreOp::RemoveBody, StoreCall::DeleteObject { key });
            }
        }
        if deletes.is_empty() {
            return;
        }
        // There may be more rows, so the next removal is due immediately.
        self.sweep.next_removal_ms = self.now_ms;
        let write_id = self.next_write_id();
        let write =
            Write { checks: Vec::new(), puts: Vec::new(), deletes, write_id, expires_ms: None };
        self.committer.submit(write_id, write);
    }

    pub(crate) fn on_store_done(
        &mut self,
        op: crate::message::OpId,
        reply: Result<StoreReply, CallError>,
    ) {
        let Some(purpose) = self.ops.store.remove(&op) else {
            return;
        };
        self.store_failures = if reply.is_ok() { 0 } else { self.store_failures.saturating_add(1) };
        match purpose {
            StoreOp::Commit => self.on_commit_reply(&reply),
            StoreOp::PollCatalogue => self.on_catalogue_reply(reply),
            StoreOp::Edit(ticket, edit) => self.on_edit_reply(ticket, edit, reply),
            StoreOp::Query(ticket) => self.on_store_reply(ticket, reply),
            StoreOp::List { all_zones } => self.on_instance_list(all_zones, reply),
            StoreOp::StoreBody(job) => self.on_body_stored(job, &reply),
            StoreOp::LoadBody(job) => self.on_body_loaded(job, reply),
            StoreOp::Lookup(lookup) => self.on_lookup_reply(lookup, reply),
            StoreOp::SweepOpen => self.on_open_rows(reply),
            StoreOp::SweepTakeovers => self.on_takeover_rows(reply),
            StoreOp::SweepFinished => self.on_finished_rows(reply),
            StoreOp::SweepOrphans(jobs) => self.on_orphan_rows(&jobs, reply),
            StoreOp::RemoveBody => {}
        }
    }
}
