//! Inquiries about the state of tasks, and detection of lost workers.
//!
//! An attempt is in doubt if its start may have been sent and no report about it has
//! arrived. The coordinator then inquires at the daemons that may hold the worker. The
//! holder can resolve the doubt. If the worker reports the attempt, its state is known. If
//! it does not, the attempt can never start: a newer fencing token than that of its intent
//! is in force, or the holder releases the attempt's capacity and refuses the start.
//!
//! After a takeover, the new coordinator does not know where its job's tasks run. It asks
//! all daemons of the zone to find them.

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

/// Interval between inquiries about attempts in doubt.
const IN_DOUBT_INQUIRY_MS: u64 = 1_000;
/// Interval between inquiries about tasks that run on workers of other daemons.
const RUNNING_INQUIRY_MS: u64 = 10_000;
/// Margin on top of the time after which a lost worker must have stopped all tasks.
const GONE_MARGIN_MS: u64 = 5_000;

impl Engine {
    /// Inquires about the attempts of all jobs whose next inquiry is due.
    pub(crate) fn resolve_in_doubt(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (id, job) in &self.jobs {
            if job.accepted && !job.handing_over && job.inquire_not_before_ms <= now_ms {
                due.push(*id);
            }
        }
        let mut inquiries = Vec::new();
        for id in due {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.machine.record.class == Class::Request {
                self.seal_request(id);
                continue;
            }
            self.find_job_tasks(id);
            self.collect_inquiries(id, &mut inquiries);
        }
        if inquiries.is_empty() {
            return;
        }
        let worker_of = |(_, worker, _): &(AttemptId, WorkerId, Token)| worker.clone();
        for (peer, attempts) in self.group_by_daemon(&inquiries, worker_of) {
            let coordinator = self.me.daemon.clone();
            self.call_peer(PeerOp::Inquire, &peer, PeerCall::Inquire { coordinator, attempts });
        }
    }

    /// Resolves the job's attempts on workers held here and on lost workers, and
    /// collects the others in `inquiries`.
    fn collect_inquiries(&mut self, id: JobId, inquiries: &mut Vec<(AttemptId, WorkerId, Token)>) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.discovery_due_ms.is_some() || job.pending_discoveries > 0 {
            return;
        }
        let in_doubt = job.machine.in_doubt();
        job.inquire_not_before_ms =
            now_ms + if in_doubt.is_empty() { RUNNING_INQUIRY_MS } else { IN_DOUBT_INQUIRY_MS };
        let mut attempts = in_doubt;
        attempts.extend(job.machine.possibly_running());
        let mut tokens = BTreeMap::new();
        for intent in &job.machine.record.intents {
            tokens.insert(intent.task, intent.token);
        }
        for (attempt, worker) in attempts {
            let token = tokens.get(&attempt.task).copied().unwrap_or(0);
            if let Some(seen) = self.observe_attempt(attempt, &worker, token) {
                self.on_observation(attempt, &worker, seen);
            } else if self.is_worker_gone(&worker) {
                self.on_observation(attempt, &worker, Observation::Forgotten);
            } else {
                inquiries.push((attempt, worker, token));
            }
        }
    }

    /// The state of an attempt, or `None` if this daemon doesn't hold its worker.
    fn observe_attempt(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        token: Token,
    ) -> Option<Observation> {
        self.leases.token(self.now_ms, worker)?;
        let held = self.held.get_mut(worker)?;
        if let Some(task) = held.tasks.get(&attempt) {
            return Some(Observation::State(task.state.clone()));
        }
        if held.has_attempt(attempt) {
            return Some(Observation::Pending);
        }
        // A worker whose token is lower than the intent's has restarted and lost its
        // state, so the missing report doesn't prove that the attempt never ran.
        if held.token < token {
            return Some(Observation::Forgotten);
        }
        // Releasing its capacity and its reservation ensures that it cannot start later.
        self.remote.remove_reservation_for_peer(attempt);
        self.release_unstarted(attempt);
        Some(Observation::Absent)
    }

    pub(crate) fn on_inquiry(
        &mut self,
        coordinator: &DaemonId,
        attempts: &[(AttemptId, WorkerId, Token)],
    ) -> PeerReply {
        let mut replies = Vec::new();
        for (attempt, worker, token) in attempts {
            let Some(seen) = self.observe_attempt(*attempt, worker, *token) else {
                continue;
            };
            self.set_task_coordinator(*attempt, worker, coordinator);
            replies.push(TaskReply { attempt: *attempt, worker: worker.clone(), seen });
        }
        PeerReply::Tasks(replies)
    }

    /// Directs further reports about the task to its job's present coordinator.
    fn set_task_coordinator(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        coordinator: &DaemonId,
    ) {
        if let Some(held) = self.held.get_mut(worker)
            && let Some(task) = held.tasks.get_mut(&attempt)
        {
            task.coordinator = coordinator.clone();
        }
    }

    pub(crate) fn on_task_replies(&mut self, replies: Vec<TaskReply>) {
        for reply in replies {
            self.on_observation(reply.attempt, &reply.worker, reply.seen);
        }
    }

    /// Asks all daemons of the zone which attempts of a taken-over job are on workers that
    /// they hold.
    fn find_job_tasks(&mut self, id: JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.discovery_due_ms.is_none_or(|due_ms| due_ms > now_ms) {
            return;
        }
        job.discovery_due_ms = None;
        let coordinator = self.me.daemon.clone();
        let own_replies = self.held_attempts_of(&coordinator, id);
        let peers = self.zone_peers();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.pending_discoveries = peers.len() as u32 + 1;
        }
        for peer in &peers {
            let call = PeerCall::Find { coordinator: coordinator.clone(), jobs: vec![id] };
            if !self.call_peer(PeerOp::Find(vec![id]), peer, call) {
                self.on_find_answered(id);
            }
        }
        self.on_find_reply(&[id], Ok(PeerReply::Tasks(own_replies)));
    }

    /// The job's attempts on workers held here; `coordinator` receives their reports
    /// from now on.
    fn held_attempts_of(&mut self, coordinator: &DaemonId, id: JobId) -> Vec<TaskReply> {
        let mut replies = Vec::new();
        for (worker, held) in &mut self.held {
            for (attempt, task) in held.tasks.range_mut(attempts_of(id)) {
                task.coordinator = coordinator.clone();
                let seen = Observation::State(task.state.clone());
                replies.push(TaskReply { attempt: *attempt, worker: worker.clone(), seen });
            }
        }
        replies
    }

    pub(crate) fn on_find(&mut self, coordinator: &DaemonId, jobs: &[JobId]) -> PeerReply {
        let mut replies = Vec::new();
        for id in jobs {
            replies.extend(self.held_attempts_of(coordinator, *id));
        }
        PeerReply::Tasks(replies)
    }

    pub(crate) fn on_find_reply(&mut self, jobs: &[JobId], reply: Result<PeerReply, CallError>) {
        if let Ok(PeerReply::Tasks(replies)) = reply {
            self.on_task_replies(replies);
        }
        for id in jobs {
            self.on_find_answered(*id);
        }
    }

    /// Counts a daemon's reply. After the last one, queues the tasks that were not found.
    fn on_find_answered(&mut self, id: JobId) {
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

    /// Groups items by the daemons that may hold their worker. These are all other live
    /// daemons of the worker's zone, so an item may be in several groups.
    pub(crate) fn group_by_daemon<T: Clone>(
        &self,
        items: &[T],
        worker_of: impl Fn(&T) -> WorkerId,
    ) -> BTreeMap<DaemonId, Vec<T>> {
        let mut by_zone: BTreeMap<ZoneName, Vec<T>> = BTreeMap::new();
        for item in items {
            let zone = self.worker_zones.get(&worker_of(item)).unwrap_or(&self.me.zone);
            by_zone.entry(zone.clone()).or_default().push(item.clone());
        }
        let mut by_daemon: BTreeMap<DaemonId, Vec<T>> = BTreeMap::new();
        for (zone, items) in by_zone {
            for daemon in self.daemons_in(&zone) {
                by_daemon.entry(daemon).or_default().extend(items.iter().cloned());
            }
        }
        by_daemon
    }

    /// Whether jobs of this daemon may have tasks on workers of other zones. If such a worker
    /// is lost, the instance list of this zone doesn't show it.
    pub(crate) fn has_tasks_in_other_zones(&self) -> bool {
        let own_zone = Some(&self.me.zone);
        self.job_workers().iter().any(|worker| self.worker_zones.get(worker) != own_zone)
    }

    /// Workers of the running and in-doubt attempts of this daemon's jobs.
    fn job_workers(&self) -> Vec<WorkerId> {
        let mut workers = Vec::new();
        for job in self.jobs.values() {
            let attempts = job.machine.in_doubt().into_iter().chain(job.machine.possibly_running());
            workers.extend(attempts.map(|(_, worker)| worker));
        }
        workers
    }

    /// Records since when workers have been missing from the platform's instance list. For
    /// workers of other zones, only the list of all zones shows it.
    pub(crate) fn record_missing_workers(&mut self, all_zones: bool) {
        let now_ms = self.now_ms;
        let listed = &self.worker_zones;
        self.missing_since.retain(|worker, _| !listed.contains_key(worker));
        let mut missing = Vec::new();
        for (worker, _) in self.leases.all() {
            if !listed.contains_key(worker) {
                missing.push(worker.clone());
            }
        }
        if all_zones {
            let workers = self.job_workers();
            missing.extend(workers.into_iter().filter(|worker| !listed.contains_key(worker)));
        }
        for worker in missing {
            self.missing_since.entry(worker).or_insert(now_ms);
        }
    }

    /// Whether a worker is permanently lost. It has been missing from the instance list for
    /// so long that its lease has expired. By contract, it has then also stopped all tasks
    /// that must not run without a lease.
    pub(crate) fn is_worker_gone(&self, worker: &WorkerId) -> bool {
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
            self.queue_stop(worker, *attempt, mode);
        }
        PeerReply::Noted
    }

    pub(crate) fn on_acknowledge(&mut self, attempts: &[(AttemptId, WorkerId)]) -> PeerReply {
        let attempts = attempts.iter().cloned().collect();
        self.acknowledge(&attempts);
        PeerReply::Noted
    }
}
