//! The listening side.

use std::io;
use std::time::Duration;

use futures::StreamExt;
use stoatwell_engine::PeerCall;
use stoatwell_engine::PeerReply;
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

/// A connection that says nothing for this long is a stranger's.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers calls until the task is ended.
pub async fn serve<F, R>(
    listener: TcpListener,
    key: String,
    traffic: Traffic,
    handler: F,
) -> io::Result<()>
where
    F: Fn(PeerCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send + 'static,
{
    loop {
        let (stream, from) = listener.accept().await?;
        let key = key.clone();
        let traffic = traffic.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_one(stream, &key, &traffic, handler).await {
                tracing::warn!(%from, %error, "a peer's connection was refused");
            }
        });
    }
}

async fn serve_one<F, R>(
    stream: TcpStream,
    key: &str,
    traffic: &Traffic,
    handler: F,
) -> io::Result<()>
where
    F: Fn(PeerCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let mut stream = traffic.count(stream);
    timeout(HANDSHAKE_TIMEOUT, handshake::listen(&mut stream, key))
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    let framed = codec().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(Handler(handler).serve());
    requests
        .for_each(|request| async move {
            tokio::spawn(request);
        })
        .await;
    Ok(())
}

#[derive(Clone)]
struct Handler<F>(F);

impl<F, R> PeerService for Handler<F>
where
    F: Fn(PeerCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send + 'static,
{
    async fn call(self, _context: Context, call: PeerCall) -> PeerReply {
        (self.0)(call).await
    }
}
