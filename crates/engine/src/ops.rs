//! Calls that are in flight, with the purpose of each.

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
use crate::submit::IncomingSubmission;

/// Calls whose result has not arrived yet, by the id that the result will carry.
#[derive(Debug, Default)]
pub(crate) struct Ops {
    last_id: OpId,
    pub(crate) store: HashMap<OpId, StoreOp>,
    pub(crate) worker: HashMap<OpId, WorkerOp>,
    pub(crate) minion: HashMap<OpId, MinionOp>,
    pub(crate) peer: HashMap<OpId, PeerOp>,
}

/// What a call to the store is for.
#[derive(Debug)]
pub(crate) enum StoreOp {
    /// Writes a transaction of the committer.
    Commit,
    /// Reads changes of the catalogue.
    PollCatalogue,
    /// Changes the catalogue; without a ticket no caller waits for the result.
    Edit(Option<Ticket>, Box<Edit>),
    /// Forwards a caller's query to the store.
    Query(Ticket),
    /// Reads the instance list of all zones, or of this zone only.
    List { all_zones: bool },
    /// Stores a large body before its job is recorded.
    StoreBody(JobId),
    /// Reads the large body of a job that was taken over.
    LoadBody(JobId),
    /// Looks up a job that this daemon does not coordinate.
    Lookup(Lookup),
    /// Scans open jobs for those without a live coordinator.
    SweepOpen,
    /// Reads the records of jobs to take over.
    SweepTakeovers,
    /// Scans finished jobs, to remove those whose retention time is over.
    SweepFinished,
    /// Reads the records of jobs whose tasks on held workers may be orphaned.
    SweepOrphans(Vec<JobId>),
    /// Deletes the stored body of a job.
    RemoveBody,
}

/// Why a job is looked up.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// A caller asks for its state.
    Status { ticket: Ticket, caller: Caller, job: JobId, wait_ms: u64 },
    /// A caller cancels it.
    Cancel { ticket: Ticket, caller: Caller, job: JobId },
    /// A submission that now stays with the old system may have been accepted earlier, when
    /// the entry's share of traffic was larger.
    Resubmission { ticket: Ticket, key: String, submission: Submission, wait_ms: u64 },
}

/// What a call to a worker is for.
#[derive(Debug)]
pub(crate) enum WorkerOp {
    /// Acquires, renews or releases its lease. The attempts are those that a renewal
    /// allows the worker to forget.
    Lease(WorkerId, Vec<AttemptId>),
    /// Starts these tasks.
    Start(WorkerId, Vec<StartTask>),
    /// Stops these tasks.
    Stop(WorkerId, Vec<AttemptId>),
}

/// What a call to a minion is for.
#[derive(Debug)]
pub(crate) enum MinionOp {
    /// Sends a request.
    Request { request: u64, minion: MinionId },
    /// Asks for the outcome of an earlier request. A request that has not arrived at the
    /// minion is refused from then on.
    Seal(JobId),
}

/// What a call to another daemon is for.
#[derive(Debug)]
pub(crate) enum PeerOp {
    /// Sends a heartbeat.
    Heartbeat,
    /// Fetches catalogue changes that this daemon lacks.
    Catalogue,
    /// Queries or cancels a job at its coordinator; the reply goes to the waiting caller.
    ProxyReply(Ticket),
    /// Forwards a submission, which is accepted here if the other daemon did not receive it.
    Forward(Box<IncomingSubmission>),
    /// Reserves capacity on workers that the peer holds.
    Reserve { job: JobId, attempts: Vec<AttemptId>, holder: DaemonId },
    /// Asks what became of attempts whose workers are known.
    Inquire,
    /// Asks which attempts of these jobs are on workers that the peer holds.
    Find(Vec<JobId>),
    /// Reports task states to the coordinator.
    Report { to: DaemonId },
    /// A call whose reply is ignored.
    Notification,
}

impl Engine {
    pub(crate) fn next_op(&mut self) -> OpId {
        self.ops.last_id += 1;
        self.ops.last_id
    }

    pub(crate) fn call_store(&mut self, purpose: StoreOp, call: StoreCall) {
        let op = self.next_op();
        self.ops.store.insert(op, purpose);
        self.effects.push(Effect::Store { op, call });
    }

    pub(crate) fn call_worker(&mut self, purpose: WorkerOp, worker: &WorkerId, call: WorkerCall) {
        let Some(lease) = self.leases.get(worker) else {
            return;
        };
        let address = lease.address.clone();
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

    /// Queues a call to a daemon; returns false if its address is not known.
    pub(crate) fn call_peer(&mut self, purpose: PeerOp, daemon: &DaemonId, call: PeerCall) -> bool {
        let Some(address) = self.address_of(daemon) else {
            return false;
        };
        let caller_wait_ms = match &call {
            PeerCall::Status { wait_ms, .. } => *wait_ms,
            PeerCall::Submit(submit) => submit.wait_ms,
            _ => 0,
        };
        let timeout_ms = self.settings.membership.peer_timeout_ms + caller_wait_ms;
        let op = self.next_op();
        self.ops.peer.insert(op, purpose);
        self.effects.push(Effect::Peer { op, address, call, timeout_ms });
        true
    }
}
