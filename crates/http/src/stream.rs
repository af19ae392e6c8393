//! A TCP stream that reports the progress of its client.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::connections::Connection;

/// Reports reads and blocked writes to the list of connections.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    stream: TcpStream,
    connection: Connection,
    is_blocked: bool,
}

impl ObservedStream {
    pub(crate) fn new(stream: TcpStream, connection: Connection) -> Self {
        Self { stream, connection, is_blocked: false }
    }

    fn observe_write(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if self.is_blocked || result.is_pending() {
            self.is_blocked = result.is_pending();
            self.connection.wrote(self.is_blocked);
        }
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        // Some clients end a body with an empty line, which starts no head.
        if buf.filled()[before..].iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.connection.received();
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.observe_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.observe_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
