//! The platform's metadata store: rows in tables, conditional transactions and change feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;

/// Largest value of a row, in bytes (`row_bytes`).
pub const ROW_BYTES: usize = 65_536;
/// Most entries of one transaction.
const ENTRIES_MAX: usize = 100;
/// Most bytes of one call, and of one page of rows.
const CALL_BYTES_MAX: usize = 1_000_000;
/// Most rows of one page.
const PAGE_ROWS: usize = 500;
/// How long a transaction takes (`tx_ms`); twice as long over several parts.
const TX_TIME: Duration = Duration::from_millis(3);

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    rows: BTreeMap<Key, (String, u64)>,
    /// Each change with its version; `None` for a removed row.
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
    is_down: bool,
}

/// The store.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        let address = http::serve(move |request| serving.answer(request));
        (store, address)
    }

    /// While the store is down, it refuses all calls with 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.tables.lock().expect("no panic").is_down = is_down;
    }

    /// Writes or removes a row for the platform or the operator.
    pub fn write(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut tables = self.tables.lock().expect("no panic");
        tables.version += 1;
        let value = value.map(|value| base64(value.to_string().as_bytes()));
        tables.change((table.to_owned(), String::new(), key.to_owned()), value);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.tables.lock().expect("no panic").is_down {
            return Reply::Answer(503, Json::Null);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Answer(404, Json::Null),
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let body = request.json();
        let entries = |name: &str| body.get(name).arr().to_vec();
        let (expect, put, remove) = (entries("expected_rev"), entries("put"), entries("remove"));
        let all = expect.iter().chain(&put).chain(&remove);
        let parts: std::collections::BTreeSet<&str> =
            all.clone().map(|entry| entry.get("part").str()).collect();
        let is_forbidden =
            put.iter().chain(&remove).any(|entry| ["op", "servers"].contains(&entry.get("table").str()));
        if is_forbidden {
            return Reply::Answer(403, Json::Null);
        }
        if all.count() > ENTRIES_MAX
            || request.body.len() > CALL_BYTES_MAX
            || (parts.len() > 1 && *body.get("cross_partition") != Json::Bool(true))
        {
            return Reply::Answer(400, Json::Null);
        }
        if put.iter().any(|entry| decoded_length(entry.get("value").str()) > ROW_BYTES) {
            return Reply::Answer(400, Json::Null);
        }
        thread::sleep(if parts.len() > 1 { TX_TIME * 2 } else { TX_TIME });
        let mut tables = self.tables.lock().expect("no panic");
        let version_of = |tables: &Tables, entry: &Json| {
            tables.rows.get(&key_of(entry)).map_or(0, |(_, version)| *version)
        };
        let holds =
            expect.iter().all(|entry| version_of(&tables, entry) == entry.get("row_version").u64());
        if !holds {
            let rows: Vec<Json> = expect.iter().map(|entry| tables.row(&key_of(entry))).collect();
            return Reply::Answer(412, self.page(&tables, rows, false));
        }
        tables.version += 1;
        for entry in &put {
            tables.change(key_of(entry), Some(entry.get("value").str().to_owned()));
        }
        for entry in &remove {
            if tables.rows.contains_key(&key_of(entry)) {
                tables.change(key_of(entry), None);
            }
        }
        self.changed.notify_all();
        Reply::Answer(200, self.page(&tables, Vec::new(), false))
    }

    fn read(&self, request: &Request) -> Reply {
        let (table, part) = (request.query("table").to_owned(), request.query("part").to_owned());
        let limit = request.query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let tables = self.tables.lock().expect("no panic");
        let from = (table.clone(), part.clone(), request.query("from").to_owned());
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, _)) in tables.rows.range(from..) {
            if key.0 != table || key.1 != part {
                break;
            }
            bytes += value.len() + 200;
            if rows.len() >= limit || (bytes > CALL_BYTES_MAX && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(tables.row(key));
        }
        Reply::Answer(200, self.page(&tables, rows, has_more))
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.query("table").to_owned();
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut tables = self.tables.lock().expect("no panic");
        loop {
            if tables.is_down {
                return Reply::Answer(503, Json::Null);
            }
            let first = tables.history.partition_point(|(version, ..)| *version <= after);
            let mut rows = Vec::new();
            for (version, key, value) in &tables.history[first..] {
                if key.0 == table {
                    rows.push(row_json(key, value.as_deref(), *version));
                }
            }
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                return Reply::Answer(200, self.page(&tables, rows, false));
            }
            tables = self.changed.wait_timeout(tables, end - now).expect("no panic").0;
        }
    }

    fn page(&self, tables: &Tables, rows: Vec<Json>, has_more: bool) -> Json {
        obj(vec![
            ("rows", Json::Arr(rows)),
            ("has_more", Json::Bool(has_more)),
            ("row_version", num(tables.version)),
            ("now_ms", num(self.started.elapsed().as_millis() as u64)),
        ])
    }
}

impl Tables {
    fn change(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.history.push((version, key, value));
    }

    fn row(&self, key: &Key) -> Json {
        match self.rows.get(key) {
            Some((value, version)) => row_json(key, Some(value), *version),
            None => row_json(key, None, 0),
        }
    }
}

fn row_json(key: &Key, value: Option<&str>, version: u64) -> Json {
    let (table, part, key) = key;
    let mut fields = vec![
        ("table", text(table)),
        ("part", text(part)),
        ("key", text(key)),
        ("row_version", num(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    obj(fields)
}

fn key_of(entry: &Json) -> Key {
    let field = |name: &str| entry.get(name).str().to_owned();
    (field("table"), field("part"), field("key"))
}

fn decoded_length(encoded: &str) -> usize {
    encoded.len() / 4 * 3 - encoded.bytes().rev().take_while(|byte| *byte == b'=').count()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            out.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
