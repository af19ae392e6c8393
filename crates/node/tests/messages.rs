//! Encoding of the messages between daemons.
//!
//! The encoding has no field names. A field that the encoder leaves out shifts all that
//! follows it, so each message is encoded and decoded here with every optional part absent
//! and present.

use std::fmt::Debug;
use std::mem::Discriminant;
use std::mem::discriminant;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatwell_customers::Customer;
use stoatwell_customers::Directory;
use stoatwell_customers::KeyHash;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_node::Confirmation;
use stoatwell_node::DaemonCall;
use stoatwell_node::DaemonInfo;
use stoatwell_node::DaemonReply;
use stoatwell_node::Manifest;
use stoatwell_node::Queue;
use stoatwell_node::RelayedProof;
use stoatwell_node::Row;
use stoatwell_node::Rows;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_node::WorkerChanges;
use stoatwell_node::WriteReply;
use stoatwell_node::executors::call::Batch;
use stoatwell_node::executors::call::Replies;
use stoatwell_node::executors::call::WorkerCall;
use stoatwell_node::executors::call::WorkerReply;
use stoatwell_node::executors::call::decode;
use stoatwell_node::executors::call::encode;
use stoatwell_node::executors::session::BatchPosition;
use stoatwell_node::executors::session::SessionId;
use stoatwell_node::relay::StoreCall;
use stoatwell_node::relay::StoreReply;
use stoatwell_pool::Accepted;
use stoatwell_pool::ActiveRun;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CallError;
use stoatwell_pool::Callee;
use stoatwell_pool::EndedRun;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::JobState;
use stoatwell_pool::JobView;
use stoatwell_pool::PaceCall;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::RunOutcome;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;
use stoatwell_pool::WorkerUpdate;

const SESSION: SessionId = SessionId { epoch: 3, number: 4 };
const CALL_ERRORS: [CallError; 6] = [
    CallError::Refused,
    CallError::NotSent,
    CallError::NoAnswer,
    CallError::OtherLife,
    CallError::Superseded,
    CallError::Unwell,
];

fn task() -> TaskId {
    "5c0e7a21d94b36f8.2.1.17".parse().expect("a task")
}

fn step() -> StepId {
    "5c0e7a21d94b36f8.2.1".parse().expect("a step")
}

fn callee() -> Callee {
    Callee { worker: WorkerId::new("w"), address: "10.0.0.1:1".to_owned(), token: 4_097 }
}

/// Asserts that the calls of a connection between daemons carry these values unchanged.
fn assert_carried<T>(values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    for value in values {
        let bytes = bincode::serialize(value).expect("can be encoded");
        let decoded: Result<T, _> = bincode::deserialize(&bytes);
        assert_eq!(decoded.ok().as_ref(), Some(value));
    }
}

/// The number of variants among these values.
fn variants<T>(values: &[T]) -> usize {
    let mut seen: Vec<Discriminant<T>> = Vec::new();
    for value in values {
        if !seen.contains(&discriminant(value)) {
            seen.push(discriminant(value));
        }
    }
    seen.len()
}

/// The number of variants of [`DaemonCall`]. A new one does not compile until it is added
/// here, and then has to be added to the test.
fn daemon_call_variants(call: &DaemonCall) -> usize {
    match call {
        DaemonCall::State(_)
        | DaemonCall::Pending(_)
        | DaemonCall::Submit { .. }
        | DaemonCall::Accepted { .. }
        | DaemonCall::Cancelled(_)
        | DaemonCall::Cancel { .. }
        | DaemonCall::Alive
        | DaemonCall::Manifest
        | DaemonCall::Leads { .. }
        | DaemonCall::Advise { .. }
        | DaemonCall::OpenSession(_)
        | DaemonCall::Execute { .. }
        | DaemonCall::Collect { .. }
        | DaemonCall::CancelledUnknown { .. }
        | DaemonCall::CancelUnknown { .. }
        | DaemonCall::Store { .. }
        | DaemonCall::Daemons => 17,
    }
}

/// The number of variants of [`DaemonReply`].
fn daemon_reply_variants(reply: &DaemonReply) -> usize {
    match reply {
        DaemonReply::State(_)
        | DaemonReply::Pending(_)
        | DaemonReply::Advised(_)
        | DaemonReply::Submitted(_)
        | DaemonReply::Alive { .. }
        | DaemonReply::Manifest { .. }
        | DaemonReply::Noted
        | DaemonReply::NotScheduler
        | DaemonReply::SessionOpened { .. }
        | DaemonReply::Collected { .. }
        | DaemonReply::SubmissionInDoubt
        | DaemonReply::Cancelled(_)
        | DaemonReply::Store(_)
        | DaemonReply::StoreDeclined
        | DaemonReply::Daemons(_) => 15,
    }
}

/// Guards against a call to another daemon that this one cannot decode.
#[test]
fn calls_to_daemons_are_decoded_as_encoded() {
    let position = BatchPosition { number: 9, first_open: 8 };
    let calls = [
        DaemonCall::State(JobId(7)),
        DaemonCall::Pending(String::new()),
        DaemonCall::Submit { job: JobId(u64::MAX), row: vec![0, 255] },
        DaemonCall::Accepted { job: JobId(0), row: Vec::new() },
        DaemonCall::Cancelled(JobId(7)),
        DaemonCall::Cancel { job: JobId(7), limit_ms: 900 },
        DaemonCall::Alive,
        DaemonCall::Manifest,
        DaemonCall::Leads { epoch: 2, address: "10.0.0.1:1".to_owned() },
        DaemonCall::Advise { step: step(), workers: Vec::new(), limit_ms: 1 },
        DaemonCall::Advise { step: step(), workers: vec![WorkerId::new("w")], limit_ms: 1 },
        DaemonCall::OpenSession(SESSION),
        DaemonCall::Execute { session: SESSION, position, batch: vec![1] },
        DaemonCall::Collect { session: SESSION, ack_cursor: 0, wait_ms: 5 },
        DaemonCall::Collect { session: SESSION, ack_cursor: u64::MAX, wait_ms: 0 },
        DaemonCall::CancelledUnknown { job: JobId(7), customer: None },
        DaemonCall::CancelledUnknown { job: JobId(7), customer: Some(CustomerName::new("a")) },
        DaemonCall::CancelUnknown { job: JobId(7), customer: None, limit_ms: 900 },
        DaemonCall::CancelUnknown {
            job: JobId(7),
            customer: Some(CustomerName::new("a")),
            limit_ms: 900,
        },
        DaemonCall::Store { caller: "a".to_owned(), call: vec![1], limit_ms: 500 },
        DaemonCall::Daemons,
    ];
    assert_eq!(variants(&calls), daemon_call_variants(&calls[0]));
    assert_carried(&calls);
}

/// Guards against a reply of another daemon that this one cannot decode.
#[test]
fn replies_of_daemons_are_decoded_as_encoded() {
    let proof = RelayedProof { version: 9, age_ms: 10 };
    let customer = Some(CustomerName::new("a"));
    let grant = (WorkerId::new("w"), "ticket".to_owned());
    let replies = [
        DaemonReply::State(None),
        DaemonReply::State(Some(JobView { state: JobState::Running, customer: None })),
        DaemonReply::State(Some(JobView { state: JobState::Failed, customer })),
        DaemonReply::Pending(4),
        DaemonReply::Advised(None),
        DaemonReply::Advised(Some(Vec::new())),
        DaemonReply::Advised(Some(vec![grant])),
        DaemonReply::Submitted(Accepted::Yes),
        DaemonReply::Submitted(Accepted::No),
        DaemonReply::Submitted(Accepted::Taken),
        DaemonReply::Submitted(Accepted::Unknown),
        DaemonReply::Submitted(Accepted::Overloaded { retry_after_s: 3 }),
        DaemonReply::Submitted(Accepted::TooLong),
        DaemonReply::Alive { reaches_store: true, daemons: 8, fit: 2, manifest: proof },
        DaemonReply::Manifest { manifest: vec![1], proof },
        DaemonReply::Noted,
        DaemonReply::NotScheduler,
        DaemonReply::SessionOpened { clock_ms: 1 },
        DaemonReply::Collected { clock_ms: 1, cursor: 0, replies: Vec::new() },
        DaemonReply::Collected { clock_ms: 1, cursor: u64::MAX, replies: vec![1] },
        DaemonReply::SubmissionInDoubt,
        DaemonReply::Cancelled(WriteReply { accepted: Accepted::Yes, job_exists: false }),
        DaemonReply::Cancelled(WriteReply { accepted: Accepted::Taken, job_exists: true }),
        DaemonReply::Store(vec![1]),
        DaemonReply::StoreDeclined,
        DaemonReply::Daemons(Vec::new()),
    ];
    assert_eq!(variants(&replies), daemon_reply_variants(&replies[0]));
    assert_carried(&replies);
}

/// Guards against a relayed call to the store, or its result, that the other daemon cannot decode.
#[test]
fn relayed_calls_are_decoded_as_encoded() {
    let expect = vec![(Table::Fences, "3".to_owned(), 9)];
    let put = vec![(Table::Jobs, "k".to_owned(), vec![0, 255])];
    let remove = vec![(Table::Cancels, "k".to_owned())];
    let calls = [
        StoreCall::Transact(Transaction::default()),
        StoreCall::Transact(Transaction { expect, put, remove }),
        StoreCall::Read(Table::Duty, "k".to_owned()),
        StoreCall::ReadAll(Table::Progress),
        StoreCall::PollChanges { table: Table::Daemons, after: 1, wait_ms: 2 },
        StoreCall::Workers,
        StoreCall::PollWorkerChanges { after: 1, wait_ms: 2 },
        StoreCall::Manifest,
        StoreCall::PollManifest { after: 1, wait_ms: 2 },
        StoreCall::ConfirmManifest(u64::MAX),
        StoreCall::ReadPage { table: Table::Jobs, partition: 31, after: "k".to_owned() },
        StoreCall::ReadPage { table: Table::Cancels, partition: 0, after: String::new() },
    ];
    for call in calls {
        assert_eq!(decode("call", &encode(&call)), Some(call));
    }
    let row = |value| Row { key: "k".to_owned(), value, version: 4 };
    let worker = |remaining_ms| WorkerUpdate {
        worker: WorkerId::new("w"),
        address: "10.0.0.1:1".to_owned(),
        service: "s".to_owned(),
        zone: ZoneName::new("z"),
        capacity: Resources { cpu_millis: 1, memory_bytes: u64::MAX, accelerators: 0 },
        labels: vec!["l".to_owned()],
        draining: true,
        remaining_ms,
        incarnation: 5,
    };
    let changes = WorkerChanges {
        listed: vec![worker(None), worker(Some(7))],
        unlisted: vec![WorkerId::new("v")],
        version: 8,
        has_more: true,
    };
    let rows = Rows { rows: vec![row(None), row(Some(vec![1]))], version: 5, has_more: true };
    let conflict = vec![(Table::Duty, row(None)), (Table::Fences, row(Some(Vec::new())))];
    let results = [
        Ok(StoreReply::Written(3)),
        Ok(StoreReply::Row(None)),
        Ok(StoreReply::Row(Some(row(Some(vec![1]))))),
        Ok(StoreReply::Rows(rows)),
        Ok(StoreReply::Workers(changes)),
        Ok(StoreReply::Manifest(None, 3)),
        Ok(StoreReply::Manifest(Some(Manifest::default()), 3)),
        Ok(StoreReply::Confirmation(Confirmation::Newest)),
        Ok(StoreReply::Confirmation(Confirmation::Replaced(None))),
        Ok(StoreReply::Confirmation(Confirmation::Replaced(Some(Manifest::default())))),
        Err(StoreError::Refused),
        Err(StoreError::NoAnswer),
        Err(StoreError::Conflict(conflict)),
        Err(StoreError::HistoryLost),
        Err(StoreError::Invalid),
    ];
    for result in results {
        assert_eq!(decode("result", &encode(&result)), Some(result));
    }
    let info = DaemonInfo {
        address: "10.0.0.1:1".to_owned(),
        zone: ZoneName::new("z"),
        cores: 0.5,
        link_mbps: 10.0,
    };
    assert_eq!(decode("daemons", &encode(&vec![info.clone()])), Some(vec![info]));
}

/// Guards against a manifest that only some daemons can decode: one with queues without an
/// advisor, or without customers.
#[test]
fn manifests_are_decoded_as_encoded() {
    let advice = AdviceSpec { decide_ms: 10.5, each_ms: 0.1, valid_ms: 2_000 };
    let spec = QueueSpec {
        name: "q".to_owned(),
        service: "s".to_owned(),
        priority: 1,
        attempts_max: 3,
        slack_factor: 2.5,
        target_ms: 400,
        advice: None,
    };
    let queue = |advice: Option<AdviceSpec>, anonymous: bool| Queue {
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        timeout_ms: 3_000,
        anonymous,
        spec: QueueSpec { advice, ..spec.clone() },
    };
    let customer = |name: &str, keys: Vec<KeyHash>| Customer {
        name: CustomerName::new(name),
        weight: 1.5,
        cap: Resources { cpu_millis: 1, memory_bytes: u64::MAX, accelerators: 0 },
        keys,
    };
    let customers = vec![customer("a", vec![KeyHash::of("k")]), customer("b", Vec::new())];
    let directory = Directory::new(customers).expect("a valid directory");
    let queue_lists = [
        Vec::new(),
        vec![queue(None, false)],
        vec![queue(Some(advice), true)],
        vec![queue(None, true), queue(Some(advice), false), queue(None, false)],
    ];
    for queues in queue_lists {
        for customers in [None, Some(Directory::default()), Some(directory.clone())] {
            let manifest = Manifest {
                version: 7,
                row_version: 8,
                queues: queues.clone(),
                body_bytes_max: 9,
                customers,
            };
            assert_eq!(decode("manifest", &encode(&manifest)), Some(manifest));
        }
    }
}

/// Guards against a call to a worker that the executor cannot decode.
#[test]
fn calls_to_workers_are_decoded_as_encoded() {
    let hold = |until_ms| {
        let (to, turn) = (callee(), 2);
        WorkerCall::Hold(HoldCall { to, until_ms, forget: 1, wait_ms: 3, turn })
    };
    let start = |ticket: Option<&str>, payload: &str| {
        WorkerCall::Start(StartCall {
            to: callee(),
            task: task(),
            run: 1,
            spec: Arc::from(payload),
            until_ms: 9_000,
            checkpoint: String::new(),
            ticket: ticket.map(str::to_owned),
            written_ms: 1,
            assembled_by_ms: None,
        })
    };
    let calls = vec![
        hold(None),
        hold(Some(u64::MAX)),
        start(None, "work"),
        start(Some("ticket"), ""),
        WorkerCall::Stop(StopCall { to: callee(), task: task(), run: 2 }),
        WorkerCall::Pace(PaceCall { to: callee(), task: task(), run: 2, percent: 30 }),
    ];
    let numbered: Vec<(u64, WorkerCall)> = (0..).zip(calls).collect();
    let decoded: Batch =
        decode("batch", &encode(&Batch::new(numbered.clone(), 5))).expect("decodable");
    assert_eq!(decoded.expires_ms, 5);
    assert_eq!(decoded.into_calls().collect::<Vec<_>>(), numbered);
}

/// Guards against a worker's reply that the leader cannot decode.
#[test]
fn replies_of_workers_are_decoded_as_encoded() {
    let active =
        ActiveRun { task: task(), run: 1, checkpoint: String::new(), percent: 100, load: u64::MAX };
    let ends = [
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Stopped,
        RunOutcome::Lapsed,
        RunOutcome::Broken,
        RunOutcome::Alone,
    ];
    let ended = ends.map(|end| EndedRun {
        number: 1,
        task: task(),
        run: 2,
        end,
        checkpoint: "c".to_owned(),
    });
    let starts = [
        StartReply::Started { clock_ms: 482_113 },
        StartReply::Superseded,
        StartReply::OldRun,
        StartReply::TooLate,
        StartReply::NoRoom,
        StartReply::BadTicket,
        StartReply::Unwell,
        StartReply::Rejected,
    ];
    let held = HoldReply {
        clock_ms: 1,
        life: 2,
        active: vec![active],
        ended: ended.to_vec(),
        may_have_more_ended: true,
    };
    let idle = HoldReply { clock_ms: 1, life: 2, ..HoldReply::default() };
    let mut replies = vec![WorkerReply::Held(Ok(held)), WorkerReply::Held(Ok(idle))];
    replies.push(WorkerReply::Done(Ok(())));
    replies.extend(starts.map(|reply| WorkerReply::Started(Ok(reply))));
    for error in CALL_ERRORS {
        replies.push(WorkerReply::Held(Err(error)));
        replies.push(WorkerReply::Started(Err(error)));
        replies.push(WorkerReply::Done(Err(error)));
        replies.push(WorkerReply::Failed(error));
    }
    let replies: Replies = (0..).zip(replies).collect();
    assert_eq!(decode("replies", &encode(&replies)), Some(replies));
}
