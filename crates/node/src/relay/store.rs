//! The platform with relayed access to the store.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_peer::client::PeerError;
use stoatwell_pool::CallError;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PaceCall;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;

use crate::clock::steady_ms;
use crate::daemons::parse_daemons;
use crate::executors::call::decode;
use crate::executors::call::encode;
use crate::manifest::Manifest;
use crate::peers::DaemonCall;
use crate::peers::DaemonReply;
use crate::platform::Confirmation;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Rows;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WorkerChanges;
use crate::relay::RelayState;
use crate::relay::StoreCall;
use crate::relay::StoreReply;
use crate::relay::call::own_outcome;
use crate::relay::call::written_bytes;
use crate::relay::path::PROBE_LIMIT_MS;
use crate::relay::path::PathCall;
use crate::relay::path::RelayOutcome;
use crate::relay::path::SILENCE_MS;
use crate::relay::path::Step;

/// A platform whose calls to the store go through other daemons while the own path fails. Calls to
/// workers and to the advisor are made directly.
#[derive(Debug)]
pub struct RelayedStore<P> {
    pub(super) own: Arc<P>,
    pub(super) peers: Peers,
    pub(super) state: Arc<RelayState>,
}

/// The place of a call through another daemon. It is freed also if the caller no longer waits.
struct RelayedCall<'a> {
    state: &'a RelayState,
    address: &'a str,
    bytes: usize,
}

impl Drop for RelayedCall<'_> {
    fn drop(&mut self) {
        self.state.paths().release(self.address, self.bytes);
    }
}

impl<P: Platform> RelayedStore<P> {
    /// Wraps a platform.
    pub(crate) fn new(own: Arc<P>, peers: Peers, state: Arc<RelayState>) -> Self {
        Self { own, peers, state }
    }

    /// Makes a call to the store on the path that the state of all paths suggests. `own` makes it
    /// on the own path, and `call` describes it for another daemon.
    async fn call<T, F>(
        &self,
        mut path_call: PathCall,
        wait_ms: u64,
        own: impl Fn() -> F + Send + Sync,
        call: impl Fn() -> StoreCall + Send + Sync,
        unpack: fn(StoreReply) -> Option<T>,
    ) -> Result<T, StoreError>
    where
        T: Send,
        F: Future<Output = Result<T, StoreError>> + Send,
    {
        let mut last = Err(StoreError::Refused);
        let mut step = self.state.paths().begin(&mut path_call, steady_ms());
        loop {
            step = match step {
                Step::Own => {
                    last = self.call_own(wait_ms, own()).await;
                    let mut paths = self.state.paths();
                    let step = paths.after_own(&mut path_call, own_outcome(&last), steady_ms());
                    self.state.notify_if_suspect(&paths);
                    step
                }
                Step::Probe(address) => {
                    let outcome = self.probe_relay(&address).await;
                    let mut paths = self.state.paths();
                    paths.after_probe(&mut path_call, &address, outcome, steady_ms())
                }
                Step::Relay(address) => {
                    let bytes = path_call.bytes();
                    let relayed = RelayedCall { state: &self.state, address: &address, bytes };
                    let (outcome, result) = self.call_through(&address, &call()).await;
                    drop(relayed);
                    metrics::counter!("stoatwell_store_relayed_total", "outcome" => outcome_name(outcome))
                        .increment(1);
                    if let Some(result) = result {
                        last = result.and_then(|reply| unpack(reply).ok_or(StoreError::NoAnswer));
                    }
                    let mut paths = self.state.paths();
                    paths.after_relay(&mut path_call, &address, outcome, steady_ms())
                }
                Step::ReturnLast => return last,
                Step::ReturnRefused => return Err(StoreError::Refused),
                Step::ReturnNoAnswer => return Err(StoreError::NoAnswer),
            };
        }
    }

    /// Makes a call on the own path. It ends without an answer once the path is known to be
    /// silent.
    async fn call_own<T>(
        &self,
        wait_ms: u64,
        call: impl Future<Output = Result<T, StoreError>> + Send,
    ) -> Result<T, StoreError> {
        let mut silences = self.state.silences.subscribe();
        let mut call = pin!(call);
        let mut overdue = Duration::from_millis(SILENCE_MS + wait_ms);
        loop {
            tokio::select! {
                biased;
                result = &mut call => return result,
                _ = silences.changed() => return Err(StoreError::NoAnswer),
                () = tokio::time::sleep(overdue) => {}
            }
            overdue = Duration::from_millis(SILENCE_MS);
            let mut paths = self.state.paths();
            paths.record_overdue(steady_ms());
            self.state.notify_if_suspect(&paths);
        }
    }

    /// Learns whether another daemon relays calls, by a small read. An old daemon cannot decode
    /// the call and sends an empty reply, so that no write through it is ever in doubt.
    pub(super) async fn probe_relay(&self, address: &str) -> RelayOutcome {
        let limit = Duration::from_millis(PROBE_LIMIT_MS);
        let probe = StoreCall::probe();
        match tokio::time::timeout(limit, self.call_through(address, &probe)).await {
            Ok((outcome, _)) => outcome,
            Err(_) => RelayOutcome::NoAnswer,
        }
    }

    /// Makes a call through another daemon; returns the result if the store answered or refused.
    async fn call_through(
        &self,
        address: &str,
        call: &StoreCall,
    ) -> (RelayOutcome, Option<Result<StoreReply, StoreError>>) {
        let limit = call.limit();
        let message = DaemonCall::Store {
            caller: self.state.name.clone(),
            call: encode(call),
            limit_ms: limit.as_millis() as u64,
        };
        let reply = match self.peers.call::<DaemonReply>(address, &message, limit).await {
            Ok(DaemonReply::Store(reply)) => reply,
            Ok(DaemonReply::StoreDeclined) => return (RelayOutcome::Declined, None),
            Ok(_) | Err(PeerError::NoAnswer(_)) => return (RelayOutcome::NoAnswer, None),
            Err(PeerError::NotSent(_)) => return (RelayOutcome::NotSent, None),
        };
        match decode::<Result<StoreReply, StoreError>>("store reply", &reply) {
            Some(Err(StoreError::Refused)) => (RelayOutcome::Refused, None),
            Some(Err(StoreError::NoAnswer)) => (RelayOutcome::StoreSilent, None),
            Some(result) => (RelayOutcome::Answered, Some(result)),
            None => (RelayOutcome::NoAnswer, None),
        }
    }

    /// The path of a read that all daemons need.
    fn read_call() -> PathCall {
        PathCall::new(false, true, 0)
    }

    /// The path of a read that only a leader needs. Other daemons learn from the leader, or only
    /// take part in elections, for which those with a path of their own are fitter.
    fn leader_read_call(&self) -> PathCall {
        PathCall::new(false, self.state.leads(), 0)
    }
}

fn outcome_name(outcome: RelayOutcome) -> &'static str {
    match outcome {
        RelayOutcome::Answered => "answered",
        RelayOutcome::Refused => "refused",
        RelayOutcome::StoreSilent => "store silent",
        RelayOutcome::Declined => "declined",
        RelayOutcome::NotSent => "not sent",
        RelayOutcome::NoAnswer => "no answer",
    }
}

fn rows(reply: StoreReply) -> Option<Rows> {
    if let StoreReply::Rows(rows) = reply { Some(rows) } else { None }
}

fn worker_changes(reply: StoreReply) -> Option<WorkerChanges> {
    if let StoreReply::Workers(changes) = reply { Some(changes) } else { None }
}

fn manifest_at(reply: StoreReply) -> Option<(Option<Manifest>, u64)> {
    if let StoreReply::Manifest(manifest, version) = reply {
        Some((manifest, version))
    } else {
        None
    }
}

impl<P: Platform> Platform for RelayedStore<P> {
    fn with_own_connections(self: &Arc<Self>) -> Arc<Self> {
        Arc::new(Self {
            own: self.own.with_own_connections(),
            peers: Peers::new(&self.state.peer_key, Traffic::default()),
            state: Arc::clone(&self.state),
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let path_call = PathCall::new(true, true, written_bytes(transaction));
        let call = || StoreCall::Transact(transaction.clone());
        let unpack =
            |reply| if let StoreReply::Written(version) = reply { Some(version) } else { None };
        self.call(path_call, 0, || self.own.transact(transaction), call, unpack).await
    }

    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>, StoreError> {
        let call = || StoreCall::Read(table, key.to_owned());
        let unpack = |reply| if let StoreReply::Row(row) = reply { Some(row) } else { None };
        self.call(Self::read_call(), 0, || self.own.read(table, key), call, unpack).await
    }

    async fn read_all(&self, table: Table) -> Result<Rows, StoreError> {
        let own = || self.own.read_all(table);
        let call = || StoreCall::ReadAll(table);
        let result = self.call(self.leader_read_call(), 0, own, call, rows).await;
        if let (Table::Daemons, Ok(rows)) = (table, &result) {
            self.state.set_daemons(parse_daemons(&rows.rows));
        }
        result
    }

    async fn read_page(
        &self,
        table: Table,
        partition: usize,
        after: &str,
    ) -> Result<Rows, StoreError> {
        let own = || self.own.read_page(table, partition, after);
        let call = || StoreCall::ReadPage { table, partition, after: after.to_owned() };
        self.call(self.leader_read_call(), 0, own, call, rows).await
    }

    async fn poll_changes(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> Result<Rows, StoreError> {
        let own = || self.own.poll_changes(table, after, wait_ms);
        let call = || StoreCall::PollChanges { table, after, wait_ms };
        self.call(self.leader_read_call(), wait_ms, own, call, rows).await
    }

    async fn workers(&self) -> Result<WorkerChanges, StoreError> {
        let own = || self.own.workers();
        let call = || StoreCall::Workers;
        self.call(self.leader_read_call(), 0, own, call, worker_changes).await
    }

    async fn poll_worker_changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<WorkerChanges, StoreError> {
        let own = || self.own.poll_worker_changes(after, wait_ms);
        let call = || StoreCall::PollWorkerChanges { after, wait_ms };
        self.call(self.leader_read_call(), wait_ms, own, call, worker_changes).await
    }

    async fn manifest(&self) -> Result<(Option<Manifest>, u64), StoreError> {
        let call = || StoreCall::Manifest;
        self.call(Self::read_call(), 0, || self.own.manifest(), call, manifest_at).await
    }

    async fn poll_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<(Option<Manifest>, u64), StoreError> {
        let own = || self.own.poll_manifest(after, wait_ms);
        let call = || StoreCall::PollManifest { after, wait_ms };
        self.call(Self::read_call(), wait_ms, own, call, manifest_at).await
    }

    async fn confirm_manifest(&self, row_version: u64) -> Result<Confirmation, StoreError> {
        let own = || self.own.confirm_manifest(row_version);
        let call = || StoreCall::ConfirmManifest(row_version);
        let unpack =
            |reply| if let StoreReply::Confirmation(answer) = reply { Some(answer) } else { None };
        self.call(Self::read_call(), 0, own, call, unpack).await
    }

    async fn hold(&self, call: &HoldCall) -> Result<HoldReply, CallError> {
        self.own.hold(call).await
    }

    async fn start(&self, call: &StartCall) -> Result<StartReply, CallError> {
        self.own.start(call).await
    }

    async fn stop(&self, call: &StopCall) -> Result<(), CallError> {
        self.own.stop(call).await
    }

    async fn pace(&self, call: &PaceCall) -> Result<(), CallError> {
        self.own.pace(call).await
    }

    async fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> Option<Vec<Grant>> {
        self.own.advise(step, workers, limit_ms).await
    }
}
