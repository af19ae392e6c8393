//! The platform's store: rows in tables, transactions and a feed of changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};
use crate::json::{Json, quoted};

const TRANSACTION_TIME: Duration = Duration::from_millis(3);
/// Time between two states that stale reads return.
const STATE_INTERVAL: Duration = Duration::from_millis(500);
/// "4 ms an answer".
const READ_TIME: Duration = Duration::from_millis(4);
const ENTRIES_MAX: usize = 100;
const CALL_BYTES_MAX: usize = 1 << 20;
const PAGE_ROWS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1 << 20;

type Key = (String, String, String);
/// All rows, and the newest version.
type State = (BTreeMap<Key, (String, u64)>, u64);

#[derive(Default)]
struct Tables {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    /// All changes; `None` for a row that was dropped.
    history: Vec<(u64, Key, Option<String>)>,
    /// What reads return if they are stale.
    stale: Option<Arc<State>>,
    /// Whether watches hear nothing.
    is_mute: bool,
    /// Changes up to this version are no longer in the history.
    forgotten: u64,
    /// Transactions that were refused because a row was too long.
    too_long: u64,
}

pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    began: Instant,
    row_bytes: usize,
}

impl Store {
    pub fn start(row_bytes: usize) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            row_bytes,
        });
        let served = Arc::clone(&store);
        serve(listener, move |request| served.answer(&request));
        (store, address)
    }

    /// Writes a row of the operator or of a minion.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut tables = self.tables.lock().expect("no panic");
        tables.version += 1;
        tables.change(
            (table.into(), String::new(), key.into()),
            value.map(|text| encode(text.as_bytes())),
        );
        self.changed.notify_all();
    }

    /// Plays a `platform_compact`: watches hear nothing for a second, then the history is dropped
    /// and they are cut. Reads are `behind` old for this time.
    pub fn compact(&self, behind: Duration, time: Duration) {
        let end = Instant::now() + behind + time;
        let cut = Instant::now() + behind + Duration::from_secs(1);
        let mut is_cut = false;
        // The states that stale reads return.
        let mut states: VecDeque<(Instant, Arc<State>)> = VecDeque::new();
        while Instant::now() < end {
            let now = Instant::now();
            let mut tables = self.tables.lock().expect("no panic");
            states.push_back((now, Arc::new((tables.rows.clone(), tables.version))));
            while states.get(1).is_some_and(|(at, _)| *at + behind <= now) {
                states.pop_front();
            }
            if states[0].0 + behind <= now {
                tables.stale = Some(Arc::clone(&states[0].1));
                tables.is_mute = now < cut;
            }
            if now >= cut && !is_cut {
                is_cut = true;
                tables.history.clear();
                tables.forgotten = tables.version;
                self.changed.notify_all();
            }
            drop(tables);
            std::thread::sleep(STATE_INTERVAL);
        }
        let mut tables = self.tables.lock().expect("no panic");
        tables.stale = None;
    }

    /// How many transactions were refused because a row was too long.
    pub fn too_long(&self) -> u64 {
        self.tables.lock().expect("no panic").too_long
    }

    /// The name of the leader, which is in the only row of the table `duty`.
    pub fn leader(&self) -> Option<String> {
        let tables = self.tables.lock().expect("no panic");
        let (_, (value, _)) = tables.rows.iter().find(|((table, ..), _)| table == "duty")?;
        let row = Json::parse(&String::from_utf8(decode(value)?).ok()?)?;
        Some(row.get("holder").text().to_owned())
    }

    fn answer(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Some((404, "{}".into())),
        }
    }

    fn transact(&self, request: &Request) -> Answer {
        std::thread::sleep(TRANSACTION_TIME);
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".into())) };
        let [expected, put, remove] =
            ["expected_rev", "put", "remove"].map(|name| body.get(name).list());
        let entries = expected.iter().chain(put).chain(remove);
        if expected.len() + put.len() + remove.len() > ENTRIES_MAX
            || request.body.len() > CALL_BYTES_MAX
        {
            return Some((400, "{}".into()));
        }
        let parts: Vec<&str> = entries.map(|entry| entry.get("part").text()).collect();
        let is_cross = parts.iter().any(|part| *part != parts[0]);
        if is_cross && body.get("cross_partition") != &Json::Bool(true) {
            return Some((400, "{}".into()));
        }
        let mut tables = self.tables.lock().expect("no panic");
        for entry in put.iter().chain(remove) {
            if ["op", "servers"].contains(&entry.get("table").text()) {
                return Some((403, "{}".into()));
            }
            if decode(entry.get("value").text()).is_none_or(|value| value.len() > self.row_bytes) {
                tables.too_long += 1;
                return Some((400, "{}".into()));
            }
        }
        let current =
            |tables: &Tables, key: &Key| tables.rows.get(key).map_or(0, |(_, version)| *version);
        let is_stale = |entry: &&Json| {
            current(&tables, &key(entry)) != entry.get("row_version").number().unwrap_or(0)
        };
        let stale: Vec<&Json> = expected.iter().filter(is_stale).collect();
        if !stale.is_empty() {
            let rows: Vec<String> = stale
                .iter()
                .map(|entry| {
                    let key = key(entry);
                    let row = tables.rows.get(&key).map(|(value, version)| (Some(value), *version));
                    row_text(&key, row.unwrap_or((None, 0)))
                })
                .collect();
            let body = self.body(&rows, false, tables.version);
            return Some((412, body));
        }
        tables.version += 1;
        for entry in put {
            tables.change(key(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in remove {
            tables.change(key(entry), None);
        }
        self.changed.notify_all();
        let body = self.body(&[], false, tables.version);
        Some((200, body))
    }

    fn read(&self, request: &Request) -> Answer {
        std::thread::sleep(READ_TIME);
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let limit = request.parameter("limit").parse().unwrap_or(PAGE_ROWS_MAX).min(PAGE_ROWS_MAX);
        let tables = self.tables.lock().expect("no panic");
        let stale = tables.stale.clone();
        let (rows_now, version) = match &stale {
            Some(state) => (&state.0, state.1),
            None => (&tables.rows, tables.version),
        };
        let from = (table.to_owned(), part.to_owned(), request.parameter("from").to_owned());
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, version)) in rows_now.range(from..) {
            if key.0 != table || key.1 != part {
                break;
            }
            if rows.len() >= limit || bytes > PAGE_BYTES_MAX {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.push(row_text(key, (Some(value), *version)));
        }
        Some((200, self.body(&rows, has_more, version)))
    }

    fn feed(&self, request: &Request) -> Answer {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let table = request.parameter("table");
        let mut tables = self.tables.lock().expect("no panic");
        loop {
            if after < tables.forgotten {
                return Some((410, "{}".into()));
            }
            let begin = tables.history.partition_point(|(version, ..)| *version <= after);
            let changes = tables.history[begin..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<String> = changes
                .take(PAGE_ROWS_MAX)
                .map(|(version, key, value)| row_text(key, (value.as_ref(), *version)))
                .collect();
            let now = Instant::now();
            if (!rows.is_empty() && !tables.is_mute) || now >= end {
                let rows = if tables.is_mute { Vec::new() } else { rows };
                return Some((200, self.body(&rows, false, tables.version)));
            }
            tables = self.changed.wait_timeout(tables, end - now).expect("no panic").0;
        }
    }

    fn body(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now_ms = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            r#"{{"rows":[{rows}],"has_more":{has_more},"row_version":{version},"now_ms":{now_ms}}}"#
        )
    }
}

impl Tables {
    fn change(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match value.clone() {
            Some(value) => self.rows.insert(key.clone(), (value, version)),
            None => self.rows.remove(&key),
        };
        self.history.push((version, key, value));
    }
}

fn key(entry: &Json) -> Key {
    let [table, part, key] = ["table", "part", "key"].map(|name| entry.get(name).text().to_owned());
    (table, part, key)
}

fn row_text((table, part, key): &Key, (value, version): (Option<&String>, u64)) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    let [table, part, key] = [table, part, key].map(|text| quoted(text));
    format!(r#"{{"table":{table},"part":{part},"key":{key},{value},"row_version":{version}}}"#)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let is_used = digit <= chunk.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            out.push(if is_used { DIGITS[index as usize] as char } else { '=' });
        }
    }
    out
}

pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::with_capacity(text.len() * 3 / 4);
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => return None,
        };
        bits = bits << 6 | u32::from(digit);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(out)
}
