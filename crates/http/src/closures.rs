//! Counts and logs what the server closes and refuses.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// At most one line is logged for each reason in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed or refused, or a request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The connection waited longest for its client, and a new one needed its place.
    ReplacedByNew,
    /// All connections were being served when a new one came.
    AllServing,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The bodies of all requests were too large together.
    BodyBytes,
    /// The client did not read its response.
    WriteTimeout,
    /// Accepting a connection failed.
    AcceptFailed,
}

impl Reason {
    const COUNT: usize = 7;

    /// The value of the label `reason` in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReplacedByNew => "replaced by a new connection",
            Self::AllServing => "all connections being served",
            Self::HeadTimeout => "head timeout",
            Self::BodyTimeout => "body timeout",
            Self::BodyBytes => "bytes of all bodies",
            Self::WriteTimeout => "response not read",
            Self::AcceptFailed => "accept failed",
        }
    }
}

/// Called once for each closed or refused connection or request.
pub(crate) type Observer = Box<dyn Fn(Reason) + Send + Sync>;

/// Reports closures of one listener.
pub(crate) struct Closures {
    listener: &'static str,
    observer: Observer,
    pending: Mutex<[Pending; Reason::COUNT]>,
}

/// Closures of one reason that have not been logged.
#[derive(Clone, Copy, Default)]
struct Pending {
    count: u64,
    logged: Option<Instant>,
}

impl Closures {
    pub(crate) fn new(listener: &'static str, observer: Observer) -> Self {
        Self { listener, observer, pending: Mutex::default() }
    }

    pub(crate) fn record(&self, reason: Reason) {
        (self.observer)(reason);
        let now = Instant::now();
        let mut all = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let pending = &mut all[reason as usize];
        pending.count += 1;
        if pending.logged.is_some_and(|logged| now - logged < LOG_INTERVAL) {
            return;
        }
        let count = std::mem::take(&mut pending.count);
        pending.logged = Some(now);
        drop(all);
        tracing::warn!(
            listener = self.listener,
            reason = reason.name(),
            count,
            "HTTP connections or requests given up at a limit"
        );
    }
}
