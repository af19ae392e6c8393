//! Finding out what became of tasks: doubts, inquiries and lost workers.
//!
//! An attempt is in doubt when its start may have been sent and nothing was
//! heard of it. Whoever holds its worker can tell: the worker named it, or a
//! newer token than the one of its intent is in force, under which it can
//! never start any more.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::Token;
use stoatwell_platform::CallError;

use crate::Engine;
use crate::message::Observation;
use crate::message::PeerCall;
use crate::message::PeerReply;
use crate::message::TaskReply;
use crate::ops::PeerOp;
use crate::sweep::attempts_of;

/// Between questions about attempts of which nothing was heard.
const DOUBT_MS: u64 = 1_000;
/// Between questions about tasks that run on workers of other daemons.
const CHECK_MS: u64 = 10_000;
/// Added to the time after which a worker that is gone has surely stopped everything.
const GONE_MARGIN_MS: u64 = 5_000;

impl Engine {
    pub(crate) fn resolve_doubts(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (id, job) in &self.jobs {
            if job.accepted && !job.handing_over && job.inquire_not_before_ms <= now_ms {
                due.push(*id);
            }
        }
        let mut questions = Vec::new();
        for id in due {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.machine.record.class == Class::Request {
                self.seal_request(id);
                continue;
            }
            self.look_for(id);
            self.question(id, &mut questions);
        }
        if questions.is_empty() {
            return;
        }
        let of = |(_, worker, _): &(AttemptId, WorkerId, Token)| worker.clone();
        for (peer, attempts) in self.by_daemon(&questions, of) {
            let coordinator = self.me.daemon.clone();
            self.call_peer(PeerOp::Inquire, &peer, PeerCall::Inquire { coordinator, attempts });
        }
    }

    /// Answers from what is known here, and collects what others must be asked.
    fn question(&mut self, id: JobId, questions: &mut Vec<(AttemptId, WorkerId, Token)>) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.discovery_due_ms.is_some() || job.pending_discoveries > 0 {
            return;
        }
        let doubtful = job.machine.in_doubt();
        job.inquire_not_before_ms = now_ms + if doubtful.is_empty() { CHECK_MS } else { DOUBT_MS };
        let mut attempts = doubtful;
        attempts.extend(job.machine.active());
        let mut tokens = BTreeMap::new();
        for intent in &job.machine.record.intents {
            tokens.insert(intent.task, intent.token);
        }
        for (attempt, worker) in attempts {
            let token = tokens.get(&attempt.task).copied().unwrap_or(0);
            if let Some(seen) = self.seen_here(attempt, &worker, token) {
                self.on_seen(attempt, &worker, seen);
            } else if self.is_gone(&worker) {
                self.on_seen(attempt, &worker, Observation::Forgotten);
            } else {
                questions.push((attempt, worker, token));
            }
        }
    }

    /// What this daemon, as the holder of a worker, can tell of an attempt.
    fn seen_here(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        token: Token,
    ) -> Option<Observation> {
        self.leases.token(self.now_ms, worker)?;
        let held = self.held.get_mut(worker)?;
        if let Some(known) = held.tasks.get(&attempt) {
            return Some(Observation::State(known.state.clone()));
        }
        if held.knows(attempt) {
            return Some(Observation::Pending);
        }
        // A worker whose token is lower than the intent's was started anew and
        // remembers nothing; that it does not name the attempt proves nothing.
        if held.token < token {
            return Some(Observation::Forgotten);
        }
        // Without its room and its promise it cannot be started any more.
        self.remote.withdraw_promise(attempt);
        self.not_started(attempt);
        Some(Observation::Absent)
    }

    pub(crate) fn on_inquiry(
        &mut self,
        coordinator: &DaemonId,
        attempts: &[(AttemptId, WorkerId, Token)],
    ) -> PeerReply {
        let mut replies = Vec::new();
        for (attempt, worker, token) in attempts {
            let Some(seen) = self.seen_here(*attempt, worker, *token) else {
                continue;
            };
            self.relabel(*attempt, worker, coordinator);
            replies.push(TaskReply { attempt: *attempt, worker: worker.clone(), seen });
        }
        PeerReply::Tasks(replies)
    }

    fn relabel(&mut self, attempt: AttemptId, worker: &WorkerId, coordinator: &DaemonId) {
        if let Some(held) = self.held.get_mut(worker)
            && let Some(known) = held.tasks.get_mut(&attempt)
        {
            known.coordinator = coordinator.clone();
        }
    }

    pub(crate) fn on_task_replies(&mut self, replies: Vec<TaskReply>) {
        for reply in replies {
            self.on_seen(reply.attempt, &reply.worker, reply.seen);
        }
    }

    /// Asks all daemons of the zone for the tasks of a job that was taken over.
    fn look_for(&mut self, id: JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.discovery_due_ms.is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        job.discovery_due_ms = None;
        let coordinator = self.me.daemon.clone();
        let own = self.found_here(&coordinator, id);
        let peers = self.zone_peers();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.pending_discoveries = peers.len() as u32 + 1;
        }
        for peer in &peers {
            let call = PeerCall::Find { coordinator: coordinator.clone(), jobs: vec![id] };
            if !self.call_peer(PeerOp::Find(vec![id]), peer, call) {
                self.found_one(id);
            }
        }
        self.on_found(&[id], Ok(PeerReply::Tasks(own)));
    }

    /// Attempts of a job on the workers held here.
    fn found_here(&mut self, coordinator: &DaemonId, id: JobId) -> Vec<TaskReply> {
        let mut found = Vec::new();
        for (worker, held) in &mut self.held {
            for (attempt, known) in held.tasks.range_mut(attempts_of(id)) {
                known.coordinator = coordinator.clone();
                let seen = Observation::State(known.state.clone());
                found.push(TaskReply { attempt: *attempt, worker: worker.clone(), seen });
            }
        }
        found
    }

    pub(crate) fn on_find(&mut self, coordinator: &DaemonId, jobs: &[JobId]) -> PeerReply {
        let mut replies = Vec::new();
        for id in jobs {
            replies.extend(self.found_here(coordinator, *id));
        }
        PeerReply::Tasks(replies)
    }

    pub(crate) fn on_found(&mut self, jobs: &[JobId], reply: Result<PeerReply, CallError>) {
        if let Ok(PeerReply::Tasks(replies)) = reply {
            self.on_task_replies(replies);
        }
        for id in jobs {
            self.found_one(*id);
        }
    }

    /// One more daemon has answered; after the last one the rest is queued.
    fn found_one(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.pending_discoveries == 0 {
            return;
        }
        job.pending_discoveries -= 1;
        if job.pending_discoveries > 0 {
            return;
        }
        let waiting = job.machine.waiting();
        if !waiting.is_empty() {
            self.enqueue(id, waiting);
        }
    }

    /// Things about workers, for each daemon that may hold some of those workers.
    pub(crate) fn by_daemon<T: Clone>(
        &self,
        things: &[T],
        worker_of: impl Fn(&T) -> WorkerId,
    ) -> BTreeMap<DaemonId, Vec<T>> {
        let mut by_zone: BTreeMap<ZoneName, Vec<T>> = BTreeMap::new();
        for thing in things {
            let zone = self.worker_zones.get(&worker_of(thing)).unwrap_or(&self.me.zone);
            by_zone.entry(zone.clone()).or_default().push(thing.clone());
        }
        let mut by_daemon: BTreeMap<DaemonId, Vec<T>> = BTreeMap::new();
        for (zone, things) in by_zone {
            for daemon in self.daemons_of(&zone) {
                by_daemon.entry(daemon).or_default().extend(things.iter().cloned());
            }
        }
        by_daemon
    }

    /// Whether work may run on workers of other zones. The list of this zone
    /// does not tell when such a worker is gone for good.
    pub(crate) fn works_abroad(&self) -> bool {
        let here = Some(&self.me.zone);
        self.job_workers().iter().any(|worker| self.worker_zones.get(worker) != here)
    }

    /// Workers on which tasks of the jobs that run here may be.
    fn job_workers(&self) -> Vec<WorkerId> {
        let mut workers = Vec::new();
        for job in self.jobs.values() {
            let attempts = job.machine.in_doubt().into_iter().chain(job.machine.active());
            workers.extend(attempts.map(|(_, worker)| worker));
        }
        workers
    }

    /// Remembers since when workers are not on the platform's list any more.
    /// Only the list of all zones tells so of workers elsewhere.
    pub(crate) fn note_gone(&mut self, whole: bool) {
        let now_ms = self.now_ms;
        let listed = &self.worker_zones;
        self.missing_since.retain(|worker, _| !listed.contains_key(worker));
        let mut missing = Vec::new();
        for (worker, _) in self.leases.all() {
            if !listed.contains_key(worker) {
                missing.push(worker.clone());
            }
        }
        if whole {
            let workers = self.job_workers();
            missing.extend(workers.into_iter().filter(|worker| !listed.contains_key(worker)));
        }
        for worker in missing {
            self.missing_since.entry(worker).or_insert(now_ms);
        }
    }

    /// Whether a worker is off the platform's list for so long that its lease
    /// has lapsed and it has stopped, by contract, what must stop then.
    pub(crate) fn is_gone(&self, worker: &WorkerId) -> bool {
        let leases = &self.settings.leases;
        let wait_ms: UnixMs = leases.ttl_ms + leases.orphan_ms + GONE_MARGIN_MS;
        self.missing_since.get(worker).is_some_and(|since_ms| self.now_ms >= since_ms + wait_ms)
    }

    pub(crate) fn on_remote_stop(
        &mut self,
        attempts: &[(AttemptId, WorkerId)],
        mode: StopMode,
    ) -> PeerReply {
        for (attempt, worker) in attempts {
            self.stop_here(worker, *attempt, mode);
        }
        PeerReply::Noted
    }

    pub(crate) fn on_acknowledge(&mut self, attempts: &[(AttemptId, WorkerId)]) -> PeerReply {
        let attempts = attempts.iter().cloned().collect();
        self.acknowledge(&attempts);
        PeerReply::Noted
    }
}
