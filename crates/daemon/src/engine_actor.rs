//! The actor that owns the engine and executes its effects.
//!
//! Every call to the platform or to another daemon runs in a task of its own. Its
//! result comes back as a message, so the engine handles one event at a time.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use stoatwell_catalogue::Catalogue;
use stoatwell_engine::Answer;
use stoatwell_engine::Dump;
use stoatwell_engine::Effect;
use stoatwell_engine::Engine;
use stoatwell_engine::Event;
use stoatwell_engine::PeerCall;
use stoatwell_engine::Ticket;
use stoatwell_model::JobState;
use stoatwell_peer::Peers;
use stoatwell_peer::client::PeerError;
use stoatwell_platform::CallError;
use stoatwell_platform::Platform;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Clock;

/// The actor: the engine, its clients, and the callers that wait for answers.
#[derive(Debug)]
pub struct EngineActor<P: Platform> {
    engine: Engine,
    platform: Arc<P>,
    peers: Peers,
    clock: Clock,
    tickets: HashMap<Ticket, oneshot::Sender<Answer>>,
    next_ticket: Ticket,
    status: watch::Sender<Status>,
    actor_ref: Option<ActorRef<Self>>,
}

/// The part of the engine's state that the HTTP API and [`crate::run`] read.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Whether callers and operators can be served.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    pub stopping: bool,
    /// Whether the shutdown is complete and all work has been handed over.
    pub stopped: bool,
    /// The catalogue that the daemon currently applies.
    pub catalogue: Arc<Catalogue>,
}

/// An event for the engine that nobody waits for an answer to.
#[derive(Debug)]
pub struct HandleEvent(pub Event);

/// An event for the engine whose answer is sent through a channel.
pub struct Question {
    /// Builds the event; called with the ticket that identifies the answer.
    pub event: Box<dyn FnOnce(Ticket) -> Event + Send>,
    /// Receives the answer; dropped without one if the actor ends first.
    pub answer: oneshot::Sender<Answer>,
}

impl std::fmt::Debug for Question {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Question").finish_non_exhaustive()
    }
}

/// Requests the state dump.
#[derive(Clone, Copy, Debug)]
pub struct GetDump;

impl<P: Platform> EngineActor<P> {
    /// An actor that has yet to be spawned. Before that it executes no effects.
    pub fn new(
        engine: Engine,
        platform: Arc<P>,
        peers: Peers,
        clock: Clock,
        status: watch::Sender<Status>,
    ) -> Self {
        Self {
            engine,
            platform,
            peers,
            clock,
            tickets: HashMap::new(),
            next_ticket: 0,
            status,
            actor_ref: None,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let effects = self.engine.handle(self.clock.now_ms(), event);
        for effect in effects {
            self.execute(effect);
        }
        self.publish();
    }

    fn publish(&self) {
        let ready = self.engine.is_ready();
        let stopping = self.engine.is_shutting_down();
        let stopped = self.engine.is_stopped();
        let revision = self.engine.catalogue().revision();
        self.status.send_if_modified(|status| {
            let mut changed = false;
            let known = (status.ready, status.stopping, status.stopped);
            if known != (ready, stopping, stopped) {
                status.ready = ready;
                status.stopping = stopping;
                status.stopped = stopped;
                changed = true;
            }
            if status.catalogue.revision() != revision {
                status.catalogue = Arc::new(self.engine.catalogue().clone());
                tracing::info!(revision, "catalogue updated");
                changed = true;
            }
            changed
        });
    }

    fn execute(&mut self, effect: Effect) {
        let Some(actor_ref) = self.actor_ref.clone() else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        match effect {
            Effect::Store { op, call } => {
                tokio::spawn(async move {
                    let reply = platform.store(call).await;
                    send_event(&actor_ref, Event::StoreDone { op, reply }).await;
                });
            }
            Effect::Worker { op, worker, address, call } => {
                tracing::trace!(%worker, %address, "calling worker");
                tokio::spawn(async move {
                    let reply = platform.worker(&address, &worker, call).await;
                    send_event(&actor_ref, Event::WorkerDone { op, reply }).await;
                });
            }
            Effect::Minion { op, minion, address, call } => {
                tokio::spawn(async move {
                    let reply = platform.minion(&address, &minion, call).await;
                    send_event(&actor_ref, Event::MinionDone { op, reply }).await;
                });
            }
            Effect::Peer { op, address, call, timeout_ms } => {
                let peers = self.peers.clone();
                tokio::spawn(async move {
                    let limit = Duration::from_millis(timeout_ms);
                    let reply = peers.call(&address, &call, limit).await.map_err(call_error);
                    send_event(&actor_ref, Event::PeerDone { op, reply }).await;
                });
            }
            Effect::Answer { ticket, answer } => self.answer(ticket, answer),
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if let Answer::Job(Ok(view)) = &answer
            && view.state.is_final()
        {
            let (job, entry, owner, state) = (view.job, &view.entry, &view.owner, view.state);
            if state == JobState::Unknown {
                tracing::warn!(%job, %entry, %owner, %state, "answering with the final state of the job");
            } else {
                tracing::debug!(%job, %entry, %owner, %state, "answering with the final state of the job");
            }
        }
        let Some(sender) = self.tickets.remove(&ticket) else {
            return;
        };
        // The caller may have disconnected; its job continues all the same.
        if sender.send(answer).is_err() {
            tracing::debug!(ticket, "caller disconnected; answer dropped");
        }
    }
}

async fn send_event<P: Platform>(actor: &ActorRef<EngineActor<P>>, event: Event) {
    if let Err(error) = actor.tell(HandleEvent(event)).await {
        tracing::debug!(%error, "engine actor has ended; event dropped");
    }
}

fn call_error(error: PeerError) -> CallError {
    match error {
        PeerError::NotSent(error) => CallError::NotSent(error.to_string()),
        PeerError::NoAnswer(reason) => CallError::NoAnswer(reason),
    }
}

impl<P: Platform> Actor for EngineActor<P> {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut args: Self, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        args.actor_ref = Some(actor_ref);
        Ok(args)
    }
}

impl<P: Platform> Message<HandleEvent> for EngineActor<P> {
    type Reply = ();

    async fn handle(&mut self, HandleEvent(event): HandleEvent, _context: &mut Context<Self, ()>) {
        self.handle_event(event);
    }
}

impl<P: Platform> Message<Question> for EngineActor<P> {
    type Reply = ();

    async fn handle(&mut self, msg: Question, _context: &mut Context<Self, ()>) {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, msg.answer);
        let event = (msg.event)(self.next_ticket);
        self.handle_event(event);
    }
}

impl<P: Platform> Message<GetDump> for EngineActor<P> {
    type Reply = Box<Dump>;

    async fn handle(
        &mut self,
        _message: GetDump,
        _context: &mut Context<Self, Box<Dump>>,
    ) -> Box<Dump> {
        Box::new(self.engine.dump())
    }
}

/// Sends an event to the actor and waits for the answer; `None` if the actor has ended.
pub async fn ask<P: Platform>(
    actor: &ActorRef<EngineActor<P>>,
    event: impl FnOnce(Ticket) -> Event + Send + 'static,
) -> Option<Answer> {
    let (sender, receiver) = oneshot::channel();
    let question = Question { event: Box::new(event), answer: sender };
    if actor.tell(question).await.is_err() {
        return None;
    }
    receiver.await.ok()
}

/// Passes a call from another daemon to the engine and returns its reply;
/// `PeerReply::Noted` if there is none.
pub async fn handle_peer_call<P: Platform>(
    actor: ActorRef<EngineActor<P>>,
    call: PeerCall,
) -> stoatwell_engine::PeerReply {
    match ask(&actor, move |ticket| Event::Peer { ticket, call }).await {
        Some(Answer::Peer(reply)) => reply,
        Some(Answer::Job(result)) => stoatwell_engine::PeerReply::Job(result),
        Some(Answer::Edited(_) | Answer::Store(_)) | None => stoatwell_engine::PeerReply::Noted,
    }
}
