//! What waits for the scheduler to hear it.
//!
//! A leader with more to do than its processor carries falls behind with the answers of
//! workers and the advisor. What changes what it may do at all does not wait behind them:
//! workers that leave, cancellations, customers' limits, another leader.

use std::time::Duration;
use std::time::Instant;

use stoatwell_pool::Event;
use tokio::sync::mpsc;

use crate::message::Message;

/// Messages handled at a stretch. Other daemons ask meanwhile whether the leader lives, and
/// replace one that keeps them waiting.
const MESSAGES_MAX: usize = 256;

/// The receiving ends.
#[derive(Debug)]
pub struct Inbox {
    control: mpsc::UnboundedReceiver<Message>,
    ordinary: mpsc::UnboundedReceiver<Message>,
}

/// The sending ends.
#[derive(Clone, Debug)]
pub struct InboxSender {
    control: mpsc::UnboundedSender<Message>,
    ordinary: mpsc::UnboundedSender<Message>,
}

/// What one turn of the leader handles, in stretches.
#[derive(Debug)]
pub struct MessageBudget {
    began: Instant,
    /// Messages of the present stretch.
    handled: usize,
    /// How long the last decision took: handling gets as much, so that neither starves.
    at_least: Duration,
}

/// A new inbox and the way to it.
pub fn inbox() -> (InboxSender, Inbox) {
    let (control, control_received) = mpsc::unbounded_channel();
    let (ordinary, ordinary_received) = mpsc::unbounded_channel();
    let inbox = Inbox { control: control_received, ordinary: ordinary_received };
    (InboxSender { control, ordinary }, inbox)
}

impl Inbox {
    /// Waits for a message.
    pub async fn recv(&mut self) -> Option<Message> {
        tokio::select! {
            biased;
            message = self.control.recv() => message,
            message = self.ordinary.recv() => message,
        }
    }

    /// Waits for a message that does not wait behind others.
    pub async fn recv_control(&mut self) -> Option<Message> {
        self.control.recv().await
    }

    /// A message that waits, if the stretch may have one more.
    pub fn try_recv(&mut self, turn: &mut MessageBudget) -> Option<Message> {
        if let Ok(message) = self.control.try_recv() {
            return Some(message);
        }
        if turn.handled >= MESSAGES_MAX {
            return None;
        }
        turn.handled += 1;
        self.ordinary.try_recv().ok()
    }
}

impl InboxSender {
    /// Tells the scheduler of an event.
    pub fn notify(&self, event: Event) {
        let sender = match event {
            Event::Listed(_)
            | Event::Unlisted { .. }
            | Event::Cancelled { .. }
            | Event::Customers { .. } => &self.control,
            _ => &self.ordinary,
        };
        if sender.send(Message::Event(event)).is_err() {
            tracing::debug!("the scheduler ended before it was notified");
        }
    }

    /// Tells the scheduler that another one leads.
    pub fn depose(&self) {
        if self.control.send(Message::Deposed).is_err() {
            tracing::debug!("the scheduler had ended before");
        }
    }
}

impl MessageBudget {
    /// A turn after a decision that took this long.
    pub fn after_decision(decided: Duration) -> Self {
        Self { began: Instant::now(), handled: 0, at_least: decided }
    }

    /// Begins another stretch, if there is more to handle and time for it.
    pub fn next_burst(&mut self) -> bool {
        let is_full = self.handled >= MESSAGES_MAX;
        self.handled = 0;
        is_full && self.began.elapsed() < self.at_least
    }
}
