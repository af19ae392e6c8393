//! The HTTP server of the daemons.
//!
//! [`serve`] answers requests on a listener with an [`axum::Router`], and bounds what clients can
//! hold of the process: connections, the time for a head, the time and the bytes for bodies, and
//! the time for which a response is not read.
//!
//! At a bound, what has waited longest for its client is given up to make room: an idle
//! connection, an incomplete head or body, a response that is not read. Time that the daemon
//! itself takes does not count, and idle connections are closed for no other reason. A request is
//! refused before a handler has its whole body, so a refused request is never carried out.

mod body;
mod closures;
mod connections;
mod server;
mod stream;

pub use body::BodyRefused;
pub use body::refusal;
pub use closures::Reason;
pub use server::Server;
pub use server::serve;

/// Largest size of a request's head that the daemons accept.
pub const HEAD_BYTES_MAX: usize = 16 * 1024;

/// Connections of a listener that serves only health checks and operators.
pub const INTERNAL_CONNECTIONS_MAX: usize = 64;

/// What clients of one listener may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of open connections.
    pub connections_max: usize,
    /// Size of a request's head; at least 8 KiB.
    pub head_bytes_max: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout_ms: u64,
    /// Time in which a body has to arrive, from when the daemon starts to read it.
    pub body_timeout_ms: u64,
    /// Size of all bodies together that have arrived for requests without a response. One body
    /// alone may be larger.
    pub body_bytes_total_max: usize,
    /// Time for which a client may not read any more of its response.
    pub write_timeout_ms: u64,
}
