//! Makes one change of the catalogue in the platform's table.
//!
//! A change is one transaction that checks the version of the head row, so that two
//! concurrent changes cannot both succeed. The steps are read, decide and commit; after a
//! conflict, the change starts again from the read. A response can be lost after the
//! write took effect. In this case the row of the change contains our write id, and a
//! read of that row shows it.

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

/// Number of attempts after which the change fails.
const ATTEMPTS_MAX: u32 = 12;

/// Requested change of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRequest {
    /// Key of the item.
    pub key: String,
    /// Operation on the item.
    pub edit: EditKind,
    /// Revision that the item must have; 0 means that it must not exist, `None` means any.
    pub expected: Option<u64>,
    /// Who requests the change.
    pub by: String,
    /// Time of the request.
    pub at_ms: UnixMs,
    /// Unique identifier of the write.
    pub write_id: u64,
}

/// Operation on an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditKind {
    /// Create or replace the item.
    Put(Item),
    /// Remove the item.
    Delete,
    /// Apply a change to the target of a worker.
    Target(WorkerId, TargetChange),
}

/// State machine of a change in progress.
#[derive(Clone, Debug)]
pub struct Edit {
    request: EditRequest,
    attempts: u32,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Reading,
    Committing(Change),
    // The response to the commit was lost; the row of the change is being read.
    Confirming(Change),
}

/// Next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Send this call to the store and pass the response to [`Edit::on_reply`].
    Call(StoreCall),
    /// The change was accepted, or it failed finally.
    Done(Result<Change, Failure>),
}

impl Edit {
    /// Starts a change and returns its first call.
    pub fn start(request: EditRequest) -> (Self, StoreCall) {
        let call = read_item_call(&request.key);
        (Self { request, attempts: 0, phase: Phase::Reading }, call)
    }

    /// Handles the response to the last call.
    pub fn on_reply(&mut self, reply: Result<StoreReply, CallError>) -> EditStep {
        match (self.phase.clone(), reply) {
            (Phase::Reading, Ok(StoreReply::Rows { rows })) => self.decide(&rows),
            (Phase::Committing(change), Ok(StoreReply::Committed { .. })) => {
                EditStep::Done(Ok(change))
            }
            (Phase::Committing(_), Ok(StoreReply::Conflict { .. })) => self.restart(),
            (
                Phase::Committing(change) | Phase::Confirming(change),
                Err(CallError::NoAnswer(_)),
            ) => self.confirm(change),
            (Phase::Confirming(change), Ok(StoreReply::Rows { rows })) => {
                let written = rows.first().and_then(|row| serde_json::from_str(&row.value).ok());
                match written {
                    Some(found) if change == found => EditStep::Done(Ok(change)),
                    _ => self.restart(),
                }
            }
            // The write may have taken effect, and there is no way to find out now.
            (Phase::Confirming(_), Err(error)) => {
                EditStep::Done(Err(Failure::with_detail(Code::AcceptanceUnknown, error)))
            }
            (_, Err(error)) => EditStep::Done(Err(store_unavailable(error))),
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
        let current_revision = current.as_ref().map_or(0, |versioned| versioned.revision);
        if let Some(expected) = self.request.expected
            && expected != current_revision
        {
            let detail =
                format!("{} is at revision {current_revision}, not {expected}", self.request.key);
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

    /// Starts again from the read, unless all attempts are used up.
    fn restart(&mut self) -> EditStep {
        self.attempts += 1;
        if self.attempts >= ATTEMPTS_MAX {
            let detail = "too many changes at once; nothing was changed";
            return EditStep::Done(Err(
                Failure::with_detail(Code::Overloaded, detail).retry_after(1_000)
            ));
        }
        self.phase = Phase::Reading;
        EditStep::Call(read_item_call(&self.request.key))
    }

    /// Reads the row of the change to find out whether the commit took effect.
    fn confirm(&mut self, change: Change) -> EditStep {
        self.attempts += 1;
        if self.attempts >= ATTEMPTS_MAX {
            return EditStep::Done(Err(Failure::new(Code::AcceptanceUnknown)));
        }
        let call = StoreCall::Read { keys: vec![rows::change_key(change.revision)] };
        self.phase = Phase::Confirming(change);
        EditStep::Call(call)
    }
}

fn read_item_call(key: &str) -> StoreCall {
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

fn store_unavailable(error: CallError) -> Failure {
    Failure::with_detail(Code::StoreUnavailable, error).retry_after(1_000)
}
