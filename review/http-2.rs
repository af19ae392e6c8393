//! HTTP/1.1: a server with one thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const STACK_BYTES: usize = 192 * 1024;

pub struct Request {
    pub method: String,
    pub path: String,
    /// The query of the path, decoded.
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// A status and a body; `None` is no answer at all: the channel stays open in silence.
pub type Answer = Option<(u16, String)>;

pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            spawn(move || {
                let _ = serve_connection(stream, handle.as_ref());
            });
        }
    });
}

pub fn spawn(work: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).expect("a thread");
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &impl Fn(Request) -> Answer,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handle(request) else {
            // Until the caller gives up.
            let _ = reader.read(&mut [0; 1]);
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter(|pair| !pair.is_empty()).map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decoded(key), decoded(value))
    });
    let (path, query) = (path.to_owned(), query.collect());
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_rest(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(Vec<(String, String)>, String)> {
    let mut headers: Vec<(String, String)> = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own; `None` if there is no answer.
pub fn call(
    address: &SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    key: &str,
    body: &str,
    limit: Duration,
) -> Answer {
    let mut stream = TcpStream::connect_timeout(address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let key =
        if key.is_empty() { String::new() } else { format!("Authorization: Bearer {key}\r\n") };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{key}X-Deadline-Ms: {}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader).ok()?;
    Some((status, body))
}
