//! Group commit under lost answers, conflicts and outages.

use stoatwell_ledger::CommitResult;
use stoatwell_ledger::Committer;
use stoatwell_ledger::Write;
use stoatwell_platform::CallError;
use stoatwell_platform::Check;
use stoatwell_platform::Put;
use stoatwell_platform::Row;
use stoatwell_platform::StoreReply;

fn write(key: &str, version: u64, write_id: u64) -> Write {
    Write {
        checks: vec![Check { key: key.to_owned(), version }],
        puts: vec![Put { key: key.to_owned(), value: format!(r#"{{"write_id":{write_id}}}"#) }],
        deletes: Vec::new(),
        write_id,
        expires_ms: None,
    }
}

fn row(key: &str, version: u64, write_id: u64) -> Row {
    Row { key: key.to_owned(), version, value: format!(r#"{{"write_id":{write_id}}}"#) }
}

fn no_answer() -> Result<StoreReply, CallError> {
    Err(CallError::NoAnswer("timed out".to_owned()))
}

/// Many jobs are accepted in one moment; a transaction for each would use up
/// the table's writes.
#[test]
fn many_writes_share_a_transaction() {
    let mut committer = Committer::new(100, 10);
    for number in 0..60 {
        committer.submit(number, write(&format!("job/{number}"), 0, number));
    }
    let transaction = committer.due(1_000).expect("it is due");
    assert_eq!(transaction.puts.len(), 60);
    committer.submit(99, write("job/99", 0, 99));
    assert_eq!(committer.due(1_000), None, "one at a time");
    let results = committer.on_reply(1_010, &Ok(StoreReply::Committed { version: 5 }));
    assert!(results.iter().all(|(_, result)| *result == CommitResult::Written { version: 5 }));
    assert_eq!((results.len(), committer.backlog()), (60, 1));
}

/// The answer is lost after the transaction took effect, and one of its rows
/// was changed by somebody else before. Each caller must get its own truth.
#[test]
fn lost_answer_and_conflict_are_told_apart() {
    let mut committer = Committer::new(100, 100);
    committer.submit(1, write("job/a", 0, 11));
    committer.submit(2, write("job/b", 0, 12));
    let first = committer.due(1_000).expect("it is due");
    assert!(committer.on_reply(1_100, &no_answer()).is_empty());
    let again = committer.due(10_000).expect("it is sent again");
    assert_eq!(first, again);
    let rows = vec![row("job/a", 7, 11), row("job/b", 8, 99)];
    let results = committer.on_reply(10_100, &Ok(StoreReply::Conflict { rows }));
    assert!(results.contains(&(1, CommitResult::Written { version: 7 })));
    assert!(matches!(results[1], (2, CommitResult::Conflict { .. })));
    assert_eq!(committer.stats().recovered, 1);
}

/// A conflict on one row must not fail the other callers' rows.
#[test]
fn writes_beside_a_conflict_are_sent_again() {
    let mut committer = Committer::new(100, 100);
    committer.submit(1, write("job/a", 0, 11));
    committer.submit(2, write("job/b", 0, 12));
    committer.due(1_000).expect("it is due");
    let rows = vec![row("job/a", 3, 99)];
    let results = committer.on_reply(1_010, &Ok(StoreReply::Conflict { rows }));
    assert_eq!(results.len(), 1);
    let again = committer.due(1_020).expect("the rest goes again");
    assert_eq!(again.puts[0].key, "job/b");
}

/// The store is down. Callers are told so while that is still true of their
/// work, and what may have been written is never taken back.
#[test]
fn only_what_was_surely_not_sent_is_taken_back() {
    let mut committer = Committer::new(1, 100);
    for number in 1..=2 {
        let late = Write { expires_ms: Some(2_000), ..write(&format!("job/{number}"), 0, number) };
        committer.submit(number, late);
    }
    committer.due(1_000).expect("the first one is sent");
    committer.on_reply(1_500, &no_answer());
    assert_eq!(committer.take_expired(2_500), vec![(2, CommitResult::NotWritten)]);
    assert_eq!(committer.backlog(), 1, "the first one is tried until it is known");
}

/// After an hour's outage all daemons have much to write; sent at once it would
/// knock the store over again.
#[test]
fn catching_up_is_paced() {
    let mut committer = Committer::new(1, 10);
    for number in 0..500 {
        committer.submit(number, write(&format!("job/{number}"), 0, number));
    }
    for failure in 0..5 {
        if committer.due(failure * 10_000).is_some() {
            committer.on_reply(failure * 10_000, &Err(CallError::Refused("down".to_owned())));
        }
    }
    assert!(committer.is_failing());
    let mut sent = 0;
    for step in 0..300 {
        let now_ms = 3_600_000 + step * 10;
        if committer.due(now_ms).is_some() {
            sent += 1;
            committer.on_reply(now_ms, &Ok(StoreReply::Committed { version: 1 }));
        }
    }
    assert!((20..=40).contains(&sent), "{sent} transactions in three seconds at ten a second");
    assert!(!committer.is_failing());
}
