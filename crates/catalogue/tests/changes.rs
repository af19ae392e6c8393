//! Changes under races, lost answers and stale peers.

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

/// A table of one process, enough for single calls.
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
            other => panic!("the catalogue does not ask {other:?}"),
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

/// Operators of both halves change the same target at the same moment, each
/// from the revision they saw. One must win, and the other must learn by a
/// number that the target has changed under their hands.
#[test]
fn racing_operators_get_one_winner() {
    let mut table = Table::default();
    let first = run(&mut table, target_request(start("nyaysetu"), Some(0), 1)).expect("it is new");
    let (mut left, left_call) =
        Edit::start(target_request(start("bluebonnet"), Some(first.revision), 2));
    let (mut right, right_call) =
        Edit::start(target_request(TargetChange::Retire, Some(first.revision), 3));
    let EditStep::Call(left_commit) = left.on_reply(Ok(table.call(&left_call))) else {
        panic!("a commit")
    };
    let EditStep::Call(right_commit) = right.on_reply(Ok(table.call(&right_call))) else {
        panic!("a commit")
    };
    let EditStep::Done(won) = left.on_reply(Ok(table.call(&left_commit))) else {
        panic!("committed")
    };
    assert_eq!(won.expect("first come").revision, 2);
    let EditStep::Call(again) = right.on_reply(Ok(table.call(&right_commit))) else {
        panic!("it reads again")
    };
    let EditStep::Done(lost) = right.on_reply(Ok(table.call(&again))) else { panic!("it learns") };
    let failure = lost.expect_err("the revision has moved");
    assert_eq!(failure.code, Code::RevisionConflict);
    assert!(
        failure.message.contains("revision 2") && failure.message.contains("not 1"),
        "{failure}"
    );
}

/// The store takes the change and its answer is lost. An operator who is told
/// "failed" would make the change a second time.
#[test]
fn lost_answer_is_told_by_reading() {
    let mut table = Table::default();
    let (mut edit, call) = Edit::start(target_request(start("nyaysetu"), None, 7));
    let EditStep::Call(commit) = edit.on_reply(Ok(table.call(&call))) else { panic!("a commit") };
    table.call(&commit);
    let EditStep::Call(read) = edit.on_reply(Err(CallError::NoAnswer("lost".to_owned()))) else {
        panic!("it reads")
    };
    let EditStep::Done(result) = edit.on_reply(Ok(table.call(&read))) else { panic!("it knows") };
    assert_eq!(result.expect("it took effect").revision, 1);
}

/// The call never reached the store, and the read tells so: the change is made
/// again and counts once.
#[test]
fn unanswered_change_without_effect_is_made_again() {
    let mut table = Table::default();
    let (mut edit, call) = Edit::start(target_request(start("nyaysetu"), None, 7));
    let EditStep::Call(_) = edit.on_reply(Ok(table.call(&call))) else { panic!("a commit") };
    let EditStep::Call(read) = edit.on_reply(Err(CallError::NoAnswer("cut".to_owned()))) else {
        panic!("it reads")
    };
    let EditStep::Call(call) = edit.on_reply(Ok(table.call(&read))) else {
        panic!("it starts over")
    };
    let EditStep::Call(commit) = edit.on_reply(Ok(table.call(&call))) else { panic!("a commit") };
    let EditStep::Done(result) = edit.on_reply(Ok(table.call(&commit))) else {
        panic!("committed")
    };
    assert_eq!(result.expect("accepted").revision, 1);
}

/// A daemon that was cut off for long offers its old catalogue to one that is
/// ahead. Taken over, an accepted change would revert.
#[test]
fn stale_peers_never_turn_the_catalogue_back() {
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

/// A new daemon reads items while a change is being made; what it has in force
/// must be one revision and not a mixture.
#[test]
fn new_daemon_reads_the_whole_and_then_the_changes() {
    let mut table = Table::default();
    for (write_id, change) in [start("nyaysetu"), TargetChange::Drain].into_iter().enumerate() {
        run(&mut table, target_request(change, None, write_id as u64)).expect("accepted");
    }
    let mut catalogue = Catalogue::default();
    let mut follow = CatalogueWatcher::new(1_000);
    let mut call = follow.due(0);
    let mut calls = 0;
    while let Some(next) = call {
        calls += 1;
        if calls == 2 {
            run(&mut table, target_request(start("bluebonnet"), None, 9)).expect("accepted");
        }
        let StoreReply::Rows { rows } = table.call(&next) else { panic!("rows") };
        call = follow.on_rows(0, &mut catalogue, Some(rows));
    }
    assert_eq!(catalogue.revision(), 3);
    let target = catalogue.target(&WorkerId::new("w1")).expect("it is there");
    assert_eq!(target.next_owner, Some(OwnerName::new("bluebonnet")));
    assert_eq!(follow.due(500), None, "the next poll is not due yet");
}

/// A target changes hands: at every step exactly one owner may start work on
/// it, and the epoch tells the steps apart.
#[test]
fn target_changes_hands_step_by_step() {
    let worker = WorkerId::new("w1");
    let (old, new) = (OwnerName::new("nyaysetu"), OwnerName::new("bluebonnet"));
    let serving = Target::transition(None, &worker, &start("nyaysetu")).expect("new targets start");
    assert!(serving.serves(&old) && !serving.serves(&new));
    let draining =
        Target::transition(Some(&serving), &worker, &start("bluebonnet")).expect("it drains first");
    assert!(!draining.serves(&old) && !draining.serves(&new));
    let handed =
        Target::transition(Some(&draining), &worker, &TargetChange::Emptied).expect("it is empty");
    assert!(handed.serves(&new) && !handed.serves(&old));
    assert_eq!([serving.epoch, draining.epoch, handed.epoch], [1, 2, 3]);
    assert_eq!(Target::transition(Some(&serving), &worker, &TargetChange::Emptied), None);
    assert_eq!(Target::transition(None, &worker, &TargetChange::Drain), None);
    let kept = Target::transition(Some(&draining), &worker, &start("nyaysetu"))
        .expect("the old owner takes it back");
    assert!(kept.serves(&old), "a change of mind before it is empty needs no second hand-over");
    assert!(matches!(Item::Target(kept), Item::Target(_)));
}
