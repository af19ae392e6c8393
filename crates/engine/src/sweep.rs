//! Looking after what nobody looks after: jobs of dead daemons, tasks of
//! finished jobs, and records whose time is over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use stoatwell_ledger::JobMachine;
use stoatwell_ledger::Write;
use stoatwell_ledger::rows;
use stoatwell_membership::assign;
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

/// Open rows read at once.
const OPEN_ROWS: u32 = 500;
/// Jobs taken over at once; the rest follow in the next looks.
const ADOPT_MAX: usize = 64;
/// Finished jobs removed at once.
const REMOVE_MAX: u32 = 32;
/// Ended tasks of other daemons' jobs are looked after once they are this old.
const ENDED_KEPT_MS: UnixMs = 30_000;
/// A zone without a living daemon for this long is looked after by others.
const ZONE_DEAD_MS: UnixMs = 60_000;

/// State of the looking after.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    /// Writes on their way, by write id.
    pub(crate) writes: BTreeMap<u64, JobId>,
    next_ms: UnixMs,
    next_done_ms: UnixMs,
    looking: bool,
    reading: bool,
    removing: bool,
    cursor: String,
    zone: Option<ZoneName>,
    /// Jobs to take over.
    claims: BTreeSet<JobId>,
    /// Attempts on held workers whose job nobody seems to run.
    orphans: BTreeSet<AttemptId>,
}

/// All attempts that a job can have.
pub(crate) fn attempts_of(job: JobId) -> RangeInclusive<AttemptId> {
    let first = AttemptId { job, task: 0, attempt: 0 };
    let last = AttemptId { job, task: u32::MAX, attempt: u32::MAX };
    first..=last
}

impl Sweep {
    /// Takes these jobs over as soon as can be.
    pub(crate) fn claim(&mut self, jobs: Vec<JobId>) {
        self.claims.extend(jobs);
    }

    /// Nobody knows the job of this attempt.
    pub(crate) fn orphan(&mut self, attempt: AttemptId) {
        self.orphans.insert(attempt);
    }
}

impl Engine {
    pub(crate) fn sweep_tick(&mut self) {
        let now_ms = self.now_ms;
        if self.stopping || !self.is_ready() || !self.members.is_settled(now_ms) {
            return;
        }
        self.read_claims();
        if now_ms >= self.sweep.next_ms && !self.sweep.looking {
            self.sweep.next_ms = now_ms + self.settings.ledger.sweep_ms;
            self.look_for_open();
            self.look_for_orphans();
        }
        let due = now_ms >= self.sweep.next_done_ms && !self.sweep.removing;
        if due && self.members.is_relay(now_ms) {
            self.sweep.next_done_ms = now_ms + self.settings.ledger.sweep_ms;
            self.sweep.removing = true;
            let (prefix, after) = (rows::DONE.to_owned(), String::new());
            self.call_store(
                StoreOp::SweepDone,
                StoreCall::Scan { prefix, after, limit: REMOVE_MAX },
            );
        }
    }

    fn look_for_open(&mut self) {
        let zone = self.zone_to_look_after();
        if self.sweep.zone.as_ref() != Some(&zone) {
            self.sweep.cursor.clear();
        }
        let prefix = rows::open_in(&zone);
        self.sweep.zone = Some(zone);
        self.sweep.looking = true;
        let after = self.sweep.cursor.clone();
        self.call_store(StoreOp::SweepOpen, StoreCall::Scan { prefix, after, limit: OPEN_ROWS });
    }

    /// Mostly the own zone; the relay also looks after zones that are dead.
    fn zone_to_look_after(&self) -> ZoneName {
        let own = self.me.zone.clone();
        let now_ms = self.now_ms;
        if !self.members.is_relay(now_ms) || !self.sweep.cursor.is_empty() {
            return own;
        }
        let dead = |zone: &&ZoneName| {
            let heard_ms = self.zones.get(*zone).map_or(0, |state| state.heard_ms);
            let silent = now_ms >= heard_ms + ZONE_DEAD_MS;
            silent && self.members.live_in(now_ms, zone).next().is_none()
        };
        // Every second look goes to a dead zone, if there is one.
        let even = (now_ms / self.settings.ledger.sweep_ms.max(1)).is_multiple_of(2);
        let zones = self.members.other_zones();
        let found = zones.keys().copied().find(dead);
        match found {
            Some(zone) if even => zone.clone(),
            _ => own,
        }
    }

    pub(crate) fn on_open_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.looking = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        let full = found.len() as u32 == OPEN_ROWS;
        let last = found.last().map(|row| row.key.clone()).unwrap_or_default();
        self.sweep.cursor = if full { last } else { String::new() };
        let holders = self.members.holders(self.now_ms, self.stopping);
        // Only the relay looks after another zone, so it takes all it finds there.
        let abroad = self.sweep.zone.as_ref().is_some_and(|zone| *zone != self.me.zone);
        for row in found {
            let Ok(open) = serde_json::from_str::<rows::OpenRow>(&row.value) else {
                continue;
            };
            let mine = open.coordinator == self.me.daemon;
            let known = self.jobs.contains_key(&open.job);
            // A row in my name of a job that I do not know is from before my start.
            let deserted = if mine { !known } else { !self.is_live(&open.coordinator) };
            let chosen =
                abroad || assign::winner(&open.job.to_string(), &holders) == Some(&self.me.daemon);
            // One that I run by a row in another's name was taken over from me.
            let taken = known && !mine;
            if taken || (deserted && !known && (mine || chosen)) {
                self.sweep.claims.insert(open.job);
            }
        }
    }

    fn read_claims(&mut self) {
        if self.sweep.reading || self.sweep.claims.is_empty() {
            return;
        }
        let jobs: Vec<JobId> = self.sweep.claims.iter().take(ADOPT_MAX).copied().collect();
        for job in &jobs {
            self.sweep.claims.remove(job);
        }
        self.sweep.reading = true;
        let keys = jobs.into_iter().map(rows::job).collect();
        self.call_store(StoreOp::SweepRead, StoreCall::Read { keys });
    }

    pub(crate) fn on_claim_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.reading = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        for row in found {
            self.take_over(&row);
        }
    }

    /// Makes this daemon the one that runs a job; the write fails if another
    /// daemon was faster or the old one is alive and wrote since.
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
        let others = record.coordinator != self.me.daemon;
        if others && self.is_live(&record.coordinator) && !self.is_stopping(&record.coordinator) {
            return;
        }
        let attempts_max =
            self.catalogue.work(&record.entry).map_or(1, |entry| entry.limits.attempts);
        let body = record.body.clone();
        let object = record.body_object.clone();
        let mut machine = JobMachine::new(record, row.version, attempts_max);
        let former = machine.record.coordinator.clone();
        machine.hand_to(&self.me.daemon, &self.me.zone);
        machine.note(format!("taken over from daemon {former}"));
        let mut job = Job::new(machine, body);
        // The new holders of the dead daemon's workers need this long to know
        // what runs there.
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
            // Left for the next look.
            self.jobs.remove(&id);
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.body = body;
        }
        self.write_job(id);
    }

    /// Tasks on held workers whose coordinator is gone or does not know them.
    fn look_for_orphans(&mut self) {
        let mut jobs = BTreeSet::new();
        for held in self.held.values() {
            for (attempt, known) in &held.tasks {
                if self.jobs.contains_key(&attempt.job) {
                    continue;
                }
                let mine = known.coordinator == self.me.daemon;
                let ended_ms = known.ended_ms;
                let old = ended_ms > 0 && self.now_ms >= ended_ms + ENDED_KEPT_MS;
                if mine || old || self.sweep.orphans.contains(attempt) {
                    jobs.insert(attempt.job);
                }
            }
        }
        self.sweep.orphans.clear();
        if jobs.is_empty() {
            return;
        }
        let jobs: Vec<JobId> = jobs.into_iter().take(ADOPT_MAX).collect();
        let keys = jobs.iter().map(|job| rows::job(*job)).collect();
        self.call_store(StoreOp::SweepOrphans(jobs), StoreCall::Read { keys });
    }

    pub(crate) fn on_orphan_rows(&mut self, jobs: &[JobId], reply: Result<StoreReply, CallError>) {
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        for (job, row) in jobs.iter().zip(found) {
            let record: Option<JobRecord> = serde_json::from_str(&row.value).ok();
            match record {
                // Open jobs find their tasks themselves once somebody runs them.
                Some(record) if record.outcome.is_none() => self.keep_ended(*job),
                Some(record) => {
                    self.remember_finished(view_of_record(record, Vec::new()));
                    self.end_orphans(*job);
                }
                None => self.end_orphans(*job),
            }
        }
    }

    /// Ended tasks of an open job are kept for another while.
    fn keep_ended(&mut self, job: JobId) {
        let now_ms = self.now_ms;
        for held in self.held.values_mut() {
            for (_, known) in held.tasks.range_mut(attempts_of(job)) {
                known.ended_ms = if known.ended_ms > 0 { now_ms } else { 0 };
            }
        }
    }

    /// Lets the workers held here forget a job's tasks, and stops what still runs for it.
    pub(crate) fn end_orphans(&mut self, job: JobId) {
        let mut ended: BTreeMap<AttemptId, WorkerId> = BTreeMap::new();
        let mut running = Vec::new();
        for (worker, held) in &self.held {
            for (attempt, known) in held.tasks.range(attempts_of(job)) {
                if known.state.is_running() {
                    running.push((worker.clone(), *attempt));
                } else {
                    ended.insert(*attempt, worker.clone());
                }
            }
        }
        for (worker, attempt) in running {
            self.stop_here(&worker, attempt, StopMode::Stop);
        }
        self.acknowledge(&ended);
    }

    pub(crate) fn on_done_rows(&mut self, reply: Result<StoreReply, CallError>) {
        self.sweep.removing = false;
        let Ok(StoreReply::Rows { rows: found }) = reply else {
            return;
        };
        let kept_from =
            rows::done_from(self.now_ms.saturating_sub(self.settings.ledger.retention_ms));
        let mut deletes = Vec::new();
        for row in &found {
            // The hour in the key is when it finished; the whole hour must be over.
            if row.key >= kept_from {
                break;
            }
            deletes.push(row.key.clone());
            if let Some(job) = rows::job_of_done(&row.key) {
                deletes.push(rows::job(job));
                let key = format!("body/{job}");
                self.call_store(StoreOp::RemoveBody, StoreCall::DeleteObject { key });
            }
        }
        if deletes.is_empty() {
            return;
        }
        // More may be waiting, so the next look comes at once.
        self.sweep.next_done_ms = self.now_ms;
        let write_id = self.next_write_id();
        let write =
            Write { checks: Vec::new(), puts: Vec::new(), deletes, write_id, give_up_ms: None };
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
            StoreOp::Query(ticket) => self.on_store_answer(ticket, reply),
            StoreOp::List { all_zones } => self.on_list(all_zones, reply),
            StoreOp::StoreBody(job) => self.on_body_stored(job, &reply),
            StoreOp::LoadBody(job) => self.on_body_loaded(job, reply),
            StoreOp::Lookup(lookup) => self.on_looked_up(lookup, reply),
            StoreOp::SweepOpen => self.on_open_rows(reply),
            StoreOp::SweepRead => self.on_claim_rows(reply),
            StoreOp::SweepDone => self.on_done_rows(reply),
            StoreOp::SweepOrphans(jobs) => self.on_orphan_rows(&jobs, reply),
            StoreOp::RemoveBody => {}
        }
    }
}
