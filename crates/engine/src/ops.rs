//! Calls whose results are awaited, and what each is for.

use std::collections::HashMap;

use stoatwell_catalogue::Edit;
use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_model::MinionId;
use stoatwell_model::WorkerId;
use stoatwell_model::job::Submission;
use stoatwell_model::worker::StartTask;
use stoatwell_platform::MinionCall;
use stoatwell_platform::StoreCall;
use stoatwell_platform::WorkerCall;

use crate::Engine;
use crate::message::Caller;
use crate::message::Effect;
use crate::message::OpId;
use crate::message::PeerCall;
use crate::message::Ticket;

/// Calls on their way.
#[derive(Debug, Default)]
pub(crate) struct Ops {
    next: OpId,
    pub(crate) store: HashMap<OpId, StoreOp>,
    pub(crate) worker: HashMap<OpId, WorkerOp>,
    pub(crate) minion: HashMap<OpId, MinionOp>,
    pub(crate) peer: HashMap<OpId, PeerOp>,
}

/// What a call to the store is for.
#[derive(Debug)]
pub(crate) enum StoreOp {
    /// Writes of the committer.
    Commit,
    /// Following the catalogue.
    Follow,
    /// Changing the catalogue; without a ticket nobody waits.
    Edit(Option<Ticket>, Box<Edit>),
    /// Passing somebody's question on.
    Query(Ticket),
    /// The instance list: that of all zones or only of this one.
    List { all_zones: bool },
    /// Keeping a large body before its job is recorded.
    StoreBody(JobId),
    /// Reading the large body of a job that was taken over.
    LoadBody(JobId),
    /// Looking up a job that is not run here.
    Lookup(Lookup),
    /// Looking for jobs that nobody runs.
    SweepOpen,
    /// Reading the records of such jobs.
    SweepRead,
    /// Looking for finished jobs whose time is over.
    SweepDone,
    /// Reading records of jobs whose tasks are here but whose coordinator is not known.
    SweepOrphans(Vec<JobId>),
    /// Removing an object.
    RemoveBody,
}

/// Why a job is looked up.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// Somebody asks how it is.
    Status { ticket: Ticket, caller: Caller, job: JobId, wait_ms: u64 },
    /// Somebody wants it cancelled.
    Cancel { ticket: Ticket, caller: Caller, job: JobId },
    /// It may have been accepted before its share of traffic went back to the old system.
    Resubmission { ticket: Ticket, key: String, submission: Submission, wait_ms: u64 },
}

/// What a call to a worker is for.
#[derive(Debug)]
pub(crate) enum WorkerOp {
    /// Its lease; with the attempts that a renewal lets it forget.
    Lease(WorkerId, Vec<AttemptId>),
    /// Starting these.
    Start(WorkerId, Vec<StartTask>),
    /// Stopping tasks.
    Stop(WorkerId, Vec<AttemptId>),
}

/// What a call to a minion is for.
#[derive(Debug)]
pub(crate) enum MinionOp {
    /// A request.
    Ask { request: u64, minion: MinionId },
    /// What became of an earlier one.
    Seal(JobId),
}

/// What a call to another daemon is for.
#[derive(Debug)]
pub(crate) enum PeerOp {
    /// A sign of life.
    Heartbeat,
    /// Catching up with the catalogue.
    Catalogue,
    /// A job's answer is passed on to somebody who waits.
    ProxyReply(Ticket),
    /// Work was handed on; it is run here if the other did not get it.
    Forward { ticket: Ticket, caller: Caller, key: String, submission: Submission, wait_ms: u64 },
    /// Room on another's workers.
    Reserve { job: JobId, attempts: Vec<AttemptId>, holder: DaemonId },
    /// What became of attempts.
    Inquire,
    /// Which attempts of these jobs are at that daemon.
    Find(Vec<JobId>),
    /// Reports of tasks.
    Report { to: DaemonId },
    /// Nothing depends on the answer.
    Notification,
}

impl Engine {
    pub(crate) fn next_op(&mut self) -> OpId {
        self.ops.next += 1;
        self.ops.next
    }

    pub(crate) fn call_store(&mut self, purpose: StoreOp, call: StoreCall) {
        let op = self.next_op();
        self.ops.store.insert(op, purpose);
        self.effects.push(Effect::Store { op, call });
    }

    pub(crate) fn call_worker(&mut self, purpose: WorkerOp, worker: &WorkerId, call: WorkerCall) {
        let Some(holding) = self.leases.get(worker) else {
            return;
        };
        let address = holding.address.clone();
        let op = self.next_op();
        self.ops.worker.insert(op, purpose);
        self.effects.push(Effect::Worker { op, worker: worker.clone(), address, call });
    }

    pub(crate) fn call_minion(
        &mut self,
        purpose: MinionOp,
        minion: MinionId,
        address: String,
        call: MinionCall,
    ) {
        let op = self.next_op();
        self.ops.minion.insert(op, purpose);
        self.effects.push(Effect::Minion { op, minion, address, call });
    }

    /// Calls a daemon; says whether its address is known.
    pub(crate) fn call_peer(&mut self, purpose: PeerOp, daemon: &DaemonId, call: PeerCall) -> bool {
        let Some(address) = self.address_of(daemon) else {
            return false;
        };
        let waits_ms = match &call {
            PeerCall::Status { wait_ms, .. } => *wait_ms,
            PeerCall::Submit(submit) => submit.wait_ms,
            _ => 0,
        };
        let timeout_ms = self.settings.membership.peer_timeout_ms + waits_ms;
        let op = self.next_op();
        self.ops.peer.insert(op, purpose);
        self.effects.push(Effect::Peer { op, address, call, timeout_ms });
        true
    }
}
