//! What a leader with more to do than its processor carries hears first.

use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_node::Inbox;
use stoatwell_node::Message;
use stoatwell_node::MessageBudget;
use stoatwell_node::inbox;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;

/// Answers of workers that wait, more than an overloaded leader handles in seconds.
const BACKLOG: usize = 20_000;

fn answer() -> Event {
    Event::Committed { batch: 1, partition: 0 }
}

fn stretch(inbox: &mut Inbox, turn: &mut MessageBudget) -> Vec<Message> {
    std::iter::from_fn(|| inbox.try_recv(turn)).collect()
}

/// Guards against starts on a worker whose leaving waits behind a backlog of answers.
#[test]
fn control_messages_do_not_wait_behind_a_backlog() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(answer());
    }
    senders.notify(Event::Unlisted { worker: WorkerId::new("w") });
    senders.notify(Event::Cancelled { job: JobId(1) });
    senders.notify(Event::Customers { limits: Vec::new() });
    senders.depose();
    let mut turn = MessageBudget::after_decision(Duration::ZERO);
    let first: Vec<Message> = stretch(&mut inbox, &mut turn).into_iter().take(4).collect();
    assert!(matches!(first[0], Message::Event(Event::Unlisted { .. })), "{first:?}");
    assert!(matches!(first[1], Message::Event(Event::Cancelled { .. })), "{first:?}");
    assert!(matches!(first[2], Message::Event(Event::Customers { .. })), "{first:?}");
    assert!(matches!(first[3], Message::LeadershipLost), "{first:?}");
}

/// Guards against a leader that decides all the time and hears a few hundred messages for
/// each decision, so that its backlog grows for as long as the load lasts.
#[test]
fn handling_gets_as_much_time_as_the_last_decision_took() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(answer());
    }
    let mut after_short = MessageBudget::after_decision(Duration::ZERO);
    let mut handled = stretch(&mut inbox, &mut after_short).len();
    assert!(!after_short.next_burst());
    let mut after_long = MessageBudget::after_decision(Duration::from_secs(5));
    handled += stretch(&mut inbox, &mut after_long).len();
    while after_long.next_burst() {
        handled += stretch(&mut inbox, &mut after_long).len();
    }
    assert_eq!(handled, BACKLOG);
}

/// Guards against a leader that is replaced because it answers nobody while it works off a
/// backlog.
#[test]
fn a_backlog_is_handled_in_short_stretches() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(answer());
    }
    let mut turn = MessageBudget::after_decision(Duration::from_secs(5));
    let handled = stretch(&mut inbox, &mut turn).len();
    assert!(handled < 1_000, "{handled}");
    assert!(turn.next_burst());
}

/// Guards against a message that nobody waits for while the leader is idle.
#[tokio::test]
async fn both_kinds_of_message_wake_an_idle_leader() {
    let (senders, mut inbox) = inbox();
    senders.notify(answer());
    assert!(matches!(inbox.recv().await, Some(Message::Event(Event::Committed { .. }))));
    senders.depose();
    assert!(matches!(inbox.recv().await, Some(Message::LeadershipLost)));
}
