//! Tasks on workers whose lease another daemon holds.
//!
//! The daemon that schedules a job is its coordinator. The daemon that holds the lease on
//! a worker is the worker's holder. If its own workers have no capacity for a job, the
//! coordinator reserves capacity at a holder, records intents where needed, and then asks
//! the holder to start the tasks. Unused reservations expire. The holder repeats its
//! reports about the tasks until the coordinator acknowledges them.

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

/// Time after which an unused reservation expires.
const RESERVATION_TTL_MS: u64 = 10_000;
/// Delay before a report without an acknowledgement is sent again.
const REPORT_RETRY_MS: u64 = 5_000;
/// Interval between searches for capacity that was allocated and will not be used.
const RECLAIM_INTERVAL_MS: u64 = 2_000;
/// Maximum number of tasks in one reservation call.
const TASKS_PER_RESERVE_CALL: usize = 64;
/// Maximum number of jobs for which peers are asked for capacity in one tick.
const RESERVE_JOBS_PER_TICK: usize = 4;
/// Minimum delay before peers are asked again for capacity for the same job. A varying
/// delay of up to the same length is added.
const RESERVE_RETRY_MS: u64 = 1_000;

/// State of tasks whose coordinator and holder are different daemons. This daemon can be
/// either of them.
#[derive(Debug, Default)]
pub(crate) struct Remote {
    /// Reservations at peers, with the holder, for tasks of this daemon's jobs.
    pub(crate) reservations_at_peers: BTreeMap<AttemptId, (DaemonId, Reservation)>,
    /// Starts that have yet to be sent, by holder.
    pub(crate) starts: BTreeMap<DaemonId, Vec<(WorkerId, Token, StartTask)>>,
    /// Reservations on workers held here for peers, with the time when they expire.
    pub(crate) reservations_for_peers: BTreeMap<AttemptId, UnixMs>,
    /// Reports without an acknowledgement, by coordinator.
    outbox: BTreeMap<DaemonId, BTreeMap<AttemptId, Report>>,
    /// Jobs for which peers were asked for capacity, with the time at which they may be
    /// asked again.
    pub(crate) recently_requested: BTreeMap<JobId, UnixMs>,
    /// Gangs that are collecting reservations here and at peers.
    pub(crate) gangs: BTreeMap<JobId, Gang>,
    /// When to search for unused capacity next.
    pub(crate) next_reclaim_ms: UnixMs,
}

/// A report and when to send it next.
#[derive(Debug)]
struct Report {
    worker: WorkerId,
    seen: Observation,
    due_ms: UnixMs,
}

/// A gang whose tasks need the workers of several daemons.
#[derive(Debug)]
pub(crate) struct Gang {
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) placed: Vec<(AttemptId, WorkerId, Token)>,
    /// Daemons that have yet to be asked, in the same order for all gangs.
    pub(crate) peers: Vec<DaemonId>,
}

impl Remote {
    /// Queues a report for the task's coordinator.
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

    pub(crate) fn is_reserved_at_peer(&self, attempt: AttemptId) -> bool {
        self.reservations_at_peers.contains_key(&attempt)
    }

    pub(crate) fn reserved_demand(&self, attempt: AttemptId) -> Option<Resources> {
        self.reservations_at_peers.get(&attempt).map(|(_, reservation)| reservation.demand)
    }

    /// Queues a start that uses a reservation at another daemon.
    pub(crate) fn queue_start(&mut self, worker: WorkerId, start: StartTask) {
        if let Some((holder, reservation)) = self.reservations_at_peers.remove(&start.attempt) {
            self.starts.entry(holder).or_default().push((worker, reservation.token, start));
        }
    }

    /// Removes the reservation of a peer on a worker held here, without releasing the
    /// capacity.
    pub(crate) fn remove_reservation_for_peer(&mut self, attempt: AttemptId) {
        self.reservations_for_peers.remove(&attempt);
    }

    /// Whether reservations are being collected for a gang.
    pub(crate) fn is_collecting(&self, job: JobId) -> bool {
        self.gangs.contains_key(&job)
    }

    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.recently_requested.remove(&job);
        self.gangs.remove(&job);
        self.reservations_at_peers.retain(|attempt, _| attempt.job != job);
    }

    /// Whether capacity on a worker held here is reserved for the attempt. Its job is either
    /// a peer's or a gang that is still collecting reservations.
    fn is_reserved_here(&self, attempt: AttemptId) -> bool {
        let in_open_gang = self
            .gangs
            .get(&attempt.job)
            .is_some_and(|gang| gang.placed.iter().any(|(placed, _, _)| *placed == attempt));
        in_open_gang || self.reservations_for_peers.contains_key(&attempt)
    }

    pub(crate) fn unreported(&self) -> usize {
        self.outbox.values().map(BTreeMap::len).sum()
    }
}

impl Engine {
    /// Asks other daemons of the zone for capacity for jobs that wait here.
    pub(crate) fn reserve_at_peers(&mut self) {
        let now_ms = self.now_ms;
        self.expire_reservations_for_peers();
        self.reclaim_unused_capacity();
        self.remote.recently_requested.retain(|_, until_ms| *until_ms > now_ms);
        if self.stopping || self.scheduler.queue.is_empty() {
            return;
        }
        let mut queue_heads = Vec::new();
        for entry_queue in self.scheduler.queue.entry_queues() {
            queue_heads.extend(entry_queue.front(1));
        }
        let mut jobs_asked = 0;
        for id in queue_heads {
            if jobs_asked == RESERVE_JOBS_PER_TICK
                || self.remote.recently_requested.contains_key(&id)
            {
                continue;
            }
            let Some(waiting) = self.scheduler.queue.get(id).cloned() else {
                continue;
            };
            if waiting.not_before_ms > now_ms {
                continue;
            }
            jobs_asked += usize::from(self.reserve_elsewhere(&waiting));
        }
    }

    fn reserve_elsewhere(&mut self, waiting: &WaitingJob) -> bool {
        // Two gangs may each hold half of what both need. If they retried at the same
        // interval, they would collide again and again, so the delay varies.
        let seed = (waiting.job.0 as u64 ^ self.now_ms).to_le_bytes();
        let retry_ms = self.now_ms + RESERVE_RETRY_MS + xxh3_64(&seed) % RESERVE_RETRY_MS;
        self.remote.recently_requested.insert(waiting.job, retry_ms);
        let demand = self.scheduler.demand(waiting);
        if waiting.class == Class::Gang {
            // A gang that could fit on the workers held here gets a reservation from the
            // local scheduler instead.
            let cell = &self.scheduler.cell;
            let fits_here = cell.could_fit_all(&waiting.owner, &demand, waiting.tasks.len());
            return !fits_here && self.reserve_gang(waiting);
        }
        let has_capacity = |owners: &[stoatwell_model::peer::OwnerSummary]| {
            owners
                .iter()
                .any(|found| found.owner == waiting.owner && found.largest_free.holds(&demand))
        };
        let same_zone = self.members.live_in_zone(self.now_ms, &self.me.zone);
        let same_zone =
            same_zone.filter(|member| !member.stopping && has_capacity(&member.summary.owners));
        let candidates: Vec<&DaemonId> = same_zone.map(|member| &member.identity.daemon).collect();
        // The candidates take turns. A daemon with free capacity may still refuse, because
        // it is at a limit that its summary doesn't show.
        let rotation = (self.now_ms / RESERVE_RETRY_MS) as usize;
        let Some(holder) = candidates.get(rotation % candidates.len().max(1)).copied().cloned()
        else {
            return false;
        };
        let attempts = self.scheduler.queue.take_tasks(waiting.job, TASKS_PER_RESERVE_CALL);
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
            // The caller may have lost the job to another coordinator without noticing. The
            // attempt may then run here already, and its capacity must not be allocated a
            // second time.
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
            self.remote.reservations_for_peers.insert(*attempt, self.now_ms + RESERVATION_TTL_MS);
            let (worker, demand) = (placed.worker, placed.demand);
            reservations.push(Reservation { attempt: *attempt, worker, token, demand });
        }
        PeerReply::Reserved { reservations }
    }

    pub(crate) fn on_unreserve(&mut self, attempts: &[AttemptId]) -> PeerReply {
        for attempt in attempts {
            if self.remote.reservations_for_peers.remove(attempt).is_some() {
                self.release_unstarted(*attempt);
            }
        }
        PeerReply::Noted
    }

    /// Releases capacity that was allocated and will not be used. A job may move to another
    /// coordinator after its capacity was allocated and before its tasks start. Without
    /// this, the capacity would leak, with no other symptom than workers that seem full.
    pub(crate) fn reclaim_unused_capacity(&mut self) {
        if self.now_ms < self.remote.next_reclaim_ms {
            return;
        }
        self.remote.next_reclaim_ms = self.now_ms + RECLAIM_INTERVAL_MS;
        let mut unused = Vec::new();
        for (attempt, running) in self.scheduler.cell.all_running() {
            let on_worker =
                self.held.get(&running.worker).is_some_and(|held| held.has_attempt(*attempt));
            let job = self.jobs.get(&attempt.job);
            let is_about_to_start = job.is_some_and(|job| job.machine.is_about_to_start(*attempt));
            if !on_worker && !is_about_to_start && !self.remote.is_reserved_here(*attempt) {
                unused.push(*attempt);
            }
        }
        for attempt in unused {
            self.release_unstarted(attempt);
        }
    }

    fn expire_reservations_for_peers(&mut self) {
        let now_ms = self.now_ms;
        let mut expired = Vec::new();
        self.remote.reservations_for_peers.retain(|attempt, until_ms| {
            if *until_ms <= now_ms {
                expired.push(*attempt);
            }
            *until_ms > now_ms
        });
        for attempt in expired {
            self.release_unstarted(attempt);
        }
    }

    pub(crate) fn on_reserve_reply(
        &mut self,
        id: JobId,
        attempts: Vec<AttemptId>,
        holder: &DaemonId,
        reply: Result<PeerReply, CallError>,
    ) {
        let reservations = match reply {
            Ok(PeerReply::Reserved { reservations }) => reservations,
            // The peer may have made the reservations all the same. They expire there.
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
            self.remote.reservations_at_peers.insert(attempt, (holder.clone(), reservation));
        }
        if let Some(gang) = self.remote.gangs.get_mut(&id) {
            gang.placed.extend(placed);
            self.advance_gang(id);
            return;
        }
        if !self.jobs.contains_key(&id) {
            return;
        }
        let placed_attempts: Vec<AttemptId> =
            placed.iter().map(|(attempt, _, _)| *attempt).collect();
        let unplaced: Vec<AttemptId> =
            attempts.into_iter().filter(|attempt| !placed_attempts.contains(attempt)).collect();
        if !unplaced.is_empty() {
            self.enqueue(id, unplaced);
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
            let was_reserved = self.remote.reservations_for_peers.remove(&attempt).is_some();
            let has_current_token = self.held.get(&worker).is_some_and(|held| held.token == token);
            // The start is not queued without a reservation, because another task may use
            // the capacity by now. It is not queued with another token than the current
            // one either, because that token belongs to an earlier lease.
            if was_reserved && has_current_token && self.queue_start(&worker, start) {
                continue;
            }
            if has_current_token {
                self.notify_coordinator(attempt, &worker, &coordinator, Observation::Absent);
            }
            if was_reserved {
                self.release_unstarted(attempt);
            }
        }
        PeerReply::Noted
    }

    /// Sends the due reports to the coordinators.
    pub(crate) fn send_reports(&mut self) {
        let now_ms = self.now_ms;
        let mut calls = Vec::new();
        for (to, reports) in &mut self.remote.outbox {
            let mut due = Vec::new();
            for (attempt, report) in reports.iter_mut() {
                if report.due_ms > now_ms {
                    continue;
                }
                report.due_ms = now_ms + REPORT_RETRY_MS;
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
        // A report is dropped if its task has a new coordinator, or if its worker is no
        // longer held here. Nothing is lost: the coordinator inquires about the task, and
        // the holder then answers with what the worker reports.
        self.remote.outbox.retain(|to, reports| {
            reports.retain(|attempt, report| {
                let tracked = held.get(&report.worker).and_then(|held| held.tasks.get(attempt));
                let moved = tracked.is_some_and(|task| task.coordinator != *to);
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
            if !self.on_observation(attempt, &worker, seen) {
                unknown.push(attempt);
                continue;
            }
            attempts.push(attempt);
            if ended && self.can_acknowledge(attempt) {
                let call = PeerCall::Acknowledge { attempts: vec![(attempt, worker)] };
                self.call_peer(PeerOp::Notification, from, call);
            }
        }
        PeerReply::Acknowledged { attempts, unknown }
    }

    /// Whether the worker may forget an ended attempt, because no inquiry about it can follow.
    fn can_acknowledge(&self, attempt: AttemptId) -> bool {
        match self.jobs.get(&attempt.job) {
            Some(job) => {
                let repeatable = !job.machine.record.execution.needs_intent();
                repeatable && !job.machine.is_current(attempt)
            }
            None => self.finished_jobs.contains_key(&attempt.job),
        }
    }

    pub(crate) fn on_report_reply(
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
            self.sweep.add_orphan(*attempt);
        }
    }
}
