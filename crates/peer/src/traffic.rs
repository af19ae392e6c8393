//! Counts the bytes sent and received on connections between daemons.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Counters of the traffic of one daemon with others. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// Numbers of bytes since the counters were created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Bytes sent to other daemons.
    pub sent_bytes: u64,
    /// Bytes received from other daemons.
    pub received_bytes: u64,
}

impl Traffic {
    /// The current values of the counters.
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            sent_bytes: self.counters.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.counters.received_bytes.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count<S>(&self, stream: S) -> CountingStream<S> {
        CountingStream { stream, counters: Arc::clone(&self.counters) }
    }
}

/// A stream that counts the bytes read from it and written to it.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    stream: S,
    counters: Arc<Counters>,
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.counters.received_bytes.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &result {
            self.counters.sent_bytes.fetch_add(*written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
