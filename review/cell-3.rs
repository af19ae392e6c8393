//! A small cell for review cases: a store, workers and callers as stand-ins in one process, and the
//! daemons of the deploy file as processes of their own. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Num(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::Arr(items)) => items,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while *at < chars.len() && chars[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Str(key) = value(chars, at)? else { return None };
                        skip(chars, at);
                        if chars.get(*at)? != &':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                match chars.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Json::Str(text));
                    }
                    '\\' => {
                        *at += 1;
                        match chars.get(*at)? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'u' => {
                                let hex: String = chars.get(*at + 1..*at + 5)?.iter().collect();
                                text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                                *at += 4;
                            }
                            other => text.push(*other),
                        }
                        *at += 1;
                    }
                    other => {
                        text.push(*other);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let begin = *at;
            while *at < chars.len() && !matches!(chars[*at], ',' | ']' | '}') && !chars[*at].is_whitespace() {
                *at += 1;
            }
            let word: String = chars[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Num),
            }
        }
    }
}

/// Text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(number >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- Record

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.now_ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        std::fs::write(path, text).expect("cannot write the record");
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
        percent_decoded(pair.unwrap_or(""))
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_message(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

/// The status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;

/// A stand-in's listener. While it is down, connections are refused and open ones are reset.
#[derive(Clone)]
pub struct Server {
    pub address: String,
    streams: Arc<Mutex<Option<Vec<TcpStream>>>>,
    generation: Arc<Mutex<u64>>,
}

impl Server {
    pub fn start(handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port");
        let address = listener.local_addr().unwrap().to_string();
        let server =
            Self { address, streams: Arc::new(Mutex::new(Some(Vec::new()))), generation: Arc::default() };
        server.accept(listener, handler);
        server
    }

    fn accept(&self, listener: TcpListener, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
        let (streams, generation) = (Arc::clone(&self.streams), Arc::clone(&self.generation));
        let own = *generation.lock().unwrap();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            loop {
                if *generation.lock().unwrap() != own {
                    return;
                }
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { continue };
                if let Some(open) = streams.lock().unwrap().as_mut() {
                    open.push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &handler));
            }
        });
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        *self.generation.lock().unwrap() += 1;
        for stream in self.streams.lock().unwrap().take().unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        sleep_ms(5);
    }

    /// Listens again at the same address.
    pub fn restart(&self, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
        *self.streams.lock().unwrap() = Some(Vec::new());
        for _ in 0..400 {
            if let Ok(listener) = TcpListener::bind(&self.address) {
                return self.accept(listener, handler);
            }
            sleep_ms(5);
        }
        panic!("the address is taken");
    }
}

fn serve(stream: TcpStream, handler: &Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let path = words.next().unwrap_or("").to_owned();
        let Some((status, body)) = handler(Request { method, path, headers, body }) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(head.as_bytes()).is_err() || writer.write_all(body.as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes a call; `None` if no answer came.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}

// ---------------------------------------------------------------- Store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Each change: the version, the row's key and its value; `None` if it was removed.
    history: Vec<(u64, Key, Option<String>)>,
}

/// The platform's store: tables of rows, transactions and change feeds.
#[derive(Clone)]
pub struct Store {
    pub server: Server,
    shared: Arc<(Mutex<Rows>, Condvar)>,
}

fn row_json(key: &Key, value: Option<&str>, version: u64) -> String {
    let (table, part, name) = key;
    let rest = match value {
        Some(value) => format!("\"value\":{},\"row_version\":{version}", quoted(value)),
        None => format!("\"deleted\":true,\"row_version\":{version}"),
    };
    format!("{{\"table\":{},\"part\":{},\"key\":{},{rest}}}", quoted(table), quoted(part), quoted(name))
}

fn entry_key(entry: &Json) -> Key {
    (entry.text("table"), entry.text("part"), entry.text("key"))
}

impl Store {
    pub fn start() -> Self {
        let shared: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        let began = Instant::now();
        let inner = Arc::clone(&shared);
        let server = Server::start(Arc::new(move |request| {
            let now_ms = began.elapsed().as_millis() as u64;
            let (rows, changed) = &*inner;
            match request.route() {
                "/rows-tx" => {
                    sleep_ms(3);
                    let body = Json::parse(&request.body)?;
                    let mut rows = rows.lock().unwrap();
                    let version_of =
                        |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(_, version)| *version);
                    let mut wrong = false;
                    let mut current = Vec::new();
                    for entry in body.list("expected_rev") {
                        let key = entry_key(entry);
                        let version = version_of(&rows, &key);
                        wrong |= Some(version) != entry.num("row_version");
                        if let Some((value, version)) = rows.rows.get(&key) {
                            current.push(row_json(&key, Some(value), *version));
                        } else {
                            current.push(row_json(&key, None, 0));
                        }
                    }
                    if wrong {
                        let body = format!(
                            "{{\"rows\":[{}],\"row_version\":{},\"now_ms\":{now_ms}}}",
                            current.join(","),
                            rows.version
                        );
                        return Some((412, body));
                    }
                    let puts = body.list("put");
                    let removes = body.list("remove");
                    if !puts.is_empty() || !removes.is_empty() {
                        rows.version += 1;
                    }
                    let version = rows.version;
                    for entry in puts {
                        let (key, value) = (entry_key(entry), entry.text("value"));
                        rows.rows.insert(key.clone(), (value.clone(), version));
                        rows.history.push((version, key, Some(value)));
                    }
                    for entry in removes {
                        let key = entry_key(entry);
                        if rows.rows.remove(&key).is_some() {
                            rows.history.push((version, key, None));
                        }
                    }
                    changed.notify_all();
                    Some((200, format!("{{\"row_version\":{version},\"now_ms\":{now_ms}}}")))
                }
                "/rows-get" => {
                    sleep_ms(1);
                    let (table, part) = (request.query("table"), request.query("part"));
                    let (from, to) = (request.query("from"), request.query("to"));
                    let limit = request.query("limit").parse().unwrap_or(500_usize).min(500);
                    let rows = rows.lock().unwrap();
                    let found: Vec<String> = rows
                        .rows
                        .range((table.clone(), part.clone(), from)..)
                        .take_while(|(key, _)| key.0 == table && key.1 == part)
                        .filter(|(key, _)| to.is_empty() || key.2 < to)
                        .map(|(key, (value, version))| row_json(key, Some(value), *version))
                        .take(limit + 1)
                        .collect();
                    let has_more = found.len() > limit;
                    let page = found[..found.len().min(limit)].join(",");
                    Some((
                        200,
                        format!(
                            "{{\"rows\":[{page}],\"has_more\":{has_more},\"row_version\":{},\"now_ms\":{now_ms}}}",
                            rows.version
                        ),
                    ))
                }
                "/rows-feed" => {
                    let table = request.query("table");
                    let after: u64 = request.query("after").parse().unwrap_or(0);
                    let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait_ms);
                    let mut rows = rows.lock().unwrap();
                    loop {
                        let found: Vec<String> = rows
                            .history
                            .iter()
                            .filter(|(version, key, _)| *version > after && key.0 == table)
                            .map(|(version, key, value)| row_json(key, value.as_deref(), *version))
                            .take(500)
                            .collect();
                        let now = Instant::now();
                        if !found.is_empty() || now >= until {
                            return Some((
                                200,
                                format!(
                                    "{{\"rows\":[{}],\"row_version\":{},\"now_ms\":{now_ms}}}",
                                    found.join(","),
                                    rows.version
                                ),
                            ));
                        }
                        rows = changed.wait_timeout(rows, until - now).unwrap().0;
                    }
                }
                _ => Some((404, "{}".to_owned())),
            }
        }));
        Self { server, shared }
    }

    /// Writes a row of the platform's partition, as the operator and the workers do.
    pub fn put(&self, table: &str, name: &str, value: &str) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), name.to_owned());
        let value = base64(value.as_bytes());
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.history.push((version, key, Some(value)));
        changed.notify_all();
    }

    /// Removes a row of the platform's partition.
    pub fn remove(&self, table: &str, name: &str) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        let key = (table.to_owned(), String::new(), name.to_owned());
        if rows.rows.remove(&key).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.history.push((version, key, None));
            changed.notify_all();
        }
    }
}

// ---------------------------------------------------------------- Workers

/// How an order is delivered.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Now,
    /// It gets no answer, and is delivered later by [`Worker::deliver_late`].
    Late,
}

/// Decides about the delivery of a start: the name of the task, the number of the run, and how many
/// orders to start this run there were before.
pub type Deliver = Arc<dyn Fn(&str, u64, u64) -> Delivery + Send + Sync>;

#[derive(Clone)]
struct Run {
    began_ms: u64,
    ends_ms: u64,
    stopping: bool,
    stop_at_ms: u64,
}

/// One life of a worker.
#[derive(Default)]
struct Life {
    began: Option<Instant>,
    born: u64,
    fence: u64,
    until_ms: u64,
    next_end: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// The highest run of each task that has ended or was stopped here.
    over: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    sequence: u64,
}

/// A span in which a run was at work: task, run, worker, from, to (`None` while it goes on), end.
pub type Span = (String, u64, String, u64, Option<u64>, &'static str);

/// A stand-in of a worker ("minion").
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub server: Server,
    life: Arc<Mutex<Life>>,
    record: Record,
    spans: Arc<Mutex<Vec<Span>>>,
    work_ms: u64,
    stop_ms: u64,
    late: Arc<Mutex<Vec<Request>>>,
    deliver: Deliver,
    orders: Arc<Mutex<HashMap<(String, u64), u64>>>,
    pub counts: Arc<Mutex<(u64, u64)>>,
}

const HOLD_MAX_MS: u64 = 6_000;

impl Worker {
    /// Starts a worker whose runs take `work_ms`, and whose stops take `stop_ms`.
    pub fn start(
        id: &str,
        record: &Record,
        spans: &Arc<Mutex<Vec<Span>>>,
        work_ms: u64,
        stop_ms: u64,
        deliver: Deliver,
    ) -> Self {
        let placeholder = Server::start(Arc::new(|_| None));
        placeholder.stop();
        let worker = Self {
            id: id.to_owned(),
            server: placeholder,
            life: Arc::default(),
            record: record.clone(),
            spans: Arc::clone(spans),
            work_ms,
            stop_ms,
            late: Arc::default(),
            deliver,
            orders: Arc::default(),
            counts: Arc::default(),
        };
        worker.begin();
        let sweeper = worker.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(2);
                sweeper.sweep(&mut sweeper.life.lock().unwrap());
            }
        });
        worker
    }

    /// Begins a life: nothing is known of an earlier one.
    pub fn begin(&self) {
        *self.life.lock().unwrap() = Life {
            began: Some(Instant::now()),
            born: unix_ms(),
            ..Life::default()
        };
        self.record.note(format!(
            "{} begins, born {}",
            self.id,
            self.life.lock().unwrap().born
        ));
        let worker = self.clone();
        self.server.restart(Arc::new(move |request| worker.handle(request)));
    }

    /// The process crashes: all that runs on it ends, and nothing is answered.
    pub fn crash(&self) {
        self.server.stop();
        let mut life = self.life.lock().unwrap();
        self.record.note(format!("{} crashes with {} runs", self.id, life.runs.len()));
        let now_ms = self.record.now_ms();
        for (task, run) in life.runs.keys() {
            self.close_span(task, *run, now_ms, "crash");
        }
        *life = Life::default();
    }

    fn clock_ms(life: &Life) -> u64 {
        1_000 + life.began.map_or(0, |began| began.elapsed().as_millis() as u64)
    }

    fn close_span(&self, task: &str, run: u64, now_ms: u64, end: &'static str) {
        for span in self.spans.lock().unwrap().iter_mut() {
            if span.0 == task && span.1 == run && span.2 == self.id && span.4.is_none() {
                span.4 = Some(now_ms);
                span.5 = end;
            }
        }
    }

    fn end(&self, life: &mut Life, key: &(String, u64), how: &'static str) {
        life.runs.remove(key);
        life.next_end += 1;
        let number = life.next_end;
        let highest = life.over.entry(key.0.clone()).or_default();
        *highest = (*highest).max(key.1);
        life.ends.push((number, key.0.clone(), key.1, how));
        self.close_span(&key.0, key.1, self.record.now_ms(), how);
        self.record.note(format!("{}: run {} of {} ends {how}", self.id, key.1, key.0));
    }

    fn sweep(&self, life: &mut MutexGuard<'_, Life>) {
        if life.began.is_none() {
            return;
        }
        let clock_ms = Self::clock_ms(life);
        let lapsed = clock_ms > life.until_ms;
        let keys: Vec<(String, u64)> = life.runs.keys().cloned().collect();
        for key in keys {
            let run = life.runs[&key].clone();
            if lapsed {
                self.end(life, &key, "lapsed");
            } else if run.ends_ms <= clock_ms {
                self.end(life, &key, "done");
            } else if run.stopping && run.stop_at_ms <= clock_ms {
                self.end(life, &key, "stopped");
            }
        }
    }

    fn handle(&self, request: Request) -> Answer {
        let body = Json::parse(&request.body)?;
        if request.headers.get("x-expect-instance").is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        if request.route() == "/run-start" {
            let (task, run) = (body.text("task"), body.num("run_id")?);
            let earlier = {
                let mut orders = self.orders.lock().unwrap();
                let count = orders.entry((task.clone(), run)).or_default();
                *count += 1;
                *count - 1
            };
            self.counts.lock().unwrap().0 += 1;
            if (self.deliver)(&task, run, earlier) == Delivery::Late {
                self.counts.lock().unwrap().1 += 1;
                self.record.note(format!(
                    "{}: order to start run {run} of {task} gets no answer and waits",
                    self.id
                ));
                self.late.lock().unwrap().push(request);
                return None;
            }
        }
        self.carry_out(&request, &body)
    }

    /// Carries out the orders that got no answer.
    pub fn deliver_late(&self) {
        for request in std::mem::take(&mut *self.late.lock().unwrap()) {
            let Some(body) = Json::parse(&request.body) else { continue };
            let answer = self.carry_out(&request, &body);
            self.record.note(format!(
                "{}: late order to start run {} of {} is carried out: {:?}",
                self.id,
                body.num("run_id").unwrap_or(0),
                body.text("task"),
                answer
            ));
        }
    }

    fn carry_out(&self, request: &Request, body: &Json) -> Answer {
        let token = body.num("fencing_token").unwrap_or(0);
        let mut life = self.life.lock().unwrap();
        life.began?;
        self.sweep(&mut life);
        let clock_ms = Self::clock_ms(&life);
        let refused = |reason: &str| {
            Some((409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")))
        };
        if token < life.fence {
            return refused("fence");
        }
        life.fence = token;
        let extend = |life: &mut Life| {
            if let Some(until_ms) = body.num("until_ms") {
                life.until_ms = life.until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
            }
        };
        let (task, run) = (body.text("task"), body.num("run_id").unwrap_or(0));
        match request.route() {
            "/run-start" => {
                if body.num("until_ms")? <= clock_ms {
                    return refused("late");
                }
                extend(&mut life);
                let key = (task.clone(), run);
                if !life.runs.contains_key(&key) {
                    if life.over.get(&task).is_some_and(|highest| run <= *highest) {
                        return refused("old");
                    }
                    let begun = Run {
                        began_ms: clock_ms,
                        ends_ms: clock_ms + self.work_ms,
                        stopping: false,
                        stop_at_ms: 0,
                    };
                    life.runs.insert(key, begun);
                    let now_ms = self.record.now_ms();
                    let span = (task.clone(), run, self.id.clone(), now_ms, None, "");
                    self.spans.lock().unwrap().push(span);
                    self.record.note(format!(
                        "{}: run {run} of {task} begins, token {token}",
                        self.id
                    ));
                }
                Some((200, format!("{{\"clock_ms\":{clock_ms}}}")))
            }
            "/run-stop" => {
                let highest = life.over.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                if let Some(known) = life.runs.get_mut(&(task.clone(), run)) {
                    if !known.stopping {
                        known.stopping = true;
                        known.stop_at_ms = clock_ms + self.stop_ms;
                        self.record.note(format!("{}: run {run} of {task} is to stop", self.id));
                    }
                }
                Some((200, format!("{{\"clock_ms\":{clock_ms}}}")))
            }
            "/hold" => {
                extend(&mut life);
                let ack = body.num("ack_cursor").unwrap_or(0);
                life.ends.retain(|end| end.0 > ack);
                let wait_ms = body.num("wait_ms").unwrap_or(0).min(2_000);
                let born = life.born;
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while life.ends.is_empty() && Instant::now() < until {
                    drop(life);
                    sleep_ms(4);
                    life = self.life.lock().unwrap();
                    if life.born != born {
                        return None;
                    }
                }
                let clock_ms = Self::clock_ms(&life);
                let active: Vec<String> = life
                    .runs
                    .iter()
                    .map(|((task, run), state)| {
                        let percent = (clock_ms - state.began_ms) * 100 / self.work_ms;
                        format!("[\"{task}\",{run},\"\",{percent},0]")
                    })
                    .collect();
                let ends: Vec<String> = life
                    .ends
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
                    .collect();
                Some((
                    200,
                    format!(
                        "{{\"born\":{born},\"clock_ms\":{clock_ms},\"active\":[{}],\"ended_at\":[{}]}}",
                        active.join(","),
                        ends.join(",")
                    ),
                ))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Writes the worker's entry into the store.
    pub fn beat(&self, store: &Store) {
        let mut life = self.life.lock().unwrap();
        if life.began.is_none() {
            return;
        }
        life.sequence += 1;
        let entry = format!(
            "{{\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0}},\
             \"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
            self.server.address,
            Self::clock_ms(&life),
            life.sequence,
            life.born
        );
        drop(life);
        store.put("servers", &self.id, &entry);
    }

    /// Whether the process is up.
    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().began.is_some()
    }
}

// ---------------------------------------------------------------- Daemons

/// The processes that this case started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that this case started, and the case with this status.
pub fn exit(status: i32) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(status);
}

/// A daemon of the deploy file.
pub struct Daemon {
    pub callers: String,
    pub ready: String,
    pub pid: u32,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

fn two_free_ports() -> u16 {
    loop {
        let port = free_port();
        let both = port < 65_000
            && TcpListener::bind(("127.0.0.1", port)).is_ok()
            && TcpListener::bind(("127.0.0.1", port + 1)).is_ok();
        if both {
            return port;
        }
    }
}

impl Daemon {
    pub fn start(name: &str, store: &str, folder: &Path) -> Self {
        let (callers, ready) =
            (format!("127.0.0.1:{}", free_port()), format!("127.0.0.1:{}", free_port()));
        let settings = format!(
            "{{\"name\":\"{name}\",\"ip\":\"127.0.0.1\",\"zone\":\"z-a\",\"callers\":\"{callers}\",\
             \"ready\":\"{ready}\",\"inner_port\":{},\"store\":\"{store}\",\"row_bytes\":65536,\
             \"advisor\":null,\"core_share\":0.25,\"core_speed\":1,\"link_mbps\":1000.0,\
             \"memory_mb\":260,\"lease_max_ms\":6000,\"remember_s\":120,\"manifest_apply_ms\":2500,\
             \"revoke_ms\":null,\"gang_wait_ms\":3000,\"stop_max_ms\":900,\"stop_grace_s\":6}}",
            two_free_ports()
        );
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).unwrap();
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/stoatwell-fleet")
            .arg("run")
            .env("STOATWELL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { exit(2) };
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        Self { callers, ready, pid }
    }
}

// ---------------------------------------------------------------- Cell

/// A store, workers and daemons.
pub struct Cell {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    pub spans: Arc<Mutex<Vec<Span>>>,
    pub folder: PathBuf,
}

/// The manifest: one queue of each priority, without an advisor. `tenants` is its list of tenants, or
/// empty if callers need no key.
pub fn manifest(version: u64, tenants: &str) -> String {
    let routes: Vec<String> = (0..3)
        .map(|priority| {
            format!(
                "{{\"name\":\"q{priority}\",\"host\":\"h.example\",\"path_prefix\":\"/q{priority}/\",\
                 \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":1200,\
                 \"priority\":{priority},\"service\":\"svc\",\"max_attempts\":3,\"slack_factor\":3.0}}"
            )
        })
        .collect();
    let tenants =
        if tenants.is_empty() { String::new() } else { format!("\"tenants\":[{tenants}],") };
    format!(
        "{{\"version\":{version},{tenants}\"routes\":[{}],\"services\":[{{\"name\":\"svc\",\
         \"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_check\":false,\"standby\":false}}],\"limits\":{{\"max_body_bytes\":262144}}}}",
        routes.join(",")
    )
}

impl Cell {
    /// Starts a cell and waits until its daemons are ready.
    pub fn start(
        daemons: usize,
        workers: usize,
        work_ms: u64,
        stop_ms: u64,
        deliver: Deliver,
        tenants: &str,
    ) -> Option<Self> {
        let record = Record::new();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.put("op", "config", &manifest(3, tenants));
        let spans: Arc<Mutex<Vec<Span>>> = Arc::default();
        let workers: Vec<Worker> = (0..workers)
            .map(|index| {
                let id = format!("i-{:010x}", 0xa0 + index);
                Worker::start(&id, &record, &spans, work_ms, stop_ms, Arc::clone(&deliver))
            })
            .collect();
        let (beating, beat_store) = (workers.clone(), store.clone());
        thread::spawn(move || {
            loop {
                for worker in &beating {
                    worker.beat(&beat_store);
                }
                sleep_ms(1_500);
            }
        });
        let daemons: Vec<Daemon> = (0..daemons)
            .map(|index| Daemon::start(&format!("edge-{index}"), &store.server.address, &folder))
            .collect();
        let cell = Self { record, store, workers, daemons, spans, folder };
        for _ in 0..200 {
            let is_ready = |daemon: &Daemon| {
                call(&daemon.ready, "GET", "/readyz", &[("host", "x")], "", 300)
                    .is_some_and(|(status, _)| status == 200)
            };
            if cell.daemons.iter().all(is_ready) {
                sleep_ms(2_500);
                cell.record.note("all daemons are ready");
                return Some(cell);
            }
            sleep_ms(50);
        }
        None
    }

    /// Submits a job of one step to a daemon.
    pub fn submit(
        &self,
        daemon: usize,
        path: &str,
        key: &str,
        tasks: u32,
        cpu: u32,
        estimate_ms: u64,
    ) -> Option<u16> {
        let body = format!(
            "{{\"spec\":\"work\",\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\"mem_mb\":64,\
             \"estimated_ms\":{estimate_ms}}}]}}"
        );
        self.request(daemon, "POST", path, key, &body).map(|(status, _)| status)
    }

    /// Makes a caller's request about a job.
    pub fn request(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let authorization = format!("Bearer {key}");
        let mut headers = vec![
            ("host", "h.example"),
            ("content-type", "application/json"),
            ("x-deadline-ms", "3000"),
        ];
        if !key.is_empty() {
            headers.push(("authorization", &authorization));
        }
        let answer = call(&self.daemons[daemon].callers, method, path, &headers, body, 3_000);
        self.record.note(format!("caller: {method} {path} at edge-{daemon}: {answer:?}"));
        answer
    }

    /// The runs of one task that were at work at the same time on workers that are up, for at least
    /// 100 ms.
    pub fn doubled(&self) -> Vec<(Span, Span)> {
        let spans = self.spans.lock().unwrap().clone();
        let now_ms = self.record.now_ms();
        let mut found = Vec::new();
        for (index, one) in spans.iter().enumerate() {
            for other in &spans[index + 1..] {
                let (to, other_to) = (one.4.unwrap_or(now_ms), other.4.unwrap_or(now_ms));
                if one.0 == other.0 && one.3.max(other.3) + 100 <= to.min(other_to) {
                    found.push((one.clone(), other.clone()));
                }
            }
        }
        found
    }

    /// The runs of a job that are at work.
    pub fn running(&self, job: &str) -> usize {
        let spans = self.spans.lock().unwrap();
        spans.iter().filter(|span| span.0.starts_with(job) && span.4.is_none()).count()
    }

    /// The runs that are at work.
    pub fn busy(&self) -> usize {
        self.spans.lock().unwrap().iter().filter(|span| span.4.is_none()).count()
    }

    /// The runs of a job that have ended `done`.
    pub fn done(&self, job: &str) -> usize {
        let spans = self.spans.lock().unwrap();
        spans.iter().filter(|span| span.0.starts_with(job) && span.5 == "done").count()
    }

    /// Writes the record, and ends the case with this status.
    pub fn finish(self, path: &Path, status: i32) -> ! {
        self.record.note(format!("exit {status}"));
        self.record.write(path);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("{}", self.folder.display());
        }
        exit(status);
    }
}
