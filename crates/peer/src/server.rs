//! The server, which accepts connections of other daemons.

use std::io;
use std::marker::PhantomData;
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
use tokio::time::timeout;

use crate::codec;
use crate::handshake;
use crate::service::PeerService;
use crate::traffic::Traffic;

/// A connection that has not completed the handshake after this time is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections and answers their calls. Returns only if the listener fails.
pub async fn serve<C, R, F, A>(
    listener: TcpListener,
    key: String,
    traffic: Traffic,
    handler: F,
) -> io::Result<()>
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: Fn(C) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    loop {
        let (stream, from) = listener.accept().await?;
        let key = key.clone();
        let traffic = traffic.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, &key, &traffic, handler).await {
                tracing::warn!(%from, %error, "connection of a peer rejected");
            }
        });
    }
}

async fn serve_connection<C, R, F, A>(
    stream: TcpStream,
    key: &str,
    traffic: &Traffic,
    handler: F,
) -> io::Result<()>
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: Fn(C) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let mut stream = traffic.count(stream);
    timeout(HANDSHAKE_TIMEOUT, handshake::accept(&mut stream, key))
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    let framed = codec().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport)
        .execute(Handler { answer: handler, call: PhantomData }.serve());
    requests
        .for_each(|request| async move {
            tokio::spawn(request);
        })
        .await;
    Ok(())
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
