//! A TCP proxy between two daemons that can break their connections.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// What becomes of the bytes on all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// They are forwarded.
    #[default]
    Open,
    /// They wait until the path is open again.
    Stalled,
    /// Those to the caller are discarded.
    LosesReplies,
}

/// A proxy with a thread of its own.
pub struct Proxy {
    /// Where it listens.
    pub address: String,
    path: watch::Sender<Path>,
    resets: watch::Sender<u64>,
    _runtime: Runtime,
}

impl Proxy {
    /// A proxy to this address.
    pub fn start(target: &str) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let target: SocketAddr = target.parse().expect("an address");
        let path = watch::Sender::default();
        let resets = watch::Sender::default();
        runtime.spawn(accept(listener, target, path.clone(), resets.clone()));
        Self { address, path, resets, _runtime: runtime }
    }

    /// Changes what becomes of the bytes.
    pub fn set_path(&self, path: Path) {
        self.path.send_replace(path);
    }

    /// Closes all connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    path: watch::Sender<Path>,
    resets: watch::Sender<u64>,
) {
    let path = Arc::new(path);
    while let Ok((caller, _)) = listener.accept().await {
        let path = Arc::clone(&path);
        let mut resets = resets.subscribe();
        tokio::spawn(async move {
            let Ok(callee) = TcpStream::connect(target).await else { return };
            let (requests, back) = caller.into_split();
            let (replies, onward) = callee.into_split();
            tokio::select! {
                () = forward(requests, onward, path.subscribe(), false) => {}
                () = forward(replies, back, path.subscribe(), true) => {}
                _ = resets.changed() => {}
            }
        });
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut path: watch::Receiver<Path>,
    are_replies: bool,
) {
    let mut bytes = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let Ok(now) = path.wait_for(|path| *path != Path::Stalled).await.map(|path| *path) else {
            return;
        };
        if are_replies && now == Path::LosesReplies {
            continue;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
