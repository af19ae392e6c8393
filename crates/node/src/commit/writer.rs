//! Writes the leader's batches, each part under its fence.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use stoatwell_pool::Accepted;
use stoatwell_pool::Event;
use stoatwell_pool::PartWrite;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::accept::joined;
use crate::commit::encode;
use crate::commit::fences::Fence;
use crate::commit::fences::read_fence;
use crate::health::StoreHealth;
use crate::inbox::InboxSender;
use crate::outside::Outside;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Table;
use crate::outside::Transaction;

/// After a write that the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A write that took longer is logged; the usual ones take 10 to 40 ms.
const SLOW: Duration = Duration::from_millis(100);
/// Submissions that the store turned away this often are given up: their callers still
/// have time to come back.
const REFUSALS_MAX: u32 = 4;
/// Tries without answer after which callers are told that nobody can tell.
const DOUBTS_MAX: u32 = 2;

/// Writes batches for one leader.
#[derive(Debug)]
pub(crate) struct Writer<O> {
    pub outside: Arc<O>,
    pub health: Arc<StoreHealth>,
    /// This leader's fence.
    pub fence: Fence,
    /// The versions of the fences.
    pub versions: Mutex<Vec<u64>>,
    /// The leader's inbox.
    pub messages: InboxSender,
}

/// What a try to write came to.
enum Tried {
    Done,
    /// The rows that stood in the way were dealt with.
    Again,
    Refused,
    InDoubt,
    Deposed,
}

impl<O: Outside> Writer<O> {
    /// Writes a batch: at first as one transaction, and each part by itself if that fails.
    pub async fn write(self: Arc<Self>, batch: u64, mut writes: Vec<PartWrite>) {
        loop {
            match self.try_write(&mut writes, false).await {
                Tried::Done => {
                    for write in &writes {
                        self.committed(batch, write.part);
                    }
                    return;
                }
                Tried::Again => {}
                Tried::Deposed => return self.deposed(),
                failed @ (Tried::Refused | Tried::InDoubt) => {
                    let in_doubt = matches!(failed, Tried::InDoubt);
                    let mut parts = JoinSet::new();
                    for write in writes {
                        parts.spawn(Arc::clone(&self).persist(batch, write, in_doubt));
                    }
                    while parts.join_next().await.is_some() {}
                    return;
                }
            }
        }
    }

    /// Writes one part until that is done.
    ///
    /// After a write without answer the fence is rewritten with the next try. If the lost
    /// one were carried out seconds later it would put old progress over new; the fence's
    /// new version keeps it from that.
    async fn persist(self: Arc<Self>, batch: u64, write: PartWrite, mut in_doubt: bool) {
        let part = write.part;
        let mut writes = vec![write];
        let mut refusals = 0;
        let mut doubts = u32::from(in_doubt);
        loop {
            sleep(RETRY_PAUSE).await;
            match self.try_write(&mut writes, in_doubt).await {
                Tried::Done => return self.committed(batch, part),
                Tried::Again => {}
                Tried::Deposed => return self.deposed(),
                Tried::InDoubt => {
                    in_doubt = true;
                    doubts += 1;
                    if doubts == DOUBTS_MAX {
                        self.tell_doubtful(&writes);
                    }
                }
                Tried::Refused => {
                    refusals += 1;
                    if refusals >= REFUSALS_MAX && !in_doubt {
                        self.reject_all(&mut writes);
                    }
                }
            }
        }
    }

    async fn try_write(&self, writes: &mut [PartWrite], rewrites: bool) -> Tried {
        let transaction = self.transaction(writes, rewrites);
        let sent = Instant::now();
        let answered = async {
            let limit = self.health.write_timeout();
            let answered = timeout(limit, self.outside.transact(&transaction)).await;
            answered.unwrap_or(Err(StoreError::NoAnswer))
        };
        match self.health.write(answered).await {
            Ok(version) => {
                let took = sent.elapsed();
                metrics::histogram!("stoatwell_commit_ms").record(took.as_millis() as f64);
                if took > SLOW {
                    let (took_ms, rows) = (took.as_millis() as u64, transaction.put.len());
                    tracing::info!(took_ms, rows, parts = writes.len(), "slow write of the leader");
                }
                if rewrites {
                    self.note_fences(writes, version);
                }
                Tried::Done
            }
            Err(StoreError::Conflict(rows)) => self.resolve(writes, &rows),
            Err(error) => {
                let part = writes.first().map(|write| write.part);
                tracing::warn!(%error, part, parts = writes.len(), "the leader's write has to be tried again");
                if error == StoreError::NoAnswer { Tried::InDoubt } else { Tried::Refused }
            }
        }
    }

    /// Deals with rows that were not as expected: fences that this leader rewrote itself
    /// with a write whose answer was lost, and jobs that are there already.
    fn resolve(&self, writes: &mut [PartWrite], rows: &[(Table, Row)]) -> Tried {
        for (table, row) in rows {
            if *table == Table::Fences {
                let Some((fence, version)) = read_fence(row) else { return Tried::Deposed };
                if !fence.is_of(&self.fence) {
                    tracing::warn!(
                        part = row.key,
                        holder = fence.holder,
                        epoch = fence.epoch,
                        "another daemon leads now"
                    );
                    return Tried::Deposed;
                }
                let Ok(part) = row.key.parse::<usize>() else { return Tried::Deposed };
                if let Some(known) = self.versions().get_mut(part) {
                    *known = version;
                }
            }
        }
        for write in writes {
            write.puts.retain_mut(|put| {
                let Some(spec) = &put.submission else { return true };
                let key = put.job.to_string();
                let there = rows.iter().find(|(table, row)| {
                    *table == Table::Jobs && row.key == key && row.version > 0
                });
                if there.is_none() {
                    return true;
                }
                let accepted = joined(put.job, &encode(spec.as_ref()), rows);
                put.submission = None;
                if accepted != Accepted::Yes {
                    self.messages.notify(Event::Rejected { job: put.job, accepted });
                }
                accepted == Accepted::Yes
            });
        }
        Tried::Again
    }

    /// Lets callers know that nobody can tell yet, while they have time to ask again.
    fn tell_doubtful(&self, writes: &[PartWrite]) {
        let puts = writes.iter().flat_map(|write| &write.puts);
        for put in puts.filter(|put| put.submission.is_some()) {
            self.messages.notify(Event::InDoubt { job: put.job });
        }
    }

    /// Gives up submissions; nothing of them is or will be in the store.
    fn reject_all(&self, writes: &mut [PartWrite]) {
        for write in writes {
            write.puts.retain(|put| {
                if put.submission.is_some() {
                    let accepted = Accepted::No;
                    self.messages.notify(Event::Rejected { job: put.job, accepted });
                }
                put.submission.is_none()
            });
        }
    }

    fn transaction(&self, writes: &[PartWrite], rewrites: bool) -> Transaction {
        let mut transaction = Transaction::default();
        let versions = self.versions();
        for write in writes {
            let fence_key = write.part.to_string();
            let version = versions.get(write.part).copied().unwrap_or(0);
            transaction.expect.push((Table::Fences, fence_key.clone(), version));
            if rewrites {
                // A version of its own, so that it differs from what a lost write left.
                let fence = Fence { beat: version, ..self.fence.clone() };
                transaction.put.push((Table::Fences, fence_key, encode(&fence)));
            }
            for put in &write.puts {
                let key = put.job.to_string();
                if let Some(spec) = &put.submission {
                    transaction.expect.push((Table::Jobs, key.clone(), 0));
                    transaction.put.push((Table::Jobs, key.clone(), encode(spec.as_ref())));
                }
                if let Some(progress) = &put.progress {
                    transaction.put.push((Table::Progress, key, encode(progress)));
                }
            }
            for job in &write.removes {
                for table in [Table::Jobs, Table::Progress, Table::Cancels] {
                    transaction.remove.push((table, job.to_string()));
                }
            }
        }
        transaction
    }

    fn note_fences(&self, writes: &[PartWrite], version: u64) {
        let mut versions = self.versions();
        for write in writes {
            if let Some(known) = versions.get_mut(write.part) {
                *known = version;
            }
        }
    }

    fn versions(&self) -> std::sync::MutexGuard<'_, Vec<u64>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn committed(&self, batch: u64, part: usize) {
        self.messages.notify(Event::Committed { batch, part });
    }

    fn deposed(&self) {
        self.messages.depose();
    }
}
