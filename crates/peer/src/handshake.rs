//! Mutual authentication of two daemons that share a key.
//!
//! Each side sends a random challenge and answers the other side's with a keyed hash over both
//! challenges. Somebody who reaches the port without the key learns nothing useful, and cannot
//! replay a handshake that was recorded. The handshake does not encrypt the traffic after it.

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

/// Performs the handshake as the client. Fails if the two sides do not have the same key.
pub async fn connect(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &str,
) -> io::Result<()> {
    let own_challenge: Challenge = rand::random();
    let mut peer_challenge: Challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    stream.write_all(&own_challenge).await?;
    stream.write_all(&prove(key, CALLER_ROLE, &peer_challenge, &own_challenge)).await?;
    stream.flush().await?;
    verify(stream, key, LISTENER_ROLE, &own_challenge, &peer_challenge).await
}

/// Performs the handshake as the server. Fails if the two sides do not have the same key.
pub async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &str,
) -> io::Result<()> {
    let own_challenge: Challenge = rand::random();
    let mut peer_challenge: Challenge = [0; CHALLENGE_BYTES];
    stream.write_all(&own_challenge).await?;
    stream.flush().await?;
    stream.read_exact(&mut peer_challenge).await?;
    verify(stream, key, CALLER_ROLE, &own_challenge, &peer_challenge).await?;
    stream.write_all(&prove(key, LISTENER_ROLE, &peer_challenge, &own_challenge)).await?;
    stream.flush().await
}

async fn verify(
    stream: &mut (impl AsyncRead + Unpin),
    key: &str,
    role: &[u8],
    own_challenge: &Challenge,
    peer_challenge: &Challenge,
) -> io::Result<()> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    let expected = mac_of_proof(key, role, own_challenge, peer_challenge);
    expected.verify_slice(&proof).map_err(|_error| {
        io::Error::new(io::ErrorKind::PermissionDenied, "the peer does not know the key")
    })
}

fn prove(
    key: &str,
    role: &[u8],
    verifier_challenge: &Challenge,
    prover_challenge: &Challenge,
) -> [u8; PROOF_BYTES] {
    mac_of_proof(key, role, verifier_challenge, prover_challenge).finalize().into_bytes().into()
}

fn mac_of_proof(
    key: &str,
    role: &[u8],
    verifier_challenge: &Challenge,
    prover_challenge: &Challenge,
) -> Hmac<Sha256> {
    let mut mac = match Hmac::<Sha256>::new_from_slice(key.as_bytes()) {
        Ok(mac) => mac,
        Err(error) => unreachable!("HMAC accepts a key of any length: {error}"),
    };
    mac.update(role);
    mac.update(verifier_challenge);
    mac.update(prover_challenge);
    mac
}
