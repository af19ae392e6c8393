//! Proof that the other side knows the cell's key.
//!
//! Each side sends a random challenge and answers the other's with a keyed
//! hash over both. A stranger that reaches the port learns nothing it could
//! use and cannot replay what it saw. It does not hide the traffic.

use std::io;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

const CHALLENGE_BYTES: usize = 16;
const PROOF_BYTES: usize = 32;
const CALLER_ROLE: &[u8] = b"stoatwell caller";
const LISTENER_ROLE: &[u8] = b"stoatwell listener";

type Challenge = [u8; CHALLENGE_BYTES];

/// The calling side.
pub async fn call(stream: &mut (impl AsyncRead + AsyncWrite + Unpin), key: &str) -> io::Result<()> {
    let mine: Challenge = rand::random();
    let mut theirs: Challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut theirs).await?;
    stream.write_all(&mine).await?;
    stream.write_all(&prove(key, CALLER_ROLE, &theirs, &mine)).await?;
    stream.flush().await?;
    check(stream, key, LISTENER_ROLE, &mine, &theirs).await
}

/// The listening side.
pub async fn listen(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &str,
) -> io::Result<()> {
    let mine: Challenge = rand::random();
    let mut theirs: Challenge = [0; CHALLENGE_BYTES];
    stream.write_all(&mine).await?;
    stream.flush().await?;
    stream.read_exact(&mut theirs).await?;
    check(stream, key, CALLER_ROLE, &mine, &theirs).await?;
    stream.write_all(&prove(key, LISTENER_ROLE, &theirs, &mine)).await?;
    stream.flush().await
}

async fn check(
    stream: &mut (impl AsyncRead + Unpin),
    key: &str,
    role: &[u8],
    mine: &Challenge,
    theirs: &Challenge,
) -> io::Result<()> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    let expected = keyed(key, role, mine, theirs);
    expected.verify_slice(&proof).map_err(|_error| {
        io::Error::new(io::ErrorKind::PermissionDenied, "the peer does not know the key")
    })
}

fn prove(key: &str, role: &[u8], asked: &Challenge, own: &Challenge) -> [u8; PROOF_BYTES] {
    keyed(key, role, asked, own).finalize().into_bytes().into()
}

fn keyed(key: &str, role: &[u8], asked: &Challenge, own: &Challenge) -> Hmac<Sha256> {
    let mut mac = match Hmac::<Sha256>::new_from_slice(key.as_bytes()) {
        Ok(mac) => mac,
        Err(error) => unreachable!("a key of any length is taken: {error}"),
    };
    mac.update(role);
    mac.update(asked);
    mac.update(own);
    mac
}
