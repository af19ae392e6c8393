//! RPC between daemons.
//!
//! One `tarpc` method carries every call as opaque bytes, so that only the crates which define
//! the calls depend on their meaning. Before the first call both sides prove that they know the
//! shared key ([`handshake`]); the connection of a peer that does not is closed. Frames are
//! length-delimited `bincode`.

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

/// Maximum length of a frame.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

mod service {
    /// The only RPC service of a daemon.
    #[tarpc::service]
    pub trait PeerService {
        /// Carries a call and its answer, both encoded as `bincode`.
        async fn call(call: Vec<u8>) -> Vec<u8>;
    }
}

fn codec() -> Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_BYTES_MAX);
    builder
}
