//! A store in memory that can fail as the platform's does. It has no workers.

#![allow(dead_code, reason = "each test file uses a part of the fake")]

pub mod daemon;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_node::Confirmation;
use stoatwell_node::Manifest;
use stoatwell_node::Platform;
use stoatwell_node::Row;
use stoatwell_node::Rows;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_node::WorkerChanges;
use stoatwell_pool::CallError;
use stoatwell_pool::EndedRun;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PaceCall;
use stoatwell_pool::RunOutcome;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;
use stoatwell_pool::WorkerUpdate;
use tokio::sync::watch;

/// How the store treats writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It does and answers them.
    #[default]
    Well,
    /// It refuses them.
    Refuses,
    /// It never answers and does nothing.
    Silent,
    /// It does the next one without an answer, then is well.
    LosesOneAnswer,
    /// It refuses readings too.
    TurnsAway,
}

/// The store, as one daemon meets it, with at most one worker.
#[derive(Debug, Default)]
pub struct Fake {
    mood: Mutex<Mood>,
    state: Arc<Mutex<State>>,
    worker: Option<FakeWorker>,
}

/// A worker that answers all first starts at one moment, with "not started", and
/// does whatever is started after that at once.
#[derive(Debug, Default)]
struct FakeWorker {
    answers: watch::Sender<bool>,
    started: Mutex<Vec<(TaskId, u32)>>,
    first_starts: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    writes: usize,
    advice_hangs: bool,
    manifest: Option<Manifest>,
    remembered: Rows,
    /// How many readings of a table are answered with what is remembered.
    old_readings: Option<(usize, Table)>,
}

impl Fake {
    /// The same store, as another daemon meets it.
    pub fn for_another(&self) -> Self {
        Self { mood: Mutex::default(), state: Arc::clone(&self.state), worker: None }
    }

    /// A store with a worker.
    pub fn with_worker() -> Self {
        Self { worker: Some(FakeWorker::default()), ..Self::default() }
    }

    /// First starts that wait for their answers.
    pub fn first_starts(&self) -> usize {
        self.worker.as_ref().map_or(0, |worker| worker.first_starts.load(Ordering::Relaxed))
    }

    /// Answers all first starts.
    pub fn answer_first_starts(&self) {
        if let Some(worker) = &self.worker {
            worker.answers.send_replace(true);
        }
    }

    /// Keeps the present rows for [`Self::answer_old_readings`].
    pub fn remember(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.remembered = Rows { rows: Vec::new(), version: state.version };
    }

    /// Answers the next readings of a table as it was, empty, when it was remembered.
    pub fn answer_old_readings(&self, count: usize, table: Table) {
        self.state.lock().expect("no panic").old_readings = Some((count, table));
    }

    /// Puts a newer manifest into force.
    pub fn write_manifest(&self, manifest: Manifest) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let row_version = state.version;
        state.manifest = Some(Manifest { row_version, ..manifest });
    }

    fn newest_manifest(&self) -> Option<Manifest> {
        self.state.lock().expect("no panic").manifest.clone()
    }

    /// Whether the advisor never answers.
    pub fn hang_advice(&self, hangs: bool) {
        self.state.lock().expect("no panic").advice_hangs = hangs;
    }

    fn old_reading(&self, table: Table) -> Option<Rows> {
        let mut state = self.state.lock().expect("no panic");
        let (count, of) = state.old_readings?;
        if count == 0 || of != table {
            return None;
        }
        state.old_readings = Some((count - 1, of));
        Some(state.remembered.clone())
    }

    pub fn set(&self, mood: Mood) {
        *self.mood.lock().expect("no panic") = mood;
    }

    pub fn rows(&self, table: Table) -> Vec<Row> {
        let state = self.state.lock().expect("no panic");
        let mine = state.rows.iter().filter(|((name, _), _)| *name == table.to_string());
        mine.map(|((_, key), (value, version))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        })
        .collect()
    }

    pub fn writes(&self) -> usize {
        self.state.lock().expect("no panic").writes
    }

    fn write(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let mut state = self.state.lock().expect("no panic");
        state.writes += 1;
        let mut conflicts = Vec::new();
        for (table, key, expected) in &transaction.expect {
            let there = state.rows.get(&(table.to_string(), key.clone()));
            let version = there.map_or(0, |(_, version)| *version);
            let value = there.map(|(value, _)| value.clone());
            if version != *expected {
                conflicts.push((*table, Row { key: key.clone(), value, version }));
            }
        }
        if !conflicts.is_empty() {
            return Err(StoreError::Conflict(conflicts));
        }
        state.version += 1;
        let version = state.version;
        for (table, key, value) in &transaction.put {
            state.rows.insert((table.to_string(), key.clone()), (value.clone(), version));
        }
        for (table, key) in &transaction.remove {
            state.rows.remove(&(table.to_string(), key.clone()));
        }
        Ok(version)
    }

    fn mood(&self) -> Mood {
        *self.mood.lock().expect("no panic")
    }

    /// What a reading comes to that is not answered with rows.
    fn reading_error(&self) -> Option<StoreError> {
        match self.mood() {
            Mood::Silent => Some(StoreError::NoAnswer),
            Mood::TurnsAway => Some(StoreError::Refused),
            Mood::Well | Mood::Refuses | Mood::LosesOneAnswer => None,
        }
    }

    fn version(&self) -> u64 {
        self.state.lock().expect("no panic").version
    }
}

impl Platform for Fake {
    async fn transact(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        match self.mood() {
            Mood::Well => self.write(transaction),
            Mood::Refuses | Mood::TurnsAway => Err(StoreError::Refused),
            Mood::Silent => std::future::pending().await,
            Mood::LosesOneAnswer => {
                self.set(Mood::Well);
                let done = self.write(transaction);
                assert!(done.is_ok(), "the lost write is done");
                Err(StoreError::NoAnswer)
            }
        }
    }

    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>, StoreError> {
        if let Some(error) = self.reading_error() {
            return Err(error);
        }
        Ok(self.rows(table).into_iter().find(|row| row.key == key))
    }

    async fn read_all(&self, table: Table) -> Result<Rows, StoreError> {
        if let Some(error) = self.reading_error() {
            return Err(error);
        }
        if let Some(old) = self.old_reading(table) {
            return Ok(old);
        }
        Ok(Rows { rows: self.rows(table), version: self.version() })
    }

    async fn poll_changes(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> Result<Rows, StoreError> {
        let rounds = wait_ms / 20 + 1;
        for _ in 0..rounds {
            if self.mood() == Mood::TurnsAway {
                return Err(StoreError::Refused);
            }
            let newer: Vec<Row> =
                self.rows(table).into_iter().filter(|row| row.version > after).collect();
            if !newer.is_empty() {
                return Ok(Rows { rows: newer, version: self.version() });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(Rows { rows: Vec::new(), version: self.version().max(after) })
    }

    async fn workers(&self) -> Result<WorkerChanges, StoreError> {
        let listed = self.worker.iter().map(|_| WorkerUpdate {
            worker: WorkerId::new("w"),
            address: "10.0.0.1:1".to_owned(),
            service: "s".to_owned(),
            zone: ZoneName::new("z"),
            capacity: Resources { cpu_millis: 1_000_000, ..Resources::ZERO },
            labels: Vec::new(),
            draining: false,
            remaining_ms: None,
            incarnation: 1,
        });
        Ok(WorkerChanges { listed: listed.collect(), ..WorkerChanges::default() })
    }

    async fn poll_worker_changes(
        &self,
        _after: u64,
        _wait: u64,
    ) -> Result<WorkerChanges, StoreError> {
        Ok(WorkerChanges::default())
    }

    async fn manifest(&self) -> Result<(Option<Manifest>, u64), StoreError> {
        if let Some(error) = self.reading_error() {
            return Err(error);
        }
        let manifest = self.newest_manifest();
        let version = manifest.as_ref().map_or(0, |manifest| manifest.row_version);
        Ok((manifest, version))
    }

    async fn confirm_manifest(&self, row_version: u64) -> Result<Confirmation, StoreError> {
        match self.mood() {
            Mood::Silent => std::future::pending().await,
            Mood::Refuses | Mood::TurnsAway => Err(StoreError::Refused),
            Mood::Well | Mood::LosesOneAnswer => {
                let newest = self.newest_manifest();
                let changed = newest.filter(|newest| newest.row_version != row_version);
                Ok(changed
                    .map_or(Confirmation::Newest, |newer| Confirmation::Replaced(Some(newer))))
            }
        }
    }

    async fn poll_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<(Option<Manifest>, u64), StoreError> {
        for _ in 0..=wait_ms / 20 {
            if let Some(error) = self.reading_error() {
                return Err(error);
            }
            if let Some(newer) = self.newest_manifest().filter(|one| one.row_version > after) {
                let version = newer.row_version;
                return Ok((Some(newer), version));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok((None, after))
    }

    async fn hold(&self, call: &HoldCall) -> Result<HoldReply, CallError> {
        let Some(worker) = &self.worker else { return Err(CallError::Refused) };
        tokio::time::sleep(Duration::from_millis(call.wait_ms.min(50))).await;
        let mut ended = Vec::new();
        for (number, (task, run)) in worker.started.lock().expect("no panic").iter().enumerate() {
            let number = number as u64 + 1;
            let (task, run) = (*task, *run);
            if number > call.forget {
                ended.push(EndedRun {
                    number,
                    task,
                    run,
                    end: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
        }
        Ok(HoldReply { clock_ms: 1, life: 1, active: Vec::new(), ended })
    }

    async fn start(&self, call: &StartCall) -> Result<StartReply, CallError> {
        let Some(worker) = &self.worker else { return Err(CallError::Refused) };
        if call.run > 1 {
            worker.started.lock().expect("no panic").push((call.task, call.run));
            return Ok(StartReply::Started);
        }
        worker.first_starts.fetch_add(1, Ordering::Relaxed);
        let mut answers = worker.answers.subscribe();
        answers.wait_for(|answers| *answers).await.expect("the worker is there");
        Ok(StartReply::TooLate)
    }

    async fn stop(&self, _call: &StopCall) -> Result<(), CallError> {
        Err(CallError::Refused)
    }

    async fn pace(&self, _call: &PaceCall) -> Result<(), CallError> {
        Err(CallError::Refused)
    }

    async fn advise(
        &self,
        _step: StepId,
        _workers: &[WorkerId],
        _limit: u64,
    ) -> Option<Vec<Grant>> {
        if self.state.lock().expect("no panic").advice_hangs {
            std::future::pending::<()>().await;
        }
        Some(Vec::new())
    }
}
