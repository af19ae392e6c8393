//! Admission of submissions: checks, deduplication by key, forwarding and acceptance.

use stoatwell_ledger::JobMachine;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::OwnerName;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkEntry;
use stoatwell_model::code::Problem;
use stoatwell_model::job::JobView;
use stoatwell_model::job::Submission;
use stoatwell_platform::CallError;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use xxhash_rust::xxh3::xxh3_64;

use crate::Engine;
use crate::jobs::Job;
use crate::message::Caller;
use crate::message::PeerCall;
use crate::message::PeerReply;
use crate::message::SubmitCall;
use crate::message::Ticket;
use crate::ops::Lookup;
use crate::ops::PeerOp;
use crate::ops::StoreOp;

/// Retry delay suggested to a caller for most temporary refusals.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;
const KEY_BYTES_MAX: usize = 128;
const PERMILLE: u64 = 1_000;

/// A submission as it arrived, and who waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSubmission {
    pub(crate) ticket: Ticket,
    pub(crate) caller: Caller,
    pub(crate) key: String,
    pub(crate) submission: Submission,
    pub(crate) received_ms: UnixMs,
    /// How long the caller waits for the outcome, from `received_ms`.
    pub(crate) wait_ms: u64,
    /// Whether it may be forwarded to another daemon; `false` if another one forwarded it.
    pub(crate) may_forward: bool,
}

impl IncomingSubmission {
    /// How long the caller still waits for the outcome.
    fn remaining_wait_ms(&self, now_ms: UnixMs) -> u64 {
        (self.received_ms + self.wait_ms).saturating_sub(now_ms)
    }
}

/// A submission that passed the admission checks.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) incoming: IncomingSubmission,
    pub(crate) entry: WorkEntry,
    pub(crate) content_hash: u64,
    pub(crate) job: JobId,
}

impl Admitted {
    fn new(incoming: IncomingSubmission, entry: WorkEntry) -> Self {
        let job = JobId::from_key(&entry.owner, &incoming.key);
        let content_hash = content_hash(&incoming.submission);
        Self { incoming, entry, content_hash, job }
    }
}

impl Engine {
    pub(crate) fn on_submit(&mut self, incoming: IncomingSubmission) {
        if self.stopping && self.forward_while_stopping(&incoming) {
            return;
        }
        match self.admit(&incoming) {
            // The daemon that forwards a submission has checked its share of traffic.
            Ok(entry) if incoming.may_forward && stays_with_old_system(&entry, &incoming.key) => {
                // The submission may have been accepted while the entry's share of traffic was
                // larger. If it were refused now, the caller would run it again in the old
                // system.
                self.look_up(Lookup::Resubmission {
                    ticket: incoming.ticket,
                    wait_ms: incoming.remaining_wait_ms(self.now_ms),
                    key: incoming.key,
                    submission: incoming.submission,
                });
            }
            Ok(entry) => self.dispatch(Admitted::new(incoming, entry)),
            Err(failure) => self.answer_job(incoming.ticket, Err(failure)),
        }
    }

    /// Forwards a submission that arrived during shutdown to another daemon. Load
    /// balancers keep sending callers here until they notice the shutdown. Returns
    /// false if the submission cannot be forwarded.
    fn forward_while_stopping(&mut self, incoming: &IncomingSubmission) -> bool {
        if !incoming.may_forward {
            return false;
        }
        let Some(entry) = self.catalogue.work(&incoming.submission.entry).cloned() else {
            return false;
        };
        if !may_access(&incoming.caller, &entry.owner) {
            return false;
        }
        let live = self.members.live(self.now_ms);
        let ready = live.filter(|member| !member.stopping);
        // Prefer a daemon of this zone.
        let nearest = ready.max_by_key(|member| member.identity.zone == self.me.zone);
        let Some(daemon) = nearest.map(|member| member.identity.daemon.clone()) else {
            return false;
        };
        self.forward(&Admitted::new(incoming.clone(), entry), &daemon)
    }

    /// Handles a submission that another daemon forwarded; it is not forwarded again.
    pub(crate) fn on_forwarded(&mut self, ticket: Ticket, call: SubmitCall) {
        self.on_submit(IncomingSubmission {
            ticket,
            caller: Caller::Owner(call.owner),
            key: call.key,
            submission: call.submission,
            received_ms: self.now_ms,
            wait_ms: call.wait_ms,
            may_forward: false,
        });
    }

    /// Runs the checks that need only the catalogue and the state of this daemon.
    fn admit(&self, incoming: &IncomingSubmission) -> Result<WorkEntry, Failure> {
        let IncomingSubmission { caller, key, submission, .. } = incoming;
        if self.stopping {
            return Err(Failure::new(Code::Stopping).retry_after(0));
        }
        if !self.is_ready() {
            return Err(Failure::new(Code::NotReady).retry_after(RETRY_AFTER_MS));
        }
        let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > KEY_BYTES_MAX || !printable {
            return Err(Failure::new(Code::BadIdempotencyKey));
        }
        let entry = self.catalogue.work(&submission.entry);
        let entry =
            entry.ok_or_else(|| Failure::with_detail(Code::NoSuchEntry, &submission.entry))?;
        if let Caller::Owner(owner) = caller
            && *owner != entry.owner
        {
            return Err(Failure::with_detail(Code::Forbidden, &submission.entry));
        }
        let problems = problems(entry, submission);
        if !problems.is_empty() {
            return Err(Failure::new(Code::InvalidDocument).with_problems(problems));
        }
        if submission.body.len() as u64 > entry.limits.body_bytes {
            return Err(Failure::new(Code::BodyTooLarge));
        }
        Ok(entry.clone())
    }

    fn dispatch(&mut self, admitted: Admitted) {
        if self.join_existing_job(&admitted) {
            return;
        }
        if admitted.entry.class == Class::Request {
            self.accept_request(admitted);
            return;
        }
        if let Err(failure) = self.check_capacity(&admitted) {
            if failure.code == Code::WorkersUnknown {
                self.defer(admitted.incoming);
            } else {
                self.answer_job(admitted.incoming.ticket, Err(failure));
            }
            return;
        }
        let demand = admitted.incoming.submission.demand.unwrap_or(admitted.entry.task);
        let fits_here = self.scheduler.cell.could_fit(&admitted.entry.owner, &demand);
        if admitted.incoming.may_forward && !fits_here {
            let owner = &admitted.entry.owner;
            let peer = self
                .find_peer_with_capacity(owner, &demand)
                .or_else(|| self.find_peer_that_could_ever_fit(owner, &demand));
            if let Some(daemon) = peer
                && self.forward(&admitted, &daemon)
            {
                return;
            }
        }
        self.accept(admitted);
    }

    /// Joins an earlier submission with the same idempotency key if this daemon coordinates
    /// its job. Returns `false` if there is none.
    fn join_existing_job(&mut self, admitted: &Admitted) -> bool {
        let id = admitted.job;
        let ticket = admitted.incoming.ticket;
        let wait_ms = admitted.incoming.remaining_wait_ms(self.now_ms);
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.machine.record.content_hash != admitted.content_hash {
            self.answer_job(ticket, Err(Failure::new(Code::KeyReused)));
            return true;
        }
        if job.accepted {
            self.wait_for_outcome(id, ticket, wait_ms);
        } else {
            job.acceptance_waiters.push((ticket, wait_ms));
        }
        true
    }

    fn check_capacity(&self, admitted: &Admitted) -> Result<(), Failure> {
        let entry = &admitted.entry;
        if self.rejects_recorded_work() {
            return Err(Failure::new(Code::StoreUnavailable).retry_after(RETRY_AFTER_MS));
        }
        if self.jobs.len() as u64 >= self.settings.queue.jobs {
            return Err(Failure::new(Code::Overloaded).retry_after(RETRY_AFTER_MS));
        }
        let waiting = self.scheduler.queue.job_count(&entry.name, entry.urgency);
        if waiting as u64 >= u64::from(entry.limits.queued_jobs) {
            return Err(Failure::new(Code::QueueFull).retry_after(RETRY_AFTER_MS));
        }
        if let Some(until_ms) = self.scheduler.health.held_back_until(self.now_ms, &entry.name) {
            let wait_ms = until_ms - self.now_ms;
            return Err(Failure::new(Code::EntryHeldBack).retry_after(wait_ms));
        }
        let submission = &admitted.incoming.submission;
        let demand = submission.demand.unwrap_or(entry.task);
        match self.could_fit_anywhere(&entry.owner, &demand) {
            Some(true) => {}
            Some(false) => return Err(self.never_fits_failure(&entry.owner, &demand)),
            None => return Err(Failure::with_detail(Code::WorkersUnknown, &entry.owner)),
        }
        let total = demand.times(u64::from(submission.tasks));
        let quota = self.catalogue.owner(&entry.owner).map(|owner| owner.quota);
        let simultaneous = if entry.class == Class::Gang { total } else { demand };
        if quota.is_some_and(|quota| !quota.holds(&simultaneous)) {
            return Err(Failure::with_detail(Code::OverQuota, &entry.owner));
        }
        Ok(())
    }

    fn never_fits_failure(
        &self,
        owner: &OwnerName,
        demand: &stoatwell_model::Resources,
    ) -> Failure {
        let largest = self.scheduler.cell.largest(owner);
        let detail = match largest.first_shortage(demand) {
            Some(lacking) => format!("no target of {owner} has enough {lacking}"),
            None => format!("no single target of {owner} has all of it"),
        };
        Failure::with_detail(Code::NeverFits, detail)
    }

    fn forward(&mut self, admitted: &Admitted, daemon: &stoatwell_model::DaemonId) -> bool {
        let incoming = &admitted.incoming;
        let call = SubmitCall {
            owner: admitted.entry.owner.clone(),
            key: incoming.key.clone(),
            submission: incoming.submission.clone(),
            wait_ms: self.answer_wait_ms(admitted),
        };
        let purpose = PeerOp::Forward(Box::new(incoming.clone()));
        self.call_peer(purpose, daemon, PeerCall::Submit(call))
    }

    /// How long the answer to a submission may take. A request is answered once it has its
    /// outcome, however long its caller asked to wait.
    fn answer_wait_ms(&self, admitted: &Admitted) -> u64 {
        let incoming = &admitted.incoming;
        let remaining_wait_ms = incoming.remaining_wait_ms(self.now_ms);
        if admitted.entry.class != Class::Request {
            return remaining_wait_ms;
        }
        let entry_ms = admitted.entry.limits.deadline_ms;
        let relative_ms = incoming.submission.deadline_ms.unwrap_or(entry_ms);
        let limit_ms =
            if relative_ms == 0 { self.settings.routing.request_timeout_ms } else { relative_ms };
        remaining_wait_ms.max((incoming.received_ms + limit_ms).saturating_sub(self.now_ms))
    }

    pub(crate) fn forward_request(&mut self, admitted: &Admitted) -> bool {
        let group = admitted.entry.minions.clone().unwrap_or_default();
        let Some(daemon) = self.find_peer_with_minions(&group, &admitted.entry.owner) else {
            return false;
        };
        self.forward(admitted, &daemon)
    }

    pub(crate) fn on_forward_done(
        &mut self,
        incoming: IncomingSubmission,
        reply: Result<PeerReply, CallError>,
    ) {
        let peer_took_nothing = match &reply {
            Ok(PeerReply::Job(Err(failure))) => is_refusal_of_peer_alone(failure.code),
            Ok(_) => false,
            Err(error) => error.is_without_effect(),
        };
        if peer_took_nothing {
            self.on_submit(IncomingSubmission { may_forward: false, ..incoming });
            return;
        }
        let result = match reply {
            Ok(PeerReply::Job(result)) => result,
            Ok(_) | Err(_) => {
                Err(Failure::new(Code::AcceptanceUnknown).retry_after(RETRY_AFTER_MS))
            }
        };
        self.answer_job(incoming.ticket, result);
    }

    /// Writes the job record; the caller is answered once it is durable.
    fn accept(&mut self, admitted: Admitted) {
        let ticket = admitted.incoming.ticket;
        let wait_ms = admitted.incoming.remaining_wait_ms(self.now_ms);
        let record = self.new_record(&admitted);
        let id = record.job;
        let attempts_max = admitted.entry.limits.attempts;
        let body = admitted.incoming.submission.body;
        let object = record.body_object.clone();
        let mut job = Job::new(JobMachine::new(record, 0, attempts_max), body.clone());
        job.acceptance_waiters.push((ticket, wait_ms));
        job.accept_until_ms = self.now_ms + self.settings.ledger.accept_timeout_ms;
        self.jobs.insert(id, job);
        match object {
            Some(key) => {
                self.call_store(StoreOp::StoreBody(id), StoreCall::PutObject { key, body });
            }
            None => self.write_job(id),
        }
    }

    pub(crate) fn on_body_stored(&mut self, id: JobId, reply: &Result<StoreReply, CallError>) {
        if reply.is_ok() {
            self.write_job(id);
            return;
        }
        // No record refers to the object, so the job was not accepted.
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for (ticket, _) in job.acceptance_waiters {
            let failure = Failure::new(Code::StoreUnavailable).retry_after(RETRY_AFTER_MS);
            self.answer_job(ticket, Err(failure));
        }
    }

    pub(crate) fn new_record(&self, admitted: &Admitted) -> JobRecord {
        let entry = &admitted.entry;
        let submission = &admitted.incoming.submission;
        let relative_ms = submission.deadline_ms.unwrap_or(entry.limits.deadline_ms);
        let received_ms = admitted.incoming.received_ms;
        let deadline_ms = if relative_ms == 0 { 0 } else { received_ms + relative_ms };
        let large = submission.body.len() as u64 > self.settings.ledger.inline_body_bytes;
        JobRecord {
            job: admitted.job,
            owner: entry.owner.clone(),
            key: admitted.incoming.key.clone(),
            content_hash: admitted.content_hash,
            entry: entry.name.clone(),
            class: entry.class,
            execution: entry.execution,
            urgency: entry.urgency,
            tasks: submission.tasks,
            demand: submission.demand.unwrap_or(entry.task),
            body: if large { String::new() } else { submission.body.clone() },
            body_object: large.then(|| format!("body/{}", admitted.job)),
            accepted_ms: self.now_ms,
            deadline_ms,
            zone: self.me.zone.clone(),
            coordinator: self.me.daemon.clone(),
            epoch: 1,
            intents: Vec::new(),
            started: false,
            cancelled: false,
            outcome: None,
            finished_ms: 0,
            write_id: 0,
        }
    }
}

/// Whether a submission is left to the old system. This depends only on the key and the
/// entry's share of traffic, so all daemons decide alike.
fn stays_with_old_system(entry: &WorkEntry, key: &str) -> bool {
    xxh3_64(key.as_bytes()) % PERMILLE >= u64::from(entry.traffic_permille)
}

/// Whether a refusal with this code concerns only the daemon that sent it; it took nothing.
fn is_refusal_of_peer_alone(code: Code) -> bool {
    matches!(code, Code::Stopping | Code::NotReady | Code::WorkersUnknown)
}

pub(crate) fn may_access(caller: &Caller, owner: &OwnerName) -> bool {
    match caller {
        Caller::Operator => true,
        Caller::Owner(name) => name == owner,
    }
}

/// The state of a job according to its record alone.
pub(crate) fn view_of_record(record: JobRecord, reasons: Vec<String>) -> JobView {
    JobMachine::new(record, 0, 1).view(reasons)
}

pub(crate) fn content_hash(submission: &Submission) -> u64 {
    let text = serde_json::to_string(submission).unwrap_or_default();
    xxh3_64(text.as_bytes())
}

fn problems(entry: &WorkEntry, submission: &Submission) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |path: &str, value: String, expected: String, hint: &str| {
        problems.push(Problem { path: path.to_owned(), value, expected, hint: hint.to_owned() });
    };
    let tasks_max = if entry.class == Class::Request { 1 } else { entry.limits.tasks_per_job };
    if submission.tasks == 0 || submission.tasks > tasks_max {
        let expected = format!("a whole number from 1 to {tasks_max}");
        report(
            "$.tasks",
            submission.tasks.to_string(),
            expected,
            "limits.tasks_per_job of the entry bounds it",
        );
    }
    if let Some(demand) = &submission.demand
        && demand.cpu_millis == 0
    {
        report(
            "$.demand.cpu_millis",
            "0".to_owned(),
            "1 or more".to_owned(),
            "every task needs some processor",
        );
    }
    problems
}
