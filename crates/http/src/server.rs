//! Accepts connections and serves them.

use std::fmt;
use std::io;
use std::io::Write;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::Request;
use axum::http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tower_service::Service;

use crate::Limits;
use crate::body::RequestBody;
use crate::body::ResponseBody;
use crate::closures::Closures;
use crate::closures::Observer;
use crate::closures::Reason;
use crate::connections::Connections;
use crate::connections::Registration;
use crate::stream::ObservedStream;

/// The pause after an error of the listener, such as exhausted descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The longest and the shortest time between checks of the timeouts.
const TIMEOUT_CHECK_MAX_MS: u64 = 1_000;
const TIMEOUT_CHECK_MIN_MS: u64 = 10;
/// Checks in the shortest timeout.
const CHECKS_PER_TIMEOUT: u64 = 4;
/// The part of the process's descriptors that connections of one listener may take.
const DESCRIPTOR_DIVISOR: u64 = 2;
/// When a client may come back that found no place.
const RETRY_AFTER_S: u64 = 1;

/// How to serve a listener.
pub struct Server {
    listener: &'static str,
    limits: Limits,
    observer: Observer,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { listener, limits, .. } = self;
        f.debug_struct("Server")
            .field("listener", listener)
            .field("limits", limits)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// A server with these limits; log lines name the listener. Its connections never take more
    /// than half of the descriptors that the process may open.
    pub fn new(listener: &'static str, mut limits: Limits) -> Self {
        let descriptors = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let connections_max =
            descriptors.map_or(usize::MAX, |count| (count / DESCRIPTOR_DIVISOR) as usize).max(1);
        if connections_max < limits.connections_max {
            tracing::warn!(
                listener,
                connections_max,
                configured = limits.connections_max,
                "fewer HTTP connections than configured: the process may not open more descriptors"
            );
            limits.connections_max = connections_max;
        }
        Self { listener, limits, observer: Box::new(|_reason| ()) }
    }

    /// Sets what is called for each connection or request that is closed or refused at a limit.
    pub fn on_closed(mut self, observer: impl Fn(Reason) + Send + Sync + 'static) -> Self {
        self.observer = Box::new(observer);
        self
    }
}

/// Serves connections until `shutdown` is ready and the requests in progress are complete. Errors
/// of the listener do not end it. Dropping the future closes all connections.
pub async fn serve(
    server: Server,
    listener: TcpListener,
    router: Router,
    shutdown: impl Future<Output = ()>,
) {
    let name = server.listener;
    let closures = Closures::new(name, server.observer);
    let connections = Arc::new(Connections::new(server.limits, closures));
    let mut tasks = JoinSet::new();
    let (closing_sender, closing) = watch::channel(false);
    let accepting = async {
        accept(name, &listener, &router, &connections, &closing, &mut tasks, shutdown).await;
        drop(listener);
        closing_sender.send_replace(true);
        while let Some(ended) = tasks.join_next().await {
            log_panic(ended);
        }
    };
    tokio::select! {
        () = accepting => {}
        () = enforce_timeouts(&connections) => {}
    }
}

async fn accept(
    name: &'static str,
    listener: &TcpListener,
    router: &Router,
    connections: &Arc<Connections>,
    closing: &watch::Receiver<bool>,
    tasks: &mut JoinSet<()>,
    shutdown: impl Future<Output = ()>,
) {
    let mut shutdown = pin!(shutdown);
    let mut failures = 0_u64;
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut shutdown => return,
            Some(ended) = tasks.join_next() => {
                log_panic(ended);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) if is_of_connection(&error) => continue,
            Err(error) => {
                failures += 1;
                if failures.ilog10() != (failures - 1).checked_ilog10().unwrap_or(u32::MAX) {
                    tracing::error!(listener = name, %error, failures, "cannot accept a connection; retrying");
                }
                connections.record(Reason::AcceptFailed);
                connections.close_longest_waiting();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if !connections.make_room().await {
            connections.record(Reason::AllServing);
            refuse(stream);
            continue;
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY on a connection; its responses may be delayed");
        }
        let registration = connections.add();
        let head_bytes_max = connections.limits().head_bytes_max;
        tasks.spawn(serve_connection(
            stream,
            registration,
            head_bytes_max,
            router.clone(),
            closing.clone(),
        ));
    }
}

/// Whether the error is that of a connection which its client has ended.
fn is_of_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && error.is_panic()
    {
        tracing::error!(%error, "serving an HTTP connection panicked");
    }
}

async fn enforce_timeouts(connections: &Connections) {
    let limits = connections.limits();
    let shortest_ms =
        limits.head_timeout_ms.min(limits.body_timeout_ms).min(limits.write_timeout_ms);
    let interval_ms =
        (shortest_ms / CHECKS_PER_TIMEOUT).clamp(TIMEOUT_CHECK_MIN_MS, TIMEOUT_CHECK_MAX_MS);
    loop {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        connections.enforce_timeouts();
    }
}

async fn serve_connection(
    stream: TcpStream,
    registration: Registration,
    head_bytes_max: usize,
    router: Router,
    mut closing: watch::Receiver<bool>,
) {
    let connection = &registration.connection;
    let service = service_fn(|request: Request<Incoming>| {
        let mut router = router.clone();
        let connection = connection.clone();
        async move {
            let in_progress = connection.begin_request();
            let request = request.map(|body| Body::new(RequestBody::new(body, connection)));
            let response = router.call(request).await?;
            let sending = in_progress.respond();
            Ok::<_, std::convert::Infallible>(response.map(|body| ResponseBody::new(body, sending)))
        }
    });
    let stream = TokioIo::new(ObservedStream::new(stream, connection.clone()));
    // hyper's own timeout for heads also counts the time for which a connection is idle.
    let served = http1::Builder::new()
        .max_buf_size(head_bytes_max)
        .header_read_timeout(None)
        .serve_connection(stream, service);
    let mut served = pin!(served);
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            () = registration.closed() => return,
            result = served.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(%error, "HTTP connection ended with an error");
                }
                return;
            }
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Responds without waiting to a client for whose connection there is no place.
fn refuse(stream: TcpStream) {
    let failure = Failure::with_detail(Code::Overloaded, "too many connections are being served")
        .retry_after(RETRY_AFTER_S * 1_000);
    let body = serde_json::to_string(&failure).unwrap_or_default();
    let status =
        StatusCode::from_u16(failure.code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: {RETRY_AFTER_S}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let result = stream.into_std().and_then(|mut stream| stream.write_all(response.as_bytes()));
    if let Err(error) = result {
        tracing::debug!(%error, "cannot tell a client that its connection is refused");
    }
}
