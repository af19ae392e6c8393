//! One change of the catalogue, made in the platform's table.
//!
//! A change is one transaction that checks the head's version, so two
//! operators never both win. Read, decide, commit; a conflict reads again. An
//! answer can be lost after the write took effect; the change row then carries
//! our write id, and reading it tells.

use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::Target;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::target::TargetChange;
use stoatwell_platform::CallError;
use stoatwell_platform::Check;
use stoatwell_platform::Put;
use stoatwell_platform::Row;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;
use stoatwell_platform::Transaction;

use crate::Change;
use crate::Item;
use crate::Versioned;
use crate::rows;

/// Tries before an operator is told to come back.
const TRIES_MAX: u32 = 12;

/// What somebody wants changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRequest {
    /// The item's key.
    pub key: String,
    /// What becomes of it.
    pub edit: EditKind,
    /// The revision it must have; 0 means it must be new, `None` takes any.
    pub expected: Option<u64>,
    /// Who asks.
    pub by: String,
    /// When.
    pub at_ms: UnixMs,
    /// A number nobody else uses.
    pub write_id: u64,
}

/// What becomes of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditKind {
    /// It is written.
    Put(Item),
    /// It is removed.
    Delete,
    /// The target makes this step.
    Target(WorkerId, TargetChange),
}

/// A change on its way.
#[derive(Clone, Debug)]
pub struct Edit {
    request: EditRequest,
    tries: u32,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Reading,
    Committing(Change),
    // The commit's answer was lost; the change row is being read.
    Confirming(Change),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Ask the store this and hand over the answer.
    Call(StoreCall),
    /// The change is accepted, or refused for good.
    Done(Result<Change, Failure>),
}

impl Edit {
    /// Starts a change; the call is its first.
    pub fn start(request: EditRequest) -> (Self, StoreCall) {
        let call = read(&request.key);
        (Self { request, tries: 0, phase: Phase::Reading }, call)
    }

    /// Takes the answer to the last call.
    pub fn on_reply(&mut self, reply: Result<StoreReply, CallError>) -> EditStep {
        match (self.phase.clone(), reply) {
            (Phase::Reading, Ok(StoreReply::Rows { rows })) => self.decide(&rows),
            (Phase::Committing(change), Ok(StoreReply::Committed { .. })) => {
                EditStep::Done(Ok(change))
            }
            (Phase::Committing(_), Ok(StoreReply::Conflict { .. })) => self.again(),
            (
                Phase::Committing(change) | Phase::Confirming(change),
                Err(CallError::NoAnswer(_)),
            ) => self.confirm(change),
            (Phase::Confirming(change), Ok(StoreReply::Rows { rows })) => {
                let written = rows.first().and_then(|row| serde_json::from_str(&row.value).ok());
                match written {
                    Some(found) if change == found => EditStep::Done(Ok(change)),
                    _ => self.again(),
                }
            }
            // The write may have taken effect, and nobody can tell now.
            (Phase::Confirming(_), Err(error)) => {
                EditStep::Done(Err(Failure::with_detail(Code::AcceptanceUnknown, error)))
            }
            (_, Err(error)) => EditStep::Done(Err(unavailable(error))),
            (_, Ok(other)) => EditStep::Done(Err(Failure::with_detail(
                Code::Internal,
                format!("unexpected answer of the store: {other:?}"),
            ))),
        }
    }

    fn decide(&mut self, rows: &[Row]) -> EditStep {
        let [head, item] = rows else {
            return EditStep::Done(Err(Failure::with_detail(Code::Internal, "two rows expected")));
        };
        let current: Option<Versioned> = serde_json::from_str(&item.value).ok();
        let found = current.as_ref().map_or(0, |versioned| versioned.revision);
        if let Some(expected) = self.request.expected
            && expected != found
        {
            let detail = format!("{} is at revision {found}, not {expected}", self.request.key);
            return EditStep::Done(Err(Failure::with_detail(Code::RevisionConflict, detail)));
        }
        let item = match self.next_item(current.as_ref()) {
            Ok(item) => item,
            Err(failure) => return EditStep::Done(Err(failure)),
        };
        let change = Change {
            revision: rows::head_revision(head) + 1,
            key: self.request.key.clone(),
            item,
            by: self.request.by.clone(),
            at_ms: self.request.at_ms,
            write_id: self.request.write_id,
        };
        let call = StoreCall::Transact(transaction(&change, head.version));
        self.phase = Phase::Committing(change);
        EditStep::Call(call)
    }

    fn next_item(&self, current: Option<&Versioned>) -> Result<Option<Item>, Failure> {
        match &self.request.edit {
            EditKind::Put(item) => Ok(Some(item.clone())),
            EditKind::Delete => match current {
                Some(_) => Ok(None),
                None => Err(Failure::with_detail(Code::NoSuchEntry, &self.request.key)),
            },
            EditKind::Target(worker, change) => {
                let target = match current.map(|versioned| &versioned.item) {
                    Some(Item::Target(target)) => Some(target),
                    _ => None,
                };
                if target.is_none() && !matches!(change, TargetChange::Start { .. }) {
                    return Err(Failure::with_detail(Code::NoSuchTarget, worker));
                }
                let next = Target::transition(target, worker, change);
                let next = next.ok_or_else(|| Failure::with_detail(Code::BadTransition, worker))?;
                Ok(Some(Item::Target(next)))
            }
        }
    }

    fn again(&mut self) -> EditStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            let detail = "too many changes at once; nothing was changed";
            return EditStep::Done(Err(
                Failure::with_detail(Code::Overloaded, detail).retry_after(1_000)
            ));
        }
        self.phase = Phase::Reading;
        EditStep::Call(read(&self.request.key))
    }

    fn confirm(&mut self, change: Change) -> EditStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return EditStep::Done(Err(Failure::new(Code::AcceptanceUnknown)));
        }
        let call = StoreCall::Read { keys: vec![rows::change_key(change.revision)] };
        self.phase = Phase::Confirming(change);
        EditStep::Call(call)
    }
}

fn read(key: &str) -> StoreCall {
    StoreCall::Read { keys: vec![rows::HEAD.to_owned(), rows::item_key(key)] }
}

fn transaction(change: &Change, head_version: u64) -> Transaction {
    let head = rows::Head { revision: change.revision };
    let mut transaction = Transaction {
        checks: vec![Check { key: rows::HEAD.to_owned(), version: head_version }],
        puts: vec![
            put(rows::HEAD.to_owned(), &head),
            put(rows::change_key(change.revision), change),
        ],
        deletes: Vec::new(),
    };
    match &change.item {
        Some(item) => {
            let versioned = Versioned { revision: change.revision, item: item.clone() };
            transaction.puts.push(put(rows::item_key(&change.key), &versioned));
        }
        None => transaction.deletes.push(rows::item_key(&change.key)),
    }
    transaction
}

fn put(key: String, value: &impl serde::Serialize) -> Put {
    Put { key, value: serde_json::to_string(value).unwrap_or_default() }
}

fn unavailable(error: CallError) -> Failure {
    Failure::with_detail(Code::StoreUnavailable, error).retry_after(1_000)
}
