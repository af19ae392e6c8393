//! Tests of group commit under lost responses, conflicts and outages.

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

/// Many jobs are accepted at the same time. One transaction for each would exhaust the
/// table's write capacity.
#[test]
fn many_writes_share_a_transaction() {
    let mut committer = Committer::new(100, 10);
    for number in 0..60 {
        committer.submit(number, write(&format!("job/{number}"), 0, number));
    }
    let transaction = committer.due(1_000).expect("a transaction");
    assert_eq!(transaction.puts.len(), 60);
    committer.submit(99, write("job/99", 0, 99));
    assert_eq!(committer.due(1_000), None, "only one transaction may be in flight");
    let results = committer.on_reply(1_010, &Ok(StoreReply::Committed { version: 5 }));
    assert!(results.iter().all(|(_, result)| *result == CommitResult::Written { version: 5 }));
    assert_eq!((results.len(), committer.backlog()), (60, 1));
}

/// The response of a transaction is lost. One of its rows was written by it, and the
/// other one by another daemon. Each caller must get the result of its own write.
#[test]
fn lost_response_is_distinguished_from_conflict() {
    let mut committer = Committer::new(100, 100);
    committer.submit(1, write("job/a", 0, 11));
    committer.submit(2, write("job/b", 0, 12));
    let first = committer.due(1_000).expect("a transaction");
    assert!(committer.on_reply(1_100, &no_answer()).is_empty());
    let second = committer.due(10_000).expect("the same transaction");
    assert_eq!(first, second);
    let rows = vec![row("job/a", 7, 11), row("job/b", 8, 99)];
    let results = committer.on_reply(10_100, &Ok(StoreReply::Conflict { rows }));
    assert!(results.contains(&(1, CommitResult::Written { version: 7 })));
    assert!(matches!(results[1], (2, CommitResult::Conflict { .. })));
    assert_eq!(committer.stats().recovered, 1);
}

/// A conflict on one row must not fail the writes of other callers in the same
/// transaction.
#[test]
fn other_writes_of_a_conflicting_transaction_are_resubmitted() {
    let mut committer = Committer::new(100, 100);
    committer.submit(1, write("job/a", 0, 11));
    committer.submit(2, write("job/b", 0, 12));
    committer.due(1_000).expect("a transaction");
    let rows = vec![row("job/a", 3, 99)];
    let results = committer.on_reply(1_010, &Ok(StoreReply::Conflict { rows }));
    assert_eq!(results.len(), 1);
    let second = committer.due(1_020).expect("a transaction with the other write");
    assert_eq!(second.puts[0].key, "job/b");
}

/// The store is down. A write that was never sent is withdrawn when it expires, so that
/// its caller learns this while it is true. A write that may have taken effect must
/// never be withdrawn.
#[test]
fn only_writes_that_were_never_sent_are_withdrawn() {
    let mut committer = Committer::new(1, 100);
    for number in 1..=2 {
        let expiring =
            Write { expires_ms: Some(2_000), ..write(&format!("job/{number}"), 0, number) };
        committer.submit(number, expiring);
    }
    committer.due(1_000).expect("a transaction with the first write");
    committer.on_reply(1_500, &no_answer());
    assert_eq!(committer.take_expired(2_500), vec![(2, CommitResult::NotWritten)]);
    assert_eq!(committer.backlog(), 1, "the first write is retried until its result is known");
}

/// After an outage of an hour, all daemons have a large backlog. Sent without a rate
/// limit, it would overload the store again.
#[test]
fn backlog_after_an_outage_is_rate_limited() {
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
    assert!((20..=40).contains(&sent), "{sent} transactions in 3 s at 10 per second");
    assert!(!committer.is_failing());
}
