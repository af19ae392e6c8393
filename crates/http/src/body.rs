//! Bodies of requests and responses.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use axum::BoxError;
use axum::body::Body;
use bytes::Buf;
use bytes::Bytes;
use http_body::Body as HttpBody;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use stoatwell_model::Code;
use stoatwell_model::Failure;

use crate::closures::Reason;
use crate::connections::Connection;
use crate::connections::Reservation;
use crate::connections::ResponseInProgress;

/// Chunks are joined up to this size before a handler gets them.
const PIECE_BYTES: usize = 16 * 1024;
/// The first allocation for a piece.
const PIECE_BYTES_MIN: usize = 256;
/// Chunks that are read before other tasks run.
const CHUNKS_PER_POLL: usize = 64;
/// When a client may send a refused request again.
const RETRY_AFTER_MS: u64 = 1_000;

/// The body of a request was not read to its end, so the request is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyRefused(Reason);

impl BodyRefused {
    fn failure(self) -> Failure {
        let failure = match self.0 {
            Reason::BodyTimeout => Failure::new(Code::TooSlow),
            _ => Failure::with_detail(Code::Overloaded, "the bodies of all requests are too large"),
        };
        failure.retry_after(RETRY_AFTER_MS)
    }
}

impl fmt::Display for BodyRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body was given up: {}", self.0.name())
    }
}

impl Error for BodyRefused {}

/// The response to a request whose body could not be read, if a limit of the server is the cause.
pub fn refusal(error: &(dyn Error + 'static)) -> Option<Failure> {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(refused) = error.downcast_ref::<BodyRefused>() {
            return Some(refused.failure());
        }
        cause = error.source();
    }
    None
}

/// The body of a request, in pieces whose allocations are as large as what they carry. Each chunk
/// from the connection keeps the connection's whole read buffer.
#[derive(Debug)]
pub(crate) struct RequestBody {
    incoming: Incoming,
    connection: Connection,
    /// What has arrived of the next piece.
    piece: Vec<u8>,
    /// The rest of a chunk; not counted yet unless `is_reserved`.
    chunk: Bytes,
    is_reserved: bool,
    has_ended: bool,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Connection) -> Self {
        Self {
            incoming,
            connection,
            piece: Vec::new(),
            chunk: Bytes::new(),
            is_reserved: false,
            has_ended: false,
        }
    }

    /// Copies of the chunk what fits into the piece.
    fn join(&mut self) {
        let bytes = self.chunk.len().min(PIECE_BYTES - self.piece.len());
        let needed = self.piece.len() + bytes;
        if needed > self.piece.capacity() {
            let capacity = needed.max(self.piece.capacity() * 2).max(PIECE_BYTES_MIN);
            self.piece.reserve_exact(capacity.min(PIECE_BYTES) - self.piece.len());
        }
        self.piece.extend_from_slice(&self.chunk[..bytes]);
        self.chunk.advance(bytes);
    }

    fn take_piece(&mut self) -> Frame<Bytes> {
        Frame::data(Bytes::from(std::mem::take(&mut self.piece)))
    }

    /// Counts the chunk among the bytes that all bodies hold.
    fn poll_reserve(&mut self, cx: &Context<'_>) -> Poll<Result<(), BodyRefused>> {
        match self.connection.reserve(self.chunk.len(), cx.waker()) {
            Reservation::Granted => {
                self.is_reserved = true;
                Poll::Ready(Ok(()))
            }
            Reservation::Wait => Poll::Pending,
            Reservation::Refused(reason) => Poll::Ready(Err(BodyRefused(reason))),
        }
    }

    /// Gets the next chunk; `false` at the end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<bool, BoxError>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Pending => {
                self.connection.wait_for_body(cx.waker());
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Ok(false)),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Err(error.into())),
            Poll::Ready(Some(Ok(frame))) => {
                // No handler uses trailers.
                self.chunk = frame.into_data().unwrap_or_default();
                self.is_reserved = false;
                Poll::Ready(Ok(true))
            }
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.connection.end_body();
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        for _ in 0..CHUNKS_PER_POLL {
            if self.has_ended {
                return Poll::Ready(None);
            }
            if let Some(reason) = self.connection.given_up() {
                return Poll::Ready(Some(Err(BodyRefused(reason).into())));
            }
            if !self.chunk.is_empty() {
                if !self.is_reserved {
                    ready!(self.poll_reserve(cx))?;
                }
                self.join();
                if self.piece.len() == PIECE_BYTES {
                    return Poll::Ready(Some(Ok(self.take_piece())));
                }
                continue;
            }
            if ready!(self.poll_chunk(cx))? {
                continue;
            }
            self.has_ended = true;
            self.connection.end_body();
            if !self.piece.is_empty() {
                return Poll::Ready(Some(Ok(self.take_piece())));
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended
            || (self.incoming.is_end_stream() && self.piece.is_empty() && self.chunk.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let read = (self.piece.len() + self.chunk.len()) as u64;
        let rest = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint.set_lower(rest.lower() + read);
        hint
    }
}

/// The body of a response, which reports its end.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    body: Body,
    _in_progress: ResponseInProgress,
}

impl ResponseBody {
    pub(crate) fn new(body: Body, in_progress: ResponseInProgress) -> Self {
        Self { body, _in_progress: in_progress }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
