//! The scheduler's message queue.
//!
//! An overloaded leader falls behind with the replies of workers and the advisor. Control
//! messages, which change what it may do at all, are not queued behind them: workers that
//! leave, cancellations, customers' limits, a new leader. Neither are the outcomes of its
//! writes: starts and answers to callers wait for them, and a start is void after a while.

use std::time::Duration;
use std::time::Instant;

use stoatwell_pool::Event;
use tokio::sync::mpsc;

use crate::message::Message;

/// Maximum ordinary messages in a burst: messages that are handled without yielding to other
/// tasks. Other daemons probe the leader meanwhile, and replace one that keeps them waiting.
const BURST_MESSAGES_MAX: usize = 256;

/// The receiving half of the message queue.
#[derive(Debug)]
pub struct Inbox {
    control: mpsc::UnboundedReceiver<Message>,
    ordinary: mpsc::UnboundedReceiver<Queued>,
    /// How long the ordinary message that was last taken had waited.
    delay: Duration,
}

/// An ordinary message, and when it was sent.
#[derive(Debug)]
struct Queued {
    message: Message,
    sent: Instant,
}

/// The sending half of the message queue.
#[derive(Clone, Debug)]
pub struct InboxSender {
    control: mpsc::UnboundedSender<Message>,
    ordinary: mpsc::UnboundedSender<Queued>,
}

/// Limits how many messages the leader handles in one scheduling cycle.
///
/// A cycle handles messages and then makes one decision. Messages are handled in bursts, and
/// between two bursts the leader yields to its other tasks. Another burst starts only while the
/// cycle has spent less time on messages than the last decision took.
#[derive(Debug)]
pub struct MessageBudget {
    started: Instant,
    /// Ordinary messages handled in the current burst.
    handled_in_burst: usize,
    /// Ordinary messages handled in earlier bursts.
    handled_before: usize,
    /// How long the last decision took. Handling messages gets as much time, so that neither
    /// starves.
    time_limit: Duration,
}

/// Creates a message queue.
pub fn inbox() -> (InboxSender, Inbox) {
    let (control, control_receiver) = mpsc::unbounded_channel();
    let (ordinary, ordinary_receiver) = mpsc::unbounded_channel();
    let inbox =
        Inbox { control: control_receiver, ordinary: ordinary_receiver, delay: Duration::ZERO };
    (InboxSender { control, ordinary }, inbox)
}

impl Inbox {
    /// Waits for the next message, control messages first.
    pub async fn recv(&mut self) -> Option<Message> {
        tokio::select! {
            biased;
            message = self.control.recv() => message,
            queued = self.ordinary.recv() => {
                let queued = queued?;
                self.delay = queued.sent.elapsed();
                Some(queued.message)
            }
        }
    }

    /// Waits for the next control message.
    pub async fn recv_control(&mut self) -> Option<Message> {
        self.control.recv().await
    }

    /// Takes the next queued message, control messages first. `None` if there is none, or
    /// only ordinary ones while the current burst is used up.
    pub fn try_recv(&mut self, budget: &mut MessageBudget) -> Option<Message> {
        if let Ok(message) = self.control.try_recv() {
            return Some(message);
        }
        if budget.handled_in_burst >= BURST_MESSAGES_MAX {
            return None;
        }
        budget.handled_in_burst += 1;
        let Ok(queued) = self.ordinary.try_recv() else {
            self.delay = Duration::ZERO;
            return None;
        };
        self.delay = queued.sent.elapsed();
        Some(queued.message)
    }

    /// How long the ordinary message that was last taken had waited; 0 if none is queued.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// The number of queued messages.
    pub fn len(&self) -> usize {
        self.control.len() + self.ordinary.len()
    }

    /// Whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl InboxSender {
    /// Sends an event to the scheduler.
    pub fn notify(&self, event: Event) {
        let is_control = matches!(
            event,
            Event::Listed(_)
                | Event::Unlisted { .. }
                | Event::WorkersRead { .. }
                | Event::Cancelled { .. }
                | Event::Customers { .. }
                | Event::Committed { .. }
                | Event::Unwritable { .. }
                | Event::InDoubt { .. }
                | Event::Rejected { .. }
        );
        let message = Message::Event(event);
        let is_sent = if is_control {
            self.control.send(message).is_ok()
        } else {
            self.ordinary.send(Queued { message, sent: Instant::now() }).is_ok()
        };
        if !is_sent {
            tracing::debug!("cannot send an event: the scheduler has ended");
        }
    }

    /// Notifies the scheduler that another daemon leads now.
    pub fn notify_leadership_lost(&self) {
        if self.control.send(Message::LeadershipLost).is_err() {
            tracing::debug!("cannot notify the scheduler of the lost leadership: it has ended");
        }
    }
}

impl MessageBudget {
    /// The budget for a cycle, given how long the decision of the previous cycle took.
    pub fn for_cycle(decision_time: Duration) -> Self {
        Self {
            started: Instant::now(),
            handled_in_burst: 0,
            handled_before: 0,
            time_limit: decision_time,
        }
    }

    /// The number of ordinary messages handled in this cycle.
    pub fn handled(&self) -> usize {
        self.handled_before + self.handled_in_burst
    }

    /// Starts another burst. Returns `false` if the time is up, or if the last burst was not
    /// full, so that no messages were left.
    pub fn start_next_burst(&mut self) -> bool {
        let is_exhausted = self.handled_in_burst >= BURST_MESSAGES_MAX;
        self.handled_before += self.handled_in_burst;
        self.handled_in_burst = 0;
        is_exhausted && self.started.elapsed() < self.time_limit
    }
}
