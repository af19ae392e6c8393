//! The open connections of a listener, and what each of them waits for.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Limits;
use crate::closures::Closures;
use crate::closures::Reason;

/// What a connection does.
#[derive(Clone, Copy, Debug)]
enum State {
    /// No byte of the next head has arrived.
    Idle { since: Instant },
    /// A head has begun to arrive.
    Head { since: Instant },
    /// The daemon needs more of a body. Bytes that arrive do not reset the time, so a client cannot
    /// keep its place by sending single bytes.
    Body { since: Instant },
    /// A handler works on the request.
    Serving,
    /// A handler has responded, and the response is not complete.
    Responding,
}

/// Whether a body may hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reservation {
    /// The bytes are counted until the request's response.
    Granted,
    /// The waker is called when the answer may have changed.
    Wait,
    /// The body must be dropped.
    Refused(Reason),
}

/// All connections of a listener.
pub(crate) struct Connections {
    limits: Limits,
    closures: Closures,
    inner: Mutex<Inner>,
    removed: Notify,
}

#[derive(Default)]
struct Inner {
    by_id: HashMap<u64, Entry>,
    next_id: u64,
    /// Connections in `by_id` that are being closed.
    closing: usize,
    /// Bytes that all bodies hold.
    held_bytes: usize,
    /// The part of them that belongs to bodies that are given up.
    releasing_bytes: usize,
    /// Bodies that wait until others release bytes.
    room_wakers: Vec<Waker>,
}

struct Entry {
    state: State,
    /// When the client last read from a response that does not fit into the socket's buffer.
    write_blocked_since: Option<Instant>,
    held_bytes: usize,
    given_up: Option<Reason>,
    body_waker: Option<Waker>,
    is_closing: bool,
    close: Arc<Notify>,
}

impl Entry {
    /// Since when the connection has waited for its client; `None` if it does not.
    fn waits_since(&self) -> Option<Instant> {
        if self.is_closing || self.given_up.is_some() {
            return None;
        }
        match self.state {
            State::Serving => None,
            State::Responding => self.write_blocked_since,
            State::Idle { since } | State::Head { since } | State::Body { since } => {
                self.write_blocked_since.or(Some(since))
            }
        }
    }
}

impl Inner {
    fn close(&mut self, id: u64) {
        let Some(entry) = self.by_id.get_mut(&id) else { return };
        if entry.is_closing {
            return;
        }
        entry.is_closing = true;
        entry.close.notify_one();
        self.closing += 1;
    }

    fn longest_waiting(&self) -> Option<u64> {
        let waiting = self.by_id.iter().filter_map(|(id, entry)| Some((entry.waits_since()?, *id)));
        waiting.min().map(|(_, id)| id)
    }

    fn longest_waiting_body(&self, except: u64) -> Option<u64> {
        let waiting = self.by_id.iter().filter_map(|(id, entry)| match entry.state {
            State::Body { .. } if *id != except && entry.held_bytes > 0 => {
                Some((entry.waits_since()?, *id))
            }
            _ => None,
        });
        waiting.min().map(|(_, id)| id)
    }

    fn give_up_body(&mut self, id: u64, reason: Reason) {
        let Some(entry) = self.by_id.get_mut(&id) else { return };
        entry.given_up = Some(reason);
        self.releasing_bytes += entry.held_bytes;
        if let Some(waker) = entry.body_waker.take() {
            waker.wake();
        }
    }

    /// Forgets the body of the connection's request.
    fn release_body(&mut self, id: u64) {
        let Some(entry) = self.by_id.get_mut(&id) else { return };
        let released = std::mem::take(&mut entry.held_bytes);
        entry.body_waker = None;
        self.held_bytes -= released;
        if entry.given_up.take().is_some() {
            self.releasing_bytes -= released;
        }
        if released > 0 {
            for waker in self.room_wakers.drain(..) {
                waker.wake();
            }
        }
    }
}

impl Connections {
    pub(crate) fn new(limits: Limits, closures: Closures) -> Self {
        Self { limits, closures, inner: Mutex::default(), removed: Notify::new() }
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    pub(crate) fn record(&self, reason: Reason) {
        self.closures.record(reason);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, which stays until the returned handle is dropped.
    pub(crate) fn add(self: &Arc<Self>) -> Registration {
        let close = Arc::new(Notify::new());
        let entry = Entry {
            state: State::Idle { since: Instant::now() },
            write_blocked_since: None,
            held_bytes: 0,
            given_up: None,
            body_waker: None,
            is_closing: false,
            close: Arc::clone(&close),
        };
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.by_id.insert(id, entry);
        Registration { connection: Connection { id, connections: Arc::clone(self) }, close }
    }

    /// Waits until one more connection is within the limit. Closes the one that has waited
    /// longest for its client if needed; returns `false` if none waits.
    pub(crate) async fn make_room(&self) -> bool {
        loop {
            let (is_full, is_closing) = {
                let inner = self.lock();
                (inner.by_id.len() >= self.limits.connections_max, inner.closing > 0)
            };
            if !is_full {
                return true;
            }
            if !is_closing && !self.close_longest_waiting() {
                return false;
            }
            self.removed.notified().await;
        }
    }

    /// Closes the connection that has waited longest for its client; `false` if none waits.
    pub(crate) fn close_longest_waiting(&self) -> bool {
        let mut inner = self.lock();
        let Some(id) = inner.longest_waiting() else { return false };
        inner.close(id);
        drop(inner);
        self.record(Reason::ReplacedByNew);
        true
    }

    /// Closes or gives up what has waited too long for its client.
    pub(crate) fn enforce_timeouts(&self) {
        let now = Instant::now();
        let is_over = |since: Instant, limit_ms| now - since >= Duration::from_millis(limit_ms);
        let mut overdue = Vec::new();
        let mut inner = self.lock();
        for (id, entry) in &inner.by_id {
            let Some(since) = entry.waits_since() else { continue };
            let limits = &self.limits;
            let (reason, limit_ms) = match entry.state {
                _ if entry.write_blocked_since.is_some() => {
                    (Reason::WriteTimeout, limits.write_timeout_ms)
                }
                State::Head { .. } => (Reason::HeadTimeout, limits.head_timeout_ms),
                State::Body { .. } => (Reason::BodyTimeout, limits.body_timeout_ms),
                State::Idle { .. } | State::Serving | State::Responding => continue,
            };
            if is_over(since, limit_ms) {
                overdue.push((*id, reason));
            }
        }
        for (id, reason) in &overdue {
            match reason {
                Reason::BodyTimeout => inner.give_up_body(*id, *reason),
                _ => inner.close(*id),
            }
        }
        drop(inner);
        for (_, reason) in overdue {
            self.record(reason);
        }
    }
}

/// A connection in the list of its listener.
pub(crate) struct Registration {
    /// The handle through which the connection's parts report what they do.
    pub(crate) connection: Connection,
    close: Arc<Notify>,
}

impl Registration {
    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let Connection { id, connections } = &self.connection;
        let mut inner = connections.lock();
        inner.release_body(*id);
        if inner.by_id.remove(id).is_some_and(|entry| entry.is_closing) {
            inner.closing -= 1;
        }
        drop(inner);
        connections.removed.notify_one();
    }
}

/// Reports what one connection does.
#[derive(Clone)]
pub(crate) struct Connection {
    id: u64,
    connections: Arc<Connections>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Connection {
    fn update(&self, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.connections.lock().by_id.get_mut(&self.id) {
            change(entry);
        }
    }

    /// Bytes have arrived, which start a head if none is being read.
    pub(crate) fn received(&self) {
        self.update(|entry| {
            if let State::Idle { .. } = entry.state {
                entry.state = State::Head { since: Instant::now() };
            }
        });
    }

    /// The client has or has not read from its response.
    pub(crate) fn wrote(&self, is_blocked: bool) {
        self.update(|entry| {
            if !is_blocked {
                entry.write_blocked_since = None;
            } else if entry.write_blocked_since.is_none() {
                entry.write_blocked_since = Some(Instant::now());
            }
        });
    }

    /// A head is complete. The request ends when the returned value is dropped.
    pub(crate) fn begin_request(&self) -> RequestInProgress {
        self.update(|entry| entry.state = State::Serving);
        RequestInProgress(self.clone())
    }

    /// The body needs more bytes from the client. The waker is called if it is given up.
    pub(crate) fn wait_for_body(&self, waker: &Waker) {
        self.update(|entry| {
            if let State::Serving = entry.state {
                entry.state = State::Body { since: Instant::now() };
            }
            entry.body_waker = Some(waker.clone());
        });
    }

    /// The body is complete.
    pub(crate) fn end_body(&self) {
        self.update(|entry| {
            if let State::Body { .. } = entry.state {
                entry.state = State::Serving;
            }
            entry.body_waker = None;
        });
    }

    /// Why the body has to be dropped, if it has to.
    pub(crate) fn given_up(&self) -> Option<Reason> {
        self.connections.lock().by_id.get(&self.id).and_then(|entry| entry.given_up)
    }

    /// Counts bytes of the request's body. Gives up bodies of other requests if all together are
    /// too large.
    pub(crate) fn reserve(&self, bytes: usize, waker: &Waker) -> Reservation {
        let bytes_max = self.connections.limits.body_bytes_total_max;
        let mut given_up = 0;
        let mut inner = self.connections.lock();
        let reservation = loop {
            let inner = &mut *inner;
            let Some(entry) = inner.by_id.get_mut(&self.id) else { break Reservation::Granted };
            if let Some(reason) = entry.given_up {
                break Reservation::Refused(reason);
            }
            let is_alone = inner.held_bytes == entry.held_bytes;
            if is_alone || inner.held_bytes + bytes <= bytes_max {
                entry.held_bytes += bytes;
                inner.held_bytes += bytes;
                break Reservation::Granted;
            }
            let kept_bytes = inner.held_bytes - inner.releasing_bytes;
            if kept_bytes == entry.held_bytes || kept_bytes + bytes <= bytes_max {
                entry.body_waker = Some(waker.clone());
                inner.room_wakers.push(waker.clone());
                break Reservation::Wait;
            }
            given_up += 1;
            let longest = inner.longest_waiting_body(self.id);
            inner.give_up_body(longest.unwrap_or(self.id), Reason::BodyBytes);
        };
        drop(inner);
        for _ in 0..given_up {
            self.connections.record(Reason::BodyBytes);
        }
        reservation
    }
}

/// A request without a response.
pub(crate) struct RequestInProgress(Connection);

impl RequestInProgress {
    /// A handler has made the response, which is complete when the returned value is dropped.
    pub(crate) fn respond(self) -> ResponseInProgress {
        ResponseInProgress(self.0.clone())
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut inner = self.0.connections.lock();
        inner.release_body(self.0.id);
        if let Some(entry) = inner.by_id.get_mut(&self.0.id) {
            entry.state = State::Responding;
        }
    }
}

/// A response that is not complete.
#[derive(Debug)]
pub(crate) struct ResponseInProgress(Connection);

impl Drop for ResponseInProgress {
    fn drop(&mut self) {
        self.0.update(|entry| entry.state = State::Idle { since: Instant::now() });
    }
}
