//! Deterministic simulation of a cell of engines in virtual time.
//!
//! Every call takes a short random time in each direction and may be cut off, lost
//! or left unanswered; daemons crash, pause and restart. A seed determines the
//! whole schedule. Table, workers and minions are the simulated ones of the stand-in.
#![allow(missing_docs, reason = "scaffolding of tests and measurements, not an interface")]
#![allow(missing_debug_implementations, reason = "never shown")]

pub mod checker;
pub mod layout;
pub mod traffic;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_engine::Answer;
use stoatwell_engine::Caller;
use stoatwell_engine::Effect;
use stoatwell_engine::Engine;
use stoatwell_engine::Event;
use stoatwell_engine::OpId;
use stoatwell_engine::PeerCall;
use stoatwell_engine::PeerReply;
use stoatwell_model::DaemonId;
use stoatwell_model::EntryName;
use stoatwell_model::MinionId;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::job::JobView;
use stoatwell_model::job::Submission;
use stoatwell_model::peer::Identity;
use stoatwell_model::worker::MinionState;
use stoatwell_platform::CallError;
use stoatwell_platform::Instance;
use stoatwell_platform::InstanceKind;
use stoatwell_platform::MinionCall;
use stoatwell_platform::MinionReply;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::WorkerCall;
use stoatwell_platform::WorkerReply;
use stoatwell_settings::Settings;
use stoatwell_standin::minion::Admission;
use stoatwell_standin::minion::Minion;
use stoatwell_standin::minion::Progress;
use stoatwell_standin::store::Store;
use stoatwell_standin::worker::Worker;

use crate::checker::Checker;
use crate::layout::Layout;
use crate::traffic::TrafficCounts;

pub const TICK_MS: u64 = 100;
const CALL_TIMEOUT_MS: u64 = 500;
const DELAY_MS_MAX: u64 = 8;
/// Time after which the platform restarts a daemon that has stopped.
const RESPAWN_MS: u64 = 2_000;
const START_MS: u64 = 1_000_000;

pub struct World {
    pub now_ms: u64,
    pub rng: Pcg64Mcg,
    pub store: Store,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub minions: BTreeMap<MinionId, Minion>,
    pub checker: Checker,
    pub nodes: Vec<Node>,
    pub answers: HashMap<u64, (u64, Answer)>,
    pub store_down: bool,
    /// Probability, in thousandths, that a write takes effect and its reply is lost.
    pub lost_permille: u32,
    /// Probability, in thousandths, that a message between daemons or to or from a worker or
    /// minion is lost.
    pub drop_permille: u32,
    pub store_cut: HashSet<usize>,
    pub peer_cut: HashSet<(usize, usize)>,
    pub worker_cut: HashSet<(usize, WorkerId)>,
    pub dead_workers: HashSet<WorkerId>,
    /// Worker whose calls are printed, from the environment variable `TRACE`.
    traced_worker: Option<String>,
    instances: Vec<Instance>,
    minions_by_worker: BTreeMap<WorkerId, Vec<MinionId>>,
    zone_by_worker: HashMap<WorkerId, String>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    next_seq: u64,
    next_ticket: u64,
    pending_renewals: Vec<PendingRenewal>,
    pending_calls: HashSet<(usize, u64, OpId, CallKind)>,
    peer_tickets: HashMap<(usize, u64, u64), (usize, u64, OpId)>,
}

pub struct Node {
    pub engine: Option<Engine>,
    pub identity: Identity,
    pub settings: Settings,
    pub paused_until_ms: u64,
    pub stopped: bool,
    pub counts: TrafficCounts,
    /// Real time spent in the engine, across restarts; for measurements only.
    pub engine_time: Duration,
    incarnation: u64,
    last_revision: u64,
}

/// A long-polled renewal that waits for a change on its worker.
struct PendingRenewal {
    node: usize,
    incarnation: u64,
    op: OpId,
    worker: WorkerId,
    call: WorkerCall,
    arrived_ms: u64,
    until_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallKind {
    Store,
    Worker,
    Minion,
    Peer,
}

enum SimEvent {
    Tick(usize),
    Event(usize, u64, Event),
    Timeout(usize, u64, OpId, CallKind),
    Store(usize, u64, OpId, StoreCall),
    Worker(usize, u64, OpId, WorkerId, WorkerCall),
    Minion(usize, u64, OpId, MinionId, MinionCall),
    MinionDone(usize, u64, OpId, MinionId, stoatwell_model::AttemptId, String),
    Peer(usize, u64, OpId, usize, Box<PeerCall>),
    Restart(usize),
}

impl World {
    pub fn new(seed: u64, layout: &Layout) -> Self {
        let mut world = Self {
            now_ms: START_MS,
            rng: Pcg64Mcg::seed_from_u64(seed),
            store: Store::default(),
            workers: BTreeMap::new(),
            minions: BTreeMap::new(),
            checker: Checker::default(),
            nodes: Vec::new(),
            answers: HashMap::new(),
            store_down: false,
            lost_permille: 0,
            drop_permille: 0,
            store_cut: HashSet::new(),
            peer_cut: HashSet::new(),
            worker_cut: HashSet::new(),
            dead_workers: HashSet::new(),
            traced_worker: std::env::var("TRACE").ok(),
            instances: layout.instances(),
            minions_by_worker: BTreeMap::new(),
            zone_by_worker: HashMap::new(),
            queue: BTreeMap::new(),
            next_seq: 0,
            next_ticket: 0,
            pending_renewals: Vec::new(),
            pending_calls: HashSet::new(),
            peer_tickets: HashMap::new(),
        };
        layout.populate(&mut world);
        for index in 0..layout.daemons.len() {
            let identity = layout.identity(index, 1);
            let settings = layout.settings(index);
            world.nodes.push(Node {
                engine: None,
                identity,
                settings,
                paused_until_ms: 0,
                stopped: false,
                counts: TrafficCounts::default(),
                engine_time: Duration::ZERO,
                incarnation: 0,
                last_revision: 0,
            });
            world.start(index);
        }
        world
    }

    pub(crate) fn add_worker(
        &mut self,
        id: &WorkerId,
        zone: &str,
        worker: Worker,
        minion: Option<MinionState>,
    ) {
        self.workers.insert(id.clone(), worker);
        self.zone_by_worker.insert(id.clone(), zone.to_owned());
        if let Some(state) = minion {
            self.minions_by_worker.entry(id.clone()).or_default().push(state.minion.clone());
            self.minions.insert(state.minion.clone(), Minion::new(state));
        }
    }

    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.identity.incarnation = self.now_ms;
        node.stopped = false;
        node.last_revision = 0;
        node.engine = Some(Engine::new(node.identity.clone(), node.settings.clone(), self.now_ms));
        self.push(self.now_ms, SimEvent::Tick(index));
    }

    // ---- control by tests

    pub fn run_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while let Some(((at_ms, _), _)) = self.queue.first_key_value() {
            if *at_ms > end_ms {
                break;
            }
            self.step();
        }
        self.now_ms = end_ms;
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].engine = None;
        self.nodes[index].incarnation += 1;
        self.peer_tickets.retain(|(node, _, _), _| *node != index);
    }

    pub fn restart(&mut self, index: usize) {
        if self.nodes[index].engine.is_none() {
            self.start(index);
        }
    }

    pub fn restart_after(&mut self, index: usize, ms: u64) {
        self.push(self.now_ms + ms, SimEvent::Restart(index));
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until_ms = self.now_ms + ms;
    }

    pub fn stop(&mut self, index: usize) {
        self.inject(index, Event::Stop);
    }

    pub fn cut_peers(&mut self, a: usize, b: usize) {
        self.peer_cut.insert((a, b));
        self.peer_cut.insert((b, a));
    }

    pub fn heal(&mut self) {
        self.store_down = false;
        self.lost_permille = 0;
        self.drop_permille = 0;
        self.store_cut.clear();
        self.peer_cut.clear();
        self.worker_cut.clear();
    }

    /// Fails the instance: its tasks are lost, and daemons find out when they next read the
    /// instance list.
    pub fn kill_worker(&mut self, worker: &WorkerId) {
        self.dead_workers.insert(worker.clone());
        self.instances.retain(|instance| instance.name != worker.as_str());
    }

    pub fn submit(&mut self, index: usize, entry: &str, key: &str, tasks: u32, body: &str) -> u64 {
        let submission = Submission {
            entry: EntryName::new(entry),
            tasks,
            demand: None,
            deadline_ms: None,
            body: body.to_owned(),
        };
        let key = key.to_owned();
        self.send_with_ticket(index, move |ticket| Event::Submit {
            ticket,
            caller: Caller::Operator,
            key,
            submission,
            wait_ms: 0,
        })
    }

    pub fn cancel(&mut self, index: usize, job: stoatwell_model::JobId) -> u64 {
        self.send_with_ticket(index, move |ticket| Event::Cancel {
            ticket,
            caller: Caller::Operator,
            job,
        })
    }

    pub fn status(&mut self, index: usize, job: stoatwell_model::JobId) -> u64 {
        self.send_with_ticket(index, move |ticket| Event::Status {
            ticket,
            caller: Caller::Operator,
            job,
            wait_ms: 0,
        })
    }

    pub fn edit(&mut self, index: usize, key: &str, edit: EditKind, expected: Option<u64>) -> u64 {
        let key = key.to_owned();
        self.send_with_ticket(index, move |ticket| Event::Edit {
            ticket,
            key,
            edit,
            expected,
            by: "test".to_owned(),
        })
    }

    pub fn send_with_ticket(&mut self, index: usize, event: impl FnOnce(u64) -> Event) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.inject(index, event(ticket));
        ticket
    }

    pub fn answer(&self, ticket: u64) -> Option<&Answer> {
        self.answers.get(&ticket).map(|(_, answer)| answer)
    }

    pub fn job_answer(&self, ticket: u64) -> Option<Result<JobView, stoatwell_model::Failure>> {
        match self.answer(ticket)? {
            Answer::Job(result) => Some(result.clone()),
            _ => None,
        }
    }

    pub fn engine(&mut self, index: usize) -> &mut Engine {
        self.nodes[index].engine.as_mut().expect("the daemon runs")
    }

    pub fn nodes_in_zone(&self, zone: &str) -> Vec<usize> {
        let matching = |index: &usize| self.nodes[*index].identity.zone.as_str() == zone;
        (0..self.nodes.len()).filter(matching).collect()
    }

    /// Reads a row of the table directly; empty if it does not exist.
    pub fn row(&mut self, key: &str) -> String {
        match self.store.call(StoreCall::Read { keys: vec![key.to_owned()] }) {
            StoreReply::Rows { rows } => {
                rows.into_iter().next().map(|row| row.value).unwrap_or_default()
            }
            _ => String::new(),
        }
    }

    pub fn rows(&mut self, prefix: &str) -> Vec<(String, String)> {
        let mut all = Vec::new();
        let mut after = String::new();
        loop {
            let call =
                StoreCall::Scan { prefix: prefix.to_owned(), after: after.clone(), limit: 1_000 };
            let StoreReply::Rows { rows } = self.store.call(call) else {
                return all;
            };
            let Some(last) = rows.last() else {
                return all;
            };
            after.clone_from(&last.key);
            all.extend(rows.into_iter().map(|row| (row.key, row.value)));
        }
    }

    // ---- event loop

    fn step(&mut self) {
        let Some(((at_ms, _), event)) = self.queue.pop_first() else {
            return;
        };
        self.now_ms = self.now_ms.max(at_ms);
        match event {
            SimEvent::Tick(node) => self.on_tick(node),
            SimEvent::Event(node, incarnation, event) => self.deliver(node, incarnation, event),
            SimEvent::Timeout(node, incarnation, op, kind) => {
                self.time_out(node, incarnation, op, kind);
            }
            SimEvent::Store(node, incarnation, op, call) => {
                self.on_store_call(node, incarnation, op, call);
            }
            SimEvent::Worker(node, incarnation, op, worker, call) => {
                self.on_worker_call(node, incarnation, op, worker, call);
            }
            SimEvent::Minion(node, incarnation, op, minion, call) => {
                self.on_minion_call(node, incarnation, op, &minion, call);
            }
            SimEvent::MinionDone(node, incarnation, op, minion, attempt, answer) => {
                if let Some(found) = self.minions.get_mut(&minion) {
                    found.finish(attempt, answer.clone());
                }
                let reply = Ok(MinionReply::Answer { body: answer });
                self.reply(
                    node,
                    incarnation,
                    op,
                    CallKind::Minion,
                    Event::MinionDone { op, reply },
                );
            }
            SimEvent::Peer(node, incarnation, op, to, call) => {
                self.on_peer_call(node, incarnation, op, to, *call);
            }
            SimEvent::Restart(node) => self.restart(node),
        }
    }

    fn push(&mut self, at_ms: u64, event: SimEvent) {
        self.next_seq += 1;
        self.queue.insert((at_ms, self.next_seq), event);
    }

    fn inject(&mut self, index: usize, event: Event) {
        let incarnation = self.nodes[index].incarnation;
        self.deliver(index, incarnation, event);
    }

    fn on_tick(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        if self.nodes[index].engine.is_none() {
            return;
        }
        let paused_until_ms = self.nodes[index].paused_until_ms;
        let next_ms = (self.now_ms + TICK_MS).max(paused_until_ms);
        self.push(next_ms, SimEvent::Tick(index));
        if index == 0 || self.nodes[0].engine.is_none() {
            self.complete_renewals();
            self.checker.check_workers(self.now_ms, &mut self.workers, &self.dead_workers);
        }
        if paused_until_ms <= self.now_ms {
            self.deliver(index, incarnation, Event::Tick);
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation || node.engine.is_none() {
            return;
        }
        if node.paused_until_ms > self.now_ms {
            let at_ms = node.paused_until_ms;
            self.push(at_ms, SimEvent::Event(index, incarnation, event));
            return;
        }
        let Some(engine) = node.engine.as_mut() else {
            return;
        };
        let started = Instant::now();
        let effects = engine.handle(self.now_ms, event);
        node.engine_time += started.elapsed();
        let revision = engine.catalogue().revision();
        let stopped = engine.is_stopped();
        assert!(
            revision >= node.last_revision,
            "the catalogue revision of daemon {index} went backwards"
        );
        node.last_revision = revision;
        if stopped && !node.stopped {
            node.stopped = true;
        }
        for effect in effects {
            self.apply_effect(index, incarnation, effect);
        }
        if self.nodes[index].stopped {
            self.crash(index);
            self.restart_after(index, RESPAWN_MS);
        }
    }

    fn apply_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        let delay_ms = self.draw_delay_ms();
        let at_ms = self.now_ms + delay_ms;
        match effect {
            Effect::Store { op, call } => {
                self.nodes[node].counts.store_call(&call);
                self.register_call(node, incarnation, op, CallKind::Store, CALL_TIMEOUT_MS);
                if !self.store_cut.contains(&node) {
                    self.push(at_ms, SimEvent::Store(node, incarnation, op, call));
                }
            }
            Effect::Worker { op, worker, call, .. } => {
                self.nodes[node].counts.worker_call(&call);
                let wait_ms =
                    if let WorkerCall::Renew { wait_ms, .. } = &call { *wait_ms } else { 0 };
                self.register_call(
                    node,
                    incarnation,
                    op,
                    CallKind::Worker,
                    CALL_TIMEOUT_MS + wait_ms,
                );
                let reached = self.reaches_worker(node, &worker) && !self.draw_message_loss();
                if reached {
                    self.push(at_ms, SimEvent::Worker(node, incarnation, op, worker, call));
                }
            }
            Effect::Minion { op, minion, call, .. } => {
                let limit_ms = match &call {
                    MinionCall::Ask { deadline_ms, .. } => *deadline_ms,
                    MinionCall::Seal { .. } => CALL_TIMEOUT_MS,
                };
                self.register_call(node, incarnation, op, CallKind::Minion, limit_ms);
                if !self.draw_message_loss() {
                    self.push(at_ms, SimEvent::Minion(node, incarnation, op, minion, call));
                }
            }
            Effect::Peer { op, address, call, timeout_ms } => {
                let to = self.nodes.iter().position(|other| other.identity.peer_address == address);
                self.register_call(node, incarnation, op, CallKind::Peer, timeout_ms);
                let Some(to) = to else {
                    return;
                };
                let cross_region = self.is_cross_region(node, to);
                self.nodes[node].counts.peer_sent(&call, cross_region);
                let refused = self.nodes[to].engine.is_none();
                if refused {
                    let reply = Err(CallError::NotSent("connection refused".to_owned()));
                    self.reply(
                        node,
                        incarnation,
                        op,
                        CallKind::Peer,
                        Event::PeerDone { op, reply },
                    );
                } else if !self.peer_cut.contains(&(node, to)) && !self.draw_message_loss() {
                    self.push(at_ms, SimEvent::Peer(node, incarnation, op, to, Box::new(call)));
                }
            }
            Effect::Answer { ticket, answer } => self.on_answer(node, incarnation, ticket, answer),
        }
    }

    fn on_answer(&mut self, node: usize, incarnation: u64, ticket: u64, answer: Answer) {
        if let Some((caller, caller_incarnation, op)) =
            self.peer_tickets.remove(&(node, incarnation, ticket))
        {
            let reply = match answer {
                Answer::Peer(reply) => reply,
                Answer::Job(result) => PeerReply::Job(result),
                Answer::Edited(_) | Answer::Store(_) => PeerReply::Noted,
            };
            if self.peer_cut.contains(&(node, caller)) || self.draw_message_loss() {
                return;
            }
            let cross_region = self.is_cross_region(node, caller);
            self.nodes[node].counts.peer_sent(&reply, cross_region);
            self.nodes[caller].counts.peer_received(&reply);
            let event = Event::PeerDone { op, reply: Ok(reply) };
            self.reply(caller, caller_incarnation, op, CallKind::Peer, event);
            return;
        }
        self.checker.on_answer(ticket, &answer);
        self.answers.insert(ticket, (self.now_ms, answer));
    }

    fn list_instances(&self, zone: Option<&ZoneName>) -> Vec<Instance> {
        let wanted = |instance: &&Instance| {
            instance.kind == InstanceKind::Entry || zone.is_none_or(|zone| instance.zone == *zone)
        };
        self.instances.iter().filter(wanted).cloned().collect()
    }

    fn is_cross_region(&self, a: usize, b: usize) -> bool {
        self.nodes[a].identity.region != self.nodes[b].identity.region
    }

    fn draw_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..=DELAY_MS_MAX)
    }

    fn draw_message_loss(&mut self) -> bool {
        self.drop_permille > 0 && self.rng.random_range(0..1_000) < self.drop_permille
    }

    fn reaches_worker(&self, node: usize, worker: &WorkerId) -> bool {
        !self.dead_workers.contains(worker) && !self.worker_cut.contains(&(node, worker.clone()))
    }

    fn register_call(
        &mut self,
        node: usize,
        incarnation: u64,
        op: OpId,
        kind: CallKind,
        limit_ms: u64,
    ) {
        self.pending_calls.insert((node, incarnation, op, kind));
        self.push(self.now_ms + limit_ms, SimEvent::Timeout(node, incarnation, op, kind));
    }

    fn reply(&mut self, node: usize, incarnation: u64, op: OpId, kind: CallKind, event: Event) {
        self.nodes[node].counts.reply_received(&event);
        if !self.pending_calls.remove(&(node, incarnation, op, kind)) {
            return;
        }
        let at_ms = self.now_ms + self.draw_delay_ms();
        self.push(at_ms, SimEvent::Event(node, incarnation, event));
    }

    fn time_out(&mut self, node: usize, incarnation: u64, op: OpId, kind: CallKind) {
        if !self.pending_calls.remove(&(node, incarnation, op, kind)) {
            return;
        }
        let error = CallError::NoAnswer("timed out".to_owned());
        let event = match kind {
            CallKind::Store => Event::StoreDone { op, reply: Err(error) },
            CallKind::Worker => Event::WorkerDone { op, reply: Err(error) },
            CallKind::Minion => Event::MinionDone { op, reply: Err(error) },
            CallKind::Peer => Event::PeerDone { op, reply: Err(error) },
        };
        self.deliver(node, incarnation, event);
    }

    fn on_store_call(&mut self, node: usize, incarnation: u64, op: OpId, call: StoreCall) {
        if self.store_down {
            let reply = Err(CallError::Refused("down".to_owned()));
            self.reply(node, incarnation, op, CallKind::Store, Event::StoreDone { op, reply });
            return;
        }
        let reply = match call {
            StoreCall::Instances { zone } => {
                StoreReply::Instances { instances: self.list_instances(zone.as_ref()) }
            }
            call => {
                let lost = call.is_write() && self.rng.random_range(0..1_000) < self.lost_permille;
                let reply = self.store.call(call);
                if lost {
                    return;
                }
                reply
            }
        };
        self.reply(
            node,
            incarnation,
            op,
            CallKind::Store,
            Event::StoreDone { op, reply: Ok(reply) },
        );
    }

    fn on_worker_call(
        &mut self,
        node: usize,
        incarnation: u64,
        op: OpId,
        worker: WorkerId,
        call: WorkerCall,
    ) {
        let Some(reply) = self.call_worker(&worker, self.now_ms, &call) else {
            return;
        };
        if let WorkerCall::Renew { wait_ms, since, .. } = &call {
            let unchanged = matches!(reply, WorkerReply::Renewed { .. })
                && self.workers.get(&worker).is_some_and(|found| !found.has_changes_since(*since));
            if unchanged {
                let (arrived_ms, until_ms) = (self.now_ms, self.now_ms + wait_ms);
                self.pending_renewals.push(PendingRenewal {
                    node,
                    incarnation,
                    op,
                    worker,
                    call,
                    arrived_ms,
                    until_ms,
                });
                return;
            }
        }
        if self.draw_message_loss() || !self.reaches_worker(node, &worker) {
            return;
        }
        self.reply(
            node,
            incarnation,
            op,
            CallKind::Worker,
            Event::WorkerDone { op, reply: Ok(reply) },
        );
    }

    fn call_worker(
        &mut self,
        worker: &WorkerId,
        arrived_ms: u64,
        call: &WorkerCall,
    ) -> Option<WorkerReply> {
        if self.dead_workers.contains(worker) {
            return None;
        }
        let minions = self.minion_states(worker);
        let found = self.workers.get_mut(worker)?;
        let before: HashSet<_> = found.running().map(|report| report.attempt).collect();
        let reply = found.call(self.now_ms, arrived_ms, call, &minions, false);
        if self.traced_worker.as_deref() == Some(worker.as_str()) {
            eprintln!("{} {worker} received {call:?}, replied {reply:?}", self.now_ms);
        }
        let after: Vec<_> = found.running().cloned().collect();
        for report in after {
            if !before.contains(&report.attempt) {
                self.checker.on_start(
                    self.now_ms,
                    worker,
                    &report,
                    &self.workers,
                    &self.dead_workers,
                );
            }
        }
        Some(reply)
    }

    fn minion_states(&self, worker: &WorkerId) -> Vec<MinionState> {
        let ids = self.minions_by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| self.minions.get(id)).map(|minion| minion.state.clone()).collect()
    }

    fn complete_renewals(&mut self) {
        let now_ms = self.now_ms;
        for renewal in std::mem::take(&mut self.pending_renewals) {
            let WorkerCall::Renew { since, .. } = &renewal.call else {
                continue;
            };
            if let Some(worker) = self.workers.get_mut(&renewal.worker) {
                worker.advance(now_ms);
                if now_ms < renewal.until_ms && !worker.has_changes_since(*since) {
                    self.pending_renewals.push(renewal);
                    continue;
                }
            }
            let Some(reply) = self.call_worker(&renewal.worker, renewal.arrived_ms, &renewal.call)
            else {
                continue;
            };
            if self.draw_message_loss() || !self.reaches_worker(renewal.node, &renewal.worker) {
                continue;
            }
            let event = Event::WorkerDone { op: renewal.op, reply: Ok(reply) };
            self.reply(renewal.node, renewal.incarnation, renewal.op, CallKind::Worker, event);
        }
    }

    fn on_minion_call(
        &mut self,
        node: usize,
        incarnation: u64,
        op: OpId,
        minion: &MinionId,
        call: MinionCall,
    ) {
        let worker_is_dead = self.minions_by_worker.iter().any(|(worker, minions)| {
            minions.contains(minion) && self.dead_workers.contains(worker)
        });
        let Some(found) = self.minions.get_mut(minion) else {
            return;
        };
        if worker_is_dead {
            return;
        }
        let reply = match call {
            MinionCall::Ask { attempt, body, .. } => match found.begin(attempt) {
                Admission::Admitted => {
                    self.checker.on_request(attempt, found.state.busy, found.state.slots);
                    let work_ms = self.rng.random_range(5..400);
                    let answer = format!("answer to {body}");
                    let done = SimEvent::MinionDone(
                        node,
                        incarnation,
                        op,
                        minion.clone(),
                        attempt,
                        answer,
                    );
                    self.push(self.now_ms + work_ms, done);
                    return;
                }
                Admission::Busy => MinionReply::Busy,
                Admission::Sealed => MinionReply::NeverStarted,
                Admission::Duplicate(progress) => progress_reply(progress),
            },
            MinionCall::Seal { attempt } => progress_reply(found.seal(attempt)),
        };
        if self.draw_message_loss() {
            return;
        }
        self.reply(
            node,
            incarnation,
            op,
            CallKind::Minion,
            Event::MinionDone { op, reply: Ok(reply) },
        );
    }

    fn on_peer_call(&mut self, node: usize, incarnation: u64, op: OpId, to: usize, call: PeerCall) {
        if self.nodes[to].engine.is_none() || self.peer_cut.contains(&(node, to)) {
            return;
        }
        self.nodes[to].counts.peer_received(&call);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let to_incarnation = self.nodes[to].incarnation;
        self.peer_tickets.insert((to, to_incarnation, ticket), (node, incarnation, op));
        self.deliver(to, to_incarnation, Event::Peer { ticket, call });
    }

    pub fn daemon(&self, index: usize) -> &DaemonId {
        &self.nodes[index].identity.daemon
    }
}

fn progress_reply(progress: Progress) -> MinionReply {
    match progress {
        Progress::Running => MinionReply::Running,
        Progress::Sealed => MinionReply::NeverStarted,
        Progress::Answered(body) => MinionReply::Answer { body },
    }
}
