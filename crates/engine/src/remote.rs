//! Tasks on workers that other daemons hold.
//!
//! The daemon that runs a job asks a peer for room, records intents where
//! needed, and then asks it to start the tasks. Room that is not used goes
//! back by itself. What the holder sees of the tasks it reports until the
//! other side has taken it.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::Token;
use stoatwell_placement::WaitingJob;
use stoatwell_platform::CallError;
use xxhash_rust::xxh3::xxh3_64;

use crate::Engine;
use crate::message::JobMeta;
use crate::message::Observation;
use crate::message::PeerCall;
use crate::message::PeerReply;
use crate::message::Reservation;
use crate::ops::PeerOp;

/// Room that was set aside and not used goes back after this time.
const RESERVED_MS: u64 = 10_000;
/// Reports without an acknowledgement are repeated after this time.
const REPORT_AGAIN_MS: u64 = 5_000;
/// Between two looks for room that nobody is going to use.
const RECLAIM_MS: u64 = 2_000;
/// Tasks in one question for room.
const TASKS_PER_QUESTION: usize = 64;
/// Jobs for which room is asked elsewhere in one tick.
const JOBS_PER_TICK: usize = 4;
/// Before room is asked elsewhere for the same job again.
const ASK_AGAIN_MS: u64 = 1_000;

/// Both sides of work across daemons.
#[derive(Debug, Default)]
pub(crate) struct Remote {
    /// Room that others set aside for tasks that run from here.
    pub(crate) reserved: BTreeMap<AttemptId, (DaemonId, Reservation)>,
    /// Starts to send, by holder.
    pub(crate) starts: BTreeMap<DaemonId, Vec<(WorkerId, Token, StartTask)>>,
    /// Room set aside here for others, until a time.
    pub(crate) promised: BTreeMap<AttemptId, UnixMs>,
    /// What the daemons that run tasks on workers held here have to hear.
    outbox: BTreeMap<DaemonId, BTreeMap<AttemptId, Report>>,
    /// Jobs for which room is being asked, or was of late.
    pub(crate) asking: BTreeMap<JobId, UnixMs>,
    /// Gangs that collect room here and elsewhere.
    pub(crate) gangs: BTreeMap<JobId, Gang>,
    /// When room is looked through next.
    pub(crate) reclaim_ms: UnixMs,
}

/// A report and when it is due again.
#[derive(Debug)]
struct Report {
    worker: WorkerId,
    seen: Observation,
    due_ms: UnixMs,
}

/// A gang that is wider than one holder.
#[derive(Debug)]
pub(crate) struct Gang {
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) placed: Vec<(AttemptId, WorkerId, Token)>,
    /// Daemons yet to be asked, in one order for all gangs.
    pub(crate) peers: Vec<DaemonId>,
}

impl Remote {
    /// Queues a report for the daemon that runs the task.
    pub(crate) fn report(
        &mut self,
        to: &DaemonId,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: Observation,
    ) {
        let report = Report { worker: worker.clone(), seen, due_ms: 0 };
        self.outbox.entry(to.clone()).or_default().insert(attempt, report);
    }

    pub(crate) fn is_reserved(&self, attempt: AttemptId) -> bool {
        self.reserved.contains_key(&attempt)
    }

    pub(crate) fn demand_of(&self, attempt: AttemptId) -> Option<Resources> {
        self.reserved.get(&attempt).map(|(_, reservation)| reservation.demand)
    }

    /// Queues a start on room that another daemon set aside.
    pub(crate) fn start(&mut self, worker: WorkerId, start: StartTask) {
        if let Some((holder, reservation)) = self.reserved.remove(&start.attempt) {
            self.starts.entry(holder).or_default().push((worker, reservation.token, start));
        }
    }

    /// Room set aside here is not to be used any more.
    pub(crate) fn withdraw_promise(&mut self, attempt: AttemptId) {
        self.promised.remove(&attempt);
    }

    pub(crate) fn forget(&mut self, job: JobId) {
        self.asking.remove(&job);
        self.gangs.remove(&job);
        self.reserved.retain(|attempt, _| attempt.job != job);
    }

    /// Whether room here is kept for an attempt of another daemon's job, or of
    /// a gang that still gathers room.
    fn keeps(&self, attempt: AttemptId) -> bool {
        let gathers = self
            .gangs
            .get(&attempt.job)
            .is_some_and(|gang| gang.placed.iter().any(|(placed, _, _)| *placed == attempt));
        gathers || self.promised.contains_key(&attempt)
    }

    pub(crate) fn unreported(&self) -> usize {
        self.outbox.values().map(BTreeMap::len).sum()
    }
}

impl Engine {
    /// Asks other daemons of the zone for room where this one has too little.
    pub(crate) fn reach_out(&mut self) {
        let now_ms = self.now_ms;
        self.take_back_promises();
        self.reclaim_room();
        self.remote.asking.retain(|_, until_ms| *until_ms > now_ms);
        if self.stopping || self.scheduler.queue.is_empty() {
            return;
        }
        let mut fronts = Vec::new();
        for line in self.scheduler.queue.entry_queues() {
            fronts.extend(line.front(1));
        }
        let mut asked = 0;
        for id in fronts {
            if asked == JOBS_PER_TICK || self.remote.asking.contains_key(&id) {
                continue;
            }
            let Some(waiting) = self.scheduler.queue.get(id).cloned() else {
                continue;
            };
            if waiting.not_before_ms > now_ms {
                continue;
            }
            asked += usize::from(self.ask_for_room(&waiting));
        }
    }

    fn ask_for_room(&mut self, waiting: &WaitingJob) -> bool {
        // Two gangs that each hold half of what both need would meet again and
        // again if they asked in step, so the pause differs each time.
        let seed = (waiting.job.0 as u64 ^ self.now_ms).to_le_bytes();
        let again_ms = self.now_ms + ASK_AGAIN_MS + xxh3_64(&seed) % ASK_AGAIN_MS;
        self.remote.asking.insert(waiting.job, again_ms);
        let demand = self.scheduler.demand(waiting);
        if waiting.class == Class::Gang {
            // Where it would fit in whole, room is kept for it here instead.
            let cell = &self.scheduler.cell;
            let fits_here = cell.could_fit_all(&waiting.owner, &demand, waiting.tasks.len());
            return !fits_here && self.gather_gang(waiting);
        }
        let offers = |owners: &[stoatwell_model::peer::OwnerSummary]| {
            owners
                .iter()
                .any(|found| found.owner == waiting.owner && found.largest_free.holds(&demand))
        };
        let near = self.members.live_in(self.now_ms, &self.me.zone);
        let near = near.filter(|member| !member.stopping && offers(&member.summary.owners));
        let offering: Vec<&DaemonId> = near.map(|member| &member.identity.daemon).collect();
        // Another one each time: one that has room may be at a limit it does not tell.
        let turn = (self.now_ms / ASK_AGAIN_MS) as usize;
        let Some(holder) = offering.get(turn % offering.len().max(1)).copied().cloned() else {
            return false;
        };
        let attempts = self.scheduler.queue.take_tasks(waiting.job, TASKS_PER_QUESTION);
        self.reserve_at(waiting.job, &holder, attempts)
    }

    pub(crate) fn reserve_at(
        &mut self,
        id: JobId,
        holder: &DaemonId,
        attempts: Vec<AttemptId>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let record = &job.machine.record;
        let meta = JobMeta {
            job: id,
            owner: record.owner.clone(),
            entry: record.entry.clone(),
            class: record.class,
            execution: record.execution,
            urgency: record.urgency,
            demand: record.demand,
            accepted_ms: record.accepted_ms,
        };
        let call = PeerCall::Reserve { meta, attempts: attempts.clone() };
        let purpose =
            PeerOp::Reserve { job: id, attempts: attempts.clone(), holder: holder.clone() };
        if self.call_peer(purpose, holder, call) {
            return true;
        }
        self.enqueue(id, attempts);
        false
    }

    pub(crate) fn on_reserve(&mut self, meta: &JobMeta, attempts: &[AttemptId]) -> PeerReply {
        let mut reservations = Vec::new();
        if self.stopping {
            return PeerReply::Reserved { reservations };
        }
        let waiting = WaitingJob {
            job: meta.job,
            owner: meta.owner.clone(),
            entry: meta.entry.clone(),
            class: meta.class,
            execution: meta.execution,
            urgency: meta.urgency,
            demand: meta.demand,
            accepted_ms: meta.accepted_ms,
            deadline_ms: 0,
            tasks: attempts.iter().copied().collect(),
            not_before_ms: 0,
        };
        for attempt in attempts {
            // A daemon that lost the job unawares asks for what runs here already;
            // its room would be given away a second time.
            if self.scheduler.cell.running(*attempt).is_some() {
                break;
            }
            let Some(placed) = self.scheduler.place_task(self.now_ms, &waiting, *attempt) else {
                break;
            };
            let Some(token) = self.leases.token(self.now_ms, &placed.worker) else {
                self.scheduler.release_unstarted(self.now_ms, *attempt);
                break;
            };
            self.remote.promised.insert(*attempt, self.now_ms + RESERVED_MS);
            let (worker, demand) = (placed.worker, placed.demand);
            reservations.push(Reservation { attempt: *attempt, worker, token, demand });
        }
        PeerReply::Reserved { reservations }
    }

    pub(crate) fn on_unreserve(&mut self, attempts: &[AttemptId]) -> PeerReply {
        for attempt in attempts {
            if self.remote.promised.remove(attempt).is_some() {
                self.not_started(*attempt);
            }
        }
        PeerReply::Noted
    }

    /// Gives back room that nobody is going to use. A job may be lost to another
    /// daemon between getting room and starting; its room would be lost with it,
    /// and one would notice only that the cell seems full.
    pub(crate) fn reclaim_room(&mut self) {
        if self.now_ms < self.remote.reclaim_ms {
            return;
        }
        self.remote.reclaim_ms = self.now_ms + RECLAIM_MS;
        let mut unused = Vec::new();
        for (attempt, running) in self.scheduler.cell.all_running() {
            let known = self.held.get(&running.worker).is_some_and(|held| held.knows(*attempt));
            let job = self.jobs.get(&attempt.job);
            let wanted = job.is_some_and(|job| job.machine.is_about_to_start(*attempt));
            if !known && !wanted && !self.remote.keeps(*attempt) {
                unused.push(*attempt);
            }
        }
        for attempt in unused {
            self.not_started(attempt);
        }
    }

    fn take_back_promises(&mut self) {
        let now_ms = self.now_ms;
        let mut over = Vec::new();
        self.remote.promised.retain(|attempt, until_ms| {
            if *until_ms <= now_ms {
                over.push(*attempt);
            }
            *until_ms > now_ms
        });
        for attempt in over {
            self.not_started(attempt);
        }
    }

    pub(crate) fn on_reserved(
        &mut self,
        id: JobId,
        attempts: Vec<AttemptId>,
        holder: &DaemonId,
        reply: Result<PeerReply, CallError>,
    ) {
        let reservations = match reply {
            Ok(PeerReply::Reserved { reservations }) => reservations,
            // Room that was set aside all the same goes back by itself.
            Ok(_) | Err(_) => Vec::new(),
        };
        let mut placed = Vec::new();
        for reservation in reservations {
            let attempt = reservation.attempt;
            let job = self.jobs.get(&id);
            if !job.is_some_and(|job| job.machine.is_waiting(attempt)) {
                continue;
            }
            placed.push((attempt, reservation.worker.clone(), reservation.token));
            self.remote.reserved.insert(attempt, (holder.clone(), reservation));
        }
        if let Some(gang) = self.remote.gangs.get_mut(&id) {
            gang.placed.extend(placed);
            self.advance_gang(id);
            return;
        }
        if !self.jobs.contains_key(&id) {
            return;
        }
        let got: Vec<AttemptId> = placed.iter().map(|(attempt, _, _)| *attempt).collect();
        let rest: Vec<AttemptId> =
            attempts.into_iter().filter(|attempt| !got.contains(attempt)).collect();
        if !rest.is_empty() {
            self.enqueue(id, rest);
        }
        if placed.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            let count = placed.len();
            job.machine
                .note(format!("{count} tasks placed on workers of {holder}, which had room"));
        }
        self.drive(id, |machine, now_ms| machine.on_placed(now_ms, &placed));
    }

    pub(crate) fn send_remote_starts(&mut self) {
        for (holder, tasks) in std::mem::take(&mut self.remote.starts) {
            self.call_peer(PeerOp::Notification, &holder, PeerCall::Start { tasks });
        }
    }

    pub(crate) fn on_remote_start(
        &mut self,
        tasks: Vec<(WorkerId, Token, StartTask)>,
    ) -> PeerReply {
        for (worker, token, start) in tasks {
            let attempt = start.attempt;
            let coordinator = start.coordinator.clone();
            let promised = self.remote.promised.remove(&attempt).is_some();
            let current = self.held.get(&worker).is_some_and(|held| held.token == token);
            // Room that went back may be somebody else's now, and under another
            // token the intent names a lease that is over.
            if promised && current && self.start_here(&worker, start) {
                continue;
            }
            if current {
                self.tell(attempt, &worker, &coordinator, Observation::Absent);
            }
            if promised {
                self.not_started(attempt);
            }
        }
        PeerReply::Noted
    }

    /// Tells other daemons what was seen of their tasks.
    pub(crate) fn report_to_coordinators(&mut self) {
        let now_ms = self.now_ms;
        let mut calls = Vec::new();
        for (to, reports) in &mut self.remote.outbox {
            let mut due = Vec::new();
            for (attempt, report) in reports.iter_mut() {
                if report.due_ms > now_ms {
                    continue;
                }
                report.due_ms = now_ms + REPORT_AGAIN_MS;
                due.push((*attempt, report.worker.clone(), report.seen.clone()));
            }
            if !due.is_empty() {
                calls.push((to.clone(), due));
            }
        }
        for (to, reports) in calls {
            if !self.is_live(&to) {
                continue;
            }
            let call = PeerCall::Report { from: self.me.daemon.clone(), reports };
            self.call_peer(PeerOp::Report { to: to.clone() }, &to, call);
        }
        let held = &self.held;
        // What the worker itself still names is told again to whoever asks.
        self.remote.outbox.retain(|to, reports| {
            reports.retain(|attempt, report| {
                let known = held.get(&report.worker).and_then(|held| held.tasks.get(attempt));
                let moved = known.is_some_and(|known| known.coordinator != *to);
                !moved && held.contains_key(&report.worker)
            });
            !reports.is_empty()
        });
    }

    pub(crate) fn on_reports(
        &mut self,
        from: &DaemonId,
        reports: Vec<(AttemptId, WorkerId, Observation)>,
    ) -> PeerReply {
        let mut attempts = Vec::new();
        let mut unknown = Vec::new();
        for (attempt, worker, seen) in reports {
            let ended = matches!(&seen, Observation::State(state) if !state.is_running());
            if !self.on_seen(attempt, &worker, seen) {
                unknown.push(attempt);
                continue;
            }
            attempts.push(attempt);
            if ended && self.may_forget(attempt) {
                let call = PeerCall::Acknowledge { attempts: vec![(attempt, worker)] };
                self.call_peer(PeerOp::Notification, from, call);
            }
        }
        PeerReply::Acknowledged { attempts, unknown }
    }

    /// Whether nobody will ask again about an ended attempt.
    fn may_forget(&self, attempt: AttemptId) -> bool {
        match self.jobs.get(&attempt.job) {
            Some(job) => {
                let repeatable = !job.machine.record.execution.needs_intent();
                repeatable && !job.machine.is_current(attempt)
            }
            None => self.finished_jobs.contains_key(&attempt.job),
        }
    }

    pub(crate) fn on_report_done(
        &mut self,
        to: &DaemonId,
        attempts: &[AttemptId],
        unknown: &[AttemptId],
    ) {
        if let Some(reports) = self.remote.outbox.get_mut(to) {
            for attempt in attempts.iter().chain(unknown) {
                reports.remove(attempt);
            }
        }
        for attempt in unknown {
            self.sweep.orphan(*attempt);
        }
    }
}
