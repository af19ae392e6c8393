//! The order in which an overloaded leader receives its messages.

use std::time::Duration;

use stoatwell_model::WorkerId;
use stoatwell_node::Inbox;
use stoatwell_node::Message;
use stoatwell_node::MessageBudget;
use stoatwell_node::inbox;
use stoatwell_pool::Accepted;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Cancellation;
use stoatwell_pool::Event;
use stoatwell_pool::JobId;

/// The number of queued ordinary messages: more than an overloaded leader handles in seconds.
const BACKLOG: usize = 20_000;

fn ordinary_event() -> Event {
    Event::Advisors { count: 1 }
}

fn receive_burst(inbox: &mut Inbox, budget: &mut MessageBudget) -> Vec<Message> {
    std::iter::from_fn(|| inbox.try_recv(budget)).collect()
}

/// Guards against starts on a worker whose removal from the list is queued behind a backlog
/// of replies.
#[test]
fn control_messages_do_not_wait_behind_a_backlog() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(ordinary_event());
    }
    senders.notify(Event::Unlisted { worker: WorkerId::new("w") });
    senders.notify(Event::Cancelled {
        job: JobId(1),
        cancellation: Cancellation::ByOwner,
        source: CancelSource::Notification,
    });
    senders.notify(Event::Customers { limits: Vec::new() });
    senders.notify_leadership_lost();
    let mut budget = MessageBudget::for_cycle(Duration::ZERO);
    let first: Vec<Message> = receive_burst(&mut inbox, &mut budget).into_iter().take(4).collect();
    assert!(matches!(first[0], Message::Event(Event::Unlisted { .. })), "{first:?}");
    assert!(matches!(first[1], Message::Event(Event::Cancelled { .. })), "{first:?}");
    assert!(matches!(first[2], Message::Event(Event::Customers { .. })), "{first:?}");
    assert!(matches!(first[3], Message::LeadershipLost), "{first:?}");
}

/// Guards against starts and answers to callers that wait, after their rows are durable, behind a
/// backlog of replies.
#[test]
fn outcomes_of_writes_do_not_wait_behind_a_backlog() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(ordinary_event());
    }
    senders.notify(Event::Rejected { job: JobId(1), accepted: Accepted::No });
    senders.notify(Event::Committed { batch: 1, partition: 0, sent_ms: 0, version: 1 });
    let mut budget = MessageBudget::for_cycle(Duration::ZERO);
    let first: Vec<Message> = receive_burst(&mut inbox, &mut budget).into_iter().take(2).collect();
    assert!(matches!(first[0], Message::Event(Event::Rejected { .. })), "{first:?}");
    assert!(matches!(first[1], Message::Event(Event::Committed { .. })), "{first:?}");
}

/// Guards against a leader that makes decisions all the time and handles a few hundred
/// messages per decision, so that its backlog grows for as long as the load lasts.
#[test]
fn message_handling_gets_as_much_time_as_the_last_decision_took() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(ordinary_event());
    }
    let mut after_short = MessageBudget::for_cycle(Duration::ZERO);
    let mut handled = receive_burst(&mut inbox, &mut after_short).len();
    assert!(!after_short.start_next_burst());
    let mut after_long = MessageBudget::for_cycle(Duration::from_secs(5));
    handled += receive_burst(&mut inbox, &mut after_long).len();
    while after_long.start_next_burst() {
        handled += receive_burst(&mut inbox, &mut after_long).len();
    }
    assert_eq!(handled, BACKLOG);
}

/// Guards against a leader that is replaced because it answers no probe while it handles a
/// backlog.
#[test]
fn a_backlog_is_handled_in_short_bursts() {
    let (senders, mut inbox) = inbox();
    for _ in 0..BACKLOG {
        senders.notify(ordinary_event());
    }
    let mut budget = MessageBudget::for_cycle(Duration::from_secs(5));
    let handled = receive_burst(&mut inbox, &mut budget).len();
    assert!(handled < 1_000, "{handled}");
    assert!(budget.start_next_burst());
}

/// Guards against an idle leader that is not woken by one of the two kinds of message.
#[tokio::test]
async fn both_kinds_of_message_wake_an_idle_leader() {
    let (senders, mut inbox) = inbox();
    senders.notify(ordinary_event());
    assert!(matches!(inbox.recv().await, Some(Message::Event(Event::Advisors { .. }))));
    senders.notify_leadership_lost();
    assert!(matches!(inbox.recv().await, Some(Message::LeadershipLost)));
}
