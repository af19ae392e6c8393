//! Makes submissions and cancellations durable, many in one transaction.
//!
//! One transaction of a shard is under way at a time; what arrives meanwhile
//! goes with the next. A write without an answer may have been done, or may be done
//! later, so its callers are told neither "accepted" nor "not run" before a
//! further try has shown which; its condition makes trying again harmless.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_pool::Accepted;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::PARTITIONS;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::health::StoreHealth;
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::Shard;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::Transaction;
use crate::outside::shard;

/// Most items of one transaction: the store takes 100 entries, and a
/// submission needs two, its row and the condition that there is none yet.
const BATCH_MAX: usize = 48;
/// Most bytes of one transaction, with room for its coding; the store takes 1 MB.
const BATCH_BYTES_MAX: usize = 600_000;
/// Requests that wait for a transaction of one shard at one time. Beyond it a
/// daemon is choked and says so at once.
const WAITING_MAX: usize = 400;
/// A refusal by the store is tried again after this ...
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// ... this many times, which outlasts the second in which a full part drains
/// only in part: callers are told to come back instead.
const REFUSED_TRIES: u32 = 4;
/// After a write without answer.
const DOUBT_PAUSE: Duration = Duration::from_millis(30);

/// What is to be made durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A job, with its row.
    Submit(JobId, Vec<u8>),
    /// A cancellation.
    Cancel(JobId),
}

#[derive(Debug)]
struct Waiting {
    item: Item,
    answer: oneshot::Sender<Accepted>,
    deadline: Instant,
    in_doubt: bool,
    refusals: u32,
}

/// Makes items durable.
#[derive(Clone, Debug)]
pub struct Acceptor {
    shards: Vec<mpsc::Sender<Waiting>>,
    health: Arc<StoreHealth>,
}

impl Acceptor {
    /// Starts the tasks that write, one for each shard.
    pub fn start(outside: Arc<impl Outside>, health: Arc<StoreHealth>) -> Self {
        let mut shards = Vec::with_capacity(PARTITIONS);
        for _ in 0..PARTITIONS {
            let (items, queue) = mpsc::channel(WAITING_MAX);
            tokio::spawn(write(Arc::clone(&outside), Arc::clone(&health), queue));
            shards.push(items);
        }
        Self { shards, health }
    }

    /// Makes one item durable, or tells that it could not be.
    pub async fn accept(&self, item: Item, deadline: Instant) -> Accepted {
        if self.health.is_down() {
            return Accepted::No;
        }
        let (answer, answered) = oneshot::channel();
        let waiting = Waiting { item, answer, deadline, in_doubt: false, refusals: 0 };
        let items = match shard(Table::Jobs, &waiting.item.job().to_string()) {
            Shard::Jobs(number) => self.shards.get(number),
            Shard::Control => None,
        };
        if items.is_none_or(|items| items.try_send(waiting).is_err()) {
            return Accepted::No;
        }
        match timeout_at(deadline, answered).await {
            Ok(answer) => answer.unwrap_or(Accepted::Unknown),
            Err(_) => Accepted::Unknown,
        }
    }
}

async fn write(
    outside: Arc<impl Outside>,
    health: Arc<StoreHealth>,
    mut queue: mpsc::Receiver<Waiting>,
) {
    let mut batch: Vec<Waiting> = Vec::new();
    loop {
        if batch.is_empty() {
            let Some(first) = queue.recv().await else { return };
            batch.push(first);
        }
        fill(&mut batch, &mut queue, &health);
        expire(&mut batch);
        if batch.is_empty() {
            continue;
        }
        let write = transaction(&batch);
        let write_timeout = health.write_timeout();
        let answered = async {
            let answered = timeout(write_timeout, outside.transact(&write)).await;
            answered.unwrap_or(Err(StoreError::NoAnswer))
        };
        match health.write(answered).await {
            Ok(_) => {
                for done in batch.drain(..) {
                    settle(done, Accepted::Yes);
                }
            }
            Err(StoreError::Conflict(rows)) => {
                // Those jobs are durable already; the others go again.
                let exists = |waiting: &Waiting| match waiting.item {
                    Item::Submit(id, _) => rows.iter().any(|(table, row)| {
                        *table == Table::Jobs && row.version > 0 && row.key == id.to_string()
                    }),
                    Item::Cancel(_) => false,
                };
                let (there, rest): (Vec<Waiting>, Vec<Waiting>) = batch.drain(..).partition(exists);
                batch = rest;
                for done in there {
                    let answer = match &done.item {
                        Item::Submit(job, row) => joined(*job, row, &rows),
                        Item::Cancel(_) => Accepted::Yes,
                    };
                    settle(done, answer);
                }
            }
            Err(StoreError::NoAnswer) => {
                give_up_doubtful(&mut batch);
                tracing::warn!(
                    items = batch.len(),
                    "store did not answer a write, it is tried again"
                );
                tokio::time::sleep(DOUBT_PAUSE).await;
            }
            Err(StoreError::Refused | StoreError::HistoryLost) => {
                refuse(&mut batch);
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        }
    }
}

/// What becomes of a job that is there already: the same one, unless it is another
/// customer's.
pub(crate) fn joined(job: JobId, mine: &[u8], rows: &[(Table, Row)]) -> Accepted {
    let key = job.to_string();
    let there = rows.iter().find(|(table, row)| *table == Table::Jobs && row.key == key);
    let Some(theirs) = there.and_then(|(_, row)| row.value.as_ref()) else { return Accepted::Yes };
    if customer_of(theirs) == customer_of(mine) { Accepted::Yes } else { Accepted::Taken }
}

fn customer_of(row: &[u8]) -> Option<CustomerName> {
    #[derive(Deserialize)]
    struct Owned {
        #[serde(default)]
        customer: Option<CustomerLimits>,
    }
    serde_json::from_slice::<Owned>(row).ok()?.customer.map(|customer| customer.name)
}

/// Adds what waits. While the store does not answer, what was not sent yet is
/// refused at once: its caller can go to a daemon that still reaches the store.
fn fill(batch: &mut Vec<Waiting>, queue: &mut mpsc::Receiver<Waiting>, health: &StoreHealth) {
    let mut bytes: usize = batch.iter().map(|waiting| waiting.item.bytes()).sum();
    while batch.len() < BATCH_MAX && bytes < BATCH_BYTES_MAX {
        let Ok(next) = queue.try_recv() else { return };
        if health.is_down() {
            settle(next, Accepted::No);
            continue;
        }
        bytes += next.item.bytes();
        batch.push(next);
    }
}

/// One entry for each job, also where it was submitted twice at the same time.
fn transaction(batch: &[Waiting]) -> Transaction {
    let mut transaction = Transaction::default();
    let mut seen = std::collections::BTreeSet::new();
    for waiting in batch {
        match &waiting.item {
            Item::Submit(id, row) => {
                if !seen.insert((true, *id)) {
                    continue;
                }
                transaction.expect.push((Table::Jobs, id.to_string(), 0));
                transaction.put.push((Table::Jobs, id.to_string(), row.clone()));
            }
            Item::Cancel(id) => {
                if seen.insert((false, *id)) {
                    transaction.put.push((Table::Cancels, id.to_string(), Vec::new()));
                }
            }
        }
    }
    transaction
}

fn expire(batch: &mut Vec<Waiting>) {
    let now = Instant::now();
    let (late, rest): (Vec<Waiting>, Vec<Waiting>) =
        batch.drain(..).partition(|waiting| waiting.deadline <= now);
    *batch = rest;
    for waiting in late {
        let answer = if waiting.in_doubt { Accepted::Unknown } else { Accepted::No };
        settle(waiting, answer);
    }
}

/// A write that brought no answer twice is given up: its callers are told that
/// nobody knows, while they still have time to ask again elsewhere.
fn give_up_doubtful(batch: &mut Vec<Waiting>) {
    let (again, first): (Vec<Waiting>, Vec<Waiting>) =
        batch.drain(..).partition(|waiting| waiting.in_doubt);
    *batch = first;
    for waiting in batch.iter_mut() {
        waiting.in_doubt = true;
    }
    for waiting in again {
        settle(waiting, Accepted::Unknown);
    }
}

fn refuse(batch: &mut Vec<Waiting>) {
    for waiting in batch.iter_mut() {
        waiting.refusals += 1;
    }
    let over = |waiting: &Waiting| !waiting.in_doubt && waiting.refusals >= REFUSED_TRIES;
    let (refused, rest): (Vec<Waiting>, Vec<Waiting>) = batch.drain(..).partition(over);
    *batch = rest;
    for waiting in refused {
        settle(waiting, Accepted::No);
    }
}

fn settle(waiting: Waiting, answer: Accepted) {
    if waiting.answer.send(answer).is_err() {
        tracing::debug!(item = ?waiting.item.job(), "the caller left before the store answered");
    }
}

impl Item {
    fn bytes(&self) -> usize {
        match self {
            Self::Submit(_, row) => row.len(),
            Self::Cancel(_) => 0,
        }
    }

    fn job(&self) -> JobId {
        match self {
            Self::Submit(id, _) | Self::Cancel(id) => *id,
        }
    }
}
