//! The client, which keeps one connection to each daemon.
//!
//! A connection can stop responding forever while new connections to the same daemon work.
//! Every call has a deadline. After a call missed it, the connection is used for no further
//! calls, and the next call opens a new one. Calls in progress on the old connection may still
//! be answered.

use std::collections::HashMap;
use std::fmt;
use std::future::pending;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::codec;
use crate::handshake;
use crate::service::PeerServiceClient;
use crate::traffic::Traffic;

const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed attempt to connect to a daemon, calls to it fail at once for this long.
const DIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum PeerError {
    /// no connection was made, so nothing was sent: {0}
    NotSent(ConnectError),
    /// no answer came, so it may have taken effect: {0}
    NoAnswer(String),
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Whether the machine answered that nothing listens at the address: the process is gone. A
    /// process that is only slow refuses no connections.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(error) if error.kind == io::ErrorKind::ConnectionRefused)
    }
}

/// Why no connection was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectError {
    kind: io::ErrorKind,
    message: String,
}

impl ConnectError {
    fn new(kind: io::ErrorKind, message: impl ToString) -> Self {
        Self { kind, message: message.to_string() }
    }

    fn expired() -> Self {
        Self::new(io::ErrorKind::TimedOut, "deadline has elapsed")
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        Self::new(error.kind(), error)
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

/// Connections to other daemons, by address.
#[derive(Clone, Debug)]
pub struct Peers {
    key: Arc<str>,
    traffic: Traffic,
    slots: Arc<Mutex<HashMap<String, Arc<Slot>>>>,
}

#[derive(Debug, Default)]
struct Slot {
    state: tokio::sync::Mutex<Connection>,
}

#[derive(Debug, Default)]
struct Connection {
    client: Option<PeerServiceClient>,
    generation: u64,
    last_failed_dial: Option<(Instant, ConnectError)>,
}

impl Peers {
    /// Creates a client without connections. `key` is the shared key of the handshake.
    pub fn new(key: &str, traffic: Traffic) -> Self {
        Self { key: Arc::from(key), traffic, slots: Arc::default() }
    }

    /// Calls the daemon at this IP address and port. `time_limit` is the limit for opening a
    /// connection, and again for the answer.
    pub async fn call<R: DeserializeOwned>(
        &self,
        address: &str,
        call: &impl Serialize,
        time_limit: Duration,
    ) -> Result<R, PeerError> {
        self.call_until(address, call, time_limit, pending()).await
    }

    /// The same, but the call is also given up once `expired` is ready.
    pub async fn call_until<R: DeserializeOwned>(
        &self,
        address: &str,
        call: &impl Serialize,
        time_limit: Duration,
        expired: impl Future<Output = ()>,
    ) -> Result<R, PeerError> {
        let encoded = bincode::serialize(call).map_err(|error| {
            PeerError::NotSent(ConnectError::new(io::ErrorKind::InvalidData, error))
        })?;
        let slot = self.slot(address);
        let mut expired = pin!(expired);
        let connected = tokio::select! {
            biased;
            connected = timeout(time_limit, self.connect(address, &slot)) => connected,
            () = &mut expired => return Err(PeerError::NotSent(ConnectError::expired())),
        };
        let (client, generation) = match connected {
            Ok(Ok(connected)) => connected,
            Ok(Err(error)) => return Err(PeerError::NotSent(error)),
            Err(_) => return Err(PeerError::NotSent(ConnectError::expired())),
        };
        let mut context = context::current();
        context.deadline = Instant::now() + time_limit;
        let reply = tokio::select! {
            biased;
            reply = client.call(context, encoded) => reply,
            () = &mut expired => Err(RpcError::DeadlineExceeded),
        };
        match reply {
            Ok(reply) => {
                bincode::deserialize(&reply).map_err(|error| PeerError::NoAnswer(error.to_string()))
            }
            Err(error) => {
                let mut connection = slot.state.lock().await;
                if connection.generation == generation {
                    connection.client = None;
                }
                Err(no_answer(&error))
            }
        }
    }

    fn slot(&self, address: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address.to_owned()).or_default())
    }

    async fn connect(
        &self,
        address: &str,
        slot: &Slot,
    ) -> Result<(PeerServiceClient, u64), ConnectError> {
        let mut connection = slot.state.lock().await;
        if let Some(client) = &connection.client {
            return Ok((client.clone(), connection.generation));
        }
        if let Some((failed, error)) = &connection.last_failed_dial
            && failed.elapsed() < DIAL_BACKOFF
        {
            return Err(error.clone());
        }
        match self.dial(address).await {
            Ok(client) => {
                connection.generation += 1;
                connection.last_failed_dial = None;
                connection.client = Some(client.clone());
                Ok((client, connection.generation))
            }
            Err(error) => {
                let error = ConnectError::from(error);
                connection.last_failed_dial = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    async fn dial(&self, address: &str) -> io::Result<PeerServiceClient> {
        let connecting = timeout(DIAL_TIMEOUT, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let mut stream = self.traffic.count(stream);
            handshake::connect(&mut stream, &self.key).await?;
            io::Result::Ok(stream)
        });
        let stream = connecting
            .await
            .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
        let framed = codec().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        Ok(PeerServiceClient::new(Config::default(), transport).spawn())
    }
}

fn no_answer(error: &RpcError) -> PeerError {
    PeerError::NoAnswer(error.to_string())
}
