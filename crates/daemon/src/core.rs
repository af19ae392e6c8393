//! The actor that owns the engine and carries its effects out.
//!
//! Every call to the outside runs in a task of its own, and its result comes
//! back as a message, so the engine sees one event after the other.

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

/// The actor.
#[derive(Debug)]
pub struct Core<P: Platform> {
    engine: Engine,
    platform: Arc<P>,
    peers: Peers,
    clock: Clock,
    tickets: HashMap<Ticket, oneshot::Sender<Answer>>,
    next_ticket: Ticket,
    status: watch::Sender<Status>,
    itself: Option<ActorRef<Self>>,
}

/// What the parts around the actor see of it.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Whether callers and operators can be served.
    pub ready: bool,
    /// Whether everything was handed over.
    pub stopped: bool,
    /// The catalogue in force.
    pub catalogue: Arc<Catalogue>,
}

/// Something happened that nobody waits for.
#[derive(Debug)]
pub struct Happened(pub Event);

/// Somebody asks; the answer comes through the channel.
pub struct Question {
    /// Makes the event once its ticket is known.
    pub event: Box<dyn FnOnce(Ticket) -> Event + Send>,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

impl std::fmt::Debug for Question {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Question").finish_non_exhaustive()
    }
}

/// Asks for the state dump.
#[derive(Clone, Copy, Debug)]
pub struct GetDump;

impl<P: Platform> Core<P> {
    /// An actor that is not started yet.
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
            itself: None,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let effects = self.engine.handle(self.clock.now_ms(), event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.publish();
    }

    fn publish(&self) {
        let ready = self.engine.is_ready();
        let stopped = self.engine.is_stopped();
        let revision = self.engine.catalogue().revision();
        self.status.send_if_modified(|status| {
            let mut changed = false;
            if status.ready != ready || status.stopped != stopped {
                status.ready = ready;
                status.stopped = stopped;
                changed = true;
            }
            if status.catalogue.revision() != revision {
                status.catalogue = Arc::new(self.engine.catalogue().clone());
                tracing::info!(revision, "catalogue in force");
                changed = true;
            }
            changed
        });
    }

    fn carry_out(&mut self, effect: Effect) {
        let Some(itself) = self.itself.clone() else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        match effect {
            Effect::Store { op, call } => {
                tokio::spawn(async move {
                    let reply = platform.store(call).await;
                    notify(&itself, Event::StoreDone { op, reply }).await;
                });
            }
            Effect::Worker { op, worker, address, call } => {
                tracing::trace!(%worker, %address, "worker called");
                tokio::spawn(async move {
                    let reply = platform.worker(&address, &worker, call).await;
                    notify(&itself, Event::WorkerDone { op, reply }).await;
                });
            }
            Effect::Minion { op, minion, address, call } => {
                tokio::spawn(async move {
                    let reply = platform.minion(&address, &minion, call).await;
                    notify(&itself, Event::MinionDone { op, reply }).await;
                });
            }
            Effect::Peer { op, address, call, timeout_ms } => {
                let peers = self.peers.clone();
                tokio::spawn(async move {
                    let limit = Duration::from_millis(timeout_ms);
                    let reply = peers.call(&address, &call, limit).await.map_err(call_error);
                    notify(&itself, Event::PeerDone { op, reply }).await;
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
                tracing::warn!(%job, %entry, %owner, %state, "job answered");
            } else {
                tracing::debug!(%job, %entry, %owner, %state, "job answered");
            }
        }
        let Some(sender) = self.tickets.remove(&ticket) else {
            return;
        };
        // The caller may have gone; its work goes on all the same.
        if sender.send(answer).is_err() {
            tracing::debug!(ticket, "nobody waits for the answer any more");
        }
    }
}

async fn notify<P: Platform>(core: &ActorRef<Core<P>>, event: Event) {
    if let Err(error) = core.tell(Happened(event)).await {
        tracing::debug!(%error, "the daemon has ended");
    }
}

fn call_error(error: PeerError) -> CallError {
    match error {
        PeerError::NotSent(reason) => CallError::NotSent(reason),
        PeerError::NoAnswer(reason) => CallError::NoAnswer(reason),
    }
}

impl<P: Platform> Actor for Core<P> {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut args: Self, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        args.itself = Some(actor_ref);
        Ok(args)
    }
}

impl<P: Platform> Message<Happened> for Core<P> {
    type Reply = ();

    async fn handle(&mut self, Happened(event): Happened, _context: &mut Context<Self, ()>) {
        self.handle_event(event);
    }
}

impl<P: Platform> Message<Question> for Core<P> {
    type Reply = ();

    async fn handle(&mut self, msg: Question, _context: &mut Context<Self, ()>) {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, msg.answer);
        let event = (msg.event)(self.next_ticket);
        self.handle_event(event);
    }
}

impl<P: Platform> Message<GetDump> for Core<P> {
    type Reply = Box<Dump>;

    async fn handle(
        &mut self,
        _message: GetDump,
        _context: &mut Context<Self, Box<Dump>>,
    ) -> Box<Dump> {
        Box::new(self.engine.dump())
    }
}

/// Asks the actor and waits for the answer; `None` once it has ended.
pub async fn ask<P: Platform>(
    core: &ActorRef<Core<P>>,
    event: impl FnOnce(Ticket) -> Event + Send + 'static,
) -> Option<Answer> {
    let (sender, receiver) = oneshot::channel();
    let question = Question { event: Box::new(event), answer: sender };
    if core.tell(question).await.is_err() {
        return None;
    }
    receiver.await.ok()
}

/// Passes a peer's call to the engine.
pub async fn answer_peer<P: Platform>(
    core: ActorRef<Core<P>>,
    call: PeerCall,
) -> stoatwell_engine::PeerReply {
    match ask(&core, move |ticket| Event::Peer { ticket, call }).await {
        Some(Answer::Peer(reply)) => reply,
        Some(Answer::Job(result)) => stoatwell_engine::PeerReply::Job(result),
        Some(Answer::Edited(_) | Answer::Store(_)) | None => stoatwell_engine::PeerReply::Noted,
    }
}
