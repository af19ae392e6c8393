//! The server, which accepts connections of other daemons.

use std::collections::VecDeque;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::codec;
use crate::handshake;
use crate::service::PeerService;
use crate::traffic::CountingStream;
use crate::traffic::Traffic;

/// A connection that has not completed the handshake after this time is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most connections that have not completed the handshake. Beyond it the oldest is closed.
const HANDSHAKES_MAX: usize = 256;
/// The pause after an error of the listener, such as exhausted descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections and answers their calls. Never returns: errors of the listener are logged,
/// and it goes on.
pub async fn serve<C, R, F, A>(listener: TcpListener, key: String, traffic: Traffic, handler: F)
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: Fn(C) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    let mut handshakes = Handshakes::default();
    let mut failures = 0;
    loop {
        tokio::select! {
            Some(stream) = handshakes.next() => {
                tokio::spawn(serve_connection(stream, handler.clone()));
            }
            accepted = accept(&listener, &mut failures) => match accepted {
                Ok((stream, from)) => handshakes.start(stream, from, &key, &traffic),
                Err(_logged) => handshakes.close_oldest(),
            },
        }
    }
}

/// Accepts a connection. An error is logged, and returned after a pause.
async fn accept(listener: &TcpListener, failures: &mut u64) -> io::Result<(TcpStream, SocketAddr)> {
    let result = listener.accept().await;
    if let Err(error) = &result {
        *failures += 1;
        if is_power_of_ten(*failures) {
            tracing::error!(%error, failures, "cannot accept a connection of a peer; retrying");
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
    result
}

fn is_power_of_ten(count: u64) -> bool {
    count.checked_ilog10().is_some_and(|exponent| 10_u64.pow(exponent) == count)
}

/// Connections that have not completed the handshake.
#[derive(Default)]
struct Handshakes {
    tasks: JoinSet<Option<CountingStream<TcpStream>>>,
    /// The tasks, the oldest first. Some may have ended.
    oldest_first: VecDeque<AbortHandle>,
    closed: u64,
}

impl Handshakes {
    fn start(&mut self, stream: TcpStream, from: SocketAddr, key: &str, traffic: &Traffic) {
        if self.tasks.len() >= HANDSHAKES_MAX {
            self.close_oldest();
        }
        let (key, traffic) = (key.to_owned(), traffic.clone());
        let task = self.tasks.spawn(async move {
            match authenticate(stream, &key, &traffic).await {
                Ok(stream) => Some(stream),
                Err(error) => {
                    tracing::warn!(%from, %error, "connection of a peer rejected");
                    None
                }
            }
        });
        self.oldest_first.push_back(task);
    }

    fn close_oldest(&mut self) {
        self.oldest_first.retain(|task| !task.is_finished());
        let Some(oldest) = self.oldest_first.pop_front() else { return };
        oldest.abort();
        self.closed += 1;
        if is_power_of_ten(self.closed) {
            tracing::warn!(
                closed = self.closed,
                "connection of a peer closed before its handshake to make room"
            );
        }
    }

    /// Waits for the next connection that completes the handshake; `None` if there is none yet.
    async fn next(&mut self) -> Option<CountingStream<TcpStream>> {
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(Some(stream)) => return Some(stream),
                Ok(None) => {}
                Err(error) if error.is_cancelled() => {}
                Err(error) => tracing::error!(%error, "handshake with a peer panicked"),
            }
        }
        None
    }
}

async fn authenticate(
    stream: TcpStream,
    key: &str,
    traffic: &Traffic,
) -> io::Result<CountingStream<TcpStream>> {
    stream.set_nodelay(true)?;
    let mut stream = traffic.count(stream);
    timeout(HANDSHAKE_TIMEOUT, handshake::accept(&mut stream, key))
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    Ok(stream)
}

async fn serve_connection<C, R, F, A>(stream: CountingStream<TcpStream>, handler: F)
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: Fn(C) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    let framed = codec().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport)
        .execute(Handler { answer: handler, call: PhantomData }.serve());
    requests
        .for_each(|request| async move {
            tokio::spawn(request);
        })
        .await;
}

struct Handler<C, F> {
    answer: F,
    call: PhantomData<fn(C)>,
}

impl<C, F: Clone> Clone for Handler<C, F> {
    fn clone(&self) -> Self {
        Self { answer: self.answer.clone(), call: PhantomData }
    }
}

impl<C, R, F, A> PeerService for Handler<C, F>
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: Fn(C) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    /// Returns an empty reply if the call cannot be decoded or its answer cannot be encoded; the
    /// client treats that as no answer.
    async fn call(self, _context: Context, call: Vec<u8>) -> Vec<u8> {
        let call = match bincode::deserialize(&call) {
            Ok(call) => call,
            Err(error) => {
                tracing::warn!(%error, "cannot decode a peer's call; sending an empty reply");
                return Vec::new();
            }
        };
        let reply = (self.answer)(call).await;
        bincode::serialize(&reply).unwrap_or_else(|error| {
            tracing::error!(%error, "cannot encode the answer to a peer; sending an empty reply");
            Vec::new()
        })
    }
}
