//! HTTP/1.1 server and client over plain sockets on loopback.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// Closes the connection without an answer.
    Close,
}

/// Serves requests on a free port of 127.0.0.1, one thread for each connection.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = if body == Json::Null { String::new() } else { body.to_string() };
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers, body) = read_message(reader, None)?;
    let mut parts = first.split(' ');
    let method = parts.next()?.to_owned();
    let target = parts.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>, no_body: Option<()>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    let mut length = 0;
    let mut chunked = false;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        chunked |= name.eq_ignore_ascii_case("transfer-encoding");
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut body = Vec::new();
    if no_body.is_none() {
        if chunked {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk).ok()?;
                if size == 0 {
                    break;
                }
                body.extend_from_slice(&chunk[..size]);
            }
        } else {
            body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
        }
    }
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

/// The answer to a call: its status, its `retry-after` in seconds and its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after_s: Option<u64>,
    pub body: Json,
}

/// Makes one call over a connection of its own; `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&Json>,
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: {}\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers, body) = read_message(&mut reader, None)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let after = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let retry_after_s = after.and_then(|(_, value)| value.parse().ok());
    Some(Answer { status, retry_after_s, body: Json::parse(&body).unwrap_or(Json::Null) })
}
