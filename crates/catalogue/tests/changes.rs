//! Tests of changes under races, lost responses and stale peers.

use stoatwell_catalogue::Catalogue;
use stoatwell_catalogue::CatalogueUpdate;
use stoatwell_catalogue::CatalogueWatcher;
use stoatwell_catalogue::Change;
use stoatwell_catalogue::Item;
use stoatwell_catalogue::edit::Edit;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::edit::EditRequest;
use stoatwell_catalogue::edit::EditStep;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::OwnerName;
use stoatwell_model::Target;
use stoatwell_model::TargetState;
use stoatwell_model::WorkerId;
use stoatwell_model::target::TargetChange;
use stoatwell_platform::CallError;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::Transaction;

/// In-memory table that handles one call at a time.
#[derive(Default)]
struct Table {
    rows: std::collections::BTreeMap<String, (u64, String)>,
    version: u64,
}

impl Table {
    fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { keys } => {
                StoreReply::Rows { rows: keys.iter().map(|key| self.row(key)).collect() }
            }
            StoreCall::Scan { prefix, after, .. } => {
                let keys: Vec<String> = self.rows.keys().cloned().collect();
                let wanted = keys.iter().filter(|key| key.starts_with(prefix) && *key > after);
                StoreReply::Rows { rows: wanted.map(|key| self.row(key)).collect() }
            }
            StoreCall::Transact(transaction) => self.transact(transaction),
            other => panic!("unexpected call of the catalogue: {other:?}"),
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> StoreReply {
        for check in &transaction.checks {
            let row = self.row(&check.key);
            if row.version != check.version {
                return StoreReply::Conflict { rows: vec![row] };
            }
        }
        self.version += 1;
        for put in &transaction.puts {
            self.rows.insert(put.key.clone(), (self.version, put.value.clone()));
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        StoreReply::Committed { version: self.version }
    }

    fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        Row { key: key.to_owned(), version, value }
    }
}

fn target_request(change: TargetChange, expected: Option<u64>, write_id: u64) -> EditRequest {
    EditRequest {
        key: "target/w1".to_owned(),
        edit: EditKind::Target(WorkerId::new("w1"), change),
        expected,
        by: "test".to_owned(),
        at_ms: 0,
        write_id,
    }
}

fn run(table: &mut Table, request: EditRequest) -> Result<Change, Failure> {
    let (mut edit, mut call) = Edit::start(request);
    loop {
        match edit.on_reply(Ok(table.call(&call))) {
            EditStep::Call(next) => call = next,
            EditStep::Done(result) => return result,
        }
    }
}

fn start(owner: &str) -> TargetChange {
    TargetChange::Start { owner: OwnerName::new(owner) }
}

/// Operators of two owners change the same target at the same time, each based on the
/// revision that they read. One change must succeed. The other must fail with the code
/// for a revision conflict.
#[test]
fn only_one_of_two_concurrent_changes_succeeds() {
    let mut table = Table::default();
    let created =
        run(&mut table, target_request(start("nyaysetu"), Some(0), 1)).expect("a new target");
    let (mut first, first_read) =
        Edit::start(target_request(start("bluebonnet"), Some(created.revision), 2));
    let (mut second, second_read) =
        Edit::start(target_request(TargetChange::Retire, Some(created.revision), 3));
    let EditStep::Call(first_commit) = first.on_reply(Ok(table.call(&first_read))) else {
        panic!("expected a commit")
    };
    let EditStep::Call(second_commit) = second.on_reply(Ok(table.call(&second_read))) else {
        panic!("expected a commit")
    };
    let EditStep::Done(accepted) = first.on_reply(Ok(table.call(&first_commit))) else {
        panic!("expected the result")
    };
    assert_eq!(accepted.expect("the first commit").revision, 2);
    let EditStep::Call(reread) = second.on_reply(Ok(table.call(&second_commit))) else {
        panic!("expected another read")
    };
    let EditStep::Done(refused) = second.on_reply(Ok(table.call(&reread))) else {
        panic!("expected the result")
    };
    let failure = refused.expect_err("the revision has changed");
    assert_eq!(failure.code, Code::RevisionConflict);
    assert!(
        failure.message.contains("revision 2") && failure.message.contains("not 1"),
        "{failure}"
    );
}

/// The store commits the change and its response is lost. If the operator got a failure,
/// they would make the change a second time.
#[test]
fn lost_response_is_resolved_by_a_read() {
    let mut table = Table::default();
    let (mut edit, call) = Edit::start(target_request(start("nyaysetu"), None, 7));
    let EditStep::Call(commit) = edit.on_reply(Ok(table.call(&call))) else {
        panic!("expected a commit")
    };
    table.call(&commit);
    let EditStep::Call(read) = edit.on_reply(Err(CallError::NoAnswer("lost".to_owned()))) else {
        panic!("expected a read")
    };
    let EditStep::Done(result) = edit.on_reply(Ok(table.call(&read))) else {
        panic!("expected the result")
    };
    assert_eq!(result.expect("an accepted change").revision, 1);
}

/// The commit never reached the store, which the read shows. The change is made again
/// and must take effect once.
#[test]
fn unanswered_commit_without_effect_is_repeated() {
    let mut table = Table::default();
    let (mut edit, call) = Edit::start(target_request(start("nyaysetu"), None, 7));
    let EditStep::Call(_) = edit.on_reply(Ok(table.call(&call))) else {
        panic!("expected a commit")
    };
    let EditStep::Call(read) = edit.on_reply(Err(CallError::NoAnswer("cut".to_owned()))) else {
        panic!("expected a read")
    };
    let EditStep::Call(call) = edit.on_reply(Ok(table.call(&read))) else {
        panic!("expected another read")
    };
    let EditStep::Call(commit) = edit.on_reply(Ok(table.call(&call))) else {
        panic!("expected a commit")
    };
    let EditStep::Done(result) = edit.on_reply(Ok(table.call(&commit))) else {
        panic!("expected the result")
    };
    assert_eq!(result.expect("an accepted change").revision, 1);
}

/// A daemon that was partitioned for a long time sends its old catalogue to a daemon with
/// a newer one. Applying it would revert an accepted change.
#[test]
fn stale_peer_never_reverts_the_catalogue() {
    let mut table = Table::default();
    let mut ahead = Catalogue::default();
    ahead.apply(run(&mut table, target_request(start("nyaysetu"), None, 1)).expect("accepted"));
    let outdated = ahead.snapshot();
    ahead.apply(run(&mut table, target_request(TargetChange::Drain, None, 2)).expect("accepted"));
    assert!(!ahead.merge(CatalogueUpdate::Snapshot(outdated)));
    assert!(!ahead.merge(ahead.updates_since(2)));
    let state = ahead.target(&WorkerId::new("w1")).map(|target| target.state);
    assert_eq!((ahead.revision(), state), (2, Some(TargetState::Draining)));
}

/// A new daemon reads the items while a change is made. Its catalogue must then be that
/// of one revision and not a mixture of two.
#[test]
fn new_daemon_reads_all_items_and_then_the_changes() {
    let mut table = Table::default();
    for (write_id, change) in [start("nyaysetu"), TargetChange::Drain].into_iter().enumerate() {
        run(&mut table, target_request(change, None, write_id as u64)).expect("accepted");
    }
    let mut catalogue = Catalogue::default();
    let mut watcher = CatalogueWatcher::new(1_000);
    let mut call = watcher.due(0);
    let mut calls = 0;
    while let Some(next) = call {
        calls += 1;
        if calls == 2 {
            run(&mut table, target_request(start("bluebonnet"), None, 9)).expect("accepted");
        }
        let StoreReply::Rows { rows } = table.call(&next) else { panic!("expected rows") };
        call = watcher.on_rows(0, &mut catalogue, Some(rows));
    }
    assert_eq!(catalogue.revision(), 3);
    let target = catalogue.target(&WorkerId::new("w1")).expect("the target");
    assert_eq!(target.next_owner, Some(OwnerName::new("bluebonnet")));
    assert_eq!(watcher.due(500), None, "the next poll is not due yet");
}

/// A target passes from one owner to another. In no state may both owners start work on
/// it, and the epoch distinguishes the states.
#[test]
fn target_passes_to_another_owner_step_by_step() {
    let worker = WorkerId::new("w1");
    let (old, new) = (OwnerName::new("nyaysetu"), OwnerName::new("bluebonnet"));
    let serving = Target::transition(None, &worker, &start("nyaysetu")).expect("a new target");
    assert!(serving.serves(&old) && !serving.serves(&new));
    let draining = Target::transition(Some(&serving), &worker, &start("bluebonnet"))
        .expect("a draining target");
    assert!(!draining.serves(&old) && !draining.serves(&new));
    let handed_over = Target::transition(Some(&draining), &worker, &TargetChange::Emptied)
        .expect("a target of the new owner");
    assert!(handed_over.serves(&new) && !handed_over.serves(&old));
    assert_eq!([serving.epoch, draining.epoch, handed_over.epoch], [1, 2, 3]);
    assert_eq!(Target::transition(Some(&serving), &worker, &TargetChange::Emptied), None);
    assert_eq!(Target::transition(None, &worker, &TargetChange::Drain), None);
    let reverted = Target::transition(Some(&draining), &worker, &start("nyaysetu"))
        .expect("a target of the old owner");
    assert!(reverted.serves(&old), "the old owner can cancel the hand-over while it drains");
    assert!(matches!(Item::Target(reverted), Item::Target(_)));
}
