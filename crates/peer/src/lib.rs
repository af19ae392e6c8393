//! Calls between daemons.
//!
//! One `tarpc` method carries every call, so that only those who decide know
//! what they mean. Before the first call both sides prove that they know
//! the cell's key ([`handshake`]); a stranger's connection is closed. Frames
//! are length-delimited `bincode`.

pub mod client;
pub mod handshake;
pub mod server;
mod traffic;

use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::tokio_util::codec::length_delimited::Builder;

pub use client::Peers;
pub use server::serve;
pub use traffic::Traffic;
pub use traffic::TrafficCounts;

/// Largest frame between daemons.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

mod service {
    /// The one service between daemons.
    #[tarpc::service]
    pub trait PeerService {
        /// Carries any call and its answer, encoded by the caller's crate.
        async fn call(call: Vec<u8>) -> Vec<u8>;
    }
}

fn codec() -> Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_BYTES_MAX);
    builder
}
