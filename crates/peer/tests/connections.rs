//! Strangers, and connections that went silent.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stoatwell_engine::PeerCall;
use stoatwell_engine::PeerReply;
use stoatwell_peer::Peers;
use stoatwell_peer::Traffic;
use stoatwell_peer::client::PeerError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const KEY: &str = "a key of sixteen bytes";
const LONG: Duration = Duration::from_secs(10);

async fn listen() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let handler = |_call: PeerCall| async { PeerReply::Noted };
    tokio::spawn(stoatwell_peer::serve(listener, KEY.to_owned(), Traffic::default(), handler));
    address
}

fn hint() -> PeerCall {
    PeerCall::Changed { revision: 1 }
}

/// Somebody reaches the port of the daemons. Without the key they could start
/// and stop work.
#[tokio::test]
async fn stranger_without_the_key_is_refused() {
    let address = listen().await;
    let friend = Peers::new(KEY, Traffic::default());
    assert_eq!(friend.call(&address, &hint(), LONG).await, Ok(PeerReply::Noted));
    let stranger = Peers::new("another key of sixteen", Traffic::default());
    let refused = stranger.call::<PeerReply>(&address, &hint(), LONG).await;
    assert!(matches!(refused, Err(PeerError::NotSent(_))), "{refused:?}");
}

/// Bytes of another protocol arrive at the port, as from a port scan.
#[tokio::test]
async fn other_protocols_are_closed() {
    let address = listen().await;
    let mut stream = TcpStream::connect(&address).await.expect("it listens");
    stream.write_all(&[b'x'; 200]).await.expect("it takes bytes");
    let mut rest = Vec::new();
    // The challenge comes, and then the end or a reset.
    let ended = stream.read_to_end(&mut rest).await;
    assert!(ended.is_err() || rest.len() <= 16, "{} bytes", rest.len());
}

/// Something between two daemons forgets a connection: it stays open and says
/// nothing. The next call must go over a new one, or the peer would look dead.
#[tokio::test]
async fn call_after_a_silent_one_dials_anew() {
    let target = listen().await;
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = proxy.local_addr().expect("an address").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut near, _)) = proxy.accept().await {
            let number = counted.fetch_add(1, Ordering::SeqCst);
            let target = target.clone();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(target).await.expect("it listens");
                if number > 0 {
                    drop(tokio::io::copy_bidirectional(&mut near, &mut far).await);
                    return;
                }
                // The first connection carries the handshake and one call, then nothing.
                let mut forwarded = 0;
                let mut up = [0; 1_024];
                let mut down = [0; 1_024];
                while forwarded < 2 {
                    tokio::select! {
                        read = near.read(&mut up) => {
                            let count = read.unwrap_or(0);
                            far.write_all(&up[..count]).await.expect("it takes bytes");
                        }
                        read = far.read(&mut down) => {
                            let count = read.unwrap_or(0);
                            near.write_all(&down[..count]).await.expect("it takes bytes");
                            forwarded += 1;
                        }
                    }
                }
                std::future::pending::<()>().await;
            });
        }
    });
    let peers = Peers::new(KEY, Traffic::default());
    let silent = peers.call::<PeerReply>(&address, &hint(), Duration::from_millis(300)).await;
    assert!(matches!(silent, Err(PeerError::NoAnswer(_))), "{silent:?}");
    assert_eq!(peers.call(&address, &hint(), LONG).await, Ok(PeerReply::Noted));
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// The peer's process is gone and the port refuses. Nothing was sent, which
/// the caller must know to try elsewhere.
#[tokio::test]
async fn refused_connection_is_known_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let peers = Peers::new(KEY, Traffic::default());
    let result = peers.call::<PeerReply>(&address, &hint(), LONG).await;
    assert!(matches!(result, Err(PeerError::NotSent(_))), "{result:?}");
}
